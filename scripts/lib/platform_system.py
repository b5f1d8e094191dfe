"""Runs the daemons of a platform deployment as processes on loopback, with settings from deploy/templates, and the
stand-ins of the platform.

Every machine has its own address in a /16 network of loopback. Ends only processes that it started.
"""
import collections
import os
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import threading

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, 'standins'))
import fault_proxy  # noqa: E402
import platform_standins  # noqa: E402

Ports = collections.namedtuple('Ports', 'segments readiness control app outbound first last heartbeat_ms')
PROXY_PORT = 7721  # of the fault proxy in front of a control process
DRAIN_APPLY_S = 3  # from the acknowledged drain of an upstream to the last new flow that it may get
EVACUATE_MS = 5000  # from the confirmed order to drain a zone to the last new flow that its upstreams may get
PORTS = Ports(8172, 8167, 8166, 8165, 8162, 7720, 7735, 300)


def run_in_thread(call):
    threading.Thread(target=call, daemon=True).start()


def render(template, fields):
    """Renders the part of the platform's template language that deploy/templates uses: {{name}}, {{list.0}},
    {{#name}}...{{/name}} if the field is set, {{^name}}...{{/name}} if it is not, and for a table {{#name}}...{{/name}}
    once for each of its keys, with the key as {{@}} and {{,}} between two of them."""
    def field(name):
        result = fields
        for part in name.split('.'):
            result = result[int(part)] if isinstance(result, list) else (result or {}).get(part)
        return result

    def value(name):
        result = field(name)
        if isinstance(result, list):
            return ','.join(str(item) for item in result)
        return '' if result is None else str(result)

    def section(match):
        kind, name, body = match.groups()
        found = field(name)
        if isinstance(found, dict) and kind == '#':
            return ''.join(body.replace('{{@}}', key).replace('{{,}}', '' if key == list(found)[-1] else ',') for key in found)
        return re.sub(pattern, section, body, flags=re.DOTALL) if bool(found) == (kind == '#') else ''

    pattern = r'\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}'
    template = re.sub(pattern, section, template, flags=re.DOTALL)
    return re.sub(r'\{\{([\w.]+)\}\}', lambda match: value(match.group(1)), template)


