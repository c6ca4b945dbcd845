"""Faults around a primary that is split off while upstreams come and go.

Upstreams are replaced in series. Meanwhile the primary is split off with some
replicas and one daemon, daemons lose the primary or their open connections,
entries of living upstreams go missing, and daemons are paused, killed or isolated
as soon as they log that they start or give up a failover.

Split upstreams may lose their entries, or crash and return with their logs, and the
replicas on the store's side may lag: then nobody there has what was acknowledged.

The store stays up, so that upstreams leave 7.5 s and more after it said so. One at a
time leaves, and only while the primary and another upstream have the whole log: a
commit that was acknowledged is always in some log that stays.
"""

import asyncio
import collections
import itertools
import json
import signal
import time

from .faults import Faults

TURNS = ("started", "given_up", "promotion_ordered")
DRAIN_SECONDS = 7.5
ESTABLISHED_SECONDS = 9     # Since its start, until an upstream counts as there.
IN_FLIGHT = 20              # Commits that an upstream may lack while it follows.
EXPIRY_SECONDS = 3          # An upstream drops connections that are cut off.
LAPSE_SECONDS = (2.4, 3.6)  # Until the entry of a silent upstream is removed.
RETURN_SECONDS = (0, 2)     # Until the entry of a returned upstream is back.


