"""Signals that come early, twice, and in the middle of a stop.

- SIGHUP ended a process that had just been started, by its default action. It is
  sent some milliseconds after each of a few starts; the gateway gets ready.
- A second SIGTERM during a stop ended the process at once, with the requests in
  progress. The planned stop of planned_stop.py is run with SIGTERM three times
  and SIGHUP in between, and keeps all of its promises.

SIGHUP before main() ends a process whatever it does. The test waits for the first
socket that listens, from which on a process counts as started.

usage: signals.py BUILD
"""

import asyncio
import signal
import socket
import time

from planned_stop import PlannedStop, gateway_of_build, run_and_report

# Seconds after the first socket listens at which the process gets SIGHUP.
EARLY = (0.0, 0.002, 0.005, 0.01, 0.02, 0.05)
# Seconds after the first SIGTERM, and the signal.
LATER = ((0.2, signal.SIGTERM), (0.3, signal.SIGHUP), (0.5, signal.SIGTERM),
         (1.0, signal.SIGHUP), (2.0, signal.SIGTERM))


def is_safe(pid):
    """True when the process ignores or handles SIGHUP."""
    with open(f"/proc/{pid}/status") as file:
        rows = dict(line.split(":", 1) for line in file)
    bit = 1 << (signal.SIGHUP - 1)
    masks = int(rows["SigIgn"], 16) | int(rows["SigCgt"], 16)
    return bool(masks & bit)


def listens(port):
    with socket.socket() as s:
        return s.connect_ex(("127.0.0.1", port)) == 0


class Signals(PlannedStop):
    def __init__(self, binary, directory):
        super().__init__(binary, directory)
        self.starts = 0

    def begin_stop(self, gateway):
        super().begin_stop(gateway)
        loop = asyncio.get_running_loop()
        for after, number in LATER:
            loop.call_later(after, self.signal, gateway, number)

    def signal(self, gateway, number):
        if gateway.process.returncode is None:
            gateway.process.send_signal(number)

    async def start_with_reload(self, after):
        """Starts the gateway again; it gets SIGHUP early."""
        self.gateway.process.kill()
        await self.gateway.process.wait()
        await self.gateway.spawn()
        until = time.monotonic() + 2
        while not listens(self.gateway.ports["ready"]) and time.monotonic() < until:
            pass
        if not is_safe(self.gateway.process.pid):
            return self.fail("a started process neither ignores nor handles SIGHUP")
        await asyncio.sleep(after)
        self.gateway.process.send_signal(signal.SIGHUP)
        self.starts += 1
        until = time.monotonic() + 5
        while not await self.gateway.is_ready():
            if time.monotonic() > until:
                return self.fail(f"not ready after SIGHUP {after} s after the start; "
                                 f"exit status {self.gateway.process.returncode}")
            await asyncio.sleep(0.05)

    async def start(self, store, upstream_type, count):
        await super().start(store, upstream_type, count)
        for after in EARLY:
            await self.start_with_reload(after)
        await asyncio.sleep(1.5)


def main():
    test = Signals(*gateway_of_build("signals"))
    run_and_report(test, test.run(),
                   lambda: f"signals: {test.starts} starts with an early SIGHUP; ")


if __name__ == "__main__":
    main()
