#!/usr/bin/env python3
"""Small fleet on loopback under faults, with a table of what callers saw.

Exits with 0 only when no promise was broken: no duplicate run of a
non-idempotent request, no truncated or foreign answer, no false not-run.
"""
import json
import pathlib
import subprocess
import sys
import threading
import time

import fleet as fleet_module
from fleet import ADMIN_PORT, CALLER_PORT, Fleet, Service, call, wait_for

HERE = pathlib.Path(__file__).resolve().parent
LOAD_SECONDS = 15
LOAD_RATE = 300
CYCLE_SECONDS = 90

START = time.monotonic()


def say(text):
    print(f"[{time.monotonic() - START:5.1f} s] {text}", flush=True)


def services():
    """Both deployments at a reduced number of servers."""
    prairie = {"archive": 3, "consent": 3, "intake": 2, "dashboard": 3}
    hanbit = {"catalogue": 2, "booking": 3, "photos": 2, "tracking": 3}
    return ([Service(n, k, 4, 400, 5) for n, k in prairie.items()] +
            [Service(n, k, 3, 430, 5) for n, k in hanbit.items()])


def publish(fleet, host, path):
    """Publishes a record file and returns the change ids."""
    result = fleet.oriolectl(host, "--json", "publish", str(path))
    if result.returncode != 0:
        raise RuntimeError(f"publish failed: {result.stdout}{result.stderr}")
    return [r["change_id"] for r in json.loads(result.stdout)["results"]]


def next_offset(host):
    """Offset of the configuration that the agent of a host has."""
    text = fetch_metrics(host)
    for line in text.splitlines():
        if line.startswith("oriole_configuration_next_offset "):
            return int(line.split()[1])
    return -1


def fetch_metrics(host):
    import urllib.request
    with urllib.request.urlopen(f"http://{host.at(ADMIN_PORT)}/metrics",
                                timeout=5) as answer:
        return answer.read().decode()


def start_load(fleet, hosts, report, seconds=LOAD_SECONDS, name="load"):
    return fleet.start(
        name, "oriole-load",
        "--targets=" + ",".join(h.at(CALLER_PORT) for h in hosts),
        "--upstreams=" + ",".join(fleet.all_upstreams()),
        f"--mix={HERE / 'mix.json'}", f"--report={report}",
        f"--rate={LOAD_RATE}", f"--duration_s={seconds}")


def set_fault(address, **fault):
    call(address, "/control", fault)


def publish_under_load(fleet, host, hosts):
    """Publishes one change and measures until all agents have it."""
    path = fleet.folder / "change.json"
    path.write_text(json.dumps([{
        "kind": "workspace", "name": "party-planner", "schema_version": 1,
        "base_revision": 1,
        "body": {"requests_per_second": 300, "burst": 600,
                 "max_concurrent": 60}}]))
    before = max(next_offset(h) for h in hosts)
    began = time.monotonic()
    publish(fleet, host, path)
    wait_for(lambda: all(next_offset(h) > before for h in hosts),
             "the change on all hosts")
    return time.monotonic() - began


def run_faults(fleet, load):
    """Switches faults on while the load runs."""
    first, *others = fleet.hosts
    gray = fleet.services[0].upstreams[0]
    time.sleep(4)
    took = publish_under_load(fleet, first, fleet.hosts)
    say(f"published a change under load: on all hosts after {took * 1000:.0f} ms")
    say(f"fault: upstream {gray} fails half of its requests")
    set_fault(gray, fail_share=0.5)
    time.sleep(2)
    say(f"fault: host {others[-1].name} is killed")
    others[-1].entry.kill()
    others[-1].agent.kill()
    time.sleep(2)
    say("fault: the log is unavailable")
    fleet.set_log("down")
    time.sleep(3)
    set_fault(gray, clear=True)
    say("the upstream recovers; the log stays unavailable")
    load.wait(timeout=120)


