#!/usr/bin/env python3
"""Measures agents on loopback against one platform stand-in.

usage: agents.py BUILD [SIZE ...]    numbers of agents; default 3 10 41

For each size: CPU, memory and network bytes per agent while idle, then the
time in which 20 published changes are in force on all agents. Network bytes
are those of all TCP connections, the platform's included, with 52 bytes of
headers a segment, and of gossip with 28 bytes of headers a datagram.
Exits with 1 when a goal of docs/design.md is missed.
"""
import collections
import datetime
import json
import os
import pathlib
import re
import subprocess
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "demo"))

from fleet import ADMIN_PORT, Fleet, Host, call, wait_for  # noqa: E402

DATA_CENTRES = 3
SETTLE_S = 8
IDLE_S = 20
CHANGES = 20
CHANGE_INTERVAL_S = 0.5
TCP_HEADER_BYTES = 52
UDP_HEADER_BYTES = 28

GOAL_IN_FORCE_MS = 1000
GOAL_IDLE_CPU_PERCENT = 0.5
GOAL_BUSY_CPU_PERCENT = 2.8
GOAL_MEMORY_MB = 64
GOAL_NETWORK_BYTES = 14 * 1024


class AgentFleet(Fleet):
    """Hosts without entries."""

    def start(self, name, *command):
        return None if command[0] == "oriole-entry" else super().start(
            name, *command)


