"""Client connections: one request at a time, one answer for each.

Example::

    link = links.connect('10.0.0.9', 8080, timeout_s=0.5)
    link.send(b'GET / HTTP/1.1\\r\\nHost: a\\r\\n\\r\\n')
    answer = link.answer()
"""

import contextlib
import socket as std_socket

import gevent
from gevent import socket

from galenaspoke.http import messages

RECEIVE_BYTES = 65_536
# A peer that doesn't acknowledge what was sent for so long is given up.
UNACKNOWLEDGED_MS = 3_000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


class NotSent(Exception):
    """No connection was made: nothing can have reached the peer."""


class ResponseLost(Exception):
    """The connection failed after something may have been sent on it."""


class ReadTimeout(Exception):
    """The peer sent nothing for longer than was waited."""


class Connection:
    """One connection to a peer."""

    __slots__ = ('reader', 'idle_since', 'idle_ms', '_sock', '_send')

    def __init__(self, sock):
        self.reader = messages.ResponseParser()
        self.idle_since = 0
        # How long the peer keeps it open while idle.
        self.idle_ms = 0
        self._sock = sock
        self._send = None

    def set_read_timeout(self, seconds):
        """Raise Silent from now on when nothing comes for so long."""
        self._sock.settimeout(seconds)

    def send(self, data):
        """Send a request, without waiting for a peer that reads slowly."""
        try:
            sent = self._sock._sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError as exc:
            raise ResponseLost(f'send: {exc}') from exc
        if sent < len(data):
            self._send = gevent.spawn(self._send_rest, data[sent:])

    def _send_rest(self, data):
        try:
            self._sock.sendall(data)
        except OSError:
            # Whoever reads the answer finds the connection broken.
            pass

    def is_fully_sent(self):
        """Tell whether the whole request has left."""
        return self._send is None or self._send.ready()

    def receive(self):
        """Read more; return False when the peer has closed in order."""
        try:
            data = self._sock.recv(RECEIVE_BYTES)
        except TimeoutError as exc:
            if exc.errno is None:
                raise ReadTimeout('the peer is silent') from None
            raise ResponseLost(f'receive: {exc}') from exc
        except OSError as exc:
            raise ResponseLost(f'receive: {exc}') from exc
        if not data:
            self.reader.end()
            return False
        try:
            self.reader.feed(data)
        except messages.BadResponse as exc:
            raise ResponseLost(f'no answer in the protocol: {exc}') from exc
        return True

    def read_head(self, accept=None):
        """Return the next answer once its head has been read.

        Answers that `accept` turns down belong to other requests: they are
        read to their end and dropped.
        """
        answers = self.reader.answers
        while True:
            while answers and answers[0].headers_complete:
                if accept is None or accept(answers[0]):
                    return answers.popleft()
                if not answers[0].complete:
                    break
                answers.popleft()
            if not self.receive():
                if answers and answers[0].complete:
                    continue
                raise ResponseLost('closed without an answer')

    def read_body(self, response):
        """Read an answer to its end; return its body."""
        while not response.complete:
            if not self.receive() and not response.complete:
                raise ResponseLost('closed in the middle of an answer')
        return response.take()

    def read_response(self):
        """Return the next answer, read to its end."""
        response = self.read_head()
        body = self.read_body(response)
        response.body += body
        return response

    def is_reusable(self, response):
        """Tell whether the connection may carry another request."""
        clean = not self.reader.answers and self.is_fully_sent()
        return clean and response.complete and response.keep_alive

    def is_open_and_empty(self):
        """Tell whether an idle connection is still open, with no bytes."""
        return nothing_came(self._sock)

    def interrupt(self):
        """Let whoever waits for the peer find the connection broken."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(std_socket.SHUT_RDWR)

    def close(self):
        """End the connection, whatever it carries."""
        if self._send is not None:
            self._send.kill(block=False)
        self._sock.close()


def connect(host, port, timeout_s):
    """Return a new Link; raise NotSent."""
    try:
        sock = socket.create_connection((host, port), timeout_s)
    except OSError as exc:
        raise NotSent(f'connect: {exc}') from exc
    sock.settimeout(None)
    watch_over(sock)
    return Connection(sock)


def peek(sock):
    """Return the next byte of a gevent socket without taking it.

    Returns b'' at the end, and raises BlockingIOError if nothing has come.
    """
    flags = std_socket.MSG_PEEK | std_socket.MSG_DONTWAIT
    return sock._sock.recv(1, flags)


def nothing_came(sock):
    """Tell whether a socket is open and has no bytes to read."""
    try:
        peek(sock)
    except BlockingIOError:
        return True
    except OSError:
        pass
    return False


def watch_over(sock):
    """Send small packets at once, and notice a peer that went silent."""
    tcp = std_socket.IPPROTO_TCP
    sock.setsockopt(tcp, std_socket.TCP_NODELAY, 1)
    sock.setsockopt(std_socket.SOL_SOCKET, std_socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, std_socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, std_socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, std_socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, std_socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
