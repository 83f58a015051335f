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
CROWD_TIME = 7.0
PAUSE = 0.05


class ReturningCallers(CallerCrowds):
    most_descriptors = 0

    async def come_and_go(self, number, end):
        visit = 0
        while time.monotonic() < end:
            visit += 1
            writer = await self.one_of_crowd(CROWD, f"{number}-{visit}")
            self.most_descriptors = max(self.most_descriptors, self.descriptors())
            if writer is not None:
                writer.close()
            await asyncio.sleep(PAUSE)

    async def play_returns(self):
        end = time.monotonic() + CROWD_TIME
        crowd = [asyncio.create_task(self.come_and_go(n, end)) for n in range(CALLERS)]
        await asyncio.sleep(CROWD_TIME / 2)
        during = await self.ordinary_request("during")
        await asyncio.gather(*crowd)
        await asyncio.sleep(1.0)
        after = await self.upload("after")
        self.check("returning", self.most_descriptors, during, after)

    async def run(self):
        await self.start(fault_soak.Store(), QuickUpstream, 3)
        await self.play_returns()


def main():
    test = ReturningCallers(*gateway_of_build("returning"))
    run_and_report(test, test.run(), lambda: "returning callers: ")


if __name__ == "__main__":
    main()
