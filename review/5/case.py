"""The settings file changes while a process starts: SIGHUP arrives before the
process has installed its handler."""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
import fleet as f  # noqa: E402

HOSTS = 4
CHANGED = 2  # hosts that get SIGHUP
CHANGES = 3  # of the settings of each of them
AFTER_START = 0.010 if f.TROUBLE else 2.0  # when SIGHUP comes, in seconds
RESTART = 0.3  # the platform's delay before it starts a process again


async def change_settings(fleet, gateway, ends):
    for n in range(CHANGES):
        began = f.now()
        await gateway.spawn()
        await asyncio.sleep(AFTER_START)
        gateway.path.write_text(gateway.path.read_text().replace('"bootstrap": true',
                                                                 '"bootstrap": false'))
        fleet.record(f"settings of {gateway.name} changed, SIGHUP {f.now() - began:.3f} s "
                     f"after its start")
        gateway.send_signal(signal.SIGHUP)
        try:
            status = await asyncio.wait_for(gateway.process.wait(), 2)
        except asyncio.TimeoutError:
            fleet.record(f"{gateway.name} runs on")
            gateway.process.kill()  # of this test, to start it again
            await gateway.process.wait()
            continue
        ends[gateway.name] = ends.get(gateway.name, 0) + 1
        fleet.record(f"{gateway.name} ended by itself, status {status}")
        await asyncio.sleep(RESTART)


async def case(fleet):
    await fleet.store.start()
    await fleet.put_config({
        "version": "r5",
        "routes": {"consent": f.route("/consent/", "unsafe", "memberconsent", "5000ms",
                                      "1200ms")},
        "services": {"memberconsent": f.service()}, "limits": f.LIMITS})
    fleet.servers = [f.Server(fleet, "memberconsent", "i-0", "regina")]
    await fleet.servers[0].start()
    await fleet.start_gateways(HOSTS)
    for it in fleet.gateways[:CHANGED]:
        it.process.kill()  # of this test, so that each start below is its own
        await it.process.wait()
    ends = {}
    await asyncio.gather(*[change_settings(fleet, it, ends) for it in fleet.gateways[:CHANGED]])
    often = {name: n for name, n in ends.items() if n >= 3}
    if len(often) >= 2:
        return [f"Fault: processes ended by themselves three times on {len(often)} of "
                f"{len(fleet.gateways)} machines: {often}"]
    return []


f.run_case(case, HERE)
