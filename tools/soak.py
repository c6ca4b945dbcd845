"""Fault soak: the platform's stand-in, daemons and callers in real processes.

    soak.py BUILD --seeds=1-50 --jobs=3       random faults, one run for each seed
    soak.py BUILD --tour                      a fixed order of the main faults
    soak.py BUILD --seeds=1-50 --severed      upstreams come and go while the
                                              primary is split off, see severed.py
    soak.py BUILD --seeds=1-50 --silent-pairs  the primary and another upstream go
                                              silent together, see silent_pairs.py

Faults come from outside: loopback proxies delay, reset, cut and mute
connections, signals pause, kill, stop and restart daemons, the stand-in crashes
upstreams and takes the store away. What callers saw is compared with what the
upstreams keep: acknowledged writes are there once, refused ones not at all,
reads are as fresh as their route says, session values hold, routes never go
back, a stopped daemon ends by itself with all statements answered. What
upstreams ran is what callers sent, see soak/asked.py. Nothing is judged by how
long it took. A failing seed leaves its logs in BUILD/soak.
"""

import argparse
import asyncio
import contextlib
import os
import random
import shutil
import sys
import time

from soak.callers import Caller, Failed, History, RouteWatcher, Session
from soak.faults import PLANNED, UNPLANNED, Faults, random_faults, tour
from soak.fleet import FIRST_ROUTES, LONG, PORTS, VMS, Fleet, wait_until
from soak.severed import SeveredFaults, severed_faults
from soak.silent_pairs import SilentPairFaults, silent_pair_faults

CALLERS = 10
SEVERED_VMS = 5
MODES = {  # Number of daemons, the faults, what plays them and for how many seconds.
    "seed": (VMS, Faults, random_faults, 14),
    "severed": (SEVERED_VMS, SeveredFaults, severed_faults, 30),
    "silent-pairs": (SEVERED_VMS, SilentPairFaults, silent_pair_faults, 18),
}
LEAST_WRITES = 100  # Acknowledged in a run; fewer mean that nothing was tested.


async def heal(fleet, asked):
    """Ends all faults and waits until every daemon serves writes again."""
    for link in fleet.links:
        link.heal()
    for order in ("break?0", "refuse_set_up?0", "refuse_rollbacks?0"):
        await fleet.admin(order)
    for vm in range(fleet.vms):
        await fleet.wait_ready(vm)
        await wait_until(lambda vm=vm: serves(fleet, vm, asked), f"a write at vm-{vm}")
    newest = f"v{fleet.routes}"
    if fleet.routes > FIRST_ROUTES:
        for vm in range(fleet.vms):
            await wait_until(lambda vm=vm: starts_session(fleet, vm, newest, asked),
                             f"route {newest} at vm-{vm}")


async def starts_session(fleet, vm, database, asked):
    """Whether a session starts."""
    try:
        session = await Session.open((fleet.ip(vm), PORTS["session"]), database, asked)
    except (OSError, Failed):
        return False
    session.close()
    return True


async def serves(fleet, vm, asked):
    """Whether a write at this daemon is acknowledged."""
    try:
        session = await Session.open((fleet.ip(vm), PORTS["session"]), "primary", asked)
        try:
            await session.query("probe", "WRITE probe data")
        finally:
            session.close()
    except (OSError, Failed):
        return False
    return True


def check(history, state, ran, started):
    """Compares what callers sent and were told with what upstreams ran and keep."""
    problems = list(history.problems)
    problems += history.asked.unasked(ran, [*state["effects"], *state["dropped"]])
    effects = {}
    dropped = {}
    # Writes that nobody sent are reported already, and may have any text.
    for text, how in state["dropped"].items():
        if text not in history.asked.writes:
            continue
        _, item, data = text.split(" ", 2)
        if item != "probe":
            dropped[(item, int(data))] = how
    for text, count in state["effects"].items():
        if text not in history.asked.writes:
            continue
        _, item, data = text.split(" ", 2)
        if item == "probe":
            continue
        key = (item, int(data))
        effects[key] = effects.get(key, 0) + count
    for item, writes in history.acknowledged.items():
        problems += [f"lost {item} = {n}, acknowledged at {at - started:.3f}"
                     for n, at in writes if (item, n) not in effects]
        problems += [f"lost by a promotion: {item} = {n}, acknowledged at "
                     f"{at - started:.3f}: " + dropped[(item, n)]
                     for n, at in writes if (item, n) in dropped]
    problems += [f"kept though refused {key}" for key in history.refused if key in effects]
    problems += [f"ran {count} times {key}" for key, count in effects.items() if count != 1]
    if history.count() < LEAST_WRITES:
        problems.append(f"only {history.count()} writes were acknowledged")
    if len(ran) < history.count():
        problems.append(f"upstreams reported only {len(ran)} statements")
    return problems


