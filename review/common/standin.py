"""Stand-ins for the users' platform and its backends, and clients.

Everything runs in one asyncio loop, on loopback addresses and the real clock.

    Store      rows, conditional transactions and feeds over HTTP/1.1
    Promotion  POST /promotion over HTTP/1.1; may be taken down
    Group      one service: backends with a replicated log, over the line protocol
    Session    a client's session over the line protocol
    Link       a loopback proxy that can hold up all bytes

A service follows the pages: a commit is acknowledged once one replica has
received it (syncReplicas 1), a held replica receives nothing, a promoted
backend leads the next term with what it had received, and the old primary goes
on until DEMOTE or until a second after the promotion.
"""

import asyncio
import base64
import json
import time
import urllib.parse

PROMISES = {"BUSY", "ABORTED", "BEHIND", "READONLY", "WRONGNODE", "TOOMANY"}
REPLICATION_S = 0.001     # Way of a commit to a replica.
APPLY_S = 0.008           # A replica applies a commit this long after it came.
STATEMENT_S = 0.003
HANDSHAKE_S = 0.012
STEP_DOWN_S = 1.0         # A reachable old primary stops after this time.


class Record:
    """Writes record.txt: one line for each event, with the time in ms."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, kind, text):
        self.file.write(f"{self.now() * 1000:10.1f} {kind:10} {text}\n")

    def close(self):
        self.file.close()


async def read_http(reader):
    """Reads one request; returns method, target, headers, body; None at the end."""
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode().split(" ", 2)
    headers = {}
    while True:
        line = (await reader.readline()).decode().strip()
        if not line:
            break
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return method, target, headers, body


def http_reply(status, body):
    data = json.dumps(body).encode()
    head = (f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n")
    return head.encode() + data


class HttpServer:
    """Serves requests with handle(); connections stay open."""

    def __init__(self, address):
        self.address = address
        self.server = None
        self.writers = set()

    async def open(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    def close(self):
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_http(reader)
                if request is None:
                    break
                status, body = await self.handle(*request)
                writer.write(http_reply(status, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, target, headers, body):
        raise NotImplementedError


class Store(HttpServer):
    """Rows with versions from one counter."""

    def __init__(self, address, record):
        super().__init__(address)
        self.record = record
        self.version = 1
        self.rows = {}     # (table, key): (value text, version, deleted)
        self.changed = asyncio.Event()

    def put(self, table, key, value):
        """Writes as the operator or a backend; returns at the acknowledgement."""
        self.version += 1
        self.rows[(table, key)] = (value, self.version, False)
        self.changed.set()
        self.changed = asyncio.Event()

    def remove(self, table, key):
        self.version += 1
        self.rows[(table, key)] = ("", self.version, True)
        self.changed.set()
        self.changed = asyncio.Event()

    def encode(self, table, key, row):
        value, version, deleted = row
        encoded = {"table": table, "part": "", "key": key, "ver": version,
                   "value": base64.b64encode(value.encode()).decode()}
        if deleted:
            encoded["deleted"] = True
        return encoded

    def reply(self, rows):
        return {"rows": rows, "hasMore": False, "ver": self.version,
                "nowMs": int(time.monotonic() * 1000)}

    async def handle(self, method, target, headers, body):
        await asyncio.sleep(0.004)
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/api/rows-get":
            return 200, self.get(query)
        if url.path == "/api/rows-feed":
            return 200, await self.feed(query)
        if url.path == "/api/rows-tx":
            return self.transact(json.loads(body))
        return 404, {}

    def get(self, query):
        table, first = query["table"], query.get("from", "")
        rows = [self.encode(table, key, row)
                for (of, key), row in sorted(self.rows.items())
                if of == table and key >= first and not row[2]]
        if "limit" in query:
            limit = int(query["limit"])
            reply = self.reply(rows[:limit])
            reply["hasMore"] = len(rows) > limit
            return reply
        return self.reply(rows)

    async def feed(self, query):
        table, after = query["table"], int(query["after"])
        end = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            rows = [self.encode(table, key, row)
                    for (of, key), row in self.rows.items()
                    if of == table and row[1] > after]
            left = end - time.monotonic()
            if rows or left <= 0:
                return self.reply(sorted(rows, key=lambda row: row["ver"]))
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        current = []
        holds = True
        for expected in body.get("expect", []):
            row = self.rows.get((expected["table"], expected["key"]))
            exists = row is not None and not row[2]
            if exists:
                current.append(self.encode(expected["table"], expected["key"], row))
            if (row[1] if exists else 0) != expected["ver"]:
                holds = False
        if not holds:
            return 412, self.reply(current)
        self.version += 1
        for row in body.get("upserts", []):
            value = base64.b64decode(row["value"]).decode()
            self.rows[(row["table"], row["key"])] = (value, self.version, False)
            if body.get("expect"):
                self.record.write("store", f"conditional write {row['table']} "
                                  f"{row['key']} = {value!r} version {self.version}")
        for row in body.get("remove", []):
            self.rows[(row["table"], row["key"])] = ("", self.version, True)
        self.changed.set()
        self.changed = asyncio.Event()
        return 200, self.reply([])


class Promotion(HttpServer):
    """The promotion interface of the platform."""

    def __init__(self, address, group, record):
        super().__init__(address)
        self.group = group
        self.record = record
        self.on_order = lambda holder, token: None

    async def handle(self, method, target, headers, body):
        await asyncio.sleep(0.004)
        order = json.loads(body)
        self.on_order(headers.get("x-fireflycart-duty-holder"),
                      headers.get("x-fireflycart-fencing-token"))
        status = self.group.promote(order["id"])
        self.record.write(
            "promotion", f"{order['service']} to {order['id']} by "
            f"{headers.get('x-fireflycart-duty-holder')} token "
            f"{headers.get('x-fireflycart-fencing-token')}: {status}")
        return status, {}


class Entry:
    """A commit in a backend's log."""

    def __init__(self, term, number, writes, at):
        self.position = (term, number)
        self.writes = writes
        self.at = at


