"""Faults of one run, drawn from its seed, and a fixed tour of them.

Each fault is an asynchronous function that injects it, lasts and heals it.
Faults overlap; those on one process or upstream wait for each other.
"""

import asyncio
import signal
import time

from .fleet import LONG, wait_until


class Faults:
    """Injects faults into a fleet."""

    left_out = frozenset()  # Names of random faults that are not played.

    def __init__(self, fleet, history, random):
        self.fleet = fleet
        self.history = history
        self.random = random
        self.vm_locks = [asyncio.Lock() for _ in range(fleet.vms)]
        self.upstream_lock = asyncio.Lock()
        self.log = []          # Lines of the plan as it was carried out.
        self.calm_since = 0.0  # Time at which the last unplanned fault ended.
        self.unplanned = 0     # Unplanned faults in force.
        self.started = time.monotonic()

    def note(self, text):
        """Adds a line to the record of the run."""
        self.log.append(f"{time.monotonic() - self.started:7.3f} {text}")

    def summary(self):
        """What the run adds to its line of results."""
        return ""

    async def unplanned_fault(self, name):
        """Carries out one fault that breaks what is under way."""
        self.unplanned += 1
        try:
            await getattr(self, name)()
        finally:
            self.unplanned -= 1
            self.calm_since = time.monotonic()

    def any_link(self):
        """A random link and its name."""
        link = self.random.choice(self.fleet.links)
        return link, "%s:%d" % link.address

    async def lasts(self, low, high):
        """Waits for a random time."""
        await asyncio.sleep(self.random.uniform(low, high))

    async def delay(self):
        """Slows a link down."""
        link, name = self.any_link()
        link.delay = self.random.uniform(0.005, 0.3)
        self.note(f"delay {name} by {link.delay:.3f} s")
        await self.lasts(0.5, 3)
        link.delay = 0.0

    async def reset(self):
        """Resets the connections of a link."""
        link, name = self.any_link()
        self.note(f"reset {name}")
        link.reset()

    async def cut_one_way(self):
        """Holds up one direction of a link."""
        link, name = self.any_link()
        direction = self.random.choice(["requests", "answers"])
        self.note(f"cut {direction} of {name}")
        link.block(direction)
        await self.lasts(0.2, 4)
        link.heal()

    async def cut(self):
        """Holds up both directions of a link."""
        link, name = self.any_link()
        self.note(f"cut {name}")
        link.block("requests", "answers")
        await self.lasts(0.2, 4)
        link.heal()

    async def mute(self):
        """Silences the connections that are open, for good."""
        for link in self.random.sample(self.fleet.links, 3):
            self.note("mute %s:%d" % link.address)
            link.mute()

    async def isolate(self):
        """Cuts a VM off from the store and from its peers."""
        vm = self.random.randrange(self.fleet.vms)
        self.note(f"isolate vm-{vm}")
        links = (self.fleet.store_links[vm], self.fleet.peer_links[vm])
        for link in links:
            link.block("requests", "answers")
        await self.lasts(0.5, 4)
        for link in links:
            link.heal()

    async def pause(self):
        """Stops a daemon for a while, and lets it go on."""
        vm = self.random.randrange(self.fleet.vms)
        async with self.vm_locks[vm]:
            self.note(f"pause vm-{vm}")
            self.fleet.signal(vm, signal.SIGSTOP)
            await self.lasts(0.1, 3)
            self.fleet.signal(vm, signal.SIGCONT)

    async def kill(self):
        """Kills a daemon and starts it again."""
        vm = self.random.randrange(self.fleet.vms)
        async with self.vm_locks[vm]:
            self.note(f"kill vm-{vm}")
            self.fleet.signal(vm, signal.SIGKILL)
            await self.fleet.daemons[vm].process.wait()
            await self.lasts(0, 2)
            await self.fleet.start_daemon(vm)

    async def kill_all(self):
        """Kills all daemons at once and starts them again."""
        for lock in self.vm_locks:
            await lock.acquire()
        self.note("kill all")
        for vm in range(self.fleet.vms):
            self.fleet.signal(vm, signal.SIGKILL)
        for vm in range(self.fleet.vms):
            await self.fleet.daemons[vm].process.wait()
            await self.fleet.start_daemon(vm)
        for lock in self.vm_locks:
            lock.release()

    async def stop(self):
        """Stops a daemon as planned, and starts it again."""
        vm = self.random.randrange(self.fleet.vms)
        async with self.vm_locks[vm]:
            await self.stop_and_start(vm)

    async def stop_and_start(self, vm):
        """Sends SIGTERM; the daemon has to end by itself, with 0."""
        daemon = self.fleet.daemons[vm]
        # Before it has set up its signals, SIGTERM ends any process at once.
        await self.fleet.wait_listening(vm)
        self.note(f"stop vm-{vm}")
        began, starts = time.monotonic(), daemon.starts
        was_calm = self.unplanned == 0 and began - self.calm_since > 4
        self.fleet.signal(vm, signal.SIGTERM)
        try:
            code = await asyncio.wait_for(daemon.process.wait(), LONG)
        except asyncio.TimeoutError:
            code = "no exit"
        if code != 0:
            self.history.problems.append(f"stopped vm-{vm} ended with {code}")
        was_calm = was_calm and self.unplanned == 0 and self.calm_since < began
        cuts = [cut for cut in self.history.cuts
                if cut[:2] == (vm, starts) and cut[2] > began]
        if was_calm and cuts:
            self.history.problems.append(f"vm-{vm} cut {len(cuts)} statements at its stop")
        await self.fleet.start_daemon(vm)

    async def hup(self):
        """Tells daemons to read their settings again, several times."""
        for _ in range(self.random.randint(1, 4)):
            vm = self.random.randrange(self.fleet.vms)
            self.note(f"hup vm-{vm}")
            self.fleet.signal(vm, signal.SIGHUP)
            await self.lasts(0, 0.3)

    async def crash(self):
        """Crashes an upstream, at times the primary, and starts it again."""
        async with self.upstream_lock:
            upstream = self.random.choice(self.fleet.upstreams)
            if self.random.random() < 0.6:
                upstream = (await self.fleet.admin("state"))["primary"] or upstream
            self.note(f"crash {upstream}")
            await self.fleet.admin(f"crash?{upstream}")
            await self.lasts(0.1, 4)
            await self.fleet.admin(f"return?{upstream}")

    async def dark(self):
        """Nobody reaches the primary, which goes on."""
        async with self.upstream_lock:
            primary = (await self.fleet.admin("state"))["primary"]
            if primary not in self.fleet.upstreams:
                return
            self.note(f"dark {primary}")
            link = self.fleet.upstream_links[primary]
            link.block("requests", "answers")
            await self.lasts(0.5, 5)
            link.heal()

    async def drain(self):
        """Replaces an upstream as planned."""
        async with self.upstream_lock:
            upstream = (await self.fleet.admin("state"))["primary"]
            if upstream not in self.fleet.upstreams or self.random.random() < 0.3:
                upstream = self.random.choice(self.fleet.upstreams)
            self.note(f"drain {upstream}")
            await self.fleet.admin(f"drain?{upstream}")
            await asyncio.sleep(7.5)
            await self.fleet.admin(f"crash?{upstream}")
            await self.lasts(0.2, 1)
            await self.fleet.admin(f"return?{upstream}")

    async def break_answers(self):
        """Statements run and their answers are cut off."""
        count = self.random.randint(1, 12)
        self.note(f"break {count} answers")
        await self.fleet.admin(f"break?{count}")

    async def refuse_set_up(self):
        """Upstreams refuse to set values, to prepare or to reset, several times."""
        count = self.random.randint(1, 6)
        self.note(f"refuse {count} set-ups")
        await self.fleet.admin(f"refuse_set_up?{count}")

    async def refuse_rollbacks(self):
        """Upstreams refuse rollbacks; the transactions stay open."""
        count = self.random.randint(1, 3)
        self.note(f"refuse {count} rollbacks")
        await self.fleet.admin(f"refuse_rollbacks?{count}")

    async def store_down(self):
        """The store refuses everything."""
        self.note("store down")
        await self.fleet.admin("down")
        await self.lasts(0.3, 4)
        await self.fleet.admin("up")

    async def store_restored(self):
        """The store goes away and comes back from an older copy."""
        age = self.random.randint(1, 9)
        self.note(f"store restored from a copy {age} s old")
        await self.fleet.admin("down")
        await self.lasts(0.3, 2)
        await self.fleet.admin(f"restore?{age}")
        await self.fleet.admin("up")

    async def compact(self):
        """The store forgets its history."""
        self.note("store compacts")
        await self.fleet.admin("compact")

    async def odd_entries(self):
        """Another writer leaves odd entries, one in place of a replica's."""
        async with self.upstream_lock:
            primary = (await self.fleet.admin("state"))["primary"]
            replica = self.random.choice([u for u in self.fleet.upstreams if u != primary])
            self.note(f"odd entries, one in place of {replica}")
            await self.fleet.admin(f"odd?{replica}")
            await self.lasts(0.5, 3)
            await self.fleet.admin(f"register?{replica}")

    async def routes(self):
        """New routes come, one after the other."""
        for _ in range(self.random.randint(1, 4)):
            self.fleet.routes += 1
            self.note(f"routes {self.fleet.routes}")
            await self.fleet.admin(f"routes?{self.fleet.routes}")
            await self.lasts(0, 0.4)


