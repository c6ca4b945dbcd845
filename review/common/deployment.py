"""A small deployment on loopback addresses: platform, backends and daemons.

    deployment = Deployment(folder)
    await deployment.open(vms=2)
    ...
    await deployment.close()

The daemons run with the command of deploy/system.toml and settings rendered
from deploy/node.settings.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.error
import urllib.request

from standin import Group, Link, Promotion, Record, Session, Store

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE = "ledger"
GRACE_S = 6
DRAIN_MS = 7000
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


def command():
    """The command of the deploy file."""
    with open(f"{ROOT}/deploy/system.toml", encoding="utf-8") as file:
        return re.search(r'^run = "(.*)"', file.read(), re.M).group(1).split(" ")


def render(template, fields):
    """Fills in the placeholders of a settings template."""
    def value(match):
        found = fields
        for part in match.group(1).split("."):
            found = found[int(part)] if part.isdigit() else found[part]
        return str(found)
    return re.sub(r"{{([\w.]+)}}", value, template)


def free_network():
    """The first two bytes of a loopback network whose ports are free."""
    for _ in range(50):
        net = f"127.{random.randrange(64, 250)}"
        try:
            for port in (7000, 7001):
                with socket.socket() as probe:
                    probe.bind((f"{net}.0.1", port))
            return net
        except OSError:
            continue
    raise OSError("no free loopback network")


class Vm:
    """One daemon and its addresses."""

    def __init__(self, net, index):
        self.number = index
        # HPACK leaves names of this form uncompressed, so that links see them.
        self.name = f"vm-{index + 2}"
        self.ip = f"{net}.3.{index}"
        self.front = (self.ip, 8784)
        self.ready = (self.ip, 8785)
        self.peer = (self.ip, 7440)
        self.process = None
        self.link = None     # In front of its address for peers.
        self.store_link = None
        self.settings = ""


class Deployment:
    """The platform's stand-ins, the daemons and the links between them."""

    def __init__(self, folder):
        self.record = Record(f"{folder}/record.txt")
        self.temporary = tempfile.mkdtemp(prefix="review-")
        self.net = free_network()
        self.store = Store((f"{self.net}.0.1", 8783), self.record)
        self.group = Group(SERVICE, self.store, self.record)
        self.promotion = Promotion((f"{self.net}.0.2", 8783), self.group, self.record)
        self.vms = []
        self.links = []
        self.next_backend = 1
        self.ids_descend = False
        self.logs = []

    async def open(self, vms, backends=3, has_links=False, start_gap_s=0,
                   first=1):
        """Starts everything, the daemon of that number first, and waits until all
        daemons are ready."""
        await self.store.open()
        await self.promotion.open()
        self.configure()
        for index in range(backends):
            await self.add_backend(is_primary=index == 0)
        self.vms = [Vm(self.net, index) for index in range(1, vms + 1)]
        names = [vm.name for vm in self.vms]
        for vm in sorted(self.vms, key=lambda vm: vm.number != first):
            index = vm.number
            if has_links:
                vm.link = Link((f"{self.net}.2.{index}", vm.peer[1]), vm.peer,
                               vm.name, names)
                vm.store_link = Link((f"{self.net}.4.{index}", 8783),
                                     self.store.address, vm.name, [])
                self.links += [vm.link, vm.store_link]
                await vm.link.open()
                await vm.store_link.open()
            await self.start(vm)
            await asyncio.sleep(start_gap_s)
        for vm in self.vms:
            await self.wait_ready(vm)
        await asyncio.sleep(2.5)

    def configure(self):
        """Writes the configuration as the operator does."""
        types = {"primary": 0, "own_writes": 2500, "bounded_staleness": 1500}
        routes = [{"name": kind, "host": kind, "prefix": "/", "routeType": kind,
                   "timeoutMs": 2000, "targetLatencyMs": 200, "priority": 0,
                   "service": SERVICE, "maxStalenessMs": age}
                  for kind, age in types.items()]
        config = {"version": 5, "routes": routes,
                  "services": [{"name": SERVICE, "maxConnections": 55,
                                "syncReplicas": 1}],
                  "limits": {"txIdleMs": 5000}}
        self.store.put("op", "config", json.dumps(config))

    async def add_backend(self, is_primary=False):
        """Starts a backend; the ids ascend, or descend if asked to."""
        number = self.next_backend
        self.next_backend += 1
        ident = f"i-{99999999 - number if self.ids_descend else number:08d}"
        return await self.group.add(ident, (f"{self.net}.1.{number}", 5432), is_primary)

    async def start(self, vm):
        """Starts a daemon with settings from the template."""
        store = vm.store_link.address if vm.store_link else self.store.address
        fields = {
            "nodeName": vm.name, "zone": "zone-a", "ip": vm.ip,
            "internalPorts": [7440, 7455],
            "listenAddrs": {"front": "%s:%d" % vm.front, "ready": "%s:%d" % vm.ready},
            "platform": {"address": "%s:%d" % store},
            "cloudApi": {"address": "%s:%d" % self.promotion.address},
            "limits": {"cpuShare": 0.25, "cores": 1, "maxFds": 4300},
            "bounds": {"graceS": GRACE_S, "drainMs": DRAIN_MS}}
        with open(f"{ROOT}/deploy/node.settings", encoding="utf-8") as file:
            text = render(file.read(), fields)
        if vm.link is not None:
            # Peers reach this VM through the link.
            text = re.sub(r"(?m)^peer_address=.*$", "peer_address=%s:%d\n"
                          "peer_listen_address=%s:%d" % (*vm.link.address, *vm.peer),
                          text)
        path = f"{self.temporary}/{vm.name}.settings"
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        log = open(f"{self.temporary}/{vm.name}.log", "ab")
        self.logs.append(log)
        words = command()
        vm.process = await asyncio.create_subprocess_exec(
            f"{ROOT}/{words[0]}", *words[1:], cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "FIREFLYCART_SETTINGS": path})
        self.record.write("process", f"{vm.name} started")

    async def wait_ready(self, vm):
        """Waits until the daemon reports that it is ready."""
        def probe():
            try:
                url = "http://%s:%d/api/readiness" % vm.ready
                with urllib.request.urlopen(url, timeout=1) as reply:
                    return reply.status == 200
            except (OSError, urllib.error.URLError):
                return False
        end = time.monotonic() + 15
        while time.monotonic() < end:
            if await asyncio.to_thread(probe):
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"{vm.name} is not ready")

    def log_lines(self, vm):
        """The daemon's log lines, decoded."""
        lines = []
        with open(f"{self.temporary}/{vm.name}.log", encoding="utf-8",
                  errors="replace") as file:
            for line in file:
                try:
                    lines.append(json.loads(line))
                except ValueError:
                    continue
        return lines

    def owner(self):
        """The VM that owns the group, according to the logs."""
        for vm in self.vms:
            events = [line["event"] for line in self.log_lines(vm)
                      if line.get("event") in ("started", "owned", "not_owned")
                      and line.get("part") in ("node", "group")]
            if events and events[-1] == "owned":
                return vm
        raise RuntimeError("no machine owns the group")

    async def remove(self, vm):
        """Stops a daemon for good, as the platform does."""
        self.signal(vm, signal.SIGTERM)
        try:
            await asyncio.wait_for(vm.process.wait(), GRACE_S)
        except asyncio.TimeoutError:
            self.signal(vm, signal.SIGKILL)
            await vm.process.wait()
        self.record.write("process", f"{vm.name} has ended")

    def cut_off(self, vm, from_store):
        """Partitions a VM from the other VMs, and from the store if asked to."""
        for link in self.links:
            if from_store or link not in [v.store_link for v in self.vms]:
                link.cut(vm.name)
        self.record.write("links", f"{vm.name} is cut off from the other machines"
                          + (" and from the store" if from_store else ""))

    def heal(self):
        """Ends all partitions."""
        for link in self.links:
            link.heal()
        self.record.write("links", "healed")

    def signal(self, vm, number):
        """Sends a signal to a daemon."""
        self.record.write("process", f"{vm.name} gets {signal.Signals(number).name}")
        vm.process.send_signal(number)

    async def close(self):
        """Ends all that was started."""
        for vm in self.vms:
            if vm.process is not None and vm.process.returncode is None:
                vm.process.kill()
            if vm.process is not None:
                await vm.process.wait()
        for link in self.links:
            link.close()
        for backend in self.group.backends.values():
            backend.close()
        self.store.close()
        self.promotion.close()
        for log in self.logs:
            log.close()
        if os.environ.get("KEEP"):
            print(f"logs: {self.temporary}")
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)
        self.record.close()


async def open_session(deployment, vm, database, name):
    """Opens a session, again until it succeeds."""
    while True:
        try:
            return await Session.open(vm.front, database, name, deployment.record)
        except (OSError, asyncio.TimeoutError):
            await asyncio.sleep(0.05)


def main(case, folder):
    """Runs the case, which returns the problems; exits with the result."""
    async def run():
        deployment = Deployment(folder)
        try:
            problems = await asyncio.wait_for(case(deployment), 100)
        finally:
            await deployment.close()
        return problems
    # An interrupted case ends its processes, too.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(CANNOT_RUN))
    try:
        problems = asyncio.run(run())
    except Exception as error:  # The case could not run.
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(CANNOT_RUN)
    with open(f"{folder}/record.txt", "a", encoding="utf-8") as file:
        for problem in problems:
            file.write(f"BROKEN {problem}\n")
        file.write(f"result: {len(problems)} violations\n")
    for problem in problems[:5]:
        print(problem)
    print(f"{len(problems)} violations")
    sys.exit(BROKEN if problems else HELD)
