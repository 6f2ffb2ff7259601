#!/bin/sh
# The stand-ins of cases 6 to 10 are interpreted and need no build: checks that each can be read.
cd "$(dirname "$0")" || exit 1
for file in lib2/world.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
  [ ! -e "$file" ] || python3 -B -c "compile(open('$file').read(), '$file', 'exec')" || exit 1
done
