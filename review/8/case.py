"""A planned stop with a grace of 10 s breaks off uploads at their servers.

Consumers hold idle connections to one of two machines. It gets SIGTERM. Between
3.5 and 4.3 s later each consumer sends one upload on its open connection. The
machine takes them and passes them on. All servers are busy with uploads of the other
machine, so they queue them for 2 to 3 s and are then at work on them for 3.2 s. No
time limit is over and the grace isn't either. The rule is broken by an answer that
no server gave, or by a connection that ends without one.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
import stand  # noqa: E402

CONSUMERS = 8
# The longest work of the site's uploads.
WORK_MS = 3200
LIMIT_MS = 10000
# Seconds after SIGTERM: the uploads of the other machine, one for each slot, and
# those of the machine that stops. RULES.md excuses what was sent in the first 3 s.
OTHERS, FIRST, STEP = 3.2, 3.5, 0.1
GRACE = 10.0


class QueueingServer(stand.Server):
    """Works on `slots` requests at a time and queues a few more (PROTOCOL.md)."""

    queue = 12

    def __init__(self, case, number, service, slots):
        super().__init__(case, number, service, slots)
        self.free = asyncio.Semaphore(slots)
        self.waiting = 0

    async def serve(self, writer, line, fields, body):
        rid = fields.get("request-id", "")
        refusal = stand.answer(503, b"", [("Request-Id", rid), ("Not-Executed", "1")])
        if self.waiting >= self.queue:
            writer.write(refusal)
            return
        began = self.case.now()
        self.waiting += 1
        if self.free.locked():
            self.case.note(f"{self.name} queues {rid}")
        await self.free.acquire()
        self.waiting -= 1
        try:
            left = int(fields["deadline-ms"]) - int((self.case.now() - began) * 1000)
            if left <= 0 or writer.is_closing():
                writer.write(refusal)
                return
            await super().serve(writer, line, {**fields, "deadline-ms": str(left)}, body)
        finally:
            self.free.release()


class Stop(stand.Case):
    # Site large/prairierest-gw-large.toml.
    bounds = {**stand.Case.bounds, "stable_window": "4000ms", "drain": "3000ms",
              "grace": "10s", "config_apply": "3000ms", "skew_max": "6000ms",
              "retry_slack": 630}
    routes = {"band-uploads": {
        "hostname": stand.HOST, "path_prefix": "/up/", "kind": "upload", "timeout": "10000ms",
        "target_latency": "2500ms", "priority": 1, "service": "s", "max_attempts": 2}}

    server_type = QueueingServer

    async def fill(self, n):
        """An upload at the other machine, which takes a slot."""
        reader, writer = await self.connect(self.gateways[1])
        writer.write(self.request("POST", f"/up/{WORK_MS}", f"other-{n}", LIMIT_MS, b"x" * 4000))
        line, _, _ = await stand.read_message(reader)
        self.note(f"other-{n} got {line}")
        writer.close()

    async def upload(self, n, reader, writer):
        rid = f"up-{n}"
        began = self.now()
        writer.write(self.request("POST", f"/up/{WORK_MS}", rid, LIMIT_MS, b"x" * 4000))
        await writer.drain()
        since = began - self.stopped if self.trouble else 0
        self.note(f"{rid} sent on its open connection, {since:.2f} s after SIGTERM")
        try:
            line, fields, _ = await stand.read_message(reader)
            status, stamp = int(line.split(" ")[1]), fields.get("server-stamp")
        except (OSError, asyncio.IncompleteReadError) as error:
            line, status, stamp = repr(error), None, None
        took = self.now() - began
        runs = self.runs.get(rid, [])
        at_work = any(it["ended"] is None or it["ended"] > began + took for it in runs)
        self.note(f"{rid} got {line!r} after {took:.2f} s, stamp {stamp}, runs {len(runs)}, "
                  f"a server at work: {at_work}")
        if at_work and not stamp and took < LIMIT_MS / 1000 and since > 3.0:
            self.break_rule(f"{rid}, sent {since:.2f} s after SIGTERM, was passed on to "
                            f"{runs[0]['server']} and ended with {line!r} after {took:.2f} s")
        elif status is not None and status != 200:
            self.note(f"{rid} was refused with {status}")

    async def play(self):
        gateway = self.gateways[0]
        opened = []
        for n in range(CONSUMERS):
            reader, writer = await self.connect(gateway)
            # Opens the connection with a small upload, as a consumer in use has.
            writer.write(self.request("POST", "/up/20", f"first-{n}", LIMIT_MS, b"x" * 100))
            line, _, _ = await stand.read_message(reader)
            if " 200 " not in line:
                raise stand.NotRunnable(f"first request of consumer {n}: {line}")
            opened.append((reader, writer))
        await asyncio.sleep(0.5)
        self.stopped = self.now()
        if self.trouble:
            gateway.process.terminate()
            self.note(f"SIGTERM to {gateway.name}")
        await asyncio.sleep(self.stopped + OTHERS - self.now())
        uploads = [asyncio.ensure_future(self.fill(n))
                   for n in range(self.servers_wanted * self.slots)]
        for n, (reader, writer) in enumerate(opened):
            await asyncio.sleep(max(0, self.stopped + FIRST + n * STEP - self.now()))
            uploads.append(asyncio.ensure_future(self.upload(n, reader, writer)))
        done = asyncio.gather(*uploads)
        if self.trouble:
            # The platform kills the process at the end of the grace.
            try:
                await asyncio.wait_for(gateway.process.wait(),
                                       self.stopped + GRACE - self.now())
                self.note(f"{gateway.name} ended by itself")
            except asyncio.TimeoutError:
                self.note(f"SIGKILL to {gateway.name}")
                gateway.end()
        await done


if __name__ == "__main__":
    stand.run(Stop(pathlib.Path(__file__).resolve().parent))
