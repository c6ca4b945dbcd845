"""Prints the configuration of a user with four data centres and three groups.

Usage: vanerkust.py [FIRST_PORT]   upstreams listen from this port on.
"""

import sys

from fireflycart_config import Fleet

DATA_CENTRES = ["gbg-a", "gbg-b", "uddevalla", "varberg"]


def main():
    port = int(sys.argv[1]) if len(sys.argv) > 1 else 21000
    fleet = Fleet()
    fleet.rank("urgent", target_ms=250)
    fleet.rank("history", target_ms=1000, floor_percent=15)
    fleet.rank("reconcile", target_ms=5000, floor_percent=5)
    fleet.kind("closure", rank="urgent", deadline_ms=2000)
    fleet.kind("history-read", rank="history", deadline_ms=3000)
    fleet.kind("reconcile", rank="reconcile", deadline_ms=10000)
    for i in range(1, 4):
        group = fleet.group(f"yield-{i}")
        for j, letter in enumerate("abc"):
            group.upstream(
                f"yield-{i}-{letter}",
                f"127.0.0.1:{port}",
                DATA_CENTRES[(i + j) % len(DATA_CENTRES)],
                slots=2,
                connections=16,
            )
            port += 1
    fleet.print()


main()
