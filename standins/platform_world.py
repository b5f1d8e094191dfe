"""Stand-ins of the users' platform on loopback, after its pages: callers, upstreams, routers and an operator.

Everything runs in one thread on a selector. Each stand-in keeps a ledger; the checks at the end use only the
ledgers of both ends.
"""
import hashlib
import heapq
import http.client
import json
import random
import selectors
import socket
import struct
import threading
import time

HEAD = struct.Struct('>IIHIHIIHBBI')  # sum, dst, sport, src, dport, seq, ack, len, flags, pad, echo
RST, SYN, RETURNED, FIN, ACK = 1, 4, 8, 16, 64
DATA_MAX_BYTES = 1200
WINDOW = 16
SECRET = b'secret of the two ends'
COPY_S = (0.2, 0.6)  # after the first copy of a first segment
OPEN_S = 1.4
RETRANSMIT_S = 0.2
RETRANSMIT_MAX_S = 1.6


def number(ip):
    return struct.unpack('>I', socket.inet_aton(ip))[0]


def text(ip):
    return socket.inet_ntoa(struct.pack('>I', ip))


class Segment:
    def __init__(self, src, sport, dst, dport, flags, seq=0, ack=0, data=b''):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.data = flags, seq & 0xffffffff, ack & 0xffffffff, data

    def digest(self):
        body = HEAD.pack(0, self.dst, self.sport, self.src, self.dport, self.seq, self.ack, len(self.data),
                         self.flags & ~RETURNED, 0, 0) + self.data
        return struct.unpack('>I', hashlib.blake2b(body, key=SECRET, digest_size=4).digest())[0] or 1

    def pack(self, total=None):
        return HEAD.pack(self.digest() if total is None else total, self.dst, self.sport, self.src, self.dport,
                         self.seq, self.ack, len(self.data), self.flags, 0, 0) + self.data

    @classmethod
    def parse(cls, raw):
        """The segment, and whether one of the two ends wrote it so."""
        total, dst, sport, src, dport, seq, ack, length, flags, _, _ = HEAD.unpack_from(raw)
        segment = cls(src, sport, dst, dport, flags, seq, ack, raw[HEAD.size:])
        return segment, length == len(segment.data) and total == segment.digest()