class Backend:
    """One backend: its log, its role and its connections."""

    def __init__(self, group, ident, address):
        self.group = group
        self.ident = ident
        self.address = address
        self.is_primary = False
        self.term = 1
        self.held_term = 0
        self.log = []
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.server = None
        self.writers = set()
        self.is_running = False

    async def open(self):
        self.is_running = True
        self.server = await asyncio.start_server(self.serve, *self.address)
        self.register()

    def close(self):
        self.is_running = False
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def register(self):
        """Writes the entry in the store."""
        entry = {"service": self.group.service, "address": "%s:%d" % self.address,
                 "zone": "zone-a", "version": "v1", "slots": self.group.slots,
                 "state": self.state, "coldRemainingMs": 0, "sequence": 1,
                 "born": self.born,
                 "dbRole": "primary" if self.is_primary else "replica"}
        self.group.store.put("servers", self.ident, json.dumps(entry))

    def drain(self):
        """Reports that this backend is about to leave."""
        self.state = "draining"
        self.register()
        self.group.record.write("backend", f"{self.ident} reports draining")

    def end(self):
        """Ends the backend for good."""
        self.close()
        self.group.store.remove("servers", self.ident)
        self.group.record.write("backend", f"{self.ident} has ended")

    @property
    def received(self):
        return self.log[-1].position if self.log else (0, 0)

    def applied(self):
        """Number of entries that reads see."""
        if self.is_primary:
            return len(self.log)
        limit = time.monotonic() - APPLY_S - REPLICATION_S
        count = len(self.log)
        while count and self.log[count - 1].at > limit:
            count -= 1
        return count

    def position(self):
        count = self.applied()
        if not count:
            return "-"
        return "%d.%d" % self.log[count - 1].position

    async def serve(self, reader, writer):
        self.writers.add(writer)
        connection = BackendConnection(self, writer)
        try:
            line = (await reader.readline()).decode().rstrip("\r\n").split(" ")
            if line[0] != "START" or line[1] != self.group.service or (
                    len(line) > 3 and line[3] != self.ident):
                writer.write(b"ERR WRONGNODE -\r\n")
                return
            await asyncio.sleep(HANDSHAKE_S)
            writer.write(f"READY I {self.position()}\r\n".encode())
            while True:
                line = await reader.readline()
                if not line.endswith(b"\r\n"):
                    break
                text = line.decode()[:-2]
                if text == "BYE":
                    break
                _, ident, query = text.split(" ", 2)
                rows, end = await connection.run(ident, query)
                reply = "".join(f"ROW {row}\r\n" for row in rows)
                reply += end + f"\r\nREADY {connection.state} {self.position()}\r\n"
                writer.write(reply.encode())
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class BackendConnection:
    """One connection of a backend: its transaction, values and names."""

    def __init__(self, backend, writer):
        self.backend = backend
        self.writer = writer
        self.state = "I"
        self.is_read_only = False
        self.writes = []
        self.values = {}
        self.prepared = {}

    def fail(self, code):
        if self.state != "I":
            self.state = "E"
        return [], f"ERR {code} {self.backend.ident}"

    def done(self, ident):
        return f"DONE {self.backend.ident}.{ident}"

    def status(self):
        b = self.backend
        role = "primary" if b.is_primary else "replica"
        received = "%d.%d" % b.received if b.log else "-"
        return [f"{role} {b.term} {received} {b.held_term} 0 0 {len(b.writers)}"]

    async def run(self, ident, query):
        backend, group = self.backend, self.backend.group
        after = None
        if query.startswith("AFTER "):
            _, position, query = query.split(" ", 2)
            after = tuple(int(part) for part in position.split("."))
        word, _, rest = query.partition(" ")
        if word in ("STATUS", "HOLD", "RESUME", "DEMOTE"):
            return self.command(word, rest)
        if word == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
            return [], "DONE -"
        if word == "PREPARE":
            name, mode, shape = rest.split(" ", 2)
            self.prepared[name] = (mode, shape)
            return [], "DONE -"
        if word == "FORGET":
            self.prepared.pop(rest, None)
            return [], "DONE -"
        if word == "RESET":
            self.values, self.prepared = {}, {}
            return [], "DONE -"
        if word == "ROLLBACK":
            self.state, self.writes = "I", []
            return [], "DONE -"
        if after is not None:
            count = backend.applied()
            have = backend.log[count - 1].position if count else (0, 0)
            if have < after:
                return self.fail("BEHIND")
        if word == "BEGIN":
            self.is_read_only = rest == "READ"
            if not self.is_read_only and not backend.is_primary:
                return [], f"ERR READONLY {backend.ident}"
            self.state = "T"
            return [], "DONE -"
        if self.state == "E":
            return [], "ERR BAD the transaction has failed"
        await asyncio.sleep(STATEMENT_S)
        return await self.statement(ident, word, rest, query, group)

    async def statement(self, ident, word, rest, query, group):
        backend = self.backend
        if word == "EXEC":
            name, _, arguments = rest.partition(" ")
            if name not in self.prepared:
                return self.fail("NOSTMT")
            word, rest = self.prepared[name][0], arguments
        in_transaction = self.state == "T"
        if word == "COMMIT":
            writes, self.writes, self.state = self.writes, [], "I"
            if not writes:
                return [], self.done(ident)
            if not backend.is_primary:
                return [], f"ERR READONLY {backend.ident}"
            return await self.commit(ident, writes)
        if in_transaction and not self.is_read_only and not backend.is_primary:
            return self.fail("READONLY")
        if word == "WRITE":
            if not backend.is_primary:
                return self.fail("READONLY")
            group.record.write("ran", f"{ident} {query} at {backend.ident}")
            group.on_run(ident, backend)
            if in_transaction:
                self.writes.append((ident, rest))
                return [], self.done(ident)
            return await self.commit(ident, [(ident, rest)])
        count = backend.applied()
        group.record.write("ran", f"{ident} {query} at {backend.ident} "
                           f"position {backend.position()}")
        group.on_run(ident, backend)
        group.on_read(ident, backend, count)
        return ["x"], self.done(ident)

    async def commit(self, ident, writes):
        backend, group = self.backend, self.backend.group
        entry = Entry(backend.term, len(backend.log) + 1, writes, time.monotonic())
        backend.log.append(entry)
        received = group.replicate_later(backend, entry)
        if not await received:
            return [], f"ERR TIMEOUT {backend.ident} lost the lead"
        group.on_acknowledged(ident, backend, entry)
        return [], self.done(ident)

    def command(self, word, rest):
        backend, group = self.backend, self.backend.group
        if word == "HOLD" and not backend.is_primary:
            if int(rest) > backend.term and int(rest) != backend.held_term:
                backend.held_term = int(rest)
                group.record.write("held", f"{backend.ident} at "
                                   f"{backend.received} by {rest}")
        elif word == "RESUME":
            if backend.held_term:
                group.record.write("resumed", backend.ident)
            backend.held_term = 0
            group.replicate()
        elif word == "DEMOTE" and backend.is_primary and backend.term < int(rest):
            group.demote(backend)
        return self.status(), "DONE -"


