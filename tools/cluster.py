"""Starts stand-ins and daemons of one user on loopback, for demos and tests.

    with Cluster(VANERKUST, build="build", log_dir=path) as cluster:
        cluster.submit()
        cluster.daemons[0].process.kill()

Every process is ended by its own id when the block ends.
"""

import json
import os
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from dataclasses import dataclass, field

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


@dataclass(frozen=True)
class User:
    """Sizes of one user's installation."""

    name: str
    example: str
    data_centres: tuple
    vms: int
    groups: tuple
    slots: int
    connections: int
    first_port: int
    service_ms: int = 5


VANERKUST = User(
    name="vanerkust",
    example="vanerkust.py",
    data_centres=("gbg-a", "gbg-b", "uddevalla", "varberg"),
    vms=8,
    groups=("yield-1", "yield-2", "yield-3"),
    slots=2,
    connections=16,
    first_port=21000,
)

SAFISHA = User(
    name="safisha",
    example="safisha.py",
    data_centres=("westlands", "embakasi", "karen"),
    vms=7,
    groups=("rounds-1", "rounds-2", "rounds-3"),
    slots=5,
    connections=55,
    first_port=22000,
)


@dataclass
class Daemon:
    """One daemon process and how to reach it."""

    name: str
    data_centre: str
    peer_address: str
    http_address: str
    process: subprocess.Popen = None


@dataclass
class GroupProcess:
    """The stand-in of one database group."""

    name: str
    members: dict
    admin: str
    process: subprocess.Popen = None


def request(address, path, body=None, timeout=5.0):
    """Sends one HTTP request; returns the status and the JSON or text."""
    data = None if body is None else json.dumps(body).encode()
    call = urllib.request.Request(f"http://{address}{path}", data=data)
    try:
        with urllib.request.urlopen(call, timeout=timeout) as reply:
            status, text = reply.status, reply.read().decode()
    except urllib.error.HTTPError as error:
        status, text = error.code, error.read().decode()
    except OSError as error:
        return 0, str(error)
    try:
        return status, json.loads(text)
    except ValueError:
        return status, text


