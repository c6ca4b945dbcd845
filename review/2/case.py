"""The backends of a service are replaced while promotions are refused."""

import asyncio
import itertools
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))

from deployment import TROUBLE, main, open_session  # noqa: E402

WRITERS = 3
PAUSE_S = 0.09           # Between the writes of a client.
DOWN_S = 2.0             # The promotion interface refuses connections.
GAP_S = 1.0              # Between the releases of two backends.
OBSERVE_S = 6.0


async def write(deployment, vm, name, acknowledged, stop):
    """Writes in sessions until it is told to stop."""
    numbers = itertools.count(1)
    session = None
    while not stop.is_set():
        if session is None:
            session = await open_session(deployment, vm, "primary", name)
        ident = f"{name}n{next(numbers)}"
        code, _, _ = await session.query(ident, f"WRITE {name} {ident}")
        if code == "DONE":
            acknowledged[ident] = time.monotonic()
        if code == "LOST":
            session.close()
            session = None
        await asyncio.sleep(PAUSE_S)


async def case(deployment):
    await deployment.open(vms=2)
    acknowledged, stop = {}, asyncio.Event()
    writers = [asyncio.create_task(write(deployment, deployment.vms[i % 2], f"c{i}",
                                         acknowledged, stop))
               for i in range(WRITERS)]
    await asyncio.sleep(1)
    group, record = deployment.group, deployment.record
    first, second = sorted(group.backends.values(), key=lambda b: b.ident)[:2]
    if TROUBLE:
        deployment.promotion.close()
        record.write("promotion", "refuses connections")
    await deployment.add_backend()   # A new one starts first, the old one drains.
    await asyncio.sleep(0.3)
    first.drain()
    await asyncio.sleep(GAP_S - 0.3)
    await deployment.add_backend()
    await asyncio.sleep(0.3)
    second.drain()
    await asyncio.sleep(DOWN_S - GAP_S)
    if TROUBLE:
        await deployment.promotion.open()
        record.write("promotion", "serves again")
    await asyncio.sleep(OBSERVE_S)
    stop.set()
    await asyncio.gather(*writers)
    return check(group, acknowledged)


def check(group, acknowledged):
    """Acknowledged commits that a promoted backend lacks."""
    problems = []
    for at, backend, log, _ in group.promoted:
        kept = {ident for entry in log for ident, _ in entry.writes}
        for ident, answered in acknowledged.items():
            if answered < at and ident not in kept:
                problems.append(f"LOST: {ident} was acknowledged "
                                f"{(at - answered) * 1000:.0f} ms before "
                                f"{backend.ident} took the lead without it")
    return problems


main(case, FOLDER)
