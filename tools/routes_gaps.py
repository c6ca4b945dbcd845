"""Shows for how long VMs had no new routes, from the logs of all VMs of a play.

Usage: routes_gaps.py LOG ...

LOG is what a play of the users' bench with `--log all` prints. Each line of the
output names the VMs with the longest time between two versions in force, and
when it began and ended. It tells how late routes were only if changes come
steadily. A time that a restart of the VM interrupts does not count.
"""

import collections
import re
import sys

START_OF_TRAFFIC = 1.5  # Seconds; versions before are of the VMs' start.


def read_events(path):
    """Yields (seconds, vm, text). Only the first line of a write has a time."""
    offsets = {}
    with open(path, errors="replace") as lines:
        for line in lines:
            up = re.search(r'"up_ms":(\d+)', line)
            timed = re.match(r"\s*(-?[\d.]+) (\S+) (\{.*)", line)
            if timed:
                if up:
                    offsets[timed[2]] = float(timed[1]) - int(up[1]) / 1000
                yield float(timed[1]), timed[2], timed[3]
                continue
            vm = re.search(r'"vm":"([^"]+)"', line)
            if up and vm and vm[1] in offsets:
                yield offsets[vm[1]] + int(up[1]) / 1000, vm[1], line


def longest_gaps(path):
    """Returns (length, vm, begin, end) of each VM, longest first."""
    times = collections.defaultdict(list)
    for seconds, vm, text in read_events(path):
        if '"event":"routes_in_force"' in text:
            times[vm].append((seconds, True))
        elif '"event":"started"' in text:
            times[vm].append((seconds, False))
    gaps = []
    for vm, entries in times.items():
        entries = sorted(e for e in entries if e[0] > START_OF_TRAFFIC)
        found = [(b[0] - a[0], vm, a[0], b[0])
                 for a, b in zip(entries, entries[1:]) if a[1] and b[1]]
        if found:
            gaps.append(max(found))
    return sorted(gaps, reverse=True)


def main():
    if len(sys.argv) < 2:
        sys.exit(__doc__)
    for path in sys.argv[1:]:
        worst = "; ".join(f"{vm} {length:.2f} s ({begin:.2f} to {end:.2f})"
                          for length, vm, begin, end in longest_gaps(path)[:3])
        print(f"{path}: {worst or 'no versions'}")


if __name__ == "__main__":
    main()
