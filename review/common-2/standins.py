"""Stand-ins of the platform's store, promotion call and backends, as PROTOCOL.md
describes them. All run on the event loop of the test.

    net = Net()
    store = Store(net.address())
    service = Service("ledger", net, store, copies=3, sync=1)
    await store.start()
    await service.start()
    store.put("op", "config", json.dumps(config))

The sound behaviour of the pages is the default; a test changes it by the
attributes that are named after what they change.
"""

import asyncio
import base64
import json
import random
import socket
import time
import urllib.parse


def now():
    """Seconds of the steady clock."""
    return time.monotonic()


class Net:
    """Loopback addresses that nothing listens on."""

    def __init__(self):
        self.prefix = f"127.{random.randint(60, 250)}.{random.randint(1, 250)}"
        self.last = 0

    def ip(self):
        """A new loopback address."""
        self.last += 1
        return f"{self.prefix}.{self.last}"

    def address(self):
        """A new loopback address with a free port."""
        ip = self.ip()
        with socket.socket() as probe:
            probe.bind((ip, 0))
            return ip, probe.getsockname()[1]


class Store:
    """The metadata store and the promotion call, over HTTP/1.1."""

    ANSWER_S = 0.004

    def __init__(self, address):
        self.address = address
        self.rows = {}     # (table, part, key): row, deleted ones included.
        self.version = 0
        self.changed = asyncio.Event()
        self.services = {}
        self.promotions = []  # (time, service, id, holder, token).
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address, limit=1 << 22)

    def put(self, table, key, value, part=""):
        """Writes a row as another writer does; value None removes it."""
        self.version += 1
        row = {"table": table, "part": part, "key": key, "ver": self.version}
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(value.encode()).decode()
        self.rows[(table, part, key)] = row
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    def newest(self, table, part, key):
        row = self.rows.get((table, part, key))
        return 0 if row is None or row.get("deleted") else row["ver"]

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().split("\r\n")
                method, target, _ = lines[0].split(" ")
                fields = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    fields[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                status, answer = await self.handle(method, target, fields, body)
                text = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d -\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, fields, body):
        path, _, query = target.partition("?")
        wanted = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path != "/api/rows-feed":
            await asyncio.sleep(self.ANSWER_S)
        if path == "/promotion":
            return self.promote(json.loads(body), fields)
        if path == "/api/rows-tx":
            return self.transact(json.loads(body))
        if path == "/api/rows-get":
            return 200, self.get(wanted)
        if path == "/api/rows-feed":
            return 200, await self.feed(wanted)
        return 404, {"error": "no such call"}

    def answer(self, rows, **more):
        return {"rows": rows, "ver": self.version, "nowMs": int(now() * 1000), **more}

    def get(self, wanted):
        start, end = wanted.get("from", ""), wanted.get("target")
        rows = [row for (table, part, key), row in sorted(self.rows.items())
                if table == wanted["table"] and part == wanted.get("part", "")
                and key >= start and (end is None or key < end) and not row.get("deleted")]
        limit = min(int(wanted.get("limit", 500)), 500)
        return self.answer(rows[:limit], hasMore=len(rows) > limit)

    async def feed(self, wanted):
        after, end = int(wanted["after"]), now() + int(wanted["waitMs"]) / 1000
        while True:
            changed = self.changed
            rows = sorted((row for (table, _, _), row in self.rows.items()
                           if table == wanted["table"] and row["ver"] > after),
                          key=lambda row: row["ver"])
            if rows or now() >= end:
                return self.answer(rows)
            try:
                await asyncio.wait_for(changed.wait(), end - now())
            except asyncio.TimeoutError:
                pass

    def transact(self, call):
        expected = call.get("expect", [])
        current = [self.rows.get((e["table"], e.get("part", ""), e["key"])) for e in expected]
        for entry in expected:
            if self.newest(entry["table"], entry.get("part", ""), entry["key"]) != entry["ver"]:
                return 412, self.answer([r for r in current if r and not r.get("deleted")])
        for row in call.get("upserts", []):
            if row["table"] in ("op", "servers"):
                return 403, {"error": "not yours"}
        self.version += 1
        for row in call.get("upserts", []):
            key = (row["table"], row.get("part", ""), row["key"])
            self.rows[key] = {"table": key[0], "part": key[1], "key": key[2],
                              "value": row["value"], "ver": self.version}
        for row in call.get("remove", []):
            key = (row["table"], row.get("part", ""), row["key"])
            self.rows[key] = {"table": key[0], "part": key[1], "key": key[2],
                              "deleted": True, "ver": self.version}
        self.changed.set()
        self.changed = asyncio.Event()
        return 200, self.answer([])

    def promote(self, call, fields):
        service = self.services.get(call["service"])
        self.promotions.append((now(), call["service"], call["id"],
                                fields.get("x-fireflycart-duty-holder", ""),
                                int(fields.get("x-fireflycart-fencing-token", 0))))
        if service is None or not service.order_promotion(call["id"]):
            return 409, {"error": "not running"}
        return 200, {}


