#!/usr/bin/env python3
"""Two dispatchers act for one service at the same time.

The dispatcher of a service, found from the logs, is frozen for less and for more
than the time at which it counts as lost, is woken while the next one places, is
stopped, killed or cut off from the store. Requests wait in line at both, and
places come late. Upstreams are slow, refuse, restart and lose answers, so that
requests are sent more than once. Checked from outside, beside what the soak
checks of each answer, is that

- a request that must not repeat runs at most once;
- one that was refused as unrun has not run and never runs;
- the sends beyond the first of each request stay within the budget of the
  service, in each window and summed over all hosts, also where an upstream
  refuses them;
- a request that was read by a host which is not disturbed itself is answered;
- after the faults, requests are served again.

usage: two_dispatchers.py BUILD [SEED...]
"""

import asyncio
import bisect
import collections
import pathlib
import re
import tempfile
import time

import fault_soak
from fault_soak import (GRACE, Gateway, Soak, Upstream, print_failures, run_given_seeds,
                        run_to_end, serve)

SEED = 30
SECONDS = 14.0
# More than can be served at once, so that requests wait in line.
CALLERS = 40
# Time that an upstream works on a request, in seconds.
WORK = (0.04, 0.3)
# Budget of extra sends that the settings give. The slack is small, so that a
# budget that is spent twice exceeds it.
BOUNDS = {"retry_ratio": 0.1, "retry_window": 3.0, "retry_slack": 12}
# A dispatcher counts as late after 80 ms and as lost after 250 ms. Freezes, in
# seconds, on either side of both.
FREEZES = ((0.03, 0.08), (0.08, 0.25), (0.25, 0.5), (0.5, 2.0))
# Mean time between two disturbances of a dispatcher, in seconds.
STEP = 0.5
# Time for which an upstream refuses or loses answers, in seconds.
SPELL = (0.3, 1.5)
# Without these events a run has shown nothing.
WANTED = ("second", "late", "lost", "line_at_first")


class SlowUpstream(Upstream):
    proxied = False
    work = WORK


class Host(Gateway):
    bounds = {"retry_ratio": BOUNDS["retry_ratio"],
              "retry_window": f"{int(BOUNDS['retry_window'])}s",
              "retry_slack": BOUNDS["retry_slack"]}

    # Killed and not started again.
    dead = False

    async def kill(self):
        self.dead = True
        await super().kill()

    async def spawn(self):
        await super().spawn()
        self.dead = False

    def work_as_dispatcher(self):
        """Requests in flight and in line by the host's last report as the first
        dispatcher of the service; -1 when it is not that."""
        lines = re.findall(r"event=dispatch_state service=s .*", self.log())
        if not lines or "primary=yes" not in lines[-1]:
            return -1
        return sum(int(n) for n in re.findall(r"in_(?:line|flight)=(\d+)", lines[-1]))


