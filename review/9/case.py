"""A caller's connection stands still after a read that was hedged twice.

Some servers of the service behind /proof/ run a request and lose its answer, or
run it and break off, at the share that the site names. A read is answered whole
all the same. The consumer then sends the next read on its connection, on a route
of another service whose servers are sound. That one is answered late or never.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
import stand  # noqa: E402

# Servers of the failing service, and those of them that fail: a share of 0.6.
SERVERS, GREY = 20, 12
# Spells of 4 s in which they do so, the time between the begins of two, and the
# consumers that send a costly read in each.
SPELLS, SPELL, APART = 3, 4.0, 14.0
CONSUMERS = 30
PROOF_LIMIT_MS, STATUS_LIMIT_MS = 8000, 4000
# When a server breaks off, in seconds after it began.
BREAK_OFF = 0.3
# Consumers that send reads without a pause.
USUAL = 10


class GreyServer(stand.Server):
    """Fails some runs: breaks off after the work, or loses the answer."""

    def __init__(self, case, number, service, slots):
        super().__init__(case, number, service, slots)
        self.grey = service == "s" and number < GREY

    async def serve(self, writer, line, fields, body):
        rid = fields.get("request-id", "")
        fault = ""
        if fields.get("expect-instance") == self.name:
            fault = self.case.fault_of(rid, self.grey)
        if not fault:
            return await super().serve(writer, line, fields, body)
        self.case.note(f"{self.name} runs {rid} and will {fault}")
        if fault == "lose its answer":
            # The connection stays open; nothing comes on it any more.
            await asyncio.sleep(int(fields["deadline-ms"]) / 1000 + 5)
        await asyncio.sleep(BREAK_OFF)
        writer.transport.abort()


class Hedges(stand.Case):
    routes = {
        "proof-view": {
            "hostname": stand.HOST, "path_prefix": "/proof/", "kind": "safe",
            "timeout": f"{PROOF_LIMIT_MS}ms", "target_latency": "1000ms", "priority": 2,
            "service": "s", "max_attempts": 4},
        "status-check": {
            "hostname": stand.HOST, "path_prefix": "/status/", "kind": "safe",
            "timeout": f"{STATUS_LIMIT_MS}ms", "target_latency": "500ms", "priority": 2,
            "service": "t", "max_attempts": 2}}
    servers_wanted = SERVERS + 2
    server_type = GreyServer

    def service_of(self, number):
        return "s" if number < SERVERS else "t"

    def document(self, version):
        out = super().document(version)
        out["services"]["t"] = out["services"]["s"]
        return out

    async def prepare(self):
        self.arrivals = {}
        self.stuck = self.late = self.faults = 0
        await super().prepare()

    def fault_of(self, rid, grey):
        """What a server does with a costly read; nothing for none."""
        if not rid.startswith("proof") or not self.trouble:
            return ""
        n = self.arrivals[rid] = self.arrivals.get(rid, 0) + 1
        fault = {1: "break off", 2: "lose its answer"}.get(n, "") if grey else ""
        self.faults += fault != ""
        return fault

    async def get(self, reader, writer, path, rid, limit_ms):
        """Status and time in seconds; None when the consumer gives up."""
        began = self.now()
        writer.write(self.request("GET", path, rid, limit_ms))
        await writer.drain()
        try:
            line, fields, body = await asyncio.wait_for(
                stand.read_message(reader), limit_ms / 1000 + 6)
        except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError) as error:
            self.note(f"{rid} has no answer after {self.now() - began:.2f} s: {error!r}")
            return None, self.now() - began
        took = self.now() - began
        self.note(f"{rid} got {line} after {took:.2f} s")
        return int(line.split(" ")[1]), took

    async def consumer(self, n, gateway):
        reader, writer = await self.connect(gateway)
        status, took = await self.get(reader, writer, "/proof/700", f"proof-{n}", PROOF_LIMIT_MS)
        if status != 200:
            return
        status, took = await self.get(reader, writer, "/status/20", f"status-{n}", STATUS_LIMIT_MS)
        limit = STATUS_LIMIT_MS / 1000
        if took > limit:
            self.late += 1
        if took > limit + 0.5:
            self.stuck += 1
        writer.close()

    async def usual_reads(self, number, gateway):
        """Reads of other consumers, which go on all the while."""
        reader, writer = await self.connect(gateway)
        for n in range(10**6):
            await self.get(reader, writer, "/proof/100", f"usual-{number}-{n}", PROOF_LIMIT_MS)

    async def play(self):
        gateway = self.gateways[0]
        usual = [asyncio.ensure_future(self.usual_reads(n, gateway)) for n in range(USUAL)]
        await asyncio.sleep(5)
        consumers = []
        for spell in range(SPELLS):
            begin = self.now()
            for n in range(CONSUMERS):
                consumers.append(asyncio.ensure_future(
                    self.consumer(spell * CONSUMERS + n, gateway)))
                await asyncio.sleep(SPELL / CONSUMERS)
            await asyncio.sleep(max(0, begin + APART - self.now()))
        await asyncio.gather(*consumers)
        for it in usual:
            it.cancel()
        self.note(f"{self.faults} runs failed")
        self.note(f"{self.late} of the status-checks were unanswered at their route's timeout, "
                  f"{self.stuck} half a second later")
        if self.stuck > self.late / 2:
            self.break_rule(f"{self.stuck} of {self.late} status-checks that were unanswered at "
                            "the route's timeout had no answer half a second later")


if __name__ == "__main__":
    stand.run(Hedges(pathlib.Path(__file__).resolve().parent))
