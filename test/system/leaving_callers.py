#!/usr/bin/env python3
"""Callers that close right after their request, or while an upstream works.

A caller that has sent its request in whole and closes at once was noticed only at
times, and an upstream worked for nobody until the time limit. Checked is, for each
kind of request, by close and by reset, at once and up to 0.1 s later, that an
upstream which got such a request sees its connection end within 0.5 s.

usage: leaving_callers.py BUILD
"""

import asyncio
import time

import fault_soak
from fault_soak import Upstream, answer, read_message
from planned_stop import KINDS, PlannedStop, gateway_of_build, run_and_report

# Work must end this long after the caller has left (users' rule GONE), in seconds.
NOTICE = 0.5
# An upstream works for longer than any caller waits here, in seconds.
WORK = 1.2
# Callers of each kind, way of leaving and pause.
CALLERS = 8
PAUSES = (0, 0.002, 0.02, 0.1)


class WatchingUpstream(Upstream):
    """Works for a time, and notes when the connection ends meanwhile."""

    proxied = False

    async def handle(self, reader, writer):
        try:
            while True:
                line, fields, body = await read_message(reader)
                if not await self.work(fields["request-id"], reader):
                    break
                own = [("Request-Id", fields["request-id"]), ("Server-Stamp", self.name)]
                writer.write(answer(200, b"", own))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        writer.close()

    async def work(self, rid, reader):
        self.soak.reached.add(rid)
        try:
            await asyncio.wait_for(reader.read(1), WORK)
        except asyncio.TimeoutError:
            return True
        except ConnectionError:
            pass
        self.soak.ended[rid] = time.monotonic()
        return False


class LeavingCallers(PlannedStop):
    def __init__(self, binary, directory):
        super().__init__(binary, directory)
        self.numbers = iter(range(1, 100000))
        self.reached = set()
        self.ended = {}

    async def leave(self, kind, abort, pause):
        rid = f"{kind}-{next(self.numbers)}"
        body = b"" if kind == "read" else b"x" * 200
        method = "GET" if kind == "read" else "POST"
        _, writer = await asyncio.open_connection("127.0.0.1", self.gateway.ports["front"])
        writer.write((f"{method} /{kind}/1 HTTP/1.1\r\nHost: x.example\r\n"
                      f"Request-Id: {rid}\r\nDeadline-Ms: 1400\r\n"
                      f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
        await writer.drain()
        await asyncio.sleep(pause)
        left = time.monotonic()
        if abort:
            writer.transport.abort()
        else:
            writer.close()
        await asyncio.sleep(NOTICE)
        late = rid in self.reached and self.ended.get(rid, 1e9) - left > NOTICE
        if late:
            self.fail(f"{rid}, left after {pause} s by {'reset' if abort else 'close'}: "
                      f"the upstream works {NOTICE} s later")

    async def run(self):
        await self.start(fault_soak.Store(), WatchingUpstream, 8)
        for kind in KINDS:
            for abort in (False, True):
                for pause in PAUSES:
                    await asyncio.gather(*[self.leave(kind, abort, pause)
                                           for _ in range(CALLERS)])
        if len(self.reached) < CALLERS * len(KINDS):
            self.fail(f"only {len(self.reached)} requests reached an upstream")


def main():
    test = LeavingCallers(*gateway_of_build("leave"))

    def summary():
        return f"leaving callers: {len(test.reached)} requests reached an upstream; "

    run_and_report(test, test.run(), summary)


if __name__ == "__main__":
    main()
