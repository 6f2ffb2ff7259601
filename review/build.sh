#!/bin/bash
# Builds the stand-ins that the scripts of the cases start. They are Python programs of the standard
# library, so that only their syntax is checked; sardinespoke-entry comes from the build of the
# deploy file.
set -eu
cd "$(dirname "$0")"
/usr/bin/python3 - common/*.py [1-5]/*.py <<'CHECK'
import ast
import sys

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
CHECK
test -x ../target/sardinespoke-entry || echo "target/sardinespoke-entry is missing: build the deploy file first"
