"""Failures in real processes, with a check of the whole history.

Usage: process_test.py BUILD_DIRECTORY

While a load runs, VMs are paused, killed and stopped, upstreams go down, freeze,
go silent and lose their replicas, and the platform is out. Nothing is judged by
how long it took; the load's own history must hold, stopped daemons must exit
with 0, and at the end every VM must have the last accepted version in force.
"""

import json
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import replace

from cluster import VANERKUST, Cluster, request, wait_until

USER = replace(VANERKUST, vms=5, first_port=23000)
KINDS = "closure:write:4,history-read:read:4,history-read:read:1:0:2000:500,reconcile:read:1"
LONG = 30  # Seconds after which waiting for a recovery counts as a failure.


class Faults:
    """The faults, one method each. Each ends what it began."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.failures = []

    def check(self, holds, what):
        """Notes a broken expectation."""
        if not holds:
            self.failures.append(what)
            print(f"  FAILED: {what}", flush=True)

    def wait_led(self, group):
        """Waits until the group has a coordinator."""
        wait_until(lambda: self.cluster.coordinator_of(group), LONG, f"lead of {group}")

    def known_primary(self, group):
        """Waits until the group has a primary; for a moment during a handover
        between two VMs, no coordinator names one."""
        found = []

        def is_known():
            found[:] = [self.cluster.primary_of(group)]
            return bool(found[0])

        wait_until(is_known, LONG, f"primary of {group}")
        return found[0]

    def pause_coordinator(self):
        """SIGSTOP beyond its replacement, then SIGCONT."""
        victim = self.cluster.coordinator_of("yield-1")
        victim.process.send_signal(signal.SIGSTOP)
        others = [d for d in self.cluster.live() if d is not victim]
        wait_until(
            lambda: any(
                line["group"] == "yield-1" and line["phase"] == "serving"
                for d in others
                for line in self.cluster.status(d).get("groups", [])
            ),
            LONG,
            "a second coordinator",
        )
        victim.process.send_signal(signal.SIGCONT)

    def silent_connections(self):
        """All open connections of a primary go silent; new ones work."""
        primary = self.known_primary("yield-2")
        self.cluster.upstream_fault(primary, silence=True)
        time.sleep(2)
        self.check(self.known_primary("yield-2") == primary,
                   "silent connections led to a change of primary")

    def primary_down(self):
        """A primary refuses all connections; it comes back later."""
        primary = self.known_primary("yield-3")
        self.cluster.upstream_fault(primary, down=True)
        wait_until(
            lambda: self.cluster.primary_of("yield-3") not in (None, primary), LONG, "failover"
        )
        self.cluster.upstream_fault(primary, down=False)

    def primary_frozen(self):
        """A primary accepts connections and answers nothing."""
        primary = self.known_primary("yield-1")
        self.cluster.upstream_fault(primary, frozen=True)
        wait_until(
            lambda: self.cluster.primary_of("yield-1") not in (None, primary), LONG, "failover"
        )
        self.cluster.upstream_fault(primary, frozen=False)

    def primary_cut_from_replicas(self):
        """A primary reaches the VMs but not its replicas."""
        primary = self.known_primary("yield-2")
        self.cluster.upstream_fault(primary, replication_cut=True)
        wait_until(
            lambda: self.cluster.primary_of("yield-2") not in (None, primary), LONG, "failover"
        )
        self.cluster.upstream_fault(primary, replication_cut=False)

    def kill_during_outage(self):
        """kill -9 of a coordinator with the platform out; it starts again so."""
        self.cluster.platform_fault(outage=True)
        victim = self.cluster.coordinator_of("yield-3")
        victim.process.kill()
        self.wait_led("yield-3")
        self.cluster.start_daemon(victim)
        wait_until(
            lambda: self.cluster.status(victim).get("version", 0) > 0, LONG,
            "a configuration from peers",
        )
        self.cluster.platform_fault(outage=False)

    def planned_stop(self):
        """SIGTERM of a coordinator; it must hand over and exit with 0."""
        victim = self.cluster.coordinator_of("yield-1")
        victim.process.send_signal(signal.SIGTERM)
        self.check(victim.process.wait(timeout=LONG) == 0, "a planned stop did not exit with 0")
        self.wait_led("yield-1")
        self.cluster.start_daemon(victim)

    def conflicting_operators(self):
        """Two changes on one base, and one whose answer is lost."""
        first = json.loads(self.cluster.document())
        second = json.loads(self.cluster.document())
        first["ranks"][1]["target_ms"] = 1001
        second["ranks"][1]["target_ms"] = 1002
        codes = sorted(
            self.cluster.submit(json.dumps(d), base=1, operator_name=n).returncode
            for d, n in ((first, "anna"), (second, "bo"))
        )
        self.check(codes == [0, 4], f"two operators on one base got {codes}")
        third = json.loads(self.cluster.document())
        third["ranks"][1]["target_ms"] = 1003
        self.cluster.platform_fault(lose_answers=2)
        done = self.cluster.submit(json.dumps(third), base=2, operator_name="cai",
                                   timeout_ms=15000)
        self.check(done.returncode == 0, f"a lost answer led to {done.stderr.decode()}")
        again = self.cluster.submit(json.dumps(third), base=2, operator_name="cai")
        self.check(again.returncode == 0, "repeating an accepted change failed")

    def versions_agree(self):
        """Every VM has the last accepted version in force."""
        wait_until(
            lambda: {self.cluster.status(d).get("version") for d in self.cluster.live()} == {3},
            LONG,
            "version 3 everywhere",
        )


def check_input(cluster, faults):
    """Faulty input is refused with the field, its value and what is allowed."""
    address = cluster.daemons[0].http_address
    code, body = request(address, "/v1/statement", {"group": "yield-1"})
    faults.check(code == 400 and body["field"] == "kind" and body["allowed"], f"{code} {body}")
    code, body = request(address, "/v1/statement",
                         {"group": "no", "kind": "closure", "caller": "c", "access": "read",
                          "statement": "get x"})
    faults.check(code == 404 and body["reason"] == "unknown_group", f"{code} {body}")
    code, body = request(address, "/v1/nothing", {})
    faults.check(code == 404, f"{code} {body}")
    huge = {"group": "yield-1", "kind": "closure", "caller": "c", "access": "write",
            "statement": "put x " + "y" * 70000}
    code, body = request(address, "/v1/statement", huge)
    faults.check(code == 400 and body["field"] == "statement", f"{code} {str(body)[:100]}")
    code, body = request(address, "/v1/statement", {"statement": "z" * (2 << 20)})
    faults.check(code == 413, f"{code} {str(body)[:100]}")


def main():
    build = sys.argv[1]
    with tempfile.TemporaryDirectory() as logs, Cluster(USER, build, logs) as cluster:
        time.sleep(1)
        cluster.submit(base=0, operator_name="test")
        cluster.wait_ready()
        faults = Faults(cluster)
        check_input(cluster, faults)
        load = subprocess.Popen(
            cluster.ctl("load", groups=",".join(USER.groups), kinds=KINDS, sessions=16,
                        seconds=40, think_ms=20, seed=3, json="true"),
            stdout=subprocess.PIPE,
        )
        time.sleep(1)
        for fault in (
            faults.pause_coordinator,
            faults.silent_connections,
            faults.primary_down,
            faults.conflicting_operators,
            faults.primary_frozen,
            faults.kill_during_outage,
            faults.primary_cut_from_replicas,
            faults.planned_stop,
            faults.versions_agree,
        ):
            started = time.monotonic()
            fault()
            print(f"{fault.__name__}: {time.monotonic() - started:.1f} s", flush=True)
            time.sleep(1)
        output, _ = load.communicate(timeout=120)
        result = json.loads(output)
        broken = {
            key: result[key]
            for key in ("stale_reads", "lost_writes", "doubled_writes", "phantom_writes",
                        "unchecked_lists")
        }
        print(f"history: {broken}, kinds: {json.dumps(result['kinds'])}")
        faults.check(load.returncode == 0, f"the history does not hold: {broken}")
    print("1 passed, 0 failed" if not faults.failures else "0 passed, 1 failed")
    return 1 if faults.failures else 0


if __name__ == "__main__":
    sys.exit(main())