async def play(build, number, logs, seed, mode):
    """One run in the network of that number; returns problems and a summary."""
    draw = random.Random(seed)
    vms, kind, play_faults, seconds = MODES[mode]
    fleet = Fleet(build, number, logs, vms)
    history = History()
    callers = [Caller(i, fleet, history, random.Random(draw.random())) for i in range(CALLERS)]
    watcher = RouteWatcher(fleet, history, random.Random(draw.random()))
    faults = kind(fleet, history, draw)
    state = {"effects": {}, "dropped": {}, "promotions": 0}
    ran = []
    try:
        await fleet.start()
        tasks = [asyncio.create_task(caller.run(callers)) for caller in callers]
        tasks.append(asyncio.create_task(watcher.run()))
        await asyncio.sleep(1)
        if seed is None:
            await tour(faults)
        else:
            await play_faults(faults, seconds)
        await heal(fleet, history.asked)
        for worker in [*callers, watcher]:
            worker.stops = True
        await asyncio.wait_for(asyncio.gather(*tasks), LONG)
        if "fireflycart_sessions" not in fleet.metrics(0):
            history.problems.append("no metrics page")
        state, ran = await fleet.admin("state"), await fleet.admin("ran")
    except Exception as error:  # pylint: disable=broad-except
        # Also an error of this program, so that it fails this run and no other hangs.
        history.problems.append(str(error) or type(error).__name__)
        await fleet.tasks.end()
        with contextlib.suppress(RuntimeError):
            state, ran = await fleet.admin("state"), await fleet.admin("ran")
    finally:
        await fleet.close()
    problems = check(history, state, ran, faults.started)
    with open(f"{logs}/run.txt", "w", encoding="utf-8") as record:
        record.write("\n".join([*faults.log, *problems]) + "\n")
    return problems, (f"acknowledged {history.count()}, refused {len(history.refused)}, "
                      f"unknown {history.unknown}, reads {history.reads}, ran {len(ran)}, "
                      f"promotions {state['promotions']}, faults {len(faults.log)}"
                      + faults.summary())


async def play_and_report(build, number, name, seed, mode="seed"):
    """One run with its logs; returns whether it passed."""
    logs = f"{build}/soak/{name}"
    shutil.rmtree(logs, ignore_errors=True)
    os.makedirs(logs)
    began = time.monotonic()
    problems, summary = await play(build, number, logs, seed, mode)
    print(f"{name}: {summary}, broken promises: {len(problems)}, "
          f"{time.monotonic() - began:.0f} s", flush=True)
    for problem in problems[:10]:
        print(f"  FAILED: {problem}", flush=True)
    if problems:
        print(f"  logs: {logs}", flush=True)
    else:
        shutil.rmtree(logs)
    return not problems


async def play_seeds(build, seeds, numbers, mode):
    """Plays all seeds, one at a time in each network; returns how many failed."""
    waiting = list(seeds)
    failed = 0

    async def work(number):
        nonlocal failed
        while waiting:
            seed = waiting.pop(0)
            if not await play_and_report(build, number, f"{mode}-{seed}", seed, mode):
                failed += 1
    await asyncio.gather(*(work(number) for number in numbers))
    return failed


def main():
    """Reads the arguments and plays."""
    parser = argparse.ArgumentParser(description="Fault soak in real processes.")
    parser.add_argument("build", help="build directory")
    parser.add_argument("--seeds", default="1", help="FIRST-LAST or one seed")
    parser.add_argument("--jobs", type=int, default=1, help="runs at a time, 1 to 8")
    parser.add_argument("--network", type=int, default=0,
                        help="first network, so that two soaks can run at a time")
    parser.add_argument("--tour", action="store_true", help="fixed faults in a fixed order")
    parser.add_argument("--severed", action="store_const", dest="mode", const="severed",
                        default="seed",
                        help="upstreams come and go while the primary is split off")
    parser.add_argument("--silent-pairs", action="store_const", dest="mode",
                        const="silent-pairs",
                        help="the primary and another upstream go silent together")
    parser.add_argument("--islands", action="store_true",
                        help="with --severed: every split takes replicas along, and "
                             "their entries lapse")
    parser.add_argument("--without", default="", metavar="FAULT,FAULT",
                        help="random faults that are left out, see soak/faults.py")
    arguments = parser.parse_args()
    Faults.left_out = frozenset(filter(None, arguments.without.split(",")))
    unknown = Faults.left_out.difference(UNPLANNED, PLANNED)
    if unknown:
        parser.error(f"no such faults: {' '.join(sorted(unknown))}")
    SeveredFaults.islands_only = arguments.islands
    if not 1 <= arguments.jobs <= 8:
        parser.error(f"jobs {arguments.jobs} is not allowed; allowed are 1 to 8")
    if arguments.tour:
        passed = asyncio.run(play_and_report(arguments.build, arguments.network, "tour", None))
        return 0 if passed else 1
    first, _, last = arguments.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    numbers = range(arguments.network, arguments.network + arguments.jobs)
    failed = asyncio.run(play_seeds(arguments.build, seeds, numbers, arguments.mode))
    print(f"{len(seeds)} seeds, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
