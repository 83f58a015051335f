#!/usr/bin/env python3
"""Writes the table of docs/CAPACITY.md from measured slopes.

docs/capacity.json holds the target and the slopes, each with the command
that measured it. With --check the script fails when the page differs.
"""
import json
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parents[1]
PAGE = ROOT / "docs" / "CAPACITY.md"
DATA = ROOT / "docs" / "capacity.json"
BEGIN = "<!-- begin of the computed part -->"
END = "<!-- end of the computed part -->"
DAY = 86_400
MB = 1e6


def number(value):
    """Short text of a number: three significant digits."""
    if value == 0:
        return "0"
    if value >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


class Model:
    """Figures at the target, from slopes."""

    def __init__(self, data):
        self.target = data["target"]
        self.slope = {k: v["value"] for k, v in data["slopes"].items()}
        self.assumed = {k: v["value"] for k, v in data["assumptions"].items()}

    def requests_per_host(self):
        return self.target["requests_per_s"] / self.target["hosts"]

    def once_per_host(self):
        return self.requests_per_host() * self.assumed["non_idempotent_share"]

    def claims_per_s(self):
        return (self.target["requests_per_s"]
                * self.assumed["non_idempotent_share"]
                * self.assumed["keyed_share"])

    def changes_per_s(self):
        return self.target["changes_per_day"] / DAY

    def rows(self):
        return [self.entry(), self.agent(), self.reader(), self.claim_writer(),
                self.collector(), self.snapshot_writer(), self.prober()]

    def entry(self):
        s, t = self.slope, self.target
        rate = self.requests_per_host()
        entries = self.once_per_host() * self.assumed["token_lifetime_s"]
        # Each token forwarded opens or keeps a connection at both ends.
        forward = min(2 * t["hosts"], 2 * self.once_per_host()
                      * self.assumed["forward_idle_s"])
        cpu = rate * s["entry_cpu_us_per_request"] / 1e6
        memory = (s["entry_base_mb"] + s["configuration_mb"]
                  + entries * s["used_entry_bytes"] / MB
                  + self.assumed["kept_answers_mb"]
                  + forward * s["stream_connection_bytes"] / MB
                  + t["workspaces"] * s["workspace_bytes"] / MB)
        return ["entry", "configuration, pick tables, used table "
                f"({number(entries)} entries), warm connections, workspaces",
                f"{number(rate)} requests/s, "
                f"{number(self.once_per_host())} forwarded/s",
                f"{number(cpu * 100)}% of a core", f"{number(memory)} MB",
                "RCU snapshots, subsets, tokens"]

    def agent(self):
        s, t = self.slope, self.target
        gossip_cpu = s["gossip_us_per_period"] / 1e6
        change_cpu = self.changes_per_s() * s["change_apply_us"] / 1e6
        gossip = s["gossip_bytes_per_s"]
        push = self.changes_per_s() * self.assumed["record_bytes"]
        boot = (t["restarts_per_day"] + t["failures_per_day"]) / DAY \
            * s["snapshot_bytes"] / t["hosts"]
        memory = s["agent_base_mb"] + s["configuration_mb"]
        return ["agent", "configuration, member table, change history, audit buffer",
                f"gossip {number(gossip / 1e3)} KB/s, streams "
                f"{number(s['agent_streams_bytes_per_s'] / 1e3)} KB/s, records "
                f"{number(push)} B/s, snapshots to booting hosts "
                f"{number(boot)} B/s",
                f"{number(s['agent_cpu_idle_percent'] + (gossip_cpu + change_cpu) * 100)}% of a core",
                f"{number(memory)} MB",
                "gossip with constant messages per host; deltas"]

    def reader(self):
        s, t = self.slope, self.target
        per_centre = t["hosts"] / t["data_centres"]
        pushes = per_centre / self.assumed["log_readers"]
        out = self.changes_per_s() * self.assumed["record_bytes"] * pushes
        polls = self.assumed["log_readers"] * t["data_centres"] \
            / self.assumed["read_wait_s"]
        return ["log reader", "log position",
                f"{number(pushes)} hosts pushed to, {number(out)} B/s out; "
                f"{number(polls)} reads/s of the log by the whole fleet",
                "in the agent's", "in the agent's",
                "rendezvous order per data centre; long polls"]

    def claim_writer(self):
        s, t = self.slope, self.target
        appends = 64 / self.assumed["append_gap_s"]
        claims = self.claims_per_s()
        held = claims * self.assumed["key_lifetime_s"] / 64
        memory = held * self.assumed["claim_bytes"] / MB
        return ["claim writer", f"{number(held)} held keys per partition "
                f"({number(memory)} MB)",
                f"{number(claims)} claims/s in at most {number(appends)} "
                "appends/s, both for the whole fleet",
                "in the entry's", "in the entry's",
                "64 partitions, batches, rendezvous order"]

    def collector(self):
        s, t = self.slope, self.target
        services = t["services"] / t["hosts"]
        cpu = s["evidence_cpu_percent"] / 100
        traffic = s["evidence_bytes_per_s"]
        return ["evidence collector",
                f"{number(services)} services, "
                f"{number(t['servers'] / t['hosts'])} upstreams "
                f"({number(s['collector_bytes_per_upstream'])} B each)",
                f"{number(traffic / 1e3)} KB/s in and out",
                f"{number(cpu * 100)}% of a core", "in the agent's",
                "one collector per service, rendezvous order"]

    def snapshot_writer(self):
        s = self.slope
        per_day = 3 * DAY / self.assumed["retention_s"]
        return ["snapshot writer", "none of its own",
                f"{number(per_day)} appends a day of "
                f"{number(s['snapshot_bytes'] / MB)} MB by the whole fleet",
                f"{number(s['snapshot_encode_ms'])} ms each", "0 lasting",
                "a third of the retention; rank in rendezvous order"]

    def prober(self):
        out = self.target["servers"] * self.assumed["share_out_of_service"]
        probes = out * self.assumed["probes_per_s_per_upstream"]
        return ["prober", "none lasting",
                f"{number(probes)} probes/s by the whole fleet for "
                f"{number(out)} upstreams out of service",
                "in the agent's", "in the agent's",
                "the collector probes, so the budget is the fleet's"]


