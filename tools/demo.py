"""Runs both users' installations, a mixed load, and two failures on the way.

Usage: demo.py [BUILD_DIRECTORY]

Prints a report and exits with 1 if a promise was broken.
"""

import json
import subprocess
import sys
import tempfile
import time

from cluster import SAFISHA, VANERKUST, Cluster

LOAD_SECONDS = 14
KINDS = {
    "vanerkust": "closure:write:4,history-read:read:5,reconcile:read:1",
    "safisha": "clock-in:write:4,board-read:read:5,audit-pull:read:1",
}


def start_load(cluster):
    """Starts the load of one user."""
    return subprocess.Popen(
        cluster.ctl(
            "load",
            groups=",".join(cluster.user.groups),
            kinds=KINDS[cluster.user.name],
            sessions=24,
            seconds=LOAD_SECONDS,
            think_ms=20,
            seed=7,
            json="true",
        ),
        stdout=subprocess.PIPE,
    )


def fail_something(clusters):
    """Kills one VM and the primary of one group of each user."""
    for cluster in clusters:
        group = cluster.user.groups[0]
        primary = cluster.primary_of(group)
        print(f"{cluster.user.name}: primary {primary} of {group} goes down", flush=True)
        cluster.upstream_fault(primary, down=True)
    time.sleep(4)
    for cluster in clusters:
        group = cluster.user.groups[1]
        victim = cluster.coordinator_of(group)
        print(f"{cluster.user.name}: VM {victim.name} is killed; it led {group}", flush=True)
        victim.process.kill()
    time.sleep(3)
    for cluster in clusters:
        for group in cluster.groups[:1]:
            for upstream in group.members:
                cluster.upstream_fault(upstream, down=False)
        for daemon in cluster.daemons:
            if daemon.process.poll() is not None:
                cluster.start_daemon(daemon)


def report(cluster, output):
    """Prints one user's report; returns the number of broken promises."""
    result = json.loads(output)
    print(f"\n{cluster.user.name}")
    print(f"  {'kind':14}{'done':>7}{'not run':>9}{'unknown':>9}{'no answer':>11}"
          f"{'replica':>9}{'p50 ms':>8}{'p99 ms':>8}")
    for name, kind in sorted(result["kinds"].items()):
        share = 100 * kind["from_replica"] / max(1, kind["done"])
        print(f"  {name:14}{kind['done']:7}{kind['not_run']:9}{kind['unknown']:9}"
              f"{kind['failed']:11}{share:8.1f}%{kind['p50_ms']:8.1f}{kind['p99_ms']:8.1f}")
    print(f"  longest pause between two writes, ms: {result['longest_write_gap_ms']}")
    promises = ["stale_reads", "lost_writes", "doubled_writes", "phantom_writes",
                "unchecked_lists"]
    print("  broken promises: " + ", ".join(f"{p}={result[p]}" for p in promises))
    return sum(result[p] for p in promises)


def main():
    build = sys.argv[1] if len(sys.argv) > 1 else "build"
    started = time.monotonic()
    with tempfile.TemporaryDirectory() as logs:
        with Cluster(VANERKUST, build, f"{logs}/vanerkust") as first, Cluster(
            SAFISHA, build, f"{logs}/safisha"
        ) as second:
            clusters = [first, second]
            time.sleep(1)
            for cluster in clusters:
                done = cluster.submit(operator_name="demo", base=0)
                print(f"{cluster.user.name}: {done.stdout.decode().strip()}"
                      f"{done.stderr.decode().strip()}", flush=True)
            for cluster in clusters:
                cluster.wait_ready()
            print(f"ready after {time.monotonic() - started:.1f} s", flush=True)
            loads = [start_load(cluster) for cluster in clusters]
            time.sleep(3)
            fail_something(clusters)
            broken = 0
            for cluster, load in zip(clusters, loads):
                output, _ = load.communicate(timeout=60)
                broken += report(cluster, output)
            print(subprocess.run(first.ctl("status"), capture_output=True, check=False)
                  .stdout.decode())
    print(f"demo took {time.monotonic() - started:.1f} s, broken promises: {broken}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
