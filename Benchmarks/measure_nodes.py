#!/usr/bin/env python3
"""Measures what real nodes cost while they serve no request: processor time and resident memory per node.

Starts a platform, two engines that stand for any number of endpoints, and nodes on loopback, for several sizes, and
prints one JSON line per row. Usage: measure_nodes.py [SECONDS]
"""
import json
import os
import pathlib
import subprocess
import sys
import tempfile
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


def used(process):
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    pages = int(pathlib.Path(f"/proc/{process.pid}/statm").read_text().split()[1])
    return (int(fields[11]) + int(fields[12])) / TICKS, pages * os.sysconf("SC_PAGE_SIZE")


def measure(node_count, endpoint_count, seconds):
    processes = []
    folder = pathlib.Path(tempfile.mkdtemp())
    try:
        _, platform = start(processes, PROGRAMS / "fake-platform")
        engines = [start(processes, PROGRAMS / "fake-engine")[1]["address"] for _ in range(2)]
        vms = [{"id": f"engine-{n}", "role": "endpoint", "address": engines[n % 2], "service": "engine", "region": "r1",
                "failure_domain": "d1"} for n in range(endpoint_count)]
        nodes = []
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
                declarations = folder / "declarations.toml"
                declarations.write_text('[[service]]\nname = "engine"\nkind = "engine"\n[[model]]\nname = "m"\n'
                                        'service = "engine"\nversion = "1"\n')
                subprocess.run([PROGRAMS / "chicorydock", f"--node={ready['rpc_address']}", "apply", declarations],
                               check=True, stdout=subprocess.DEVNULL)
        control(platform["address"], {"vms": vms})
        time.sleep(20)
        before = [used(process) for process in nodes]
        time.sleep(seconds)
        after = [used(process) for process in nodes]
    finally:
        for process in processes:
            process.kill()
            process.wait()
    cpu = sorted((b[0] - a[0]) / seconds for a, b in zip(before, after))
    memory = sorted(it[1] for it in after)
    return {"row": "idle node", "nodes": node_count, "endpoints": endpoint_count, "seconds": seconds,
            "core_share_median": round(cpu[len(cpu) // 2], 5), "core_share_worst": round(cpu[-1], 5),
            "resident_mb_median": round(memory[len(memory) // 2] / 1e6, 1),
            "resident_mb_worst": round(memory[-1] / 1e6, 1)}


def main():
    seconds = int(sys.argv[1]) if len(sys.argv) > 1 else 20
    commit = subprocess.run(["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True).stdout.strip()
    for nodes, endpoints in SIZES:
        print(json.dumps({**measure(nodes, endpoints, seconds), "commit": commit}), flush=True)


main()
