"""Callers that write and read over the line protocol, and what they were told.

Each caller writes growing numbers to an item of its own and reads the items of
all. After a write of unknown outcome it takes a new item, since the write may
still take effect later.
"""

import asyncio
import itertools
import time

from .asked import Asked, Sender
from .fleet import FIRST_ROUTES, PORTS
from .operations import OddOperations

PROMISES = {"BUSY", "ABORTED", "BEHIND", "READONLY", "WRONGNODE", "TOOMANY"}
# Routes of the stand-in's configuration, and their maximum age in seconds.
MAX_AGE = {"primary": 0.0, "own_writes": 2.0, "bounded_staleness": 2.0}
ANSWER_LIMIT = 5.0   # Seconds for which a caller waits for an answer.
CUT_AFTER = 1.0      # Seconds that a statement must have been open to count as cut.


class Failed(Exception):
    """A statement got an error code."""

    def __init__(self, code):
        super().__init__(code)
        self.code = code


class History:
    """What all callers saw, and the problems that were found at once."""

    def __init__(self):
        self.problems = []
        self.asked = Asked()
        self.acknowledged = {}   # Item: list of (number, time), ascending.
        self.refused = set()     # (item, number): nothing of it may be kept.
        self.unknown = 0
        self.reads = 0
        self.cuts = []           # (VM, its start, time) of statements that were cut off.

    def count(self):
        """Writes that were acknowledged."""
        return sum(len(writes) for writes in self.acknowledged.values())

    def newest(self, item, before):
        """The last number that was acknowledged before that time; 0: none."""
        numbers = [n for n, at in self.acknowledged.get(item, []) if at < before]
        return max(numbers, default=0)


class Session:
    """One connection that speaks the line protocol."""

    def __init__(self, reader, writer, asked):
        self.reader = reader
        self.writer = writer
        self.sender = Sender(asked)
        self.state = "I"  # As the last answer gave it.

    @classmethod
    async def open(cls, address, database, asked):
        """Starts a session; raises Failed with the code of a refusal."""
        connecting = asyncio.open_connection(*address)
        session = cls(*await asyncio.wait_for(connecting, ANSWER_LIMIT), asked)
        try:
            session.writer.write(f"START {database} soak\r\n".encode())
            word, rest = await session.line()
            if word != "READY":
                raise Failed(rest.split(" ")[0])
        except BaseException:
            session.close()
            raise
        return session

    async def line(self):
        """The next line, as its first word and the rest."""
        line = await asyncio.wait_for(self.reader.readline(), ANSWER_LIMIT)
        if not line.endswith(b"\r\n"):
            raise ConnectionError("cut off")
        word, _, rest = line[:-2].decode().partition(" ")
        return word, rest

    async def query(self, statement_id, text):
        """Runs one statement; returns its rows and signature."""
        self.send([(statement_id, text)])
        return await self.answer()

    def send(self, queries):
        """Sends statements, each as its id and text, in one write."""
        for statement_id, text in queries:
            self.sender.sends(statement_id, text)
        lines = [f"QUERY {statement_id} {text}\r\n" for statement_id, text in queries]
        self.writer.write("".join(lines).encode())

    async def answer(self):
        """The answer to the next statement, as its rows and signature."""
        rows, signature, code = [], "", None
        while True:
            word, rest = await self.line()
            if word == "ROW":
                rows.append(rest)
            elif word == "DONE":
                signature = rest
            elif word == "ERR":
                code = rest.split(" ")[0]
            elif word == "READY":
                self.state = rest.split(" ")[0]
                self.sender.was_answered(self.state)
                if code is not None:
                    raise Failed(code)
                return rows, signature

    def close(self):
        """Ends the connection."""
        self.writer.close()


