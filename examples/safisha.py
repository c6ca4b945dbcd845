"""Prints the configuration of a user with three data centres and three groups.

Usage: safisha.py [FIRST_PORT]   upstreams listen from this port on.
"""

import sys

from fireflycart_config import Fleet

DATA_CENTRES = ["westlands", "embakasi", "karen"]


def main():
    port = int(sys.argv[1]) if len(sys.argv) > 1 else 22000
    fleet = Fleet()
    fleet.rank("urgent", target_ms=250)
    fleet.rank("board", target_ms=1000, floor_percent=15)
    fleet.rank("audit", target_ms=5000, floor_percent=5)
    fleet.kind("clock-in", rank="urgent", deadline_ms=2000)
    fleet.kind("board-read", rank="board", deadline_ms=3000)
    fleet.kind("audit-pull", rank="audit", deadline_ms=10000)
    for i in range(1, 4):
        group = fleet.group(f"rounds-{i}")
        for j, letter in enumerate("abc"):
            group.upstream(
                f"rounds-{i}-{letter}",
                f"127.0.0.1:{port}",
                DATA_CENTRES[(i + j) % len(DATA_CENTRES)],
                slots=5,
                connections=55,
            )
            port += 1
    fleet.print()


main()
