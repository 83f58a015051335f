"""A crowd of callers that send large bodies but their last byte, leave, and come
back at once with the next one.

The gateway and the bounds are those of caller_crowds. Checked is that

- the process lives, and its memory and open descriptors stay within its limits;
- an ordinary request is answered while the crowd comes and goes;
- one body of the same size is served once the crowd has left.

Guards against memory that stays in use between a caller's leaving and the
return of its share.

usage: returning_callers.py BUILD
"""

import asyncio
import time

from caller_crowds import CALLERS, CallerCrowds, QuickUpstream
import fault_soak
from planned_stop import gateway_of_build, run_and_report

CROWD = "whole"
PAUSE = 0.05


class ReturningCrowd(CallerCrowds):
    """A crowd whose callers leave and come back, spread over all gateways."""

    callers = CALLERS
    crowd_time = 7.0
    most_descriptors = 0

    async def visit(self, gateway, name, number, count):
        """One visit of a caller, until it is about to leave.

        Returns what ends it, or None."""
        raise NotImplementedError

    async def come_and_go(self, name, number, end):
        gateway = self.gateways[number % len(self.gateways)]
        count = 0
        while time.monotonic() < end:
            count += 1
            leave = await self.visit(gateway, name, number, count)
            self.most_descriptors = max(self.most_descriptors, self.descriptors(gateway))
            if leave is not None:
                leave()
            await asyncio.sleep(PAUSE)

    async def play_returns(self, name, settle=1.0):
        """settle: seconds from the end of the crowd to the upload behind it."""
        self.most_descriptors = 0
        end = time.monotonic() + self.crowd_time
        crowd = [asyncio.create_task(self.come_and_go(name, n, end))
                 for n in range(self.callers)]
        await asyncio.sleep(self.crowd_time / 2)
        during = [await self.ordinary_request(it, f"{name}-{it.name}-during")
                  for it in self.gateways]
        await asyncio.gather(*crowd)
        await asyncio.sleep(settle)
        for gateway, answered in zip(self.gateways, during):
            after = await self.upload(gateway, f"{name}-{gateway.name}-after")
            self.check(gateway, f"{name} at {gateway.name}", self.most_descriptors,
                       answered, after)


class ReturningCallers(ReturningCrowd):
    async def visit(self, gateway, name, number, count):
        writer = await self.one_of_crowd(gateway, CROWD, f"{number}-{count}")
        return None if writer is None else writer.close

    async def run(self):
        await self.start(fault_soak.Store(), QuickUpstream, 3)
        await self.play_returns("returning")


def main():
    test = ReturningCallers(*gateway_of_build("returning"))
    run_and_report(test, test.run(), lambda: "returning callers: ")


if __name__ == "__main__":
    main()