class Entry:
    """A commit in a log."""

    def __init__(self, term, number, writes):
        self.position = (term, number)
        self.writes = writes
        self.acknowledged_by = set()
        self.replicated = asyncio.Event()


class Backend:
    """One backend of a service."""

    def __init__(self, service, ident, address, zone):
        self.service = service
        self.id = ident
        self.address = address
        self.zone = zone
        self.is_primary = False
        self.term = 1
        self.held_term = 0
        self.log = []          # [(entry, when it was received)]
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.connections = set()
        self.slots = asyncio.Semaphore(service.slots)
        self.busy = 0
        self.server = None
        self.is_running = False

    async def start(self):
        self.is_running = True
        self.server = await asyncio.start_server(self.serve, *self.address, limit=1 << 22)
        self.register()

    def register(self):
        self.service.store.put("servers", self.id, json.dumps({
            "service": self.service.name, "address": "%s:%d" % self.address,
            "zone": self.zone, "version": "v1", "slots": self.service.slots,
            "state": self.state, "coldRemainingMs": 0, "sequence": 1, "born": self.born,
            "dbRole": "primary" if self.is_primary else "replica"}))

    async def end(self):
        """Exits; the entry is removed."""
        self.is_running = False
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.service.store.put("servers", self.id, None)

    def received(self):
        return self.log[-1][0].position if self.log else None

    def applied(self):
        """The entries that reads see."""
        if self.is_primary:
            return [entry for entry, _ in self.log]
        limit = now() - self.service.apply_lag_s
        return [entry for entry, at in self.log if at <= limit]

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            line = (await reader.readuntil(b"\r\n"))[:-2].decode().split(" ")
            is_meant = line[0] == "START" and line[1] == self.service.name and (
                len(line) < 4 or line[3] == self.id)
            if not is_meant:
                writer.write(f"ERR WRONGNODE {self.id}\r\n".encode())
                return
            if len(self.connections) > self.service.max_connections:
                writer.write(b"ERR TOOMANY connections\r\n")
                return
            session = BackendSession(self, writer, line[2])
            async with self.slots:
                await asyncio.sleep(self.service.connect_s)
            writer.write(f"READY I {session.position()}\r\n".encode())
            while True:
                text = (await reader.readuntil(b"\r\n"))[:-2].decode()
                word, _, rest = text.partition(" ")
                if word == "BYE":
                    return
                await session.run(rest)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


def format_position(position):
    return "-" if position is None else "%d.%d" % position