def start_without_log(fleet, template):
    """Starts a host while the log is unavailable."""
    host = fleet_module.Host("late-host", "dc2",
                             f"127.{fleet.network}.2.99")
    fleet.hosts.append(host)
    fleet.start_host(host)
    fleet.wait_ready(host)
    want = next_offset(template)
    have = next_offset(host)
    say(f"a host started without the log serves offset {have}, "
        f"the others {want}")
    return have == want


def audit_events(fleet):
    """Audit events about upstreams, from all hosts, in order of time."""
    events = []
    for host in fleet.hosts:
        if host.agent.poll() is None:
            _, value = call(host.at(ADMIN_PORT), "/v1/audit", auth=True)
            events += [e for e in value["events"]
                       if e["kind"].startswith("upstream_")]
    return sorted(events, key=lambda e: e["unix_ms"])


def wait_for_event(fleet, kind, upstream, since):
    """Waits for an audit event; false when none comes in time."""
    def seen():
        return any(e["kind"] == kind and e["unix_ms"] >= since
                   and e["subject"] == f"upstream/{upstream}"
                   for e in audit_events(fleet))
    try:
        wait_for(seen, kind, CYCLE_SECONDS / 2)
        return True
    except RuntimeError:
        return False


def watch_cycle(fleet):
    """Shows an upstream leave service and come back, with the audit lines.

    The host that was killed may have been the collector of the first fault,
    so a new one is switched on.
    """
    hosts = [h for h in fleet.hosts if h.entry.poll() is None]
    load = start_load(fleet, hosts, fleet.folder / "cycle.json",
                      CYCLE_SECONDS, "load-cycle")
    since = time.time() * 1000
    gray = fleet.services[0].upstreams[1]
    say(f"fault: upstream {gray} fails half of its requests")
    set_fault(gray, fail_share=0.5)
    left = wait_for_event(fleet, "upstream_ejected", gray, since)
    say("the upstream recovers")
    set_fault(gray, clear=True)
    back = left and wait_for_event(fleet, "upstream_returned", gray,
                                   since)
    load.kill()
    for event in audit_events(fleet):
        if event["unix_ms"] >= since:
            say(f"audit: {event['kind']} {event['subject']} {event['detail']}")
    return back


def print_report(report):
    for key, value in report.items():
        if not isinstance(value, (dict, list)):
            print(f"  {key:32} {value}")
    for key, value in report.items():
        if isinstance(value, dict):
            print(f"  {key}")
            for name, n in value.items():
                print(f"    {name:30} {n}")


def main():
    build = sys.argv[1]
    with Fleet(build) as fleet:
        say(f"logs are in {fleet.folder}")
        fleet.start_platform()
        fleet.start_upstreams(services())
        fleet.plan_hosts(data_centres=2, per_data_centre=2)
        fleet.list_hosts()
        for host in fleet.hosts:
            fleet.start_host(host)
        wait_for(lambda: call(fleet.hosts[0].at(ADMIN_PORT),
                              "/healthz")[0] == 200, "the first agent")
        for name in ("prairie_rest", "hanbit"):
            path = fleet.records_file(HERE / "records" / f"{name}.json")
            n = len(publish(fleet, fleet.hosts[0], path))
            say(f"published {n} records of {name}")
        for host in fleet.hosts:
            fleet.wait_ready(host)
        say(f"{len(fleet.hosts)} hosts in 2 data centres are ready; "
            f"{LOAD_RATE} requests/s for {LOAD_SECONDS} s")
        report = fleet.folder / "report.json"
        load = start_load(fleet, fleet.hosts, report)
        run_faults(fleet, load)
        say("load finished")
        print_report(json.loads(report.read_text()))
        kept = start_without_log(fleet, fleet.hosts[0])
        fleet.set_log("up")
        back = watch_cycle(fleet)
        ok = load.returncode == 0 and kept and back
        say("all promises were kept" if ok else "A PROMISE WAS BROKEN")
        return 0 if ok else 1


sys.exit(main())
