#!/usr/bin/env python3
"""Upstreams, callers and a store that send what they should not, at the gateway
process. Each check stands for a report of another operator (docs/incidents.md):

- a second copy of an answer, or any other bytes, late on a connection that is in
  use again: no caller gets an answer that is not its own;
- an answer that breaks off halfway: the caller does not take it for complete;
- an answer that is lost after its request ran: a request that must not repeat is
  not sent again, and nobody is told that it did not run;
- bytes without end from upstreams, callers and the store: the process stays
  within the memory of the smallest host, and other callers are served.

usage: faulty_upstreams.py BUILD [SEED]
"""

import asyncio
import pathlib
import random
import socket
import struct
import sys

import fault_soak
from fault_soak import answer, read_message, refusal
from planned_stop import (PlannedStop, WorkingUpstream, gateway_of_build,
                          run_and_report)

SEED = 30
# The smallest host of the users, in MB; the process must stay below it whatever
# is sent to it.
MEMORY_MB = 112
# Share of the requests beside a faulty upstream that must be served.
SERVED_SHARE = 0.98


def reset(writer):
    """Ends a connection with a reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def discard(reader):
    """Reads what a peer sends until it closes."""
    try:
        while await reader.read(65536):
            pass
    except ConnectionError:
        pass


class OddUpstream(WorkingUpstream):
    """Answers in the way that the path names: /KIND/MODE/..."""

    proxied = False

    def __init__(self, soak, name):
        super().__init__(soak, name)
        # Connections on which an answer breaks off.
        self.breaking = set()

    async def handle(self, reader, writer):
        try:
            while True:
                line, fields, body = await read_message(reader)
                await self.run(writer, line, fields, body)
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.CancelledError, asyncio.LimitOverrunError):
            # Uploads without end are not read to their end.
            pass
        writer.close()

    async def run(self, writer, line, fields, body):
        rid = fields.get("request-id", "")
        if fields.get("expect-instance") not in (None, self.name):
            writer.write(refusal(421, rid, [("Instance-Id", self.name)]))
            return
        self.soak.note_run(rid, self, line)
        mode, *args = line.split(" ")[1].split("/")[2].split(":")
        own = [("Server-Stamp", self.name), ("Request-Id", rid)]
        whole = answer(200, rid.encode() * 20, own)
        await getattr(self, mode)(writer, rid, own, whole, *args)

    async def good(self, writer, rid, own, whole):
        writer.write(whole)
        await writer.drain()

    async def twice(self, writer, rid, own, whole, delay):
        writer.write(whole)
        await writer.drain()

        async def again():
            await asyncio.sleep(int(delay) / 1000)
            # Behind an answer that breaks off it would fill up what is missing.
            if writer not in self.breaking:
                writer.write(whole)

        asyncio.ensure_future(again())

    async def behind(self, writer, rid, own, whole):
        writer.write(whole + b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbad!")
        await writer.drain()

    async def early(self, writer, rid, own, whole):
        """An interim answer, and one that belongs to another request."""
        other = [("Server-Stamp", self.name), ("Request-Id", "other")]
        writer.write(b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" +
                     answer(200, b"other", other) + whole)
        await writer.drain()

    async def chunked(self, writer, rid, own, whole):
        """A second chunked body behind the last chunk."""
        head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
        head += "".join(f"{n}: {v}\r\n" for n, v in own)
        text = rid.encode() * 20
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(text), text)
        writer.write(head.encode() + b"\r\n" + body + b"5\r\nwrong\r\n0\r\n\r\n")
        await writer.drain()

    async def breaks(self, writer, rid, own, whole, framing, size, cut, how):
        """An answer without its last bytes; the end is a close or a reset."""
        text = (rid.encode() + b"/") * (int(size) // (len(rid) + 1) + 1)
        head = "HTTP/1.1 200 OK\r\n" + "".join(f"{n}: {v}\r\n" for n, v in own)
        if framing == "length":
            full = f"{head}Content-Length: {len(text)}\r\n\r\n".encode() + text
        elif framing == "chunked":
            full = (f"{head}Transfer-Encoding: chunked\r\n\r\n".encode() +
                    b"%x\r\n%s\r\n0\r\n\r\n" % (len(text), text))
        else:
            full = f"{head}Connection: close\r\n\r\n".encode() + text
        self.breaking.add(writer)
        writer.write(full[:len(full) - int(cut)])
        await writer.drain()
        if how == "reset":
            # Bytes that are on their way are lost with a reset.
            await asyncio.sleep(0.02)
            reset(writer)
        raise ConnectionError

    async def lost(self, writer, rid, own, whole, how):
        """The request ran, and nobody hears of it."""
        await asyncio.sleep(0.01)
        if how == "silence":
            await asyncio.sleep(3)
        if how == "half":
            writer.write(whole[:20])
            await writer.drain()
        if how == "reset":
            reset(writer)
        raise ConnectionError

    async def endless(self, writer, rid, own, whole, what):
        """Bytes without end until the gateway closes."""
        head = ("HTTP/1.1 200 OK\r\n" +
                "".join(f"{n}: {v}\r\n" for n, v in own)).encode()
        first, rest = {
            "head": (head, b"X-Field: " + b"x" * 8000 + b"\r\n"),
            "line": (head + b"X: ", b"x" * 8000),
            "noise": (b"", b"\x00\xff" * 4000),
            "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
            "interims": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 300),
            "chunk": (head + b"Transfer-Encoding: chunked\r\n\r\n",
                      b"2000\r\n" + b"x" * 0x2000 + b"\r\n"),
            "extension": (head + b"Transfer-Encoding: chunked\r\n\r\n1;",
                          b"x" * 8000),
            "close": (head + b"Connection: close\r\n\r\n", b"x" * 8000),
        }[what]
        writer.write(first)
        for _ in range(100000):
            writer.write(rest)
            await writer.drain()
            # drain() does not let others run while the buffer has room.
            await asyncio.sleep(0)


class EndlessStore(fault_soak.Store):
    """Store whose answers to reads of one topic do not end."""

    endless = False

    async def handle(self, reader, writer):
        try:
            while True:
                line, _, body = await read_message(reader)
                if self.endless and "append" not in line:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: "
                                 b"1000000000000\r\n\r\n")
                    while True:
                        writer.write(b"x" * 65536)
                        await writer.drain()
                writer.write(await self.call(line.split(" ")[1], body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()


class FaultyUpstreams(PlannedStop):
    def __init__(self, binary, directory, seed):
        super().__init__(binary, directory)
        self.chance = random.Random(seed)
        self.numbers = iter(range(1, 1000000))

    def text(self, kind, mode, version="1.1", last=""):
        rid = f"{kind}-{next(self.numbers)}"
        body = b"" if kind == "read" else b"x" * 200
        method = "GET" if kind == "read" else "POST"
        return rid, (f"{method} /{kind}/{mode} HTTP/{version}\r\nHost: x.example\r\n"
                     f"Request-Id: {rid}\r\nDeadline-Ms: 1500\r\n{last}"
                     f"Content-Length: {len(body)}\r\n\r\n").encode() + body

    async def open(self):
        return await asyncio.open_connection(
            "127.0.0.1", self.gateway.ports["front"], limit=1 << 24)

    async def ask(self, kind, mode, limit=6):
        """Status and body; no status when the connection ends before."""
        rid, text = self.text(kind, mode)
        reader, writer = await self.open()
        writer.write(text)
        try:
            line, _, body = await asyncio.wait_for(read_message(reader), limit)
        except (OSError, asyncio.IncompleteReadError):
            return rid, None, b""
        finally:
            writer.close()
        status = int(line.split(" ")[1])
        if status in (503, 429, 408, 421) and self.runs.get(rid):
            self.fail(f"{rid} ran and was refused with {status} as unrun")
        return rid, status, body

    async def check_second_copies(self):
        modes = ["twice:1", "twice:20", "twice:300", "behind", "early", "chunked"]

        async def caller():
            for _ in range(30):
                kind = self.chance.choice(["read", "once"])
                mode = self.chance.choice(modes + ["good"] * 4)
                rid, status, body = await self.ask(kind, mode)
                if status == 200 and body != rid.encode() * 20:
                    self.fail(f"{rid} ({mode}) got {body[:60]!r}")
                if status == 200:
                    self.served += 1

        self.served = 0
        await asyncio.gather(*[caller() for _ in range(16)])
        if self.served < 0.8 * 16 * 30:
            self.fail(f"{self.served} of 480 served beside second copies")

    async def check_broken_answers(self):
        """Every cut in the last chunk, for callers of both versions."""
        cases = [(framing, size, cut, how)
                 for framing, cuts in (("length", (1, 7)), ("close", (0,)),
                                       ("chunked", range(1, 9)))
                 for size in (100, 200000)
                 for cut in cuts
                 for how in ("close", "reset")
                 if not (framing == "close" and how == "close")]
        await asyncio.gather(*[
            self.check_broken(version, *case)
            for case in cases for version in ("1.0", "1.1")])

    async def check_broken(self, version, framing, size, cut, how):
        rid, text = self.text("once", f"breaks:{framing}:{size}:{cut}:{how}", version,
                              "Connection: close\r\n")
        reader, writer = await self.open()
        writer.write(text)
        what = f"{rid}, {framing} of {size} less {cut}, {how}, to HTTP/{version}"
        try:
            got, was_reset = await asyncio.wait_for(self.read_all(reader), 6)
        except asyncio.TimeoutError:
            self.fail(f"{what}: no end")
            return
        finally:
            writer.close()
        head, _, body = got.partition(b"\r\n\r\n")
        if not head.startswith(b"HTTP/1.1 200") and not head.startswith(b"HTTP/1.0 200"):
            return
        lower = head.lower()
        if b"content-length: " in lower:
            length = int(lower.split(b"content-length: ")[1].split(b"\r\n")[0])
            complete = len(body) >= length
        elif b"chunked" in lower:
            complete = body.endswith(b"0\r\n\r\n")
        else:
            # The end of the connection is the only sign; it must be a reset.
            complete = not was_reset
        if complete:
            self.fail(f"{what}: taken for a complete success, at its end {body[-60:]!r}")

    @staticmethod
    async def read_all(reader):
        """All bytes until the end of the connection, and if that was a reset."""
        out = b""
        try:
            while data := await reader.read(65536):
                out += data
        except ConnectionError:
            return out, True
        return out, False

    async def check_lost_answers(self):
        async def one(kind, how):
            rid, status, _ = await self.ask(kind, f"lost:{how}")
            if kind == "once" and self.runs.get(rid, 0) != 1:
                self.fail(f"{rid} ({how}) ran {self.runs.get(rid, 0)} times")
            if kind == "once" and status == 200:
                self.fail(f"{rid} ({how}) got a success")

        await asyncio.gather(*[one(kind, how)
                               for how in ("close", "reset", "half", "silence")
                               for kind in ("once", "read", "upload")])

    def peak_mb(self):
        status = pathlib.Path(f"/proc/{self.gateway.process.pid}/status").read_text()
        return int(status.split("VmHWM:")[1].split()[0]) / 1024

    async def beside(self, faults, what):
        """Runs faults beside 50 callers, and looks at both."""
        ends = {}

        async def caller():
            for _ in range(8):
                kind = self.chance.choice(["read", "once"])
                rid, status, body = await self.ask(kind, "good")
                if status == 200 and body != rid.encode() * 20:
                    self.fail(f"{rid} got {body[:60]!r}")
                ends[status] = ends.get(status, 0) + 1
                await asyncio.sleep(0.02)

        faulty = [asyncio.ensure_future(it) for it in faults]
        await asyncio.gather(*[caller() for _ in range(50)])
        await asyncio.gather(*faulty, return_exceptions=True)
        if self.gateway.process.returncode is not None:
            self.fail(f"the gateway ended beside {what}")
        elif self.peak_mb() > MEMORY_MB:
            self.fail(f"{what}: {self.peak_mb():.0f} MB")
        if ends.get(200, 0) < SERVED_SHARE * sum(ends.values()):
            self.fail(f"{what}: others ended with {ends}")

    async def check_endless_answers(self):
        kinds = ("head", "line", "noise", "interim", "interims", "chunk",
                 "extension", "close")
        for what in kinds:
            await self.beside(
                [self.ask(kind, f"endless:{what}") for kind in ("read", "once") * 6],
                f"endless {what}")

    async def endless_caller(self, first, rest):
        reader, writer = await self.open()
        reading = asyncio.ensure_future(discard(reader))
        try:
            writer.write(first)
            for _ in range(4000):
                writer.write(rest)
                await asyncio.wait_for(writer.drain(), 3)
        except (OSError, asyncio.TimeoutError):
            pass
        writer.transport.abort()
        await reading

    async def check_endless_callers(self):
        head = b"POST /once/good HTTP/1.1\r\nHost: x.example\r\nRequest-Id: endless\r\n"
        cases = [(head, b"X-Field: " + b"x" * 8000 + b"\r\n"),
                 (b"GET /", b"x" * 8000),
                 (head + b"Transfer-Encoding: chunked\r\n\r\n",
                  b"2000\r\n" + b"x" * 0x2000 + b"\r\n"),
                 (head + b"Transfer-Encoding: chunked\r\n\r\n1;", b"x" * 8000)]
        await self.beside([self.endless_caller(*case) for case in cases * 4],
                          "endless callers")

    async def check_endless_store(self):
        self.store.endless = True
        await asyncio.sleep(2)
        if self.gateway.process.returncode is not None:
            self.fail("the gateway ended beside an endless store")
        elif self.peak_mb() > MEMORY_MB:
            self.fail(f"endless store: {self.peak_mb():.0f} MB")
        self.store.endless = False

    async def run(self):
        await self.start(EndlessStore(), OddUpstream, 24)
        await self.run_checks((
            self.check_second_copies, self.check_broken_answers,
            self.check_lost_answers, self.check_endless_answers,
            self.check_endless_callers, self.check_endless_store))


def main():
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else SEED
    test = FaultyUpstreams(*gateway_of_build("faulty"), seed)
    run_and_report(test, test.run(), lambda: "faulty_upstreams: ")


if __name__ == "__main__":
    main()