class BackendSession:
    """A connection to a backend."""

    def __init__(self, backend, writer, who):
        self.backend = backend
        self.service = backend.service
        self.writer = writer
        self.who = who
        self.state = "I"
        self.reads_only = False
        self.writes = []
        self.values = {}
        self.prepared = {}

    def position(self):
        applied = self.backend.applied()
        return format_position(applied[-1].position if applied else None)

    def reply(self, rows=(), error=None, signature="-"):
        lines = [f"ROW {row}\r\n" for row in rows]
        if error is None:
            lines.append(f"DONE {signature}\r\n")
        else:
            lines.append(f"ERR {error}\r\n")
            if self.state == "T":
                self.state = "E"
        lines.append(f"READY {self.state} {self.position()}\r\n")
        self.writer.write("".join(lines).encode())

    async def run(self, rest):
        ident, _, text = rest.partition(" ")
        after = None
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            after = tuple(int(part) for part in position.split("."))
        word, _, rest = text.partition(" ")
        if ident == "-":
            self.run_own(word, rest, after)
            return
        await self.run_statement(ident, word, rest, text, after)

    def run_own(self, word, rest, after):
        backend = self.backend
        if word == "STATUS":
            self.reply([self.status()])
        elif word == "HOLD":
            if int(rest) > self.service.newest_term():
                backend.held_term = int(rest)
            self.reply([self.status()])
        elif word == "RESUME":
            backend.held_term = 0
            self.service.follow(backend)
            self.reply([self.status()])
        elif word == "DEMOTE":
            if backend.is_primary and backend.term < int(rest):
                self.service.step_down(backend)
            self.reply([self.status()])
        elif word == "RESET":
            self.values, self.prepared = {}, {}
            self.reply()
        elif word == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
            self.reply()
        elif word == "PREPARE":
            name, mode, shape = rest.split(" ", 2)
            self.prepared[name] = (mode, shape)
            self.reply()
        elif word == "BEGIN":
            reads_only = rest == "READ"
            if self.lacks(after):
                self.reply(error="BEHIND")
            elif not reads_only and not backend.is_primary:
                self.reply(error="READONLY " + backend.id)
            else:
                self.state, self.reads_only, self.writes = "T", reads_only, []
                self.reply()
        elif word == "ROLLBACK":
            self.state, self.writes = "I", []
            self.reply()
        else:
            self.reply(error="BAD " + word)

    def status(self):
        backend = self.backend
        role = "primary" if backend.is_primary else "replica"
        return (f"{role} {backend.term} {format_position(backend.received())} "
                f"{backend.held_term} 0 {backend.busy} {len(backend.connections)}")

    def lacks(self, after):
        applied = self.backend.applied()
        newest = applied[-1].position if applied else (0, 0)
        return after is not None and newest < after

    async def run_statement(self, ident, word, rest, text, after):
        if self.state == "E":
            self.reply(error="BAD failed transaction")
            return
        if word == "EXEC":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                self.reply(error="NOSTMT " + name)
                return
            word = self.prepared[name][0]
        backend = self.backend
        backend.busy += 1
        try:
            async with backend.slots:
                await asyncio.sleep(self.service.work_s)
                await self.run_in_slot(ident, word, rest, text, after)
        finally:
            backend.busy -= 1

    async def run_in_slot(self, ident, word, rest, text, after):
        backend, service = self.backend, self.service
        if self.lacks(after):
            self.reply(error="BEHIND")
            return
        signature = f"{backend.term}.{backend.id}.{ident}"
        lost_lead = self.state == "T" and not self.reads_only and not backend.is_primary
        commits_nothing = word == "COMMIT" and not self.writes
        if (lost_lead and not commits_nothing) or (word == "WRITE" and not backend.is_primary):
            self.reply(error="READONLY " + backend.id)
            return
        service.note_run(backend, self, ident, text)
        if word == "READ":
            service.note_read(backend, ident)
            self.reply(service.rows_of(backend, rest), signature=signature)
        elif word == "WRITE" and self.state == "T":
            self.writes.append(rest)
            self.reply(signature=signature)
        else:
            writes = [rest] if word == "WRITE" else self.writes
            self.state, self.writes = "I", []
            if writes:
                await service.commit(backend, ident, writes)
            self.reply(signature=signature)


