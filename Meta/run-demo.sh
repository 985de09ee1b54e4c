#!/usr/bin/env bash
# Starts a small system of built programs on loopback, for trying it out: the fake platform, fake endpoints and three
# nodes in two failure domains. Prints the addresses, and stops what it started on Ctrl-C. Called by Meta/chicorydock.sh.
set -euo pipefail
cd "$(dirname "$0")/.."
programs=${BUILD_DIR:-build}/bin
data=$(mktemp -d -t chicorydock.XXXXXX)
domains=(bajio-1 noroeste-1)
node_domains=(bajio-1 bajio-1 noroeste-1)
key=demo-key
start_timeout_s=30

endpoint_pids=()
node_pids=()

# Stops the nodes before the platform and the endpoints, so that they can drain. Children ignore SIGINT, because bash starts
# background processes of a script that way; Ctrl-C therefore reaches only this script.
stop_all() {
    trap - EXIT INT TERM
    local pid
    for pid in "${node_pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${node_pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    for pid in "${endpoint_pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${endpoint_pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    echo "stopped; logs and events are in $data"
}

fail() {
    echo "Meta/run-demo.sh: $1" >&2
    exit 1
}

# Waits for the line that a program prints when it is ready: wait_ready NAME PID
wait_ready() {
    local deadline=$((SECONDS + start_timeout_s))
    until [ -s "$data/$1.out" ]; do
        kill -0 "$2" 2>/dev/null || { cat "$data/$1.log" >&2; fail "$1 ended before it was ready"; }
        [ $SECONDS -lt $deadline ] || fail "$1 was not ready after $start_timeout_s s; see $data/$1.log"
        sleep 0.05
    done
}

# Starts a fake program and stores its address in the variable `address`: start_fake NAME PROGRAM [FLAG...]
start_fake() {
    local name=$1 program=$2
    shift 2
    "$programs/$program" --address=127.0.0.1:0 "$@" >"$data/$name.out" 2>"$data/$name.log" &
    endpoint_pids+=($!)
    wait_ready "$name" $!
    address=$(sed -n 's/.*"address" *: *"\([^"]*\)".*/\1/p' "$data/$name.out" | head -n 1)
}

add_endpoint() { # ID SERVICE DOMAIN
    printf '\n[[endpoint]]\nid = "%s"\naddress = "%s"\nservice = "%s"\nregion = "%s"\nfailure_domain = "%s"\n' \
        "$1" "$address" "$2" "${3%-*}" "$3" >>"$data/endpoints.toml"
}

# Prints free loopback ports. The nodes need fixed ports, because their settings list each other as seeds.
free_ports() {
    python3 - "$1" <<'PY'
import socket, sys
sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(int(sys.argv[1]))]
print(*(it.getsockname()[1] for it in sockets))
PY
}

write_settings() { # INDEX DOMAIN
    cat >"$data/node-$1.toml" <<TOML
[node]
id = "node-$1"
region = "${2%-*}"
failure_domain = "$2"
[http]
address = "127.0.0.1:${http_ports[$1]}"
[rpc]
address = "127.0.0.1:${rpc_ports[$1]}"
seeds = [$seeds]
[platform]
address = "$platform"
[log]
event_file = "$data/node-$1.events.jsonl"
TOML
    cat "$data/endpoints.toml" >>"$data/node-$1.toml"
}

wait_all_ready() {
    local deadline=$((SECONDS + start_timeout_s))
    until "$programs/chicorydock" status --json --node="$nodes" 2>/dev/null | python3 -c '
import json, sys
nodes = json.load(sys.stdin)["nodes"]
sys.exit(not (len(nodes) == int(sys.argv[1]) and all(it["ready"] for it in nodes)))' "${#node_domains[@]}" 2>/dev/null; do
        [ $SECONDS -lt $deadline ] || fail "not all nodes were ready after $start_timeout_s s; see $data"
        sleep 0.2
    done
}

trap stop_all EXIT
trap 'exit 0' INT TERM

start_fake platform fake-platform
platform=$address
for domain in "${domains[@]}"; do
    for n in 1 2; do
        start_fake "$domain-engine-$n" fake-engine
        add_endpoint "$domain-engine-$n" flag-assistant "$domain"
    done
    start_fake "$domain-registry" fake-service
    add_endpoint "$domain-registry" registry "$domain"
done

read -r -a ports <<<"$(free_ports $((2 * ${#node_domains[@]})))"
http_ports=("${ports[@]:0:${#node_domains[@]}}")
rpc_ports=("${ports[@]:${#node_domains[@]}}")
seeds=$(printf ', "127.0.0.1:%s"' "${rpc_ports[@]}")
seeds=${seeds:2}
nodes=$(printf ',127.0.0.1:%s' "${rpc_ports[@]}")
nodes=${nodes:1}
for n in "${!node_domains[@]}"; do
    write_settings "$n" "${node_domains[$n]}"
    "$programs/chicorydockd" --settings "$data/node-$n.toml" >"$data/node-$n.out" 2>"$data/node-$n.log" &
    node_pids+=($!)
done
for n in "${!node_domains[@]}"; do
    wait_ready "node-$n" "${node_pids[$n]}"
done
"$programs/chicorydock" apply Meta/demo/declarations.toml --expect=0 --author=demo --node="$nodes"
wait_all_ready

cat <<TEXT

Callers (HTTP):    $(printf 'http://127.0.0.1:%s ' "${http_ports[@]}")
Operators (RPC):   $nodes
Key of a caller:   $key
Data and logs:     $data

Try it:
  curl -sN http://127.0.0.1:${http_ports[0]}/v1/chat/completions -H 'Authorization: Bearer $key' -H 'Content-Type: application/json' -d '{"model":"flag-assistant","stream":true,"messages":[{"role":"user","content":"May a flag have a fringe?"}]}'
  $programs/chicorydock status --node=$nodes
  $programs/chicorydock job submit Meta/demo/items.jsonl --workspace=judges --node=$nodes
  CHICORYDOCK_URL=http://127.0.0.1:${http_ports[0]} CHICORYDOCK_KEY=$key node Tests/Clients/openai.mjs

Ctrl-C stops everything.
TEXT
# The demonstration ends if a node exits by itself.
wait -n "${node_pids[@]}" || true
fail "a node ended; see $data"
