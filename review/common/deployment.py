"""A small deployment: entry hosts as processes, stand-ins of the platform, clients and a record."""

import asyncio
import json
import os
import pathlib
import signal
import sys
import tempfile
import time
import tomllib

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from http_stub import call, serve  # noqa: E402
from store_stub import Store  # noqa: E402
from worker_stub import Worker  # noqa: E402

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEADLINE_MS = 3000


class Deployment:
    def __init__(self, record):
        self.begin = time.monotonic()
        self.record_file = open(record, "w", encoding="utf-8")
        self.store = Store()
        self.machines = {}  # name: {"pool", "cpu", "rack", "state", "worker", "fence"}
        self.spare_pools = set()
        self.lengths = {}  # job: seconds, or None for tasks that last
        self.active = {}  # task: [(worker, run)]
        self.done, self.noted_done = {}, set()  # Task: run that ended done.
        self.starts = {}
        self.ends = {}  # Task: how its runs ended.
        self.late_starts = []  # Starts after an end that counts if it is taken note of by the end.
        self.broken = []
        self.entries = {}
        self.routes, self.version = [], 0
        self.folder = tempfile.TemporaryDirectory()
        self.on_start_hook = None
        self.outcome_of = lambda worker, run: "done"  # How a run ends that works to its end.
        self.tasks = []
        self.output = None  # File descriptor of the entry hosts' output; None: a file for each.
        self.helpers = []  # Further processes that the case has started.

    def note(self, text):
        self.record_file.write(f"{time.monotonic() - self.begin:8.3f} {text}\n")
        self.record_file.flush()

    def violate(self, rule, text):
        self.broken.append((rule, text))
        self.note(f"BROKEN {rule}: {text}")

    # Called by the workers

    def length_of(self, task):
        return self.lengths[task.split(".")[0]]

    def on_start(self, worker, body):
        task, number = body["task"], body["run"]
        self.starts[task] = self.starts.get(task, 0) + 1
        self.note(f"start {task} run {number} on {worker.id} fence {body['fence']}")
        for other, run in self.active.get(task, []):
            if other.is_alive and run.number != number:
                self.violate("TWICE", f"{task} run {number} on {worker.id} starts while run "
                             f"{run.number} is at work on {other.id}")
        if task in self.done:
            self.late_starts.append((task, f"{task} run {number} starts on {worker.id} after run "
                                     f"{self.done[task]} has ended done"))
        self.active.setdefault(task, [])
        if self.on_start_hook:
            self.on_start_hook(worker, body)
        run_of = type("Started", (), {"number": number})
        self.active[task].append((worker, run_of))

    def on_end(self, worker, run, how):
        self.note(f"end {run.task} run {run.number} on {worker.id} {how}")
        self.ends.setdefault(run.task, []).append(how)
        self.active[run.task] = [row for row in self.active.get(run.task, [])
                                 if not (row[0] is worker and row[1].number == run.number)]
        if how == "done":
            self.done.setdefault(run.task, run.number)

    def on_noted(self, task, how):
        if how == "done":
            self.noted_done.add(task)

    def judge_late_starts(self):
        for task, text in self.late_starts:
            if task in self.noted_done:
                self.violate("TWICE", text + ", and that end is taken note of")

    # The platform

    def configure(self, pools, spare=(), attempts=3):
        self.version += 1
        self.routes = [
            {"name": f"q-{pool}", "host": "callers", "prefix": f"/{pool}/", "service": pool,
             "kind": "non_idempotent", "timeout-ms": 3000, "priority": 0,
             "max-attempts": attempts, "stretch": 1.6, "target-latency-ms": 600}
            for pool in pools
        ]
        services = [{"name": pool, "spare": False} for pool in pools]
        services += [{"name": pool, "spare": True} for pool in spare]
        config = {"version": self.version, "routes": self.routes, "services": services,
                  "limits": {"max-body-bytes": 262144}}
        self.store.put("op/config", json.dumps(config).encode())

    async def add_worker(self, name, pool, cpu=16000, rack="r0"):
        worker = Worker(self, name, pool, cpu, rack)
        await worker.listen(1)
        self.machines[name] = {"pool": pool, "cpu": cpu, "rack": rack, "state": "up",
                               "worker": worker}
        self.tasks.append(asyncio.create_task(worker.live()))
        return worker

    def ends_of(self, job):
        """Returns how often runs of a job ended in which way."""
        count = {}
        for task, ends in self.ends.items():
            if task.startswith(job + "."):
                for how in ends:
                    count[how] = count.get(how, 0) + 1
        return count

    async def crash(self, name):
        """Ends a worker; its machine is listed as down until boot_after()."""
        row = self.machines[name]
        self.note(f"crash of {row['worker'].id} on {name} with {len(row['worker'].runs)} runs")
        await row["worker"].crash()
        row["worker"], row["state"] = None, "down"

    async def boot_after(self, name, seconds):
        await asyncio.sleep(seconds)
        row = self.machines[name]
        await self.add_worker(name, row["pool"], row["cpu"], row["rack"])

    async def machine_calls(self, request):
        if request.path == "/machines":
            rows = [
                {"machine": name, "pool": row["pool"], "state": row["state"], "zone": "zone-0",
                 "labels": ["a", row["rack"]],
                 "capacity": {"cpu": row["cpu"], "mem-mb": 65536, "gpu": 0},
                 "id": row["worker"].id if row["worker"] else ""}
                for name, row in self.machines.items()
            ]
            return 200, {"machines": rows, "next-token": ""}
        self.note(f"{request.path} {request.body.decode()} fence "
                  f"{request.headers.get('fencing-token')}")
        return 409, {"reason": "busy"}  # The cases here need no moves; a busy machine is left alone.

    async def start_platform(self):
        self.tasks.append(asyncio.create_task(self.store.run_leases()))
        _, port = await serve(self.machine_calls)
        self.cloud = f"127.0.0.1:{port}"

    # The entry hosts

    async def start_entries(self, count, cores=0.25):
        with open(ROOT / "deploy/system.toml", "rb") as file:
            words = tomllib.load(file)["roles"]["entry"]["run"].split()
        self.command = [str(ROOT / words[0])] + words[1:]
        ports = free_ports(3 * count)
        for index in range(count):
            name = f"edge-{index}"
            store, store_port = await self.store.listen()
            caller, health, peer = (f"127.0.0.1:{ports.pop()}" for _ in range(3))
            settings = {
                "id": name, "zone": "zone-0", "caller": caller, "health": health, "peer": peer,
                "store": store, "host_control": self.cloud, "advice": "", "cores": cores,
                "min_lease_ms": 1000, "hold_max_ms": 6000, "stop_limit_s": 6, "thaw_ms": 300,
                "move_s": 1.5, "maintenance_s": 2.0, "keep_ended_s": 120, "log": "info",
            }
            file = pathlib.Path(self.folder.name) / f"{name}.json"
            file.write_text(json.dumps(settings))
            self.entries[name] = {"caller": caller, "health": health, "store_port": store_port,
                                  "file": file, "process": None}
            await self.start_entry(name)

    async def start_entry(self, name):
        row = self.entries[name]
        with open(pathlib.Path(self.folder.name) / f"{name}.log", "ab") as log:
            output = log if self.output is None else self.output
            row["process"] = await asyncio.create_subprocess_exec(
                *self.command, cwd=ROOT, stdout=output, stderr=output,
                env={"PATH": os.environ.get("PATH", ""), "SARDINESPOKE_CONFIG": str(row["file"])})
        self.note(f"started {name}")

    def signal(self, name, number):
        self.note(f"{signal.Signals(number).name} to {name}")
        self.entries[name]["process"].send_signal(number)

    def leader(self):
        item = self.store.items.get("sardinespoke/leader")
        return json.loads(item[0])["name"] if item else ""

    async def wait_ready(self, timeout=20):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            answers = [await call(row["health"], "GET", "/ready", timeout=1)
                       for row in self.entries.values()]
            if all(status == 200 for status, _ in answers):
                return True
            await asyncio.sleep(0.1)
        return False

    async def ask(self, method, entry, path, body=None, timeout=None):
        headers = {"Host": "callers", "Deadline-Ms": str(DEADLINE_MS)}
        limit = DEADLINE_MS / 1000 if timeout is None else timeout
        status, answer = await call(self.entries[entry]["caller"], method, path, body, headers, limit)
        self.note(f"{method} {path} at {entry} -> {status} {json.dumps(answer)[:120]}")
        return status, answer

    async def submit(self, path, spec, steps, entries=None, tries=5):
        names = entries or list(self.entries)
        for attempt in range(tries):
            status, _ = await self.ask("POST", names[attempt % len(names)], path,
                                       {"spec": spec, "steps": steps})
            if status in (200, 404, 400):
                return status
            await asyncio.sleep(0.3)
        return status

    async def close(self):
        for process in [row["process"] for row in self.entries.values()] + self.helpers:
            if process and process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
                await process.wait()
        for task in self.tasks:
            task.cancel()
        logs = pathlib.Path(os.environ.get("KEEP_LOGS", "")) if os.environ.get("KEEP_LOGS") else None
        if logs:
            for file in pathlib.Path(self.folder.name).iterdir():
                (logs / file.name).write_bytes(file.read_bytes())
        self.folder.cleanup()


def free_ports(count):
    import socket

    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def run(case, folder, trouble):
    """Runs case(deployment, trouble); exits with 1 if a rule was broken, 0 if not, 2 if it could
    not run."""
    deployment = Deployment(pathlib.Path(folder) / "record.txt")

    deployment.note("with the disruption" if trouble else "without the disruption")

    async def main():
        # Ended from outside, the run still ends what it has started.
        loop, this = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, this.cancel)
        try:
            return await asyncio.wait_for(case(deployment, trouble), 110)
        finally:
            await deployment.close()

    code = 2
    try:
        could_run = asyncio.run(main())
        code = 2 if could_run is False else 1 if deployment.broken else 0
    except (Exception, asyncio.CancelledError) as failure:  # The case could not be run.
        deployment.note(f"could not run: {failure!r}")
        print(f"could not run: {failure!r}", file=sys.stderr)
    deployment.note(f"exit {code}; broken: {len(deployment.broken)}")
    for rule, text in deployment.broken[:5]:
        print(f"{rule}: {text}")
    print(f"exit {code}")
    sys.exit(code)
