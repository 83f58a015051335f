"""Callers that keep their connections in use while one gateway stops.

A gateway gets SIGTERM in calm, with requests in progress and others waiting for
a slot. The time until SIGKILL is a short one, then a long one. Until the process
is gone, requests of every kind are sent each 100 ms, on open connections where
there are any. Their work takes up to their time limit, which for uploads is more
than the shorter grace. Checked is that

- each request that was read gets a whole answer;
- a request that was refused as unrun never runs;
- nothing is taken that the process cannot end in time: requests that are sent
  in the last half of the grace are refused, and one that is sent later than 3 s
  after SIGTERM and taken has its whole time limit;
- the process ends within the grace.

usage: planned_stop.py BUILD
"""

import asyncio
import json
import pathlib
import sys
import tempfile
import time

import fault_soak
from fault_soak import (Gateway, Soak, Upstream, answer, read_message,
                        refusal)

# Time limit and latency target of each kind, in milliseconds.
KINDS = {"read": (1500, 500), "once": (2500, 1000), "upload": (8000, 1500)}
# Requests that are in progress or wait when the stop begins, of each kind.
BEFORE = 14
STEP = 0.1
# Seconds from SIGTERM to SIGKILL, and upstreams: few, at which requests wait,
# then so many that what is taken late in a long stop runs at once.
STOPS = ((fault_soak.GRACE, 5), (10.0, 40))
# Requests that are sent later after SIGTERM are not cut, in seconds.
CUT_ALLOWANCE = 3.0
# A caller whose request crosses the close of its connection learns of it
# within this time, in seconds.
CROSSING = 0.2


class WorkingUpstream(Upstream):
    """Works for the time that the path names, or until the deadline."""

    async def run(self, writer, line, fields, body):
        rid = fields.get("request-id", "")
        if fields.get("expect-instance") not in (None, self.name):
            writer.write(refusal(421, rid, [("Instance-Id", self.name)]))
            return
        self.soak.note_run(rid, self, line)
        work = int(line.split(" ")[1].split("/")[2])
        limit = int(fields.get("deadline-ms", "1000000"))
        own = [("Server-Stamp", self.name), ("Request-Id", rid)]
        await asyncio.sleep(min(work, limit) / 1000)
        writer.write(answer(200 if work <= limit else 504, rid.encode(), own))
        await writer.drain()


