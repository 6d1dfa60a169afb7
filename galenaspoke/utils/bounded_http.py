"""An HTTP client that bounds what a peer can make it hold, and for how long.

The bounds hold for what the socket receives, whatever the peer calls it:
interim responses, chunk extensions and trailers count, too.  What is received
is a share of `buffers.process_account`.

Example::

    client = bounded_http.Client.from_url(
        'http://10.0.0.7:8000',
        limits=bounded_http.Limits(body_bytes=65_536),
        deadline_ms=clock.now() + 1000,
    )
    resp = client.request('GET', '/load')
"""

import dataclasses

import geventhttpclient
from geventhttpclient import connectionpool
from geventhttpclient import header
from geventhttpclient import response

import gevent
from gevent import socket

from galenaspoke.core import clock as clocks
from galenaspoke.http import buffers

HEAD_BYTES = 16_384
# All fields of a response, with those of interim responses and trailers.
MAX_FIELDS = 100
# How long a greenlet reads on before others get their turn.
TURN_MS = 5

_clock = clocks.Clock()


class AnswerTooLarge(OSError):
    """A peer sends more than is accepted."""


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """What is accepted of one response.

    `body_bytes` bounds the body with its framing, and `line_bytes` what comes
    between two calls of `read_line`.
    """

    body_bytes: int
    line_bytes: int = 0


class _Fields(header.Headers):
    """The fields of a response, at most MAX_FIELDS."""

    count = 0

    def add(self, field, value):
        """Add a field; raises HTTPParseError if there are too many."""
        self.count += 1
        if self.count > MAX_FIELDS:
            raise response.HTTPParseError('too many header fields')
        super().add(field, value)


class _Socket(socket.socket):
    """A socket that accepts a number of bytes.

    `deadline_ms` is when everything on it must be over, None if only pauses
    are bounded.
    """

    def begin_response(self, owner, deadline_ms):
        """Accept the head of a response."""
        self._deadline_ms = deadline_ms
        self._share = buffers.process_account.open(owner, self.close)
        self._turn_started_at = _clock.now()
        self._is_over = False
        self._accept(HEAD_BYTES)

    def _accept(self, size):
        self._accepted_bytes = self._accepted_line_bytes = size
        self._received_bytes = self._held_bytes = 0

    def begin_body(self, limits):
        """Accept the body of a response."""
        self._accept(limits.body_bytes)

    def begin_line(self, limits):
        """Accept one more line; the ones before aren't held any more."""
        self._accepted_line_bytes = limits.line_bytes
        self._held_bytes = 0

    def close(self):
        """Close the socket; it holds nothing any more."""
        # It has no share until a response begins.
        if hasattr(self, '_share'):
            self._share.close()
        super().close()

    def end_response(self):
        """Hold nothing more."""
        self._is_over = True
        self._share.close()

    def recv(self, *args):
        """Receive as `socket.recv`; raises AnswerTooLarge."""
        if self._is_over:
            # The library gives a socket back at the end of an interim
            # response, and reads on.
            self.close()
            raise ConnectionError('no response after an interim one')
        self._limit_wait()
        data = super().recv(*args)
        self._received_bytes += len(data)
        self._held_bytes += len(data)
        if self._received_bytes > self._accepted_bytes:
            raise AnswerTooLarge('the peer sends too much')
        if self._held_bytes > self._accepted_line_bytes:
            raise AnswerTooLarge('the peer sends too long a line')
        self._share.resize(self._held_bytes)
        if self._share.is_cut:
            raise AnswerTooLarge('the peer holds too much memory')
        self._give_way()
        return data

    def sendall(self, data, flags=0):
        """Send as `socket.sendall`, until the deadline."""
        self._limit_wait()
        return super().sendall(data, flags)

    def _limit_wait(self):
        if self._deadline_ms is None:
            return
        left_ms = self._deadline_ms - _clock.now()
        if left_ms <= 0:
            raise TimeoutError('the exchange takes too long')
        self.settimeout(left_ms / 1000)

    def _give_way(self):
        if _clock.now() - self._turn_started_at < TURN_MS:
            return
        gevent.sleep(0)
        self._turn_started_at = _clock.now()


class _Pool(connectionpool.ConnectionPool):
    """Connections whose sockets are bounded."""

    def __init__(self, deadline_ms, host, port, **kwargs):
        super().__init__(host, port, host, port, **kwargs)
        self._owner = f'{host}:{port}'
        self._deadline_ms = deadline_ms

    def _create_tcp_socket(self, family, socktype, protocol):
        return _Socket(family, socktype, protocol)

    def get_socket(self):
        """Return a socket for one exchange."""
        sock = super().get_socket()
        sock.begin_response(self._owner, self._deadline_ms)
        return sock

    def return_socket(self, sock):
        """Keep a socket for another exchange."""
        sock.end_response()
        super().return_socket(sock)

    def release_socket(self, sock):
        """Close a socket."""
        sock.end_response()
        super().release_socket(sock)


class Client(geventhttpclient.HTTPClient):
    """The library's client with `limits` for each response.

    With `deadline_ms`, on the process's clock, all that it does ends then.
    """

    def __init__(self, *args, limits, deadline_ms=None, **kwargs):
        super().__init__(*args, headers_type=_Fields, **kwargs)
        self._limits = limits
        pool = self._connection_pool
        self._connection_pool = _Pool(
            deadline_ms,
            self.host,
            self.port,
            size=pool.size,
            connection_timeout=pool.connection_timeout,
            network_timeout=pool.network_timeout,
        )

    def request(self, *args, **kwargs):
        """Send a request; return the response, whose body isn't read yet."""
        resp = super().request(*args, **kwargs)
        sock = resp._sock
        if sock is None:
            return resp
        if (resp.content_length or 0) > self._limits.body_bytes:
            resp.release()
            raise AnswerTooLarge(f'{resp.content_length} bytes of body')
        sock.begin_body(self._limits)
        return resp

    def read_line(self, resp):
        """Return the next line of a response, empty at its end."""
        if resp._sock is not None:
            resp._sock.begin_line(self._limits)
        return resp.readline(b'\n')
