#!/bin/bash
# Runs the Inyana deployment on loopback: load, a profile change, a maintenance drain, and a check
# of the history against the workers' own record. Stops everything that it started.
set -eu
cd "$(dirname "$0")/.."
build_dir=build
run_dir=$(mktemp -d)
deployment=inyana
entry_count=6
backend_ip=127.0.2.1
load_seconds=12
. scripts/deployment.sh
trap 'stop_deployment; rm -rf "$run_dir"' EXIT

field() { # JSON-FILE FIELD
  python3 -c 'import json,sys; print(json.load(open(sys.argv[1]))[sys.argv[2]])' "$1" "$2"
}

a_host_was_maintained() {
  [ "$(ctl --json maintenance status | python3 -c 'import json,sys; print(json.load(sys.stdin)["maintained"] > 0)')" = True ]
}

echo "starting the platform, 50 workers and $entry_count entry hosts"
start_deployment
ctl pool

services=$(python3 -c 'import json; print(",".join(json.load(open("examples/inyana.profiles.json"))["services"]))')
echo "sending load for $load_seconds s: one queue at a time asks for 5 times its mean"
"$build_dir/sardinespoke-load" run --targets="$(caller_list)" --services="$services" \
  --shape=inyana --rate=60 --callers=20 --non-idempotent=0.2 --run-ms=20 \
  --seconds=$load_seconds --seed=1 --history="$run_dir/history.jsonl" >"$run_dir/load.json" &
load_pid=$!

sleep 1
echo "changing a profile"
ctl profile get >"$run_dir/profiles.json"
python3 - "$run_dir/profiles.json" <<'PYTHON'
import json, sys
path = sys.argv[1]
document = json.load(open(path))
profile = next(iter(document["profiles"].values()))
profile["queue_limit_ms"] = profile.get("queue_limit_ms", 2600) - 100
json.dump(document, open(path, "w"))
PYTHON
ctl --json --author demo profile apply "$run_dir/profiles.json" >"$run_dir/change.json"
ctl profile history | tail -1

echo "starting a maintenance roll-out and pausing it after the first hosts"
ctl maintenance start
wait_until 20 a_host_was_maintained
ctl maintenance pause
ctl maintenance status
ctl timeline --type host. | head -8

wait $load_pid
checked=0
"$build_dir/sardinespoke-load" check --history="$run_dir/history.jsonl" \
  --record="$backend_ip:8900" >"$run_dir/check.json" || checked=$?

python3 - "$run_dir" <<'PYTHON'
import json, sys
run = sys.argv[1]
load = json.load(open(run + "/load.json"))
check = json.load(open(run + "/check.json"))
change = json.load(open(run + "/change.json"))
parts = {name: load[name] for name in ("ok", "not_run", "unknown", "already_run")}
print("summary")
print("  requests sent:     ", load["sent"], "=", " + ".join(f"{count} {name}" for name, count in parts.items()))
print("  workers' record:   ", check["runs"], "runs,", check["violations"], "violations")
print("  profile revision:  ", change["revision"], "in force on", len(change["in_force"]),
      "entry hosts after", round(change["seconds"], 2), "s")
print("  requests cut:      ", parts["unknown"], "while hosts were drained and rebooted")
accounted = sum(parts.values()) == load["sent"]
sys.exit(0 if accounted and parts["unknown"] == 0 and not change["missing"] else 1)
PYTHON
exit $checked
