"""Stand-in of the platform's store: items with revisions, leases, watches and transactions."""

import asyncio
import base64
import time

from http_stub import Drop, call, serve  # noqa: F401

PAGE_ITEMS = 500


class Store:
    def __init__(self):
        self.rev = 10
        self.items = {}  # key: [value, rev, created, lease]
        self.history = []
        self.leases = {}  # id: [end, ttl]
        self.next_lease = 100
        self.changed = asyncio.Event()
        self.is_silent = False  # Down: nothing is answered or done.
        self.silent_to = set()  # Ports on which it is silent: one port for each entry host.
        self.fault_began = 0.0

    def put(self, key, value, lease=0):
        self.rev += 1
        self._write(key, value, lease)
        self._notify()

    def delete(self, key):
        if key in self.items:
            self.rev += 1
            self._remove(key)
            self._notify()

    def _write(self, key, value, lease):
        created = self.items[key][2] if key in self.items else self.rev
        self.items[key] = [value, self.rev, created, lease]
        self.history.append((self.rev, self._row(key)))

    def _remove(self, key):
        del self.items[key]
        self.history.append((self.rev, {"key": key, "rev": self.rev, "removed": True}))

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _row(self, key):
        value, rev, created, lease = self.items[key]
        text = base64.b64encode(value).decode()
        return {"key": key, "value": text, "rev": rev, "created": created, "lease": lease}

    async def run_leases(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [name for name, row in self.leases.items() if row[0] < now]:
                # While the store is down, leases pause.
                if not self.is_silent:
                    self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, row in self.items.items() if row[3] == lease]:
            self.delete(key)

    def pause_leases(self, seconds):
        for row in self.leases.values():
            row[0] += seconds

    async def listen(self, ip="127.0.0.1"):
        """Opens one more port; entry hosts get one each, so that one alone can be turned away."""
        port = 0

        async def handle(request):
            while self.is_silent or port in self.silent_to:
                await asyncio.sleep(0.02)
                if not self.is_silent and port not in self.silent_to:
                    raise Drop  # The call has had no answer; the connection has ended meanwhile.
            status, body = await self.handle(request)
            if self.is_silent or port in self.silent_to:
                raise Drop
            return status, body

        _, port = await serve(handle, ip)
        return f"{ip}:{port}", port

    async def handle(self, request):
        path, query = request.path, request.query
        if path == "/kv-key":
            if query["key"] not in self.items:
                return 404, {"current-rev": self.rev}
            return 200, self._row(query["key"]) | {"current-rev": self.rev}
        if path == "/kv-range":
            after = query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > after)
            rows = [self._row(key) for key in keys[:PAGE_ITEMS]]
            return 200, {"items": rows, "more-pages": len(keys) > PAGE_ITEMS, "current-rev": self.rev}
        if path == "/kv-watch":
            return await self._watch(query["prefix"], int(query["after"]), int(query["wait-ms"]))
        if path == "/kv-txn":
            return self._transact(request.json())
        if path == "/kv-lease":
            ttl = max(request.json()["ttl-ms"], 1000)
            self.next_lease += 1
            self.leases[self.next_lease] = [time.monotonic() + ttl / 1000, ttl]
            return 200, {"lease": self.next_lease, "ttl-ms": ttl}
        name = int(path.rsplit("/", 1)[1])
        if path.startswith("/kv-keep/"):
            if name not in self.leases:
                return 404, {}
            ttl = self.leases[name][1]
            self.leases[name][0] = time.monotonic() + ttl / 1000
            return 200, {"ttl-ms": ttl}
        self.end_lease(name)
        return 200, {}

    async def _watch(self, prefix, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            changed = self.changed
            rows = [row for rev, row in self.history if rev > after and row["key"].startswith(prefix)]
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, {"events": rows, "current-rev": self.rev}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _transact(self, body):
        expect, writes = body.get("expect", []), body.get("writes", [])
        deletes = body.get("deletes", [])
        if len(expect) + len(writes) + len(deletes) > 32:
            return 400, {}
        if any(row["key"].startswith(("op/", "servers/")) for row in writes):
            return 403, {}
        if any(self.items.get(row["key"], [0, 0])[1] != row["rev"] for row in expect):
            rows = [self._row(row["key"]) for row in expect if row["key"] in self.items]
            return 412, {"items": rows}
        if any(row.get("lease", 0) and row["lease"] not in self.leases for row in writes):
            return 404, {}
        self.rev += 1
        for key in deletes:
            if key in self.items:
                self._remove(key)
        for row in writes:
            self._write(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        self._notify()
        return 200, {"rev": self.rev}
