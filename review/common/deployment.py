"""A small deployment on loopback for the cases of the review: the release programs with the templates of deploy/, the
project's stand-ins of the platform, and a record of what was sent, answered and run.

Exit status of a case: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
"""
import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, 'scripts', 'lib'))
import platform_system  # noqa: E402  (adds standins/ to the path)
import platform_standins  # noqa: E402

HELD, BROKEN, COULD_NOT_RUN = 0, 10, 2  # of this process; run.sh turns 10 into 1, and all but 0 and 10 into 2
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# PolicyParams of the small sites.
CONTACT_S, CONFIG_APPLY_S, RECOVERY_S, SYNC_S, ADDRESS_REUSE_S = 4, 3, 12, 4, 2
ROUTES = {('198.18.0.1', 8443): ('kiln', 'safe'), ('198.18.0.1', 8080): ('kiln', 'unsafe'),
          ('198.18.0.2', 8443): ('scan', 'download')}
KILN_ROUTE, SCAN_ROUTE = '198.18.0.1:8443', '198.18.0.2:8443'


# Between two tries of an order: "move on to another node, with increasing backoff". A factor of 1 gives the fixed pause of
# standins/platform_standins.py.
FIRST_PAUSE_S, LAST_PAUSE_S, PAUSE_FACTOR = 0.1, 1, float(os.environ.get('PAUSE_FACTOR', '1.3'))


