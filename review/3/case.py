"""A consumer sends a body whose bytes are a request of their own. The head names
a transfer coding that isn't `chunked`, so the length of the body isn't known."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
import fleet as f  # noqa: E402

COUNT = 5


async def case(fleet):
    await fleet.store.start()
    await fleet.put_config({
        "version": "r5",
        "routes": {"uploads": f.route("/uploads/", "upload", "bandsync", "5000ms", "1200ms"),
                   "consent": f.route("/consent/", "unsafe", "memberconsent", "5000ms",
                                      "1200ms")},
        "services": {"bandsync": f.service(), "memberconsent": f.service()},
        "limits": f.LIMITS})
    for name in ("bandsync", "memberconsent"):
        for n in range(2):
            it = f.Server(fleet, name, f"i-{name}-{n}", "regina", work=0.05)
            fleet.servers.append(it)
            await it.start()
    await fleet.start_gateways(3)
    await asyncio.sleep(2)
    sent = set()
    for n in range(COUNT):
        rid = f"upload-{n}"
        sent.add(rid)
        # The bytes of a file that the consumer uploads. They are no request of
        # the consumer's: it sends one request with one body.
        body = (f"POST /consent/withdraw HTTP/1.1\r\nHost: hulo84.example\r\n"
                f"Request-Id: inside-{n}\r\nDeadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n").encode()
        connection = await f.Connection(fleet, fleet.gateways[n % 3]).open()
        if f.TROUBLE:
            connection.send(rid, "POST", "/uploads/x", body, length=False,
                            fields="Transfer-Encoding: gzip\r\n")
        else:
            connection.send(rid, "POST", "/uploads/x", body)
        fleet.record(f"the body of {rid} has {len(body)} bytes")
        try:
            got = await asyncio.wait_for(connection.answer(rid, "POST"), 2)
            fleet.record(f"{rid}: {got.status}")
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            fleet.record(f"{rid}: {error!r}")
        await asyncio.sleep(0.5)
        connection.close()
    broken = []
    for rid, runs in fleet.runs.items():
        if rid not in sent:
            broken.append(f"UNASKED: {runs[0][1].name} ran {rid}, which no consumer sent: it was "
                          f"inside the body of another request")
    return broken


f.run_case(case, HERE)
