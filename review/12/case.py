"""A client hands in one scheduled job of legal size; its occurrences come due 20 times a second."""

import pathlib
import subprocess
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib3"))
from world import Machine, World, run_case  # noqa: E402

JOB = "5c0e7a21d94b36f8"
ORDINARY = "1111111111111111"
MEMORY_MB = 260  # Of the machine, as in the settings.
ENDS = 3  # Times that a process has to end by itself,
MACHINES = 2  # on so many machines.


def make():
    world = World(HERE, [Machine(f"m-a{i}", "alpha", f"r-{i}") for i in range(3)])
    world.configure(1, {"q": "alpha"}, ("alpha",))
    return world


def memory_mb(process):
    try:
        status = pathlib.Path(f"/proc/{process.pid}/status").read_text(encoding="utf-8")
        return int(status.split("VmRSS:")[1].split()[0]) // 1024
    except (OSError, IndexError):
        return 0


def play(world, trouble):
    time.sleep(1.0)
    interval = 50 if trouble else 3600000
    first = int(time.time() * 1000) + 2000
    step = {"count": 10000, "cpu": 10, "mem-mb": 1, "estimate-ms": 1000}
    world.submit(f"/q/{JOB}", {"spec": "reminder", "steps": [step], "first-ms": first,
                               "interval-ms": interval, "repeats": 20000})
    step = {"count": 1, "cpu": 1000, "mem-mb": 512, "estimate-ms": 1000}
    world.submit(f"/q/{ORDINARY}", {"spec": "permit", "steps": [step]})
    ends = {entry["name"]: 0 for entry in world.entries}
    end = time.monotonic() + (95 if trouble else 20)
    while time.monotonic() < end:
        time.sleep(0.05)
        for entry in world.entries:
            process, used = entry["process"], memory_mb(entry["process"])
            if process.poll() is None and used <= MEMORY_MB:
                continue
            # The platform kills a process that exceeds the memory of its machine, and restarts it.
            process.kill()
            process.wait()
            ends[entry["name"]] += 1
            world.record.add(f"{entry['name']} ends with {used} MB, for the {ends[entry['name']]}. time")
            time.sleep(0.3)
            with open(entry["log"], "ab") as log:
                entry["process"] = subprocess.Popen(process.args, stdout=log, stderr=log)
        if sum(count >= ENDS for count in ends.values()) >= MACHINES:
            state = world.call("GET", f"/q/{ORDINARY}")
            return f"Fault: processes ended by themselves {ends} times; a GET for an ordinary job: {state[0]}"
    if not trouble and world.state(f"/q/{ORDINARY}") != "done":
        raise TimeoutError("the ordinary job is not done")
    return None


run_case(make, play)
