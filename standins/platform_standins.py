"""Stand-ins for what surrounds the system on its deployment platform, on loopback: callers, upstreams, a router and an
operator.

Datagrams and timers are handled in one thread, by EventLoop; HTTP requests run in threads of their own. Callers and
upstreams record what they sent and received, and the checks at the end compare only these records.
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

import flow_ledger

HEADER = struct.Struct('>IIHIHIIHBBI')  # checksum, dst, sport, src, dport, seq, ack, len, flags, pad, echo
FLAGS_OFFSET = 26
RST, SYN, RETURNED, FIN, ACK = 1, 4, 8, 16, 64
DATA_MAX_BYTES = 1200
WINDOW_SEGMENTS = 16
CHECKSUM_KEY = b'secret of the two ends'  # unknown to the system, so altered segments are detected
SYN_RETRANSMIT_S = (0.2, 0.6)  # after the first transmission
OPEN_TIMEOUT_S = 1.4
RETRANSMIT_TIMEOUT_S = 0.2
RETRANSMIT_TIMEOUT_MAX_S = 1.6
RESET_WINDOW_BYTES = 76800  # of the sequence number of a reset around the caller's last acknowledgement
UPSTREAM_RETRANSMISSIONS_MAX = 8  # of one segment, after which an upstream gives up


def ip_to_int(ip):
    return struct.unpack('>I', socket.inet_aton(ip))[0]


def ip_to_text(ip):
    return socket.inet_ntoa(struct.pack('>I', ip))


class Segment:
    """A segment of a flow: addresses as integers, sequence and acknowledgement numbers modulo 2^32, and the data."""

    def __init__(self, src, sport, dst, dport, flags, seq=0, ack=0, data=b''):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.data = flags, seq & 0xffffffff, ack & 0xffffffff, data

    def checksum(self):
        """Keyed checksum; never 0, which marks segments made by the system. It does not cover RETURNED, which an
        upstream may set later.
        """
        body = HEADER.pack(0, self.dst, self.sport, self.src, self.dport, self.seq, self.ack, len(self.data),
                           self.flags & ~RETURNED, 0, 0) + self.data
        return struct.unpack('>I', hashlib.blake2b(body, key=CHECKSUM_KEY, digest_size=4).digest())[0] or 1

    def pack(self, checksum=None):
        return HEADER.pack(self.checksum() if checksum is None else checksum, self.dst, self.sport, self.src,
                           self.dport, self.seq, self.ack, len(self.data), self.flags, 0, 0) + self.data

    @classmethod
    def parse(cls, raw):
        """Returns the segment, and whether it is as a caller or an upstream sent it: length and checksum match."""
        checksum, dst, sport, src, dport, seq, ack, length, flags, _, _ = HEADER.unpack_from(raw)
        segment = cls(src, sport, dst, dport, flags, seq, ack, raw[HEADER.size:])
        return segment, length == len(segment.data) and checksum == segment.checksum()


class EventLoop:
    """Clock, timers, sockets and random numbers of all stand-ins, and the violations that they detected."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.selector = selectors.DefaultSelector()
        self.timers = []  # heap of (due, order, callback)
        self.order = 0  # timers that are due at the same time run in the order in which they were set
        self.violations = []  # "RULE: DETAIL"
        self.connections = {}  # listening socket: its open connections
        self.flows = flow_ledger.FlowLedger()

    def now(self):
        return time.monotonic()

    def after(self, delay_s, callback):
        """Calls callback() in the loop when the delay has passed."""
        self.order += 1
        heapq.heappush(self.timers, (self.now() + delay_s, self.order, callback))

    def open_udp(self, ip, port, receive):
        """Returns a bound socket; receive(bytes) is called for each datagram."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        sock.setblocking(False)
        sock.bind((ip, port))
        self.selector.register(sock, selectors.EVENT_READ, (sock, receive))
        return sock

    def open_tcp(self, ip, port, answer):
        """Returns a listening socket. answer(bytes) gets what a connection has sent so far, and returns the response,
        after which the connection is closed, or None to read on.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind((ip, port))
        sock.listen(64)
        self.connections[sock] = set()
        self.selector.register(sock, selectors.EVENT_READ, (None, lambda _: self.accept_connection(sock, answer)))
        return sock

    def accept_connection(self, listener, answer):
        try:
            connection, _ = listener.accept()
        except OSError:
            return
        connection.setblocking(False)
        self.connections[listener].add(connection)
        received = bytearray()

        def read(_):
            try:
                data = connection.recv(4096)
            except BlockingIOError:
                return
            except OSError:
                data = b''
            received.extend(data)
            response = answer(bytes(received)) if data else b''
            if response is None:
                return
            if response:
                connection.send(response)
            self.connections[listener].discard(connection)
            self.close(connection)
        self.selector.register(connection, selectors.EVENT_READ, (None, read))

    def close(self, sock):
        """Closes a socket, and the connections that a listening one has accepted. Does nothing if it is closed."""
        if sock.fileno() < 0:
            return
        for connection in self.connections.pop(sock, ()):
            self.close(connection)
        self.selector.unregister(sock)
        sock.close()

    def finish(self):
        """Closes all sockets."""
        while self.selector.get_map():
            self.close(next(iter(self.selector.get_map().values())).fileobj)

    def run(self, duration_s, until=None):
        """Runs for duration_s, or until the condition until() holds. Returns whether it holds; True without one."""
        end = self.now() + duration_s
        while self.now() < end:
            if until is not None and until():
                return True
            while self.timers and self.timers[0][0] <= self.now():
                heapq.heappop(self.timers)[2]()
            wait = min(end, self.timers[0][0] if self.timers else end) - self.now()
            for key, _ in self.selector.select(max(0, min(wait, 0.02))):
                if key.fileobj.fileno() >= 0:  # not closed meanwhile
                    self.read_datagrams(*key.data)
        return until is None or until()

    @staticmethod
    def read_datagrams(sock, receive):
        """Reads what the socket holds, up to a limit, so that timers are not delayed. Without a socket, receive does."""
        if sock is None:
            receive(None)
            return
        for _ in range(64):
            try:
                raw = sock.recv(4096)
            except BlockingIOError:
                return
            except ConnectionError:
                continue
            receive(raw)
            if sock.fileno() < 0:
                return

    def report_violation(self, rule, detail):
        self.violations.append(f'{rule}: {detail}')


