#!/usr/bin/env python3
"""Hosts of a fleet are cut from each other while requests wait for a place.

Each host reaches each other one through a proxy of its own, so that two hosts can
lose each other, in both directions or in one, while both reach the store, the
upstreams and the rest of the fleet. Then several hosts place requests of one
service at the same time, and places, refusals and reports come late or never.
Upstreams are slow, refuse with copies, restart at their address and lose answers.
Checked are the promises of two_dispatchers.py.

usage: cut_hosts.py BUILD [SEED...]
"""

import asyncio
import itertools
import pathlib
import tempfile
import time

import fault_soak
from fault_soak import Proxy, Store, print_failures, run_given_seeds, run_to_end, serve
from two_dispatchers import Host, TwoDispatchers

SEED = 31
SECONDS = 6.0
# Mean time between two cuts, and their length, in seconds. A dispatcher counts as
# late after 80 ms and as lost after 250 ms.
STEP = 0.25
CUTS = ((0.05, 0.25), (0.25, 1.0), (1.0, 2.5))
# Without these events a run has shown nothing.
WANTED = ("second", "lost")


def address(port):
    return f"127.0.0.1:{port}"


class FleetStore(Store):
    """Store that each host sees with its own way to the other hosts."""

    def __init__(self):
        super().__init__()
        self.views = []

    async def put(self, topic, key, value):
        await super().put(topic, key, value)
        for it in self.views:
            await it.take(topic, key, value)

    def add_view(self, host):
        view = StoreView(self, host)
        for topic, records in self.topics.items():
            view.topics[topic] = [(key, view.seen(value)) for key, value in records]
        self.views.append(view)
        return view


class StoreView(Store):
    """Writes go to the store, with the hosts' own addresses."""

    def __init__(self, store, host):
        super().__init__()
        self.store = store
        self.host = host

    async def put(self, topic, key, value):
        for a, b in itertools.permutations(self.host.soak.gateways, 2):
            value = value and value.replace(address(a.ways[b].port),
                                            address(b.ports["control"]))
        await self.store.put(topic, key, value)

    def seen(self, value):
        for it, way in self.host.ways.items():
            value = value and value.replace(address(it.ports["control"]),
                                            address(way.port))
        return value

    async def take(self, topic, key, value):
        await super().put(topic, key, self.seen(value))


class ReachedHost(Host):
    async def open_ways(self, hosts):
        """Proxies in front of the other hosts, by host."""
        self.ways = {}
        for it in hosts:
            if it is not self:
                way = Proxy(it.ports["control"])
                _, way.port = await serve(way.handle)
                self.ways[it] = way

    async def start(self, _):
        view = self.soak.store.add_view(self)
        _, self.soak.store_port = await serve(view.handle)
        # A host that is among its seeds reads the others from the store, and so
        # learns the addresses that are meant for it.
        await super().start([address(self.ports["control"])] +
                            [address(it.port) for it in self.ways.values()])


class CutHosts(TwoDispatchers):
    wanted = WANTED

    def __init__(self, binary, seed, directory):
        super().__init__(binary, seed, directory)
        self.seconds = SECONDS
        self.cut = set()

    async def cut_pairs(self, pairs, modes):
        """Cuts ways, given as pairs of hosts, that are not cut already."""
        pairs = [it for it in pairs if it not in self.cut]
        self.cut.update(pairs)
        mode = self.random.choice(modes)
        for a, b in pairs:
            a.ways[b].set(mode)
        await asyncio.sleep(self.random.uniform(*self.random.choice(CUTS)))
        for a, b in pairs:
            a.ways[b].set("pass")
        self.cut.difference_update(pairs)

    def busiest(self):
        """A dispatcher in office, or any host."""
        found = self.dispatchers()
        return found[0] if found else self.random.choice(self.gateways)

    async def cut_two(self):
        """The dispatcher and another host lose each other."""
        a = self.busiest()
        b = self.random.choice([it for it in self.gateways if it is not a])
        await self.cut_pairs([(a, b), (b, a)], ("silent", "delay", "reset"))

    async def cut_one_way(self):
        """What one of two hosts says does not arrive."""
        a = self.busiest()
        b = self.random.choice([it for it in self.gateways if it is not a])
        pair = self.random.choice([(a, b), (b, a)])
        await self.cut_pairs([pair], ("cut_up", "cut_down", "refuse"))

    async def split(self):
        """Two halves of the fleet lose each other."""
        one = set(self.random.sample(self.gateways, len(self.gateways) // 2))
        await self.cut_pairs([(a, b) for a, b in itertools.permutations(self.gateways, 2)
                              if (a in one) != (b in one)], ("silent", "reset"))

    async def isolate(self):
        """The dispatcher loses all others."""
        a = self.busiest()
        await self.cut_pairs([it for it in itertools.permutations(self.gateways, 2)
                              if a in it], ("silent", "reset"))

    async def freeze_behind_cut(self):
        """The dispatcher is frozen, and another host is cut from it meanwhile."""
        a = self.busiest()
        if a in self.held:
            return
        self.held.add(a)
        await asyncio.gather(self.freeze(a), self.cut_two())
        self.held.discard(a)

    async def inject(self):
        faults = [self.cut_two, self.cut_one_way, self.split, self.isolate,
                  self.freeze_behind_cut]
        left = []
        while time.monotonic() - self.begun < self.seconds:
            await asyncio.sleep(self.random.expovariate(1 / STEP))
            left = left or self.random.sample(faults, len(faults))
            asyncio.ensure_future(self.under_cut(left.pop()))

    async def under_cut(self, fault):
        self.busy += 1
        self.disturbances[fault.__name__] += 1
        try:
            await fault()
        finally:
            self.busy -= 1

    async def start_store(self):
        self.store = FleetStore()

    async def start_hosts(self):
        self.gateways = [ReachedHost(self, n) for n in range(fault_soak.GATEWAYS)]
        for it in self.gateways:
            await it.open_ways(self.gateways)
        for it in self.gateways:
            await it.start([])
        await asyncio.sleep(2.5)
        self.begun = time.monotonic()


def run_seed(binary, seed):
    directory = pathlib.Path(tempfile.mkdtemp(prefix=f"oriole-cuts-{seed}-"))
    test = CutHosts(binary, seed, directory)
    run_to_end(test, test.run())
    print(f"cut hosts: seed {seed}, {test.counts['served']} served, "
          f"{test.counts['other']} not, "
          f"{', '.join(f'{n} {kind}' for kind, n in test.disturbances.items())}; "
          f"in the logs {', '.join(f'{n} {k}' for k, n in test.seen_in_logs.items())}; "
          f"{test.copies} copies of refusals; "
          f"{len(test.extras)} extra sends, {test.peak:.2f} of the budget at most; "
          f"{len(test.failures)} broken promises", flush=True)
    return print_failures(test, 10)


def main():
    run_given_seeds(SEED, run_seed)


if __name__ == "__main__":
    main()
