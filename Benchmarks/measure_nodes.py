#!/usr/bin/env python3
"""Measures what real nodes cost: processor time and resident memory of idle nodes for several numbers of nodes and
endpoints, and the time that one node adds to a request and uses for a token.

Starts a platform, two engines that serve as any number of endpoints, and nodes on loopback, and prints one JSON line
per row. Usage: measure_nodes.py [SECONDS]
"""
import hashlib
import http.client
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request

PROGRAMS = pathlib.Path(os.environ.get("BUILD_DIR", "build")) / "bin"
SIZES = [(3, 20), (6, 20), (12, 20), (6, 80), (6, 320)]
TICKS = os.sysconf("SC_CLK_TCK")


def start(processes, *command):
    process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)
    processes.append(process)
    return process, json.loads(process.stdout.readline())


def control(address, body):
    request = urllib.request.Request(f"http://{address}/control", json.dumps(body).encode(), method="POST")
    urllib.request.urlopen(request, timeout=10).read()


def measure_usage(process):
    """Returns the processor seconds and the resident bytes of a process."""
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    pages = int(pathlib.Path(f"/proc/{process.pid}/statm").read_text().split()[1])
    return (int(fields[11]) + int(fields[12])) / TICKS, pages * os.sysconf("SC_PAGE_SIZE")


def start_system(processes, node_count, endpoint_count, engine_flags=()):
    """Returns the processes of the nodes, the HTTP address of the first node, and the addresses of the engines."""
    folder = pathlib.Path(tempfile.mkdtemp())
    _, platform = start(processes, PROGRAMS / "fake-platform")
    engines = [start(processes, PROGRAMS / "fake-engine", *engine_flags)[1]["address"] for _ in range(2)]
    vms = [{"id": f"engine-{n}", "role": "endpoint", "address": engines[n % 2], "service": "engine", "region": "r1",
            "failure_domain": "d1"} for n in range(endpoint_count)]
    nodes = []
    first_address = None
    for n in range(node_count):
        settings = folder / f"{n}.toml"
        settings.write_text(f'[node]\nid = "n{n}"\nregion = "r1"\nfailure_domain = "d1"\n'
                            '[http]\naddress = "127.0.0.1:0"\n[rpc]\naddress = "127.0.0.1:0"\n'
                            f'[platform]\naddress = "{platform["address"]}"\n')
        process, ready = start(processes, PROGRAMS / "chicorydockd", f"--settings={settings}")
        nodes.append(process)
        vms.append({"id": f"n{n}", "role": "entry", "address": ready["rpc_address"], "region": "r1",
                    "failure_domain": "d1"})
        if n == 0:
            first_address = ready["http_address"]
            declarations = folder / "declarations.toml"
            declarations.write_text('[[service]]\nname = "engine"\nkind = "engine"\n[[model]]\nname = "m"\n'
                                    'service = "engine"\nversion = "1"\n[[workspace]]\nname = "w"\n'
                                    f'key_digests = ["{hashlib.sha256(b"key").hexdigest()}"]\n')
            subprocess.run([PROGRAMS / "chicorydock", f"--node={ready['rpc_address']}", "apply", declarations],
                           check=True, stdout=subprocess.DEVNULL)
    control(platform["address"], {"vms": vms})
    return nodes, first_address, engines


def stop(processes):
    for process in processes:
        process.kill()
        process.wait()


def measure_idle(node_count, endpoint_count, seconds):
    processes = []
    try:
        nodes, _, _ = start_system(processes, node_count, endpoint_count)
        time.sleep(20)
        before = [measure_usage(process) for process in nodes]
        time.sleep(seconds)
        after = [measure_usage(process) for process in nodes]
    finally:
        stop(processes)
    cpu = sorted((b[0] - a[0]) / seconds for a, b in zip(before, after))
    memory = sorted(it[1] for it in after)
    return {"row": "idle node", "nodes": node_count, "endpoints": endpoint_count, "seconds": seconds,
            "core_share_median": round(cpu[len(cpu) // 2], 5), "core_share_worst": round(cpu[-1], 5),
            "resident_mb_median": round(memory[len(memory) // 2] / 1e6, 1),
            "resident_mb_worst": round(memory[-1] / 1e6, 1)}


def complete(address, count, is_stream):
    """Sends requests one after the other over one connection and returns their durations in seconds."""
    connection = http.client.HTTPConnection(address, timeout=60)
    body = json.dumps({"model": "m", "prompt": "load", "stream": is_stream})
    headers = {"Authorization": "Bearer key", "Content-Type": "application/json"}
    durations = []
    for _ in range(count):
        start_time = time.monotonic()
        connection.request("POST", "/v1/completions", body, headers)
        response = connection.getresponse()
        response.read()
        assert response.status == 200, response.status
        durations.append(time.monotonic() - start_time)
    return sorted(durations)


def measure_latency(count=400):
    processes = []
    try:
        _, node, engines = start_system(processes, 1, 2, ["--min_tokens=1", "--max_tokens=1", "--base_gap_ms=1"])
        time.sleep(8)
        complete(node, 100, False)
        direct = complete(engines[0], count, False)
        via_node = complete(node, count, False)
    finally:
        stop(processes)
    p50_index, p99_index = count // 2, count * 99 // 100
    return {"row": "added latency", "requests": count, "direct_p50_ms": round(direct[p50_index] * 1e3, 2),
            "direct_p99_ms": round(direct[p99_index] * 1e3, 2), "added_p50_ms": round((via_node[p50_index] - direct[p50_index]) * 1e3, 2),
            "added_p99_ms": round((via_node[p99_index] - direct[p99_index]) * 1e3, 2)}


def measure_tokens(callers, tokens=100, requests=20):
    processes = []
    try:
        flags = [f"--min_tokens={tokens}", f"--max_tokens={tokens}", "--base_gap_ms=5", "--gap_slope_ms=0.1"]
        nodes, node, _ = start_system(processes, 1, 2, flags)
        time.sleep(8)
        complete(node, 10, True)
        before = measure_usage(nodes[0])[0]
        threads = [threading.Thread(target=complete, args=(node, requests, True)) for _ in range(callers)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        cpu = measure_usage(nodes[0])[0] - before
    finally:
        stop(processes)
    total = callers * requests
    return {"row": "streamed requests", "callers": callers, "tokens_per_request": tokens,
            "cpu_us_per_request": round(cpu / total * 1e6), "cpu_us_per_token": round(cpu / total / tokens * 1e6, 1)}


def main():
    seconds = int(sys.argv[1]) if len(sys.argv) > 1 else 20
    commit = subprocess.run(["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True).stdout.strip()
    for row in [measure_latency, lambda: measure_tokens(1), lambda: measure_tokens(8)]:
        print(json.dumps({**row(), "commit": commit}), flush=True)
    for nodes, endpoints in SIZES:
        print(json.dumps({**measure_idle(nodes, endpoints, seconds), "commit": commit}), flush=True)


main()