class Sender:
    """Sends the data of one side of a flow within a window and retransmits what was not acknowledged, with backoff."""

    def __init__(self, loop, first, send, retransmissions_max=None):
        """first: sequence number of the first byte; send(flags, sequence, data) sends a segment; retransmissions_max: of
        one segment, after which the sender gives up; None: no limit."""
        self.loop, self.base, self.next, self.send = loop, first, first, send
        self.retransmissions_max, self.n_retransmissions = retransmissions_max, 0
        self.waiting = []  # (flags, data)
        self.unacknowledged = {}  # sequence number: (flags, data)
        self.timeout_s, self.closed = RETRANSMIT_TIMEOUT_S, False

    def write(self, data, flags=ACK):
        """Queues the data in segments; the last one gets the flags."""
        for offset in range(0, max(len(data), 1), DATA_MAX_BYTES):
            part = data[offset:offset + DATA_MAX_BYTES]
            self.waiting.append((flags if offset + DATA_MAX_BYTES >= len(data) else ACK, part))
        self.send_waiting()

    def send_waiting(self):
        while self.waiting and len(self.unacknowledged) < WINDOW_SEGMENTS and not self.closed:
            flags, part = self.waiting.pop(0)
            self.unacknowledged[self.next] = (flags, part)
            self.send(flags, self.next, part)
            if len(self.unacknowledged) == 1:
                self.arm_timer(self.next)
            self.next += len(part) + (1 if flags & FIN else 0)

    def arm_timer(self, sequence):
        self.loop.after(self.timeout_s, lambda: self.handle_timeout(sequence))

    def handle_timeout(self, sequence):
        if self.closed or sequence not in self.unacknowledged:
            return
        if self.n_retransmissions == self.retransmissions_max:
            self.closed = True
            return
        self.n_retransmissions += 1
        flags, part = self.unacknowledged[sequence]
        self.send(flags, sequence, part)
        self.timeout_s = min(self.timeout_s * 2, RETRANSMIT_TIMEOUT_MAX_S)
        self.arm_timer(sequence)

    def acknowledge(self, ack):
        acknowledged = [sequence for sequence, (flags, part) in self.unacknowledged.items()
                        if sequence + len(part) + (1 if flags & FIN else 0) <= ack]
        if not acknowledged:
            return
        for sequence in acknowledged:
            del self.unacknowledged[sequence]
        self.base, self.timeout_s, self.n_retransmissions = ack, RETRANSMIT_TIMEOUT_S, 0
        if self.unacknowledged:
            self.arm_timer(min(self.unacknowledged))
        self.send_waiting()


