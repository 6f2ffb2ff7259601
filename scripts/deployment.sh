# Functions that start and stop a whole deployment on loopback; sourced by other scripts.
# Needs: build_dir, run_dir, deployment (inyana or atlas), entry_count, backend_ip.
# entry_net and platform may be set to replace the addresses of the example settings, so that two
# deployments of the same kind can run at the same time.

pids=()

# Ends everything that this script started, by process id.
stop_deployment() {
  if [ ${#pids[@]} -gt 0 ]; then
    kill "${pids[@]}" 2>/dev/null || true
    wait "${pids[@]}" 2>/dev/null || true
  fi
  pids=()
}

# Starts a program in the background with its output in a log file.
start_program() { # LOG PROGRAM [ARGUMENT...]
  local log=$run_dir/$1
  shift
  "$@" >"$log" 2>&1 &
  pids+=($!)
}

# Repeats a command until it succeeds; fails after a number of seconds.
wait_until() { # SECONDS COMMAND [ARGUMENT...]
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if [ $SECONDS -ge $end ]; then
      echo "timed out: $*" >&2
      return 1
    fi
    sleep 0.1
  done
}

entry_ip() { # INDEX
  echo "$entry_net.$1"
}

write_settings() { # INDEX
  sed -e "s/\"entry-1\"/\"entry-$1\"/" -e "s/\"$example_net\.1\"/\"$(entry_ip "$1")\"/" \
    -e "s/\"$example_net\./\"$entry_net./g" -e "s/\"$example_platform\"/\"$platform\"/" \
    -e "s/\"dc-a\"/\"zone-$((($1 - 1) % 3))\"/" -e 's/"stop_grace_ms": 3000/"stop_grace_ms": 500/' \
    "examples/$deployment.settings.json" >"$run_dir/entry-$1.json"
}

admin_list() {
  local list=""
  for index in $(seq "$entry_count"); do
    list+="${list:+,}$(entry_ip "$index"):8200"
  done
  echo "$list"
}

caller_list() {
  local list=""
  for index in $(seq "$entry_count"); do
    list+="${list:+,}$(entry_ip "$index"):8100"
  done
  echo "$list"
}

ctl() {
  "$build_dir/sardinespokectl" --admin "$(admin_list)" "$@"
}

all_members() {
  local members
  members=$(ctl --json status | python3 -c \
    'import json,sys; s=json.load(sys.stdin); print(len(s["members"]) if s["may_dispatch"] else 0)')
  [ "$members" = "$entry_count" ]
}

# Whether the spare pool and at least one other pool have hosts.
hosts_distributed() {
  [ "$(ctl --json pool | python3 -c 'import json,sys; print(len(json.load(sys.stdin)) > 1)')" = True ]
}

start_entry() { # INDEX
  write_settings "$1"
  start_program "entry-$1.log" "$build_dir/sardinespoked" --settings "$run_dir/entry-$1.json"
}

# Starts the platform, 50 workers and the entry hosts, applies the profiles and waits until the
# entry hosts may dispatch.
start_deployment() {
  case $deployment in
    inyana) example_net=127.0.1 example_platform=127.0.0.10 ;;
    atlas) example_net=127.0.3 example_platform=127.0.0.20 ;;
  esac
  entry_net=${entry_net:-$example_net}
  platform=${platform:-$example_platform}
  start_program backend.log "$build_dir/sardinespoke-backend" --ip "$backend_ip" \
    --base-port 9000 --control-port 8900 --workers 50
  start_program platform.log "$build_dir/sardinespoke-platform" --address "$platform" --port 8000 \
    --hosts 50 --racks 13 --zones 3 --regions 1 --backend-address "$backend_ip" \
    --backend-base-port 9000 --reboot-ms 1000
  wait_until 10 grep -q listening "$run_dir/platform.log"
  for index in $(seq "$entry_count"); do
    start_entry "$index"
  done
  wait_until 20 ctl status
  ctl --author setup profile apply "examples/$deployment.profiles.json" >"$run_dir/apply.log" 2>&1 ||
    { cat "$run_dir/apply.log" >&2; return 1; }
  wait_until 30 all_members
  wait_until 30 hosts_distributed
}
