"""Starts and stops the processes of a small deployment on loopback: control replicas, balancers, upstreams with
their agents, the fabric and the load generators. Ends only processes that it started."""
import os
import random
import re
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, 'standins'))
import check_ledger  # noqa: E402

ZONES = ('plv-a', 'plv-b', 'plv-c')
STOP_LIMIT_S = 40  # above the agents' drain_limit_ms
SLOW_START_S = 4  # a cold upstream offers one slot more each second
PORT_RANGE = (10000, 30000)  # below the ephemeral ports of Linux


class DeploymentError(Exception):
    """The deployment did not start, or one of its programs failed."""


def now_us():
    """The time on the clock that the ledgers use."""
    return time.monotonic_ns() // 1000


ISSUED_PORTS = set()  # a process binds its port only some time after free_port returned it


def free_port():
    """A port that is free for TCP and UDP and that no earlier call returned."""
    while True:
        port = random.SystemRandom().randrange(*PORT_RANGE)
        if port in ISSUED_PORTS:
            continue
        with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(('127.0.0.1', port))
                udp.bind(('127.0.0.1', port))
                ISSUED_PORTS.add(port)
                return port
            except OSError:
                continue


def address():
    return f'127.0.0.1:{free_port()}'


class System:
    """One deployment. As a context manager it ends its processes and deletes its folder; with ORIOLEHAVEN_KEEP_LOGS in
    the environment, the folder stays after an exception."""

    def __init__(self, build, seed=1, n_control=3, n_balancers=3, log_level='info'):
        self.build = build
        self.seed = seed
        self.log_level = log_level
        self.folder = tempfile.mkdtemp(prefix='oriolehaven-')
        self.processes = {}
        self.commands = {}
        self.late_in_effect = 0  # configurations that were not in effect at all balancers within the bound of P8
        self.ended = []  # names of processes that were stopped on purpose
        self.upstreams = {}  # agent name: (service, upstream address, agent settings)
        self.caller_ledgers = []
        self.drained = []  # [instance, from_us, to_us]; to_us is 1 << 62 until the undrain
        self.fabric_rules = {}
        self.n_black_holes = 0
        self.control = {f'control-{i + 1}': address() for i in range(n_control)}
        self.balancers = {f'balancer-{i + 1}': (address(), address()) for i in range(n_balancers)}
        self.fabric_flags = {name: '' for name in self.balancers}  # as in set_fabric
        self.admin = {}  # process name: address of its admin endpoint
        self.fabric = address()
        with open(self.path('master.key'), 'w', encoding='ascii') as file:
            file.write(secrets.token_hex(32))
        self.replicas = ','.join(f'tcp://{text}' for text in self.control.values())
        # A test runner sends SIGTERM at its time limit; sys.exit unwinds, so that __exit__ ends the processes.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))

    def __enter__(self):
        return self

    def __exit__(self, kind, _value, _trace):
        self.kill_all()
        if kind is not None and os.environ.get('ORIOLEHAVEN_KEEP_LOGS'):
            print(f'logs: {self.folder}', file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def path(self, name):
        return os.path.join(self.folder, name)

    def program(self, name):
        folder = 'standins' if name.startswith('standin-') or name == 'load' else 'daemons'
        return os.path.join(self.build, folder, name)

    # Processes

    def start(self, name, *command):
        self.commands[name] = command
        with open(self.path(f'{name}.log'), 'ab') as log:
            self.processes[name] = subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                                    cwd=self.folder)

    def restart(self, name):
        self.start(name, *self.commands[name])

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def kill(self, name):
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def stop(self, name, limit_s=STOP_LIMIT_S):
        """Stops the process with SIGTERM. Raises if it does not end in time or if its exit status is not 0."""
        process = self.processes.pop(name)
        process.terminate()
        try:
            status = process.wait(limit_s)
        except subprocess.TimeoutExpired as error:
            process.kill()
            process.wait()
            raise DeploymentError(f'{name} did not stop within {limit_s} s') from error
        if status != 0:
            raise DeploymentError(f'{name} ended with status {status}')

    def kill_all(self):
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes.clear()

    def check_running(self):
        for name, process in self.processes.items():
            if not name.startswith('load') and process.poll() is not None:
                raise DeploymentError(f'{name} ended with status {process.returncode}: {self.log_tail(name)}')

    def log_tail(self, name, lines=5):
        with open(self.path(f'{name}.log'), encoding='utf-8', errors='replace') as file:
            return ''.join(file.readlines()[-lines:])

    def write_settings(self, name, sections):
        sections = {**sections, 'keys': {'file': self.path('master.key')}}
        if name != 'oriolectl':
            sections['log'] = {'level': self.log_level}
        with open(self.path(f'{name}.ini'), 'w', encoding='ascii') as file:
            for section, values in sections.items():
                file.write(f'[{section}]\n' + ''.join(f'{key}={value}\n' for key, value in values.items()))
        return self.path(f'{name}.ini')

    # Deployment

    def start_control(self, name):
        initial = ','.join(f'{key}=tcp://{text}' for key, text in self.control.items())
        self.admin[name] = address()
        settings = self.write_settings(name, {'control': {
            'name': name, 'zone': ZONES[int(name[-1]) % 3], 'listen': f'tcp://{self.control[name]}',
            'data': self.path(f'{name}.data'), 'admin': self.admin[name], 'replicas': initial}})
        self.start(name, self.program('oriole-control'), '--settings', settings)

    def start_balancer(self, name):
        listen, relay = self.balancers[name]
        self.admin[name] = address()
        settings = self.write_settings(name, {
            'balancer': {'name': name, 'zone': ZONES[int(name[-1]) % 3], 'listen': listen, 'relay': relay,
                         'admin': self.admin[name]},
            'control': {'replicas': self.replicas}})
        self.start(name, self.program('oriole-balancer'), '--settings', settings)

    def start_upstream(self, name, service, modes='', listen=None):
        text = listen or address()
        self.start(f'upstream-{name}', self.program('standin-upstream'), '--listen', text, '--service', service,
                   '--instance', name, '--ledger', self.path(f'{name}.ledger'), '--modes', modes or ' ')
        return text

    def start_agent(self, name, service, upstream, relay=None):
        relay = relay or address()
        self.admin[f'agent-{name}'] = address()
        self.upstreams[name] = (service, upstream, relay)
        settings = self.write_settings(f'agent-{name}', {
            'agent': {'name': name, 'service': service, 'zone': ZONES[int(name[-1]) % 3], 'relay': relay,
                      'peer': f'tcp://{address()}', 'admin': self.admin[f'agent-{name}'],
                      'upstream': f'http://{upstream}'},
            'control': {'replicas': self.replicas}})
        self.start(f'agent-{name}', self.program('oriole-agent'), '--settings', settings)

    def add_upstream(self, name, service, modes=''):
        self.start_agent(name, service, self.start_upstream(name, service, modes))

    def set_modes(self, name, modes):
        """modes: words KEY=VALUE, as in the modes of standin-upstream."""
        request = urllib.request.Request(f'http://{self.upstreams[name][1]}/mode', modes.encode(), method='POST')
        urllib.request.urlopen(request, timeout=5).read()

    def oriolectl(self, *arguments, check=True):
        settings = self.write_settings('oriolectl', {'control': {'replicas': self.replicas}})
        result = subprocess.run([self.program('oriolectl'), '--settings', settings, *arguments],
                                capture_output=True, text=True, timeout=30, check=False)
        if check and result.returncode != 0:
            raise DeploymentError(f'oriolectl {" ".join(arguments)}: status {result.returncode}: '
                               f'{result.stdout}{result.stderr}')
        return result

    def apply(self, text):
        with open(self.path('services.ini'), 'w', encoding='ascii') as file:
            file.write(text)
        deadline = time.monotonic() + 15
        while True:  # just after the start there may be no leader yet
            result = self.oriolectl('apply', self.path('services.ini'), check=False)
            if result.returncode == 0:
                return
            if time.monotonic() > deadline:
                raise DeploymentError(f'apply: status {result.returncode}: {result.stdout}{result.stderr}')
            time.sleep(0.2)

    def drain(self, name):
        self.oriolectl('drain', name)
        self.drained.append([name, now_us(), 1 << 62])

    def undrain(self, name):
        for entry in self.drained:
            if entry[0] == name and entry[2] == 1 << 62:
                entry[2] = now_us()
        self.oriolectl('undrain', name)

    # Fabric

    def write_rules(self):
        lines = [f'balancer {self.balancers[name][0]} {flag}'.strip() for name, flag in self.fabric_flags.items()
                 if flag is not None]
        lines += [f'{key} {value}' for key, value in self.fabric_rules.items()]
        with open(self.path('fabric.rules.new'), 'w', encoding='ascii') as file:
            file.write('\n'.join(lines) + '\n')
        os.rename(self.path('fabric.rules.new'), self.path('fabric.rules'))

    def start_fabric(self):
        self.write_rules()
        self.start('fabric', self.program('standin-fabric'), '--listen', self.fabric, '--rules',
                   self.path('fabric.rules'), '--seed', str(self.seed))

    def set_fabric(self, balancers=None, **rules):
        """Changes the rules of the fabric. balancers: {name: flag}, where the flag is '' (in use), 'cut' or None
        (removed)."""
        self.fabric_flags.update(balancers or {})
        self.fabric_rules.update(rules)
        self.write_rules()
        self.signal('fabric', signal.SIGHUP)

    def black_hole(self, direction, ppm):
        """Loses all further datagrams of a share of the current callers: 'to' balancers, 'from' them, or 'both'."""
        self.n_black_holes += 1
        self.set_fabric(blackhole=f'{self.n_black_holes} {direction} {ppm}')

    # Load and verdict

    def call(self, service, *arguments, timeout_s=15):
        return subprocess.run([self.program('oriole-call'), '--fabric', self.fabric, '--service', service,
                               *arguments], capture_output=True, timeout=timeout_s, check=False)

    def wait_ready(self, services, limit_s=20):
        """Waits until each service answers a request."""
        deadline = time.monotonic() + limit_s
        for service in services:
            while True:
                self.check_running()
                result = self.call(service, 'request', 'work_ms=1')
                if result.returncode == 0:
                    break
                if time.monotonic() > deadline:
                    raise DeploymentError(f'{service} does not answer: {result.stderr.decode()}')

    def start_load(self, service, **options):
        """options: flags of the load program. Returns the name of the process."""
        ledger = self.path(f'callers-{len(self.caller_ledgers)}.ledger')
        self.caller_ledgers.append(ledger)
        flags = [f'--{key.replace("_", "-")}={value}' for key, value in options.items()]
        name = f'load-{len(self.caller_ledgers)}'
        self.start(name, self.program('load'), '--fabric', self.fabric, '--service', service, '--ledger', ledger,
                   '--seed', str(self.seed), *flags)
        return name

    def wait_load(self, limit_s):
        for name in [name for name in self.processes if name.startswith('load-')]:
            process = self.processes.pop(name)
            try:
                status = process.wait(limit_s)
            except subprocess.TimeoutExpired as error:
                process.kill()
                process.wait()
                raise DeploymentError(f'{name} did not end within {limit_s} s') from error
            if status != 0:
                raise DeploymentError(f'{name} ended with status {status}: {self.log_tail(name)}')

    def upstream_ledgers(self):
        return [self.path(name) for name in os.listdir(self.folder)
                if re.fullmatch(r'(?!callers-).*\.ledger', name)]

    def evaluate(self, skip_ms=4000):
        """Returns (figures, violations) as check_ledger.evaluate does, over all ledgers of this deployment."""
        ledgers = check_ledger.read_ledgers(self.caller_ledgers, self.upstream_ledgers())
        return check_ledger.evaluate(ledgers, self.drained, skip_ms * 1000)


SERVICES_TEXT = """[oriolehaven]
name=foundation

[service kiln-log]
address=127.0.0.1:7000
depends=
max_class=0
queue_per_slot={queue_per_slot}

[service scan-serve]
address=127.0.0.1:7001
depends=
queue_per_slot={queue_per_slot}
"""


def services_text(queue_per_slot=8):
    return SERVICES_TEXT.format(queue_per_slot=queue_per_slot)


def start_deployment(system, kiln_log=4, scan_serve=3, modes=''):
    """Starts all processes and applies the first configuration text. Returns when the services answer requests and the
    upstreams are warm."""
    for name in system.control:
        system.start_control(name)
    for name in system.balancers:
        system.start_balancer(name)
    for i in range(kiln_log):
        system.add_upstream(f'kiln-log-{i + 1}', 'kiln-log', modes)
    for i in range(scan_serve):
        system.add_upstream(f'scan-serve-{i + 1}', 'scan-serve', modes)
    system.start_fabric()
    system.apply(services_text())
    system.wait_ready([service for service, count in (('kiln-log', kiln_log), ('scan-serve', scan_serve))
                       if count > 0])
    time.sleep(SLOW_START_S)
