"""Sessions on the prepared platform in real processes, with a history check.

Usage: session_test.py BUILD_DIRECTORY

Starts the platform's stand-in and three daemons on loopback. While callers write
and read over the line protocol, the primary crashes, a daemon is killed, another
is stopped, answers are cut off and the store is away. Nothing is judged by how
long it took: acknowledged writes must be there once, refused ones not at all,
each session must read what it wrote, and a stopped daemon must exit with 0.
"""

import json
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request

IP = "127.0.0.41"
STORE_PORT = 25000
UPSTREAM_PORTS = (25001, 25002, 25003)
SESSION_PORT, READY_PORT, METRICS_PORT, PEER_PORT = 25010, 25011, 25012, 25013
VMS = 3
CALLERS = 9
LONG = 30  # Seconds after which waiting for a recovery counts as a failure.
PROMISES = {"BUSY", "ABORTED", "BEHIND", "READONLY", "WRONGNODE", "TOOMANY"}


def vm_ip(index):
    """The address of one daemon."""
    return f"127.0.0.{42 + index}"


def get(address, path):
    """Fetches a page; returns its status and text."""
    try:
        with urllib.request.urlopen(f"http://{address}{path}", timeout=5) as reply:
            return reply.status, reply.read().decode()
    except OSError:
        return 0, ""


def admin(command):
    """Orders a fault; returns the state of the group."""
    status, text = get(f"{IP}:{STORE_PORT}", f"/admin/{command}")
    if status != 200:
        raise RuntimeError(f"admin {command}: status {status}")
    return json.loads(text)


def wait_until(condition, what):
    """Polls a condition; raises TimeoutError naming what was waited for."""
    end = time.monotonic() + LONG
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise TimeoutError(f"gave up waiting for {what} after {LONG} s")


class Fleet:
    """The stand-in and the daemons; ended by id."""

    def __init__(self, build, logs):
        self.build = build
        self.logs = logs
        self.daemons = {}
        self.standin = subprocess.Popen([
            f"{build}/platform/testing/fireflycart-prepared-platform",
            f"--ip={IP}", f"--store_port={STORE_PORT}",
            "--upstream_ports=" + ",".join(map(str, UPSTREAM_PORTS))])
        wait_until(lambda: get(f"{IP}:{STORE_PORT}", "/admin/state")[0] == 200, "stand-in")

    def start(self, index):
        """Starts one daemon."""
        ip = vm_ip(index)
        log = open(f"{self.logs}/vm-{index}.log", "ab")
        self.daemons[index] = subprocess.Popen([
            f"{self.build}/fireflycart/daemon/fireflycartd", f"--vm=vm-{index}",
            "--data_centre=a", f"--peer_address={ip}:{PEER_PORT}",
            f"--session_address={ip}:{SESSION_PORT}",
            f"--ready_address={ip}:{READY_PORT}",
            f"--metrics_address={ip}:{METRICS_PORT}",
            f"--store_address={IP}:{STORE_PORT}",
            f"--promotion_address={IP}:{STORE_PORT}"], stdout=log, stderr=log)

    def wait_ready(self, index):
        """Waits until the daemon takes callers."""
        path = "/api/readiness"
        wait_until(lambda: get(f"{vm_ip(index)}:{READY_PORT}", path)[0] == 200,
                   f"vm-{index}")

    def close(self):
        """Ends what still runs."""
        for process in [*self.daemons.values(), self.standin]:
            if process.poll() is None:
                process.kill()
            process.wait()


class Session:
    """One connection that speaks the line protocol."""

    def __init__(self, index, database):
        self.socket = socket.create_connection((vm_ip(index), SESSION_PORT), timeout=10)
        self.file = self.socket.makefile("rb")
        self.numbers = 0
        self.socket.sendall(f"START {database} test\r\n".encode())
        if not self.line().startswith("READY I"):
            raise ConnectionError("not greeted")

    def line(self):
        """The next line, without its end."""
        line = self.file.readline()
        if not line.endswith(b"\r\n"):
            raise ConnectionError("cut")
        return line[:-2].decode()

    def query(self, statement_id, text):
        """Runs one statement; returns the rows, and the error code or None."""
        self.socket.sendall(f"QUERY {statement_id} {text}\r\n".encode())
        rows, code = [], None
        while True:
            word, _, rest = self.line().partition(" ")
            if word == "ROW":
                rows.append(rest)
            elif word == "ERR":
                code = rest.split(" ")[0]
            elif word == "READY":
                return rows, code

    def close(self):
        """Ends the session."""
        self.socket.close()


