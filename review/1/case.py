"""More than 500 ends wait at a worker while the store is down: ends that the worker's list has no
room for are taken for lost runs."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

from deployment import run  # noqa: E402

OUTAGE_S = 4.5  # The length of `platform_down` in the site file.
JOBS, TASKS, TASK_S = 12, 250, 0.4


async def case(d, trouble):
    await d.start_platform()
    for number in range(3):
        await d.add_worker(f"m-{number}", "alpha")
    d.configure(["alpha"])
    await d.start_entries(3)
    if not await d.wait_ready():
        return False
    step = {"count": TASKS, "cpu": 100, "mem-mb": 64, "estimate-ms": 400}
    paths = []
    for number in range(JOBS):
        job = f"{0xa000 + number:016x}"
        d.lengths[job] = TASK_S
        paths.append(f"/alpha/{job}")
    answers = await asyncio.gather(*(d.submit(path, "work", [step]) for path in paths))
    if any(status != 200 for status in answers):
        return False
    await asyncio.sleep(0.5)
    if trouble:
        d.note("the store is down")
        d.store.is_silent = True
        await asyncio.sleep(OUTAGE_S)
        d.store.pause_leases(OUTAGE_S)
        d.store.is_silent = False
        d.note("the store is back")
    else:
        await asyncio.sleep(OUTAGE_S)
    left = set(paths)
    for _ in range(60):
        await asyncio.sleep(0.5)
        for path in list(left):
            status, body = await d.ask("GET", "edge-0", path)
            if status == 200 and body.get("state") == "done":
                left.discard(path)
        if not left:
            break
    d.note(f"{len(d.done)} tasks have ended done, {sum(d.starts.values())} starts, "
           f"{len(left)} jobs are not shown as done")
    d.judge_late_starts()
    return True


# TROUBLE=0 does the same without the disruption.
run(case, pathlib.Path(__file__).resolve().parent, os.environ.get("TROUBLE", "1") != "0")