def post(ip, port, path, body, timeout_s=2):
    """Posts a body that may be no JSON. Returns (status, body of the response); status 0 if there is none."""
    try:
        connection = http.client.HTTPConnection(ip, port, timeout=timeout_s)
        connection.request('POST', path, body, {'Content-Type': 'application/json'})
        response = connection.getresponse()
        answer = response.status, response.read()
        connection.close()
        return answer
    except (OSError, http.client.HTTPException):
        return 0, b''


class Upstream:
    """An upstream. A request is a line "ID KIND BYTES WORK_MS\\n"; after WORK_MS it is answered by "ID LENGTH\\n" and
    LENGTH bytes, where LENGTH is BYTES. A flow carries one request at a time, as callers wait for each answer.

    runs: (time, request, route) of each request that was run; opened: (time, route) of each flow that was accepted;
    draining_acknowledged: time at which the agent first acknowledged a call in the state draining, or None.
    """

    def __init__(self, loop, service, ip, ports, slots=4, identity=None, clock_offset_ms=0, first_sequence=1,
                 max_flows=2000, warmup_s=0):
        """clock_offset_ms: of the time of day that it announces as its start; first_sequence: of its first heartbeat;
        warmup_s: for which it announces that it is warming."""
        self.loop, self.service, self.ip, self.ports, self.slots = loop, service, ip, ports, slots
        self.id = identity or f'i-{loop.random.getrandbits(32):08x}'
        self.started_ms = int(time.time() * 1000) + clock_offset_ms
        self.sequence, self.state, self.alive = first_sequence - 1, 'ready', True
        self.max_flows = max_flows
        self.warm_at = loop.now() + warmup_s
        self.deregistered = False  # it has sent its deregister call, and sends no heartbeats any more
        self.flows = {}  # key(segment): state of the flow, as in accept
        self.ended_flows = set()  # keys of flows that both sides have closed
        self.runs, self.opened = [], []
        self.syn_delay_s = 0  # before a SYN is answered
        self.stalled = None  # datagrams that arrived while the process was paused, or None
        self.last_heartbeat = None  # body
        self.draining_acknowledged = None
        self.sock = loop.open_udp(ip, ports.app, self.receive)
        self.health = loop.open_tcp(ip, ports.app, self.answer_health)
        self.send_heartbeat()

    def key(self, segment):
        return (segment.src, segment.sport, segment.dst, segment.dport)

    def post(self, action, body):
        """Posts to the local agent from a thread, so that the loop does not wait for it."""
        def send():
            try:
                connection = http.client.HTTPConnection(self.ip, self.ports.control, timeout=1)
                connection.request('POST', f'/instances/{self.id}/{action}', body,
                                   {'Content-Type': 'application/json'})
                acknowledged = connection.getresponse().status == 200
                connection.close()
            except (OSError, http.client.HTTPException):
                return
            if acknowledged and self.state == 'draining' and self.draining_acknowledged is None:
                self.draining_acknowledged = self.loop.now()
        threading.Thread(target=send, daemon=True).start()

    def send_heartbeat(self):
        if not self.alive or self.deregistered:
            return
        if self.stalled is None:
            self.sequence += 1
            self.last_heartbeat = json.dumps({
                'Service': self.service, 'Address': f'{self.ip}:{self.ports.app}', 'Zone': 'a', 'Version': 'v1',
                'MaxConcurrency': self.slots, 'State': self.state,
                'WarmupLeftMs': max(0, int((self.warm_at - self.loop.now()) * 1000)), 'Sequence': self.sequence,
                'born': self.started_ms})
            self.post('heartbeat', self.last_heartbeat)
        self.loop.after(self.ports.heartbeat_ms / 1000, self.send_heartbeat)

    def repeat_last_heartbeat(self):
        """A copy of the last heartbeat arrives late, perhaps after the upstream has ended."""
        if self.last_heartbeat is not None:
            self.post('heartbeat', self.last_heartbeat)

    def answer_health(self, request):
        """The response to a request that came over TCP, or None if it is not complete."""
        if b'\r\n\r\n' not in request:
            return None
        healthy = self.state == 'ready' and not self.deregistered
        return b'HTTP/1.1 ' + (b'200 OK' if healthy else b'503 Unavailable') + b'\r\nContent-Length: 0\r\n\r\n'

    def drain(self):
        self.state = 'draining'
        self.send_heartbeat()

    def leave(self, exit_after_s=0):
        """Deregisters and stops exit_after_s later, as an upstream that got no confirmation of the call; until then it
        serves its flows and sends no heartbeats. The flows that are still open when it stops are lost.
        """
        self.post('deregister', '')
        self.deregistered = True
        if exit_after_s > 0:
            self.loop.after(exit_after_s, lambda: self.alive and self.crash())
        else:
            self.crash()

    def crash(self):
        """Stops without notifying the agent or the callers."""
        self.alive = False
        for flow in self.flows.values():
            flow['sender'].closed = True
        self.loop.flows.end_flows(self, self.loop.now())
        self.loop.close(self.sock)
        self.loop.close(self.health)

    def stall(self, duration_s):
        """The process does nothing for the duration. Datagrams wait for it."""
        def resume():
            waiting, self.stalled = self.stalled, None
            for raw in waiting:
                if self.alive:
                    self.receive(raw)
        if self.stalled is None:
            self.stalled = []
            self.loop.after(duration_s, resume)

    def send(self, segment):
        if self.alive:
            self.sock.sendto(segment.pack(), (self.ip, self.ports.outbound))

    def return_segment(self, raw):
        """Sends a segment back to the system, marked as RETURNED: of an unknown flow, or a SYN that is not accepted."""
        returned = bytearray(raw)
        returned[FLAGS_OFFSET] |= RETURNED
        self.sock.sendto(bytes(returned), (self.ip, self.ports.outbound))

    def receive(self, raw):
        if self.stalled is not None:
            self.stalled.append(raw)
            return
        segment, valid = Segment.parse(raw)
        if not valid or segment.flags & RETURNED or segment.flags & (SYN | ACK) == SYN | ACK:
            self.loop.report_violation('UNASKED', f'{self.service} got a segment that was altered or had been returned, '
                                                  'or a SYN-ACK')
            return
        flow = self.flows.get(self.key(segment))
        if segment.flags & SYN:
            self.receive_syn(flow, segment, raw)
        elif self.key(segment) in self.ended_flows:
            self.receive_after_end(segment)
        elif flow is None or not (flow['open'] or segment.ack == (flow['isn'] + 1) & 0xffffffff):
            # A flow opens only at the upstream whose SYN-ACK the caller acknowledges.
            self.loop.flows.handle_foreign_segment(self.key(segment), self.ip, self.loop.now())
            self.return_segment(raw)
        elif segment.flags & RST:
            self.loop.flows.handle_own_segment(self.key(segment), self, self.loop.now(), ends=True)
            flow['sender'].closed = True
            del self.flows[self.key(segment)]
        else:
            self.receive_data(flow, segment)

    def receive_syn(self, flow, segment, raw):
        if flow is None or flow['caller_isn'] != segment.seq:
            if len(self.flows) >= self.max_flows:
                self.return_segment(raw)
                return
            flow = self.accept(segment)
        if self.syn_delay_s > 0:
            self.loop.after(self.syn_delay_s, lambda: self.send_syn_ack(flow))
        else:
            self.send_syn_ack(flow)

    def receive_after_end(self, segment):
        """A segment of a flow that both sides have closed."""
        if segment.data or segment.flags & FIN:
            flags, ack = (RST, 0) if segment.data else (ACK, segment.seq + 1)
            self.send(Segment(segment.dst, segment.dport, segment.src, segment.sport, flags, segment.ack, ack))

    def accept(self, segment):
        """Adds a flow for a SYN. It is open once the caller acknowledges the SYN-ACK. isn: initial sequence number."""
        flow = {'caller_isn': segment.seq, 'expected': segment.seq + 1, 'buffer': b'', 'syn': segment,
                'isn': self.loop.random.randrange(1, 1 << 31), 'open': False, 'fin_sent': False}
        flow['sender'] = Sender(self.loop, flow['isn'] + 1, lambda flags, seq, data: self.send(
            Segment(segment.dst, segment.dport, segment.src, segment.sport, flags, seq, flow['expected'], data)),
            retransmissions_max=UPSTREAM_RETRANSMISSIONS_MAX)
        self.flows[self.key(segment)] = flow
        self.ended_flows.discard(self.key(segment))
        self.opened.append((self.loop.now(), f'{ip_to_text(segment.dst)}:{segment.dport}'))
        return flow

    def send_syn_ack(self, flow):
        syn = flow['syn']
        self.send(Segment(syn.dst, syn.dport, syn.src, syn.sport, SYN | ACK, flow['isn'], flow['caller_isn'] + 1))

    def receive_data(self, flow, segment):
        flow['open'] = True
        key = self.key(segment)
        ends = bool(segment.flags & FIN)
        self.loop.flows.handle_own_segment(key, self, self.loop.now(), ends=ends)
        flow['sender'].acknowledge(segment.ack)
        if segment.data and segment.seq == flow['expected'] & 0xffffffff:
            flow['expected'] += len(segment.data)
            flow['buffer'] += segment.data
            while b'\n' in flow['buffer']:
                line, flow['buffer'] = flow['buffer'].split(b'\n', 1)
                self.run_request(flow, line.decode())
        if ends:
            flow['sender'].closed = True
            flags = ACK if flow['fin_sent'] else ACK | FIN
            self.send(Segment(segment.dst, segment.dport, segment.src, segment.sport, flags, flow['sender'].next,
                              segment.seq + 1))
            del self.flows[key]
            self.ended_flows.add(key)
        elif segment.data:
            syn = flow['syn']
            self.send(Segment(syn.dst, syn.dport, syn.src, syn.sport, ACK, flow['sender'].next, flow['expected']))

    def run_request(self, flow, line):
        request, _, length, work_ms = line.split()
        self.runs.append((self.loop.now(), request, f"{ip_to_text(flow['syn'].dst)}:{flow['syn'].dport}"))
        body = answer_body(request, int(length))

        def respond():
            if not self.alive:
                return
            if self.stalled is not None:
                self.loop.after(0.05, respond)
                return
            # One that drains closes each flow after the next response.
            flow['fin_sent'] = self.state == 'draining'
            flow['sender'].write(f'{request} {len(body)}\n'.encode() + body, ACK | FIN if flow['fin_sent'] else ACK)
        self.loop.after(int(work_ms) / 1000, respond)