class Group:
    """A service: its backends and the way of its commits."""

    def __init__(self, service, store, record, promote_s=1.0, slots=4):
        self.service = service
        self.store = store
        self.record = record
        self.promote_s = promote_s
        self.slots = slots
        self.backends = {}
        self.waiting = []        # (backend, entry, future)
        self.promoted = []       # (time, backend, its log, old primary)
        self.acknowledged = {}   # Statement id: entry, as the backends answered.
        self.on_run = lambda ident, backend: None
        self.on_read = lambda ident, backend, count: None

    async def add(self, ident, address, is_primary=False):
        """Starts a backend. It joins with the log of the primary."""
        backend = Backend(self, ident, address)
        primary = self.primary()
        backend.is_primary = is_primary
        if primary is not None:
            backend.log, backend.term = list(primary.log), primary.term
        self.backends[ident] = backend
        await backend.open()
        return backend

    def primary(self):
        leaders = [b for b in self.backends.values() if b.is_primary and b.is_running]
        return max(leaders, key=lambda b: b.term, default=None)

    def replicate_later(self, backend, entry):
        future = asyncio.get_running_loop().create_future()
        self.waiting.append((backend, entry, future))
        asyncio.get_running_loop().call_later(REPLICATION_S, self.replicate)
        return future

    def replicate(self):
        """Copies the log of the newest primary to the replicas."""
        leader = self.primary()
        if leader is None:
            return
        limit = time.monotonic() - REPLICATION_S + 0.0002
        for replica in self.backends.values():
            if replica.is_primary or replica.held_term or not replica.is_running:
                continue
            replica.term = leader.term
            same = 0
            for mine, its in zip(replica.log, leader.log):
                if mine is not its:
                    break
                same += 1
            del replica.log[same:]
            for entry in leader.log[same:]:
                if entry.at > limit:
                    asyncio.get_running_loop().call_later(
                        REPLICATION_S, self.replicate)
                    break
                replica.log.append(entry)
        self.answer_commits()

    def answer_commits(self):
        waiting, self.waiting = self.waiting, []
        for backend, entry, future in waiting:
            if future.done():
                continue
            if not backend.is_primary or not backend.is_running:
                future.set_result(False)
                continue
            has = any(r is not backend and r.is_running and not r.is_primary
                      and r.term == backend.term and entry in r.log[-200:]
                      for r in self.backends.values())
            if has:
                future.set_result(True)
            else:
                self.waiting.append((backend, entry, future))

    def on_acknowledged(self, ident, backend, entry):
        self.acknowledged[ident] = entry
        self.record.write("committed", f"{ident} at {backend.ident} "
                          "position %d.%d" % entry.position)

    def promote(self, ident):
        backend = self.backends.get(ident)
        if backend is None or not backend.is_running:
            return 409
        if backend is not self.primary():
            asyncio.get_running_loop().call_later(
                self.promote_s, self.take_lead, backend)
        return 200

    def take_lead(self, backend):
        if not backend.is_running or backend.is_primary:
            return
        old = self.primary()
        backend.term = max(b.term for b in self.backends.values()) + 1
        backend.is_primary = True
        backend.held_term = 0
        self.promoted.append((time.monotonic(), backend, list(backend.log), old))
        self.record.write("promoted", f"{backend.ident} leads term {backend.term} "
                          "with %d.%d" % backend.received)
        backend.register()
        if old is not None:
            asyncio.get_running_loop().call_later(STEP_DOWN_S, self.demote, old)
        self.replicate()

    def demote(self, backend):
        if not backend.is_primary or backend is self.primary():
            return
        backend.is_primary = False
        self.record.write("demoted", backend.ident)
        backend.register()
        self.replicate()


