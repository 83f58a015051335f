"""One request whose header field is longer than 64 KiB, and shorter than the
configured limit, beside consumers on kept connections."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
import fleet as f  # noqa: E402

LIMIT = 131072  # max_header_bytes of the configuration in force
FIELD = 70000 if f.TROUBLE else 7000  # bytes of the long field
CONSUMERS = 12  # on kept connections of each host


def document(version, max_header_bytes):
    return {"version": version,
            "routes": {"consent": f.route("/consent/", "unsafe", "memberconsent", "5000ms",
                                          "1200ms"),
                       "board": f.route("/board/", "safe", "memberconsent", "1500ms", "400ms")},
            "services": {"memberconsent": f.service()},
            "limits": dict(f.LIMITS, max_header_bytes=max_header_bytes)}


async def consumer(fleet, gateway, number, until, cut):
    connection = None
    n = 0
    while f.now() < until:
        n += 1
        rid = f"consent-{gateway.name}-{number}-{n}"
        try:
            if connection is None:
                connection = await f.Connection(fleet, gateway).open()
            kept = connection.answered > 0
            connection.send(rid, "POST", "/consent/x", b"withdraw")
            await asyncio.wait_for(connection.answer(rid, "POST"), 5.5)
        except asyncio.TimeoutError:  # an OSError in newer versions of Python
            fleet.record(f"no answer in time {rid}")
            connection = None
        except (OSError, asyncio.IncompleteReadError) as error:
            ran = fleet.runs.get(rid)
            fleet.record(f"no answer {rid}, ran {len(ran or [])} times: {error!r}")
            if connection is not None and ran and kept:
                cut.append(rid)
            connection = None
            await asyncio.sleep(0.2)
        await asyncio.sleep(0.01)


async def case(fleet):
    await fleet.store.start()
    await fleet.put_config(document("r5", LIMIT))
    fleet.servers = [f.Server(fleet, "memberconsent", f"i-{n}", "regina", slots=4, work=0.3)
                     for n in range(12)]
    for it in fleet.servers:
        await it.start()
    await fleet.start_gateways(3)
    await asyncio.sleep(2)
    cut = []
    until = f.now() + 10
    tasks = [asyncio.ensure_future(consumer(fleet, g, n, until, cut))
             for g in fleet.gateways for n in range(CONSUMERS)]
    await asyncio.sleep(4)
    first = fleet.gateways[0]
    connection = await f.Connection(fleet, first).open()
    connection.send("board-long", "GET", "/board/x", fields=f"Cookie: {'c' * FIELD}\r\n")
    try:
        got = await asyncio.wait_for(connection.answer("board-long", "GET"), 2)
        fleet.record(f"the request with the long field: {got.status}")
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        fleet.record(f"the request with the long field: {error!r}")
    await asyncio.sleep(0.5)
    for it in fleet.gateways:
        fleet.record(f"{it.name}: exit status {it.process.returncode}")
    ended = [it.name for it in fleet.gateways if it.process.returncode is not None]
    await asyncio.gather(*tasks)
    if len(cut) <= 3:
        return []
    return [f"LOST: {len(cut)} requests from kept connections had been passed on to a sound "
            f"server and their connections closed without an answer; ended by itself: {ended}"]


f.run_case(case, HERE)
