"""Stand-ins for the platform, workers and clients on loopback, and the entry processes of a case.

Standard library only. Everything that is sent, answered and run goes to the record of the case.
"""

import base64
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target" / "sardinespoke-entry"
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 6000
STOP_S = 0.2
UPKEEP_S = 2.0
BEGIN = time.monotonic()


class Record:
    """The record of a run; each line has the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.left = {}  # Lines that a source may still write.
        self.lock = threading.Lock()

    def add(self, text, source=None):
        with self.lock:
            if source:
                self.left[source] = self.left.get(source, 200) - 1
                if self.left[source] < 0:
                    return
            self.file.write(f"{time.monotonic() - BEGIN:8.3f} {text}\n")
            self.file.flush()


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """A caller has closed its connection."""


def listen(answer, bits_per_s=None, port=0):
    """Serves answer(method, path, query, headers, body) -> (status, object) on a free port.

    An answer of None leaves the call without a response and closes its connection. An answer takes
    as long as the link of the caller's machine needs for it."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def handle_call(self):
            parts = urlsplit(self.path)
            query = {key: values[0] for key, values in parse_qs(parts.query).items()}
            body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
            reply = answer(self.command, parts.path, query, self.headers, body)
            if reply is None:
                self.close_connection = True
                return
            status, value = reply
            text = json.dumps(value).encode()
            if bits_per_s:
                time.sleep(len(text) * 8 / bits_per_s)
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(text)))
            self.end_headers()
            self.wfile.write(text)

        do_GET = do_POST = do_DELETE = handle_call

        def handle_one_request(self):
            try:
                super().handle_one_request()
            except OSError:
                self.close_connection = True

        def log_message(self, *_):
            pass

    server = Server(("127.0.0.1", port), Handler)
    threading.Thread(target=server.serve_forever, daemon=True, kwargs={"poll_interval": 0.05}).start()
    return server


