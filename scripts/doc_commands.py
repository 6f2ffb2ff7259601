"""Turns the ```sh blocks of a page into a shell script whose line numbers are those of the page.

The script ends at the first command that fails and names its page and line. A comment such as
"# exits with 3" states the exit code of the command on the line below it.
"""

import re
import sys

EXPECTED = re.compile(r"^# exits with (\d+)$")

# One line, so that the line numbers of the page are kept: the first line of a page is its title.
# At the end only the script's own background jobs are stopped, by process id.
PROLOGUE = (
    "set -eEuo pipefail; page={page}; "
    "trap 'echo \"$page:$LINENO: exit code $?: $BASH_COMMAND\" >&2' ERR; "
    "trap 'pids=$(jobs -p); [ -z \"$pids\" ] || kill $pids 2>/dev/null || true; wait' EXIT; "
    "exits_with() {{ local want=$1 got=0; shift; \"$@\" || got=$?; "
    "[ $got -eq $want ] || {{ echo \"exit code $got, expected $want: $*\" >&2; return 1; }}; }}"
)


def script_of(page, text):
    lines = text.split("\n")
    out = [PROLOGUE.format(page=page)]
    inside = False
    expected = None
    for line in lines[1:]:
        if line.startswith("```"):
            inside = line == "```sh"
            out.append("")
            continue
        if not inside:
            out.append("")
            continue
        code = EXPECTED.match(line)
        if code:
            expected = code.group(1)
            out.append("")
            continue
        if expected is not None:
            line = f"exits_with {expected} {line}"
            expected = None
        out.append(line)
    return "\n".join(out) + "\n"


def main():
    page = sys.argv[1]
    with open(page, encoding="utf-8") as file:
        sys.stdout.write(script_of(page, file.read()))


main()
