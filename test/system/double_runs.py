#!/usr/bin/env python3
"""Connections to upstreams that end at any point of a request, at the gateway
process: does a send that reached the upstream count as unsent, is one request
placed twice, or read twice from its caller (hypotheses 2 to 4 of
docs/incidents/refusal-copies.md)?

Upstreams reset or close at accept, in the head, in the body, behind the whole
request, behind its run, and on a kept connection about when the next request
comes. Some leave a body unread until the time limit of the request has passed, and
some refuse or fail a request before its body is there. Callers send requests that
must not repeat, some ahead, and some leave in the middle. A request counts as run
once an upstream has read it in whole, unless the upstream refuses it, or once it
was answered as run before that. Checked is that

- no request runs twice;
- one that was refused as unrun has not run and never runs;
- a success is the whole answer to the request itself;
- each kind of end happened, and requests were served and sent again.

usage: double_runs.py BUILD [SEED]
"""

import asyncio
import collections
import random
import sys

import fault_soak
from fault_soak import Upstream, answer, read_message, refusal
from faulty_upstreams import reset
from planned_stop import PlannedStop, gateway_of_build, run_and_report

SEED = 41
UPSTREAMS = 24
CALLERS = 12
SECONDS = 8.0
# No body, one that comes with the head, one below and one above what a socket
# buffers; the last is rarer, since its bytes take most of the time.
BODIES = (0, 200, 60_000, 1_000_000)
BODY_WEIGHTS = (4, 4, 3, 1)
# Share of the connections that end at accept, and of the requests that meet each
# of the other faults: about four of ten requests meet one.
AT_ACCEPT = 0.02
FAULTS = {"in_head": 0.05, "in_body": 0.05, "before_run": 0.05, "after_run": 0.05,
          "half_answer": 0.03, "early_refusal": 0.06, "early_error": 0.02,
          "late_refusal": 0.03, "when_idle": 0.06, "stalls": 0.02}
# Time limit of the requests, in milliseconds, and the time in seconds for which an
# upstream that stalls leaves a body unread, so that the limit ends in the write.
LIMIT_MS = 1500
STALL = 1.7
# Least share of the answered requests that are served. Six of ten requests meet no
# fault; the rest of the room is for refusals while upstreams are held back.
SERVED_SHARE = 0.25
# Requests that a caller sends ahead at most.
AHEAD = 4
# Share of the callers' turns in which the caller leaves before the answer.
LEAVING = 0.15
# Time for a late run of a refused request after the last caller, in seconds. It is
# above the requests' time limit and a stall.
LATE_RUNS = 2.0


