"""Fault soak: the platform's stand-in, daemons and callers in real processes.

    soak.py BUILD --seeds=1-50 --jobs=3       random faults, one run for each seed
    soak.py BUILD --tour                      a fixed order of the main faults

Faults come from outside: loopback proxies delay, reset, cut and mute
connections, signals pause, kill, stop and restart daemons, the stand-in crashes
upstreams and takes the store away. What callers saw is compared with what the
upstreams keep: acknowledged writes are there once, refused ones not at all,
reads are as fresh as their route says, session values hold, routes never go
back, a stopped daemon ends by itself with all statements answered. Nothing is
judged by how long it took. A failing seed leaves its logs in BUILD/soak.
"""

import argparse
import asyncio
import os
import random
import shutil
import sys
import time

from soak.callers import Caller, Failed, History, RouteWatcher, Session
from soak.faults import Faults, random_faults, tour
from soak.fleet import FIRST_ROUTES, LONG, PORTS, VMS, Fleet, wait_until

CALLERS = 8
FAULT_SECONDS = 14
LEAST_WRITES = 100  # Acknowledged in a run; fewer mean that nothing was tested.


async def heal(fleet):
    """Ends all faults and waits until every daemon serves writes again."""
    for link in fleet.links:
        link.heal()
    await fleet.admin("break?0")
    for vm in range(VMS):
        await fleet.wait_ready(vm)
        await wait_until(lambda vm=vm: serves(fleet, vm), f"a write at vm-{vm}")
    newest = f"v{fleet.routes}"
    if fleet.routes > FIRST_ROUTES:
        for vm in range(VMS):
            await wait_until(lambda vm=vm: starts_session(fleet, vm, newest),
                             f"route {newest} at vm-{vm}")


async def starts_session(fleet, vm, database):
    """Whether a session starts."""
    try:
        session = await Session.open((fleet.ip(vm), PORTS["session"]), database)
    except (OSError, Failed):
        return False
    session.close()
    return True


async def serves(fleet, vm):
    """Whether a write at this daemon is acknowledged."""
    try:
        session = await Session.open((fleet.ip(vm), PORTS["session"]), "primary")
        try:
            await session.query("probe", "WRITE probe data")
        finally:
            session.close()
    except (OSError, Failed):
        return False
    return True


def check(history, state):
    """Compares what callers were told with the primary's log."""
    problems = list(history.problems)
    effects = {}
    for text, count in state["effects"].items():
        _, item, data = text.split(" ", 2)
        if item == "probe":
            continue
        effects[(item, int(data))] = count
    for item, writes in history.acknowledged.items():
        problems += [f"lost {item} = {n}" for n, _ in writes if (item, n) not in effects]
    problems += [f"kept though refused {key}" for key in history.refused if key in effects]
    problems += [f"ran {count} times {key}" for key, count in effects.items() if count != 1]
    if history.count() < LEAST_WRITES:
        problems.append(f"only {history.count()} writes were acknowledged")
    return problems


async def play(build, number, logs, seed):
    """One run in the network of that number; returns problems and a summary."""
    draw = random.Random(seed)
    fleet = Fleet(build, number, logs)
    history = History()
    callers = [Caller(i, fleet, history, random.Random(draw.random())) for i in range(CALLERS)]
    watcher = RouteWatcher(fleet, history, random.Random(draw.random()))
    faults = Faults(fleet, history, draw)
    state = {"effects": {}, "promotions": 0}
    try:
        await fleet.start()
        tasks = [asyncio.create_task(caller.run(callers)) for caller in callers]
        tasks.append(asyncio.create_task(watcher.run()))
        await asyncio.sleep(1)
        if seed is None:
            await tour(faults)
        else:
            await random_faults(faults, FAULT_SECONDS)
        await heal(fleet)
        for worker in [*callers, watcher]:
            worker.stops = True
        await asyncio.wait_for(asyncio.gather(*tasks), LONG)
        if "fireflycart_sessions" not in fleet.metrics(0):
            history.problems.append("no metrics page")
        state = await fleet.admin("state")
    except (TimeoutError, RuntimeError) as error:
        history.problems.append(str(error) or type(error).__name__)
    finally:
        await fleet.close()
    problems = check(history, state)
    with open(f"{logs}/run.txt", "w", encoding="utf-8") as record:
        record.write("\n".join([*faults.log, *problems]) + "\n")
    return problems, (f"acknowledged {history.count()}, refused {len(history.refused)}, "
                      f"unknown {history.unknown}, reads {history.reads}, "
                      f"promotions {state['promotions']}, faults {len(faults.log)}")


async def play_and_report(build, number, name, seed):
    """One run with its logs; returns whether it passed."""
    logs = f"{build}/soak/{name}"
    shutil.rmtree(logs, ignore_errors=True)
    os.makedirs(logs)
    began = time.monotonic()
    problems, summary = await play(build, number, logs, seed)
    print(f"{name}: {summary}, broken promises: {len(problems)}, "
          f"{time.monotonic() - began:.0f} s", flush=True)
    for problem in problems[:10]:
        print(f"  FAILED: {problem}", flush=True)
    if problems:
        print(f"  logs: {logs}", flush=True)
    else:
        shutil.rmtree(logs)
    return not problems


async def play_seeds(build, seeds, jobs):
    """Plays all seeds, some at a time; returns how many failed."""
    waiting = list(seeds)
    failed = 0

    async def work(number):
        nonlocal failed
        while waiting:
            seed = waiting.pop(0)
            if not await play_and_report(build, number, f"seed-{seed}", seed):
                failed += 1
    await asyncio.gather(*(work(number) for number in range(jobs)))
    return failed


def main():
    """Reads the arguments and plays."""
    parser = argparse.ArgumentParser(description="Fault soak in real processes.")
    parser.add_argument("build", help="build directory")
    parser.add_argument("--seeds", default="1", help="FIRST-LAST or one seed")
    parser.add_argument("--jobs", type=int, default=1, help="runs at a time, 1 to 8")
    parser.add_argument("--tour", action="store_true", help="fixed faults in a fixed order")
    arguments = parser.parse_args()
    if not 1 <= arguments.jobs <= 8:
        parser.error(f"jobs {arguments.jobs} is not allowed; allowed are 1 to 8")
    if arguments.tour:
        return 0 if asyncio.run(play_and_report(arguments.build, 0, "tour", None)) else 1
    first, _, last = arguments.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    failed = asyncio.run(play_seeds(arguments.build, seeds, arguments.jobs))
    print(f"{len(seeds)} seeds, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
