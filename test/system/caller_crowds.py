"""Crowds of callers that send large bodies and stop just short of their end.

One gateway is told of 48 MB. Each crowd has 150 callers, whose bodies together
are several times that. Checked is, for each crowd, that

- the process lives, and its memory and open descriptors stay within its limits;
- an ordinary request is answered while the crowd stays open;
- one body of the same size is served once the crowd has left.

Guards against a process that keeps all bodies in memory and is killed for it.

usage: caller_crowds.py BUILD
"""

import asyncio
import json
import os
import socket
import struct

import fault_soak
from fault_soak import Gateway, Upstream, answer, read_message
from planned_stop import PlannedStop, gateway_of_build, run_and_report

MEMORY_MB = 48
MAX_FDS = 2000
CALLERS = 150
BODY = 900_000
MAX_BODY = 1_000_000
# Time in which a caller gets rid of its body; a host that does not read on
# blocks it.
SEND_LIMIT = 2.0


class SmallGateway(Gateway):
    async def spawn(self):
        settings = json.loads(self.path.read_text())
        settings["limits"].update(memory_mb=self.soak.memory_mb, max_fds=MAX_FDS)
        self.path.write_text(json.dumps(settings))
        await super().spawn()


class QuickUpstream(Upstream):
    async def run(self, writer, line, fields, body):
        rid = fields.get("request-id", "")
        self.soak.note_run(rid, self, line)
        own = [("Server-Stamp", self.name), ("Request-Id", rid)]
        writer.write(answer(200, str(len(body)).encode(), own))
        await writer.drain()


def chunked(size, chunk):
    one = f"{chunk:x}\r\n".encode() + b"x" * chunk + b"\r\n"
    return one * (size // chunk)


LENGTH = f"Content-Length: {BODY}"
CHUNKS = "Transfer-Encoding: chunked"
# Name: field of the framing, bytes that are sent, and bytes of each write.
CROWDS = {
    "whole": (LENGTH, b"x" * (BODY - 1), BODY),
    "pieces": (LENGTH, b"x" * (BODY - 1), 20_000),
    "large_chunks": (CHUNKS, chunked(BODY, 100_000), BODY),
    "small_chunks": (CHUNKS, chunked(BODY, 16), BODY),
    "announced_above_limit": ("Content-Length: 1000000000000", b"x" * 200_000, 200_000),
    "sent_above_limit": (CHUNKS, chunked(3 * MAX_BODY, 50_000), 200_000),
}


class CallerCrowds(PlannedStop):
    gateway_type = SmallGateway
    memory_mb = MEMORY_MB
    # Size of the largest body inside the limits, and of those of single uploads.
    max_body = MAX_BODY
    body = BODY
    # Kind of each route.
    kinds = {"safe": "safe", "upload": "upload"}

    async def publish(self):
        routes = {
            name: {"hostname": "x.example", "path_prefix": f"/{name}/", "kind": kind,
                   "timeout": "8000ms", "target_latency": "1000ms", "priority": 1,
                   "service": "s", "max_attempts": 2}
            for name, kind in self.kinds.items()
        }
        document = {"version": "r1", "routes": routes,
                    "services": {"s": {"health_path": "/health", "max_connections": 100}},
                    "limits": {"max_header_bytes": 16384, "max_body_bytes": self.max_body,
                               "header_timeout": "3000ms", "idle_timeout": "15000ms"}}
        await self.store.put("keyed.op", "config", json.dumps(document))

    def status(self, name):
        """Value of a line of the process's status, in MB for sizes."""
        with open(f"/proc/{self.gateway.process.pid}/status") as file:
            for line in file:
                if line.startswith(name + ":"):
                    return int(line.split()[1]) / 1024
        raise KeyError(name)

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.gateway.process.pid}/fd"))

    async def open(self):
        return await asyncio.open_connection("127.0.0.1", self.gateway.ports["front"])

    async def send_body(self, name, number, writer):
        framing, body, step = CROWDS[name]
        writer.write((f"POST /upload/1 HTTP/1.1\r\nHost: x.example\r\n"
                      f"Request-Id: {name}-{number}\r\nDeadline-Ms: 8000\r\n"
                      f"{framing}\r\n\r\n").encode())
        for n in range(0, len(body), step):
            writer.write(body[n:n + step])
            await writer.drain()

    async def one_of_crowd(self, name, number):
        try:
            _, writer = await self.open()
        except OSError:
            return None
        try:
            await asyncio.wait_for(self.send_body(name, number, writer), SEND_LIMIT)
        except (OSError, asyncio.TimeoutError):
            pass
        return writer

    async def call(self, rid, text):
        reader, writer = await self.open()
        try:
            writer.write(text)
            line, _, _ = await asyncio.wait_for(read_message(reader), 20)
            return int(line.split(" ")[1])
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            return repr(error)
        finally:
            writer.close()

    async def ordinary_request(self, rid):
        return await self.call(rid, (f"GET /safe/1 HTTP/1.1\r\nHost: x.example\r\n"
                                     f"Request-Id: {rid}\r\nDeadline-Ms: 8000\r\n\r\n").encode())

    async def upload(self, rid):
        return await self.call(rid, (f"POST /upload/1 HTTP/1.1\r\nHost: x.example\r\n"
                                     f"Request-Id: {rid}\r\nDeadline-Ms: 8000\r\n"
                                     f"Content-Length: {self.body}\r\n\r\n").encode()
                               + b"x" * self.body)

    def check(self, name, descriptors, during, after):
        """Checks what a crowd has left behind, and the answers of the request beside
        it and of the upload after it."""
        if self.gateway.process.returncode is not None:
            self.fail(f"{name}: the process ended with {self.gateway.process.returncode}")
            return
        memory = self.status("VmHWM")
        print(f"  {name}: {memory:.0f} MB, {descriptors} descriptors", flush=True)
        if memory > self.memory_mb:
            self.fail(f"{name}: {memory:.0f} MB of {self.memory_mb} MB")
        if descriptors > MAX_FDS:
            self.fail(f"{name}: {descriptors} descriptors of {MAX_FDS}")
        if during != 200:
            self.fail(f"{name}: ordinary request beside the crowd: {during}")
        if after != 200:
            self.fail(f"{name}: upload after the crowd: {after}")

    async def play(self, name):
        crowd = await asyncio.gather(*(self.one_of_crowd(name, n) for n in range(CALLERS)))
        descriptors = self.descriptors()
        during = await self.ordinary_request(f"{name}-during")
        for writer in crowd:
            if writer is not None:
                # Without a reset the kernel would go on to send what is left.
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                writer.transport.abort()
        await asyncio.sleep(0.5)
        after = await self.upload(f"{name}-after")
        self.check(name, descriptors, during, after)

    async def end_process(self):
        if self.gateway.process.returncode is None:
            self.gateway.process.kill()
            await self.gateway.process.wait()

    async def run(self):
        for name in CROWDS:
            # A process each, as its highest memory is checked.
            await self.start(fault_soak.Store(), QuickUpstream, 3)
            await self.play(name)
            await self.end_process()


def main():
    test = CallerCrowds(*gateway_of_build("crowds"))
    run_and_report(test, test.run(), lambda: "caller crowds: ")


if __name__ == "__main__":
    main()