class Link:
    """A loopback proxy in front of a machine's address for its peers.

    The machine that opened a connection is known from the header with its name
    in the first request, if there are several; the owner is the machine behind
    the link. While a machine is cut off, all bytes from and to it are held up.
    """

    def __init__(self, address, target, owner, names):
        self.address = address
        self.target = target
        self.owner = owner
        self.names = names
        self.cut_off = set()
        self.changed = asyncio.Event()
        self.server = None
        self.writers = set()

    async def open(self):
        self.server = await asyncio.start_server(self.carry, *self.address)

    def cut(self, name):
        self.cut_off.add(name)

    def heal(self):
        self.cut_off.clear()
        self.changed.set()
        self.changed = asyncio.Event()

    def close(self):
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def pass_gate(self, source):
        while self.cut_off & {source, self.owner}:
            await self.changed.wait()

    async def carry(self, reader, writer):
        self.writers.add(writer)
        try:
            first = b""
            while self.names and not any(
                    name.encode() in first for name in self.names):
                data = await reader.read(65536)
                if not data:
                    writer.close()
                    return
                first += data
            source = min(self.names, default=self.owner,
                         key=lambda name: first.find(name.encode()) % (len(first) + 1))
            await self.pass_gate(source)
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        finally:
            self.writers.discard(writer)
        self.writers |= {writer, far_writer}
        far_writer.write(first)
        await asyncio.gather(self.pump(reader, far_writer, source),
                             self.pump(far_reader, writer, source))
        self.writers -= {writer, far_writer}

    async def pump(self, reader, writer, source):
        try:
            while True:
                data = await reader.read(65536)
                await self.pass_gate(source)
                if not data:
                    break
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            writer.transport.abort()


