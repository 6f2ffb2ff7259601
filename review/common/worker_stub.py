"""Stand-ins of the platform's workers and of the calls for machines."""

import asyncio
import json
import random
import time

from http_stub import Drop, serve

HOLD_MAX_MS = 6000
STOP_S = 0.1
LISTED_ENDS = 500
HEARTBEAT_S = 1.5
STARTUP_S = 0.3  # Until a task that lasts is at work.


class Run:
    def __init__(self, task, number, checkpoint):
        self.task, self.number, self.checkpoint = task, number, checkpoint
        self.begin = time.monotonic()
        self.is_stopping = False


class Worker:
    """One life of a machine. `world` keeps the record of all runs and knows how long tasks take."""

    def __init__(self, world, machine, pool, cpu, rack):
        self.world, self.machine, self.pool, self.cpu, self.rack = world, machine, pool, cpu, rack
        self.id = f"w-{random.randrange(1 << 40):010x}"
        self.born = int(time.time() * 1000)
        self.begin = time.monotonic()
        self.fence = 0
        self.lease_end = 0.0
        self.runs, self.barred, self.ended = {}, {}, []
        self.next_end = 1
        self.is_alive = True
        self.state = "ready"
        self.seq = 0
        self.end_listed = asyncio.Event()
        self.address = ""
        self.servers = []
        self.cut_from = set()  # Ports on which it cannot be reached: one for each entry host.
        self.fault = None  # Called with each request before it is carried out.

    def clock(self):
        return int((time.monotonic() - self.begin) * 1000) + 1

    def beat(self):
        self.seq += 1
        entry = {
            "service": self.pool, "address": self.address, "zone": "zone-0", "version": "v1",
            "slots": 8, "state": self.state, "cold-remaining-ms": 0, "machine": self.machine,
            "capacity": {"cpu": self.cpu, "mem-mb": 65536, "gpu": 0}, "labels": ["a", self.rack],
            "clock-ms": self.clock(), "seq": self.seq, "born": self.born,
        }
        self.world.store.put("servers/" + self.id, json.dumps(entry).encode())

    def answer(self, status=200, **fields):
        return status, {"clock-ms": self.clock(), "born": self.born} | fields

    def take_fence(self, fence):
        if fence < self.fence:
            return False
        self.fence = fence
        return True

    def extend(self, deadline):
        deadline = min(deadline, self.clock() + HOLD_MAX_MS)
        self.lease_end = max(self.lease_end, self.begin + deadline / 1000)

    async def handle(self, request):
        if not self.is_alive:
            raise Drop
        body = request.json()
        if request.headers.get("expect-instance", self.id) != self.id:
            return self.answer(421)
        if self.fault:
            await self.fault(request, body)
        return await self.carry_out(request.path, body)

    async def carry_out(self, path, body):
        if not self.take_fence(body.get("fence", 0)):
            return self.answer(409, reason="fence")
        if path == "/hold":
            return await self.hold(body)
        if path == "/run-start":
            return self.start(body)
        if path == "/run-stop":
            return self.stop(body)
        return self.answer()

    def start(self, body):
        task, number = body["task"], body["run"]
        if task in self.runs and self.runs[task].number == number:
            return self.answer()
        if body["deadline-ms"] < self.clock():
            return self.answer(409, reason="late")
        self.extend(body["deadline-ms"])
        if number <= self.barred.get(task, 0):
            return self.answer(409, reason="old")
        self.world.on_start(self, body)
        self.runs[task] = run = Run(task, number, body.get("checkpoint", ""))
        length = self.world.length_of(task)
        if length is not None:
            asyncio.get_running_loop().call_later(
                length, lambda: self.finish(run, self.world.outcome_of(self, run)))
        return self.answer()

    def stop(self, body):
        task, number = body["task"], body["run"]
        self.barred[task] = max(number, self.barred.get(task, 0))
        run = self.runs.get(task)
        if run and run.number <= number and not run.is_stopping:
            run.is_stopping = True
            asyncio.get_running_loop().call_later(STOP_S, self.finish, run, "stopped")
        return self.answer()

    async def hold(self, body):
        if "deadline-ms" in body:
            self.extend(body["deadline-ms"])
        for row in self.ended:
            if row[0] <= body["seen-upto"]:
                self.world.on_noted(row[1], row[3])
        self.ended = [row for row in self.ended if row[0] > body["seen-upto"]]
        if not self.ended and body.get("wait-ms", 0) > 0:
            self.end_listed.clear()
            try:
                await asyncio.wait_for(self.end_listed.wait(), body["wait-ms"] / 1000)
            except asyncio.TimeoutError:
                pass
        if not self.is_alive:
            raise Drop
        rows = [[r.task, r.number, r.checkpoint, self.percent(r), 10] for r in self.runs.values()]
        return self.answer(running=rows, ended=self.ended[:LISTED_ENDS])

    def percent(self, run):
        age = time.monotonic() - run.begin
        length = self.world.length_of(run.task)
        if length is None:
            return 100 if age > STARTUP_S else 50
        return min(99, int(age / length * 100))

    def finish(self, run, how):
        if self.runs.get(run.task) is not run or not self.is_alive:
            return
        del self.runs[run.task]
        self.barred[run.task] = max(run.number, self.barred.get(run.task, 0))
        self.ended.append([self.next_end, run.task, run.number, how, run.checkpoint])
        self.next_end += 1
        self.world.on_end(self, run, how)
        self.end_listed.set()

    async def crash(self):
        """Ends all runs, closes the listener and resets its connections."""
        for run in list(self.runs.values()):
            self.world.on_end(self, run, "crashed")
        self.is_alive = False
        self.runs.clear()
        self.end_listed.set()
        for server in self.servers:
            server.close()
            server.abort_connections()
        asyncio.get_running_loop().call_later(3 * HEARTBEAT_S, self.world.store.delete, "servers/" + self.id)

    async def live(self):
        """Writes heartbeats and ends runs whose lease is over."""
        next_beat = 0.0
        while self.is_alive:
            now = time.monotonic()
            if now >= next_beat:
                next_beat = now + HEARTBEAT_S
                if not self.world.store.is_silent:
                    self.beat()
            if self.runs and now > self.lease_end:
                for run in list(self.runs.values()):
                    self.finish(run, "lapsed")
            await asyncio.sleep(0.01)

    async def listen(self, count):
        """Opens a port for each entry host if count is above 0, else one for all."""
        addresses = []
        for _ in range(max(count, 1)):
            port = 0

            async def handle(request):
                return await self.handle(request)

            server, port = await serve(handle)
            self.servers.append(server)
            addresses.append(f"127.0.0.1:{port}")
        self.address = addresses[0]
        return addresses
