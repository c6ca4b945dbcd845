"""Measures real daemons: processor time and memory while idle, by fleet size,
memory for each idle caller connection, and cost of a request under load.

Usage: measure_daemons.py BUILD_DIRECTORY
"""

import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import replace

from cluster import VANERKUST, Cluster

IDLE_SECONDS = 8
LOAD_SECONDS = 8
CONNECTIONS = (500, 1000, 2000)


def cpu_seconds(daemon):
    """Processor time that the daemon has used."""
    with open(f"/proc/{daemon.process.pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_kb(daemon):
    """Resident memory of the daemon."""
    with open(f"/proc/{daemon.process.pid}/status", encoding="utf-8") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
    return 0


def measure_fleet(build, vms, logs):
    """Idle cost of a daemon in a fleet of this size."""
    user = replace(VANERKUST, vms=vms, first_port=24000 + 1000 * (vms % 7))
    with Cluster(user, build, logs) as cluster:
        time.sleep(1)
        cluster.submit(base=0, operator_name="measure")
        cluster.wait_ready()
        time.sleep(2)
        before = [cpu_seconds(d) for d in cluster.daemons]
        time.sleep(IDLE_SECONDS)
        used = [cpu_seconds(d) - b for d, b in zip(cluster.daemons, before)]
        rss = [resident_kb(d) for d in cluster.daemons]
        print(f"idle, {vms:3} VMs: core {100 * sum(used) / vms / IDLE_SECONDS:5.2f} % mean, "
              f"{100 * max(used) / IDLE_SECONDS:5.2f} % worst; "
              f"resident {sum(rss) // vms} kB mean", flush=True)
        if vms != 8:
            return
        measure_connections(cluster)
        measure_load(cluster)


def measure_connections(cluster):
    """Memory for each connection of a caller that is open and idle."""
    daemon = cluster.daemons[0]
    host, port = daemon.http_address.split(":")
    base = resident_kb(daemon)
    sockets = []
    for count in CONNECTIONS:
        while len(sockets) < count:
            sockets.append(socket.create_connection((host, int(port))))
        time.sleep(1)
        grown = resident_kb(daemon) - base
        print(f"{count:5} idle connections: {grown} kB more, "
              f"{1024 * grown / count:.0f} bytes each", flush=True)
    for item in sockets:
        item.close()


def measure_load(cluster):
    """Throughput and processor time for each request, one entry VM."""
    entry = cluster.daemons[0]
    before = [cpu_seconds(d) for d in cluster.daemons]
    load = subprocess.run(
        cluster.ctl("load", servers=[entry.http_address], groups=",".join(cluster.user.groups),
                    kinds="closure:write:3,history-read:read:7", sessions=48,
                    seconds=LOAD_SECONDS, seed=5, json="true"),
        capture_output=True, check=False,
    )
    result = json.loads(load.stdout)
    done = sum(kind["done"] for kind in result["kinds"].values())
    used = [cpu_seconds(d) - b for d, b in zip(cluster.daemons, before)]
    print(f"load through one VM: {done / LOAD_SECONDS:.0f} requests/s, entry "
          f"{1e6 * used[0] / done:.0f} us, all VMs {1e6 * sum(used) / done:.0f} us "
          f"of processor time for each", flush=True)


def main():
    build = sys.argv[1]
    with tempfile.TemporaryDirectory() as logs:
        for vms in (4, 8, 16, 32):
            measure_fleet(build, vms, f"{logs}/{vms}")


if __name__ == "__main__":
    main()