class EndingUpstream(Upstream):
    """Ends connections, or refuses, at the point that is drawn for each request."""

    proxied = False

    def draw(self):
        """The fault of the next request, or nothing."""
        point = self.soak.chance.random()
        for name, share in FAULTS.items():
            point -= share
            if point < 0:
                return name
        return ""

    def note_fault(self, name):
        self.soak.faults_seen[name] += 1

    async def handle(self, reader, writer):
        try:
            if self.soak.chance.random() < AT_ACCEPT:
                self.note_fault("at_accept")
                raise ConnectionError
            while await self.serve_one(reader, writer, self.draw()):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        if self.soak.chance.random() < 0.5:
            reset(writer)
        else:
            writer.close()

    async def serve_one(self, reader, writer, fault):
        """Reads and answers a request; False when the connection is to end."""
        chance = self.soak.chance
        if fault == "in_head":
            if await reader.read(chance.randrange(1, 200)):
                self.note_fault(fault)
            return False
        line, fields, length = await self.read_head(reader)
        rid = fields.get("request-id", "")
        self.soak.heads[rid] += 1
        if fault == "in_body" and length > 0:
            self.note_fault(fault)
            await reader.readexactly(chance.randrange(length))
            return False
        if fault == "early_refusal":
            self.note_fault(fault)
            writer.write(refusal(503, rid, [("Not-Executed", "1")]))
            await writer.drain()
            await reader.readexactly(length)
            return True
        if fault == "early_error":
            self.note_fault(fault)
            self.soak.note_run(rid, self, line)
            writer.write(answer(500, b"", [("Request-Id", rid)]))
            await writer.drain()
            await reader.readexactly(length)
            return True
        if fault == "stalls" and length > 0:
            self.note_fault(fault)
            await reader.readexactly(chance.randrange(length))
            await asyncio.sleep(STALL)
        await reader.readexactly(length)
        if fault == "late_refusal":
            self.note_fault(fault)
            writer.write(refusal(503, rid, [("Not-Executed", "1")]))
            await writer.drain()
            return True
        self.soak.note_run(rid, self, line)
        if fault == "before_run":
            self.note_fault(fault)
            return False
        await asyncio.sleep(chance.uniform(0.001, 0.02))
        if fault == "after_run":
            self.note_fault(fault)
            return False
        own = [("Server-Stamp", self.name), ("Request-Id", rid)]
        whole = answer(200, f"{rid}/{length}/".encode() * 20, own)
        if fault == "half_answer":
            self.note_fault(fault)
            writer.write(whole[:chance.randrange(1, len(whole))])
            await writer.drain()
            return False
        writer.write(whole)
        await writer.drain()
        if fault == "when_idle":
            # The next request comes before the end, at it or behind it.
            self.note_fault(fault)
            await asyncio.sleep(chance.uniform(0, 0.03))
            return False
        return True

    @staticmethod
    async def read_head(reader):
        """First line, header fields and length of the body, which is not read."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
        line, *rest = head.split("\r\n")
        fields = {}
        for it in rest:
            name, _, value = it.partition(":")
            fields[name.strip().lower()] = value.strip()
        return line, fields, int(fields.get("content-length", "0"))


class DoubleRuns(PlannedStop):
    def __init__(self, binary, directory, seed):
        super().__init__(binary, directory)
        self.chance = random.Random(seed)
        self.numbers = iter(range(1, 1000000))
        self.faults_seen = collections.Counter()
        self.ends = collections.Counter()
        # Upstreams' reads of a request's head, by its id.
        self.heads = collections.Counter()

    def note_run(self, rid, upstream, line):
        n = self.runs[rid] = self.runs.get(rid, 0) + 1
        if n > 1:
            self.fail(f"request {rid} ran {n} times, now at {upstream.name}")
        if rid in self.refused:
            self.fail(f"request {rid} ran after it was refused unrun")

    def text(self):
        """Id, size of the body and bytes of a request that must not repeat."""
        kind = self.chance.choice(("once", "upload"))
        rid = f"{kind}-{next(self.numbers)}"
        size = self.chance.choices(BODIES, BODY_WEIGHTS)[0]
        return rid, size, (f"POST /{kind}/0 HTTP/1.1\r\nHost: x.example\r\n"
                           f"Request-Id: {rid}\r\nDeadline-Ms: {LIMIT_MS}\r\n"
                           f"Content-Length: {size}\r\n\r\n").encode() + b"x" * size

    async def turn(self):
        """Requests on one connection, some sent ahead; the caller may leave."""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.gateway.ports["front"])
        sent = [self.text() for _ in range(self.chance.choice((1, 1, 2, AHEAD)))]
        text = b"".join(it for _, _, it in sent)
        if self.chance.random() < LEAVING:
            self.faults_seen["caller_left"] += 1
            writer.write(text[:self.chance.randrange(1, len(text) + 1)])
            await asyncio.sleep(self.chance.uniform(0, 0.03))
            writer.transport.abort()
            return
        writer.write(text)
        if len(sent) > 1:
            self.faults_seen["sent_ahead"] += 1
        for rid, size, _ in sent:
            line, fields, got = await asyncio.wait_for(read_message(reader), 6)
            self.judge(rid, size, int(line.split(" ")[1]), got)
            if fields.get("connection", "").lower() == "close":
                break
        writer.close()

    def judge(self, rid, size, status, got):
        self.ends[status] += 1
        if status == 200 and got != f"{rid}/{size}/".encode() * 20:
            self.fail(f"{rid} got another answer: {got[:60]!r}")
        if status in (503, 429, 408, 421):
            self.refused.add(rid)
            if self.runs.get(rid):
                self.fail(f"{rid} ran and was refused with {status} as unrun")

    async def caller(self):
        until = asyncio.get_running_loop().time() + SECONDS
        while asyncio.get_running_loop().time() < until:
            try:
                await self.turn()
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                self.ends["cut"] += 1
            await asyncio.sleep(self.chance.uniform(0, 0.02))

    def sent_again(self):
        return sum(n > 1 for n in self.heads.values())

    async def run(self):
        await self.start(fault_soak.Store(), EndingUpstream, UPSTREAMS)
        await asyncio.gather(*[self.caller() for _ in range(CALLERS)])
        await asyncio.sleep(LATE_RUNS)
        total = sum(self.ends.values())
        if self.ends[200] < SERVED_SHARE * total or not total:
            self.fail(f"{self.ends[200]} of {total} served")
        if not self.sent_again():
            self.fail("no request was sent again in the whole run")
        for name in ("at_accept", *FAULTS, "caller_left", "sent_ahead"):
            if not self.faults_seen[name]:
                self.fail(f"no {name} in the whole run")


def main():
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else SEED
    test = DoubleRuns(*gateway_of_build("double"), seed)

    def summary():
        ends = ", ".join(f"{n} with {end}" for end, n in test.ends.most_common())
        faults = ", ".join(f"{n} {name}" for name, n in test.faults_seen.most_common())
        return f"double runs: seed {seed}: {ends}; {faults}; {test.sent_again()} sent again; "

    run_and_report(test, test.run(), summary)


if __name__ == "__main__":
    main()
