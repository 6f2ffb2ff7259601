#!/bin/bash
# Runs the commands of the operators' pages against a deployment on loopback, and checks that every
# file that README.md and docs/ name exists. Stops everything that it started.
set -eu
cd "$(dirname "$0")/.."
build_dir=build
run_dir=$(mktemp -d)
deployment=inyana
entry_count=3
entry_net=127.0.41
platform=127.0.41.100
backend_ip=127.0.42.1
. scripts/deployment.sh
trap 'stop_deployment; rm -rf "$run_dir"' EXIT

# Longest run of all commands of one page.
page_limit_s=40

# The first page starts a deployment of its own and runs last, when this one has stopped.
pages="settings profiles maintenance floods events metrics upgrade store-outage"

run_page() { # NAME
  python3 scripts/doc_commands.py "docs/$1.md" >"$run_dir/$1.sh"
  local start=$SECONDS
  if ! timeout "$page_limit_s" bash "$run_dir/$1.sh" >"$run_dir/$1.out" 2>&1; then
    tail -30 "$run_dir/$1.out" >&2
    echo "docs/$1.md: failed" >&2
    return 1
  fi
  echo "docs/$1.md: passed in $((SECONDS - start)) s"
}

start_deployment
SARDINESPOKE_ADMIN=$(admin_list)
CALLER=$(entry_ip 1):8100
PLATFORM=$platform:8000
export SARDINESPOKE_ADMIN CALLER PLATFORM
failed=0
python3 scripts/check_doc_links.py || failed=1
for page in $pages; do
  run_page "$page" || failed=1
done
stop_deployment
unset SARDINESPOKE_ADMIN CALLER PLATFORM
run_page getting-started || failed=1
exit $failed
