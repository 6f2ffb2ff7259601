"""Writes a Markdown table and plots of the measures that scripts/measure.sh collected."""

import collections
import json
import pathlib
import re
import subprocess
import sys


def within(value, bound):
    """Whether a value meets a bound such as ">= 0.99"; a measure without a bound always does."""
    match = re.fullmatch(r"(>=|<=|=) ([0-9.]+)", bound)
    if not match:
        return True
    limit = float(match.group(2))
    return {">=": value >= limit, "<=": value <= limit, "=": value == limit}[match.group(1)]


def plot(folder, deployment, prefix, rows):
    """Draws the measures that several policies share as grouped bars, with gnuplot."""
    by_measure = collections.defaultdict(dict)
    for row in rows:
        by_measure[row["measure"]][row["policy"]] = row["value"]
    by_measure = {name: values for name, values in by_measure.items() if len(values) > 1}
    if not by_measure:
        return None
    policies = sorted({policy for values in by_measure.values() for policy in values})
    name = f"{deployment}-{prefix}"
    data = folder / f"{name}.dat"
    with data.open("w", encoding="utf-8") as out:
        out.write("measure " + " ".join(policies) + "\n")
        for measure, values in by_measure.items():
            cells = [str(values.get(policy, "NaN")) for policy in policies]
            out.write(f'"{measure}" ' + " ".join(cells) + "\n")
    script = f"""
set terminal pngcairo size 1100,600
set output "{folder / name}.png"
set title "{deployment}: {prefix}"
set style data histogram
set style fill solid 0.8
set logscale y
set xtics rotate by -30
set key outside top
set datafile missing "NaN"
plot for [i=2:{len(policies) + 1}] "{data}" using i:xtic(1) title columnheader(i)
"""
    subprocess.run(["gnuplot"], input=script, text=True, check=True, stderr=subprocess.DEVNULL)
    return f"{name}.png"


def main():
    folder = pathlib.Path(sys.argv[1])
    rows = [json.loads(line) for line in (folder / "measures.jsonl").open(encoding="utf-8")]
    missed = [row for row in rows if not within(row["value"], row["bound"])]
    groups = collections.defaultdict(list)
    for row in rows:
        groups[(row["deployment"], row["measure"].split(".")[0].split("_")[0])].append(row)
    with (folder / "report.md").open("w", encoding="utf-8") as out:
        out.write("# Measures\n\n")
        for (deployment, prefix), members in sorted(groups.items()):
            out.write(f"## {deployment}: {prefix}\n\n")
            out.write("| Measure | Policy | Value | Unit | Bound | Met |\n| --- | --- | --- | --- | --- | --- |\n")
            for row in members:
                met = "" if not row["bound"] else ("no" if row in missed else "yes")
                out.write(
                    f"| {row['measure']} | {row['policy']} | {row['value']:.4g} | {row['unit']}"
                    f" | {row['bound']} | {met} |\n"
                )
            image = plot(folder, deployment, prefix, members)
            out.write(f"\n![{deployment} {prefix}]({image})\n\n" if image else "\n")
    for row in missed:
        print(f"missed: {row['deployment']} {row['measure']} {row['value']} bound {row['bound']}", file=sys.stderr)
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    main()