def wait_until(condition, seconds, what):
    """Polls a condition; raises TimeoutError naming what was waited for."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise TimeoutError(f"gave up waiting for {what} after {seconds} s")


@dataclass
class Cluster:
    """All processes of one user."""

    user: User
    build: str
    log_dir: str
    port_offset: int = 0
    lag_ms: int = 0
    processes: list = field(default_factory=list)
    daemons: list = field(default_factory=list)
    groups: list = field(default_factory=list)

    def __enter__(self):
        os.makedirs(self.log_dir, exist_ok=True)
        try:
            self._start()
        except BaseException:
            self.__exit__(None, None, None)
            raise
        return self

    def __exit__(self, *_):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()

    def _port(self, offset):
        return self.user.first_port + self.port_offset + offset

    def _run(self, name, program, flags):
        path = os.path.join(ROOT, self.build, "fireflycart", program)
        log = open(os.path.join(self.log_dir, f"{name}.log"), "ab")
        command = [path] + [f"--{key}={value}" for key, value in flags.items()]
        process = subprocess.Popen(command, stdout=log, stderr=log)
        log.close()
        self.processes.append(process)
        return process

    def _start(self):
        self.platform = f"127.0.0.1:{self._port(500)}"
        self._run("platform", "standins/fireflycart-platform", {"listen": self.platform})
        port = self._port(0)
        for index, name in enumerate(self.user.groups):
            members = {}
            for letter in "abc":
                members[f"{name}-{letter}"] = f"127.0.0.1:{port}"
                port += 1
            group = GroupProcess(name, members, f"127.0.0.1:{self._port(400 + index)}")
            group.process = self._run(
                name,
                "standins/fireflycart-upstreams",
                {
                    "members": ",".join(f"{k}={v}" for k, v in members.items()),
                    "admin": group.admin,
                    "slots": self.user.slots,
                    "connections": self.user.connections,
                    "service_ms": self.user.service_ms,
                    "apply_lag_ms": self.lag_ms,
                    "seed": index + 1,
                },
            )
            self.groups.append(group)
        centres = self.user.data_centres
        for index in range(self.user.vms):
            centre = centres[index % len(centres)]
            self.daemons.append(
                Daemon(
                    name=f"{centre}-{index // len(centres) + 1}",
                    data_centre=centre,
                    peer_address=f"127.0.0.{index + 2}:{self._port(600)}",
                    http_address=f"127.0.0.{index + 2}:{self._port(601)}",
                )
            )
        wait_until(lambda: request(self.platform, "/vms", [])[0] == 200, 10, "platform")
        self.list_vms()
        for daemon in self.daemons:
            self.start_daemon(daemon)

    def start_daemon(self, daemon):
        """Starts or restarts one daemon."""
        daemon.process = self._run(
            daemon.name,
            "daemon/fireflycartd",
            {
                "vm": daemon.name,
                "data_centre": daemon.data_centre,
                "peer_address": daemon.peer_address,
                "http_address": daemon.http_address,
                "platform_address": self.platform,
                "seed": 1 + self.daemons.index(daemon),
                "http_threads": 1,
            },
        )

    def list_vms(self, leaving=()):
        """Tells the platform which VMs there are."""
        vms = [
            {
                "vm": d.name,
                "address": d.peer_address,
                "data_centre": d.data_centre,
                "leaving": d.name in leaving,
            }
            for d in self.daemons
        ]
        request(self.platform, "/vms", vms)

    def platform_fault(self, **fault):
        """Switches faults of the platform."""
        request(self.platform, "/fault", fault)

    def upstream_fault(self, upstream, **fault):
        """Switches faults of one upstream."""
        for group in self.groups:
            if upstream in group.members:
                request(group.admin, "/fault", {"upstream": upstream, **fault})
                return
        raise KeyError(upstream)

    def ctl(self, *arguments, servers=None, **options):
        """The command line of the operators' tool."""
        servers = servers or [d.http_address for d in self.daemons]
        path = os.path.join(ROOT, self.build, "fireflycart", "ctl/fireflycart")
        return [path, f"--servers={','.join(servers)}"] + [
            f"--{key}={value}" for key, value in options.items()
        ] + list(arguments)

    def document(self):
        """The configuration that the user's library prints."""
        example = os.path.join(ROOT, "examples", self.user.example)
        printed = subprocess.run(
            [sys.executable, example, str(self._port(0))], check=True, capture_output=True
        )
        return printed.stdout.decode()

    def submit(self, document=None, **options):
        """Submits a configuration; returns the finished process."""
        return subprocess.run(
            self.ctl("submit", "-", **options),
            input=(document or self.document()).encode(),
            capture_output=True,
            check=False,
        )

    def status(self, daemon):
        """Status of one daemon, or an empty object."""
        code, body = request(daemon.http_address, "/v1/status", timeout=1.0)
        return body if code == 200 else {}

    def live(self):
        """Daemons whose process runs."""
        return [d for d in self.daemons if d.process.poll() is None]

    def coordinator_of(self, group):
        """The daemon that serves the group now, or nothing."""
        for daemon in self.live():
            for line in self.status(daemon).get("groups", []):
                if line["group"] == group and line["phase"] == "serving":
                    return daemon
        return None

    def primary_of(self, group):
        """The upstream that its coordinator takes for the primary."""
        daemon = self.coordinator_of(group)
        for line in self.status(daemon).get("groups", []) if daemon else []:
            if line["group"] == group:
                return line["primary"]
        return None

    def wait_ready(self, seconds=20):
        """Waits until every group has a coordinator and every VM is ready."""
        wait_until(
            lambda: all(self.status(d).get("ready") for d in self.live()), seconds, "VMs"
        )
        for name in self.user.groups:
            wait_until(lambda: self.coordinator_of(name), seconds, f"a coordinator of {name}")
