#!/bin/bash
# Runs every fuzz target of a build folder for a fixed number of runs with a fixed seed.
# The corpus is copied first, so that a run does not change the tree.
set -eu
cd "$(dirname "$0")/.."
build_dir=$1
runs=${RUNS:-20000}
seed=${SEED:-20261204}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
for target in "$build_dir"/*_fuzz; do
  name=$(basename "$target" _fuzz)
  cp -r "fuzz/corpus/$name" "$work/$name"
  echo "fuzz: $name"
  if ! "$target" -runs="$runs" -seed="$seed" -max_len=4096 -timeout=5 -verbosity=0 \
    -print_final_stats=0 -artifact_prefix="$build_dir/$name-" "$work/$name" \
    >"$work/$name.log" 2>&1; then
    tail -n 60 "$work/$name.log" >&2
    echo "fuzz: $name failed; the input is in $build_dir/$name-*" >&2
    exit 1
  fi
done
