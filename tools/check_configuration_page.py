"""Compares docs/CONFIGURATION.md with the checks in the code.

Usage: check_configuration_page.py BUILD_DIRECTORY

For each numeric field of the page, a value just outside the stated range must
be refused with that range, and both ends must be accepted.
"""

import copy
import json
import os
import re
import subprocess
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
VALID = {
    "ranks": [{"name": "a", "target_ms": 5}],
    "kinds": [{"name": "k", "rank": "a", "deadline_ms": 5}],
    "groups": [
        {
            "name": "g",
            "upstreams": [
                {
                    "name": "u",
                    "address": "127.0.0.1:1",
                    "data_centre": "d",
                    "slots": 1,
                    "connections": 9,
                }
            ],
        }
    ],
}


def check(program, document):
    """Problems that the program reports for a document."""
    done = subprocess.run(
        [program, "check", "-"], input=json.dumps(document).encode(), capture_output=True,
        check=False,
    )
    return done.stderr.decode()


def with_value(path, value):
    """The valid document with one field set; lists are entered at index 0."""
    document = copy.deepcopy(VALID)
    place = document
    names = path.replace("[]", ".0").split(".")
    for name in names[:-1]:
        place = place[int(name)] if name.isdigit() else place[name]
    place[names[-1]] = value
    return document


def main():
    program = os.path.join(sys.argv[1], "fireflycart", "ctl", "fireflycart")
    with open(os.path.join(ROOT, "docs", "CONFIGURATION.md"), encoding="utf-8") as file:
        page = file.read().split("## Settings")[0]
    faults = []
    fields = 0
    for line in page.splitlines():
        match = re.match(r"\| `([a-z_\[\].]+)` \|.*\| (\d+) to (\d+)\b(?! of| entries)", line)
        if not match:
            continue
        fields += 1
        path, low, high = match[1], int(match[2]), int(match[3])
        for value in (low - 1, high + 1):
            problems = check(program, with_value(path, value))
            if f"from {low} to {high}" not in problems:
                faults.append(f"{path} = {value}: {problems or 'accepted'}")
        for value in (low, high):
            problems = check(program, with_value(path, value))
            if problems:
                faults.append(f"{path} = {value}: {problems}")
    if check(program, VALID):
        faults.append("the valid document is refused")
    print("\n".join(faults) or f"{fields} fields agree")
    return 1 if faults or fields < 9 else 0


if __name__ == "__main__":
    sys.exit(main())
