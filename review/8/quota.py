"""One VM of three is cut off from the other two for 12 s, and reaches the store,
the backends and its clients all the while. A tenant sends more than its limit at
each VM. Counts the tenant's requests that were sent and ran in any 5 s.

Exits with 1 if more ran than the rule QUOTA allows, 0 if not, 2 if the test could
not run. TROUBLE=0 leaves out the cut.
"""

import asyncio
import json
import os
import sys
import tempfile

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
from client import LOST, Session       # noqa: E402
from fleet import Fleet                # noqa: E402
from standins import Net, Service, Store, now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Of the rule, as demands/LATER.md gives the bounds.
WINDOW_S, OVERAGE, SLACK = 5.0, 0.1, 20
RATE, BURST = 40, 20
ALLOWED = (RATE * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
CUT_S = 12.0        # node_cut: share 0.35 for 12 s, demands/ktc-pindi-grown.toml.
SETTLE_S = 8.0      # Before the cut, so that the lender lends.
AFTER_S = 2.0
ASKED_PER_S = 60    # At each VM.
KEY = "k1f7qk20xwv4"


def configuration(services):
    """One public-less bounded route for each service, and one limited tenant."""
    return {
        "version": 3,
        "routes": [{"name": f"r-{i}", "host": f"sheets{i}", "prefix": "/",
                    "routeType": "bounded_staleness", "timeoutMs": 2000,
                    "targetLatencyMs": 1200, "priority": 2, "service": service.name,
                    "maxStalenessMs": 1500} for i, service in enumerate(services)],
        "services": [{"name": service.name, "maxConnections": service.max_connections,
                      "syncReplicas": 1} for service in services],
        "limits": {"txIdleMs": 3000},
        "tenants": [{"name": "wholesale", "apiKeys": [KEY], "ratePerS": RATE, "burst": BURST},
                    {"name": "other", "apiKeys": ["k2m3nn8yyt0c"]}]}


class Load:
    """The tenant's clients at one VM."""

    def __init__(self, vm, services, sent, record):
        self.vm = vm
        self.services = services
        self.sent = sent
        self.record = record
        self.number = 0
        self.stops = False

    async def session(self, index):
        """Sends reads in one session at a steady rate, one after another."""
        pause = 12 / ASKED_PER_S
        while not self.stops:
            try:
                session = await Session.open(
                    self.vm.front, f"sheets{index % len(self.services)}", KEY)
            except LOST:
                await asyncio.sleep(0.2)
                continue
            try:
                while not self.stops:
                    began = now()
                    self.number += 1
                    ident = f"{self.vm.name}-{index}-{self.number}"
                    self.sent[ident] = began
                    answer = await session.query(ident, "READ sheet")
                    self.record.append((began, "answered", ident, answer.code or "DONE"))
                    await asyncio.sleep(max(0, pause - (now() - began)))
            except LOST:
                pass
            session.close()

    async def run(self):
        await asyncio.gather(*(self.session(i) for i in range(12)))


def most_in_window(sent, runs):
    """The most requests that were sent and first ran within one window; each counts
    once. Returns the count and the window's start."""
    first = {}
    for at, _, ident, who, _ in runs:
        if who == "wholesale" and ident not in first:
            first[ident] = at
    spans = sorted((sent[ident], at) for ident, at in first.items() if ident in sent)
    best, best_start = 0, 0.0
    for i, (start, _) in enumerate(spans):
        end = start + WINDOW_S
        count = 0
        for begin, ran in spans[i:]:
            if begin > end:
                break
            count += ran <= end
        if count > best:
            best, best_start = count, start
    return best, best_start


async def play(folder):
    net = Net()
    store = Store(net.address())
    services = [Service(f"ledger{i}", net, store, slots=5, max_connections=62)
                for i in range(3)]
    fleet = Fleet(net, store, folder,
                  bounds={"configApplyMs": 5000, "drainMs": 10000,
                          "revokeStrict": True, "revokeMs": 5000})
    sent, answers, events = {}, [], []
    try:
        await store.start()
        for service in services:
            await service.start()
        store.put("op", "config", json.dumps(configuration(services)))
        vms = [fleet.add(f"vm-{i + 3}", zone) for i, zone in enumerate("abc")]
        for vm in vms:
            await fleet.start(vm)
        for vm in vms:
            await fleet.wait_ready(vm)
        began = now()
        loads = [Load(vm, services, sent, answers) for vm in vms]
        tasks = [asyncio.ensure_future(load.run()) for load in loads]
        await asyncio.sleep(SETTLE_S)
        if TROUBLE:
            fleet.cut(vms[0])
            events.append((now() - began, f"{vms[0].name} is cut off from the other VMs"))
        await asyncio.sleep(CUT_S)
        if TROUBLE:
            fleet.mend(vms[0])
            events.append((now() - began, "the cut ends"))
        await asyncio.sleep(AFTER_S)
        for load in loads:
            load.stops = True
        await asyncio.wait(tasks, timeout=5)
        fleet.look()
    finally:
        await fleet.end()
    runs = [run for service in services for run in service.runs]
    return began, vms, sent, answers, runs, events


def main():
    with tempfile.TemporaryDirectory() as folder:
        try:
            began, vms, sent, answers, runs, events = asyncio.run(play(folder))
        except Exception as error:  # The case could not run.
            print(f"could not run: {error!r}")
            for name in sorted(os.listdir(folder)):
                if name.endswith(".log"):
                    with open(os.path.join(folder, name), errors="replace") as file:
                        print(name, "".join(file.readlines()[-3:]))
            return 2
    most, start = most_in_window(sent, runs)
    codes = {}
    for _, _, _, code in answers:
        codes[code] = codes.get(code, 0) + 1
    lines = [f"trouble: {int(TROUBLE)}",
             f"tenant: ratePerS {RATE}, burst {BURST}; allowed in {WINDOW_S:.0f} s: {ALLOWED:.0f}",
             f"sent: {len(sent)}, answered: {codes}, ran: {len({r[2] for r in runs})}",
             f"most that were sent and ran in one window: {most}, from {start - began:.2f} s on"]
    lines += [f"{at:.2f} s  {what}" for at, what in events]
    lines.append("second: ran of those sent at each VM")
    for second in range(int(SETTLE_S + CUT_S + AFTER_S) + 1):
        counts = []
        for vm in vms:
            counts.append(sum(1 for at, _, ident, _, _ in runs if ident.startswith(vm.name)
                              and second <= at - began < second + 1))
        lines.append(f"{second:3d}: {counts} together {sum(counts)}")
    if most == 0:
        lines.append("could not run: nothing ran")
    print("\n".join(lines))
    with open(os.path.join(HERE, "record.txt"), "w", encoding="utf-8") as file:
        file.write("\n".join(lines) + "\n")
        for ident, at in sorted(sent.items(), key=lambda item: item[1]):
            file.write(f"{at - began:8.3f} sent {ident}\n")
        for at, backend, ident, who, text in sorted(runs):
            file.write(f"{at - began:8.3f} ran {ident} at {backend} for {who}: {text}\n")
        for at, _, ident, code in answers:
            file.write(f"{at - began:8.3f} answered {ident} {code}\n")
    if most == 0:
        return 2
    return 1 if most > ALLOWED else 0


if __name__ == "__main__":
    sys.exit(main())
