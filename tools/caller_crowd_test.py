"""Crowds of callers that keep to no limit, against daemons in real processes.

    caller_crowd_test.py BUILD                 all cases
    caller_crowd_test.py BUILD --cases=a,b     only these
    caller_crowd_test.py BUILD --list          their names

Each case starts the platform's stand-in and one or two daemons whose settings
name a small machine, and lets a crowd misbehave. Then, with the crowd still
connected: every daemon lives, its peak of resident memory and its open
descriptors are under those of the machine, and one ordinary statement is
answered. At last the daemons are told to stop in the middle of it and must end
by themselves with 0. Nothing is judged by how long it took, nor by how many of
the crowd were served. The crowds and the bounds are fixed: they are not for
tuning.
"""

import argparse
import contextlib
import os
import selectors
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

MEMORY_MB = 96  # Of the machine; the bound of each daemon's resident memory.
DESCRIPTORS = 1100  # That a daemon may open; the bound of what it has open.
GRACE_S = 2
LONG = 30  # Seconds after which waiting counts as a failure.
PLAY = 12  # Seconds after which a crowd that makes progress is looked at.
STALLED = 2  # Seconds without a byte sent after which a crowd has said all.
NET = "127.77"
PORTS = {"store": 7000, "session": 7010, "ready": 7011, "metrics": 7012, "peer": 7013}
UPSTREAM_PORTS = (7001, 7002, 7003)
LARGE = 1_000_000  # Bytes of a large message; the wire allows 1 MiB.
START = b"START primary crowd\r\n"


class Failure(Exception):
    """An expectation does not hold."""


def wait_until(condition, what):
    """Polls a condition; raises Failure after LONG."""
    end = time.monotonic() + LONG
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise Failure(f"gave up waiting for {what} after {LONG} s")


def status_of(address, path):
    """The status of a page; 0 if there is no answer."""
    try:
        with urllib.request.urlopen(f"http://{address[0]}:{address[1]}{path}", timeout=5) as page:
            return page.status
    except urllib.error.HTTPError as error:
        return error.code
    except OSError:
        return 0


class Daemon:
    """One daemon and what is measured of it."""

    def __init__(self, index):
        self.index = index
        self.ip = f"{NET}.3.{index + 1}"
        self.process = None
        self.most_descriptors = 0

    def address(self, name):
        """One of its addresses."""
        return (self.ip, PORTS[name])

    def start(self, build, logs):
        """Starts it on a small machine. The settings are a file, whose unknown
        lines are ignored, so that earlier versions run too."""
        path = f"{logs}/vm-{self.index}.settings"
        store = f"{NET}.0.1:{PORTS['store']}"
        lines = {
            "vm": f"vm-{self.index}", "data_centre": "a", "store_address": store,
            "promotion_address": store, "max_descriptors": DESCRIPTORS,
            "memory_mb": MEMORY_MB, "grace_s": GRACE_S}
        for name in ("session", "ready", "metrics", "peer"):
            lines[f"{name}_address"] = "%s:%d" % self.address(name)
        with open(path, "w", encoding="utf-8") as file:
            file.writelines(f"{name}={value}\n" for name, value in lines.items())
        with open(f"{logs}/vm-{self.index}.log", "ab") as log:
            self.process = subprocess.Popen(
                [f"{build}/fireflycart/daemon/fireflycartd"], stdout=log, stderr=log,
                env={**os.environ, "FIREFLYCART_SETTINGS": path})

    def peak_kb(self):
        """Its peak of resident memory so far."""
        with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
            for line in file:
                if line.startswith("VmHWM:"):
                    return int(line.split()[1])
        raise Failure(f"vm-{self.index} has ended")

    def look(self):
        """Notes its open descriptors, if it lives."""
        with contextlib.suppress(OSError):
            count = len(os.listdir(f"/proc/{self.process.pid}/fd"))
            self.most_descriptors = max(self.most_descriptors, count)

    def check(self):
        """Raises Failure unless it lives within its machine."""
        if self.process.poll() is not None:
            raise Failure(f"vm-{self.index} ended with {self.process.returncode}")
        self.look()
        peak = self.peak_kb()
        if peak > MEMORY_MB << 10:
            raise Failure(f"vm-{self.index}: {peak >> 10} MB, the machine has {MEMORY_MB}")
        if self.most_descriptors > DESCRIPTORS:
            raise Failure(f"vm-{self.index}: {self.most_descriptors} descriptors, "
                          f"the machine has {DESCRIPTORS}")


