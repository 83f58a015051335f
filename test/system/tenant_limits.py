#!/usr/bin/env python3
"""Limits of tenants over several hosts, of which some are killed and paused.

Hosts run as separate processes beside a stand-in store. One tenant asks for ten
times its limit at all hosts, another for less than its limit. Checked from
outside is that

- in no window do more requests of a tenant arrive at upstreams and run than its
  rate and burst allow, of those that were sent in the window, whatever happens to
  the hosts;
- in calm times the first tenant can use most of its limit, and the second is
  never refused for it;
- a refusal beyond the limit comes at once and says when to return.

usage: tenant_limits.py BUILD [SEED...]
"""

import asyncio
import json
import pathlib
import tempfile
import time

import fault_soak
from fault_soak import (Gateway, Soak, Upstream, print_failures, read_message, run_given_seeds,
                        run_to_end, serve)

SEED = 45
HOSTS = 4
# Requests a second and burst of each tenant, and callers at work for it.
LIMITS = {"hot": (40, 40), "calm": (80, 40)}
CALLERS = {"hot": 16, "calm": 3}
# Mean time between two requests of a caller, in seconds.
PAUSE = {"hot": 0.03, "calm": 0.25}
WINDOWS = (1.0, 2.0, 10.0)
# Hosts own no share for 3 s after their start, and asks settle behind that.
START = 7.0
CALM = 5.0
FAULTS = 9.0
# Part of the limit that must be used in calm times.
USED = 0.6
# A refusal waits for the answer of an owner at most, in seconds.
AT_ONCE = 0.9


class CountingUpstream(Upstream):
    """Notes when a request of a tenant arrived that it runs."""

    proxied = False
    work = (0.002, 0.01)

    async def turn_away(self, writer, fields):
        rid = fields["request-id"]
        self.soak.arrivals.append((time.monotonic(), rid, fields.get("tenant")))
        return False


class TenantLimits(Soak):
    def __init__(self, binary, seed, directory):
        super().__init__(binary, seed, 0, directory)
        self.arrivals = []
        self.sent = {}
        self.refusals = []
        self.numbers = iter(range(1, 1000000))

    async def publish(self):
        document = {
            "version": "r1",
            "routes": {"read": self.route("/read/", "safe")},
            "services": {"s": {"health_path": "/health", "max_connections": 200}},
            "tenants": {name: {"api_keys": [f"key-{name}"], "rate_per_s": rate, "burst": burst}
                        for name, (rate, burst) in LIMITS.items()},
        }
        await self.store.put("keyed.op", "config", json.dumps(document))

    async def caller(self, tenant):
        while not self.ended:
            gateway = self.random.choice(self.gateways)
            rid = f"{tenant}-{next(self.numbers)}"
            await self.ask(gateway, tenant, rid)
            await asyncio.sleep(self.random.expovariate(1 / PAUSE[tenant]))

    async def ask(self, gateway, tenant, rid):
        began = self.sent[rid] = time.monotonic()
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", gateway.ports["front"]), 1)
            writer.write((f"GET /read/1 HTTP/1.1\r\nHost: x.example\r\nRequest-Id: {rid}\r\n"
                          f"Deadline-Ms: 2000\r\nX-Api-Key: key-{tenant}\r\n\r\n").encode())
            line, fields, _ = await asyncio.wait_for(read_message(reader), 4)
            writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return
        if " 429 " in line:
            now = time.monotonic()
            self.refusals.append((now, tenant, now - began))
            if float(fields.get("retry-after", "0")) <= 0:
                self.fail(f"the 429 of {rid} does not say when to return")

    async def inject(self):
        """Hosts are killed and paused, one or two at a time."""
        end = time.monotonic() + FAULTS
        while time.monotonic() < end:
            gateway = self.random.choice(self.gateways)
            if self.random.random() < 0.5:
                await gateway.kill()
            else:
                await gateway.pause(self.random.uniform(0.3, 2.0))
            await asyncio.sleep(self.random.uniform(0.0, 0.8))

    def check_windows(self, tenant):
        rate, burst = LIMITS[tenant]
        own = [(at, self.sent[rid]) for at, rid, name in self.arrivals if name == tenant]
        for length in WINDOWS:
            allowed = rate * length + burst
            worst = 0
            first = 0
            for n, (at, _) in enumerate(own):
                while own[first][0] < at - length:
                    first += 1
                inside = sum(1 for _, sent in own[first:n + 1] if sent >= at - length)
                worst = max(worst, inside)
            if worst > allowed:
                self.fail(f"{worst} requests of {tenant} in {length} s, {allowed:.0f} allowed")
        return len(own)

    def check_calm(self, begin, end):
        rate, _ = LIMITS["hot"]
        used = sum(1 for at, _, name in self.arrivals if name == "hot" and begin <= at < end)
        if used < USED * rate * (end - begin):
            self.fail(f"{used} requests of hot in {end - begin:.1f} calm seconds at {rate} a second")
        late = [took for at, name, took in self.refusals
                if begin <= at < end and took > AT_ONCE]
        if late:
            self.fail(f"{len(late)} refusals in calm times took up to {max(late):.2f} s")
        wrong = sum(1 for at, name, _ in self.refusals if name == "calm" and begin <= at < end)
        if wrong:
            self.fail(f"{wrong} requests of calm were refused within the limit")
        return used

    async def run(self):
        self.begun = time.monotonic()
        self.store = fault_soak.Store()
        _, self.store_port = await serve(self.store.handle)
        await self.publish()
        self.upstreams = [CountingUpstream(self, f"i-{n}") for n in range(5)]
        for it in self.upstreams:
            await it.start()
        self.gateways = [Gateway(self, n) for n in range(HOSTS)]
        for it in self.gateways:
            it.bootstrap = True
            await it.start([f"127.0.0.1:{g.ports['control']}" for g in self.gateways[:2]])
        await asyncio.sleep(2.5)
        for it in self.gateways:
            settings = json.loads(it.path.read_text())
            it.path.write_text(json.dumps({**settings, "bootstrap": False}))
        tasks = [asyncio.ensure_future(self.caller(name))
                 for name, n in CALLERS.items() for _ in range(n)]
        await asyncio.sleep(START)
        begin = time.monotonic()
        await asyncio.sleep(CALM)
        self.used = self.check_calm(begin, time.monotonic())
        await self.inject()
        await asyncio.sleep(1.0)
        await self.end(tasks)
        self.ran = {name: self.check_windows(name) for name in LIMITS}
        if not any(name == "hot" for _, name, _ in self.refusals):
            self.fail("an empty run: nothing was refused")


def run_seed(binary, seed):
    test = TenantLimits(binary, seed,
                        pathlib.Path(tempfile.mkdtemp(prefix=f"oriole-limits-{seed}-")))
    run_to_end(test, test.run())
    print(f"tenant limits, seed {seed}: {test.ran} ran, {test.used} of hot in {CALM} calm seconds, "
          f"{len(test.refusals)} refused, {len(test.failures)} failures", flush=True)
    return print_failures(test, 10)


def main():
    run_given_seeds(SEED, run_seed)


if __name__ == "__main__":
    main()