class Session:
    """A client's session over the line protocol."""

    def __init__(self, reader, writer, name, record):
        self.reader = reader
        self.writer = writer
        self.name = name
        self.record = record

    @classmethod
    async def open(cls, address, database, name, record):
        """Starts a session; raises ConnectionError if it is refused."""
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*address), 2)
        session = cls(reader, writer, name, record)
        writer.write(f"START {database} {name}\r\n".encode())
        line = await asyncio.wait_for(reader.readline(), 2)
        if not line.startswith(b"READY"):
            writer.close()
            raise ConnectionError(line.decode().strip() or "closed")
        return session

    async def query(self, ident, text, limit=5.0):
        """Runs one statement; returns its code ("DONE" if it succeeded), the
        rows and the signature. The code is "LOST" without a complete answer."""
        self.record.write("sent", f"{ident} {text} by {self.name}")
        code, rows, signature = None, [], ""
        try:
            self.writer.write(f"QUERY {ident} {text}\r\n".encode())
            while True:
                line = await asyncio.wait_for(self.reader.readline(), limit)
                if not line.endswith(b"\r\n"):
                    code = "LOST"
                    break
                word, _, rest = line.decode()[:-2].partition(" ")
                if word == "ROW":
                    rows.append(rest)
                elif word == "DONE":
                    code, signature = "DONE", rest
                elif word == "ERR":
                    code = rest.split(" ")[0]
                elif word == "READY":
                    break
        except (OSError, asyncio.TimeoutError):
            code = "LOST"
        self.record.write("answered", f"{ident} {code} {signature}")
        return code, rows, signature

    def close(self):
        self.writer.close()
