#!/usr/bin/env python3
"""A gateway and its upstreams are frozen while requests are on their way.

Upstreams stop reading for a time below and above the time limits of requests, and
run what waited in their sockets when they go on, also when nobody waits for it any
more. The gateway is frozen by SIGSTOP, also around SIGTERM, and starts again. Bodies
are larger than what sockets and the gateway keep, callers send them in pieces, and
upstreams refuse some before their end and write copies of refusals in pieces.
Checked is that

- a request that must not repeat runs at most once;
- one that was refused as unrun has not run and never runs;
- a success is the answer to the request itself;
- a request that reached an upstream and was answered with such a promise has a line
  in the log that names it as refused;
- each kind of trouble happened, and requests were served.

usage: frozen_processes.py BUILD [SEED]
"""

import asyncio
import collections
import random
import re
import signal
import socket
import sys
import time

import fault_soak
from fault_soak import Upstream, answer, read_message, refusal
from planned_stop import PlannedStop, gateway_of_build, run_and_report

SEED = 51
UPSTREAMS = 5
CALLERS = 14
SECONDS = 8.0
# Time limits of requests, in milliseconds.
LIMITS = (60, 150, 400, 1200)
# Freezes of an upstream and of the gateway, in seconds, below and above the limits.
UPSTREAM_FREEZES = ((0.02, 0.2), (0.2, 0.6), (0.6, 1.6))
GATEWAY_FREEZES = ((0.01, 0.1), (0.1, 0.5), (0.5, 1.5))
# Mean times between two freezes, and between two stops, in seconds.
UPSTREAM_STEP = 0.25
GATEWAY_STEP = 0.5
STOP_STEP = 1.5
# Below and above what a socket buffers and what the gateway keeps for a repeat.
BODIES = (0, 200, 60_000, 1_500_000, 6_000_000)
BODY_WEIGHTS = (6, 6, 3, 2, 3)
# Bytes that a socket of an upstream takes without being read.
WINDOW = 16 * 1024
# Shares of the requests that an upstream refuses before, in and behind the body.
REFUSED = 0.06
EARLY = 0.5
# Time for a late run of a refused request after the last caller, in seconds.
LATE_RUNS = 2.0


