"""The processes of one run and the links between them; all ended by id.

Addresses of run number n, in the network 127.(10+n):

    .0.1     platform's stand-in: store, promotion, upstreams
    .0.2     links to the upstreams, as the store names them
    .1.i     link of daemon i to the store
    .2.i     link to daemon i for its peers
    .3.i     daemon i
"""

import asyncio
import concurrent.futures
import json
import os
import signal
import socket
import time
import urllib.error
import urllib.request

from .links import Link
from .tasks import RunTasks

PORTS = {"store": 7000, "session": 7010, "ready": 7011, "metrics": 7012, "peer": 7013}
UPSTREAM_PORTS = (7001, 7002, 7003)
VMS = 3
FIRST_ROUTES = 3  # Version of the stand-in's routes; route "vN" comes with N.
LONG = 30  # Seconds after which waiting for a recovery counts as a failure.


def fetch(address, path):
    """Fetches a page; returns its status and text."""
    try:
        with urllib.request.urlopen(f"http://{address}{path}", timeout=5) as reply:
            return reply.status, reply.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, ""
    except OSError:
        return 0, ""


def check_free(ip, port):
    """Raises OSError if a process listens at the address."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError as error:
            raise OSError(f"{ip}:{port}: {os.strerror(error.errno)}") from error


async def wait_until(condition, what):
    """Polls an asynchronous condition; raises TimeoutError after LONG."""
    end = time.monotonic() + LONG
    while time.monotonic() < end:
        if await condition():
            return
        await asyncio.sleep(0.05)
    raise TimeoutError(f"gave up waiting for {what} after {LONG} s")


class Daemon:
    """One daemon, over its restarts."""

    def __init__(self):
        self.process = None
        self.starts = 0  # Grows with each start.

    @property
    def is_running(self):
        """True unless it has ended."""
        return self.process is not None and self.process.returncode is None


class Fleet:
    """The stand-in, the daemons and the links."""

    def __init__(self, build, number, logs, vms=VMS):
        self.vms = vms
        self.build = build
        self.logs = logs
        self.tasks = RunTasks()
        self.threads = concurrent.futures.ThreadPoolExecutor()
        self.processes = []   # All that were started.
        self.made_links = []  # Also those that are gone.
        self.is_closed = False
        self.net = f"127.{10 + number}"
        self.platform = (f"{self.net}.0.1", PORTS["store"])
        self.daemons = [Daemon() for _ in range(vms)]
        self.store_links = [self.link((f"{self.net}.1.{i + 1}", PORTS["store"]), self.platform)
                            for i in range(vms)]
        self.peer_links = [
            self.link((f"{self.net}.2.{i + 1}", PORTS["peer"]), (self.ip(i), PORTS["peer"]))
            for i in range(vms)]
        self.upstream_links = {  # Of the upstreams that are there, by their ids.
            f"up-{port}": self.upstream_link(port) for port in UPSTREAM_PORTS}
        self.next_port = UPSTREAM_PORTS[-1] + 100
        self.standin = None
        self.routes = FIRST_ROUTES  # Version of the routes.

    @property
    def links(self):
        """All links."""
        return [*self.store_links, *self.peer_links, *self.upstream_links.values()]

    @property
    def upstreams(self):
        """The ids of the upstreams that are there."""
        return list(self.upstream_links)

    def link(self, address, target):
        """A link that ends with the run."""
        self.made_links.append(Link(address, target))
        return self.made_links[-1]

    async def fetch(self, address, path):
        """Fetches a page in a thread that ends with the run."""
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self.threads, fetch, address, path)

    def upstream_link(self, port):
        """The link to the upstream at that port."""
        return self.link((f"{self.net}.0.2", port), (self.platform[0], port))

    async def join(self):
        """Starts a new upstream with an empty log; returns its id."""
        port, self.next_port = self.next_port, self.next_port + 1
        link = self.upstream_link(port)
        await link.open()
        self.upstream_links[f"up-{port}"] = link
        await self.admin(f"join?up-{port}")
        return f"up-{port}"

    async def leave(self, upstream):
        """Ends an upstream for good; its log goes with it."""
        await self.admin(f"leave?{upstream}")
        self.upstream_links.pop(upstream).close()

    def ip(self, index):
        """The address of one daemon."""
        return f"{self.net}.3.{index + 1}"

    async def admin(self, order):
        """Orders a fault; returns the state of the group."""
        if self.standin is None or self.standin.returncode is not None:
            raise RuntimeError(f"admin {order}: the stand-in does not run")
        status, text = await self.fetch("%s:%d" % self.platform, f"/admin/{order}")
        if status != 200:
            raise RuntimeError(f"admin {order}: status {status}")
        return json.loads(text)

    async def start(self):
        """Starts everything and waits until all daemons take callers."""
        # The links first: two runs in one network would take each other's processes
        # for their own. Then what a run that was killed has left behind.
        for link in self.links:
            await link.open()
        for port in (PORTS["store"], *UPSTREAM_PORTS):
            check_free(self.platform[0], port)
        for index in range(self.vms):
            for name in ("session", "ready", "metrics", "peer"):
                check_free(self.ip(index), PORTS[name])
        self.standin = await self.start_process(
            f"{self.build}/platform/testing/fireflycart-prepared-platform",
            f"--ip={self.platform[0]}", f"--store_port={PORTS['store']}",
            f"--advertised_ip={self.net}.0.2",
            "--upstream_ports=" + ",".join(map(str, UPSTREAM_PORTS)))

        async def answers():
            if self.standin.returncode is not None:
                raise RuntimeError(f"the stand-in ended with {self.standin.returncode}")
            status, _ = await self.fetch("%s:%d" % self.platform, "/admin/state")
            return status == 200
        await wait_until(answers, "the stand-in")
        for index in range(self.vms):
            await self.start_daemon(index)
        for index in range(self.vms):
            await self.wait_ready(index)

    async def start_process(self, *command, **options):
        """Starts a process that ends with the run."""
        if self.is_closed:
            raise RuntimeError("the run has ended")
        process = await asyncio.create_subprocess_exec(*command, **options)
        self.processes.append(process)
        return process

    async def start_daemon(self, index):
        """Starts one daemon."""
        ip, store = self.ip(index), "%s:%d" % self.store_links[index].address
        daemon = self.daemons[index]
        daemon.starts += 1
        with open(f"{self.logs}/vm-{index}.log", "ab") as log:
            daemon.process = await self.start_process(
                f"{self.build}/fireflycart/daemon/fireflycartd", f"--vm=vm-{index}",
                "--data_centre=a",
                "--peer_address=%s:%d" % self.peer_links[index].address,
                f"--peer_listen_address={ip}:{PORTS['peer']}",
                f"--session_address={ip}:{PORTS['session']}",
                f"--ready_address={ip}:{PORTS['ready']}",
                f"--metrics_address={ip}:{PORTS['metrics']}",
                f"--store_address={store}", f"--promotion_address={store}",
                stdout=log, stderr=log)

    async def readiness(self, index):
        """The status that the daemon gives the balancer; 0 if it does not answer."""
        address = f"{self.ip(index)}:{PORTS['ready']}"
        return (await self.fetch(address, "/api/readiness"))[0]

    def check_running(self, index):
        """Raises RuntimeError if the daemon has ended."""
        daemon = self.daemons[index]
        if not daemon.is_running:
            with open(f"{self.logs}/vm-{index}.log", encoding="utf-8", errors="replace") as log:
                last = "".join(log.readlines()[-1:]).strip()
            raise RuntimeError(f"vm-{index} ended with {daemon.process.returncode}: {last}")

    async def wait_listening(self, index):
        """Waits until the daemon answers at all."""
        async def answers():
            self.check_running(index)
            return await self.readiness(index) != 0
        await wait_until(answers, f"vm-{index} to listen")

    async def wait_ready(self, index):
        """Waits until the daemon takes callers."""
        async def is_ready():
            self.check_running(index)
            return await self.readiness(index) == 200
        await wait_until(is_ready, f"vm-{index}")

    def metrics(self, index):
        """The metrics page of one daemon."""
        return fetch(f"{self.ip(index)}:{PORTS['metrics']}", "/metrics")[1]

    def signal(self, index, number):
        """Sends a signal to one daemon, if it runs."""
        if self.daemons[index].is_running:
            self.daemons[index].process.send_signal(number)

    async def close(self):
        """Ends what still runs."""
        self.is_closed = True
        await self.tasks.end()
        for link in self.made_links:
            link.end()
        for process in self.processes:
            if process.returncode is None:
                os.kill(process.pid, signal.SIGKILL)
            await process.wait()
        await asyncio.to_thread(self.threads.shutdown)
        await self.tasks.end()  # Links may have taken connections meanwhile.