class Caller(threading.Thread):
    """Writes under a session of its own until told to stop."""

    def __init__(self, index, stop):
        super().__init__(daemon=True)
        self.index = index
        self.stop = stop
        self.random = random.Random(index)
        self.acknowledged, self.refused, self.unknown = [], [], []
        self.numbers = 0

    def run(self):
        while not self.stop.is_set():
            try:
                self.serve_session(Session(self.random.randrange(VMS), "own_writes"))
            except OSError:
                time.sleep(0.05)

    def serve_session(self, session):
        """Runs operations until the session ends."""
        try:
            while not self.stop.is_set():
                self.operate(session)
                time.sleep(0.01)
        finally:
            session.close()

    def operate(self, session):
        """A single write, or one in a transaction with a value set before."""
        self.numbers += 1
        name = f"c{self.index}-{self.numbers}"
        statements = [f"WRITE {name} data"]
        if self.random.random() < 0.5:
            statements = [f"SET v {self.numbers % 3}", "BEGIN", "READ x",
                          f"WRITE {name} data", "COMMIT"]
        last = len(statements) - 1
        effect_sent = False
        try:
            for number, text in enumerate(statements):
                effect_sent = effect_sent or number == last
                _, code = session.query(f"{name}-{number}", text)
                if code is None:
                    continue
                (self.refused if code in PROMISES else self.unknown).append(name)
                raise ConnectionError(code)
            self.acknowledged.append(name)
        except OSError:
            if name not in self.refused and name not in self.unknown:
                self.unknown.append(name)
            raise


def inject(fleet):
    """The faults, one after another and overlapping."""
    admin("break?20")
    time.sleep(1)
    old = admin("state")["primary"]
    print(f"primary {old} crashes", flush=True)
    admin(f"crash?{old}")
    wait_until(lambda: admin("state")["primary"] not in ("", old), "a new primary")
    fleet.daemons[0].kill()
    admin(f"restart?{old}")
    print("a daemon was killed while the old primary came back", flush=True)
    time.sleep(1)
    fleet.start(0)
    fleet.wait_ready(0)
    fleet.daemons[1].send_signal(signal.SIGTERM)
    code = fleet.daemons[1].wait(timeout=LONG)
    print(f"a stopped daemon exited with {code}", flush=True)
    fleet.start(1)
    fleet.wait_ready(1)
    admin("down")
    fleet.daemons[2].send_signal(signal.SIGHUP)
    time.sleep(2)
    admin("up")
    leaving = admin("state")["primary"]
    print(f"primary {leaving} leaves", flush=True)
    admin(f"drain?{leaving}")
    wait_until(lambda: admin("state")["primary"] != leaving, "a planned change")
    time.sleep(1)
    return code


def check(callers, state, exit_code):
    """Compares what callers were told with the primary's log."""
    effects = {text.split(" ")[1]: count for text, count in state["effects"].items()}
    acknowledged = [n for c in callers for n in c.acknowledged]
    refused = [n for c in callers for n in c.refused]
    problems = []
    problems += [f"lost {n}" for n in acknowledged if n not in effects]
    problems += [f"kept though refused {n}" for n in refused if n in effects]
    problems += [f"ran {c} times {n}" for n, c in effects.items() if c != 1]
    if exit_code != 0:
        problems.append(f"stopped daemon exited with {exit_code}")
    if len(acknowledged) < 100:
        problems.append(f"only {len(acknowledged)} writes acknowledged")
    if state["promotions"] < 2:
        problems.append(f"{state['promotions']} promotions")
    unknown = sum(len(c.unknown) for c in callers)
    print(f"acknowledged {len(acknowledged)}, refused {len(refused)}, unknown {unknown}, "
          f"promotions {state['promotions']}")
    return problems


def check_metrics():
    """The metrics page counts statements."""
    _, page = get(f"{vm_ip(0)}:{METRICS_PORT}", "/metrics")
    return [] if "fireflycart_sessions" in page else ["no metrics page"]


def main():
    with tempfile.TemporaryDirectory() as logs:
        fleet = Fleet(sys.argv[1] if len(sys.argv) > 1 else "build", logs)
        stop = threading.Event()
        callers = [Caller(i, stop) for i in range(CALLERS)]
        try:
            for index in range(VMS):
                fleet.start(index)
            for index in range(VMS):
                fleet.wait_ready(index)
            for caller in callers:
                caller.start()
            time.sleep(1)
            exit_code = inject(fleet)
            stop.set()
            for caller in callers:
                caller.join(timeout=LONG)
            problems = check_metrics() + check(callers, admin("state"), exit_code)
        finally:
            stop.set()
            fleet.close()
        for problem in problems[:20]:
            print(f"FAILED: {problem}")
        if problems:
            for index in range(VMS):
                with open(f"{logs}/vm-{index}.log", encoding="utf-8", errors="replace") as log:
                    print(f"--- vm-{index}\n" + "".join(log.readlines()[-60:]))
    print("broken promises:", len(problems))
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