class PlannedStop(Soak):
    gateway_type = Gateway
    grace, upstream_count = STOPS[0]

    def __init__(self, binary, directory):
        super().__init__(binary, 1, 0, directory)
        self.idle = []
        self.ends = {}

    async def publish(self):
        routes = {
            kind: {"hostname": "x.example", "path_prefix": f"/{kind}/",
                   "kind": {"read": "safe", "once": "unsafe"}.get(kind, kind),
                   "timeout": f"{limit}ms", "target_latency": f"{target}ms",
                   "priority": 1, "service": "s", "max_attempts": 2}
            for kind, (limit, target) in KINDS.items()
        }
        document = {"version": "r1", "routes": routes, "services": {
            "s": {"health_path": "/health", "max_connections": 100}}}
        await self.store.put("keyed.op", "config", json.dumps(document))

    def work_of(self, kind, number):
        """Milliseconds: mostly a fraction of the limit, at times all of it."""
        limit = KINDS[kind][0]
        return limit if number % 7 == 0 else limit // 5 + number * 37 % 300

    async def connection(self, gateway):
        """An idle connection, or a new one while the gateway listens."""
        while self.idle:
            reader, writer = self.idle.pop()
            if not reader.at_eof():
                return reader, writer
            writer.close()
        return await asyncio.open_connection("127.0.0.1", gateway.ports["front"])

    async def send(self, gateway, kind, number):
        rid = f"{kind}-{number}"
        limit = KINDS[kind][0]
        body = b"" if kind == "read" else b"x" * 2000
        method = "GET" if kind == "read" else "POST"
        text = (f"{method} /{kind}/{self.work_of(kind, number)} HTTP/1.1\r\n"
                f"Host: x.example\r\nRequest-Id: {rid}\r\nDeadline-Ms: {limit}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        try:
            reader, writer = await self.connection(gateway)
        except OSError:
            return
        began = time.monotonic()
        try:
            writer.write(text)
            await writer.drain()
            line, fields, got = await asyncio.wait_for(read_message(reader), 10)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            writer.close()
            self.judge_end(rid, began, error)
            return
        status = int(line.split(" ")[1])
        self.ends[status] = self.ends.get(status, 0) + 1
        self.judge_answer(rid, status, got, began)
        if fields.get("connection", "").lower() == "close":
            writer.close()
        else:
            self.idle.append((reader, writer))

    def since_stop(self, at):
        return at - self.stopping_at if self.stopping_at else 0.0

    def judge_end(self, rid, began, error):
        ran = self.runs.get(rid, 0)
        waited = time.monotonic() - began
        if ran or waited > CROSSING:
            self.fail(f"{rid}, sent {self.since_stop(began):.2f} s after the stop, "
                      f"ran {ran} times and got no answer in {waited:.2f} s: {error!r}")

    def judge_answer(self, rid, status, got, began):
        if status == 200 and got != rid.encode():
            self.fail(f"{rid} got another answer: {got[:60]!r}")
        if status in (503, 429):
            self.refused.add(rid)
            if self.runs.get(rid):
                self.fail(f"{rid} was refused unrun and had run")
        elif self.since_stop(began) > self.grace / 2 + STEP:
            self.fail(f"{rid} was taken {self.since_stop(began):.2f} s after the stop")
        elif status != 200 and self.since_stop(began) > CUT_ALLOWANCE:
            waited = time.monotonic() - began
            # Upstreams give up a moment before the caller's time is over.
            if waited < KINDS[rid.split("-")[0]][0] / 1000 * 0.9:
                self.fail(f"{rid}, sent {self.since_stop(began):.2f} s after the stop, "
                          f"was cut with {status} after {waited:.2f} s")

    async def start(self, store, upstream_type, count):
        """Starts a store, upstreams and one gateway, and lets them settle."""
        self.begun = time.monotonic()
        self.stopping_at = None
        self.store = store
        _, self.store_port = await fault_soak.serve(self.store.handle)
        await self.publish()
        self.upstreams = [upstream_type(self, f"i-{n}") for n in range(count)]
        for it in self.upstreams:
            await it.start()
        self.gateway = self.gateway_type(self, 0)
        self.gateways = [self.gateway]
        await self.gateway.start([])
        await asyncio.sleep(2.5)

    def begin_stop(self, gateway):
        gateway.process.terminate()

    async def run_checks(self, checks):
        for check in checks:
            try:
                await check()
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
                self.fail(f"{check.__name__}: {error!r}")

    async def run(self):
        await self.start(fault_soak.Store(), WorkingUpstream, self.upstream_count)
        gateway = self.gateway
        numbers = iter(range(1, 100000))
        sends = []

        def send_all(kinds):
            for kind in kinds:
                sends.append(asyncio.ensure_future(
                    self.send(gateway, kind, next(numbers))))

        for _ in range(BEFORE):
            send_all(KINDS)
            await asyncio.sleep(0.02)
        # Shortly before the stop more uploads wait than can end in the grace.
        send_all(["upload"] * BEFORE)
        await asyncio.sleep(0.05)
        self.stopping_at = time.monotonic()
        self.begin_stop(gateway)
        while gateway.process.returncode is None and self.since_stop(time.monotonic()) < self.grace:
            send_all(KINDS)
            await asyncio.sleep(STEP)
        if gateway.process.returncode is None:
            self.fail(f"the gateway runs {self.grace} s after SIGTERM")
            gateway.process.kill()
        await asyncio.gather(*sends)
        for _, writer in self.idle:
            writer.close()


def run_and_report(test, run, summary):
    """Runs a test to its end and exits with its broken promises, if any.

    summary is called after the run and says what was seen.
    """
    fault_soak.run_to_end(test, run)
    print(f"{summary()}{len(test.failures)} broken promises", flush=True)
    for it in test.failures[:20]:
        print(f"  {it}", flush=True)
    if test.failures:
        sys.exit(f"logs: {test.dir}")


def gateway_of_build(name):
    """The program to test, and a new folder for its logs."""
    return (pathlib.Path(sys.argv[1]).resolve() / "oriole-gateway",
            pathlib.Path(tempfile.mkdtemp(prefix=f"oriole-{name}-")))


def main():
    for grace, upstream_count in STOPS:
        test = PlannedStop(*gateway_of_build("stop"))
        test.grace, test.upstream_count = grace, upstream_count

        def summary():
            ends = ", ".join(f"{n} with {status}"
                             for status, n in sorted(test.ends.items()))
            return f"planned stop in {test.grace:.0f} s: {ends}; "

        run_and_report(test, test.run(), summary)


if __name__ == "__main__":
    main()
