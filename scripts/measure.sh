#!/bin/bash
# Measures the policy against its baselines, prints one JSON object per line and writes a report
# with plots under build/report/. Fails if a product value misses its bound.
set -eu
cd "$(dirname "$0")/.."
report=build/report
mkdir -p "$report"
build/sardinespoke-measure --deployment all --seed "${SEED:-1}" | tee "$report/measures.jsonl"
exec python3 scripts/report.py "$report"
