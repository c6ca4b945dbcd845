"""The owner of a group is removed while a draining primary cannot be replaced."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))

from deployment import DRAIN_MS, TROUBLE, main  # noqa: E402
from reads import History, read, write  # noqa: E402

WRITERS = 1              # At each machine.
READERS = 1
DOWN_S = 9.0             # The promotion interface refuses connections.
STOP_AFTER_S = 3.0       # From the report of draining to the SIGTERM.
LEAVES_S = 11.0          # From the report of draining to the end.


async def case(deployment):
    # The machine that starts first owns the group; the next owner never did.
    await deployment.open(vms=3, start_gap_s=1.5, first=3)
    group, record = deployment.group, deployment.record
    history, stop = History(), asyncio.Event()
    owner = deployment.owner()
    record.write("owner", owner.name)
    ran = []
    group.on_run = lambda ident, backend: ran.append(
        (time.monotonic(), ident, backend.ident))
    clients = []
    for index, vm in enumerate(deployment.vms):
        if vm is owner:
            continue
        for i in range(WRITERS):
            clients.append(write(deployment, vm, f"w{index}{i}", history, stop))
        for i in range(READERS):
            clients.append(read(deployment, vm, f"r{index}{i}", history, stop))
    tasks = [asyncio.create_task(client) for client in clients]
    await asyncio.sleep(1)
    await asyncio.sleep(1)
    if TROUBLE:
        deployment.promotion.close()
        record.write("promotion", "refuses connections")
    await deployment.add_backend()   # The new one starts first.
    await asyncio.sleep(0.5)
    primary = group.primary()
    drained = time.monotonic()
    primary.drain()
    await asyncio.sleep(STOP_AFTER_S)
    removal = asyncio.create_task(deployment.remove(owner))
    await asyncio.sleep(max(0, drained + DOWN_S - 0.5 - time.monotonic()))
    if TROUBLE:
        await deployment.promotion.open()
        record.write("promotion", "serves again")
    await asyncio.sleep(max(0, drained + LEAVES_S - time.monotonic()))
    primary.end()
    stop.set()
    await asyncio.gather(removal, *tasks)
    return [f"DRAIN: {ident} ran at {backend} {(at - drained) * 1000:.0f} ms after it "
            "reported draining" for at, ident, backend in ran
            if backend == primary.ident and at - drained > DRAIN_MS / 1000]


main(case, FOLDER)
