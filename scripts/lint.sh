#!/bin/bash
# Runs clang-tidy over every source of the compilation database of build/, several files at once.
# With arguments, only the named files are checked.
set -eu
cd "$(dirname "$0")/.."
jobs=${JOBS:-$(nproc)}
if [ $# -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files 'src/*.cpp' 'platform/*.cpp' 'standins/*.cpp' 'tools/*.cpp' 'tests/*.cpp' 'tests/process/*.cpp')
fi
printf '%s\n' "${files[@]}" | xargs -P "$jobs" -n 1 clang-tidy -p build --quiet 2>/dev/null
