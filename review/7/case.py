"""Case 7: sound batch jobs are kept back for 90 s after the workers of one zone have crashed."""
import os
import random
import struct
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from lab import *  # noqa: E402,F403

ZONES = ("zone-a", "zone-b", "zone-c")
WORKERS_PER_ZONE = 6  # banderin-dock: 18 workers, 6 in each of 3 zones
DOWN_S = 4.5  # srv_crash of banderin-dock: for_s 4.5
CRASHES_S = 1.4  # the workers of the zone crash one after the other within this time
HEARTBEATS_S = 3 * 1.2
SHARED_TOKENS, OWN_TOKENS, OUTPUT_TOKENS = 40_000, 250, 142  # a worker has memory for 147,261 tokens
FIRST_EVENT_S = SHARED_TOKENS / 157 / 1000  # 157 prompt tokens are read in a ms
JOBS, ITEMS = 1, 6
FINISH_S = 18
SEED = int(os.environ.get("SEED", "1"))


class PromptWorker(Worker):
    """A worker that reads the prompt before its first event."""

    async def run(self, request, writer, run):
        await asyncio.sleep(FIRST_EVENT_S)
        return await super().run(request, writer, run)


async def crash(worker, store, record):
    """The worker crashes: its connections are reset, its entry goes after three heartbeats, and a new incarnation with
    a new id and address comes."""
    open_items = [it["id"] for it in worker.runs if not it["end"]]
    record(f"worker {worker.id} crashes; it was running {', '.join(open_items) or 'nothing'}")
    worker.server.close()
    for writer in list(worker.writers):
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()
    await asyncio.sleep(HEARTBEATS_S)
    await store.remove("servers", worker.id)
    await asyncio.sleep(DOWN_S - HEARTBEATS_S)
    worker.id, worker.born = worker.id + "n", worker.born + 1
    await worker.listen(free_ports_for_node()[0])
    await worker.register()
    record(f"worker {worker.id} is there")


def submission(ident):
    """The items of a job share the first part of their prompts, which no other job has."""
    return json.dumps({"items": [
        {"id": f"{ident}{n:04x}", "path": "/b/x", "headers": {
            "Model": "m", "Token-Count": f"{SHARED_TOKENS + OWN_TOKENS},{OUTPUT_TOKENS}",
            "Prompt-Prefix": f"5a{ident}:{SHARED_TOKENS},{ident}{n:x}:{OWN_TOKENS}"},
         "body": "eA==", "token_count": SHARED_TOKENS + OWN_TOKENS + OUTPUT_TOKENS} for n in range(ITEMS)]}).encode()


async def main(folder, record, trouble):
    draw = random.Random(SEED)
    store = Store()
    await store.listen(free_ports(1)[0])
    await store.put("op", "config", configuration())
    workers = []
    for number in range(WORKERS_PER_ZONE * len(ZONES)):
        worker = PromptWorker(store, record, f"w{number:02}", "llm", slots=8, events=12, gap_s=0.05,
                              zone=ZONES[number // WORKERS_PER_ZONE])
        await worker.listen(free_ports_for_node()[0])
        await worker.register()
        workers.append(worker)
    nodes = [Node(store, folder, number, zone=zone, zones=ZONES) for number, zone in enumerate(ZONES)]
    try:
        for node in nodes:
            await node.start()
        if not all([await node.wait_ready() for node in nodes]):
            record("a node is not ready")
            return 2
        await asyncio.sleep(2)
        jobs = [f"{number + 1:08x}" for number in range(JOBS)]
        crashes = []
        zone_workers = workers[:WORKERS_PER_ZONE]
        draw.shuffle(zone_workers)
        for ident in jobs:
            status = (await call(nodes[0].address(0), "POST", "/b/1", {"Request-Id": ident}, submission(ident)))[0]
            record(f"job {ident} sent to node-0: {status}")
            if status != 202:
                return 2
        if trouble:
            # The next one to crash is one that is running items, if there is one.
            while zone_workers:
                await asyncio.sleep(CRASHES_S / WORKERS_PER_ZONE)
                zone_workers.sort(key=lambda it: any(not run["end"] for run in it.runs))
                crashes.append(asyncio.ensure_future(crash(zone_workers.pop(), store, record)))
            await asyncio.gather(*crashes)
        record("from now on nothing is disturbed")
        calm_from = now()
        # Items that failed at a worker in the last 20 s do not count, so the check waits for longer than `finish_s`.
        await asyncio.sleep(max(FINISH_S, 20) + 4)
        end = now()
        runs = [it for worker in workers for it in worker.runs]
        had = {it["id"] for it in runs if not it["end"] or it["until"] >= end - 5}
        failed = {it["id"] for it in runs if it["end"] == "dropped" and it["until"] >= end - 20}
        finished = [it for it in runs if it["end"] == "complete" and it["until"] >= end - 3]
        busy, slots = sum(1 for it in runs if not it["end"]), sum(it.slots for it in workers)
        record(f"{end - calm_from:.0f} s later: {busy} of {slots} slots are in use, {len(had)} items were at workers in "
               f"the last 5 s, {len(finished)} were finished in the last 3 s")
        lost = 0
        for ident in jobs:
            total, results = await read_job(nodes[1].address(0), ident)
            if total is None:
                return 2
            listed = {it["id"] for it in results}
            missing = {f"{ident}{n:04x}" for n in range(ITEMS)} - listed - had - failed
            if missing and not finished and busy * 2 < slots:
                lost += 1
                record(f"job {ident}: {len(missing)} of {ITEMS} items are not listed and at no worker")
        record(f"LOST counts {lost} of {JOBS} jobs")
        return 1 if lost else 0
    finally:
        for node in nodes:
            await node.stop()


run_case(main)