class Fleet:
    """The stand-in and the daemons of one case; all ended by their ids."""

    def __init__(self, build, logs, count):
        self.build = build
        self.logs = logs
        self.daemons = [Daemon(i) for i in range(count)]
        self.standin = None

    def __enter__(self):
        self.standin = subprocess.Popen(
            [f"{self.build}/platform/testing/fireflycart-prepared-platform",
             f"--ip={NET}.0.1", f"--store_port={PORTS['store']}",
             "--upstream_ports=" + ",".join(map(str, UPSTREAM_PORTS))])
        try:
            store = (f"{NET}.0.1", PORTS["store"])
            wait_until(lambda: status_of(store, "/admin/state") == 200, "the stand-in")
            for daemon in self.daemons:
                daemon.start(self.build, self.logs)
            for daemon in self.daemons:
                wait_until(lambda d=daemon: status_of(d.address("ready"), "/api/readiness") == 200,
                           f"vm-{daemon.index}")
                ordinary(daemon)
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        for process in [*(d.process for d in self.daemons), self.standin]:
            if process is not None and process.poll() is None:
                process.kill()
            if process is not None:
                process.wait()

    def stop(self):
        """Stops all daemons in the middle of it; each must end with 0."""
        for daemon in self.daemons:
            daemon.process.send_signal(signal.SIGTERM)
        for daemon in self.daemons:
            try:
                code = daemon.process.wait(timeout=LONG)
            except subprocess.TimeoutExpired:
                raise Failure(f"vm-{daemon.index} has not stopped {LONG} s after SIGTERM") from None
            if code != 0:
                raise Failure(f"vm-{daemon.index} stopped with {code}")


def receive_until(sock, end):
    """Receives until the text ends so; raises OSError if it does not."""
    got = b""
    while not got.endswith(end):
        part = sock.recv(65536)
        if not part:
            raise OSError(f"closed after {got[:100]!r}")
        got += part
    return got


def query(sock, text):
    """One statement; returns the lines of its answer."""
    sock.sendall(b"QUERY probe " + text + b"\r\n")
    got = b""
    while b"\r\nREADY " not in got or not got.endswith(b"\r\n"):
        part = sock.recv(1 << 20)
        if not part:
            raise OSError(f"closed after {got[:100]!r}")
        got += part
    return got


def start_session(address):
    """A started session that blocks."""
    sock = socket.create_connection(address, timeout=LONG)
    sock.sendall(START)
    receive_until(sock, b"READY I -\r\n")
    return sock


def ordinary(daemon):
    """One ordinary statement on a session of its own, within LONG."""
    seen = ""

    def answered():
        nonlocal seen
        try:
            with start_session(daemon.address("session")) as sock:
                answer = query(sock, b"WRITE probe data")
        except OSError as error:
            seen = str(error)
            return False
        seen = answer[:100]
        return answer.startswith(b"DONE ")

    try:
        wait_until(answered, "an ordinary statement")
    except Failure as failure:
        raise Failure(f"vm-{daemon.index}: {failure}: {seen}") from None


