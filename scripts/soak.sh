#!/bin/bash
# Runs random combinations of failures on real processes and checks every property.
# Usage: scripts/soak.sh SEED SECONDS
set -eu
cd "$(dirname "$0")/.."
if [ $# -ne 2 ]; then
  echo "usage: scripts/soak.sh SEED SECONDS" >&2
  exit 1
fi
SOAK_SEED=$1 SOAK_SECONDS=$2 exec build/process_tests --gtest_filter='ProofCombined.*'