class PlatformSystem:
    """One deployment. As a context manager it ends its processes and deletes its folder; with ORIOLEHAVEN_KEEP_LOGS in
    the environment, the folder stays after an exception. keep_logs copies it to logs_folder."""

    def __init__(self, build, seed=1, n_control=3, n_balancers=3, logs_folder=None, n_zones=1, tolerate=1,
                 policy=None):
        self.build, self.logs_folder, self.n_zones, self.tolerate = build, logs_folder, n_zones, tolerate
        self.policy = {'FlowTimeoutS': 60, **(policy or {})}  # PolicyParams of the templates
        self.proxies = {}  # IP of a control process: the fault proxy in front of it
        self.folder = tempfile.mkdtemp(prefix='oriolehaven-platform-')
        self.network = f'127.{10 + os.getpid() % 200}'
        self.loop = platform_standins.EventLoop(seed)
        self.processes, self.commands, self.upstreams = {}, {}, {}
        self.stopping = []  # processes of machines that are taken away
        self.n_upstream_addresses = 0
        self.former_upstreams = []  # replaced by a new upstream of the same name
        self.zone_drains = []  # [zone, time of the acknowledgement, time when its end was ordered or None]
        self.control = [f'{self.network}.1.{i + 1}' for i in range(n_control)]
        self.balancers = [f'{self.network}.2.{i + 1}' for i in range(n_balancers)]
        self.seeds = [f'{ip}:{PORTS.control}' for ip in self.control[:3]]
        self.operator = platform_standins.Operator([(ip, PORTS.control) for ip in self.control], seed)
        # Of its own, so that orders do not change which replicas get the documents.
        self.zone_operator = platform_standins.Operator([(ip, PORTS.control) for ip in self.control], seed)
        self.callers, self.next_port = [], 20000
        self.router = None
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))

    def __enter__(self):
        return self

    def __exit__(self, kind, _value, _trace):
        if self.router is not None:
            self.router.stopped = True
        for process in list(self.processes.values()) + self.stopping:
            process.kill()
            process.wait()
        for proxy in self.proxies.values():
            proxy.stop()
        self.loop.finish()
        if kind is not None and os.environ.get('ORIOLEHAVEN_KEEP_LOGS'):
            print(f'logs: {self.folder}', file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def start_proxies(self):
        """Puts a fault proxy in front of each control process. To be called before the processes start."""
        for index, ip in enumerate(self.control):
            self.proxies[ip] = fault_proxy.FaultProxy(f'control-{index}', (ip, PROXY_PORT), (ip, PORTS.first))

    def keep_logs(self):
        """Copies the folder of this deployment to logs_folder. Returns the path of the copy, or a text that says that
        there is none."""
        if self.logs_folder is None:
            return 'not kept, see --logs'
        return shutil.copytree(self.folder, os.path.join(self.logs_folder, os.path.basename(self.folder)))

    # Processes

    def zone_of(self, ip):
        """Machines of each kind are spread over the availability zones in turn, by the last number of their address."""
        return 'abcdefg'[int(ip.split('.')[3]) % self.n_zones]

    def zones(self):
        return 'abcdefg'[:self.n_zones]

    def template_fields(self, name, ip, bootstrap):
        return {
            'NodeName': name, 'Ip': ip, 'Zone': self.zone_of(ip), 'InternalPortRange': [PORTS.first, PORTS.last],
            'BindAddrs': {'DatagramAddr': f'{ip}:{PORTS.segments}', 'Readiness': f'{ip}:{PORTS.readiness}',
                          'Control': f'{ip}:{PORTS.control}', 'outbound': f'{ip}:{PORTS.outbound}'},
            'Seeds': self.seeds, 'Bootstrap': bootstrap, 'DataDir': os.path.join(self.folder, f'data-{name}'),
            'HeartbeatMs': PORTS.heartbeat_ms, 'FaultTolerance': {'Machines': self.tolerate},
            'PolicyParams': self.policy | {'EvacuateMs': EVACUATE_MS}, 'Zones': {zone: {} for zone in self.zones()},
            'app': f'{ip}:{PORTS.app}',
        }

    def start(self, program, template, name, ip, bootstrap=True, preexec=None):
        """Starts a program with settings from its template. preexec is called in the new process before that."""
        fields = self.template_fields(name, ip, bootstrap)
        path = os.path.join(self.folder, f'{name}.ini')
        os.makedirs(fields['DataDir'], exist_ok=True)
        with open(os.path.join(ROOT, 'deploy', 'templates', template), encoding='utf-8') as file:
            content = render(file.read(), fields)
        if self.proxies:
            content = content.replace(f'port={PORTS.first}', f'port={PROXY_PORT}')
            content = content.replace('operators=', f'advertise=tcp://{ip}:{PROXY_PORT}\noperators=')
        with open(path, 'w', encoding='utf-8') as file:
            file.write(content)
        self.commands[name] = (program, template, ip)
        with open(os.path.join(self.folder, f'{name}.log'), 'ab') as log:
            self.processes[name] = subprocess.Popen(
                [os.path.join(self.build, 'daemons', program), '--settings', path], stdin=subprocess.DEVNULL,
                stdout=log, stderr=log, cwd=ROOT, preexec_fn=preexec)

    def start_control(self, index, bootstrap=True):
        self.start('oriole-control', 'control.ini', f'control-{index}', self.control[index], bootstrap)

    def start_balancer(self, index):
        self.start('oriole-flow-balancer', 'balancer.ini', f'balancer-{index}', self.balancers[index])

    def start_agent(self, name, ip):
        self.start('oriole-flow-agent', 'agent.ini', name, ip)

    def start_all(self, upstreams, document):
        """Starts all processes and upstreams, publishes the first configuration and waits until the balancers are ready.
        upstreams: {service: number}"""
        for index in range(len(self.control)):
            self.start_control(index)
        for index in range(len(self.balancers)):
            self.start_balancer(index)
        for service, number in upstreams.items():
            for index in range(number):
                self.add_upstream(f'{service}-{index}', service)
        self.start_router()
        if self.operator.publish(document) != 200:
            raise AssertionError('the first configuration was not acknowledged')
        self.wait_ready()

    def restart(self, name):
        """Does nothing if the machine has been taken away."""
        if name not in self.commands:
            return
        program, template, ip = self.commands[name]
        self.start(program, template, name, ip, bootstrap=False)

    def kill(self, name, number=signal.SIGKILL, limit_s=8):
        """Sends the signal and waits until the process has ended. The stand-ins go on meanwhile."""
        process = self.processes.pop(name)
        process.send_signal(number)
        if not self.loop.run(limit_s, lambda: process.poll() is not None):
            process.kill()
            process.wait()
            raise AssertionError(f'{name} did not end within {limit_s} s of the signal')

    def order_zone(self, zone, drain, limit_s=6):
        """Returns the status of the order. To be called from a thread while callers are to go on."""
        drains = [entry for entry in self.zone_drains if entry[0] == zone and entry[2] is None]
        if not drain:
            for entry in drains:
                entry[2] = self.loop.now()  # it may take effect before it is acknowledged
        status = self.zone_operator.order_zone(zone, drain, limit_s)
        if status == 200 and drain and not drains:
            self.zone_drains.append([zone, self.loop.now(), None])
        return status

    def check_running(self):
        for name, process in self.processes.items():
            if process.poll() is not None:
                raise AssertionError(f'{name} ended unexpectedly with status {process.returncode}')

    def log(self, name):
        with open(os.path.join(self.folder, f'{name}.log'), encoding='utf-8') as file:
            return file.read()

    # Stand-ins of the platform

    def add_upstream(self, name, service, with_agent=True, agent_lead_s=0, **details):
        """Starts an upstream, and its agent agent_lead_s before it. A known name replaces the upstream of that name at the
        same address. details: arguments of Upstream."""
        if name not in self.upstreams:
            self.n_upstream_addresses += 1
            ip = f'{self.network}.3.{self.n_upstream_addresses}'
        else:
            ip = self.upstreams[name].ip
            self.former_upstreams.append(self.upstreams[name])
        if with_agent:
            self.start_agent(f'agent-{name}', ip)

        def start():
            self.upstreams[name] = platform_standins.Upstream(self.loop, service, ip, PORTS, **details)
        if agent_lead_s > 0:
            self.loop.after(agent_lead_s, start)
        else:
            start()

    def remove_machine(self, name):
        """Stops the process with SIGTERM for good; its machine is taken away."""
        process = self.processes.pop(name, None)
        self.commands.pop(name, None)
        if process is not None:
            process.send_signal(signal.SIGTERM)
            self.stopping.append(process)

    def document(self, version, routes, services=('kiln', 'scan'), timeout_ms=3000):
        """A configuration document. routes: {(host, port): (service, kind)}, where service may be SERVICE:WEIGHT,..."""
        def target(service):
            if ':' not in service:
                return {'Service': service}
            parts = [part.split(':') for part in service.split(',')]
            return {'TrafficSplit': [{'Service': name, 'Weight': int(weight)} for name, weight in parts]}
        return {
            'Version': version,
            'Routes': [{'Name': f'r-{host}-{port}', 'Host': host, 'PathPrefix': f'/{port}/', 'Type': kind,
                        'TimeoutMs': timeout_ms, 'TargetLatencyMs': 150, 'Priority': 1, **target(service)}
                       for (host, port), (service, kind) in routes.items()],
            'Services': [{'Name': name, 'HealthPath': '/health', 'MaxConns': 2000} for name in services],
            'Limits': {'IdleTimeoutMs': 15000}, 'Unknown': {'kept': True},
        }

    def start_router(self):
        self.router = platform_standins.Router(self.loop, self.balancers, PORTS.readiness, PORTS.segments)
        self.router.balancer_zones = {ip: self.zone_of(ip) for ip in self.balancers}

    def wait_ready(self, limit_s=10):
        if not self.loop.run(limit_s, lambda: all(missed == 0 for missed in self.router.n_missed.values())):
            raise AssertionError(f'balancers are not ready: {self.router.n_missed}')

    def call(self, route, kind, requests=1, deadline_s=3, **details):
        ip = f'{self.network}.4.{1 + len(self.callers) % 20}'
        self.router.caller_zones.setdefault(ip, self.zone_of(ip))
        self.next_port += 1
        caller = platform_standins.Caller(self.loop, self.router, ip, self.next_port, route, kind, requests, deadline_s,
                                          **details)
        self.callers.append(caller)
        return caller

    def call_with_retries(self, route, kind, requests, tries, **details):
        """As call. What is left when the flow ends goes over a new flow from a new port: after an orderly end, and up to
        tries times after a failure. A request that may not be repeated is not sent again, as its flow was open."""
        def go_on(caller):
            left = caller.requests_left + (len(caller.failed) if kind != 'unsafe' else 0)
            failed = caller.state == 'failed'
            if left > 0 and (not failed or tries > 0):
                self.call_with_retries(route, kind, left, tries - failed, **details)
        return self.call(route, kind, requests, on_end=go_on, **details)

    def call_directly(self, balancer, route):
        """Opens a flow at a balancer that the router did not choose."""
        self.next_port += 1
        ip = f'{self.network}.4.{1 + len(self.callers) % 20}'
        caller = platform_standins.Caller(self.loop, platform_standins.DirectRouter(self.router, balancer), ip,
                                          self.next_port, route, 'safe', 1, 3)
        self.callers.append(caller)
        return caller

    def wait_callers(self, limit_s):
        return self.loop.run(limit_s, lambda: all(caller.ended for caller in self.callers))

    def all_upstreams(self):
        return list(self.upstreams.values()) + self.former_upstreams

    @staticmethod
    def describe_flow(at, key, flow):
        caller, route = platform_standins.ip_to_text(key[0]), platform_standins.ip_to_text(key[2])
        last = max(own for own in flow.own if own <= at)
        following = min((own for own in flow.own if own > at), default=None)
        return (f'{caller}:{key[1]} to {route}:{key[3]} of {flow.upstream.id} at {flow.upstream.ip}, time {at:.3f}, '
                f'{at - flow.opened:.1f} s old, idle for {at - last:.1f} s, '
                f'next segment at its upstream {"never" if following is None else f"{following - at:.3f} s later"}')

    def check_ledgers(self, services_by_route):
        """Compares the ledgers of callers and upstreams. Returns the violations as texts that begin with the name of
        the rule. services_by_route: {route: services that may run its requests}"""
        violations = list(self.loop.violations) + self.loop.flows.violations(self.describe_flow)
        sent = {request for caller in self.callers for request in caller.sent}
        n_runs = collections.Counter()
        for upstream in self.all_upstreams():
            for _, request, route in upstream.runs:
                n_runs[request] += 1
                if request not in sent:
                    violations.append(f'UNASKED: {upstream.service} ran {request}')
                if upstream.service not in services_by_route.get(route, ()):
                    violations.append(f'ROUTE: {upstream.service} ran a request of {route}')
            violations += [f'ROUTE: {upstream.service} got a flow of {route}, which no configuration had'
                           for _, route in upstream.opened if route not in services_by_route]
            if upstream.draining_acknowledged is not None:
                late = [at for at, _ in upstream.opened if at > upstream.draining_acknowledged + DRAIN_APPLY_S]
                if late:
                    violations.append(f'DRAIN: {upstream.service} got {len(late)} new flows more than '
                                      f'{DRAIN_APPLY_S} s after its drain was acknowledged')
        for zone, acknowledged, ended in self.zone_drains:
            end = ended if ended is not None else float('inf')
            late = [(upstream.id, round(at - acknowledged, 3)) for upstream in self.all_upstreams()
                    for at, _ in upstream.opened
                    if self.zone_of(upstream.ip) == zone and acknowledged + EVACUATE_MS / 1000 < at < end]
            if late:
                violations.append(f'ZONE: zone {zone} got {len(late)} new flows more than {EVACUATE_MS} ms after its drain '
                                  f'was acknowledged: {late[:5]}')
        for request, count in n_runs.items():
            if count > 1:
                where = [(upstream.id, upstream.ip, round(at, 3)) for upstream in self.all_upstreams()
                         for at, ran, _ in upstream.runs if ran == request]
                caller = next(caller for caller in self.callers if request in caller.sent)
                violations.append(f'DOUBLED: {request} of {caller.ip}:{caller.port} ran {count} times: {where}')
        for caller in self.callers:
            violations += [f'LOST: {request} was answered and never ran' for request in caller.done
                           if not n_runs[request]]
        return violations