class Crowd:
    """Connections that send given bytes, as far as they are let."""

    def __init__(self, daemons):
        self.daemons = daemons
        self.selector = selectors.DefaultSelector()
        self.sockets = []
        self.left = {}  # What each socket has still to send, as an iterator of parts.
        self.sent = 0

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.selector.close()
        for sock in self.sockets:
            sock.close()

    def add(self, address, parts, receive_buffer=0):
        """One more connection that will send these parts one after another."""
        sock = socket.socket()
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            sock.connect(address)
        self.sockets.append(sock)
        self.left[sock] = [iter(parts), b""]
        self.selector.register(sock, selectors.EVENT_WRITE)

    def _push(self, sock, reads):
        """Sends the next part; ends the connection's role if it is refused."""
        state = self.left[sock]
        try:
            if not state[1]:
                state[1] = next(state[0], b"")
                if not state[1]:
                    events = selectors.EVENT_READ if reads else 0
                    if events:
                        self.selector.modify(sock, events)
                    else:
                        self.selector.unregister(sock)
                    return 0
            count = sock.send(state[1])
            state[1] = state[1][count:]
            return count
        except BlockingIOError:
            return 0
        except OSError:
            self.selector.unregister(sock)
            return 0

    def play(self, reads=False):
        """Sends until all is sent, nothing moves or PLAY is over."""
        began = moved = time.monotonic()
        while self.selector.get_map() and time.monotonic() - began < PLAY:
            if time.monotonic() - moved > STALLED:
                break
            for key, events in self.selector.select(timeout=0.1):
                sock = key.fileobj
                if events & selectors.EVENT_READ:
                    try:
                        data = sock.recv(1 << 18)
                    except BlockingIOError:
                        continue
                    except OSError:
                        data = b""
                    if data:
                        moved = time.monotonic()
                    else:
                        self.selector.unregister(sock)
                    continue
                count = self._push(sock, reads)
                self.sent += count
                if count:
                    moved = time.monotonic()
            for daemon in self.daemons:
                daemon.look()


def chunks(data, size):
    """The data in parts of that size."""
    for start in range(0, len(data), size):
        yield data[start:start + size]


WHOLE = START + b"QUERY 1 WRITE a " + b"x" * LARGE + b"\r\n"
ENDLESS = START + b"QUERY 1 WRITE a " + b"x" * LARGE


def large_whole(crowd, daemon):
    """150 callers send a whole large message each and read the answers."""
    for _ in range(150):
        crowd.add(daemon.address("session"), [WHOLE])
    crowd.play(reads=True)


def large_unfinished(crowd, daemon):
    """150 callers send a large message each without its end."""
    for _ in range(150):
        crowd.add(daemon.address("session"), [ENDLESS])
    crowd.play()


def byte_by_byte(crowd, daemon):
    """40 callers send a message a byte at a time; 150 the end of a large one."""
    for _ in range(40):
        crowd.add(daemon.address("session"), chunks(START + b"QUERY 1 WRITE a " + b"x" * 500, 1))
    for _ in range(150):
        crowd.add(daemon.address("session"),
                  [ENDLESS[:-100], *chunks(ENDLESS[-100:], 1)])
    crowd.play()


def far_over(crowd, daemon):
    """200 callers send 16 MB each without the end of a line."""
    for _ in range(200):
        crowd.add(daemon.address("session"), [START] + [b"y" * LARGE] * 16)
    crowd.play()


def sent_ahead(crowd, daemon):
    """400 callers send 30,000 statements ahead and read no answer."""
    ahead = b"QUERY 1 READ a\r\n" * 1000
    for _ in range(400):
        crowd.add(daemon.address("session"), [START] + [ahead] * 30, receive_buffer=4096)
    crowd.play()


def long_answers(crowd, daemon):
    """100 callers send 8,000 statements of 1,000 bytes ahead whose answers are as
    long, and read none."""
    ahead = b"QUERY 1 EXEC %s\r\n" % (b"n" * 1000) * 100
    for _ in range(100):
        crowd.add(daemon.address("session"), [START] + [ahead] * 80, receive_buffer=4096)
    crowd.play()


