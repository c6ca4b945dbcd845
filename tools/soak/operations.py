"""Operations of callers with texts that are odd but legal, and in odd ways to send.

Prepared statements have names that all callers share and shapes that hold blanks or
look like keywords. Callers send whole transactions in one write, with refused
statements among them, and leave in the middle of a line or with a statement
unanswered.
"""

import asyncio
import contextlib
import time

NAMES = ("s1", "s2", "q", "READ")
SHAPES = ("q", "q2c", "q 2c", "q  ", " q", "READ q", "q2c WRITE", "WRITE q x", "-",
          "q2e READ nztl", "q19 WRITE gy", "nztl READ q2e READ nztl")
# Sent ahead of what depends on them. Most are malformed; the others are refused
# in a failed transaction.
SET_UPS = ("PREPARE {name} READ ", "PREPARE {name} READ", "PREPARE {name} ", "PREPARE",
           "PREPARE {name} {shape}", "prepare {name} READ q", "SET {value}", "SET",
           "SET {value} {number}", "set {value} 5", "FORGET", "FORGET {name} x",
           "FORGET {name}", "BEGIN now", "BEGIN ", "READ", "WRITE", "EXEC {name}", "COMMIT ")


class OddOperations:
    """Part of a caller."""

    def write_text(self, session, number):
        """A write of this number to the caller's item, at times a prepared one."""
        names = self.names(session, "WRITE")
        before, after = self.random.choice(["", "", "", " "]), self.random.choice(["", "", " "])
        data = f"{before}{number}{after}"
        if names and self.random.random() < 0.4:
            return f"EXEC {self.random.choice(names)} {self.item} {data}"
        return f"WRITE {self.item} {data}"

    def read_text(self, session, item):
        """A read of the item, at times a prepared one."""
        names = self.names(session, "READ")
        if names and self.random.random() < 0.4:
            return f"EXEC {self.random.choice(names)} {item}"
        return f"READ {item}"

    @staticmethod
    def names(session, mode):
        """Names of the session's prepared statements of this mode."""
        return [name for name, prepared in session.sender.names.items()
                if prepared and prepared.startswith(f"{mode} ")]

    async def prepare(self, session):
        """Prepares a statement, at times under a name that is in use."""
        name, shape = self.random.choice(NAMES), self.random.choice(SHAPES)
        mode = self.random.choice(["READ", "WRITE"])
        await self.set_up(session, f"PREPARE {name} {mode} {shape}")

    async def forget(self, session):
        """Forgets a prepared statement, which cannot run then."""
        name = self.random.choice(NAMES)
        await self.set_up(session, f"FORGET {name}")
        try:
            await self.query(session, f"EXEC {name} {self.item}")
        except self.failed as error:
            if error.code == "NOSTMT":
                return
            raise
        self.history.problems.append(f"caller {self.index}: {name} ran, though forgotten")

    async def odd_read(self, session, item):
        """Reads with doubled and trailing blanks; the item is not the one named."""
        text = self.random.choice(["READ  %s", "READ %s ", "READ %s  x", "READ READ %s"])
        await self.query(session, text % item)

    async def read_transaction(self, session, callers):
        """Reads several items in a transaction."""
        began = time.monotonic()
        await self.query(session, "BEGIN READ")
        for _ in range(self.random.randint(1, 4)):
            await self.read(session, self.random.choice(callers).item, began)
            await asyncio.sleep(self.random.uniform(0, 0.01))
        end = self.random.choice(["COMMIT", "COMMIT", "ROLLBACK", "LEAVE"])
        if end == "LEAVE":
            raise ConnectionError("left on purpose")
        await self.query(session, end)

    def set_up_text(self, session):
        """A change of the session that is refused or not, or another refused text."""
        name = self.random.choice(list(session.sender.names) or NAMES)
        return self.random.choice(SET_UPS).format(
            name=name, shape=session.sender.names.get(name) or "READ q",
            value=self.random.choice("uvw"), number=next(self.ids))

    async def pipeline(self, session):
        """Sends a transaction, or a read and a write, in one write.

        Refused statements may be among them. What is cut off is no cut at a stop:
        only the first statement was begun.
        """
        number = next(self.numbers)
        end = self.random.choice(["COMMIT", "COMMIT", "COMMIT", "ROLLBACK", "", ""])
        texts = [self.read_text(session, self.item), self.write_text(session, number)]
        if end:
            texts = ["BEGIN", *texts, end]
        for _ in range(self.random.choice((0, 0, 1, 1, 2))):
            texts.insert(self.random.randrange(len(texts)), self.set_up_text(session))
        queries = [(self.next_id(), text) for text in texts]
        session.send(queries)
        codes = []
        try:
            for statement_id, text in queries:
                try:
                    _, signature = await session.answer()
                    self.check_signature(statement_id, text, signature)
                    codes.append(None)
                except self.failed as error:
                    codes.append(error.code)
        except (OSError, asyncio.TimeoutError):
            self.on_failed_write(number, end != "ROLLBACK", None)
            raise
        if end == "ROLLBACK":
            self.history.refused.add((self.item, number))
        elif codes[-1] is not None:
            self.on_failed_write(number, True, codes[-1])
        else:
            if end and any(codes[texts.index("BEGIN"):]):
                self.history.problems.append(
                    f"caller {self.index}: a transaction was committed after {codes}: {texts}")
            self.on_acknowledged_write(number)
        await self.settle(session, texts, codes)
        if any(codes):
            raise self.failed(next(code for code in codes if code))

    async def settle(self, session, texts, codes):
        """Sets the values whose setting was refused, or leaves."""
        if session.state != "I":
            await self.query(session, "ROLLBACK")
        values = session.sender.values
        if "" in values:  # For ever.
            with contextlib.suppress(self.failed):
                await self.query(session, self.read_text(session, self.item))
        if "" in values or (any(codes) and self.random.random() < 0.2):
            raise ConnectionError("left after a refusal")
        refused = {text.split(" ")[1] for text, code in zip(texts, codes)
                   if code and text.startswith("SET ")}
        for name in refused:
            await self.set_up(session, f"SET {name} {next(self.ids)}")
        self.values = dict(values)

    async def leave(self, session):
        """Leaves in the middle of a line, or with a statement unanswered."""
        in_transaction = self.random.random() < 0.5
        if in_transaction:
            await self.query(session, "BEGIN")
            await self.query(session, self.read_text(session, self.item))
        number, statement_id = next(self.numbers), self.next_id()
        text = self.write_text(session, number)
        if self.random.random() < 0.5:
            line = f"QUERY {statement_id} {text}"
            session.writer.write(line[:self.random.randint(1, len(line))].encode())
            self.on_failed_write(number, False, None)
        else:
            session.send([(statement_id, text)])
            self.on_failed_write(number, not in_transaction, None)
        raise ConnectionError("left on purpose")