class Service:
    """A primary and its replicas."""

    def __init__(self, name, net, store, copies=3, sync=1, slots=4, max_connections=40,
                 zones=("a", "b", "c")):
        self.name = name
        self.net = net
        self.store = store
        self.sync = sync
        self.slots = slots
        self.max_connections = max_connections
        self.zones = zones
        self.work_s = 0.004
        self.connect_s = 0.012
        self.network_s = 0.001
        self.apply_lag_s = 0.008
        self.promote_s = 0.6
        self.step_down_s = 1.0
        self.backends = {}
        self.runs = []        # (time, backend, statement id, who, text)
        self.commits = []     # (time, backend, statement id, position)
        self.leads = []       # (time, backend, term) of promotions that took effect.
        self.tasks = set()
        for _ in range(copies):
            self.add()
        next(iter(self.backends.values())).is_primary = True
        store.services[name] = self

    def add(self):
        ident = "i-%08x" % random.getrandbits(32)
        zone = self.zones[len(self.backends) % len(self.zones)]
        self.backends[ident] = Backend(self, ident, self.net.address(), zone)
        return self.backends[ident]

    async def start(self):
        for backend in list(self.backends.values()):
            await backend.start()

    def primary(self):
        """The backend that leads the newest term."""
        leading = [b for b in self.backends.values() if b.is_primary and b.is_running]
        return max(leading, key=lambda b: b.term) if leading else None

    def newest_term(self):
        return max(b.term for b in self.backends.values())

    def rows_of(self, backend, item):
        for entry in reversed(backend.applied()):
            for write in reversed(entry.writes):
                name, _, data = write.partition(" ")
                if name == item:
                    return [data]
        return ["-"]

    def note_run(self, backend, session, ident, text):
        self.runs.append((now(), backend.id, ident, session.who, text))

    def note_read(self, backend, ident):
        """For tests that check what a read saw."""

    def later(self, delay, action, *arguments):
        async def act():
            await asyncio.sleep(delay)
            action(*arguments)
        task = asyncio.ensure_future(act())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def commit(self, backend, ident, writes):
        number = (backend.received() or (0, 0))[1] + 1
        entry = Entry(backend.term, number, writes)
        backend.log.append((entry, now()))
        self.commits.append((now(), backend.id, ident, entry.position))
        for replica in self.backends.values():
            if replica is not backend:
                self.later(self.network_s, self.receive, replica, backend, entry)
        if self.sync:
            await entry.replicated.wait()

    def receive(self, replica, leader, entry):
        follows = (replica.is_running and not replica.is_primary and not replica.held_term
                   and replica.term == leader.term and leader.is_primary)
        if not follows:
            return
        if not any(known is entry for known, _ in replica.log):
            replica.log.append((entry, now()))
        entry.acknowledged_by.add(replica.id)
        if len(entry.acknowledged_by) >= self.sync:
            entry.replicated.set()

    def follow(self, replica):
        """The replica takes over the log of the leader of the newest term."""
        leader = self.primary()
        if leader is None or replica.is_primary or replica.held_term:
            return
        if leader.term < replica.term:
            return
        known = dict((id(entry), at) for entry, at in replica.log)
        replica.term = leader.term
        replica.log = [(entry, known.get(id(entry), now())) for entry, _ in leader.log]
        for entry, _ in replica.log:
            if entry.position[0] == leader.term:
                entry.acknowledged_by.add(replica.id)
                if len(entry.acknowledged_by) >= self.sync:
                    entry.replicated.set()

    def order_promotion(self, ident):
        backend = self.backends.get(ident)
        if backend is None or not backend.is_running:
            return False
        if not backend.is_primary:
            self.later(self.promote_s, self.lead, backend)
        return True

    def lead(self, backend):
        if not backend.is_running or backend.is_primary:
            return
        backend.term = self.newest_term() + 1
        backend.is_primary = True
        backend.held_term = 0
        self.leads.append((now(), backend.id, backend.term))
        backend.register()
        for other in self.backends.values():
            if other is not backend and other.is_primary:
                self.later(self.step_down_s, self.step_down, other)
            elif other is not backend:
                self.later(self.network_s, self.follow, other)

    def step_down(self, backend):
        if not backend.is_primary or backend.term == self.newest_term():
            return
        backend.is_primary = False
        if backend.is_running:
            backend.register()
        self.follow(backend)
