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


def post_head(path, rid, framing):
    """Head of a POST request with the field that frames its body."""
    return (f"POST /{path}/1 HTTP/1.1\r\nHost: x.example\r\nRequest-Id: {rid}\r\n"
            f"Deadline-Ms: 8000\r\n{framing}\r\n\r\n").encode()


def get_head(path, rid):
    return (f"GET /{path}/1 HTTP/1.1\r\nHost: x.example\r\nRequest-Id: {rid}\r\n"
            f"Deadline-Ms: 8000\r\n\r\n").encode()


def reset(writer):
    """Closes a connection and drops what was not sent."""
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


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

    def status(self, gateway, name):
        """Value of a line of a process's status, in MB for sizes."""
        with open(f"/proc/{gateway.process.pid}/status") as file:
            for line in file:
                if line.startswith(name + ":"):
                    return int(line.split()[1]) / 1024
        raise KeyError(name)

    def descriptors(self, gateway):
        return len(os.listdir(f"/proc/{gateway.process.pid}/fd"))

    async def open(self, gateway):
        return await asyncio.open_connection("127.0.0.1", gateway.ports["front"])

    async def send_body(self, name, number, writer):
        framing, body, step = CROWDS[name]
        writer.write(post_head("upload", f"{name}-{number}", framing))
        for n in range(0, len(body), step):
            writer.write(body[n:n + step])
            await writer.drain()

    async def one_of_crowd(self, gateway, name, number):
        try:
            _, writer = await self.open(gateway)
        except OSError:
            return None
        try:
            await asyncio.wait_for(self.send_body(name, number, writer), SEND_LIMIT)
        except (OSError, asyncio.TimeoutError):
            pass
        return writer

    async def call(self, gateway, text):
        reader, writer = await self.open(gateway)
        try:
            writer.write(text)
            line, _, _ = await asyncio.wait_for(read_message(reader), 20)
            return int(line.split(" ")[1])
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            return repr(error)
        finally:
            writer.close()

    async def ordinary_request(self, gateway, rid):
        return await self.call(gateway, get_head("safe", rid))

    async def upload(self, gateway, rid):
        head = post_head("upload", rid, f"Content-Length: {self.body}")
        return await self.call(gateway, head + b"x" * self.body)

    def check(self, gateway, name, descriptors, during, after):
        """Checks what a crowd has left behind, and the answers of the request beside
        it and of the upload after it."""
        if gateway.process.returncode is not None:
            self.fail(f"{name}: the process ended with {gateway.process.returncode}")
            return
        memory = self.status(gateway, "VmHWM")
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
        gateway = self.gateway
        crowd = await asyncio.gather(
            *(self.one_of_crowd(gateway, name, n) for n in range(CALLERS)))
        descriptors = self.descriptors(gateway)
        during = await self.ordinary_request(gateway, f"{name}-during")
        for writer in crowd:
            if writer is not None:
                # The kernel would go on to send what is left.
                reset(writer)
        await asyncio.sleep(0.5)
        after = await self.upload(gateway, f"{name}-after")
        self.check(gateway, name, descriptors, during, after)

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
