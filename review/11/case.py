"""A route is switched and switched back; then the leader is stopped as in a rolling restart."""

import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
RECORD = HERE / "record.txt"  # What was sent, answered and run.
sys.path.insert(0, str(HERE.parent / "lib3"))
from world import Machine, World, run_case  # noqa: E402

JOB = "5c0e7a21d94b36f8"
PATH = f"/q/{JOB}"
LONG = f"{JOB}.0.1."
SERVICES = ("alpha", "beta")
# The workers of beta are in another zone; one way is 0.9 ms between zones.
ROUND_TRIP_S = {"alpha": 0.0, "beta": 0.0018}


def make():
    machines = [
        Machine(f"m-{pool[0]}{i}", pool, f"r-{pool[0]}{i}", round_trip=ROUND_TRIP_S[pool])
        for pool in SERVICES
        for i in (1, 2, 3)
    ]
    world = World(RECORD, machines)
    world.configure(1, {"q": "alpha"}, SERVICES)
    return world


def holders(world):
    return [w for w in world.workers() if any(task.startswith(LONG) for task in w.runs)]


def play(world, trouble):
    both = []

    def on_start(worker, task, number):
        others = [w for w in world.workers() if w is not worker and task in w.runs]
        for other in others:
            both.append(f"TWICE: {task} run {number} starts on {worker.id} while run "
                        f"{other.runs[task].number} is running on {other.id}")
            world.record.add(both[-1])

    world.on_start = on_start
    world.lengths = {f"{JOB}.0.0": 3.0, f"{JOB}.0.1": 12.0}
    step = {"count": 1, "cpu": 1000, "mem-mb": 512, "estimate-ms": 3000}
    world.submit(PATH, {"spec": "permit", "steps": [step, step | {"count": 6, "cpu": 6000, "estimate-ms": 12000, "after": [0]}]})
    world.wait("the first step runs", lambda: any(w.runs for w in world.workers()), 5)
    world.configure(2, {"q": "beta"}, SERVICES)
    world.wait("the second step runs", lambda: holders(world), 10)
    time.sleep(0.5)
    world.configure(4, {"q": "alpha"}, SERVICES)
    time.sleep(2.5)  # Longer than config-apply-ms.
    leader = world.leader()
    if trouble:
        leader["process"].send_signal(signal.SIGTERM)
        world.record.add(f"{leader['name']}, the leader, gets SIGTERM")
    end = time.monotonic() + 12
    while time.monotonic() < end and not both:
        time.sleep(0.05)
    if not both and not trouble and world.state(PATH) != "done":
        raise TimeoutError("the job is not done")
    return both[0] if both else None


run_case(make, play)
