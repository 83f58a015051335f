#!/usr/bin/env python3
"""Keys of tenants that come and go in quick succession.

Hosts run as separate processes beside a stand-in store; one of them is cut off
from the store at times and learns of versions from the others. Callers use keys
that are in force, keys that were taken away and wrong ones, name a tenant
themselves, and use a public route. Checked from outside is that

- an upstream gets the tenant whose key the caller sent, none on a public route
  without a key, and never a key;
- a key that a version added is known, and one that a version took away is not,
  from 2 s after the store took that version, at all hosts;
- a key of all versions is never refused, and a wrong one never passed;
- no host writes a key to its log or its metrics.

usage: tenant_keys.py BUILD [SEED...]
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
SECONDS = 12.0
HOSTS = 3
CALLERS = 9
TENANTS = ("ann", "bob", "eve")
# Keys that are in force beside the lasting one of each tenant.
ROLLING = 2
# A version is in force on all hosts this long after the store took it, in seconds.
APPLY = 2.0
# Time between two versions, in seconds.
STEP = (0.15, 1.2)


class WatchingUpstream(Upstream):
    """Notes whose request it got. Refuses none."""

    proxied = False

    async def turn_away(self, writer, fields):
        rid = fields["request-id"]
        self.soak.got[rid] = fields.get("tenant")
        if "x-api-key" in fields:
            self.soak.fail(f"{rid} reached {self.name} with its key")
        return False


class TenantKeys(Soak):
    def __init__(self, binary, seed, directory):
        super().__init__(binary, seed, SECONDS, directory)
        # Tenant that each request was passed on for.
        self.got = {}
        # Rolling keys of each tenant, and of all keys when versions with and
        # without them were taken.
        self.rolling = {it: [] for it in TENANTS}
        self.added = {}
        self.removed = {}
        self.statuses = {}
        self.numbers = iter(range(1, 1000000))

    def fresh_key(self):
        return f"secret-{self.random.getrandbits(64):016x}"

    async def publish(self):
        """A new version: a tenant gets a key and loses its oldest."""
        self.version += 1
        tenant = TENANTS[self.version % len(TENANTS)]
        key = self.fresh_key()
        self.rolling[tenant].append((key, tenant))
        gone = self.rolling[tenant][:-ROLLING]
        self.rolling[tenant] = self.rolling[tenant][-ROLLING:]
        shut = {kind: self.route(f"/{kind}/", kind_of) for kind, kind_of in
                (("read", "safe"), ("once", "unsafe"))}
        document = {
            "version": f"r{self.version * 3}",
            "routes": {**shut, "open": {**self.route("/open/", "safe"), "public": True}},
            "services": {"s": {"health_path": "/health", "max_connections": 100}},
            "tenants": {it: {"api_keys": [f"lasting-{it}"] + [k for k, _ in self.rolling[it]]}
                        for it in TENANTS},
        }
        # Known from its arrival at the store on, at the earliest.
        self.added[key] = (None, tenant)
        for it, _ in gone:
            self.removed[it] = None
        await self.store.put("keyed.op", "config", json.dumps(document))
        now = time.monotonic()
        self.added[key] = (now, tenant)
        for it, _ in gone:
            self.removed[it] = now

    def choose(self):
        """A key, the tenant that is due at the upstream, and whether it is known:
        None while that may depend on the host."""
        way = self.random.choice(("lasting", "rolling", "gone", "wrong", "none"))
        now = time.monotonic()
        if way == "lasting":
            tenant = self.random.choice(TENANTS)
            return f"lasting-{tenant}", tenant, True
        if way in ("rolling", "gone"):
            keys = ([k for it in self.rolling.values() for k, _ in it] if way == "rolling"
                    else list(self.removed))
            if keys:
                key = self.random.choice(keys)
                added, tenant = self.added[key]
                if key in self.removed:
                    since = self.removed[key]
                    return key, tenant, False if since and now - since > APPLY else None
                return key, tenant, True if added and now - added > APPLY else None
        return (None if way == "none" else self.fresh_key()), None, False

    async def caller(self, number):
        while not self.ended:
            gateway = self.random.choice(self.gateways)
            kind = self.random.choice(("read", "once", "open"))
            key, tenant, known = self.choose()
            rid = f"{kind}-{number}-{next(self.numbers)}"
            fields = "" if key is None else f"X-Api-Key: {key}\r\n"
            if self.random.random() < 0.3:
                fields += self.random.choice(("Tenant: bob\r\n", "tENANT: ann\r\nTenant: x\r\n",
                                              "Connection: tenant\r\nTenant: eve\r\n"))
            status = await self.ask(gateway, kind, rid, fields)
            # It may have been taken away, or been added, meanwhile.
            if known and key in self.removed:
                known = None
            self.check(gateway, kind, rid, status, tenant, known)
            await asyncio.sleep(self.random.uniform(0.0, 0.03))

    async def ask(self, gateway, kind, rid, fields):
        body = "x" * 10 if kind == "once" else ""
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.ports["front"])
        writer.write((f"{'POST' if body else 'GET'} /{kind}/1 HTTP/1.1\r\nHost: x.example\r\n"
                      f"Request-Id: {rid}\r\nDeadline-Ms: 3000\r\n{fields}"
                      f"Content-Length: {len(body)}\r\n\r\n{body}").encode())
        line, got, text = await asyncio.wait_for(read_message(reader), 4)
        writer.close()
        if b"secret-" in text or b"lasting-" in text:
            self.fail(f"the answer to {rid} repeats a key")
        status = int(line.split(" ")[1])
        if status == 401 and ("www-authenticate" not in got or "retry-after" in got):
            self.fail(f"the 401 of {rid} has the fields {got}")
        return status

    def check(self, gateway, kind, rid, status, tenant, known):
        self.statuses[kind, status, known] = self.statuses.get((kind, status, known), 0) + 1
        what = f"{rid} at {gateway.name}, key of {tenant}, known {known}"
        if kind != "open" and known and status == 401:
            self.fail(f"{what}: refused")
        if kind != "open" and known is False and rid in self.got:
            self.fail(f"{what}: reached an upstream")
        if kind == "open" and status == 401:
            self.fail(f"{what}: refused on a public route")
        if rid in self.got and known is not None:
            due = tenant if known else None
            if self.got[rid] != due:
                self.fail(f"{what}: passed on for {self.got[rid]}")
        elif rid in self.got and self.got[rid] not in (tenant, None):
            self.fail(f"{what}: passed on for {self.got[rid]}")

    async def check_metrics(self):
        for it in self.gateways:
            reader, writer = await asyncio.open_connection("127.0.0.1", it.ports["ready"])
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
            _, _, text = await asyncio.wait_for(read_message(reader), 2)
            writer.close()
            if b'workspace="ann",end="answered"' not in text:
                self.fail(f"{it.name} counts nothing for a tenant")
            if b"secret-" in text or b"lasting-" in text:
                self.fail(f"a key in the metrics of {it.name}")
        for path in self.dir.glob("*.log"):
            text = path.read_bytes()
            if b"secret-" in text or b"lasting-" in text:
                self.fail(f"a key in {path.name}")
            if b"workspace=ann" not in text or b"reason=unknown_key" not in text:
                self.fail(f"{path.name} names no tenant, or no unknown key")

    async def cut_off(self):
        """One host at a time without the store; it hears of versions from others."""
        while not self.ended:
            proxy = self.random.choice(self.gateways).proxy
            proxy.set(self.random.choice(("silent", "reset")))
            await asyncio.sleep(self.random.uniform(0.5, 2.5))
            proxy.set("pass")
            await asyncio.sleep(self.random.uniform(1.0, 2.0))

    async def run(self):
        self.begun = time.monotonic()
        self.store = fault_soak.Store()
        _, self.store_port = await serve(self.store.handle)
        await self.publish()
        self.upstreams = [WatchingUpstream(self, f"i-{n}") for n in range(4)]
        for it in self.upstreams:
            await it.start()
        self.gateways = [Gateway(self, n) for n in range(HOSTS)]
        for it in self.gateways:
            await it.start([f"127.0.0.1:{g.ports['control']}" for g in self.gateways[:2]])
        await asyncio.sleep(2.5)
        tasks = [asyncio.ensure_future(self.caller(n)) for n in range(CALLERS)]
        tasks.append(asyncio.ensure_future(self.cut_off()))
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            await asyncio.sleep(self.random.uniform(*STEP))
            await self.publish()
        await self.check_metrics()
        for kind, status, known in (("read", 200, True), ("once", 200, True), ("open", 200, False),
                                    ("read", 401, False), ("once", 401, False)):
            if not self.statuses.get((kind, status, known)):
                self.fail(f"an empty run: no {status} for {kind}, known {known}")
        await self.end(tasks)


def run_seed(binary, seed):
    test = TenantKeys(binary, seed, pathlib.Path(tempfile.mkdtemp(prefix=f"oriole-keys-{seed}-")))
    run_to_end(test, test.run())
    print(f"tenant keys, seed {seed}: {test.version} versions, {len(test.got)} requests passed on, "
          f"{len(test.failures)} failures", flush=True)
    return print_failures(test, 10)


def main():
    run_given_seeds(SEED, run_seed)


if __name__ == "__main__":
    main()