class World:
    """Clock, timers and sockets of all stand-ins."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.selector = selectors.DefaultSelector()
        self.timers = []
        self.order = 0
        self.broken = []  # rules that the stand-ins saw broken

    def now(self):
        return time.monotonic()

    def after(self, delay_s, call):
        self.order += 1
        heapq.heappush(self.timers, (self.now() + delay_s, self.order, call))

    def udp(self, ip, port, receive):
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        sock.setblocking(False)
        sock.bind((ip, port))
        self.selector.register(sock, selectors.EVENT_READ, (sock, receive))
        return sock

    def close(self, sock):
        self.selector.unregister(sock)
        sock.close()

    def finish(self):
        for key in list(self.selector.get_map().values()):
            self.close(key.fileobj)

    def run(self, duration_s, until=None):
        """Runs for the time given, or until the condition holds. Returns whether it holds."""
        end = self.now() + duration_s
        while self.now() < end:
            if until is not None and until():
                return True
            while self.timers and self.timers[0][0] <= self.now():
                heapq.heappop(self.timers)[2]()
            wait = min(end, self.timers[0][0] if self.timers else end) - self.now()
            for key, _ in self.selector.select(max(0, min(wait, 0.02))):
                self.drain(*key.data)
        return until is None or until()

    @staticmethod
    def drain(sock, receive):
        for _ in range(64):
            try:
                raw = sock.recv(4096)
            except BlockingIOError:
                return
            except ConnectionError:
                continue
            receive(raw)

    def break_rule(self, rule, detail):
        self.broken.append(f'{rule}: {detail}')


class Sender:
    """The sending half of one end of a flow: retransmits what is not acknowledged."""

    def __init__(self, world, first, send):
        self.world, self.base, self.next, self.send = world, first, first, send
        self.waiting, self.unacknowledged, self.interval_s, self.closed = [], {}, RETRANSMIT_S, False

    def write(self, data, flags=ACK):
        for at in range(0, max(len(data), 1), DATA_MAX_BYTES):
            part = data[at:at + DATA_MAX_BYTES]
            self.waiting.append((flags if at + DATA_MAX_BYTES >= len(data) else ACK, part))
        self.push()

    def push(self):
        while self.waiting and len(self.unacknowledged) < WINDOW and not self.closed:
            flags, part = self.waiting.pop(0)
            self.unacknowledged[self.next] = (flags, part)
            self.send(flags, self.next, part)
            if len(self.unacknowledged) == 1:
                self.arm(self.next)
            self.next += len(part) + (1 if flags & FIN else 0)

    def arm(self, sequence):
        self.world.after(self.interval_s, lambda: self.expired(sequence))

    def expired(self, sequence):
        if self.closed or sequence not in self.unacknowledged:
            return
        flags, part = self.unacknowledged[sequence]
        self.send(flags, sequence, part)
        self.interval_s = min(self.interval_s * 2, RETRANSMIT_MAX_S)
        self.arm(sequence)

    def acknowledge(self, ack):
        done = [s for s, (flags, part) in self.unacknowledged.items()
                if s + len(part) + (1 if flags & FIN else 0) <= ack]
        if not done:
            return
        for sequence in done:
            del self.unacknowledged[sequence]
        self.base, self.interval_s = ack, RETRANSMIT_S
        if self.unacknowledged:
            self.arm(min(self.unacknowledged))
        self.push()


class Upstream:
    """Runs one request at a time on each flow: "ID KIND BYTES WORK_MS\\n", answered by "ID LENGTH\\n" and a body."""

    def __init__(self, world, service, ip, ports, slots=4):
        self.world, self.service, self.ip, self.ports, self.slots = world, service, ip, ports, slots
        self.id = f'i-{world.random.getrandbits(32):08x}'
        self.born_ms = int(time.time() * 1000)
        self.sequence, self.state, self.alive = 0, 'ready', True
        self.flows, self.runs, self.opened = {}, [], []
        self.draining_acknowledged = None
        self.sock = world.udp(ip, ports.app, self.receive)
        self.beat()

    def key(self, segment):
        return (segment.src, segment.sport, segment.dst, segment.dport)

    def post(self, call, body):
        def send():
            try:
                connection = http.client.HTTPConnection(self.ip, self.ports.control, timeout=1)
                connection.request('POST', f'/instances/{self.id}/{call}', body,
                                   {'Content-Type': 'application/json'})
                acknowledged = connection.getresponse().status == 200
                connection.close()
            except (OSError, http.client.HTTPException):
                return
            if acknowledged and self.state == 'draining' and self.draining_acknowledged is None:
                self.draining_acknowledged = self.world.now()
        threading.Thread(target=send, daemon=True).start()

    def beat(self):
        if not self.alive:
            return
        self.sequence += 1
        self.post('heartbeat', json.dumps({
            'Service': self.service, 'Address': f'{self.ip}:{self.ports.app}', 'Zone': 'a', 'Version': 'v1',
            'MaxConcurrency': self.slots, 'State': self.state, 'WarmupLeftMs': 0, 'Sequence': self.sequence,
            'born': self.born_ms}))
        self.world.after(self.ports.heartbeat_ms / 1000, self.beat)

    def drain(self):
        self.state = 'draining'
        self.beat()

    def leave(self):
        self.post('deregister', '')
        self.crash()

    def crash(self):
        self.alive = False
        for flow in self.flows.values():
            flow['sender'].closed = True
        self.world.close(self.sock)

    def send(self, segment):
        if self.alive:
            self.sock.sendto(segment.pack(), (self.ip, self.ports.outbound))

    def give_back(self, raw):
        head = bytearray(raw)
        head[26] |= RETURNED
        self.sock.sendto(bytes(head), (self.ip, self.ports.outbound))

    def receive(self, raw):
        segment, genuine = Segment.parse(raw)
        if not genuine or segment.flags & RETURNED:
            self.world.break_rule('UNASKED', f'{self.service} got a segment that its sender did not write so')
            return
        flow = self.flows.get(self.key(segment))
        if segment.flags & SYN:
            if flow is None or flow['first'] != segment.seq:
                flow = self.accept(segment)
            self.answer(flow)
        elif flow is None or not (flow['open'] or segment.ack == (flow['sequence'] + 1) & 0xffffffff):
            self.give_back(raw)  # a flow opens only at the upstream whose answer the caller acknowledges
        elif segment.flags & RST:
            flow['sender'].closed = True
            del self.flows[self.key(segment)]
        else:
            self.take(flow, segment)

    def accept(self, segment):
        flow = {'first': segment.seq, 'expected': segment.seq + 1, 'buffer': b'', 'peer': segment,
                'sequence': self.world.random.randrange(1, 1 << 31), 'open': False, 'queue': []}
        flow['sender'] = Sender(self.world, flow['sequence'] + 1, lambda flags, seq, part: self.send(
            Segment(segment.dst, segment.dport, segment.src, segment.sport, flags, seq, flow['expected'], part)))
        self.flows[self.key(segment)] = flow
        self.opened.append((self.world.now(), f'{text(segment.dst)}:{segment.dport}'))
        return flow

    def answer(self, flow):
        peer = flow['peer']
        self.send(Segment(peer.dst, peer.dport, peer.src, peer.sport, SYN | ACK, flow['sequence'], flow['first'] + 1))

    def take(self, flow, segment):
        flow['open'] = True
        flow['sender'].acknowledge(segment.ack)
        if segment.data and segment.seq == flow['expected'] & 0xffffffff:
            flow['expected'] += len(segment.data)
            flow['buffer'] += segment.data
            while b'\n' in flow['buffer']:
                line, flow['buffer'] = flow['buffer'].split(b'\n', 1)
                self.start(flow, line.decode())
        if segment.data:
            peer = flow['peer']
            self.send(Segment(peer.dst, peer.dport, peer.src, peer.sport, ACK, flow['sender'].next, flow['expected']))

    def start(self, flow, line):
        request, _, length, work_ms = line.split()
        self.runs.append((self.world.now(), request, f"{text(flow['peer'].dst)}:{flow['peer'].dport}"))
        body = body_of(request, int(length))
        self.world.after(int(work_ms) / 1000, lambda: flow['sender'].write(
            f'{request} {len(body)}\n'.encode() + body) if self.alive else None)


def body_of(request, length):
    block = hashlib.blake2b(request.encode()).digest()
    return (block * (length // len(block) + 1))[:length]


class Caller:
    """Opens a flow, sends its requests one after the other, and keeps a ledger of what came back."""

    def __init__(self, world, router, ip, port, route, kind, requests, deadline_s, work_ms=20, length=2000, pause_s=0.1):
        self.world, self.router, self.ip, self.port, self.route = world, router, ip, port, route
        self.kind, self.left, self.deadline_s = kind, requests, deadline_s
        self.work_ms, self.length, self.pause_s = work_ms, length, pause_s
        self.first = world.random.randrange(1, 1 << 31)
        self.state, self.sender, self.expected, self.buffer = 'opening', None, 0, b''
        self.current, self.done, self.failed, self.sent = None, [], [], []
        self.reset_by_system = None
        router.callers[(number(ip), port)] = self
        self.begin(0)
        world.after(OPEN_S, lambda: self.fail('no answer') if self.state == 'opening' else None)

    @property
    def ended(self):
        return self.state in ('closed', 'failed')

    def segment(self, flags, seq, ack=0, data=b''):
        ip, port = self.route.split(':')
        return Segment(number(self.ip), self.port, number(ip), int(port), flags, seq, ack, data)

    def begin(self, copies):
        if self.state != 'opening':
            return
        self.router.send(self.segment(SYN, self.first, copies))
        if copies < len(COPY_S):
            delay = COPY_S[copies] - (COPY_S[copies - 1] if copies else 0)
            self.world.after(delay, lambda: self.begin(copies + 1))

    def fail(self, reason):
        if self.ended:
            return
        if self.current is not None:
            self.failed.append((self.current, reason))
        self.state = 'failed'
        self.reason = reason
        if self.sender:
            self.sender.closed = True

    def receive(self, raw):
        segment, genuine = Segment.parse(raw)
        if self.ended:
            return
        if not genuine:
            if segment.flags == RST and not segment.data and raw[:4] == b'\0\0\0\0':
                self.reset_by_system = self.world.now()
                self.fail('reset')
            else:
                self.world.break_rule('MIXED', 'a caller got a segment that its sender did not write so')
            return
        if segment.flags & RST:
            self.fail('reset by the upstream')
        elif segment.flags & SYN:
            self.open(segment)
        elif self.state == 'open':
            self.take(segment)

    def open(self, segment):
        if self.state != 'opening':
            return
        self.state, self.expected = 'open', segment.seq + 1
        self.sender = Sender(self.world, self.first + 1,
                             lambda flags, seq, part: self.router.send(self.segment(flags, seq, self.expected, part)))
        self.ask()

    def ask(self):
        if self.state != 'open':
            return
        if self.left == 0:
            self.sender.write(b'', ACK | FIN)
            self.sender.closed = True
            self.state = 'closed'
            return
        self.left -= 1
        self.current = f'{self.world.random.getrandbits(64):016x}'
        self.sent.append(self.current)
        self.sender.write(f'{self.current} {self.kind} {self.length} {self.work_ms}\n'.encode())
        request = self.current
        self.world.after(self.deadline_s, lambda: self.fail('deadline') if self.current == request else None)

    def take(self, segment):
        self.sender.acknowledge(segment.ack)
        if segment.data and segment.seq == self.expected & 0xffffffff:
            self.expected += len(segment.data)
            self.buffer += segment.data
        if segment.data:
            self.router.send(self.segment(ACK, self.sender.next, self.expected))
        self.read_answer()

    def read_answer(self):
        if b'\n' not in self.buffer or self.current is None:
            return
        line, rest = self.buffer.split(b'\n', 1)
        request, length = line.decode().split()
        if len(rest) < int(length):
            return
        if request != self.current or rest[:int(length)] != body_of(request, self.length) or len(rest) > int(length):
            self.world.break_rule('MIXED', f'request {self.current} got the answer of {request}')
        self.buffer, self.current = b'', None
        self.done.append(request)
        self.world.after(self.pause_s, self.ask)


class Router:
    """Hands each segment of a caller to a balancer that is ready, by a hash of the flow that moves few flows."""

    def __init__(self, world, balancers, readiness_port, port):
        self.world, self.balancers, self.readiness_port, self.port = world, balancers, readiness_port, port
        self.ready = {ip: 0 for ip in balancers}  # missed checks
        self.callers = {}
        self.sockets = {}
        self.stopped = False
        self.faults = None
        threading.Thread(target=self.check, daemon=True).start()

    def check(self):
        while not self.stopped:
            for ip in list(self.balancers):
                try:
                    connection = http.client.HTTPConnection(ip, self.readiness_port, timeout=0.4)
                    connection.request('GET', '/ready')
                    good = connection.getresponse().status == 200
                    connection.close()
                except (OSError, http.client.HTTPException):
                    good = False
                self.ready[ip] = 0 if good else self.ready[ip] + 1
            time.sleep(0.4)

    def listen(self, ip):
        if ip not in self.sockets:
            self.sockets[ip] = self.world.udp(ip, self.port, self.deliver)

    def deliver(self, raw):
        if len(raw) < HEAD.size:
            self.world.break_rule('MIXED', 'a caller got bytes that are no segment')
            return
        segment, _ = Segment.parse(raw)
        caller = self.callers.get((segment.dst, segment.dport))
        if caller is not None:
            caller.receive(raw)

    def choose(self, segment):
        ready = [ip for ip, missed in self.ready.items() if missed < 2] or list(self.balancers)
        flow = struct.pack('>IHIH', segment.src, segment.sport, segment.dst, segment.dport)
        return max(ready, key=lambda ip: hashlib.blake2b(flow + ip.encode(), digest_size=8).digest())

    def send(self, segment):
        ip = text(segment.src)
        self.listen(ip)
        self.harm(lambda: self.sockets[ip].sendto(segment.pack(), (self.choose(segment), self.port)))

    def harm(self, send):
        """Loses, doubles and delays datagrams while faults are set: (random, lost, doubled, late), as shares."""
        if self.faults is None:
            send()
            return
        source, lost, doubled, late = self.faults
        for _ in range(2 if source.random() < doubled else 1):
            if source.random() >= lost:
                self.world.after(source.uniform(0, 0.3) if source.random() < late else 0, send)


class Operator:
    """Sends configurations until they are acknowledged, to any control process, and follows redirects."""

    def __init__(self, addresses, seed):
        self.addresses = addresses
        self.random = random.Random(seed)
        self.acknowledged = {}

    def request(self, method, path, body=None):
        ip, port = self.random.choice(self.addresses)
        for _ in range(3):
            try:
                connection = http.client.HTTPConnection(ip, port, timeout=1)
                connection.request(method, path, body, {'Content-Type': 'application/json'})
                response = connection.getresponse()
                data = response.read()
                location = response.getheader('Location')
                connection.close()
            except (OSError, http.client.HTTPException):
                return 0, b''
            if response.status != 307 or not location:
                return response.status, data
            ip, port = location.split('/')[2].split(':')
            port = int(port)
        return 307, b''

    def publish(self, document, limit_s=10):
        """The status of the clear answer; 0 if none came in time."""
        body = json.dumps(document).encode()
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            status, _ = self.request('POST', '/config/put', body)
            if status == 200:
                self.acknowledged[document['Version']] = body
                return status
            if 400 <= status < 500 and status not in (408, 429):
                return status
            time.sleep(0.1)
        return 0

    def read(self, limit_s=10):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            status, body = self.request('GET', '/config/get')
            if status == 200:
                return body
            time.sleep(0.1)
        return None
