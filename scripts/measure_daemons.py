#!/usr/bin/env python3
"""Measures real daemons on loopback: memory, processor time, control traffic, calls at the platform
and the time until a profile change is in force on all of them. Writes JSON lines.

Starts sardinespoke-platform and the daemons itself and ends only these processes."""

import argparse
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

NET = "127.0.9."
PLATFORM = "127.0.9.100:8000"


def get(url):
    with urllib.request.urlopen(url, timeout=10) as answer:
        return answer.read().decode()


def wait_until(limit, condition):
    """Returns the seconds until the condition held; fails after the limit."""
    start = time.monotonic()
    while True:
        try:
            if condition():
                return time.monotonic() - start
        except (urllib.error.URLError, OSError, ValueError, KeyError):
            pass  # The process is not up yet or is busy.
        if time.monotonic() - start > limit:
            raise TimeoutError("condition not met within %s s" % limit)
        time.sleep(0.02)


def process_seconds(pid):
    with open("/proc/%d/stat" % pid) as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_bytes(pid, field="VmRSS"):
    with open("/proc/%d/status" % pid) as file:
        for line in file:
            if line.startswith(field + ":"):
                return int(line.split()[1]) * 1024
    raise ValueError(field)


class Deployment:
    """A platform and entry hosts; used as a context."""

    def __init__(self, build, workers, profiles, entry_hosts):
        self.build = build
        self.workers = workers
        self.profiles = profiles
        self.count = entry_hosts
        self.run = tempfile.mkdtemp(prefix="sardinespoke-capacity-")
        self.platform = None
        self.daemons = []

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    def launch(self, name, *command):
        log = open(os.path.join(self.run, name + ".log"), "w")
        return subprocess.Popen(command, stdout=log, stderr=subprocess.STDOUT)

    def admin(self, index):
        return "http://%s%d:8200" % (NET, index)

    def status(self, index):
        return json.loads(get(self.admin(index) + "/v1/status"))

    def settings(self, index):
        address = NET + str(index)
        host, port = PLATFORM.split(":")
        path = os.path.join(self.run, "entry-%d.json" % index)
        with open(path, "w") as file:
            json.dump({
                "id": "entry-%d" % index, "zone": "zone-%d" % (index % 8), "region": "region-0",
                "caller": {"address": address, "port": 8100},
                "admin": {"address": address, "port": 8200},
                "peer": {"address": address, "port": 8300},
                "platform": {"address": host, "port": int(port)},
                "limits": {"stop_grace_ms": 100},
                "seed_peers": [], "log": {"level": "info"}}, file)
        return path

    def start(self):
        host, port = PLATFORM.split(":")
        racks = max(1, self.workers // 4)
        self.platform = self.launch(
            "platform", self.build + "/sardinespoke-platform", "--address", host, "--port", port,
            "--hosts", str(self.workers), "--racks", str(racks), "--zones", str(min(8, racks)),
            "--regions", "2")
        wait_until(10, lambda: get("http://%s/calls/v1" % PLATFORM))
        for index in range(1, self.count + 1):
            self.daemons.append(self.launch(
                "entry-%d" % index, self.build + "/sardinespoked", "--settings",
                self.settings(index)))
        wait_until(20, lambda: all(self.status(i) for i in range(1, self.count + 1)))
        self.document = json.loads(subprocess.check_output(
            [self.build + "/sardinespoke-slopes", "--print-profiles", str(self.profiles)]))
        self.document.pop("revision")
        self.document.pop("history")
        self.apply(self.document, 0, "first")
        wait_until(60, self.ready)

    def ready(self):
        states = [self.status(i) for i in range(1, self.count + 1)]
        hosts = json.loads(get(self.admin(1) + "/v1/fleet"))["hosts"]
        return len(hosts) == self.workers and all(
            s["may_dispatch"] and len(s["members"]) == self.count for s in states)

    def apply(self, document, base, change):
        request = urllib.request.Request(
            self.admin(self.count) + "/v1/profiles?change_id=%s&author=measure&base_revision=%d"
            % (change, base), data=json.dumps(document).encode(), method="PUT")
        try:
            with urllib.request.urlopen(request, timeout=20) as answer:
                return json.loads(answer.read())["revision"]
        except urllib.error.HTTPError as error:
            raise SystemExit("profiles refused: " + error.read().decode())

    def revisions(self):
        return [self.status(i)["profiles_revision"] for i in range(1, self.count + 1)]

    def peer_bytes(self):
        found = []
        for index in range(1, self.count + 1):
            for line in get(self.admin(index) + "/metrics").splitlines():
                if line.startswith("sardinespoke_peer_bytes_sent "):
                    found.append(float(line.split()[1]))
        return found

    def calls(self):
        return json.loads(get("http://%s/calls/v1" % PLATFORM))

    def sample(self):
        return {"at": time.monotonic(), "bytes": self.peer_bytes(),
                "cpu": [process_seconds(d.pid) for d in self.daemons], "calls": self.calls()}

    def roles(self):
        names = []
        states = [self.status(i) for i in range(1, self.count + 1)]
        for index, state in enumerate(states):
            role = "observer" if index < 2 else "serving"
            names.append(role + "+planner" if state["planner"] else role)
        return names

    def stop(self):
        for process in self.daemons:
            process.send_signal(signal.SIGTERM)
        for process in self.daemons:
            try:
                process.wait(15)
            except subprocess.TimeoutExpired:
                process.kill()
        if self.platform:
            self.platform.send_signal(signal.SIGTERM)
            self.platform.wait(15)


def rates(before, after):
    seconds = after["at"] - before["at"]
    calls = {k: round((after["calls"][k] - before["calls"][k]) / seconds, 2)
             for k in after["calls"] if isinstance(after["calls"][k], (int, float))}
    return {"seconds": round(seconds, 1),
            "cpu_percent": [round(100 * (a - b) / seconds, 2)
                            for a, b in zip(after["cpu"], before["cpu"])],
            "peer_bytes_per_second": [round((a - b) / seconds)
                                      for a, b in zip(after["bytes"], before["bytes"])],
            "platform_calls_per_second": calls}


def size_of(deployment):
    return {"workers": deployment.workers, "profiles": deployment.profiles,
            "entry_hosts": deployment.count}


def write(line):
    print(json.dumps(line), flush=True)


def measure_idle(deployment, seconds):
    time.sleep(6)  # The first planner steps and the last joins pass.
    before = deployment.sample()
    time.sleep(seconds)
    after = deployment.sample()
    write({"measure": "daemon.idle", **size_of(deployment), "roles": deployment.roles(),
           **rates(before, after),
           "resident_mb": [round(resident_bytes(d.pid) / 1e6, 1) for d in deployment.daemons],
           "peak_mb": [round(resident_bytes(d.pid, "VmHWM") / 1e6, 1)
                       for d in deployment.daemons]})


def measure_changes(deployment, count):
    """Makes profile changes one after the other; each is timed until it is in force everywhere."""
    document = deployment.document
    name = sorted(document["profiles"])[0]
    revision = max(deployment.revisions())
    before = deployment.sample()
    times = []
    for change in range(count):
        document["profiles"][name]["queue_length"] = 500 + change
        start = time.monotonic()
        revision = deployment.apply(document, revision, "change-%d" % change)
        wait_until(30, lambda: min(deployment.revisions()) >= revision)
        times.append(round(time.monotonic() - start, 3))
    time.sleep(3)  # Entry records with the new revision are written.
    after = deployment.sample()
    write({"measure": "daemon.profile_changes", **size_of(deployment), "changes": count,
           "in_force_everywhere_s": times, "longest_s": max(times),
           "peer_bytes_per_change": [round((a - b) / count) for a, b in
                                     zip(after["bytes"], before["bytes"])],
           "cpu_seconds_per_change": [round((a - b) / count, 4) for a, b in
                                      zip(after["cpu"], before["cpu"])],
           "seconds": round(after["at"] - before["at"], 1),
           "resident_mb": [round(resident_bytes(d.pid) / 1e6, 1) for d in deployment.daemons],
           "peak_mb": [round(resident_bytes(d.pid, "VmHWM") / 1e6, 1)
                       for d in deployment.daemons]})


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--sizes", default="50:5:7,725:178:7,1450:355:7,2900:710:7",
                        help="WORKERS:PROFILES:ENTRY_HOSTS, separated by commas")
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--changes", type=int, default=5)
    options = parser.parse_args()
    for size in options.sizes.split(","):
        workers, profiles, entry_hosts = (int(part) for part in size.split(":"))
        with Deployment(options.build, workers, profiles, entry_hosts) as deployment:
            measure_idle(deployment, options.seconds)
            if options.changes > 0:
                measure_changes(deployment, options.changes)
    return 0


if __name__ == "__main__":
    sys.exit(main())
