"""A connection gets one answer too many after a read that was hedged twice.

Some servers run a request and break off instead of answering it. A read that met
two of them is answered whole, by a third server. After its answer the consumer
gets a second one, a refusal that no request waits for: it takes it for the answer
to the order that it sends next, and the order's own answer for that to a read.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
import stand  # noqa: E402

# Servers, and those of them that break off: a share of 0.6.
SERVERS, GREY = 20, 12
# Spells of 4 s in which they do so, the time between the begins of two, and the
# costly reads that are sent in each.
SPELLS, SPELL, APART = 3, 4.0, 14.0
CONSUMERS = 60
# Consumers that send usual reads without a pause.
USUAL = 10
# Work in milliseconds of a usual read, of a costly one and of an order. The site's
# reads take 350 ms on average and 3,700 at most.
USUAL_MS, COSTLY_MS, ORDER_MS = 100, 700, 50
# When a server breaks off, in seconds after it began: by the number of the run.
BREAK_OFF = {1: 0.3, 4: 0.65}
LIMIT_MS = 8000


class GreyServer(stand.Server):
    """Runs some requests and breaks off instead of answering."""

    def __init__(self, case, number, service, slots):
        super().__init__(case, number, service, slots)
        self.grey = number < GREY

    async def serve(self, writer, line, fields, body):
        rid = fields.get("request-id", "")
        after = None
        if fields.get("expect-instance") == self.name:
            after = self.case.breaks_off_after(rid, self.grey)
        if not after:
            return await super().serve(writer, line, fields, body)
        self.case.note(f"{self.name} runs {rid} and breaks off after {after} s")
        await asyncio.sleep(after)
        writer.transport.abort()


class Surplus(stand.Case):
    routes = {
        "proof-view": {
            "hostname": stand.HOST, "path_prefix": "/proof/", "kind": "safe",
            "timeout": f"{LIMIT_MS}ms", "target_latency": "1000ms", "priority": 2,
            "service": "s", "max_attempts": 4},
        "book-order": {
            "hostname": stand.HOST, "path_prefix": "/order/", "kind": "unsafe",
            "timeout": f"{LIMIT_MS}ms", "target_latency": "1000ms", "priority": 1,
            "service": "s", "max_attempts": 2}}
    servers_wanted = SERVERS
    server_type = GreyServer

    async def prepare(self):
        self.arrivals = {}
        self.faults = 0
        await super().prepare()

    def breaks_off_after(self, rid, grey):
        """Time after which a server breaks off a run of a costly read, or None."""
        if not rid.startswith("costly") or not self.trouble:
            return None
        n = self.arrivals[rid] = self.arrivals.get(rid, 0) + 1
        after = BREAK_OFF.get(n) if grey else None
        self.faults += after is not None
        return after

    async def answer_to(self, rid, reader):
        line, fields, body = await asyncio.wait_for(stand.read_message(reader), LIMIT_MS / 1000)
        stamp = fields.get("server-stamp")
        self.note(f"{rid} got {line}, id {fields.get('request-id')}, stamp {stamp}")
        if " 2" in line[:10] and not (stamp or "").endswith(f".{rid}"):
            self.break_rule(f"{rid} got {line} that belongs to another request: "
                            f"id {fields.get('request-id')}, stamp {stamp}")

    async def usual_reads(self, number, gateway):
        reader, writer = await self.connect(gateway)
        for n in range(10**6):
            rid = f"usual-{number}-{n}"
            writer.write(self.request("GET", f"/proof/{USUAL_MS}", rid, LIMIT_MS))
            await stand.read_message(reader)

    async def consumer(self, n, gateway):
        """Three requests on one connection, each sent after the answer before it."""
        reader, writer = await self.connect(gateway)
        try:
            for method, path, rid, body in (
                    ("GET", f"/proof/{COSTLY_MS}", f"costly-{n}", b""),
                    ("POST", f"/order/{ORDER_MS}", f"order-{n}", b"x" * 1200),
                    ("GET", f"/proof/{USUAL_MS}", f"read-{n}", b"")):
                writer.write(self.request(method, path, rid, LIMIT_MS, body))
                await self.answer_to(rid, reader)
            # Nothing waits any more.
            line, fields, _ = await asyncio.wait_for(stand.read_message(reader), 1.0)
            stamp = fields.get("server-stamp")
            self.note(f"consumer {n} waits for nothing and gets {line}, stamp {stamp}")
            if " 2" in line[:10]:
                self.break_rule(f"consumer {n} got {line}, stamp {stamp}, on a connection with "
                                "no request waiting")
        except asyncio.TimeoutError:
            pass
        except (OSError, asyncio.IncompleteReadError) as error:
            self.note(f"consumer {n}: {error!r}")
        writer.close()

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
        runs = sum(len(it) for it in self.runs.values()) + self.faults
        self.note(f"{self.faults} of {runs} runs broke off")


if __name__ == "__main__":
    stand.run(Surplus(pathlib.Path(__file__).resolve().parent))