def slow_senders(crowd, daemon):
    """200 callers send large messages in small pieces, side by side."""
    for _ in range(200):
        crowd.add(daemon.address("session"), chunks(ENDLESS, 8192))
    crowd.play()


def slow_readers(crowd, daemon):
    """60 callers ask for a large row twenty times and read nothing."""
    with start_session(daemon.address("session")) as sock:
        answer = query(sock, b"WRITE large " + b"z" * LARGE)
        if not answer.startswith(b"DONE "):
            raise Failure(f"a large write in calm: {answer[:100]}")
    for _ in range(60):
        crowd.add(daemon.address("session"), [START + b"QUERY 1 READ large\r\n" * 20],
                  receive_buffer=4096)
    crowd.play()
    time.sleep(PLAY)


def stopped_half_way(crowd, daemon):
    """200 callers stop within a large message; half of them close their side."""
    for _ in range(200):
        crowd.add(daemon.address("session"), [ENDLESS[:700_000]])
    crowd.play()
    for sock in crowd.sockets[::2]:
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_WR)


def never_speaking(crowd, daemon):
    """400 sessions start and 300 connections do not; none speaks again."""
    for _ in range(400):
        crowd.add(daemon.address("session"), [START])
    for _ in range(300):
        crowd.add(daemon.address("session"), [])
    crowd.play()


def prepared_names(crowd, daemon):
    """100 callers prepare 30 statements of 40,000 bytes each."""
    lines = [b"QUERY 1 PREPARE s%d READ %s\r\n" % (i, b"p" * 40_000) for i in range(30)]
    for _ in range(100):
        crowd.add(daemon.address("session"), [START, *lines])
    crowd.play(reads=True)


def session_values(crowd, daemon):
    """100 callers set 30 values of 40,000 bytes each, then read."""
    lines = [b"QUERY 1 SET v%d %s\r\n" % (i, b"v" * 40_000) for i in range(30)]
    for _ in range(100):
        crowd.add(daemon.address("session"), [START, *lines, b"QUERY 1 READ a\r\n"])
    crowd.play(reads=True)


