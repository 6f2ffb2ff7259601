"""A small deployment on loopback for the cases of the second review: store, backend servers, host
control and entry host processes. The stand-ins follow PROTOCOL.md; the standard library suffices."""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = "target/sardinespoke-entry"  # The `run` line of deploy/system.toml.
VALUE_BYTES = 1048576
PAGE_ITEMS = 500
MAX_ENTRIES = 32
STORE_DELAY_S = 0.004
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 6000
STOP_S = 0.1
STARTUP_S = 0.3  # Of a task that lasts.
RESTART_DELAY_S = 0.3
MEMORY_PERIOD_S = 0.01
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Record:
    """The record of a case: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = time.monotonic()

    def add(self, text):
        self.file.write(f"{time.monotonic() - self.begin:8.3f} {text}\n")
        self.file.flush()


async def read_message(reader):
    """Returns the first line, the header fields and the body of an HTTP message."""
    first = (await reader.readline()).decode("latin-1").strip()
    if not first:
        return None
    headers = {}
    while line := (await reader.readline()).decode("latin-1").strip():
        name, value = line.split(":", 1)
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


async def serve(handler, connections=None):
    """Serves JSON over HTTP/1.1. The handler returns a status and a body.

    connections: set that holds the writers of the open connections."""

    async def accept(reader, writer):
        if connections is not None:
            connections.add(writer)
        try:
            while message := await read_message(reader):
                first, headers, body = message
                method, target, _ = first.split()
                answer = await handler(method, target, headers, json.loads(body) if body else {})
                data = json.dumps(answer[1]).encode()
                head = f"HTTP/1.1 {answer[0]} X\r\nContent-Type: application/json\r\n"
                writer.write(head.encode() + f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
            if connections is not None:
                connections.discard(writer)

    server = await asyncio.start_server(accept, "127.0.0.1", 0, limit=1 << 26)
    return server.sockets[0].getsockname()[1]


async def call(port, method, path, body=None, host="", timeout=3.0):
    """Sends one request. Returns the status and the body; status 0 without a whole answer."""
    try:
        return await asyncio.wait_for(exchange(port, method, path, body, host, timeout), timeout)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, TypeError):
        return 0, {}


async def exchange(port, method, path, body, host, timeout):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        data = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
        head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nDeadline-Ms: {int(timeout * 1000)}\r\n"
        head += "Content-Type: application/json\r\nConnection: close\r\n"
        writer.write(head.encode() + f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
        first, _, answer = await read_message(reader)
        return int(first.split()[1]), json.loads(answer) if answer else {}
    finally:
        writer.close()


def query_of(target):
    return {name: values[0] for name, values in parse_qs(urlsplit(target).query).items()}


class Store:
    """The platform's store: transactions with expectations, leases and watches."""

    def __init__(self):
        self.rev, self.items, self.history, self.leases, self.next_lease = 10, {}, [], {}, 100
        self.changed = asyncio.Event()
        self.commits = 0  # Transactions that took effect.
        self.refused = 0  # Transactions that are above a limit of the page.

    def item(self, key):
        value, rev, created, lease = self.items[key]
        text = base64.b64encode(value).decode()
        return {"key": key, "value": text, "rev": rev, "created": created, "lease": lease}

    def note(self, event):
        self.history.append((event["rev"], event))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        created = self.items[key][2] if key in self.items else self.rev
        self.items[key] = (value, self.rev, created, lease)
        self.note(self.item(key))

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.note({"key": key, "rev": self.rev, "removed": True})

    def write(self, key, document):
        """A write of the operator or of a backend server."""
        self.rev += 1
        self.put(key, json.dumps(document).encode())

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            for lease in [each for each, end in self.leases.items() if end[0] < time.monotonic()]:
                self.drop_lease(lease)

    def drop_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item[3] == lease]:
            self.rev += 1
            self.remove(key)

    async def handle(self, method, target, _, body):
        await asyncio.sleep(STORE_DELAY_S)
        path, query = target.split("?")[0], query_of(target)
        if path == "/kv-range":
            return self.range(query["prefix"], query.get("after", ""))
        if path == "/kv-watch":
            return await self.watch(query)
        if path == "/kv-txn":
            return self.change(body)
        if path == "/kv-lease":
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + body["ttl-ms"] / 1000, body["ttl-ms"])
            return 200, {"lease": self.next_lease, "ttl-ms": body["ttl-ms"]}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self.rev += 1
            self.drop_lease(lease)
            return 200, {}
        ttl = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
        return 200, {"ttl-ms": ttl}

    def range(self, prefix, after):
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page, size = [], 0
        for key in keys[:PAGE_ITEMS]:
            size += len(self.items[key][0])
            if page and size > VALUE_BYTES:
                break
            page.append(self.item(key))
        return 200, {"items": page, "more-pages": len(page) < len(keys), "current-rev": self.rev}

    async def watch(self, query):
        after, end = int(query["after"]), time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            events = []
            for rev, event in reversed(self.history):
                if rev <= after:
                    break
                if event["key"].startswith(query["prefix"]):
                    events.insert(0, event)
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current-rev": self.rev}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def change(self, body):
        expect, writes, deletes = (body.get(part) or [] for part in ("expect", "writes", "deletes"))
        is_large = any(len(row["value"]) // 4 * 3 > VALUE_BYTES + 2 for row in writes)
        if is_large or len(expect) + len(writes) + len(deletes) > MAX_ENTRIES:
            self.refused += 1
            return 400, {}
        if any(self.items.get(row["key"], (0, 0))[1] != row["rev"] for row in expect):
            items = [self.item(row["key"]) for row in expect if row["key"] in self.items]
            return 412, {"items": items, "current-rev": self.rev}
        if any(row.get("lease", 0) and row["lease"] not in self.leases for row in writes):
            return 404, {}
        self.rev += 1
        self.commits += 1
        for key in deletes:
            self.remove(key)
        for row in writes:
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        return 200, {"rev": self.rev}


class Run:
    def __init__(self, number, seconds, lasts):
        self.number, self.begin, self.seconds, self.lasts = number, time.monotonic(), seconds, lasts


class Server:
    """A backend server that starts whatever it is told to (`admission-check` false)."""

    def __init__(self, world, index, pool):
        self.world, self.pool = world, pool
        self.id, self.host, self.rack = f"i-{index:04x}", f"m-{index:04x}", f"r1-{index // 4}"
        self.begin, self.born = time.monotonic(), int(time.time() * 1000)
        self.fence = self.seq = self.number = 0
        self.lease_end, self.runs, self.stopped, self.ended = 0.0, {}, {}, []
        self.acknowledged = 0  # Ends up to this number were taken note of.
        self.event = asyncio.Event()
        self.connections = set()
        self.starts_of = {}  # Times of the starts, by task.
        # How a run of a task that lasts ends by itself: a time and a kind.
        self.own_end = lambda task, run: None
        self.is_up, self.quiet_until = True, 0.0  # See crash() and restart().
        self.is_dark, self.withheld = False, []  # Calls that are taken, and not carried out yet.
        self.is_dark_from = lambda target, body: False  # True: no answer from this call on.

    def crash(self):
        """Ends at once: what ran there is gone, and connections break."""
        self.is_up = self.is_dark = False
        self.is_dark_from = lambda target, body: False
        self.runs, self.ended = {}, []
        self.world.record.add(f"{self.id} crashes")
        for writer in list(self.connections):
            writer.transport.abort()

    def restart(self, quiet_s=0.0):
        """Starts again under its id and knows nothing of before. Its first entry comes by then."""
        self.is_up = True
        self.begin, self.born = time.monotonic(), int(time.time() * 1000)
        self.fence = self.seq = self.number = self.acknowledged = 0
        self.lease_end, self.stopped = 0.0, {}
        self.quiet_until = self.begin + quiet_s
        self.world.record.add(f"{self.id} has started again")

    def clock(self):
        return int((time.monotonic() - self.begin) * 1000) + 1

    def heartbeat(self):
        if not self.is_up or time.monotonic() < self.quiet_until:
            return
        self.seq += 1
        self.world.store.write(
            "servers/" + self.id,
            {"service": self.pool, "address": f"127.0.0.1:{self.port}", "zone": "z1",
             "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
             "capacity": {"cpu": 16000, "mem-mb": 65536, "gpu": 0}, "labels": ["a", self.rack],
             "clock-ms": self.clock(), "seq": self.seq, "born": self.born, "machine": self.host},
        )  # fmt: skip

    def answer(self, status=200, **fields):
        return status, {"clock-ms": self.clock(), "born": self.born} | fields

    def end(self, task, how):
        run = self.runs.pop(task)
        self.stopped[task] = max(run.number, self.stopped.get(task, 0))
        self.number += 1
        self.ended.append([self.number, task, run.number, how, ""])
        self.world.record.add(f"{self.id} end {task} run {run.number} {how}")
        self.world.on_end(self, task, how)
        self.event.set()
        self.event = asyncio.Event()

    def update(self):
        now = time.monotonic()
        for task, run in list(self.runs.items()):
            own = self.own_end(task, run) if run.lasts else None
            if now > self.lease_end:
                self.end(task, "lapsed")
            elif own and now - run.begin >= own[0]:
                self.end(task, own[1])
            elif not run.lasts and now - run.begin >= run.seconds:
                self.end(task, "done")

    def percent(self, run):
        age = time.monotonic() - run.begin
        return (100 if age > STARTUP_S else 50) if run.lasts else min(99, int(age / run.seconds * 100))

    def lists(self):
        running = [[task, run.number, "", self.percent(run), 10] for task, run in self.runs.items()]
        return self.answer(running=running, ended=self.ended[:500])

    async def handle(self, _, target, headers, body):
        self.is_dark = self.is_dark or self.is_dark_from(target, body)
        if self.is_dark:
            self.withheld.append((time.monotonic(), target, headers, body))
            self.world.record.add(f"{self.id} doesn't answer {target} {json.dumps(body)[:160]}")
            await asyncio.sleep(60)
        if not self.is_up:
            raise ConnectionResetError
        return await self.carry_out(target, headers, body)

    async def carry_out(self, target, headers, body):
        if headers.get("expect-instance", self.id) != self.id:
            return 421, {}
        if body.get("fence", 0) < self.fence:
            return self.answer(409, reason="fence")
        self.fence = max(self.fence, body.get("fence", 0))
        if "deadline-ms" in body and target != "/run-stop":
            deadline = min(body["deadline-ms"], self.clock() + HOLD_MAX_MS)
            if target == "/run-start" and body["deadline-ms"] < self.clock():
                return self.answer(409, reason="late")
            self.lease_end = max(self.lease_end, self.begin + deadline / 1000)
        if target == "/run-start":
            return self.start(body)
        if target == "/run-stop":
            run = self.runs.get(body["task"])
            self.stopped[body["task"]] = max(body["run"], self.stopped.get(body["task"], 0))
            if run and run.number == body["run"]:
                asyncio.get_running_loop().call_later(STOP_S, self.stop, body["task"], run)
            return self.answer()
        if target == "/hold":
            self.acknowledged = max(self.acknowledged, body["seen-upto"])
            self.ended = [row for row in self.ended if row[0] > body["seen-upto"]]
            if not self.ended and body.get("wait-ms"):
                try:
                    await asyncio.wait_for(self.event.wait(), body["wait-ms"] / 1000)
                except asyncio.TimeoutError:
                    pass
            return self.lists()
        return self.answer()

    def stop(self, task, run):
        if self.runs.get(task) is run:
            self.end(task, "stopped")

    def start(self, body):
        task, number = body["task"], body["run"]
        known = self.runs.get(task)
        if known and known.number == number:
            return self.answer()
        if known or number <= self.stopped.get(task, 0):
            return self.answer(409, reason="old")
        step = self.world.jobs[task.split(".")[0]]["steps"][int(task.split(".")[2])]
        seconds = max(step.get("estimate-ms", 100), 1) / 1000
        self.runs[task] = Run(number, seconds, step.get("long-running", False))
        self.starts_of.setdefault(task, []).append(time.monotonic())
        self.world.on_start(self, task, number)
        return self.answer()


class Entry:
    """An entry host: its process, restarted when it ends, and the limit of its memory."""

    def __init__(self, world, index, store_port):
        self.world, self.name, self.process = world, f"edge-z{index + 1}-1", None
        self.caller, self.health, self.peer = free_ports(3)
        self.peak_mb = 0
        self.over_limit = []  # Times at which the process was above the limit of its memory.
        self.other_ends = []  # Exit codes of ends by itself.
        limits = world.limits
        self.settings = {
            "id": self.name, "zone": f"z{index + 1}", "caller": f"127.0.0.1:{self.caller}",
            "health": f"127.0.0.1:{self.health}", "peer": f"127.0.0.1:{self.peer}",
            "store": f"127.0.0.1:{store_port}", "host_control": f"127.0.0.1:{world.cloud_port}",
            "advice": "", "cores": 0.25, "memory_mb": limits["memory_mb"], "max_descriptors": 4100,
            "min_lease_ms": 1000, "hold_max_ms": HOLD_MAX_MS, "stop_limit_s": 6, "thaw_ms": 300,
            "move_s": 1.5, "maintenance_s": 2, "keep_ended_s": 120, "config_apply_ms": 2000,
            "config_stretch_ms": 5000, "log": "info",
        }  # fmt: skip
        self.file = world.folder / f"{self.name}.json"
        self.file.write_text(json.dumps(self.settings))

    async def run(self):
        while True:
            with open(self.world.folder / f"{self.name}.log", "ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    PROGRAM, cwd=ROOT, stdout=log, stderr=log,
                    env={"SARDINESPOKE_CONFIG": str(self.file), "PATH": os.environ["PATH"]},
                )  # fmt: skip
            watch = asyncio.create_task(self.watch_memory(self.process))
            code = await self.process.wait()
            watch.cancel()
            if code != -signal.SIGKILL:
                self.other_ends.append(code)
            self.world.record.add(f"{self.name} ended with {code}, peak {self.peak_mb} MB")
            await asyncio.sleep(RESTART_DELAY_S)

    async def watch_memory(self, process):
        """Kills the process above `memory-mb`, as the platform does (DEPLOY.md)."""
        page = os.sysconf("SC_PAGE_SIZE")
        while True:
            await asyncio.sleep(MEMORY_PERIOD_S)
            try:
                pages = int(pathlib.Path(f"/proc/{process.pid}/statm").read_text().split()[1])
            except (OSError, IndexError):
                return
            megabytes = pages * page >> 20
            self.peak_mb = max(self.peak_mb, megabytes)
            if megabytes > self.world.limits["memory_mb"]:
                self.over_limit.append(time.monotonic())
                self.world.record.add(f"{self.name} is killed: {megabytes} MB")
                process.kill()
                return


class World:
    """The deployment of a case."""

    def __init__(self, record, entries=3, servers=8, memory_mb=260):
        self.record = Record(record)
        self.limits = {"memory_mb": memory_mb}
        self.jobs = {}  # What clients have sent, by id.
        self.accepted = set()
        self.random = random.Random(int(os.environ.get("SEED", "1")))
        self.store, self.entries, self.tasks = Store(), [], []
        self.servers = [Server(self, index, "alpha") for index in range(servers)]
        self.entry_count = entries
        self.on_start = lambda server, task, number: self.record.add(f"{server.id} start {task} run {number}")
        self.on_end = lambda server, task, how: None

    async def store_port_of(self, port):
        """Replaced by cases that put a proxy between an entry host and the store."""
        return port

    async def cloud(self, method, target, headers, body):
        rows = [
            {"machine": s.host, "pool": s.pool, "state": "up" if s.is_up else "down", "zone": "z1",
             "labels": ["a", s.rack], "capacity": {"cpu": 16000, "mem-mb": 65536, "gpu": 0},
             "id": s.id if s.is_up else ""}
            for s in self.servers
        ]  # fmt: skip
        return (200, {"machines": rows, "next-token": None}) if method == "GET" else (409, {"reason": "busy"})

    def configure(self):
        route = {"name": "r-1", "host": "pule25.example", "prefix": "/puxa400/", "priority": 0,
                 "kind": "non_idempotent", "timeout-ms": 3000, "target-latency-ms": 600,
                 "service": "alpha", "max-attempts": 3, "stretch": 1.6}  # fmt: skip
        service = {"name": "alpha", "health-path": "/health", "max-conns": 64, "protocol": "h1",
                   "tls": False, "admission-check": False, "spare": False}  # fmt: skip
        limits = {"max-header-bytes": 16384, "max-body-bytes": 262144,
                  "header-timeout-ms": 3000, "idle-timeout-ms": 15000}  # fmt: skip
        self.store.write("op/config", {"version": 7, "routes": [route], "services": [service], "limits": limits})

    def spawn(self, coroutine):
        self.tasks.append(asyncio.get_running_loop().create_task(coroutine))

    async def start(self):
        store_port = await serve(self.store.handle)
        self.cloud_port = await serve(self.cloud)
        self.spawn(self.store.expire_leases())
        self.configure()
        for server in self.servers:
            server.port = await serve(server.handle, server.connections)
        self.spawn(self.run_servers())
        for index in range(self.entry_count):
            self.entries.append(Entry(self, index, await self.store_port_of(store_port)))
            self.spawn(self.entries[-1].run())
        await self.wait_ready(10)

    async def run_servers(self):
        beat = 0.0
        while True:
            if time.monotonic() >= beat:
                beat = time.monotonic() + HEARTBEAT_S
                for server in self.servers:
                    server.heartbeat()
            for server in self.servers:
                server.update()
            await asyncio.sleep(0.01)

    async def ready_entries(self):
        answers = await asyncio.gather(
            *(call(entry.health, "GET", "/ready", timeout=1.0) for entry in self.entries)
        )
        return [entry for entry, answer in zip(self.entries, answers) if answer[0] == 200]

    async def wait_ready(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if len(await self.ready_entries()) == len(self.entries):
                return True
            await asyncio.sleep(0.1)
        return False

    async def request(self, method, id, body=None, timeout=3.0):
        """Sends one request to an entry host, chosen as by a balancer that knows none to be bad."""
        entry = self.random.choice(self.entries)
        begin = time.monotonic()
        status, answer = await call(
            entry.caller, method, "/puxa400/" + id, body, "pule25.example", timeout
        )
        took = int((time.monotonic() - begin) * 1000)
        self.record.add(f"{entry.name} {method} {id} -> {status} {json.dumps(answer)[:80]} {took} ms")
        return status, answer

    async def submit(self, job, tries=5, pause_s=1.0):
        """Hands a job in, as a client with four retries does. Returns its id, or None."""
        id = f"{self.random.getrandbits(64):016x}"
        self.jobs[id] = job
        body = json.dumps(job, separators=(",", ":")).encode()
        for _ in range(tries):
            status, _ = await self.request("POST", id, body)
            if status // 100 == 2:
                self.accepted.add(id)
                return id
            await asyncio.sleep(pause_s)
        return None

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for entry in self.entries:
            if entry.process and entry.process.returncode is None:
                entry.process.kill()
                await entry.process.wait()


def main(record, case, **options):
    """Runs a case: an async function that returns True if the rule held.

    record: path of the file that gets what was sent, answered and run."""

    async def run():
        with tempfile.TemporaryDirectory() as temporary:
            World.folder = pathlib.Path(temporary)
            world = World(record, **options)
            world.record.add("trouble " + ("on" if TROUBLE else "off"))
            try:
                await world.start()
                if len(await world.ready_entries()) < len(world.entries):
                    world.record.add("the deployment isn't ready")
                    return 2
                held = await asyncio.wait_for(case(world), 105)
                world.record.add("the rule " + ("held" if held else "was broken"))
                return 0 if held else 1
            finally:
                await world.stop()
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    for log in World.folder.glob("*.log"):
                        (pathlib.Path(keep) / log.name).write_bytes(log.read_bytes())

    try:
        code = asyncio.new_event_loop().run_until_complete(run())
    except Exception as failure:
        print(f"the case couldn't run: {failure!r}", file=sys.stderr)
        code = 2
    print({0: "held", 1: "broken"}.get(code, "couldn't run"), flush=True)
    os._exit(code)  # Open connections of the stand-ins need no orderly end.
