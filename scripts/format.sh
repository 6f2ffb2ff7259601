#!/bin/bash
# Checks the formatting of every C++ file; with "fix" as argument, rewrites the files.
set -eu
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h')
if [ "${1:-check}" = fix ]; then
  clang-format -i "${files[@]}"
else
  clang-format --dry-run --Werror "${files[@]}"
fi
