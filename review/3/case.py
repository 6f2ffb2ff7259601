"""One run of a task ends `failed`. The task is not started again, although the worker where it
failed stands empty and sound."""

import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

from deployment import run  # noqa: E402

CPU = 16000
CALM_S = 7.0  # The 3 s of the rule and the 4 s before them.


async def case(d, trouble):
    await d.start_platform()
    workers = [await d.add_worker(f"m-{number}", "alpha", CPU) for number in range(2)]
    d.configure(["alpha"], attempts=3)
    await d.start_entries(3)
    if not await d.wait_ready():
        return False
    # A job of one task that lasts takes 10 of the 16 cores of one worker.
    standing = f"{0xf000:016x}"
    d.lengths[standing] = None
    step = {"count": 1, "cpu": 10000, "mem-mb": 4000, "long-running": True}
    if await d.submit(f"/alpha/{standing}", "stands", [step]) != 200:
        return False
    await asyncio.sleep(2)
    free = next(w for w in workers if not w.runs)
    # A job of one task of 8 cores: it fits on the other worker, twice over.
    job = f"{0xf001:016x}"
    task = f"{job}.0.0.0"
    d.lengths[job] = 2.0
    failures = [1 if trouble else 0]

    def outcome_of(worker, ended):
        if ended.task == task and failures[0] > 0:
            failures[0] -= 1
            return "failed"
        return "done"

    d.outcome_of = outcome_of
    step = {"count": 1, "cpu": 8000, "mem-mb": 4000, "estimate-ms": 2000}
    if await d.submit(f"/alpha/{job}", "work", [step]) != 200:
        return False
    idle_since, longest = None, 0.0
    end = time.monotonic() + 40
    while time.monotonic() < end and task not in d.done:
        await asyncio.sleep(0.05)
        waits = not d.active.get(task) and d.starts.get(task, 0) > 0 and task not in d.done
        in_use = sum(8000 if r.task == task else 10000 for w in workers for r in w.runs.values())
        has_room = not free.runs and free.is_alive and in_use * 2 < 2 * CPU
        idle_since = (idle_since or time.monotonic()) if waits and has_room else None
        if idle_since:
            longest = max(longest, time.monotonic() - idle_since)
    status, answer = await d.ask("GET", "edge-0", f"/alpha/{job}")
    d.note(f"longest time with nothing running and room twice over: {longest:.1f} s")
    if longest > CALM_S:
        d.violate("LOST", f"{task} has nothing running for {longest:.1f} s, with {free.id} empty "
                  f"(16 cores, the task needs 8) and 10 of 32 cores of the service in use; the job "
                  f"is shown as {answer.get('state', status)}")
    elif task not in d.done:
        return False
    return True


# TROUBLE=0 does the same without the disruption.
run(case, pathlib.Path(__file__).resolve().parent, os.environ.get("TROUBLE", "1") != "0")
