"""A client of the wire protocol.

    session = await Session.open(address, "lepu270", key)
    answer = await session.query("id-1", "READ item")
    if answer.done: use(answer.rows)
"""

import asyncio


class Answer:
    """What a statement was answered; code is empty if it was done."""

    def __init__(self):
        self.rows = []
        self.row_bytes = 0
        self.signature = ""
        self.code = ""
        self.detail = ""
        self.state = ""

    @property
    def done(self):
        return not self.code


class Refused(Exception):
    """START was answered with an error."""


class Session:
    """One connection."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, address, database, key="", limit_s=5):
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*address, limit=1 << 22), limit_s)
        session = cls(reader, writer)
        start = f"START {database}" + (f" {key}" if key else "")
        writer.write(start.encode() + b"\r\n")
        line = await asyncio.wait_for(session.line(), limit_s)
        if not line.startswith("READY"):
            session.close()
            raise Refused(line)
        return session

    async def line(self):
        return (await self.reader.readuntil(b"\r\n"))[:-2].decode()

    async def query(self, ident, text, limit_s=30, keep_rows=True):
        """Runs a statement; raises OSError or IncompleteReadError if it is cut."""
        self.writer.write(f"QUERY {ident} {text}\r\n".encode())
        return await asyncio.wait_for(self.answer(keep_rows), limit_s)

    async def answer(self, keep_rows=True):
        answer = Answer()
        while True:
            line = await self.line()
            word, _, rest = line.partition(" ")
            if word == "ROW":
                answer.row_bytes += len(rest)
                if keep_rows:
                    answer.rows.append(rest)
            elif word == "DONE":
                answer.signature = rest
            elif word == "ERR":
                answer.code, _, answer.detail = rest.partition(" ")
            elif word == "READY":
                answer.state = rest.partition(" ")[0]
                return answer

    def close(self):
        self.writer.close()


LOST = (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, Refused)