class FrozenUpstream(Upstream):
    async def start(self):
        self.awake = asyncio.Event()
        self.awake.set()
        # The window of its connections is small, so that a body waits at the gateway
        # while the upstream does not read.
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW)
        sock.bind(("127.0.0.1", 0))
        self.port = sock.getsockname()[1]
        await asyncio.start_server(self.handle, sock=sock)
        asyncio.ensure_future(self.beat())

    async def freeze(self, seconds):
        self.awake.clear()
        await asyncio.sleep(seconds)
        self.awake.set()

    async def handle(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await self.awake.wait()
                await self.serve(head.decode("latin1"), reader, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()

    async def serve(self, head, reader, writer):
        chance = self.soak.chance
        line, *rest = head.split("\r\n")
        fields = {n.strip().lower(): v.strip() for n, _, v in
                  (it.partition(":") for it in rest)}
        rid = fields.get("request-id", "")
        length = int(fields.get("content-length", "0"))
        misdirected = fields.get("expect-instance") not in (None, self.name)
        refused = misdirected or chance.random() < REFUSED
        early = refused and length > 0 and chance.random() < EARLY
        if early:
            self.soak.seen["early_refusal"] += 1
            self.refuse_now(writer, misdirected, rid)
            if chance.random() < 0.3:
                await asyncio.sleep(chance.uniform(0, 0.5))
            if chance.random() < 0.3:
                raise ConnectionResetError
        try:
            await reader.readexactly(length)
        except asyncio.IncompleteReadError:
            self.soak.seen["body_cut"] += 1
            raise
        await self.awake.wait()
        if early:
            return
        if refused:
            self.refuse_now(writer, misdirected, rid)
            await self.copy(writer, misdirected, rid)
            return
        self.note_arrival(writer, rid, "ran")
        self.soak.note_run(rid, self, line)
        await asyncio.sleep(chance.uniform(0.005, 0.08))
        await self.awake.wait()
        own = [("Server-Stamp", self.name), ("Request-Id", rid)]
        writer.write(answer(200, rid.encode() * 20, own))

    def text(self, misdirected, rid):
        return (refusal(421, rid, [("Instance-Id", self.name)]) if misdirected else
                refusal(503, rid, [("Not-Executed", "1")]))

    def refuse_now(self, writer, misdirected, rid):
        self.soak.seen["refused"] += 1
        self.note_arrival(writer, rid, "refused 421" if misdirected else "refused 503")
        writer.write(self.text(misdirected, rid))

    def note_arrival(self, writer, rid, end):
        caller = writer.get_extra_info("peername")[1]
        self.soak.arrivals[rid].append(f"{end} at {self.name} on {caller}")

    async def copy(self, writer, misdirected, rid):
        """The refusal once more, in pieces, before the next answer."""
        chance = self.soak.chance
        if chance.random() < 0.3:
            return
        self.soak.seen["copy"] += 1
        await asyncio.sleep(chance.choice((0.0, 0.001, 0.01)))
        text = self.text(misdirected, rid)
        while text:
            n = chance.randint(1, len(text))
            writer.write(text[:n])
            await writer.drain()
            text = text[n:]
            await asyncio.sleep(chance.choice((0, 0.002, 0.02)))


class FrozenProcesses(PlannedStop):
    def __init__(self, binary, directory, seed):
        super().__init__(binary, directory)
        self.chance = self.change_random = random.Random(seed)
        self.numbers = iter(range(1, 1000000))
        self.seen = collections.Counter()
        # Statuses that promise that a request did not run, by request, and what
        # became of each request at the upstreams.
        self.promised = {}
        self.arrivals = collections.defaultdict(list)
        self.over = False

    async def ask(self, kind):
        chance = self.chance
        rid = f"{kind}-{next(self.numbers)}"
        size = 0 if kind == "read" else chance.choices(BODIES, BODY_WEIGHTS)[0]
        method = "GET" if kind == "read" else "POST"
        limit = chance.choice(LIMITS)
        body = b"x" * size
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.gateway.ports["front"])
        except OSError:
            await asyncio.sleep(0.05)
            return
        try:
            writer.write((f"{method} /{kind}/0 HTTP/1.1\r\nHost: x.example\r\n"
                          f"Request-Id: {rid}\r\nDeadline-Ms: {limit}\r\n"
                          f"Content-Length: {size}\r\n\r\n").encode())
            getting = asyncio.ensure_future(read_message(reader))
            while body and not getting.done():
                n = chance.choice((1, len(body) // 4 + 1, len(body)))
                writer.write(body[:n])
                body = body[n:]
                await asyncio.wait_for(writer.drain(), 6)
                await asyncio.sleep(chance.choice((0, 0, 0.01, 0.05)))
            line, fields, got = await asyncio.wait_for(getting, 6)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self.counts["other"] += 1
            getting.cancel()
            await asyncio.gather(getting, return_exceptions=True)
            return
        finally:
            writer.close()
        self.judge_status(rid, kind, int(line.split(" ")[1]), got)
        await asyncio.sleep(min(float(fields.get("retry-after", "0")), 0.1))

    def judge_status(self, rid, kind, status, got):
        self.ends[status] = self.ends.get(status, 0) + 1
        self.counts["served" if status == 200 else "other"] += 1
        if status == 200 and got != rid.encode() * 20:
            self.fail(f"{rid} got another answer: {got[:60]!r}")
        if status in (503, 429, 408, 421):
            self.promised[rid] = status
            if kind != "read":
                self.refused.add(rid)
                if self.runs.get(rid):
                    self.fail(f"{rid} ran and was refused with {status} as unrun: "
                              f"{'; '.join(self.arrivals[rid])}")

    def note_run(self, rid, upstream, line):
        known = len(self.failures)
        super().note_run(rid, upstream, line)
        if rid.startswith("upload") and self.runs[rid] > 1:
            self.fail(f"request {rid} ran {self.runs[rid]} times")
        for n in range(known, len(self.failures)):
            self.failures[n] += f": {'; '.join(self.arrivals[rid])}"

    async def caller(self):
        while not self.over:
            await self.ask(self.chance.choice(("once", "once", "upload", "read")))
            await asyncio.sleep(self.chance.uniform(0, 0.02))

    async def freeze_upstreams(self):
        while not self.over:
            await asyncio.sleep(self.chance.expovariate(1 / UPSTREAM_STEP))
            upstream = self.chance.choice(self.upstreams)
            if upstream.awake.is_set():
                self.seen["upstream_frozen"] += 1
                asyncio.ensure_future(upstream.freeze(
                    self.chance.uniform(*self.chance.choice(UPSTREAM_FREEZES))))

    async def restart_upstreams(self):
        while not self.over:
            await asyncio.sleep(self.chance.uniform(0.3, 0.8))
            asyncio.ensure_future(self.chance.choice(self.upstreams).restart(1.0))

    async def freeze_gateway(self):
        await self.gateway.pause(self.chance.uniform(*self.chance.choice(GATEWAY_FREEZES)))
        self.seen["gateway_frozen"] += 1

    async def disturb_gateway(self):
        next_stop = time.monotonic() + STOP_STEP
        while not self.over:
            await asyncio.sleep(self.chance.expovariate(1 / GATEWAY_STEP))
            if time.monotonic() < next_stop:
                await self.freeze_gateway()
                continue
            self.seen["stopped"] += 1
            process = self.gateway.process
            frozen_first = self.chance.random() < 0.5
            if frozen_first:
                process.send_signal(signal.SIGSTOP)
            stopping = asyncio.ensure_future(self.gateway.stop())
            if frozen_first:
                await asyncio.sleep(self.chance.uniform(0.05, 0.8))
                process.send_signal(signal.SIGCONT)
            while not stopping.done() and self.chance.random() < 0.7:
                await asyncio.sleep(self.chance.uniform(0.05, 1))
                if process.returncode is None:
                    process.send_signal(signal.SIGSTOP)
                    await asyncio.sleep(self.chance.uniform(0.02, 0.4))
                    process.send_signal(signal.SIGCONT)
            await stopping
            next_stop = time.monotonic() + STOP_STEP

    def judge_log(self):
        text = "".join(it.read_text(errors="replace") for it in self.dir.glob("*.log"))
        refused = set(re.findall(r"event=request .*?\bid=(\S+) end=refused", text))
        for rid, status in self.promised.items():
            if rid in self.arrivals and rid not in refused:
                self.fail(f"{rid} reached an upstream and got {status}, and no line "
                          "names it as refused")

    async def run(self):
        await self.start(fault_soak.Store(), FrozenUpstream, UPSTREAMS)
        tasks = [asyncio.ensure_future(it) for it in (
            *(self.caller() for _ in range(CALLERS)), self.freeze_upstreams(),
            self.restart_upstreams(), self.disturb_gateway())]
        await asyncio.sleep(SECONDS)
        self.over = True
        await asyncio.gather(*tasks)
        await asyncio.sleep(LATE_RUNS)
        self.gateway.process.kill()
        await self.gateway.process.wait()
        self.judge_log()
        for it in ("early_refusal", "refused", "copy", "upstream_frozen",
                   "gateway_frozen", "stopped"):
            if not self.seen[it]:
                self.fail(f"an empty run: no {it}")
        if self.counts["served"] < 100:
            self.fail(f"{self.counts['served']} served")


def main():
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else SEED
    test = FrozenProcesses(*gateway_of_build("frozen"), seed)

    def summary():
        ends = ", ".join(f"{n} with {status}" for status, n in sorted(test.ends.items()))
        return (f"frozen processes: seed {seed}, {ends}; "
                f"{', '.join(f'{n} {k}' for k, n in sorted(test.seen.items()))}; ")

    run_and_report(test, test.run(), summary)


if __name__ == "__main__":
    main()
