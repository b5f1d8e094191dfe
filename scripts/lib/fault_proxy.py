"""A TCP proxy on loopback that injects faults into its connections: delays, resets, and the loss of all bytes in one
or both directions while the connection stays open."""
import selectors
import socket
import threading
import time

MODES = ('delay', 'reset', 'cut-to-server', 'cut-to-client', 'silence')
DELAY_S = 0.2


class FaultProxy:
    """Forwards connections from listen to target in a thread. The mode is 'pass' or one of MODES."""

    def __init__(self, name, listen, target):
        self.name, self.target, self.mode, self.stopped = name, target, 'pass', False
        self.selector = selectors.DefaultSelector()
        self.peers = {}  # socket: (socket of the other side, whether this socket leads to the client)
        self.delayed = []  # (due, socket to send to, bytes)
        self.silenced = set()  # sockets whose bytes were dropped; forwarding later ones would leave a gap in the stream
        self.server = socket.socket()
        self.server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.server.bind(listen)
        self.server.listen(64)
        self.selector.register(self.server, selectors.EVENT_READ)
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def set_mode(self, mode):
        self.mode = mode

    def stop(self):
        self.stopped = True
        self.thread.join()
        self.close_all()
        self.server.close()

    def close_all(self):
        for sock in list(self.peers):
            self.close(sock)

    def close(self, sock, reset=False):
        """Closes both sides of a connection. reset: with a TCP reset, by a linger time of 0."""
        for end in (sock, self.peers.get(sock, (None,))[0]):
            if end is None or end not in self.peers:
                continue
            del self.peers[end]
            self.silenced.discard(end)
            self.selector.unregister(end)
            if reset:
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0')
            end.close()

    def accept(self):
        client, _ = self.server.accept()
        if self.mode == 'reset':
            client.close()
            return
        server = socket.socket()
        server.settimeout(0.5)
        try:
            server.connect(self.target)
        except OSError:
            client.close()
            return
        for end, other, is_client in ((client, server, True), (server, client, False)):
            end.settimeout(1)
            self.peers[end] = (other, is_client)
            self.selector.register(end, selectors.EVENT_READ)

    def forward(self, sock):
        other, is_client = self.peers[sock]
        try:
            data = sock.recv(65536)
        except OSError:
            data = b''
        if not data:
            self.close(sock)
        elif sock in self.silenced:
            return
        elif self.mode == 'silence' or self.mode == ('cut-to-server' if is_client else 'cut-to-client'):
            self.silenced.add(sock)
        elif self.mode == 'delay':
            self.delayed.append((time.monotonic() + DELAY_S, other, data))
        else:
            self.send(other, data)

    def send(self, sock, data):
        try:
            sock.sendall(data)
        except OSError:
            self.close(sock)

    def run(self):
        while not self.stopped:
            if self.mode == 'reset' and self.peers:
                for sock in list(self.peers):
                    if sock in self.peers:
                        self.close(sock, reset=True)
            for key, _ in self.selector.select(0.02):
                if key.fileobj is self.server:
                    self.accept()
                elif key.fileobj in self.peers:
                    self.forward(key.fileobj)
            now = time.monotonic()
            while self.delayed and self.delayed[0][0] <= now:
                _, sock, data = self.delayed.pop(0)
                if sock in self.peers:
                    self.send(sock, data)
