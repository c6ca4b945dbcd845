"""Daemons under the deploy file's command and settings template, and links.

    fleet = Fleet(net, store, folder)
    vm = fleet.add("vm-1", zone="a")
    await fleet.start(vm)
    fleet.cut(vm)              # from the other VMs, both ways, silently
    await fleet.end()

The daemons' peers reach each other through links, so that a cut can be made
without touching the network. Everything else is connected directly.
"""

import asyncio
import os
import re
import signal
import subprocess
import tomllib
import urllib.request

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


def lookup(fields, path):
    value = fields
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


def render(template, fields):
    """Fills in a template; only what deploy/node.settings uses."""
    section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)
    while section.search(template):
        template = section.sub(
            lambda m: m.group(2) if lookup(fields, m.group(1)) else "", template)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(lookup(fields, m.group(1)) or ""), template)


class Link:
    """Carries connections to one daemon's peer port; those of VMs that are cut
    off are held silent, and reset when the cut ends."""

    def __init__(self, address, target, fleet):
        self.address = address
        self.target = target
        self.fleet = fleet
        self.server = None
        self.pairs = []

    async def open(self):
        self.server = await asyncio.start_server(self.carry, *self.address)

    async def carry(self, reader, writer):
        pair = {"writers": [writer], "from": None, "was_cut": False}
        self.pairs.append(pair)
        try:
            first = await reader.read(1 << 16)
            pair["from"] = self.fleet.sender_of(first)
            while self.fleet.is_cut(pair["from"], self.target):
                pair["was_cut"] = True
                await asyncio.sleep(0.05)
            if pair["was_cut"] or not first:
                return
            far_reader, far_writer = await asyncio.open_connection(*self.target)
            pair["writers"].append(far_writer)
            far_writer.write(first)
            await asyncio.gather(self.pump(pair, reader, far_writer),
                                 self.pump(pair, far_reader, writer))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for side in pair["writers"]:
                side.transport.abort()
            self.pairs.remove(pair)

    async def pump(self, pair, reader, writer):
        while True:
            data = await reader.read(1 << 16)
            while self.fleet.is_cut(pair["from"], self.target):
                pair["was_cut"] = True
                await asyncio.sleep(0.05)
            if not data or pair["was_cut"]:
                for side in pair["writers"]:
                    side.transport.abort()
                return
            writer.write(data)
            await writer.drain()


class Vm:
    """One entry VM."""

    def __init__(self, name, zone, ip, listen, link):
        self.name = name
        self.zone = zone
        self.ip = ip
        self.listen = listen    # Where the daemon listens for peers.
        self.link = link        # What it tells the others.
        self.front = (ip, 8784)
        self.ready = (ip, 8785)
        self.metrics = (ip, 7441)
        self.process = None
        self.peak_kb = 0
        self.exit_code = None


class Fleet:
    """The daemons of a small deployment."""

    def __init__(self, net, store, folder, memory_mb=260, bounds=None):
        self.net = net
        self.store = store
        self.folder = folder
        self.memory_mb = memory_mb
        self.bounds = {"graceS": 6, "drainMs": 7000, "configApplyMs": 3000, **(bounds or {})}
        self.vms = []
        self.cut_off = set()
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"]["proxy"]

    def add(self, name, zone):
        """A VM. HTTP/2's Huffman code makes the names vm-3 to vm-9 no shorter, so they
        are sent as they are and a link can read them."""
        ip = self.net.ip()
        vm = Vm(name, zone, ip, (ip, 7440), (self.net.ip(), 7440))
        self.vms.append(vm)
        return vm

    def settings(self, vm):
        fields = {
            "nodeName": vm.name, "zone": vm.zone, "ip": vm.link[0],
            "internalPorts": [7440, 7455],
            "listenAddrs": {"front": "%s:%d" % vm.front, "ready": "%s:%d" % vm.ready},
            "platform": {"address": "%s:%d" % self.store.address},
            "cloudApi": {"address": "%s:%d" % self.store.address},
            "limits": {"cpuShare": 0.25, "cores": 1, "maxFds": 4300, "memoryMb": self.memory_mb},
            "bounds": self.bounds}
        with open(os.path.join(ROOT, self.role["template"]), encoding="utf-8") as file:
            text = render(file.read(), fields)
        # The links stand between the daemons, so they listen elsewhere.
        return (text + f"\npeer_listen_address={vm.listen[0]}:{vm.listen[1]}\n"
                + f"metrics_address={vm.metrics[0]}:{vm.metrics[1]}\n")

    async def start(self, vm):
        """Starts the daemon and waits until it takes callers."""
        path = os.path.join(self.folder, vm.name + ".settings")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(vm))
        if not hasattr(vm, "carrier"):
            vm.carrier = Link(vm.link, vm.listen, self)
            await vm.carrier.open()
        log = open(os.path.join(self.folder, vm.name + ".log"), "ab")
        vm.process = subprocess.Popen(
            self.role["run"].split(" "), cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "HOME": self.folder,
                 "FIREFLYCART_SETTINGS": path})
        log.close()

    async def wait_ready(self, vm, limit_s=20):
        for _ in range(int(limit_s * 10)):
            if vm.process.poll() is not None:
                raise RuntimeError(f"{vm.name} ended with {vm.process.returncode}")
            if await asyncio.to_thread(self.readiness, vm) == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{vm.name} is not ready after {limit_s} s")

    @staticmethod
    def readiness(vm):
        try:
            with urllib.request.urlopen("http://%s:%d/api/readiness" % vm.ready, timeout=2) as r:
                return r.status
        except OSError:
            return 0

    def sender_of(self, data):
        for vm in self.vms:
            if vm.name.encode() in data:
                return vm.name
        return None

    def cut(self, vm):
        """Partitions the VM from the other VMs."""
        self.cut_off.add(vm.name)

    def mend(self, vm):
        self.cut_off.discard(vm.name)

    def is_cut(self, sender, target):
        receiver = next((vm.name for vm in self.vms if vm.listen == target), None)
        return sender != receiver and bool({sender, receiver} & self.cut_off)

    def look(self):
        """Updates the peaks of resident memory and the exit codes."""
        for vm in self.vms:
            if vm.process is None:
                continue
            vm.exit_code = vm.process.poll()
            try:
                with open(f"/proc/{vm.process.pid}/status", encoding="ascii") as file:
                    found = re.search(r"VmHWM:\s+(\d+) kB", file.read())
                if found:
                    vm.peak_kb = max(vm.peak_kb, int(found.group(1)))
            except OSError:
                pass

    async def end(self):
        """Ends the daemons that were started."""
        for vm in self.vms:
            if vm.process is not None and vm.process.poll() is None:
                vm.process.send_signal(signal.SIGKILL)
                await asyncio.to_thread(vm.process.wait)
            if hasattr(vm, "carrier"):
                vm.carrier.server.close()