class Record:
    """record.txt: one line for each event, with the seconds since the start of the case."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, 'record.txt'), 'w', encoding='utf-8')

    def write(self, text):
        self.write_at(time.monotonic(), text)

    def write_at(self, at, text):
        self.file.write(f'{at - self.started:8.3f} {text}\n')
        self.file.flush()


def free_network():
    """A /16 network of loopback on which no process listens at the ports of the deployment."""
    ports = platform_system.PORTS
    for _ in range(50):
        network = f'127.{random.randrange(10, 250)}'
        try:
            for port in (ports.control, ports.first, ports.readiness):
                with socket.socket() as probe:
                    probe.bind((f'{network}.1.1', port))
            return network
        except OSError:
            continue
    raise RuntimeError('no free loopback network')


class Backend(platform_standins.Upstream):
    """A backend that starts under a given id, or counts its check-ins from a given Sequence on."""

    def __init__(self, loop, service, ip, identity=None, first_sequence=1):
        self.identity, self.first_sequence = identity, first_sequence
        super().__init__(loop, service, ip, platform_system.PORTS)

    def send_heartbeat(self):
        if self.first_sequence is not None:
            self.id = self.identity or self.id
            self.sequence, self.first_sequence = self.first_sequence - 1, None
        super().send_heartbeat()


class Deployment(platform_system.PlatformSystem):
    """n_disks control processes with a data folder, then n_diskless without one, as on the front machines of a small
    site."""

    def __init__(self, record, heartbeat_ms, n_disks=3, n_diskless=0, n_balancers=3):
        platform_system.PORTS = platform_system.PORTS._replace(heartbeat_ms=heartbeat_ms)
        super().__init__(os.path.join(ROOT, 'target'), seed=random.randrange(1 << 30), n_control=n_disks + n_diskless,
                         n_balancers=n_balancers)
        self.record, self.n_disks = record, n_disks
        old, self.network = self.network, free_network()
        for addresses in (self.control, self.balancers):
            addresses[:] = [ip.replace(old, self.network, 1) for ip in addresses]
        self.seeds = [f'{ip}:{platform_system.PORTS.control}' for ip in self.control[:3]]
        self.acknowledged = {}  # version: document as it was sent

    def start(self, program, template, name, ip, bootstrap=True):
        """Starts a program with the command of the deploy file and settings rendered from its template."""
        fields = self.template_fields(name, ip, bootstrap)
        if program == 'oriole-control' and ip in self.control[self.n_disks:]:
            fields['DataDir'] = None
        else:
            os.makedirs(fields['DataDir'], exist_ok=True)
        path = os.path.join(self.folder, f'{name}.ini')
        with open(os.path.join(ROOT, 'deploy', 'templates', template), encoding='utf-8') as file:
            content = platform_system.render(file.read(), fields)
        with open(path, 'w', encoding='utf-8') as file:
            file.write(content)
        self.commands[name] = (program, template, ip)
        self.record.write(f'start {name} at {ip} bootstrap={bootstrap} data={bool(fields["DataDir"])}')
        with open(os.path.join(self.folder, f'{name}.log'), 'ab') as log:
            self.processes[name] = subprocess.Popen(
                [os.path.join('target', 'daemons', program), '--settings', path], stdin=subprocess.DEVNULL, stdout=log,
                stderr=log, cwd=ROOT)

    def deploy(self, n_kiln, n_scan):
        """Starts all programs and backends, sends the first configuration and waits until the balancers are ready."""
        for index in range(len(self.control)):
            self.start_control(index)
        for index in range(len(self.balancers)):
            self.start_balancer(index)
        for service, count in (('kiln', n_kiln), ('scan', n_scan)):
            for index in range(count):
                self.add_upstream(f'{service}-{index}', service)
        self.start_router()
        if self.publish(1) is None:
            raise RuntimeError('the first configuration was not acknowledged')
        self.wait_ready()
        self.loop.run(2)

    def replace_backend(self, name, service, **details):
        """Starts a backend at the address of the named one, which has ended, beside the node that runs there."""
        former = self.upstreams[name]
        self.former_upstreams.append(former)
        self.upstreams[name] = Backend(self.loop, service, former.ip, **details)
        self.record.write(f'backend {self.upstreams[name].id} of {service} starts at {former.ip}, where '
                          f'{former.id} of {former.service} was')
        return self.upstreams[name]

    def add_backend(self, name, service, **details):
        """Adds a machine with a node, and half a second later a backend beside it."""
        ip = f'{self.network}.3.{len(self.upstreams) + 1}'
        self.start_agent(f'agent-{name}', ip)
        self.loop.run(0.5)
        self.upstreams[name] = Backend(self.loop, service, ip, **details)
        self.record.write(f'backend {self.upstreams[name].id} of {service} starts at {ip}')
        return self.upstreams[name]

    # The operator

    def order(self, ip, method, path, body=None):
        """One call of the operator with redirects. Returns (status, body, address that answered)."""
        port = platform_system.PORTS.control
        for _ in range(3):
            try:
                connection = http.client.HTTPConnection(ip, port, timeout=1)
                connection.request(method, path, body, {'Content-Type': 'application/json'})
                response = connection.getresponse()
                data, location = response.read(), response.getheader('Location')
                connection.close()
            except (OSError, http.client.HTTPException):
                return 0, b'', ip
            if response.status != 307 or not location:
                return response.status, data, ip
            ip = location.split('/')[2].split(':')[0]
        return 307, b'', ip

    def publish(self, version, limit_s=15, addresses=None, document=None):
        """Sends the configuration to nodes chosen at random until one acknowledges it. Returns that node's address, or
        None."""
        document = document or self.document(version, ROUTES)
        body = json.dumps(document).encode()
        end = time.monotonic() + limit_s
        refused, pause_s = {}, FIRST_PAUSE_S
        while time.monotonic() < end:
            status, _, answered = self.order(random.choice(addresses or self.control), 'POST', '/config/put', body)
            if status == 200:
                self.record.write(f'operator put version {version}: 200 from {answered}, before that {refused}')
                self.acknowledged[version] = document
                return answered
            refused[status] = refused.get(status, 0) + 1
            self.loop.run(pause_s)
            pause_s = min(pause_s * PAUSE_FACTOR, LAST_PAUSE_S)
        self.record.write(f'operator put version {version}: no confirmation in {limit_s} s, only {refused}')
        return None

    def read_back(self, limit_s, addresses=None):
        """Reads the configuration at one node after the other. Returns the versions that were answered."""
        end = time.monotonic() + limit_s
        versions, statuses = [], {}
        while time.monotonic() < end:
            for ip in addresses or self.control:
                status, body, _ = self.order(ip, 'GET', '/config/get')
                statuses[status] = statuses.get(status, 0) + 1
                if status == 200:
                    versions.append(json.loads(body)['Version'])
            self.loop.run(0.2)
        self.record.write(f'operator read for {limit_s} s: statuses {statuses}, versions {sorted(set(versions))}')
        return versions

    # Processes

    def name_at(self, ip):
        return next(name for name, command in self.commands.items() if command[2] == ip)

    def lose_disk(self, name):
        """The machine loses power and comes back with an empty disk: this ends the process at once and empties its
        data folder."""
        self.record.write(f'{name} loses power and its disk')
        process = self.processes.pop(name)
        process.kill()
        process.wait()
        shutil.rmtree(os.path.join(self.folder, f'data-{name}'))

    def signal(self, name, number):
        self.record.write(f'{name} gets {signal.Signals(number).name}')
        self.processes[name].send_signal(number)

    def write_raft_lines(self):
        """Appends what the control processes logged about leaders and the set of voters."""
        for name in sorted(name for name in self.commands if name.startswith('control-')):
            for line in self.log(name).splitlines():
                event = re.search(r'event=(raft-(?:leader|promote|demote|replace|learner|quorum-lost|start)\b.*)', line)
                if event:
                    at = float(re.search(r'time=([\d.]+)', line).group(1))
                    self.record.write_at(time.monotonic() - time.time() + at, f'log of {name}: {event.group(1)}')

    def write_ledgers(self):
        """Appends what callers and upstreams recorded."""
        for caller in self.callers:
            self.record.write(f'caller {caller.ip}:{caller.port} route {caller.route} state {caller.state} '
                              f'reason {getattr(caller, "reason", "-")} sent {caller.sent} answered {caller.done} '
                              f'failed {caller.failed}')
        for upstream in self.all_upstreams():
            for at, request, route in upstream.runs:
                self.record.write_at(at, f'upstream {upstream.id} ({upstream.service}) at {upstream.ip} ran {request} '
                                         f'of route {route}')
        self.record.write(f'violations seen by the stand-ins: {self.loop.violations}')


def run_case(folder, case):
    """Runs case(record) -> exit status; any exception means that the case could not run."""
    record = Record(folder)
    record.write(f'TROUBLE={int(TROUBLE)}')
    for number in (signal.SIGHUP, signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: sys.exit(COULD_NOT_RUN))  # the deployment ends its processes on the way
    try:
        status = case(record)
    except Exception:  # the status of a case that could not run tells it from a broken rule
        record.write(traceback.format_exc())
        status = COULD_NOT_RUN
    record.write({HELD: 'the rule held', BROKEN: 'the rule was broken'}.get(status, 'the case could not run'))
    sys.exit(status)