UNPLANNED = ("delay", "reset", "cut_one_way", "cut", "mute", "isolate", "pause", "kill",
             "kill_all", "crash", "dark", "break_answers", "refuse_set_up",
             "refuse_rollbacks", "store_down", "store_restored", "compact",
             "odd_entries")
PLANNED = ("stop", "hup", "drain", "routes")


async def random_faults(faults, seconds):
    """Starts faults for so long, in series and overlapping; waits for all."""
    unplanned, planned = ([name for name in names if name not in faults.left_out]
                          for names in (UNPLANNED, PLANNED))
    tasks = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if faults.random.random() < 0.65:
            name = faults.random.choice(unplanned)
            tasks.append(asyncio.create_task(faults.unplanned_fault(name)))
        else:
            name = faults.random.choice(planned)
            tasks.append(asyncio.create_task(getattr(faults, name)()))
        await faults.lasts(0.1, 2)
    await asyncio.gather(*tasks)


async def tour(faults):
    """The main faults in a fixed order; two promotions must come of them."""
    fleet = faults.fleet

    async def replaced(old):
        async def is_replaced():
            return (await fleet.admin("state"))["primary"] not in ("", old)
        await wait_until(is_replaced, f"a successor of {old}")

    await fleet.admin("break?20")
    await asyncio.sleep(1)
    old = (await fleet.admin("state"))["primary"]
    faults.note(f"crash {old}")
    await fleet.admin(f"crash?{old}")
    await replaced(old)
    faults.note("kill vm-0 as the old primary returns")
    fleet.signal(0, signal.SIGKILL)
    await fleet.daemons[0].process.wait()
    await fleet.admin(f"return?{old}")
    await asyncio.sleep(1)
    await fleet.start_daemon(0)
    await fleet.wait_ready(0)
    await faults.stop_and_start(1)
    await fleet.wait_ready(1)
    faults.note("store down, hup vm-2")
    await fleet.admin("down")
    fleet.signal(2, signal.SIGHUP)
    await asyncio.sleep(2)
    await fleet.admin("up")
    primary = (await fleet.admin("state"))["primary"]
    replica = next(u for u in fleet.upstreams if u != primary)
    faults.note(f"odd entries, one in place of {replica}")
    await fleet.admin(f"odd?{replica}")
    await asyncio.sleep(1)
    for vm in range(fleet.vms):
        await fleet.wait_ready(vm)
    await fleet.admin(f"register?{replica}")
    await asyncio.sleep(1)
    faults.note("store restored from a copy 3 s old")
    await fleet.admin("restore?3")
    leaving = (await fleet.admin("state"))["primary"]
    faults.note(f"drain {leaving}")
    await fleet.admin(f"drain?{leaving}")
    await replaced(leaving)
    await asyncio.sleep(1)
    if (await fleet.admin("state"))["promotions"] < 2:
        faults.history.problems.append("fewer than two promotions")
