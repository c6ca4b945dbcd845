"""The primary is replaced by a new backend that a machine has not heard of."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))

from deployment import TROUBLE, main  # noqa: E402
from reads import History, check, read, write  # noqa: E402

WRITERS = 2              # At each machine.
READERS = 3
CUT_S = 12.0
LEAVES_S = 8.0           # From the report of draining to the end.


async def case(deployment):
    deployment.ids_descend = True    # Of equal logs, the least id is promoted.
    await deployment.open(vms=3, has_links=True)
    history, stop = History(), asyncio.Event()
    group = deployment.group
    group.on_read = history.on_read
    clients = []
    for index, vm in enumerate(deployment.vms):
        for i in range(WRITERS):
            clients.append(write(deployment, vm, f"w{index}{i}", history, stop))
        for i in range(READERS):
            clients.append(read(deployment, vm, f"r{index}{i}", history, stop))
    tasks = [asyncio.create_task(client) for client in clients]
    await asyncio.sleep(1)
    if TROUBLE:
        lone = next(vm for vm in deployment.vms if vm is not deployment.owner())
        deployment.cut_off(lone, from_store=True)
    began = time.monotonic()
    await asyncio.sleep(1)
    primary = group.primary()
    await deployment.add_backend()   # The new one starts first.
    await asyncio.sleep(0.5)
    primary.drain()
    await asyncio.sleep(LEAVES_S)
    primary.end()
    await asyncio.sleep(began + CUT_S - time.monotonic())
    deployment.heal()
    await asyncio.sleep(1)
    stop.set()
    await asyncio.gather(*tasks)
    return check(group, history)


main(case, FOLDER)
