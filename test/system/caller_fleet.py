"""A crowd in front of each host of a small fleet, of which some dispatch for the
others and read the store for them.

Three gateways are told of 48 MB each. The callers are the mix of caller_forms,
which come back as soon as they have left. Checked is, for each host, that

- the process lives, and its memory and open descriptors stay within its limits;
- an ordinary request is answered while the crowd comes and goes;
- one body of the same size is served once the crowd has left.

Guards against a crowd at one host that ends what it does for the others.

usage: caller_fleet.py BUILD
"""

import asyncio

from caller_forms import MIX, CallerForms, FormsUpstream
import fault_soak
from planned_stop import gateway_of_build, run_and_report

HOSTS = 3


class CallerFleet(CallerForms):
    callers = 300
    crowd_time = 6.0

    async def start_fleet(self):
        await self.start(fault_soak.Store(), FormsUpstream, 6)
        seeds = [f"127.0.0.1:{self.gateway.ports['control']}"]
        for n in range(1, HOSTS):
            self.gateways.append(self.gateway_type(self, n))
            await self.gateways[-1].start(seeds)
        await asyncio.sleep(2.5)

    async def run(self):
        await self.start_fleet()
        await self.play_form(MIX)


def main():
    test = CallerFleet(*gateway_of_build("fleet"))
    run_and_report(test, test.run(), lambda: "caller fleet: ")


if __name__ == "__main__":
    main()
