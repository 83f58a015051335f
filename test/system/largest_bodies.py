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

from caller_crowds import QuickUpstream, post_head
import fault_soak
from planned_stop import gateway_of_build, run_and_report
from returning_callers import ReturningCrowd

MEGA = 1_000_000
SEND_LIMIT = 2.0
STEP = 200_000


class LargestBodies(ReturningCrowd):
    memory_mb = 112
    max_body = body = 64 * MEGA
    crowd_body = 40 * MEGA
    callers = 60
    crowd_time = 5.0

    async def visit(self, gateway, name, number, count):
        _, writer = await self.open(gateway)
        writer.write(post_head("upload", f"{name}-{number}-{count}",
                               f"Content-Length: {self.crowd_body}"))
        end = time.monotonic() + SEND_LIMIT
        left = self.crowd_body - 1
        try:
            while left > 0 and time.monotonic() < end:
                writer.write(b"x" * min(STEP, left))
                left -= STEP
                await asyncio.wait_for(writer.drain(), SEND_LIMIT)
        except (OSError, asyncio.TimeoutError):
            pass
        return writer.close

    async def run(self):
        await self.start(fault_soak.Store(), QuickUpstream, 3)
        calm = await self.upload(self.gateway, "calm")
        if calm != 200:
            self.fail(f"upload in calm: {calm}")
        await self.play_returns("largest_bodies")


def main():
    test = LargestBodies(*gateway_of_build("largest"))
    run_and_report(test, test.run(), lambda: "largest bodies: ")


if __name__ == "__main__":
    main()
