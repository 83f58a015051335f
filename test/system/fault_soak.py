"""Randomized soak of oriole-gateway under faults from outside.

Runs gateways as separate processes beside a stand-in store, stand-in upstreams
and callers, injects faults by signals and by loopback proxies, and checks the
promises from what callers and upstreams see:

- a request that must not repeat runs at most once;
- one that was refused as unrun never runs;
- a success is the whole answer of the upstream that ran the request;
- rules in force never go back within one life of a process;
- an upstream that left, or that a host read Server-Leaving from, gets no request
  (from that host) 2 s later, in calm times;
- a graceful stop cuts off no request that was read, in calm times;
- after the faults, requests are served again.

usage: fault_soak.py BUILD [--seeds A,B,...] [--fresh N] [--seconds S]
"""

import argparse
import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time

# Seeds that failed once, with the cause. They run every time.
REGRESSION_SEEDS = {
    1: "places on a host's own old view were never freed",
    2: "second seed of the soak",
    1003750939: "a stopped host was reaped 14 s after its last line; open",
}
GATEWAYS = 4
UPSTREAMS = 5
SLOTS = 3
CALLERS = 12
# Time in which the fleet must have settled after the last fault, in seconds.
SETTLE = 3.0
# A leaving upstream gets no request later than this, in seconds.
DRAIN = 2.0
GRACE = 6.0
# Share of the refusals that repeat the id of the request. A refusal without an
# id is not believed, so it tests nothing of what a refused request may do next.
REPEATED = 0.9
# Share of the refusals that are written twice, and the latest copy, in seconds.
COPIED = 0.8
LATEST_COPY = 0.3
# Share of the requests that an upstream refuses while it refuses at random.
REFUSED = 0.3
# Time for which the entry of an ended process stays in the register, in seconds.
OLD_ENTRY = (0.5, 2.0)
# Time for which an upstream asks for quiet, in seconds.
QUIET = (0.5, 2.0)
# Mean time between two changes of upstreams, in seconds. Three upstreams of five
# restart, refuse, leave or want quiet at a time at most.
CHANGE_STEP = 0.7
CHANGES_AT_ONCE = 3


# Sockets that keep the ports which free_port() returned, until the test ends.
RESERVATIONS = []


def free_port():
    """A port that nothing else gets while the test runs. Its socket is bound and
    does not listen: a process that sets SO_REUSEADDR can listen there, and the
    kernel neither returns the port again nor connects from it, also while that
    process is down."""
    s = socket.socket()
    s.bind(("127.0.0.1", 0))
    # Set after bind(): before it, the kernel could choose a port in use.
    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    RESERVATIONS.append(s)
    return s.getsockname()[1]


