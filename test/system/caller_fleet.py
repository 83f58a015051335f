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
import time

from caller_forms import LATE, MIX, CallerForms, FormsUpstream
import fault_soak
from planned_stop import gateway_of_build, run_and_report

HOSTS = 3
CALLERS_EACH = 100
CROWD_TIME = 6.0


class CallerFleet(CallerForms):
    async def start_fleet(self):
        await self.start(fault_soak.Store(), FormsUpstream, 6)
        seeds = [f"127.0.0.1:{self.gateway.ports['control']}"]
        for n in range(1, HOSTS):
            self.gateways.append(self.gateway_type(self, n))
            await self.gateways[-1].start(seeds)
        await asyncio.sleep(2.5)

    async def at(self, gateway, call, rid):
        """Makes a call at a host; calls open their connection at once."""
        self.gateway = gateway
        return await call(rid)

    async def visit(self, rid, form):
        self.gateway = self.gateways[int(rid.split("-")[1]) % HOSTS]
        await super().visit(rid, form)

    async def run(self):
        await self.start_fleet()
        end = time.monotonic() + CROWD_TIME
        crowd = [asyncio.create_task(self.come_and_go(MIX, n, end))
                 for n in range(HOSTS * CALLERS_EACH)]
        await asyncio.sleep(CROWD_TIME / 2)
        during = [await self.at(it, self.ordinary_request, f"{it.name}-during")
                  for it in self.gateways]
        await asyncio.gather(*crowd)
        await asyncio.sleep(1.0 + LATE)
        for n, it in enumerate(self.gateways):
            after = await self.at(it, self.upload, f"{it.name}-after")
            self.check(it.name, self.most_descriptors, during[n], after)


def main():
    test = CallerFleet(*gateway_of_build("fleet"))
    run_and_report(test, test.run(), lambda: "caller fleet: ")


if __name__ == "__main__":
    main()
