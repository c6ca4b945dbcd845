"""Clients that write and read on a primary route, and the check of STALE."""

import asyncio
import itertools
import time

from deployment import open_session

WRITE_PAUSE_S = 0.05
READ_PAUSE_S = 0.003


class History:
    """What clients sent and were told, and on which logs their reads ran."""

    def __init__(self):
        self.acknowledged = []   # (time, statement id)
        self.sent = {}           # Read: time of its first byte.
        self.ran = {}            # Read: (backend, its log as far as applied)

    def on_read(self, ident, backend, count):
        self.ran[ident] = (backend.ident, backend.log[:count])


async def write(deployment, vm, name, history, stop):
    """Writes in sessions until it is told to stop."""
    numbers = itertools.count(1)
    session = None
    while not stop.is_set():
        if session is None:
            session = await open_session(deployment, vm, "primary", name)
        ident = f"{name}n{next(numbers)}"
        code, _, _ = await session.query(ident, f"WRITE {name} {ident}")
        if code == "DONE":
            history.acknowledged.append((time.monotonic(), ident))
        if code == "LOST":
            session.close()
            session = None
        await asyncio.sleep(WRITE_PAUSE_S)


async def read(deployment, vm, name, history, stop):
    """Reads in sessions until it is told to stop."""
    numbers = itertools.count(1)
    session = None
    while not stop.is_set():
        if session is None:
            session = await open_session(deployment, vm, "primary", name)
        ident = f"{name}n{next(numbers)}"
        history.sent[ident] = time.monotonic()
        code, _, _ = await session.query(ident, "READ item")
        if code == "LOST":
            session.close()
            session = None
        await asyncio.sleep(READ_PAUSE_S)


def check(group, history):
    """Reads on a log without a commit that was acknowledged before."""
    entries = {ident: entry for ident, entry in group.acknowledged.items()}
    final = set(map(id, group.primary().log))
    problems = []
    for ident, (backend, log) in history.ran.items():
        sent = history.sent[ident]
        for at, write_id in history.acknowledged:
            if at >= sent:
                break
            entry = entries[write_id]
            if id(entry) not in final:
                continue   # A promote rolled it back.
            number = entry.position[1]
            if len(log) < number or log[number - 1] is not entry:
                problems.append(
                    f"STALE: {ident} ran at {backend} without {write_id}, which was "
                    f"acknowledged {(sent - at) * 1000:.0f} ms before it was sent")
                break
    return problems
