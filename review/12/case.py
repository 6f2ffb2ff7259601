"""The service of a route changes in a long configuration; then the leader is stopped, as in a rolling
restart. The machines have links of 10 Mbit/s."""

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
SECOND = f"{JOB}.0.1."
SERVICES = ("alpha", "beta")
# The workers of beta are in another zone; one way is 0.9 ms between zones.
ROUND_TRIP_S = {"alpha": 0.0, "beta": 0.0018}
WORKERS = {"alpha": 3, "beta": 8}
MORE_ROUTES = 1400
LINK_BITS_PER_S = 10_000_000


def routes(service):
    return {"q": service} | {f"idle-{number}": "alpha" for number in range(MORE_ROUTES)}


def make():
    machines = [
        Machine(f"m-{pool[0]}{i}", pool, f"r-{pool[0]}{i}", round_trip=ROUND_TRIP_S[pool])
        for pool in SERVICES
        for i in range(WORKERS[pool])
    ]
    world = World(RECORD, machines, link_bits_per_s=LINK_BITS_PER_S)
    world.configure(1, routes("alpha"), SERVICES)
    return world


def holders(world):
    return [w for w in world.workers() if any(task.startswith(SECOND) for task in list(w.runs))]


def play(world, trouble):
    both = []

    def on_start(worker, task, number):
        for other in world.workers():
            if other is not worker and task in other.runs:
                both.append(f"TWICE: {task} run {number} starts on {worker.id} while run "
                            f"{other.runs[task].number} is running on {other.id}")
                world.record.add(both[-1])

    time.sleep(2.0)
    world.on_start = on_start
    world.lengths = {f"{JOB}.0.0": 4.0, f"{JOB}.0.1": 12.0}
    step = {"count": 1, "cpu": 1000, "mem-mb": 512, "estimate-ms": 3000}
    second = step | {"count": 16, "cpu": 6000, "estimate-ms": 12000, "after": [0]}
    world.submit(PATH, {"spec": "permit", "steps": [step, second]})
    world.wait("the first step runs", lambda: any(w.runs for w in world.workers()), 5)
    world.configure(3, routes("beta"), SERVICES)
    world.wait("the second step runs", lambda: holders(world), 10)
    if not all(worker.machine.pool == "beta" for worker in holders(world)):
        raise RuntimeError("the second step does not run on beta")
    time.sleep(3.0)  # Longer than config-apply-ms.
    if trouble:
        leader = world.leader()
        leader["process"].send_signal(signal.SIGTERM)
        world.record.add(f"{leader['name']}, the leader, gets SIGTERM")
    end = time.monotonic() + 12
    while time.monotonic() < end and not both:
        time.sleep(0.05)
    if not both and not trouble and world.state(PATH) != "done":
        raise TimeoutError("the job is not done")
    return both[0] if both else None


run_case(make, play)
