"""Checks the operators' pages against the tree.

Every file that README.md and the pages under docs/ link to or name must exist. Every event type, log
line, metric, settings field and profile field in the sources must be on its page.
"""

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
        linked = {page.parent / target for target in LINK.findall(line) if "://" not in target}
        named = {ROOT / target for target in NAMED.findall(line)}
        for target in sorted({path.resolve() for path in linked | named}):
            if not target.exists():
                yield number, target.relative_to(ROOT)


EVENT = re.compile(
    r'"((?:config|daemon|entry|fleet|gateway|hosts?|member|planner|profiles|request|rollout|store)'
    r'\.[a-z_]+)"'
)
METRIC = re.compile(r'metrics_\.(?:Set|Count|Observe)\(\s*"([a-z_]+)')
SETTING = re.compile(r'\{ "([a-z_]+)",\s*(?:JsonSchema::|EndpointSchema|LimitsSchema)')
PROFILE_FIELD = re.compile(r'Field<\w+>\{ "([a-z_]+)"')

# Page, sources, and how names are found in them.
NAMES = [
    ("docs/events.md", "src/*.cpp", EVENT),
    ("docs/metrics.md", "src/*.cpp", METRIC),
    ("docs/settings.md", "src/settings.cpp", SETTING),
    ("docs/profiles.md", "src/profile_fields_p.h", PROFILE_FIELD),
]


def names_in(sources, pattern):
    found = set()
    for source in ROOT.glob(sources):
        found.update(pattern.findall(source.read_text(encoding="utf-8")))
    return found


def unnamed():
    for page, sources, pattern in NAMES:
        text = (ROOT / page).read_text(encoding="utf-8")
        names = names_in(sources, pattern)
        if not names:
            yield page, f"no name found in {sources}; the pattern of this check is out of date"
        for name in sorted(names):
            if not re.search(rf"(?<![a-z]){re.escape(name)}(?![a-z])", text):
                yield page, f"{name} of {sources} is missing"


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
    for page, message in unnamed():
        print(f"{page}: {message}", file=sys.stderr)
        failed = True
    return 1 if failed else 0


sys.exit(main())