def control(model):
    """Control of one node against its budget."""
    s = model.slope
    gossip = s["gossip_us_per_period"] / 1e4
    cpu = s["agent_cpu_idle_percent"] + gossip + s["evidence_cpu_percent"]
    network = (s["gossip_bytes_per_s"] + s["agent_streams_bytes_per_s"]
               + s["evidence_bytes_per_s"]) / 1e3
    upstreams = model.target["servers"] / model.target["hosts"]
    memory = (s["agent_base_mb"] + s["configuration_mb"]
              + upstreams * s["collector_bytes_per_upstream"] / MB)
    return table(["control of a node", "budget", "computed"],
                 [["processor", "2.8% of a core", f"{number(cpu)}%"],
                  ["memory", "64 MB", f"{number(memory)} MB"],
                  ["network", "14 KB/s", f"{number(network)} KB/s"]])


def table(header, rows):
    lines = ["| " + " | ".join(header) + " |", "|" + "---|" * len(header)]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)


def appends(model):
    """Appends per second per stream for the whole fleet."""
    per_day = 3 * DAY / model.assumed["retention_s"]
    claims = 64 / model.assumed["append_gap_s"]
    rows = [["configuration", number(model.changes_per_s())],
            ["snapshots", number(per_day / DAY)],
            ["claims (64 partitions)", f"at most {number(claims)}"],
            ["audit", f"at most {number(model.assumed['audit_appends'])}"]]
    total = model.changes_per_s() + per_day / DAY + claims \
        + model.assumed["audit_appends"]
    rows.append(["sum", f"at most {number(total)}"])
    return table(["stream", "appends/s"], rows)


def events(model):
    """Cost of failures and restarts."""
    s, t = model.slope, model.target
    boots = t["restarts_per_day"] + t["failures_per_day"]
    rack = model.assumed["hosts_per_rack"]
    centre = t["hosts"] / t["data_centres"]
    size = s["snapshot_bytes"] / MB
    rows = [
        ["29 failures and 780 restarts a day",
         f"{number(boots)} boots, {number(boots * size)} MB of snapshots a "
         f"day; {number(t['failures_per_day'])} times one host's tokens "
         "become unknown"],
        ["a rack or switch a week",
         f"{number(rack)} hosts; 1/{number(t['hosts'] / rack)} of tokens "
         f"unknown; {number(rack * size)} MB when they return"],
        ["a data centre once or twice a year",
         f"{number(centre)} hosts; the others carry "
         f"{number(t['data_centres'] / (t['data_centres'] - 1))} times their "
         f"requests; {number(centre * size)} MB when it returns"],
        ["an hour between regions",
         f"the side without the log misses "
         f"{number(t['changes_per_day'] / 24)} changes and reads "
         f"{number(t['changes_per_day'] / 24 * model.assumed['record_bytes'] / 1e3)} KB "
         "afterwards"],
    ]
    return table(["event", "cost"], rows)


def slopes(data):
    rows = [[k.replace("_", " "), number(v["value"]), v["source"]]
            for k, v in data["slopes"].items()]
    return table(["slope", "value", "measured by"], rows)


def assumptions(data):
    rows = [[k.replace("_", " "), number(v["value"]), v["why"]]
            for k, v in data["assumptions"].items()]
    return table(["assumption", "value", "reason"], rows)


def computed(data):
    model = Model(data)
    connections = model.slope["connections_per_server"]
    return "\n\n".join([
        "## Per role, for one host at the target",
        table(["role", "state", "messages", "processor", "memory", "mechanism"],
              model.rows()),
        "## Control against its budget", control(model),
        "## Appends", appends(model),
        "## Connections",
        f"A server of a service with 19 servers holds at most "
        f"{number(connections)} connections from 810 hosts; its limit is 400. "
        f"A host holds warm connections to "
        f"{number(model.slope['servers_per_host'])} of the 19.",
        "## Failures", events(model),
        "## Slopes", slopes(data),
        "## Assumptions", assumptions(data)])


def main():
    data = json.loads(DATA.read_text())
    page = PAGE.read_text()
    head, rest = page.split(BEGIN)
    tail = rest.split(END)[1]
    fresh = f"{head}{BEGIN}\n\n{computed(data)}\n\n{END}{tail}"
    if "--check" in sys.argv:
        if fresh != page:
            sys.exit("docs/CAPACITY.md differs from docs/capacity.json: "
                     "run ci/capacity.py")
        return
    PAGE.write_text(fresh)


main()