class Store:
    """The platform's store: items, leases, watches, transactions."""

    VALUE_BYTES = 1048576

    def __init__(self, record, bits_per_s=None):
        self.record = record
        self.change = threading.Condition()
        self.rev, self.items, self.history = 10, {}, []
        self.leases, self.next_lease = {}, 100
        self.too_large_status = 400
        self.server = listen(self.answer, bits_per_s)
        self.address = f"127.0.0.1:{self.server.server_port}"
        threading.Thread(target=self.expire, daemon=True).start()

    def item(self, key):
        value, rev, created, lease = self.items[key]
        text = base64.b64encode(value).decode()
        return {"key": key, "value": text, "rev": rev, "created": created, "lease": lease}

    def write(self, key, value, lease=0):
        created = self.items[key][2] if key in self.items else self.rev
        self.items[key] = (value, self.rev, created, lease)
        self.history.append((self.rev, self.item(key)))

    def erase(self, key):
        if self.items.pop(key, None) is not None:
            self.history.append((self.rev, {"key": key, "rev": self.rev, "removed": True}))

    def put(self, key, value):
        """A write of the operator or of a worker."""
        with self.change:
            self.rev += 1
            self.write(key, json.dumps(value).encode())
            self.change.notify_all()

    def remove(self, key):
        with self.change:
            self.rev += 1
            self.erase(key)
            self.change.notify_all()

    def get(self, key):
        with self.change:
            return self.items[key][0] if key in self.items else None

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        self.rev += 1
        for key in [key for key, item in self.items.items() if item[3] == lease]:
            self.erase(key)
        self.change.notify_all()

    def expire(self):
        while True:
            time.sleep(0.02)
            with self.change:
                now = time.monotonic()
                for lease in [name for name, end in self.leases.items() if end[0] < now]:
                    self.end_lease(lease)

    def answer(self, method, path, query, _, body):
        with self.change:
            if path == "/kv-key":
                key = query["key"]
                if key not in self.items:
                    return 404, {"current-rev": self.rev}
                return 200, self.item(key) | {"current-rev": self.rev}
            if path == "/kv-range":
                prefix, after = query["prefix"], query.get("after", "")
                keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
                page = [self.item(key) for key in keys[:500]]
                return 200, {"items": page, "more-pages": len(keys) > 500, "current-rev": self.rev}
            if path == "/kv-watch":
                return self.watch(query)
            if path == "/kv-txn":
                return self.transact(json.loads(body))
            if path == "/kv-lease":
                ttl = max(json.loads(body)["ttl-ms"], 1000)
                self.next_lease += 1
                self.leases[self.next_lease] = (time.monotonic() + ttl / 1000, ttl)
                return 200, {"lease": self.next_lease, "ttl-ms": ttl}
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            if path.startswith("/kv-lease-end/"):
                self.end_lease(lease)
                return 200, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"ttl-ms": ttl}

    def watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        end = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            events = [e for rev, e in self.history if rev > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current-rev": self.rev}
            self.change.wait(left)

    def transact(self, body):
        expect, writes, deletes = (body.get(p, []) for p in ("expect", "writes", "deletes"))
        values = [base64.b64decode(row["value"]) for row in writes]
        if len(expect) + len(writes) + len(deletes) > 32:
            return 400, {}
        if any(len(value) > self.VALUE_BYTES for value in values):
            self.record.add(f"store: value of {max(map(len, values))} bytes refused")
            return self.too_large_status, {}
        if any(self.items.get(row["key"], (0, 0))[1] != row["rev"] for row in expect):
            items = [self.item(row["key"]) for row in expect if row["key"] in self.items]
            return 412, {"items": items}
        if any(row.get("lease", 0) and row["lease"] not in self.leases for row in writes):
            return 404, {}
        self.rev += 1
        for key in deletes:
            self.erase(key)
        for row, value in zip(writes, values):
            self.write(row["key"], value, row.get("lease", 0))
        self.change.notify_all()
        return 200, {"rev": self.rev}


class Run:
    def __init__(self, task, number, spec):
        self.task, self.number, self.spec = task, number, spec
        self.begin = time.monotonic()
        self.stop_at = None


class Worker:
    """One life of a machine: registers itself, runs tasks under leases, lists their ends."""

    def __init__(self, world, machine, earlier=None, first_beat_s=0.0):
        """Starts a life; with an earlier one under its id and address."""
        self.world, self.machine = world, machine
        machine.lives += 1
        self.id = earlier.id if earlier else f"i-{machine.id[2:]}-{machine.lives}"
        self.first_beat_s = first_beat_s
        self.born, self.begin = int(time.time() * 1000), time.monotonic()
        self.change = threading.Condition()
        self.alive, self.cut, self.round_trip = True, False, machine.round_trip
        self.fence, self.lease_end = 0, 0.0
        self.runs, self.over, self.ended, self.ends = {}, {}, [], 0
        self.seq = 0
        self.server = listen(self.answer, port=earlier.server.server_port if earlier else 0)
        self.address = f"127.0.0.1:{self.server.server_port}"
        if not first_beat_s:
            self.beat()
        threading.Thread(target=self.live, daemon=True).start()

    def clock(self):
        return int((time.monotonic() - self.begin) * 1000) + 1

    def beat(self):
        self.seq += 1
        m = self.machine
        capacity = {"cpu": m.cpu, "mem-mb": m.memory, "gpu": 0}
        entry = {"service": m.pool, "address": self.address, "zone": "zone-0", "version": "v1"}
        entry |= {"slots": 8, "state": "ready", "cold-remaining-ms": 0, "capacity": capacity}
        entry |= {"labels": ["a", m.rack], "clock-ms": self.clock(), "seq": self.seq}
        entry |= {"born": self.born, "machine": m.id}
        self.world.store.put("servers/" + self.id, entry)

    def live(self):
        next_beat = time.monotonic() + (self.first_beat_s or HEARTBEAT_S)
        silent_since = None
        while True:
            time.sleep(0.01)
            now = time.monotonic()
            if not self.alive or self.cut:
                silent_since = silent_since or now
                if now - silent_since > 3 * HEARTBEAT_S and self.seq:
                    self.seq = 0
                    if self.machine.worker is self or not self.machine.has_same_id(self.id):
                        self.world.store.remove("servers/" + self.id)
            elif now >= next_beat:
                silent_since, next_beat = None, now + HEARTBEAT_S
                self.beat()
            if self.alive:
                self.advance(now)
            elif self.seq == 0:
                return

    def advance(self, now):
        with self.change:
            for run in list(self.runs.values()):
                if now > self.lease_end:
                    self.finish(run, "lapsed")
                elif run.stop_at and now >= run.stop_at:
                    self.finish(run, "stopped")
                elif now - run.begin >= self.world.seconds_of(run.task):
                    self.finish(run, "done")

    def finish(self, run, how):
        self.runs.pop(run.task, None)
        self.over[run.task] = max(run.number, self.over.get(run.task, 0))
        self.ends += 1
        self.ended.append([self.ends, run.task, run.number, how, ""])
        self.world.record.add(f"{self.id}: {run.task} run {run.number} ended {how}", self.id)
        self.change.notify_all()

    def crash(self):
        """The process dies: its runs are gone and its port refuses connections."""
        with self.change:
            self.alive = False
            for run in self.runs.values():
                self.world.record.add(f"{self.id}: {run.task} run {run.number} gone with the worker")
            self.runs.clear()
            self.change.notify_all()
        self.server.shutdown()
        self.server.server_close()

    def reply(self, status=200, **fields):
        return status, {"clock-ms": self.clock(), "born": self.born} | fields

    def answer(self, method, path, _, headers, text):
        while self.cut and self.alive:
            time.sleep(0.02)
            if time.monotonic() - BEGIN > 115:
                return None
        if not self.alive:
            return None
        if headers.get("Expect-Instance", self.id) != self.id:
            return self.reply(421)
        if method == "GET":
            return self.reply()
        body = json.loads(text)
        time.sleep(self.round_trip)
        delay = self.world.delay_order(self, path, body)
        if delay:
            self.world.record.add(f"{self.id}: {path} of {body.get('task')} gets no answer")
            threading.Timer(delay, self.world.carry_out, (self, path, body)).start()
            time.sleep(3.0)
            return None
        return self.carry_out(path, body)

    def carry_out(self, path, body):
        with self.change:
            if body.get("fence", 0) < self.fence:
                return self.reply(409, reason="fence")
            self.fence = body.get("fence", 0)
            if path == "/run-start":
                return self.start(body)
            if path == "/run-stop":
                return self.stop(body)
            if path == "/hold":
                return self.hold(body)
            return self.reply()

    def extend(self, deadline):
        deadline = min(deadline, self.clock() + HOLD_MAX_MS)
        self.lease_end = max(self.lease_end, self.begin + deadline / 1000)

    def start(self, body):
        task, number = body["task"], body["run"]
        known = self.runs.get(task)
        if known and known.number == number:
            return self.reply()
        if known or number <= self.over.get(task, 0):
            self.extend(body["deadline-ms"])
            return self.reply(409, reason="old")
        if body["deadline-ms"] < self.clock():
            return self.reply(409, reason="late")
        self.extend(body["deadline-ms"])
        self.runs[task] = Run(task, number, body["spec"])
        self.world.record.add(f"{self.id}: {task} run {number} starts, fence {body['fence']}", self.id)
        self.world.on_start(self, task, number)
        return self.reply()

    def stop(self, body):
        run = self.runs.get(body["task"])
        if run and run.number == body["run"]:
            run.stop_at = run.stop_at or time.monotonic() + STOP_S
        self.over[body["task"]] = max(body["run"], self.over.get(body["task"], 0))
        return self.reply()

    def hold(self, body):
        if "deadline-ms" in body:
            self.extend(body["deadline-ms"])
        self.ended = [row for row in self.ended if row[0] > body["seen-upto"]]
        end = time.monotonic() + body.get("wait-ms", 0) / 1000
        while self.alive and not self.ended and time.monotonic() < end:
            self.change.wait(end - time.monotonic())
        if not self.alive:
            return None
        now = time.monotonic()
        running = [
            [r.task, r.number, "", int(100 * min(1, (now - r.begin) / self.world.seconds_of(r.task))), 500]
            for r in self.runs.values()
        ]
        return self.reply(running=running, ended=self.ended[:500])


class Machine:
    def __init__(self, name, pool, rack, cpu=16000, memory=65536, round_trip=0.0):
        self.round_trip = round_trip  # Seconds that the network adds to an answer.
        self.id, self.pool, self.rack, self.cpu, self.memory = name, pool, rack, cpu, memory
        self.lives, self.worker, self.state, self.fence = 0, None, "up", 0

    def has_same_id(self, name):
        return self.worker is not None and self.worker.id == name


class World:
    """The platform, its workers and the entry processes of one case."""

    def __init__(self, record_file, machines, entries=3, settings=None, link_bits_per_s=None):
        self.record = Record(record_file)
        self.temporary = tempfile.TemporaryDirectory()
        self.store = Store(self.record, link_bits_per_s)
        self.cloud, self.cloud_lock, self.waves = listen(self.answer_cloud), threading.Lock(), {}
        self.delay_cloud_call = lambda path, body: 0
        self.delay_order = lambda worker, path, body: 0
        self.on_upkeep = lambda machine, wave: None
        self.lengths, self.on_start = {}, lambda worker, task, number: None
        self.machines = {machine.id: machine for machine in machines}
        for machine in machines:
            machine.worker = Worker(self, machine)
        self.entries, self.settings = [], settings or {}
        self.entry_count = entries

    def seconds_of(self, task):
        return self.lengths.get(task.rsplit(".", 1)[0], 1.0)

    def workers(self):
        return [m.worker for m in self.machines.values() if m.worker]

    def crash(self, machine):
        worker, machine.worker, machine.state = machine.worker, None, "down"
        self.record.add(f"{worker.id} on {machine.id} crashes")
        worker.crash()

    def carry_out(self, worker, path, body):
        """Carries an order out late, if a life with the id that it names is up."""
        current = worker.machine.worker
        if current and current.id == worker.id:
            status, reply = current.carry_out(path, body)
            self.record.add(f"{current.id}: {path} of {body.get('task')} carried out late: {status} "
                            f"{reply.get('reason', '')}")

    def boot(self, machine, earlier=None, first_beat_s=0.0):
        machine.worker, machine.state = Worker(self, machine, earlier, first_beat_s), "up"
        self.record.add(f"{machine.worker.id} on {machine.id} is up")

    def answer_cloud(self, method, path, _, headers, text):
        if path == "/machines":
            rows = []
            for m in self.machines.values():
                capacity = {"cpu": m.cpu, "mem-mb": m.memory, "gpu": 0}
                row = {"machine": m.id, "pool": m.pool, "state": m.state, "zone": "zone-0"}
                row |= {"labels": ["a", m.rack], "capacity": capacity}
                rows.append(row | {"id": m.worker.id if m.worker else ""})
            return 200, {"machines": rows, "next-token": None}
        body, fence = json.loads(text), int(headers["Fencing-Token"])
        holder = headers["Lease-Holder"]
        call = f"cloud: {path} {body} by {holder}, fence {fence}"
        delay = self.delay_cloud_call(path, body)
        if delay:
            self.record.add(f"{call}: no answer, carried out {delay} s later")
            threading.Timer(delay, self.change_machine, (call, path, body, fence)).start()
            time.sleep(3.0)
            return None
        return self.change_machine(call, path, body, fence)

    def change_machine(self, call, path, body, fence):
        with self.cloud_lock:
            machine = self.machines[body["machine"]]
            begun = self.waves.setdefault(body.get("wave"), set())
            if fence < machine.fence:
                result = 409, {"reason": "fence"}
            elif path == "/machine-move" or machine.id in begun:
                result = (200, {}) if machine.id in begun else (409, {"reason": "busy"})
            elif machine.state != "up":
                result = 409, {"reason": "busy"}
            else:
                result = 200, {}
                begun.add(machine.id)
                self.on_upkeep(machine, body["wave"])
                self.crash(machine)
                machine.state = "upkeep"
                threading.Timer(UPKEEP_S, self.boot, (machine,)).start()
            machine.fence = max(machine.fence, fence)
        self.record.add(f"{call}: {result[0]} {result[1].get('reason', '')}")
        return result

    def configure(self, version, routes, services):
        rows = [
            {"name": name, "host": "callers", "prefix": f"/{name}/", "kind": "non_idempotent",
             "timeout-ms": 3000, "target-latency-ms": 600, "priority": 0, "service": service,
             "max-attempts": 3, "stretch": 1.6}
            for name, service in routes.items()
        ]
        pools = [{"name": name, "admission-check": False, "spare": False} for name in services]
        limits = {"max-header-bytes": 16384, "max-body-bytes": 262144}
        config = {"version": version, "routes": rows, "services": pools, "limits": limits}
        self.store.put("op/config", config)
        shown = {name: routes[name] for name in list(routes)[:3]}
        self.record.add(f"operator: version {version}, {len(routes)} routes, {shown}")

    def start_entries(self):
        for index in range(self.entry_count):
            ports = [free_port() for _ in range(3)]
            name = f"entry-{index}"
            settings = {
                "id": name, "zone": "zone-0", "caller": f"127.0.0.1:{ports[0]}",
                "health": f"127.0.0.1:{ports[1]}", "peer": f"127.0.0.1:{ports[2]}",
                "store": self.store.address,
                "host_control": f"127.0.0.1:{self.cloud.server_port}", "advice": "",
                "cores": 0.25, "memory_mb": 260, "max_descriptors": 4100, "min_lease_ms": 1000,
                "hold_max_ms": HOLD_MAX_MS, "stop_limit_s": 6, "thaw_ms": 300, "move_s": 1.5,
                "maintenance_s": 2, "keep_ended_s": 120, "config_apply_ms": 2000,
                "config_stretch_ms": 5000, "log": "info",
            } | self.settings
            path = pathlib.Path(self.temporary.name) / f"{name}.json"
            path.write_text(json.dumps(settings), encoding="utf-8")
            log = open(pathlib.Path(self.temporary.name) / f"{name}.log", "wb")
            process = subprocess.Popen([str(PROGRAM), "--settings", str(path)], stdout=log, stderr=log)
            self.entries.append({"name": name, "process": process, "caller": ports[0],
                                 "health": ports[1], "log": log.name})
        self.wait("an entry host is ready", lambda: any(self.is_ready(e) for e in self.entries), 20)

    def is_ready(self, entry):
        try:
            connection = http.client.HTTPConnection("127.0.0.1", entry["health"], timeout=1)
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False

    def leader(self):
        value = self.store.get("sardinespoke/leader")
        name = json.loads(value)["name"] if value else ""
        return next((e for e in self.entries if e["name"] == name), None)

    def wait(self, what, holds, limit):
        end = time.monotonic() + limit
        while not holds():
            if time.monotonic() > end:
                raise TimeoutError(what)
            time.sleep(0.01)

    def call(self, method, path, body=None, entry=None, timeout=5):
        """A client's call; returns the status and the body; status 0 without a response."""
        live = [e for e in self.entries if e["process"].poll() is None]
        entry = entry or live[0]
        try:
            connection = http.client.HTTPConnection("127.0.0.1", entry["caller"], timeout=timeout)
            text = json.dumps(body) if body is not None else None
            headers = {"Host": "callers", "Deadline-Ms": "3000", "Content-Type": "application/json"}
            connection.request(method, path, text, headers)
            response = connection.getresponse()
            result = response.status, json.loads(response.read() or b"{}")
        except (OSError, http.client.HTTPException) as error:
            result = 0, {"error": str(error)}
        self.record.add(f"client: {method} {path} at {entry['name']}: {result[0]} {result[1]}")
        return result

    def submit(self, path, body, tries=20):
        for _ in range(tries):
            status, _ = self.call("POST", path, body)
            if status == 200:
                return
            time.sleep(0.3)
        raise TimeoutError("the job was not accepted")

    def state(self, path):
        return self.call("GET", path)[1].get("state", "")

    def log_text(self):
        return "".join(open(e["log"], encoding="utf-8", errors="replace").read() for e in self.entries)

    def close(self):
        for entry in self.entries:
            if entry["process"].poll() is None:
                entry["process"].send_signal(signal.SIGCONT)
                entry["process"].kill()
            entry["process"].wait()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def run_case(make, play):
    """Plays a case: play(world, trouble) returns the broken rule's text, or None.

    Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    world = None
    try:
        if not PROGRAM.exists():
            raise FileNotFoundError(PROGRAM.name)
        world = make()
        world.start_entries()
        broken = play(world, os.environ.get("TROUBLE", "1") != "0")
        verdict = f"BROKEN {broken}" if broken else "held"
        code = 1 if broken else 0
    except Exception as error:  # pylint: disable=broad-except
        verdict, code = f"could not run: {type(error).__name__}: {error}", 2
    if world:
        world.record.add(verdict)
        world.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            pathlib.Path(keep).write_text(world.log_text(), encoding="utf-8")
        world.temporary.cleanup()
    print(verdict)
    sys.stdout.flush()
    os._exit(code)
