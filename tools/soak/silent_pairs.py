"""Faults around a primary that goes silent together with another upstream.

A replica is cut off from the primary, or the primary from its replicas, so that the
group moves. Seconds later the primary and one more upstream go silent: they crash,
nothing gets through to them, or they are split off with one daemon beside them.
Their entries lapse. Meanwhile daemons that replace the primary are killed and links
to the store are held up. All return with their logs, each at its own time.

At most one upstream a run leaves for good: a commit that was acknowledged is in two
logs, so it is always in some log that returns.
"""

import asyncio
import time

from .severed import LAPSE_SECONDS, SeveredFaults

MOVE_SECONDS = 6          # Until the group has left a primary without replicas.
SILENCE_SECONDS = (4, 12)
HOWS = ("crash", "crash", "stop", "dark", "dark", "split")


class SilentPairFaults(SeveredFaults):
    """Injects these faults into a fleet."""

    def __init__(self, fleet, history, random):
        super().__init__(fleet, history, random)
        self.may_leave = random.random() < 0.5  # Whether one may still leave for good.
        self.outages = {}  # Silent upstream: its ways to others, which are cut.

    async def primary(self):
        """The upstream that leads."""
        return (await self.fleet.admin("state"))["primary"]

    async def episode(self):
        """Some upstreams lag, then the primary and another one go silent."""
        fleet = self.fleet
        first = await self.primary()
        present = [u for u in fleet.upstreams if u not in self.silent]
        replicas = [u for u in present if u != first]
        if not replicas:
            return
        moves = first in present and self.random.random() < 0.5
        count = max(1, len(replicas) - 1 if self.random.random() < 0.5 else 1)
        lagging = [first] if moves else self.random.sample(replicas, count)
        self.tasks.append(asyncio.create_task(self.lag(lagging, first, moves)))
        await self.lasts(1, 5)
        end = time.monotonic() + (MOVE_SECONDS if moves else 0)
        while await self.primary() == first and time.monotonic() < end:
            await asyncio.sleep(0.1)
        await self.lasts(0, 4 if moves else 0)
        primary = await self.primary()
        others = [u for u in fleet.upstreams
                  if u not in (primary, *lagging) and u not in self.silent]
        pair = [u for u in (primary, *self.random.sample(others, min(1, len(others))))
                if u in fleet.upstreams and u not in self.silent]
        if not pair:
            return
        self.silent.update(pair)
        for name, chance in (("kill_holder", 0.5), ("hold_up_store", 0.4),
                             ("second_holders", 0.2), ("silence", 0.2)):
            if self.random.random() < chance:
                self.tasks.append(asyncio.create_task(getattr(self, name)()))
        how, seconds = self.random.choice(HOWS), self.random.uniform(*SILENCE_SECONDS)
        if how == "split" and not self.islands:
            await self.split_off(pair, True, seconds)
            return
        how = "dark" if how == "split" else how
        self.note(f"{how} {' '.join(pair)} for {seconds:.1f} s")
        await asyncio.gather(*(self.outage(u, how, seconds) for u in pair))

    async def lag(self, lagging, primary, moves):
        """Cuts upstreams off from the primary, or the primary from all others."""
        fleet = self.fleet
        sources = fleet.upstreams if moves or not primary else [primary]
        pairs = [(u, other) for u in lagging for other in sources if other != u]
        vms = self.random.sample(range(fleet.vms), self.random.choice((0, 0, 1, 2)))
        links = [fleet.upstream_links[u] for u in lagging]
        self.note(f"cut {' '.join(lagging)} off from "
                  f"{' '.join(sources)}, {len(vms)} daemons {vms}")
        await self.separate(pairs)
        for link in links:
            for vm in vms:
                link.sever(vm)
        await self.lasts(4, 16)
        self.note(f"{' '.join(lagging)} no longer cut off")
        await self.reconnect(pairs)
        for link in links:
            for vm in vms:
                link.mend(vm)

    async def outage(self, upstream, how, seconds):
        """One upstream goes silent, and returns with its log or leaves for good."""
        fleet = self.fleet
        end = time.monotonic() + seconds + self.random.uniform(0, 3)
        link = fleet.upstream_links[upstream]
        pairs = [(upstream, other) for other in fleet.upstreams if other != upstream]
        self.outages[upstream] = pairs
        if how == "crash":
            await fleet.admin(f"crash?{upstream}")
        else:
            link.block("requests", "answers")
        await self.separate(pairs)
        await self.lasts(*LAPSE_SECONDS)
        await fleet.admin(f"lapse?{upstream}")
        await asyncio.sleep(max(0, end - time.monotonic()))
        del self.outages[upstream]
        await self.reconnect(pairs)
        if self.may_leave and self.random.random() < 0.3:
            self.may_leave = False
            self.note(f"leave {upstream}")
            await fleet.leave(upstream)
            await self.join()
        elif how == "crash":
            self.note(f"return {upstream}")
            await fleet.admin(f"return?{upstream}")
        else:
            self.note(f"return {upstream}")
            if how == "dark":
                link.reset()
            link.heal()
            await self.appear(upstream)
        self.silent.discard(upstream)

    async def join(self):
        """Starts a new upstream, which reaches no silent one."""
        for upstream, pairs in list(self.outages.items()):
            added = [(upstream, f"up-{self.fleet.next_port}")]
            pairs += added
            await self.separate(added)
        await super().join()

    async def kill_holder(self):
        """Kills the daemon that replaces the primary, early or while it waits."""
        vm = await self.next_turn(("started",), 8)
        if vm is not None:
            await self.lasts(0, 4)
            await self.take_out(vm, "kill")

    async def hold_up_store(self):
        """Holds up what some daemons, or all, get from the store."""
        count = self.random.randint(1, self.fleet.vms)
        vms = self.random.sample(range(self.fleet.vms), count)
        self.note(f"links to the store held up: {vms}")
        for vm in vms:
            self.fleet.store_links[vm].block("answers")
        await self.lasts(1, 7)
        for vm in vms:
            self.fleet.store_links[vm].heal()


async def silent_pair_faults(faults, seconds):
    """Starts episodes for so long, in series and overlapping; waits for all."""
    faults.unplanned += 1
    reader = asyncio.create_task(faults.follow_logs())
    for _ in range(faults.random.choice((0, 0, 0, 1, 2))):
        await faults.join()
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        faults.tasks.append(asyncio.create_task(faults.episode()))
        await faults.lasts(3, 14)
    while faults.tasks:
        await faults.tasks.pop()
    reader.cancel()
    await asyncio.gather(reader, return_exceptions=True)