class SeveredFaults(Faults):
    """Injects these faults into a fleet."""

    islands_only = False  # Every split takes replicas along, and their entries lapse.

    def __init__(self, fleet, history, random):
        super().__init__(fleet, history, random)
        self.islands = {}    # Number of a split: (its upstreams, daemon, cut ways).
        self.joined_at = {}  # Upstream: time of its start, if it joined.
        self.draining = ""   # The upstream that leaves.
        self.late = ""       # The upstream that receives nothing.
        self.silent = set()  # Upstreams that crashed or do not reach the store.
        self.cuts = collections.Counter()  # Pairs of upstreams: faults that cut them.
        self.cuts_lock = asyncio.Lock()
        self.numbers = itertools.count(1)
        self.turns = []      # (time, daemon, event): failovers as they were logged.
        self.tasks = []      # What outlasts the fault that began it.
        self.note(f"began at {time.time() * 1000:.0f} ms of the logs")

    def summary(self):
        counts = collections.Counter(event for _, _, event in self.turns)
        return ", failovers " + " ".join(
            f"{event} {counts[event]}" for event in
            ("started", "finished", "given_up", "hold_lost", "resume_ordered"))

    async def follow_logs(self):
        """Reads what the daemons log of their failovers, until it is cancelled."""
        logs = [open(f"{self.fleet.logs}/vm-{vm}.log", encoding="utf-8", errors="replace")
                for vm in range(self.fleet.vms)]
        try:
            while True:
                for vm, log in enumerate(logs):
                    for line in log:
                        if '"part":"failover"' in line and line.endswith("\n"):
                            event = json.loads(line)["event"]
                            self.turns.append((time.monotonic(), vm, event))
                await asyncio.sleep(0.005)
        finally:
            for log in logs:
                log.close()

    async def next_turn(self, events, seconds):
        """The next daemon that logs one of these events; None after that time."""
        known, end = len(self.turns), time.monotonic() + seconds
        while time.monotonic() < end:
            for _, vm, event in self.turns[known:]:
                if event in events and self.fleet.daemons[vm].is_running:
                    return vm
            known = len(self.turns)
            await asyncio.sleep(0.005)
        return None

    async def separate(self, pairs):
        """Cuts the ways between these upstreams."""
        async with self.cuts_lock:
            for pair in pairs:
                self.cuts[tuple(sorted(pair))] += 1
                await self.fleet.admin("cut?%s,%s" % pair)

    def is_cut(self, a, b):
        """Whether a fault cuts the way between two upstreams."""
        return self.cuts[tuple(sorted((a, b)))] > 0

    async def reconnect(self, pairs):
        """Mends the ways that no other fault cuts."""
        async with self.cuts_lock:
            for pair in pairs:
                self.cuts[tuple(sorted(pair))] -= 1
                if not self.is_cut(*pair):
                    await self.fleet.admin("mend?%s,%s" % pair)

    def established(self, island):
        """Upstreams outside the island that have been there for some time and stay."""
        now = time.monotonic()
        return [u for u in self.fleet.upstreams if u not in island and u != self.draining
                and now - self.joined_at.get(u, 0) > ESTABLISHED_SECONDS]

    async def releases(self):
        """Replaces upstreams one after the other, until it is cancelled."""
        while True:
            await self.lasts(0, 2)
            await self.release()

    async def release(self):
        """Replaces an upstream by a new one with another id."""
        async with self.upstream_lock:
            state = await self.fleet.admin("state")
            primary = upstream = state["primary"]
            if self.random.random() < 0.6:
                upstream = self.random.choice(self.fleet.upstreams)
            island = [u for upstreams, _, _ in self.islands.values() for u in upstreams]
            has_copy = any(state["missing"][u] <= IN_FLIGHT and not self.is_cut(u, primary)
                           for u in self.fleet.upstreams if u not in (primary, upstream))
            if (primary not in self.fleet.upstreams or not has_copy
                    or upstream in self.silent
                    or not self.established([*island, upstream])):
                return
            self.draining = upstream
            joins_first = self.random.random() < 0.5
            if joins_first:
                await self.join()
                await self.lasts(0, 3)
            self.note(f"drain {upstream}")
            await self.fleet.admin(f"drain?{upstream}")
            await self.lasts(DRAIN_SECONDS, DRAIN_SECONDS + 2)
            self.note(f"leave {upstream}")
            await self.fleet.leave(upstream)
            self.draining = ""
            if not joins_first:
                await self.lasts(0, 1.5)
                await self.join()

    async def join(self):
        """Starts a new upstream, on the store's side of all splits."""
        new = f"up-{self.fleet.next_port}"
        for island, _, pairs in list(self.islands.values()):
            added = [(other, new) for other in island]
            pairs += added
            await self.separate(added)
        self.note(f"join {new}")
        await self.fleet.join()
        self.joined_at[new] = time.monotonic()
        for _, vm, _ in self.islands.values():
            self.fleet.upstream_links[new].sever(vm)

    async def split(self):
        """Splits the primary off, with some replicas and one daemon."""
        primary = (await self.fleet.admin("state"))["primary"]
        replicas = [u for u in self.fleet.upstreams if u != primary]
        least = 1 if self.islands_only else 0
        if primary not in self.fleet.upstreams or len(replicas) <= least or self.islands:
            return
        island = [primary, *self.random.sample(
            replicas, self.random.randrange(least, len(replicas)))]
        lapses = self.islands_only or self.random.random() < 0.5
        await self.split_off(island, lapses, self.random.uniform(1, 12))

    async def split_off(self, island, lapses, seconds):
        """Splits these upstreams off, with one daemon; they may crash."""
        fleet = self.fleet
        vm, number = self.random.randrange(fleet.vms), next(self.numbers)
        hears = self.random.random() < 0.3  # The daemon is still called by the others.
        crashes = self.draining not in island and self.random.random() < 0.2
        others = [other for other in range(fleet.vms) if other != vm]
        self.note(f"split {number}: {' '.join(island)} and vm-{vm} for {seconds:.1f} s, "
                  f"their entries {'lapse' if lapses else 'stay'}"
                  f"{', they crash' if crashes else ''}"
                  f"{', it is called by the others' if hears else ''}")
        pairs = [(a, b) for a in island for b in fleet.upstreams if b not in island]
        self.islands[number] = (island, vm, pairs)
        self.silent.update(island if lapses or crashes else [])
        await self.separate(pairs)
        for upstream, link in fleet.upstream_links.items():
            for severed in others if upstream in island else [vm]:
                link.sever(severed)
        for other in others:
            fleet.peer_links[other].sever(vm)
            if not hears:
                fleet.peer_links[vm].sever(other)
        fleet.store_links[vm].block("requests", "answers")
        end = time.monotonic() + seconds
        outages = []
        if crashes:
            await self.lasts(0, seconds / 2)
            outages = [asyncio.create_task(self.crash_until(end, u)) for u in island]
        has_lapsed = lapses and await self.lapse_island(island, end)
        await asyncio.sleep(max(0, end - time.monotonic()))
        self.note(f"split {number} ends")
        del self.islands[number]
        await self.reconnect(pairs)
        for link in [*fleet.upstream_links.values(), *fleet.peer_links]:
            for severed in range(fleet.vms):
                if seconds > EXPIRY_SECONDS:
                    link.expire(severed)
                link.mend(severed)
        fleet.store_links[vm].heal()
        await asyncio.gather(*outages)
        self.silent.difference_update(island)
        if has_lapsed:
            for upstream in island:
                self.tasks.append(asyncio.create_task(self.appear(upstream)))

    async def crash_until(self, end, upstream):
        """Crashes an upstream; it returns with its log."""
        pairs = [(upstream, other) for other in self.fleet.upstreams if other != upstream]
        await self.separate(pairs)
        self.note(f"crash {upstream}")
        await self.fleet.admin(f"crash?{upstream}")
        await asyncio.sleep(max(0, end - time.monotonic()))
        await self.lasts(*RETURN_SECONDS)
        self.note(f"return {upstream}")
        await self.reconnect(pairs)
        await self.fleet.admin(f"return?{upstream}")

    async def lapse_island(self, island, end):
        """Removes the entries of split upstreams; returns whether it came to that."""
        pause = self.random.uniform(*LAPSE_SECONDS)
        if time.monotonic() + pause > end:
            return False
        await asyncio.sleep(pause)
        for upstream in island:
            await self.fleet.admin(f"lapse?{upstream}")
        self.note(f"entries of {' '.join(island)} are gone")
        return True

    async def appear(self, upstream):
        """The entry of an upstream comes back."""
        await self.lasts(*RETURN_SECONDS)
        await self.fleet.admin(f"appear?{upstream}")

    async def late_replica(self):
        """A replica receives nothing for a while."""
        state = await self.fleet.admin("state")
        replicas = self.established([state["primary"]])
        if not replicas or not state["primary"] or self.late:
            return
        self.late = self.random.choice(replicas)
        pair = (state["primary"], self.late)
        self.note("late %s,%s" % pair)
        await self.separate([pair])
        await self.lasts(0.3, 6)
        await self.reconnect([pair])
        self.late = ""

    async def lapse_at_turn(self):
        """An entry is missing just as a failover starts."""
        if await self.next_turn(("started",), 6) is not None:
            await self.lapse()

    async def stall_at_turn(self):
        """A holder's connections to upstreams stall in its failover; it may end."""
        vm = await self.next_turn(("started", "promotion_ordered"), 6)
        if vm is None or self.islands:
            return
        links = list(self.fleet.upstream_links.values())
        links = self.random.sample(links, self.random.randint(1, len(links)))
        seconds = self.random.uniform(0.2, EXPIRY_SECONDS)
        self.note(f"stall vm-{vm} to {len(links)} upstreams for {seconds:.1f} s")
        for link in links:
            link.sever(vm)
        if self.random.random() < 0.4:
            self.tasks.append(asyncio.create_task(
                self.take_out(vm, self.random.choice(("pause", "kill", "isolate")))))
        await asyncio.sleep(seconds)
        for link in links:
            link.mend(vm)

    async def lapse(self):
        """The entry of a living upstream is missing for a while."""
        present = [u for u in self.fleet.upstreams if u not in self.silent]
        if not present:
            return
        upstream = self.random.choice(present)
        self.note(f"lapse {upstream}")
        await self.fleet.admin(f"lapse?{upstream}")
        await self.lasts(1, 2)
        await self.fleet.admin(f"appear?{upstream}")

    async def silence(self):
        """A daemon's open connections to upstreams or peers go silent for good."""
        vm = self.random.randrange(self.fleet.vms)
        to_upstreams = self.random.random() < 0.6
        links = list(self.fleet.upstream_links.values()) if to_upstreams else self.fleet.peer_links
        links = self.random.sample(links, self.random.randint(1, len(links)))
        self.note(f"silence vm-{vm} to {' '.join('%s:%d' % link.address for link in links)}")
        for link in links:
            link.mute(vm)

    async def lose_primary(self):
        """Some daemons do not reach the primary, or none does."""
        primary = (await self.fleet.admin("state"))["primary"]
        if primary not in self.fleet.upstreams or self.islands:
            return
        vms = self.random.sample(range(self.fleet.vms), self.random.randint(1, self.fleet.vms))
        link = self.fleet.upstream_links[primary]
        self.note(f"lose {primary}: {vms}")
        for vm in vms:
            link.sever(vm)
        await self.lasts(0.5, 6)
        for vm in vms:
            link.mend(vm)

    async def take_out(self, vm, how):
        """Pauses, kills or isolates a daemon."""
        seconds = self.random.uniform(0.3, 5)
        async with self.vm_locks[vm]:
            self.note(f"{how} vm-{vm} for {seconds:.1f} s")
            if how == "pause":
                self.fleet.signal(vm, signal.SIGSTOP)
                await asyncio.sleep(seconds)
                self.fleet.signal(vm, signal.SIGCONT)
            elif how == "kill":
                self.fleet.signal(vm, signal.SIGKILL)
                await self.fleet.daemons[vm].process.wait()
                await asyncio.sleep(seconds)
                await self.fleet.start_daemon(vm)
            else:
                links = (self.fleet.store_links[vm], self.fleet.peer_links[vm])
                for link in links:
                    link.block("requests", "answers")
                await asyncio.sleep(seconds)
                for link in links:
                    link.heal()

    async def pause_at_turn(self):
        """Pauses a daemon right after it started or gave up a failover."""
        vm = await self.next_turn(TURNS, 6)
        if vm is not None:
            await self.lasts(0, 0.1)
            await self.take_out(vm, "pause")

    async def second_holders(self):
        """Takes the holder out in the middle of a failover, several times in a row."""
        for _ in range(self.random.randint(2, 4)):
            vm = await self.next_turn(("started", "promotion_ordered"), 5)
            if vm is None:
                return
            await self.lasts(0, 0.3)
            how = self.random.choice(("pause", "kill", "isolate"))
            self.tasks.append(asyncio.create_task(self.take_out(vm, how)))


KINDS = ("split", "split", "split", "lose_primary", "lose_primary", "lose_primary",
         "late_replica", "late_replica", "lapse_at_turn", "lapse_at_turn",
         "stall_at_turn", "stall_at_turn", "lapse", "silence", "silence",
         "pause_at_turn", "second_holders", "second_holders", "delay", "reset", "cut",
         "mute", "pause", "break_answers", "compact", "stop")


async def severed_faults(faults, seconds):
    """Starts faults for so long, overlapping; waits for all."""
    faults.unplanned += 1  # A stop may cut statements off: this is no planned work.
    background = [asyncio.create_task(faults.follow_logs()),
                  asyncio.create_task(faults.releases())]
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        kind = faults.random.choice(KINDS)
        faults.tasks.append(asyncio.create_task(getattr(faults, kind)()))
        await faults.lasts(0.1, 1.5)
    while faults.tasks:
        await faults.tasks.pop()
    for task in background:
        task.cancel()
    await asyncio.gather(*background, return_exceptions=True)
