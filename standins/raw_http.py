"""HTTP/1.1 on a socket, as bytes: for stand-ins that break its rules.

Both sides use it: `Connection` reads requests as well as responses, and says
how a response was framed and whether its end was stated.
"""

import json
import struct

from gevent import server
from gevent import socket

RECEIVE_BYTES = 65_536
# Closing a socket that lingers for no time resets its connection.
_NO_LINGER = struct.pack('ii', 1, 0)


class Disconnected(Exception):
    """The connection ended before the message did."""


class Message:
    """The head of a request or response."""

    __slots__ = ('first', 'headers')

    def __init__(self, first, headers):
        self.first = first
        self.headers = headers

    @property
    def status(self):
        """Return the status of a response."""
        return int(self.first.split(' ')[1])

    def get(self, name, default=''):
        """Return a header by its name in lower case."""
        return self.headers.get(name, default)

    def is_chunked(self):
        """Return whether the body comes in chunks."""
        return self.get('transfer-encoding').lower() == 'chunked'

    def is_framed(self):
        """Return whether the message states where its body ends."""
        return self.is_chunked() or 'content-length' in self.headers


class Connection:
    """Reads messages from a socket."""

    __slots__ = ('sock', '_buffer')

    def __init__(self, sock):
        self.sock = sock
        self._buffer = b''

    def has_surplus(self):
        """Return whether there are bytes after the message read last."""
        return bool(self._buffer)

    def read_head(self):
        """Return the next Message, None if there is no further one."""
        while b'\r\n\r\n' not in self._buffer:
            if not self._receive():
                if self._buffer:
                    raise Disconnected('in a head')
                return None
        head, self._buffer = self._buffer.split(b'\r\n\r\n', 1)
        first, *lines = head.decode('latin-1').split('\r\n')
        pairs = (line.partition(':') for line in lines)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        return Message(first, headers)

    def iter_body(self, message, ends_with_connection=False):
        """Yield the pieces of a body; raise Disconnected if it is cut off.

        A response without a length may end with its connection.
        """
        if message.is_chunked():
            yield from self._iter_chunks()
        elif 'content-length' in message.headers:
            left = int(message.get('content-length'))
            while left:
                data = self._take(left)
                left -= len(data)
                yield data
        elif ends_with_connection:
            while self._buffer or self._receive():
                data, self._buffer = self._buffer, b''
                yield data

    def read_body(self, message):
        """Return the whole body of a message."""
        return b''.join(self.iter_body(message))

    def _iter_chunks(self):
        while True:
            while b'\r\n' not in self._buffer:
                self._receive_or_raise()
            line, self._buffer = self._buffer.split(b'\r\n', 1)
            left = int(line.split(b';')[0], 16)
            is_last = not left
            while left:
                data = self._take(left)
                left -= len(data)
                yield data
            while len(self._buffer) < 2:
                self._receive_or_raise()
            self._buffer = self._buffer[2:]
            if is_last:
                return

    def _take(self, count):
        if not self._buffer:
            self._receive_or_raise()
        data, self._buffer = self._buffer[:count], self._buffer[count:]
        return data

    def _receive_or_raise(self):
        if not self._receive():
            raise Disconnected('in a body')

    def _receive(self):
        data = self.sock.recv(RECEIVE_BYTES)
        self._buffer += data
        return bool(data)


def encode(first, headers, body=None):
    """Encode a message, with a length if it has a body."""
    lines = [first, *(f'{name}: {value}' for name, value in headers)]
    if body is not None:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + (body or b'')


def encode_response(status, body=b'', headers=()):
    """Encode a response with a length."""
    return encode(f'HTTP/1.1 {status} -', headers, body)


def call(address, method, path, document=None, timeout_s=1.0):
    """Call a stand-in once; return the status and the decoded body."""
    body = b'' if document is None else json.dumps(document).encode()
    with socket.create_connection(parse(address), timeout_s) as sock:
        sock.sendall(encode(f'{method} {path} HTTP/1.1', (), body))
        conn = Connection(sock)
        message = conn.read_head()
        if message is None:
            raise Disconnected('before a response')
        raw = conn.read_body(message)
    return message.status, json.loads(raw) if raw else None


def connect(address, timeout_s=1.0):
    """Return a socket that is connected and then waits without a limit."""
    sock = socket.create_connection(parse(address), timeout_s)
    sock.settimeout(None)
    return sock


def reset(sock):
    """Close a connection with a reset."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    except OSError:
        pass
    sock.close()


def parse(address):
    """Split IP:PORT."""
    host, _, port = address.rpartition(':')
    return host, int(port)


def listen(address, handle):
    """Start to accept connections; return the server.

    `handle(sock, peer)` runs in a greenlet for each.
    """
    listener = server.StreamServer(parse(address), handle)
    listener.start()
    return listener
