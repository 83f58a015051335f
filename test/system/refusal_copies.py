#!/usr/bin/env python3
"""Upstreams that restart under a new id at the same address, refuse requests and
write some refusals twice.

The old entry of an upstream stays in the register for a while, so a request for
it meets the new process, is refused with 421, and may be placed at the same
address again. A copy of the refusal bears the id of that request. Believed, it
has the request refused although it runs, or, where there are upstreams enough,
run once more elsewhere. Checked is, beside one gateway process, with few
upstreams and with several, that

- a request that must not repeat runs at most once;
- one that was refused as unrun has not run and never runs;
- a success is the answer to the request itself;
- most requests are served.

usage: refusal_copies.py BUILD [SEED]
"""

import asyncio
import random
import sys

import fault_soak
from fault_soak import (Upstream, answer, print_failures, read_message,
                        run_to_end)
from planned_stop import PlannedStop, gateway_of_build

SEED = 41
CALLERS = 12
SECONDS = 8.0
# Time for which the entry of an ended process stays in the register, in seconds.
OLD_ENTRY = 1.5
# Share of the refusals that are written twice.
COPIED = 0.9
# Share of the requests that are refused although the upstream could run them.
REFUSED = 0.02


class Shape:
    """Upstreams, and what they do to callers."""

    def __init__(self, upstreams, restart_gap, served_share):
        self.upstreams = upstreams
        # Time between two restarts, in seconds.
        self.restart_gap = restart_gap
        # Share of the requests that must be served. The others meet an upstream
        # that is gone, or several that refuse.
        self.served_share = served_share


# With few upstreams a refused request finds no third place, and with several it
# is sent to one.
SHAPES = (Shape(3, (0.1, 0.3), 0.5), Shape(8, (0.15, 0.45), 0.8))


class RestartingUpstream(Upstream):
    """One address; each start has another id and closes no connection."""

    copied = COPIED
    copied_in_front = 0.7

    proxied = False

    async def run(self, writer, line, fields, body):
        rid = fields.get("request-id", "")
        if fields.get("expect-instance") not in (None, self.name):
            self.note_arrival(rid, writer, "refused 421")
            await self.refuse(writer, 421, rid, [("Instance-Id", self.name)])
            return
        if self.soak.chance.random() < REFUSED:
            self.note_arrival(rid, writer, "refused 503")
            await self.refuse(writer, 503, rid, [("Not-Executed", "1")])
            return
        self.note_arrival(rid, writer, "ran")
        self.soak.note_run(rid, self, line)
        await asyncio.sleep(self.soak.chance.uniform(0.005, 0.03))
        own = [("Server-Stamp", self.name), ("Request-Id", rid)]
        writer.write(answer(200, rid.encode() * 20, own))
        await writer.drain()

    def note_arrival(self, rid, writer, end):
        caller = writer.get_extra_info("peername")[1]
        self.soak.arrivals.setdefault(rid, []).append(
            f"{end} at {self.name} on {caller}")


class RefusalCopies(PlannedStop):
    def __init__(self, binary, directory, seed, shape):
        super().__init__(binary, directory)
        self.chance = self.change_random = random.Random(seed)
        self.shape = shape
        self.numbers = iter(range(1, 1000000))
        # What became of each request at the upstreams.
        self.arrivals = {}
        self.broken = set()

    async def ask(self, kind):
        rid = f"{kind}-{next(self.numbers)}"
        body = b"" if kind == "read" else b"x" * 200
        method = "GET" if kind == "read" else "POST"
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.gateway.ports["front"])
        writer.write((f"{method} /{kind}/0 HTTP/1.1\r\nHost: x.example\r\n"
                      f"Request-Id: {rid}\r\nDeadline-Ms: 1500\r\n"
                      f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
        try:
            line, fields, got = await asyncio.wait_for(read_message(reader), 6)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self.counts["other"] += 1
            return
        finally:
            writer.close()
        status = int(line.split(" ")[1])
        self.counts["served" if status == 200 else "other"] += 1
        if status == 200 and got != rid.encode() * 20:
            self.fail(f"{rid} got another answer: {got[:60]!r}")
        if status in (503, 429, 408, 421):
            self.refused.add(rid)
            if kind != "read" and self.runs.get(rid):
                self.broken.add(rid)
                self.fail(f"{rid} ran and was refused with {status} as unrun")
            await asyncio.sleep(float(fields.get("retry-after", "0")))

    async def caller(self):
        until = asyncio.get_running_loop().time() + SECONDS
        while asyncio.get_running_loop().time() < until:
            await self.ask(self.chance.choice(("once", "once", "upload", "read")))
            await asyncio.sleep(self.chance.uniform(0, 0.02))

    async def restarts(self):
        while True:
            asyncio.ensure_future(self.chance.choice(self.upstreams).restart(OLD_ENTRY))
            await asyncio.sleep(self.chance.uniform(*self.shape.restart_gap))

    def note_run(self, rid, upstream, line):
        super().note_run(rid, upstream, line)
        if not rid.startswith("read") and self.runs[rid] > 1:
            self.broken.add(rid)
        if rid.startswith("upload") and self.runs[rid] > 1:
            self.fail(f"request {rid} ran {self.runs[rid]} times")

    async def run(self):
        await self.start(fault_soak.Store(), RestartingUpstream,
                         self.shape.upstreams)
        restarting = asyncio.ensure_future(self.restarts())
        await asyncio.gather(*[self.caller() for _ in range(CALLERS)])
        restarting.cancel()
        total = sum(self.counts.values())
        if not self.copies:
            self.fail("no copy of a refusal in the whole run")
        if self.counts["served"] < self.shape.served_share * total:
            self.fail(f"{self.counts['served']} of {total} served")
        for it in sorted(self.broken):
            self.fail(f"{it} at the upstreams: {'; '.join(self.arrivals[it])}")


def run_shape(seed, shape):
    test = RefusalCopies(*gateway_of_build("refusals"), seed, shape)
    run_to_end(test, test.run())
    print(f"refusal copies: seed {seed}, {shape.upstreams} upstreams, "
          f"{test.counts['served']} served, {test.counts['other']} not, "
          f"{test.refusals} refusals, {test.copies} copies; "
          f"{len(test.failures)} broken promises", flush=True)
    return print_failures(test, 20)


def main():
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else SEED
    clean = [run_shape(seed, it) for it in SHAPES]
    sys.exit(0 if all(clean) else 1)


if __name__ == "__main__":
    main()