class TwoDispatchers(Soak):
    wanted = WANTED

    def __init__(self, binary, seed, directory):
        super().__init__(binary, seed, SECONDS, directory)
        self.held = set()
        # Times at which callers sent, and at which more sends than the first of a
        # request arrived.
        self.asks = []
        self.extras = []
        self.seen = set()
        self.disturbances = collections.Counter()
        self.peak = 0.0
        self.seen_in_logs = collections.Counter()

    def note_arrival(self, rid, life):
        if rid in self.seen:
            self.extras.append(time.monotonic())
        self.seen.add(rid)

    async def request(self, gateway, kind, rid):
        self.asks.append(time.monotonic())
        return await super().request(gateway, kind, rid)

    def judge_cut(self, gateway, life, sent, rid, error):
        """Only a fault of the host itself excuses that it does not answer."""
        if not sent or life != gateway.life or gateway.killed_at > sent:
            return
        # The request crossed the end of the process.
        if gateway.dead:
            return
        # A request that crosses the end of the process was not read.
        stopped = gateway.stopped_at
        if stopped and sent - stopped > GRACE * 0.4:
            return
        self.fail(f"{gateway.name} did not answer {rid}: {error!r}")

    def judge_budget(self):
        """Every window that begins with an extra send."""
        window = BOUNDS["retry_window"]

        def count(times, begin):
            return (bisect.bisect_right(times, begin + window) -
                    bisect.bisect_left(times, begin))

        for begin in self.extras:
            extras = count(self.extras, begin)
            requests = max(count(self.asks, begin - back * window) for back in (0, 0.5, 1))
            allowed = BOUNDS["retry_ratio"] * requests + BOUNDS["retry_slack"]
            self.peak = max(self.peak, extras / allowed)
            if extras > allowed:
                self.fail(f"{extras} extra sends in the window from "
                          f"{begin - self.begun:.2f} s, {allowed:.1f} allowed")
                return

    def dispatchers(self):
        """Hosts that see themselves as dispatcher, the busiest first."""
        work = {it: it.work_as_dispatcher() for it in self.gateways}
        return sorted((it for it in work if work[it] >= 0), key=work.get, reverse=True)

    async def freeze(self, host):
        await host.pause(self.random.uniform(*self.random.choice(FREEZES)))

    async def freeze_often(self, host):
        """Places that come late, one after another."""
        for _ in range(self.random.randint(3, 8)):
            await host.pause(self.random.uniform(0.06, 0.2))
            await asyncio.sleep(self.random.uniform(0.01, 0.08))

    async def freeze_to_stop(self, host):
        """It stops, or ends, in the moment in which it wakes up."""
        await self.freeze(host)
        await self.random.choice((host.stop, host.kill))()

    async def stop(self, host):
        await host.stop()

    async def kill(self, host):
        await host.kill()

    async def cut_off(self, host):
        await self.hold(host.proxy, ("delay", "silent", "reset", "cut_up", "cut_down"))

    async def inject(self):
        faults = [self.freeze] * 4 + [self.freeze_often] * 2 + [
            self.freeze_to_stop, self.stop, self.kill, self.cut_off]
        left = []
        while time.monotonic() - self.begun < self.seconds:
            await asyncio.sleep(self.random.expovariate(1 / STEP))
            # Mostly the dispatcher in office, at times the next one beside it.
            found = [it for it in self.dispatchers() if it not in self.held]
            others = [it for it in self.gateways if it not in found and it not in self.held]
            if others and (not found or self.random.random() < 0.25):
                found.insert(0, self.random.choice(others))
            # One host at least goes on.
            if found and len(self.held) < len(self.gateways) - 1:
                # Each fault comes in every round, however few a run has.
                left = left or self.random.sample(faults, len(faults))
                asyncio.ensure_future(self.disturb(left.pop(), found[0]))

    async def disturb(self, fault, host):
        self.held.add(host)
        self.busy += 1
        self.disturbances[fault.__name__] += 1
        try:
            await fault(host)
        finally:
            self.busy -= 1
            self.held.discard(host)

    async def inject_spells(self):
        """Upstreams that refuse, or that run requests and lose the answers."""
        while time.monotonic() - self.begun < self.seconds:
            await asyncio.sleep(self.change_random.uniform(0, 1))
            upstream = self.change_random.choice(self.upstreams)
            if upstream.mode == "good":
                asyncio.ensure_future(self.spell(upstream))

    async def spell(self, upstream):
        self.busy += 1
        upstream.mode = self.change_random.choice(("errors", "hang", "lose", "cut", "shed", "shed"))
        await asyncio.sleep(self.change_random.uniform(*SPELL))
        upstream.mode = "good"
        self.busy -= 1

    def read_logs(self):
        """Sums up who placed requests, and how often a host had a line of them
        as the first dispatcher and as another."""
        out = self.seen_in_logs
        for path in self.dir.glob("*.log"):
            text = path.read_text(errors="replace")
            for line in re.findall(r"event=placements (.*)", text):
                out.update({k: int(n) for k, n in re.findall(r"(\w+)=(\d+)", line)})
            for line in re.findall(r"event=dispatch_state (.*)", text):
                if "in_line=0" not in line:
                    out["line_at_first" if "primary=yes" in line else "line_at_other"] += 1

    async def start_store(self):
        self.store = fault_soak.Store()
        _, self.store_port = await serve(self.store.handle)

    async def start_hosts(self):
        self.gateways = [Host(self, n) for n in range(fault_soak.GATEWAYS)]
        seeds = [f"127.0.0.1:{g.ports['control']}" for g in self.gateways[:2]]
        for it in self.gateways:
            await it.start(seeds)
        await asyncio.sleep(2.5)

    async def run(self):
        self.begun = time.monotonic()
        await self.start_store()
        await self.publish()
        self.upstreams = [SlowUpstream(self, f"i-{n}") for n in range(fault_soak.UPSTREAMS)]
        for it in self.upstreams:
            await it.start()
        await self.start_hosts()
        callers = [asyncio.ensure_future(self.caller(n)) for n in range(CALLERS)]
        await asyncio.gather(self.inject(), self.inject_spells(), self.inject_changes())
        while self.busy or self.changing:
            await asyncio.sleep(0.1)
        await self.check_recovery()
        await self.end(callers)
        self.judge_budget()
        self.read_logs()
        missing = [it for it in self.wanted if not self.seen_in_logs[it]]
        if missing or not self.extras:
            self.fail(f"an empty run: {len(self.extras)} extra sends, none of {missing}")


def run_seed(binary, seed):
    directory = pathlib.Path(tempfile.mkdtemp(prefix=f"oriole-dispatchers-{seed}-"))
    test = TwoDispatchers(binary, seed, directory)
    run_to_end(test, test.run())
    print(f"two dispatchers: seed {seed}, {test.counts['served']} served, "
          f"{test.counts['other']} not, "
          f"{', '.join(f'{n} {kind}' for kind, n in test.disturbances.items())}; "
          f"in the logs {', '.join(f'{n} {k}' for k, n in test.seen_in_logs.items())}; "
          f"{len(test.extras)} extra sends, {test.peak:.2f} of the budget at most; "
          f"{len(test.failures)} broken promises", flush=True)
    return print_failures(test, 10)


def main():
    run_given_seeds(SEED, run_seed)


if __name__ == "__main__":
    main()