class Caller(OddOperations):
    """Runs operations in one session after another until it is told to stop."""

    failed = Failed

    def __init__(self, index, fleet, history, random):
        self.index = index
        self.fleet = fleet
        self.history = history
        self.random = random
        self.generation = 0
        self.numbers = itertools.count(1)
        self.ids = itertools.count(1)
        self.stops = False
        self.vm = 0
        self.database = ""
        self.own = 0         # Last number of its item acknowledged in this session.
        self.values = {}     # Session values that were acknowledged.

    @property
    def item(self):
        """The item that this caller writes."""
        return f"c{self.index}.{self.generation}"

    async def run(self, callers):
        """Runs sessions."""
        while not self.stops:
            self.vm = self.random.randrange(self.fleet.vms)
            self.database = self.random.choice(list(MAX_AGE))
            self.own, self.values = 0, {}
            address = (self.fleet.ip(self.vm), PORTS["session"])
            try:
                session = await Session.open(address, self.database, self.history.asked)
            except (OSError, Failed, asyncio.TimeoutError):
                await asyncio.sleep(0.1)
                continue
            try:
                for _ in range(self.random.randint(1, 60)):
                    if self.stops:
                        break
                    try:
                        await self.operate(session, callers)
                    except Failed:
                        if session.state != "I":
                            await self.query(session, "ROLLBACK")
                    await asyncio.sleep(self.random.uniform(0.005, 0.03))
            except (OSError, Failed, asyncio.TimeoutError):
                pass
            finally:
                session.close()

    async def operate(self, session, callers):
        """One operation of a random kind."""
        kind = self.random.random()
        if kind < 0.28:
            await self.write(session, "")
        elif kind < 0.40:
            await self.write(session, "COMMIT")
        elif kind < 0.46:
            await self.write(session, "ROLLBACK")
        elif kind < 0.48:
            await self.write(session, "LEAVE")
        elif kind < 0.56:
            await self.set_value(session)
        elif kind < 0.61:
            await self.prepare(session)
        elif kind < 0.63:
            await self.forget(session)
        elif kind < 0.71:
            await self.pipeline(session)
        elif kind < 0.75:
            await self.read_transaction(session, callers)
        elif kind < 0.77:
            await self.leave(session)
        elif kind < 0.79:
            await self.odd_read(session, self.random.choice(callers).item)
        else:
            await self.read(session, self.random.choice(callers).item, time.monotonic())

    def next_id(self):
        """A new id of a statement, with the caller and the VM that it is sent to."""
        return f"{self.index}@{self.vm}-{next(self.ids)}"

    async def query(self, session, text):
        """Runs a statement and checks that its answer is its own."""
        statement_id = self.next_id()
        sent = time.monotonic()
        starts = self.fleet.daemons[self.vm].starts
        try:
            rows, signature = await session.query(statement_id, text)
        except OSError:
            if time.monotonic() - sent > CUT_AFTER:
                self.history.cuts.append((self.vm, starts, time.monotonic()))
            raise
        self.check_signature(statement_id, text, signature)
        return rows

    def check_signature(self, statement_id, text, signature):
        """Checks that the upstream answered this statement."""
        needs_upstream = text.split(" ")[0] in ("READ", "WRITE", "EXEC", "COMMIT")
        if needs_upstream and signature != f"sig.{statement_id}":
            self.history.problems.append(f"{statement_id} {text}: signature {signature}")

    async def set_up(self, session, text):
        """Changes the session's state; after a refusal, it is not known."""
        try:
            await self.query(session, text)
        except Failed as error:
            raise ConnectionError("the state is not known") from error

    async def write(self, session, end):
        """Writes the next number, alone or in a transaction with this end."""
        number = next(self.numbers)
        statements = [self.write_text(session, number)]
        if end:
            statements = ["BEGIN", self.read_text(session, self.item), *statements, end]
        effective = "COMMIT" if end else statements[0]
        was_sent = False
        try:
            for text in statements:
                if text == "LEAVE":
                    raise ConnectionError("left on purpose")
                was_sent = was_sent or text == effective
                await self.query(session, text)
        except (OSError, Failed, asyncio.TimeoutError) as error:
            self.on_failed_write(number, was_sent, getattr(error, "code", None))
            raise
        if not was_sent:
            self.history.refused.add((self.item, number))
            return
        self.on_acknowledged_write(number)

    def on_acknowledged_write(self, number):
        """Notes a write that was acknowledged."""
        now = time.monotonic()
        self.history.acknowledged.setdefault(self.item, []).append((number, now))
        self.own = number

    def on_failed_write(self, number, was_sent, code):
        """Notes a write that was not acknowledged."""
        if not was_sent or code in PROMISES:
            self.history.refused.add((self.item, number))
            return
        self.history.unknown += 1
        self.generation += 1
        self.own = 0

    async def set_value(self, session):
        """Sets a session value and reads it back from an upstream."""
        name, value = self.random.choice("uvw"), str(next(self.ids))
        await self.set_up(session, f"SET {name} {value}")
        self.values[name] = value
        for known, expected in self.values.items():
            rows = await self.query(session, f"READ @{known}")
            if rows != [expected]:
                self.history.problems.append(
                    f"caller {self.index}: value {known} is {rows}, not {expected}")

    async def read(self, session, item, before):
        """Reads an item and checks its age, as of that time."""
        floor = self.history.newest(item, before - MAX_AGE[self.database])
        if item == self.item and self.database == "own_writes":
            floor = max(floor, self.own)
        text = self.read_text(session, item)
        rows = await self.query(session, text)
        self.history.reads += 1
        if len(rows) != 1 or not (rows == ["-"] or rows[0].strip(" ").isdigit()):
            self.history.problems.append(f"caller {self.index}: {text} gave {rows}")
            return
        number = 0 if rows == ["-"] else int(rows[0])
        if number < floor:
            self.history.problems.append(
                f"caller {self.index} at vm-{self.vm} read {item} = {number} on "
                f"{self.database}, {floor} was acknowledged")
        if (item, number) in self.history.refused:
            self.history.problems.append(f"{item} = {number} was read, though refused")


class RouteWatcher:
    """Starts sessions on routes that come one by one: none may go away again."""

    def __init__(self, fleet, history, random):
        self.fleet = fleet
        self.history = history
        self.random = random
        self.known = {}  # (VM, start of its process): newest route that was there.
        self.stops = False

    async def run(self):
        """Asks random VMs."""
        while not self.stops:
            await asyncio.sleep(0.05)
            vm = self.random.randrange(self.fleet.vms)
            starts = self.fleet.daemons[vm].starts
            known = self.known.get((vm, starts), FIRST_ROUTES)
            number = max(self.random.randint(known - 1, known + 1), FIRST_ROUTES + 1)
            there = await self.is_there(vm, number)
            if self.fleet.daemons[vm].starts != starts or there is None:
                continue
            if there:
                self.known[(vm, starts)] = max(known, number)
            elif number <= known:
                self.history.problems.append(f"vm-{vm} dropped route v{number}")

    async def is_there(self, vm, number):
        """Whether the VM knows the route; None if it did not say."""
        try:
            address = (self.fleet.ip(vm), PORTS["session"])
            session = await Session.open(address, f"v{number}", self.history.asked)
        except Failed as refusal:
            return False if refusal.code == "NODB" else None
        except (OSError, asyncio.TimeoutError):
            return None
        session.close()
        return True
