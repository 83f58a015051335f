"""Callers with bodies of the largest legal size, at a host of the usual size.

One gateway is told of 112 MB, and bodies may have 64 MB. Checked is that

- one body of the largest size is served in calm;
- while 60 callers send 40 MB but the last byte, leave and come back, the process
  lives, stays within its memory and descriptors, and answers an ordinary request;
- one body of the largest size is served once they have left.

Guards against a process that keeps such bodies in memory and is killed for it.

usage: largest_bodies.py BUILD
"""

import asyncio
import time

from caller_crowds import CallerCrowds, QuickUpstream
import fault_soak
from planned_stop import gateway_of_build, run_and_report

MEGA = 1_000_000
CALLERS = 60
CROWD_TIME = 5.0
SEND_LIMIT = 2.0
PAUSE = 0.05
STEP = 200_000


class LargestBodies(CallerCrowds):
    memory_mb = 112
    max_body = body = 64 * MEGA
    crowd_body = 40 * MEGA
    most_descriptors = 0

    async def visit(self, rid):
        _, writer = await self.open()
        writer.write((f"POST /upload/1 HTTP/1.1\r\nHost: x.example\r\nRequest-Id: {rid}\r\n"
                      f"Deadline-Ms: 8000\r\nContent-Length: {self.crowd_body}\r\n\r\n").encode())
        end = time.monotonic() + SEND_LIMIT
        left = self.crowd_body - 1
        try:
            while left > 0 and time.monotonic() < end:
                writer.write(b"x" * min(STEP, left))
                left -= STEP
                await asyncio.wait_for(writer.drain(), SEND_LIMIT)
        except (OSError, asyncio.TimeoutError):
            pass
        self.most_descriptors = max(self.most_descriptors, self.descriptors())
        writer.close()

    async def come_and_go(self, number, end):
        count = 0
        while time.monotonic() < end:
            count += 1
            await self.visit(f"{number}-{count}")
            await asyncio.sleep(PAUSE)

    async def run(self):
        await self.start(fault_soak.Store(), QuickUpstream, 3)
        calm = await self.upload("calm")
        end = time.monotonic() + CROWD_TIME
        crowd = [asyncio.create_task(self.come_and_go(n, end)) for n in range(CALLERS)]
        await asyncio.sleep(CROWD_TIME / 2)
        during = await self.ordinary_request("during")
        await asyncio.gather(*crowd)
        await asyncio.sleep(1.0)
        after = await self.upload("after")
        self.check("largest bodies", self.most_descriptors, during, after)
        if calm != 200:
            self.fail(f"upload in calm: {calm}")


def main():
    test = LargestBodies(*gateway_of_build("largest"))
    run_and_report(test, test.run(), lambda: "largest bodies: ")


if __name__ == "__main__":
    main()
