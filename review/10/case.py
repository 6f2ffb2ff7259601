"""Tasks that last end by themselves, as `done` or, without trouble, as `failed`."""

import asyncio
import sys

sys.path.insert(0, "../lib2")
import world

RECORD = "record.txt"  # In this folder, where run.sh starts the case.

TASKS = 4
LASTING = {
    "spec": "x",
    "steps": [{"count": TASKS, "cpu": 500, "mem-mb": 256, "long-running": True}],
}
END_AFTER_S, HOW = 2.0, "done" if world.TROUBLE else "failed"
SETTLE_S = 6.0  # "from 6 s after its last run"
IDLE_S = 3.0


async def case(deployment):
    for server in deployment.servers:
        server.own_end = lambda task, run: (END_AFTER_S, HOW)
    job = await deployment.submit(LASTING)
    if not job:
        raise OSError("no job was accepted")
    await asyncio.sleep(END_AFTER_S + SETTLE_S)
    running = 0
    for _ in range(int(IDLE_S * 50)):
        running += sum(len(server.runs) for server in deployment.servers)
        await asyncio.sleep(0.02)
    _, answer = await deployment.request("GET", job)
    starts = sum(len(times) for server in deployment.servers for times in server.starts_of.values())
    deployment.record.add(f"starts of {TASKS} tasks that last: {starts}, shown as {answer}")
    return running > 0


world.main(RECORD, case)
