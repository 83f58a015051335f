"""Starts a small fleet of stand-ins and hosts on loopback addresses.

Each run uses its own network below 127.0.0.0/8, so that two runs do not
collide. Only processes that this module started are ended.
"""
import base64
import json
import os
import pathlib
import random
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

OPERATOR = "demo-operator"
SECRET = "demo-secret-for-loopback"
FLEET_KEY = "demo-fleet-key-for-loopback"

PLATFORM_PORT = 9000
CALLER_PORT = 8080
FORWARD_PORT = 8081
FEED_PORT = 7000
PEER_PORT = 7001
ADMIN_PORT = 7002
UPSTREAM_PORT = 9100


class Service:
    """A service with the addresses of its stand-in upstreams."""

    def __init__(self, name, count, slots, connections, service_ms):
        self.name = name
        self.count = count
        self.slots = slots
        self.connections = connections
        self.service_ms = service_ms
        self.upstreams = []


def call(address, path, body=None, auth=False, timeout=5):
    """HTTP call with JSON bodies; returns (status, value)."""
    request = urllib.request.Request(
        f"http://{address}{path}",
        data=None if body is None else json.dumps(body).encode())
    if auth:
        credentials = base64.b64encode(f"{OPERATOR}:{SECRET}".encode())
        request.add_header("Authorization", "Basic " + credentials.decode())
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            status, text = answer.status, answer.read()
    except urllib.error.HTTPError as error:
        status, text = error.code, error.read()
    try:
        return status, json.loads(text)
    except ValueError:
        return status, None


class Host:
    """One machine of the fleet: an entry and an agent process."""

    def __init__(self, name, data_centre, address):
        self.name = name
        self.data_centre = data_centre
        self.address = address
        self.entry = None
        self.agent = None

    def at(self, port):
        return f"{self.address}:{port}"


class Fleet:
    """Processes of one run."""

    def __init__(self, build):
        self.build = pathlib.Path(build)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="oriole-"))
        self.network = random.Random(os.getpid()).randrange(16, 120)
        self.processes = []
        self.platform = f"127.{self.network}.0.1:{PLATFORM_PORT}"
        self.hosts = []
        self.services = []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop_all()

    def start(self, name, *command):
        log = open(self.folder / f"{name}.log", "ab")
        process = subprocess.Popen(
            [str(self.build / command[0]), *command[1:]],
            stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        process.name = name
        self.processes.append(process)
        return process

    def stop_all(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()

    def start_platform(self):
        self.start("platform", "oriole-standin", "platform",
                   f"--listen={self.platform}", "--name=platform")
        wait_for(lambda: call(self.platform, "/v1/hosts")[0] == 200,
                 "the platform stand-in")

    def set_log(self, mode):
        call(self.platform, "/control", {"log": mode})

    def start_upstreams(self, services):
        self.services = services
        for n, service in enumerate(services):
            for k in range(service.count):
                address = f"127.{self.network}.{100 + n}.{k + 1}:{UPSTREAM_PORT}"
                service.upstreams.append(address)
                self.start(f"{service.name}-{k}", "oriole-standin", "upstream",
                           f"--listen={address}", f"--name={service.name}-{k}",
                           f"--slots={service.slots}",
                           f"--service_ms={service.service_ms}")
        for address in self.all_upstreams():
            wait_for(lambda: call(address, "/health")[0] == 200,
                     f"upstream {address}")

    def all_upstreams(self):
        return [a for s in self.services for a in s.upstreams]

    def plan_hosts(self, data_centres, per_data_centre):
        for n in range(data_centres):
            for k in range(per_data_centre):
                self.hosts.append(
                    Host(f"dc{n + 1}-host{k + 1}", f"dc{n + 1}",
                         f"127.{self.network}.{n + 1}.{k + 1}"))

    def list_hosts(self, state=None):
        """Publishes the platform's host list."""
        hosts = [{"name": h.name, "address": h.at(PEER_PORT),
                  "data_centre": h.data_centre,
                  "state": (state or {}).get(h.name, "live")}
                 for h in self.hosts]
        call(self.platform, "/control", {"hosts": hosts})

    def start_host(self, host):
        agent = {
            "name": host.name, "data_centre": host.data_centre,
            "feed_listen": host.at(FEED_PORT),
            "peer_listen": host.at(PEER_PORT),
            "gossip_listen": host.at(PEER_PORT),
            "admin_listen": host.at(ADMIN_PORT),
            "platform": self.platform,
            "entry_forward_address": host.at(FORWARD_PORT),
            "peers": [h.at(PEER_PORT) for h in self.hosts if h is not host],
            "fleet_key": FLEET_KEY,
            "operators": [{"name": OPERATOR, "secret": SECRET}],
        }
        entry = {
            "name": host.name, "data_centre": host.data_centre,
            "caller_listen": host.at(CALLER_PORT),
            "forward_listen": host.at(FORWARD_PORT),
            "agent": host.at(FEED_PORT), "platform": self.platform,
            "fleet_key": FLEET_KEY, "threads": 2,
            "shutdown": {"notice_ms": 300, "drain_limit_ms": 10000},
            # All callers of the demo share one address.
            "callers": {"requests_per_second": 100000, "burst": 100000,
                        "max_concurrent": 10000},
        }
        for kind, settings in (("agent", agent), ("entry", entry)):
            path = self.folder / f"{host.name}-{kind}.json"
            path.write_text(json.dumps(settings, indent=2))
            setattr(host, kind, self.start(
                f"{host.name}-{kind}", f"oriole-{kind}", f"--settings={path}"))

    def is_ready(self, host):
        return call(host.at(CALLER_PORT), "/.oriolegrade/readyz")[0] == 200

    def wait_ready(self, host, limit_s=20):
        wait_for(lambda: self.is_ready(host), f"host {host.name}", limit_s)

    def oriolectl(self, host, *arguments):
        environment = dict(os.environ, ORIOLE_OPERATOR=OPERATOR,
                           ORIOLE_SECRET=SECRET)
        return subprocess.run(
            [str(self.build / "oriolectl"), f"--agent={host.at(ADMIN_PORT)}",
             *arguments],
            env=environment, capture_output=True, text=True)

    def records_file(self, template):
        """Fills in the upstream addresses of a record file."""
        records = json.loads(pathlib.Path(template).read_text())
        by_name = {s.name: s for s in self.services}
        for record in records:
            if record["kind"] == "service":
                service = by_name[record["name"]]
                record["body"]["upstreams"] = [
                    {"address": a, "data_centre": f"dc{n % 2 + 1}",
                     "slots": service.slots,
                     "max_connections": service.connections}
                    for n, a in enumerate(service.upstreams)]
        path = self.folder / pathlib.Path(template).name
        path.write_text(json.dumps(records, indent=2))
        return path


def wait_for(condition, what, limit_s=10):
    """Waits until the condition holds; fails loudly when it never does."""
    limit = time.monotonic() + limit_s
    while time.monotonic() < limit:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise RuntimeError(f"gave up waiting for {what}")