async def read_message(reader):
    """First line, header fields and body of an HTTP message with a length."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return lines[0], fields, body


def answer(status, body=b"", fields=()):
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    head += "".join(f"{n}: {v}\r\n" for n, v in fields)
    return head.encode() + b"\r\n" + body


def refusal(status, rid, fields=()):
    """Answer to a request that does not run. It repeats the id like any other."""
    own = [("Request-Id", rid)] if rid else []
    return answer(status, b"", own + list(fields))


async def serve(handler):
    port = free_port()
    server = await asyncio.start_server(handler, "127.0.0.1", port)
    return server, port


class Store:
    """Keyed topics of the platform's store."""

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Condition()

    async def put(self, topic, key, value):
        async with self.changed:
            self.topics.setdefault(topic, []).append((key, value))
            self.changed.notify_all()

    async def handle(self, reader, writer):
        try:
            while True:
                line, _, body = await read_message(reader)
                writer.write(await self.call(line.split(" ")[1], body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()

    async def call(self, target, body):
        path, _, query = target.partition("?")
        args = dict(p.split("=", 1) for p in query.split("&"))
        topic = args["topic"]
        if path == "/-/log-append":
            n = body[4]
            value = body[5 + n :]
            await self.put(topic, body[5 : 5 + n].decode(), value.decode() or None)
            return answer(200, b'{"offset":0,"end_offset":1}')
        records = self.topics.setdefault(topic, [])
        if path == "/-/log-newest":
            newest = {}
            for key, value in records:
                newest.pop(key, None)
                if value is not None:
                    newest[key] = value
            items = [
                {"key": k, "value": base64.b64encode(v.encode()).decode()}
                for k, v in newest.items()
            ]
            page = {"items": items, "has_more": False, "end_offset": len(records)}
            return answer(200, json.dumps(page).encode())
        start = int(args["from"])
        until = time.monotonic() + int(args.get("wait_ms", "0")) / 1000
        async with self.changed:
            while len(records) <= start and time.monotonic() < until:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    break
        out = bytes(16)
        for key, value in records[start:]:
            content = bytes([len(key)]) + key.encode() + (value or "").encode()
            out += len(content).to_bytes(4, "big") + content
        return answer(200, out)


class Proxy:
    """Loopback proxy with faults: passes bytes, delays, silences or resets."""

    def __init__(self, target_port):
        self.target = target_port
        self.mode = "pass"
        self.writers = set()

    async def handle(self, reader, writer):
        if self.mode in ("reset", "refuse"):
            writer.transport.abort()
            return
        try:
            up_reader, up_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, up_writer}
        self.writers |= pair
        await asyncio.gather(
            self.pump(reader, up_writer, "up"), self.pump(up_reader, writer, "down")
        )
        self.writers -= pair

    async def pump(self, reader, writer, way):
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(0.15)
                while self.mode == "silent" or self.mode == f"cut_{way}":
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def set(self, mode):
        self.mode = mode
        if mode == "reset":
            for it in list(self.writers):
                it.transport.abort()


class Upstream:
    """Server of the platform: slots, identity, heartbeats and faults.

    It may restart under a new id at its address, on which its connections stay
    open, and may write a refusal twice.
    """

    # A proxy in front injects faults. It turns a reset into a close and delays the
    # end of a connection, so tests that look at these go without it.
    proxied = True
    # Share of the refusals that are written twice, and of these the share whose
    # copy comes in front of the next answer. The others come up to LATEST_COPY
    # later.
    copied = COPIED
    copied_in_front = 0.5
    # Time that it works on a request, in seconds.
    work = (0.01, 0.06)

    def __init__(self, soak, name):
        self.soak = soak
        self.name = self.first_name = name
        self.lives = 0
        # How it treats requests: "", "refuse", "leaving" or "quiet".
        self.condition = ""
        self.last_run = 0.0
        # Copies that come in front of the next answer, by connection.
        self.copies = {}
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.left_at = None
        self.mode = "good"
        self.running = 0
        self.proxy = None

    async def start(self):
        _, self.port = await serve(self.handle)
        if self.proxied:
            self.proxy = Proxy(self.port)
            _, self.port = await serve(self.proxy.handle)
        asyncio.ensure_future(self.beat())

    async def write_entry(self):
        self.sequence += 1
        entry = {
            "address": f"127.0.0.1:{self.port}",
            "born": self.born,
            "info": {"service": "s", "version": "v1", "zone": "dc", "slots": SLOTS},
            "status": {"state": self.state, "sequence": self.sequence, "warmup_left": "0ms"},
        }
        await self.soak.store.put("keyed.servers", self.name, json.dumps(entry))

    async def beat(self):
        while self.left_at is None or self.state == "draining":
            await self.write_entry()
            await asyncio.sleep(0.5)

    async def leave(self):
        self.state = "draining"
        await self.write_entry()
        self.left_at = time.monotonic()

    async def restart(self, old_entry):
        """A new process at the address; the old entry stays for old_entry seconds."""
        old = self.name
        self.lives += 1
        self.name = f"{self.first_name}-{self.lives}"
        self.condition = ""
        self.born += 1
        self.sequence = 0
        await self.write_entry()
        await asyncio.sleep(old_entry)
        await self.soak.store.put("keyed.servers", old, None)

    async def handle(self, reader, writer):
        try:
            while True:
                line, fields, body = await read_message(reader)
                # An earlier refusal once more, where the next answer is due.
                writer.write(self.copies.pop(writer, b""))
                await self.run(writer, line, fields, body)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()
        self.copies.pop(writer, None)

    async def refuse(self, writer, status, rid, fields):
        """Refuses a request, at times with a copy."""
        chance = self.soak.change_random
        text = refusal(status, rid, fields)
        self.soak.refusals += 1
        writer.write(text)
        await writer.drain()
        if chance.random() >= self.copied:
            return
        self.soak.copies += 1
        if chance.random() < self.copied_in_front:
            self.copies[writer] = text
            return

        def again():
            if not writer.is_closing():
                writer.write(text)

        asyncio.get_running_loop().call_later(chance.uniform(0.001, LATEST_COPY), again)

    async def turn_away(self, writer, fields):
        """Refuses a request that the upstream does not want; True when it did."""
        chance = self.soak.change_random
        rid = fields.get("request-id", "")
        self.soak.note_arrival(rid, fields.get("expect-instance", self.name))
        # Some servers repeat no id in refusals.
        rid = rid if chance.random() < REPEATED else ""
        unrun = [("Not-Executed", "1")]
        if fields.get("expect-instance") not in (None, self.name):
            await self.refuse(writer, 421, rid, [("Instance-Id", self.name)])
        elif self.condition == "quiet":
            quiet = [("Retry-After", f"{chance.uniform(*QUIET):.2f}")]
            await self.refuse(writer, 503, rid, unrun + quiet)
        elif (self.running >= SLOTS + 4 or self.mode == "shed" or
              self.condition == "refuse" and chance.random() < REFUSED):
            await self.refuse(writer, 503, rid, unrun)
        else:
            return False
        return True

    def load(self):
        return ("Server-Load", f"{self.running},0,{SLOTS}")

    async def run(self, writer, line, fields, body):
        if await self.turn_away(writer, fields):
            return
        rid = fields.get("request-id", "")
        # A restart meanwhile is not the process that runs the request.
        name = self.name
        self.last_run = time.monotonic()
        self.soak.note_run(rid, self, line)
        own = [("Server-Stamp", name), ("Request-Id", rid)]
        if self.condition == "leaving":
            own.append(("Server-Leaving", "1"))
            self.soak.said_leaving.add((rid, name))
        if self.mode == "errors" and self.soak.random.random() < 0.8:
            writer.write(answer(500, b"", [*own, self.load()]))
            return
        self.running += 1
        await asyncio.sleep(self.soak.random.uniform(*self.work))
        self.running -= 1
        if self.mode == "hang":
            await asyncio.sleep(3)
        if self.mode == "lose":
            writer.transport.abort()
            return
        text = f"{rid}/{name}/".encode() * 20 + body
        whole = answer(200, text, [*own, self.load()])
        if self.mode == "cut" and self.soak.random.random() < 0.5:
            writer.write(whole[: len(whole) // 2])
            await writer.drain()
            writer.transport.abort()
            return
        writer.write(whole)
        await writer.drain()


class Gateway:
    """One process of the system."""

    # Budget of extra sends for all hosts together.
    bounds = {"retry_ratio": 0.2, "retry_window": "10s", "retry_slack": 50}

    def __init__(self, soak, number):
        self.soak = soak
        self.name = f"host-{number}"
        self.ports = {k: free_port() for k in ("front", "ready", "control")}
        self.process = None
        # Told to every process: the whole fleet starts for the first time.
        self.bootstrap = False
        self.life = 0
        self.version = 0
        self.stopped_at = None
        self.killed_at = -1e9

    async def start(self, seeds):
        self.proxy = Proxy(self.soak.store_port)
        _, store = await serve(self.proxy.handle)
        settings = {
            "node": self.name,
            "zone": "dc",
            "listen": {k: f"127.0.0.1:{p}" for k, p in self.ports.items()},
            "seeds": seeds,
            "bootstrap": self.bootstrap,
            "limits": {"cpu_share": 0.2, "cpu_cores": 1, "max_fds": 2000},
            "bounds": {**self.bounds, "grace": f"{int(self.soak.grace)}s"},
            "platform": {"address": f"127.0.0.1:{store}"},
        }
        self.path = self.soak.dir / f"{self.name}.json"
        self.path.write_text(json.dumps(settings))
        await self.spawn()

    def log_path(self):
        return self.soak.dir / f"{self.name}.{self.life}.log"

    def log(self):
        """What the present process has written."""
        path = self.log_path()
        return path.read_text(errors="replace") if path.exists() else ""

    def last_line(self):
        lines = self.log().splitlines()
        return lines[-1] if lines else "none"

    async def spawn(self):
        self.life += 1
        self.version = 0
        self.stopped_at = None
        log = open(self.log_path(), "wb")
        self.process = await asyncio.create_subprocess_exec(
            str(self.soak.binary), f"--settings={self.path}", stdout=log, stderr=log
        )

    async def kill(self):
        self.killed_at = time.monotonic()
        self.process.kill()
        await self.process.wait()
        await asyncio.sleep(self.soak.random.uniform(0.05, 0.8))
        await self.spawn()

    async def pause(self, seconds):
        self.killed_at = time.monotonic() + seconds
        self.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.process.send_signal(signal.SIGCONT)

    async def stop(self):
        self.stopped_at = time.monotonic()
        self.process.terminate()
        try:
            await asyncio.wait_for(self.process.wait(), self.soak.grace + 1)
        except asyncio.TimeoutError:
            self.soak.fail(f"{self.name} runs {self.soak.grace + 1} s after SIGTERM")
            self.process.kill()
            await self.process.wait()
        await self.spawn()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", self.ports["ready"]), 0.5
            )
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line, _, _ = await asyncio.wait_for(read_message(reader), 0.5)
            writer.close()
            return " 200 " in line
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


class Soak:
    # Seconds between SIGTERM and SIGKILL.
    grace = GRACE

    def __init__(self, binary, seed, seconds, directory):
        self.binary = binary
        self.seed = seed
        self.random = random.Random(seed)
        # Draws of its own, so that the faults of a seed stay what they were.
        self.change_random = random.Random(f"{seed} changes")
        self.seconds = seconds
        self.dir = directory
        self.failures = []
        self.runs = {}
        self.refused = set()
        self.version = 0
        self.calm_since = time.monotonic()
        self.busy = 0
        self.faults = 0
        self.refusals = 0
        self.copies = 0
        # Changes of upstreams by kind, and the upstreams that are in one.
        self.changes = dict.fromkeys(("restart", "refuse", "leaving", "quiet"), 0)
        self.changing = set()
        # The host and its life that got each request, the requests whose answer
        # said that the upstream leaves, when each host first heard that of which
        # life of an upstream, and requests in calm times from hosts that had.
        self.asked = {}
        self.said_leaving = set()
        self.heard_leaving = {}
        self.leave_checks = 0
        self.ended = False
        self.counts = {"served": 0, "other": 0}

    def fail(self, text):
        self.failures.append(f"{time.monotonic() - self.begun:.2f} s: {text}")

    def is_calm(self):
        return self.busy == 0 and time.monotonic() - self.calm_since > SETTLE

    def note_run(self, rid, upstream, line):
        """An upstream runs a request."""
        n = self.runs[rid] = self.runs.get(rid, 0) + 1
        if rid.startswith("once") and n > 1:
            self.fail(f"request {rid} ran {n} times, now at {upstream.name}")
        if rid in self.refused:
            self.fail(f"request {rid} ran after it was refused unrun")
        late = upstream.left_at and time.monotonic() - upstream.left_at > DRAIN
        if late and self.is_calm():
            self.fail(f"request {rid} reached {upstream.name} after it had left")

    def note_arrival(self, rid, life):
        """A request for a life of an upstream arrives, whether it runs or not."""
        host = self.asked.get(rid)
        if not self.is_calm():
            return
        now = time.monotonic()
        late = {name: now - at for name, at in self.heard_leaving.get(host, {}).items()
                if now - at > DRAIN}
        if any(it.name in late for it in self.upstreams):
            self.leave_checks += 1
        if life in late:
            self.fail(f"request {rid} came to {life} from {host[0]}, which heard "
                      f"{late[life]:.2f} s ago that it leaves")

    async def publish(self):
        """A new version: one more route, which tells what is in force."""
        self.version += 1
        routes = {
            "read": self.route("/read/", "safe"),
            "once": self.route("/once/", "unsafe"),
        }
        for n in range(max(1, self.version - 3), self.version + 1):
            routes[f"v{n}"] = self.route(f"/v{n}/", "safe")
        document = {
            "version": f"r{self.version * 3}",
            "routes": routes,
            "services": {"s": {"health_path": "/health", "max_connections": 100}},
        }
        await self.store.put("keyed.op", "config", json.dumps(document))
        return self.version

    @staticmethod
    def route(prefix, kind):
        return {"hostname": "x.example", "path_prefix": prefix, "kind": kind,
                "timeout": "2000ms", "target_latency": "500ms", "priority": 1,
                "service": "s", "max_attempts": 2}

    async def caller(self, number):
        n = 0
        while not self.ended:
            n += 1
            gateway = self.random.choice(self.gateways)
            kind = self.random.choice(("read", "once", "once"))
            await self.request(gateway, kind, f"{kind}-{number}-{n}")
            await asyncio.sleep(self.random.uniform(0.0, 0.05))

    async def request(self, gateway, kind, rid):
        body = b"x" * self.random.choice((0, 10, 4000)) if kind == "once" else b""
        text = (f"{'POST' if body else 'GET'} /{kind}/1 HTTP/1.1\r\nHost: x.example\r\n"
                f"Request-Id: {rid}\r\nDeadline-Ms: 3000\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        sent = None
        life = gateway.life
        self.asked[rid] = (gateway.name, life)
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", gateway.ports["front"]), 1
            )
            writer.write(text)
            await writer.drain()
            sent = time.monotonic()
            line, fields, got = await asyncio.wait_for(read_message(reader), 4)
            writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            self.counts["other"] += 1
            self.judge_cut(gateway, life, sent, rid, error)
            return None
        status = int(line.split(" ")[1])
        self.judge(rid, status, fields, got, body)
        return status

    def judge_cut(self, gateway, life, sent, rid, error):
        """A connection that ended without an answer."""
        stopping = gateway.stopped_at is not None or life != gateway.life
        killed = time.monotonic() - gateway.killed_at < 6
        # A request that crosses the end of the process was not read.
        late = gateway.stopped_at and sent and sent - gateway.stopped_at > GRACE * 0.4
        if sent and not killed and not late and self.busy <= (1 if stopping else 0):
            if time.monotonic() - self.calm_since > SETTLE or stopping:
                self.fail(f"{gateway.name} cut off {rid}: {error!r}")

    def judge(self, rid, status, fields, got, body):
        stamp = fields.get("server-stamp")
        if status == 200:
            self.counts["served"] += 1
            if got != f"{rid}/{stamp}/".encode() * 20 + body:
                self.fail(f"request {rid} got another answer: {got[:60]!r}")
            if (rid, stamp) in self.said_leaving:
                heard = self.heard_leaving.setdefault(self.asked[rid], {})
                heard.setdefault(stamp, time.monotonic())
            return
        self.counts["other"] += 1
        if status in (503, 429, 408, 421) and rid.startswith("once"):
            self.refused.add(rid)
            if self.runs.get(rid):
                self.fail(f"request {rid} was refused unrun and had run")

    async def watch_rules(self):
        """Versions never go back within one life of a process."""
        while not self.ended:
            await asyncio.sleep(0.4)
            for gateway in self.gateways:
                life = gateway.life
                for n in range(self.version, max(0, self.version - 3), -1):
                    status = await self.request(gateway, f"v{n}", f"v{n}-{time.monotonic()}")
                    if status is None or status == 503 or life != gateway.life:
                        break
                    if status != 404:
                        if n < gateway.version:
                            self.fail(f"{gateway.name} went back from {gateway.version} to {n}")
                        gateway.version = max(gateway.version, n)
                        break

    async def change_rules(self):
        while not self.ended:
            await asyncio.sleep(self.random.uniform(0.8, 2.0))
            version = await self.publish()
            if not self.is_calm():
                continue
            await asyncio.sleep(2.0)
            for gateway in self.gateways:
                if not self.is_calm() or not await gateway.is_ready():
                    continue
                rid = f"v{version}-check-{gateway.name}"
                status = await self.request(gateway, f"v{version}", rid)
                if status == 404 and self.is_calm() and self.version - version < 3:
                    self.fail(f"{gateway.name} has no version {version} after 2 s")

    async def inject(self):
        """Series of faults that overlap."""
        faults = [
            lambda g, u: g.kill(),
            lambda g, u: g.stop(),
            lambda g, u: g.pause(self.random.uniform(0.2, 1.5)),
            lambda g, u: self.hold(g.proxy, ("delay", "silent", "reset", "cut_up", "cut_down")),
            lambda g, u: self.hold(u.proxy, ("delay", "silent", "reset", "refuse", "cut_down")),
            lambda g, u: self.misbehave(u),
            lambda g, u: self.replace(u),
        ]
        while time.monotonic() - self.begun < self.seconds:
            await asyncio.sleep(self.random.expovariate(1 / 0.4))
            for _ in range(self.random.choice((1, 1, 2, 3))):
                gateway = self.random.choice(self.gateways)
                upstream = self.random.choice(self.upstreams)
                asyncio.ensure_future(self.under(self.random.choice(faults), gateway, upstream))
            if self.random.random() < 0.15:
                # A calm spell, in which the promises with a time bound hold.
                await asyncio.sleep(SETTLE + 3)

    async def inject_changes(self):
        """Upstreams that restart, refuse, leave or want quiet, also in calm times.

        They do not count as faults: all promises hold beside them.
        """
        round_left = []
        while time.monotonic() - self.begun < self.seconds:
            await asyncio.sleep(self.change_random.expovariate(1 / CHANGE_STEP))
            upstream = self.change_random.choice(self.upstreams)
            if upstream in self.changing or len(self.changing) >= CHANGES_AT_ONCE:
                continue
            # In rounds of all kinds, so that a short run has each.
            if not round_left:
                round_left = list(self.changes)
                self.change_random.shuffle(round_left)
            asyncio.ensure_future(self.change(upstream, round_left.pop()))

    async def change(self, upstream, kind):
        self.changing.add(upstream)
        self.changes[kind] += 1
        if kind != "restart":
            upstream.condition = kind
            await asyncio.sleep(self.change_random.uniform(0.5, 3.0))
            upstream.condition = ""
        # Who has left comes back as another process.
        if kind in ("restart", "leaving") and upstream.left_at is None:
            await upstream.restart(self.change_random.uniform(*OLD_ENTRY))
        self.changing.discard(upstream)

    async def under(self, fault, gateway, upstream):
        if gateway in self.held or upstream in self.held:
            return
        self.held |= {gateway, upstream}
        self.busy += 1
        self.faults += 1
        try:
            await fault(gateway, upstream)
        finally:
            self.busy -= 1
            self.calm_since = time.monotonic()
            self.held -= {gateway, upstream}

    async def hold(self, proxy, modes):
        proxy.set(self.random.choice(modes))
        await asyncio.sleep(self.random.uniform(0.2, 3.0))
        proxy.set("pass")

    async def misbehave(self, upstream):
        upstream.mode = self.random.choice(("errors", "hang", "lose", "cut", "shed"))
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        upstream.mode = "good"

    async def replace(self, upstream):
        fresh = Upstream(self, f"i-{self.random.getrandbits(32):08x}")
        await fresh.start()
        self.upstreams[self.upstreams.index(upstream)] = fresh
        await upstream.leave()

    async def run(self):
        self.begun = time.monotonic()
        self.held = set()
        self.store = Store()
        _, self.store_port = await serve(self.store.handle)
        await self.publish()
        self.upstreams = [Upstream(self, f"i-{n}") for n in range(UPSTREAMS)]
        for it in self.upstreams:
            await it.start()
        self.gateways = [Gateway(self, n) for n in range(GATEWAYS)]
        seeds = [f"127.0.0.1:{g.ports['control']}" for g in self.gateways[:2]]
        for it in self.gateways:
            await it.start(seeds)
        await asyncio.sleep(2.5)
        tasks = [asyncio.ensure_future(self.caller(n)) for n in range(CALLERS)]
        tasks.append(asyncio.ensure_future(self.watch_rules()))
        tasks.append(asyncio.ensure_future(self.change_rules()))
        await asyncio.gather(self.inject(), self.inject_changes())
        while self.busy or self.changing:
            await asyncio.sleep(0.1)
        # One in use leaves in the calm at the end, where a host's memory of that can
        # be judged for longer than between the faults.
        max(self.upstreams, key=lambda it: it.last_run).condition = "leaving"
        await self.check_recovery()
        if not self.copies or not self.leave_checks:
            self.fail(f"an empty run: {self.copies} copies of refusals, {self.leave_checks} "
                      "requests from hosts that had heard that one leaves")
        await self.end(tasks)

    async def end(self, tasks):
        """Ends the callers, then the hosts, which have to run until then."""
        self.ended = True
        await asyncio.gather(*tasks)
        for it in self.gateways:
            code = it.process.returncode
            if code is not None:
                self.fail(f"{it.name} ended by itself with code {code}; its last line: "
                          f"{it.last_line()}")
                continue
            it.process.kill()
            await it.process.wait()

    async def check_recovery(self):
        await asyncio.sleep(SETTLE + 2)
        before = dict(self.counts)
        await asyncio.sleep(2)
        served = self.counts["served"] - before["served"]
        other = self.counts["other"] - before["other"]
        if served < 0.9 * (served + other):
            self.fail(f"after the faults {served} of {served + other} requests are served")


def run_to_end(test, run):
    """Runs the coroutine of a test; no gateway outlives it."""
    try:
        asyncio.run(run)
    finally:
        for it in getattr(test, "gateways", []):
            if it.process and it.process.returncode is None:
                it.process.kill()


def print_failures(test, most):
    """True if there are none."""
    for it in test.failures[:most]:
        print(f"  {it}", flush=True)
    if test.failures:
        print(f"  logs: {test.dir}", flush=True)
    return not test.failures


def run_seeds(seeds, run_seed):
    """Exits with the seeds whose run was not clean."""
    failed = [it for it in seeds if not run_seed(it)]
    if failed:
        sys.exit(f"failed seeds: {failed}")


def run_given_seeds(default, run_seed):
    """main() of a test that takes BUILD [SEED...]; run_seed gets the program and
    a seed."""
    binary = pathlib.Path(sys.argv[1]).resolve() / "oriole-gateway"
    seeds = [int(it) for it in sys.argv[2:]] or [default]
    run_seeds(seeds, lambda seed: run_seed(binary, seed))


def run_seed(binary, seed, seconds):
    directory = pathlib.Path(tempfile.mkdtemp(prefix=f"oriole-soak-{seed}-"))
    soak = Soak(binary, seed, seconds, directory)
    run_to_end(soak, soak.run())
    print(f"seed {seed}: {soak.counts['served']} served, {soak.counts['other']} not, "
          f"{soak.faults} faults, "
          f"{', '.join(f'{n} {kind}' for kind, n in soak.changes.items())}, "
          f"{soak.refusals} refusals, "
          f"{soak.copies} copies, {soak.leave_checks} behind a leave, "
          f"{len(soak.failures)} broken promises", flush=True)
    return print_failures(soak, 10)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("--seeds", default="")
    parser.add_argument("--fresh", type=int, default=0)
    parser.add_argument("--seconds", type=float, default=12)
    args = parser.parse_args()
    binary = pathlib.Path(args.build).resolve() / "oriole-gateway"
    seeds = [int(s) for s in args.seeds.split(",") if s]
    seeds += [random.randrange(1 << 30) for _ in range(args.fresh)]
    seeds = seeds or list(REGRESSION_SEEDS)
    run_seeds(seeds, lambda seed: run_seed(binary, seed, args.seconds))


if __name__ == "__main__":
    main()