def answer_body(request, length):
    """Bytes that depend on the request id, so that the answer of another request is recognised."""
    block = hashlib.blake2b(request.encode()).digest()
    return (block * (length // len(block) + 1))[:length]


class Caller:
    """Opens a flow to the route, sends its requests one after the other, and closes the flow.

    state: opening, open, closed or failed; reason: why it failed. sent and done: ids of the requests that were sent and
    answered; failed: (request, reason) of the request that was outstanding when the flow failed.
    """

    def __init__(self, loop, router, ip, port, route, kind, requests, deadline_s, work_ms=20, length=2000, pause_s=0.1,
                 on_end=None):
        """on_end(caller) is called when the flow has ended."""
        self.loop, self.router, self.ip, self.port, self.route = loop, router, ip, port, route
        self.on_end = on_end
        self.kind, self.requests_left, self.deadline_s = kind, requests, deadline_s
        self.work_ms, self.length, self.pause_s = work_ms, length, pause_s
        self.isn = loop.random.randrange(1, 1 << 31)
        self.state, self.sender, self.expected, self.buffer = 'opening', None, 0, b''
        self.current, self.done, self.failed, self.sent = None, [], [], []
        self.reset_by_system = None
        self.fin_received = False
        router.callers[(ip_to_int(ip), port)] = self
        self.send_syn(0)
        loop.after(OPEN_TIMEOUT_S, lambda: self.fail('no answer') if self.state == 'opening' else None)

    @property
    def ended(self):
        return self.state in ('closed', 'failed')

    def segment(self, flags, seq, ack=0, data=b''):
        ip, port = self.route.split(':')
        return Segment(ip_to_int(self.ip), self.port, ip_to_int(ip), int(port), flags, seq, ack, data)

    def send_syn(self, n_sent):
        """Sends the SYN and plans its next transmission. Its acknowledgement number counts the earlier ones."""
        if self.state != 'opening':
            return
        self.router.send(self.segment(SYN, self.isn, n_sent))
        if n_sent < len(SYN_RETRANSMIT_S):
            delay = SYN_RETRANSMIT_S[n_sent] - (SYN_RETRANSMIT_S[n_sent - 1] if n_sent else 0)
            self.loop.after(delay, lambda: self.send_syn(n_sent + 1))

    def fail(self, reason):
        if self.ended:
            return
        if self.current is not None:
            self.failed.append((self.current, reason))
        self.state = 'failed'
        self.reason = reason
        if self.sender:
            self.sender.closed = True
        if self.on_end:
            self.on_end(self)

    def close(self):
        """Sends a FIN. Requests that are left need another flow."""
        self.sender.write(b'', ACK | FIN)
        self.sender.closed = True
        self.state = 'closed'
        if self.on_end:
            self.on_end(self)

    def receive(self, raw):
        segment, valid = Segment.parse(raw)
        if self.ended:
            return
        if not valid:
            if segment.flags == RST and not segment.data and raw[:4] == b'\0\0\0\0':  # checksum 0: sent by the system
                self.reset_by_system = self.loop.now()
                self.loop.flows.handle_reset((segment.dst, segment.dport, segment.src, segment.sport), self.loop.now())
                self.check_reset_sequence(segment)
                self.fail('reset')
            else:
                self.loop.report_violation('MIXED', 'a caller got a segment that is not as an upstream sent it')
            return
        if segment.flags & RST:
            self.fail('reset by the upstream')
        elif segment.flags & SYN:
            self.handle_syn_ack(segment)
        elif self.state == 'open':
            self.receive_data(segment)

    def check_reset_sequence(self, segment):
        """A reset of an open flow has a sequence number near the last acknowledged one."""
        if self.state == 'open' and (segment.seq - self.expected + RESET_WINDOW_BYTES) % (1 << 32) > 2 * RESET_WINDOW_BYTES:
            self.loop.report_violation('MIXED', 'a caller got a reset with a sequence number outside its window')

    def handle_syn_ack(self, segment):
        if self.state != 'opening':
            return
        self.state, self.expected = 'open', segment.seq + 1
        self.sender = Sender(self.loop, self.isn + 1,
                             lambda flags, seq, data: self.router.send(self.segment(flags, seq, self.expected, data)))
        self.send_request()

    def send_request(self):
        if self.state != 'open':
            return
        if self.requests_left == 0 or self.fin_received:
            self.close()
            return
        self.requests_left -= 1
        self.current = f'{self.loop.random.getrandbits(64):016x}'
        self.sent.append(self.current)
        self.sender.write(f'{self.current} {self.kind} {self.length} {self.work_ms}\n'.encode())
        request = self.current
        self.loop.after(self.deadline_s, lambda: self.fail('deadline') if self.current == request else None)

    def receive_data(self, segment):
        self.sender.acknowledge(segment.ack)
        if segment.seq == self.expected & 0xffffffff and (segment.data or segment.flags & FIN) and not self.fin_received:
            self.expected += len(segment.data) + (1 if segment.flags & FIN else 0)
            self.buffer += segment.data
            self.fin_received = bool(segment.flags & FIN)
        if segment.data or segment.flags & FIN:
            self.router.send(self.segment(ACK, self.sender.next, self.expected))
        self.read_answer()
        if self.fin_received and self.current is None and self.state == 'open':
            self.close()

    def read_answer(self):
        """Checks the answer to the current request once it is complete, and plans the next request."""
        if b'\n' not in self.buffer or self.current is None:
            return
        line, rest = self.buffer.split(b'\n', 1)
        request, length = line.decode().split()
        if len(rest) < int(length):
            return
        if request != self.current or rest[:int(length)] != answer_body(request, self.length) \
                or len(rest) > int(length):
            self.loop.report_violation('MIXED', f'request {self.current} got a wrong answer, marked as of {request}')
        self.buffer, self.current = b'', None
        self.done.append(request)
        self.loop.after(self.pause_s, self.send_request)


class Router:
    """Sends each segment of a caller to a ready balancer. Rendezvous hashing chooses it, so that few flows change the
    balancer when the set of ready ones changes.
    """

    def __init__(self, loop, balancers, readiness_port, port):
        self.loop, self.balancers, self.readiness_port, self.port = loop, balancers, readiness_port, port
        self.n_missed = {ip: 0 for ip in balancers}  # consecutive readiness checks that failed
        self.callers = {}  # (address, port): caller
        self.sockets = {}  # address of a caller: socket
        self.stopped = False
        self.faults = None  # as in apply_faults; None: no faults
        self.balancer_zones = {}  # address of a balancer: its availability zone; empty: all are in one
        self.caller_zones = {}  # address of a caller: its availability zone
        threading.Thread(target=self.poll_readiness, daemon=True).start()

    def poll_readiness(self):
        while not self.stopped:
            for ip in list(self.balancers):
                try:
                    connection = http.client.HTTPConnection(ip, self.readiness_port, timeout=0.4)
                    connection.request('GET', '/ready')
                    ready = connection.getresponse().status == 200
                    connection.close()
                except (OSError, http.client.HTTPException):
                    ready = False
                self.n_missed[ip] = 0 if ready else self.n_missed[ip] + 1
            time.sleep(0.4)

    def open_socket(self, ip):
        if ip not in self.sockets:
            self.sockets[ip] = self.loop.open_udp(ip, self.port, self.deliver)

    def deliver(self, raw):
        if len(raw) < HEADER.size:
            self.loop.report_violation('MIXED', 'a caller got a datagram that is shorter than a segment header')
            return
        segment, _ = Segment.parse(raw)
        caller = self.callers.get((segment.dst, segment.dport))
        if caller is not None:
            caller.receive(raw)

    def choose_balancer(self, segment):
        zone = self.caller_zones.get(ip_to_text(segment.src))
        local = [ip for ip in self.balancers if zone is None or self.balancer_zones.get(ip) == zone]
        ready = [ip for ip in local if self.n_missed[ip] < 2] or local
        flow = struct.pack('>IHIH', segment.src, segment.sport, segment.dst, segment.dport)
        return max(ready, key=lambda ip: hashlib.blake2b(flow + ip.encode(), digest_size=8).digest())

    def send(self, segment):
        ip = ip_to_text(segment.src)
        self.open_socket(ip)
        self.apply_faults(lambda: self.sockets[ip].sendto(segment.pack(), (self.choose_balancer(segment), self.port)))

    def send_to(self, balancer, segment):
        """Sends a segment straight to a balancer."""
        ip = ip_to_text(segment.src)
        self.open_socket(ip)
        self.sockets[ip].sendto(segment.pack(), (balancer, self.port))

    def apply_faults(self, send):
        """Drops, duplicates and delays datagrams while faults are set. faults: a random number generator and the
        probabilities that a datagram is dropped, duplicated and delayed.
        """
        if self.faults is None:
            send()
            return
        rng, p_drop, p_duplicate, p_delay = self.faults
        for _ in range(2 if rng.random() < p_duplicate else 1):
            if rng.random() >= p_drop:
                self.loop.after(rng.uniform(0, 0.3) if rng.random() < p_delay else 0, send)


class DirectRouter:
    """Sends the segments of its callers to one balancer, past the hash of the router."""

    def __init__(self, router, balancer):
        self.router, self.balancer, self.callers = router, balancer, router.callers

    def send(self, segment):
        self.router.send_to(self.balancer, segment)


class Operator:
    """Publishes and reads configurations at a control process chosen at random, and follows redirects.

    acknowledged: {version: body} of the documents that were accepted.
    """

    def __init__(self, addresses, seed):
        self.addresses = addresses
        self.random = random.Random(seed)
        self.acknowledged = {}

    def request(self, method, path, body=None):
        """Returns the HTTP status and the body; status 0 if the connection failed."""
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
        """Retries until the document is accepted or rejected. Returns the HTTP status; 0 if neither came in time."""
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

    def order_zone(self, zone, drain, limit_s=6):
        """Orders that a zone be drained, or that this ends, again and again until it is accepted. A 400, 409, 412, 413 or
        422 ends the call at once, any other 4xx at the third attempt. Returns the last HTTP status."""
        end, status, refused = time.monotonic() + limit_s, 0, 0
        while time.monotonic() < end:
            status, _ = self.request('POST', f'/evacuations/{zone}/{"start" if drain else "end"}')
            refused += 400 <= status < 500
            if status == 200 or status in (400, 409, 412, 413, 422) or refused == 3:
                return status
            time.sleep(0.1)
        return status

    def read(self, limit_s=10):
        """Returns the published document as bytes, or None if no control process answered in time."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            status, body = self.request('GET', '/config/get')
            if status == 200:
                return body
            time.sleep(0.1)
        return None
