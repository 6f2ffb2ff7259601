"""Checks that every file that README.md and the pages under docs/ link to or name exists."""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
LINK = re.compile(r"\[[^\]]*\]\(([^)#\s]+)(?:#[^)]*)?\)")
NAMED = re.compile(
    r"(?<![\w./-])((?:docs|scripts|src|include|tools|tests|standins|examples)/[\w./-]+\.(?:md|sh|py|cpp|h|json|txt))"
)


def missing(page):
    for number, line in enumerate(page.read_text(encoding="utf-8").split("\n"), start=1):
        for target in LINK.findall(line):
            if "://" not in target and not (page.parent / target).exists():
                yield number, target
        for target in NAMED.findall(line):
            if not (ROOT / target).exists():
                yield number, target


def main():
    pages = sorted((ROOT / "docs").glob("**/*.md"))
    readme = ROOT / "README.md"
    if readme.exists():
        pages.insert(0, readme)
    failed = False
    for page in pages:
        for number, target in missing(page):
            print(f"{page.relative_to(ROOT)}:{number}: {target} does not exist", file=sys.stderr)
            failed = True
    return 1 if failed else 0


sys.exit(main())