def metrics(host):
    import urllib.request
    with urllib.request.urlopen(f"http://{host.at(ADMIN_PORT)}/metrics",
                                timeout=5) as answer:
        lines = answer.read().decode().splitlines()
    return {k: float(v) for k, v in
            (line.split() for line in lines if not line.startswith("#"))}


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().split(")")[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_mb(pid):
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", text).group(1)) / 1024


def tcp_bytes():
    """Bytes sent and received by pid, with headers, of open connections."""
    lines = subprocess.run(["ss", "-Htinp"], capture_output=True,
                           text=True).stdout.splitlines()
    total = collections.Counter()
    pid = None
    for line in lines:
        owner = re.search(r"pid=(\d+)", line)
        if owner:
            pid = int(owner.group(1))
            continue
        found = dict(re.findall(
            r"(bytes_sent|bytes_received|segs_out|segs_in):(\d+)", line))
        if pid is not None:
            for key, value in found.items():
                scale = TCP_HEADER_BYTES if key.startswith("segs") else 1
                total[pid] += int(value) * scale
        pid = None
    return total


class Sample:
    """Counters of all agents at one time."""

    def __init__(self, hosts):
        self.time = time.monotonic()
        self.cpu = {h.name: cpu_seconds(h.agent.pid) for h in hosts}
        tcp = tcp_bytes()
        self.tcp = {h.name: tcp[h.agent.pid] for h in hosts}
        values = {h.name: metrics(h) for h in hosts}
        self.gossip = {
            n: v["oriole_gossip_sent_bytes_total"] +
            v["oriole_gossip_received_bytes_total"] +
            UDP_HEADER_BYTES * (v["oriole_gossip_sent_datagrams_total"] +
                                v["oriole_gossip_received_datagrams_total"])
            for n, v in values.items()}
        self.push = {n: v["oriole_push_sent_bytes_total"] +
                     v["oriole_push_received_bytes_total"]
                     for n, v in values.items()}


def rates(before, after, key):
    seconds = after.time - before.time
    a, b = getattr(before, key), getattr(after, key)
    return [(b[n] - a[n]) / seconds for n in b]


def start(fleet, size):
    fleet.start_platform()
    for n in range(size):
        fleet.hosts.append(Host(
            f"host-{n:03}", f"dc{n % DATA_CENTRES + 1}",
            f"127.{fleet.network}.{n % DATA_CENTRES + 1}.{n // DATA_CENTRES + 1}"))
    fleet.list_hosts()
    for host in fleet.hosts:
        fleet.start_host(host)
    for host in fleet.hosts:
        wait_for(lambda: call(host.at(ADMIN_PORT), "/readyz")[0] == 200,
                 host.name, 30)
        wait_for(lambda: metrics(host)["oriole_members_live"] == size,
                 f"{host.name} to know all hosts", 60)


def publish_changes(fleet):
    """Publishes and returns (offset, time sent, time answered) of each."""
    published = []
    for n in range(CHANGES):
        host = fleet.hosts[n % len(fleet.hosts)]
        record = {"kind": "workspace", "name": f"workspace-{n}",
                  "schema_version": 1, "base_revision": 0,
                  "body": {"requests_per_second": 10, "burst": 10,
                           "max_concurrent": 10}}
        sent = time.time()
        status, answer = call(host.at(ADMIN_PORT), "/v1/records", [record],
                              auth=True)
        answered = time.time()
        if status != 200:
            raise RuntimeError(f"publish failed: {status} {answer}")
        published.append((answer["results"][0]["offset"], sent, answered))
        time.sleep(CHANGE_INTERVAL_S)
    return published


def in_force_times(fleet):
    """Wall clock at which each offset came into force, by host."""
    times = collections.defaultdict(dict)
    for host in fleet.hosts:
        text = (fleet.folder / f"{host.name}-agent.log").read_text()
        for stamp, offset in re.findall(
                r"time=(\S+) .*event=record_judged offset=(\d+)", text):
            when = datetime.datetime.fromisoformat(stamp).timestamp()
            times[int(offset)].setdefault(host.name, when)
    return times


def quantile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def spread(values, digits=2):
    return {"mean": round(sum(values) / len(values), digits),
            "max": round(max(values), digits)}


def measure(build, size):
    with AgentFleet(build) as fleet:
        start(fleet, size)
        time.sleep(SETTLE_S)
        idle_begin = Sample(fleet.hosts)
        time.sleep(IDLE_S)
        idle_end = Sample(fleet.hosts)
        published = publish_changes(fleet)
        time.sleep(4)
        busy_end = Sample(fleet.hosts)
        times = in_force_times(fleet)
        missing = [offset for offset, _, _ in published
                   if len(times[offset]) != size]
        # Time stamps of the log are cut to milliseconds, so a host that
        # applies a change at once may seem to precede its answer.
        after_answer = [max(0, max(times[o].values()) - answered) * 1000
                        for o, _, answered in published if o not in missing]
        after_send = [(max(times[o].values()) - sent) * 1000
                      for o, sent, _ in published if o not in missing]
        idle_network = [a + b for a, b in
                        zip(rates(idle_begin, idle_end, "tcp"),
                            rates(idle_begin, idle_end, "gossip"))]
        return {
            "agents": size,
            "not_in_force_everywhere": len(missing),
            "accepted_to_in_force_ms": {
                "p50": round(quantile(after_answer, 0.5), 1),
                "p99": round(quantile(after_answer, 0.99), 1)},
            "sent_to_in_force_ms": {
                "p50": round(quantile(after_send, 0.5), 1),
                "p99": round(quantile(after_send, 0.99), 1)},
            "idle_cpu_percent": spread(
                [r * 100 for r in rates(idle_begin, idle_end, "cpu")]),
            "busy_cpu_percent": spread(
                [r * 100 for r in rates(idle_end, busy_end, "cpu")]),
            "memory_mb": spread(
                [memory_mb(h.agent.pid) for h in fleet.hosts], 1),
            "idle_network_bytes_per_s": spread(idle_network, 0),
            "idle_gossip_bytes_per_s": spread(
                rates(idle_begin, idle_end, "gossip"), 0),
            "idle_push_bytes_per_s": spread(
                rates(idle_begin, idle_end, "push"), 0),
            "readers": int(sum(metrics(h)["oriole_configuration_reader"]
                               for h in fleet.hosts)),
        }


def missed_goals(result):
    checks = {
        "a change in force on all agents": result["not_in_force_everywhere"] == 0,
        "in force p99 below 1 s":
            result["sent_to_in_force_ms"]["p99"] < GOAL_IN_FORCE_MS,
        "idle CPU": result["idle_cpu_percent"]["max"] < GOAL_IDLE_CPU_PERCENT,
        "CPU": result["busy_cpu_percent"]["max"] < GOAL_BUSY_CPU_PERCENT,
        "memory": result["memory_mb"]["max"] < GOAL_MEMORY_MB,
        "network":
            result["idle_network_bytes_per_s"]["max"] < GOAL_NETWORK_BYTES,
    }
    return [name for name, met in checks.items() if not met]


def main():
    build = sys.argv[1]
    sizes = [int(n) for n in sys.argv[2:]] or [3, 10, 41]
    missed = False
    for size in sizes:
        result = measure(build, size)
        print(json.dumps(result, indent=2), flush=True)
        for name in missed_goals(result):
            print(f"missed with {size} agents: {name}", flush=True)
            missed = True
    return 1 if missed else 0


sys.exit(main())