def ready_port(crowd, daemon):
    """The ready and metrics ports: 200 connections each; heads and bodies
    without end, requests ahead, silence."""
    kinds = [
        [b"GET /api/readiness HTTP/1.1\r\nHost: a\r\n"] + [b"X-A: " + b"h" * 8000 + b"\r\n"] * 250,
        [b"GET /" + b"p" * 2_000_000],
        [b"POST /metrics HTTP/1.1\r\nHost: a\r\nContent-Length: 100000000\r\n\r\n",
         b"b" * 2_000_000],
        [b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n" * 2000],
        []]
    for i in range(400):
        crowd.add(daemon.address("ready" if i % 2 else "metrics"), kinds[i // 2 % len(kinds)],
                  receive_buffer=4096)
    crowd.play()


def frame(kind, flags, stream, payload):
    """One HTTP/2 frame."""
    return struct.pack(">I", len(payload))[1:] + struct.pack(">BBI", kind, flags, stream) + payload


def literal(name, value):
    """One literal header field of HPACK, not indexed."""
    return b"\x00" + bytes([len(name)]) + name + bytes([len(value)]) + value


HEAD = (literal(b":method", b"POST") + literal(b":scheme", b"http") +
        literal(b":authority", b"a") + literal(b":path", b"/peer") + literal(b"x-from", b"vm-9"))
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(4, 0, 0, b"")


def peer_bodies():
    """A peer that opens streams and ends none: 100 of 150,000 bytes."""
    yield PREFACE
    for stream in range(1, 201, 2):
        yield frame(1, 4, stream, HEAD)
        for _ in range(15):
            yield frame(0, 0, stream, b"d" * 10_000)


def peer_streams():
    """A peer that opens 4,000 streams with large heads and small bodies."""
    yield PREFACE
    for stream in range(1, 8001, 2):
        yield frame(1, 4, stream, HEAD + literal(b"x-b", b"h" * 100) * 20)
        yield frame(0, 0, stream, b"d" * 3_000)


def peer_port(crowd, daemon):
    """The peer port: 20 connections with bodies without end, 10 with many
    streams, 10 with one endless head, 300 that say nothing."""
    for _ in range(20):
        crowd.add(daemon.address("peer"), peer_bodies())
    for _ in range(10):
        crowd.add(daemon.address("peer"), peer_streams())
    for _ in range(10):
        crowd.add(daemon.address("peer"),
                  [PREFACE, frame(1, 0, 1, HEAD)] +
                  [frame(9, 0, 1, literal(b"x-c", b"h" * 100) * 150)] * 200)
    for _ in range(300):
        crowd.add(daemon.address("peer"), [])
    crowd.play()


def through_peer(crowd, daemon):
    """75 callers at each of two daemons send whole large messages, one after
    another; one of the two forwards them to the other."""
    for other in crowd.daemons:
        for _ in range(75):
            crowd.add(other.address("session"), [WHOLE] + [WHOLE[len(START):]] * 2)
    del daemon
    crowd.play(reads=True)


CASES = {
    "large_whole": (1, large_whole),
    "large_unfinished": (1, large_unfinished),
    "byte_by_byte": (1, byte_by_byte),
    "far_over": (1, far_over),
    "sent_ahead": (1, sent_ahead),
    "long_answers": (1, long_answers),
    "slow_senders": (1, slow_senders),
    "slow_readers": (1, slow_readers),
    "stopped_half_way": (1, stopped_half_way),
    "never_speaking": (1, never_speaking),
    "prepared_names": (1, prepared_names),
    "session_values": (1, session_values),
    "ready_port": (1, ready_port),
    "peer_port": (1, peer_port),
    "through_peer": (2, through_peer),
}


def play(build, name):
    """One case; returns whether it passed."""
    count, misbehave = CASES[name]
    problems = []
    began = time.monotonic()
    with tempfile.TemporaryDirectory() as logs:
        fleet = Fleet(build, logs, count)
        peaks = []

        def note(step):
            try:
                step()
            except (Failure, OSError) as failure:
                problems.append(str(failure))

        try:
            with fleet, Crowd(fleet.daemons) as crowd:
                note(lambda: misbehave(crowd, fleet.daemons[0]))
                for daemon in fleet.daemons:
                    note(lambda d=daemon: ordinary(d))
                    note(daemon.check)
                    with contextlib.suppress(Failure, OSError):
                        peaks.append(f"{daemon.peak_kb() / 1024:.1f} MB, "
                                     f"{daemon.most_descriptors} descriptors")
                note(fleet.stop)
                sent = crowd.sent
        except Failure as failure:
            problems.append(f"start: {failure}")
            sent = 0
    print(f"{name}: {'FAILED' if problems else 'ok'}; {'; '.join(peaks)}; "
          f"{sent / 1e6:.1f} MB sent, {time.monotonic() - began:.0f} s", flush=True)
    for problem in problems:
        print(f"  {problem}", flush=True)
    return not problems


def main():
    """Reads the arguments and plays."""
    parser = argparse.ArgumentParser(description="Crowds of callers that keep to no limit.")
    parser.add_argument("build", help="build directory")
    parser.add_argument("--cases", default="", help="names, separated by commas; all if empty")
    parser.add_argument("--list", action="store_true", help="print the names of the cases")
    arguments = parser.parse_args()
    if arguments.list:
        print("\n".join(CASES))
        return 0
    names = arguments.cases.split(",") if arguments.cases else list(CASES)
    unknown = [name for name in names if name not in CASES]
    if unknown:
        parser.error(f"cases {unknown} are not allowed; allowed are {list(CASES)}")
    failed = [name for name in names if not play(arguments.build, name)]
    print(f"{len(names)} cases, {len(failed)} failed: {', '.join(failed) or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
