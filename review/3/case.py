"""HEAD requests on kept connections when the operator drops their route."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
import fleet as f  # noqa: E402

CONSUMERS = 9
CHANGE_AFTER = 2.0  # seconds


class HeadServer(f.Server):
    """Answers HEAD with the head of its answer to GET, and no body."""

    async def take(self, reader, writer, line, fields, body):
        if not line.startswith("HEAD "):
            return await super().take(reader, writer, line, fields, body)
        rid = fields.get("request-id", "")
        self.fleet.arrived(self, rid, line, fields)
        self.fleet.ran(self, rid, line, body)
        await asyncio.sleep(self.work)
        text = b"x" * 160
        whole = f.message(200, text, [("Request-Id", rid), ("Server-Load", self.load()),
                                      ("Server-Stamp", f"{self.name}.{rid}")])
        writer.write(whole[:-len(text)])
        return True


async def consumer(fleet, gateway, number, until, broken):
    connection = None
    n = 0
    while f.now() < until:
        n += 1
        head, action = f"head-{number}-{n}", f"action-{number}-{n}"
        try:
            if connection is None:
                connection = await f.Connection(fleet, gateway).open()
            connection.send(head, "HEAD", "/board/x", limit=1.5)
            got = await asyncio.wait_for(connection.answer(head, "HEAD"), 2)
            if got.fields.get("connection", "").lower() == "close":
                connection.close()
                connection = None
                continue
            connection.send(action, "POST", "/consent/x", b"withdraw")
            await asyncio.wait_for(connection.answer(action, "POST"), 5.5)
        except f.BadBytes as error:
            ran = len(fleet.runs.get(action, []))
            broken.append(f"MIXED: in place of the answer to {action}, which ran {ran} times, "
                          f"on a kept connection behind {head}: {str(error)[:60]!r}")
            connection.close()
            connection = None
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            fleet.record(f"no answer {head} or {action}: {error!r}")
            connection = None
        await asyncio.sleep(0.1)


def document(version, board):
    routes = {"consent": f.route("/consent/", "unsafe", "memberconsent", "5000ms", "1200ms")}
    if board:
        routes["board"] = f.route("/board/", "safe", "restboard", "1500ms", "400ms")
    return {"version": version, "routes": routes,
            "services": {"restboard": f.service(), "memberconsent": f.service()},
            "limits": f.LIMITS}


async def case(fleet):
    await fleet.store.start()
    await fleet.put_config(document("r5", True))
    for name, work in (("restboard", 0.05), ("memberconsent", 0.1)):
        for n in range(4):
            it = HeadServer(fleet, name, f"i-{name}-{n}", "regina", work=work)
            fleet.servers.append(it)
            await it.start()
    await fleet.start_gateways(3)
    await asyncio.sleep(2)
    broken = []
    until = f.now() + CHANGE_AFTER + 4
    tasks = [asyncio.ensure_future(consumer(fleet, fleet.gateways[n % 3], n, until, broken))
             for n in range(CONSUMERS)]
    await asyncio.sleep(CHANGE_AFTER)
    if f.TROUBLE:
        await fleet.put_config(document("r7", False))
    await asyncio.gather(*tasks)
    return broken


f.run_case(case, HERE)
