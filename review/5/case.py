"""The host that reads the configuration for the others is cut off from the store
while the operator drops a route."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
import fleet as f  # noqa: E402

HOSTS = 6
ROUNDS = 4
CUT = 5.5  # seconds
CALM = 6.0  # seconds between a cut and the next one
CONFIG_APPLY = 2.0  # bound `config_apply`, in seconds
STABLE_WINDOW = 3.0  # bound `stable_window`, in seconds


def document(version, extra=None):
    routes = {"board": f.route("/board/", "safe", "memberconsent", "1500ms", "400ms")}
    if extra:
        routes[extra] = f.route(f"/{extra}/", "unsafe", "memberconsent", "5000ms", "1200ms")
    return {"version": f"r{version}", "routes": routes,
            "services": {"memberconsent": f.service()}, "limits": f.LIMITS}


def waits(gateway, since):
    """Reads of the configuration that wait for a change, as the platform sees them."""
    return [at for at, line in gateway.link.requests
            if at >= since and b"topic=keyed.op" in line and b"wait_ms" in line]


async def only_reader(fleet):
    """The one host that reads the configuration, when its next read begins."""
    until = f.now() + 10
    while f.now() < until:
        readers = [it for it in fleet.gateways if waits(it, f.now() - 2.2)]
        if len(readers) == 1:
            begun = f.now()
            while f.now() < begun + 1.5:
                if waits(readers[0], begun):
                    return readers[0]
                await asyncio.sleep(0.001)
        await asyncio.sleep(0.1)
    return None


async def watch(fleet, gateway, route, acknowledged, stale):
    n = 0
    while f.now() < acknowledged + 4:
        n += 1
        sent = f.now()
        rid = f"{route}-{gateway.name}-{n}"
        got = await f.request(fleet, gateway, rid, f"/{route}/x", "POST", b"withdraw")
        if got is not None and got.status == 404:
            fleet.record(f"{gateway.name} has dropped the route, request sent "
                         f"{sent - acknowledged:.3f} s after the acknowledgement")
            return
        if sent - acknowledged > CONFIG_APPLY and fleet.runs.get(rid):
            stale.append((gateway.name, sent - acknowledged))
        await asyncio.sleep(0.02)


async def case(fleet):
    await fleet.store.start()
    version, broken = 5, []
    await fleet.put_config(document(version))
    for n in range(4):
        it = f.Server(fleet, "memberconsent", f"i-{n}", "regina", work=0.01)
        fleet.servers.append(it)
        await it.start()
    await fleet.start_gateways(HOSTS)
    await asyncio.sleep(STABLE_WINDOW + 1)
    for n in range(ROUNDS):
        route = f"consent-{n}"
        version += 3
        await fleet.put_config(document(version, route))
        await asyncio.sleep(STABLE_WINDOW)
        reader = await only_reader(fleet)
        if reader is None:
            fleet.record("more than one host reads the configuration, or none")
            continue
        begun = f.now()
        if f.TROUBLE:
            reader.link.cut()
            fleet.record(f"{reader.name} is cut off from the store")
        version += 3
        acknowledged = await fleet.put_config(document(version))
        stale = []
        await asyncio.gather(*[watch(fleet, it, route, acknowledged, stale)
                               for it in fleet.gateways if it is not reader])
        await asyncio.sleep(max(0.0, begun + CUT - f.now()))
        reader.link.heal()
        fleet.record(f"{reader.name} reaches the store")
        if stale:
            hosts = sorted({name for name, _ in stale})
            last = max(age for _, age in stale)
            broken.append(f"CONFIG: {len(stale)} requests on the route that r{version} drops ran "
                          f"through {len(hosts)} hosts in touch, the last one sent {last:.3f} s "
                          f"after the acknowledgement")
        await asyncio.sleep(CALM)
    return broken


f.run_case(case, HERE)
