"""Connections of callers: bounds on what they send, and for how long.

A pywsgi handler whose input has a number of bytes and a deadline, for the head
and for the body.  What has been read of a request is a share of
`buffers.process_account` until the request is whole.

Example::

    pywsgi.WSGIServer(address, app, handler_class=bounded_wsgi.Handler)

The application calls what is at RELEASE_KEY of its environment once it has
read a request.
"""

from http import client
import io

import gevent
from gevent import pywsgi

from galenaspoke.core import clock as clocks
from galenaspoke.http import buffers

HEAD_BYTES = 16_384
HEAD_TIMEOUT_MS = 10_000
# A body that is refused is read this far, so that its caller reads why.
BODY_BYTES = 4_194_304
BODY_TIMEOUT_MS = 30_000
RECEIVE_BYTES = 8192
# How long a caller may take no byte of a response.
SEND_TIMEOUT_S = 30
# How long a greenlet reads on before others get their turn.
TURN_MS = 5
RELEASE_KEY = 'galenaspoke.release'

_clock = clocks.Clock()


class RequestTooLarge(OSError):
    """A caller sends more than is accepted."""


class _Input(io.RawIOBase):
    """The bytes that a caller sends."""

    def __init__(self, sock, owner):
        super().__init__()
        self._sock = sock
        self._share = buffers.process_account.open(owner, sock.close)
        self._turn_started_at = _clock.now()
        self._is_over = False
        self.wait()

    def wait(self):
        """Accept the head of a request, whenever it begins."""
        self._bytes_left = HEAD_BYTES
        self._deadline_ms = None
        self._is_held = True
        self._share.resize(0)

    def begin_body(self):
        """Accept the rest of a request from now on."""
        self._bytes_left = BODY_BYTES
        self._deadline_ms = _clock.now() + BODY_TIMEOUT_MS

    def release(self):
        """Hold nothing; what is read on is dropped."""
        self._is_held = False
        self._share.resize(0)

    def end(self):
        """End the connection's share."""
        self._share.close()

    def readable(self):
        """Return True."""
        return True

    def readinto(self, buffer):
        """Receive into `buffer`; raises RequestTooLarge or TimeoutError."""
        if self._is_over:
            raise RequestTooLarge('the request was given up')
        try:
            size = self._receive(buffer)
        except OSError:
            # The rest isn't read, so the connection ends after the response.
            self._is_over = True
            raise
        finally:
            self._sock.settimeout(SEND_TIMEOUT_S)
        self._give_way()
        return size

    def _receive(self, buffer):
        self._limit_wait()
        size = self._sock.recv_into(buffer)
        if self._deadline_ms is None:
            self._deadline_ms = _clock.now() + HEAD_TIMEOUT_MS
        self._bytes_left -= size
        if self._is_held:
            self._share.resize(self._share.held_bytes + size)
        if self._bytes_left < 0 or self._share.is_cut:
            raise RequestTooLarge('the caller sends too much')
        return size

    def _limit_wait(self):
        if self._deadline_ms is None:
            self._sock.settimeout(None)
            return
        left_ms = self._deadline_ms - _clock.now()
        if left_ms <= 0:
            raise TimeoutError('the caller sends too slowly')
        self._sock.settimeout(left_ms / 1000)

    def _give_way(self):
        if _clock.now() - self._turn_started_at < TURN_MS:
            return
        gevent.sleep(0)
        self._turn_started_at = _clock.now()


class Handler(pywsgi.WSGIHandler):
    """The library's handler with a bounded input."""

    def __init__(self, sock, address, server):
        super().__init__(sock, address, server)
        self.rfile.close()
        self._input = _Input(sock, address[0])
        self.rfile = io.BufferedReader(self._input, RECEIVE_BYTES)

    def handle(self):
        """Serve the requests of a connection."""
        try:
            super().handle()
        finally:
            self._input.end()

    def read_requestline(self):
        """Return the first line of a request."""
        self._input.wait()
        return super().read_requestline()

    def read_request(self, raw_requestline):
        """Read the rest of a request's head; raises ValueError."""
        try:
            result = super().read_request(raw_requestline)
        except (OSError, client.HTTPException) as exc:
            raise ValueError(f'head: {exc}') from exc
        self._input.begin_body()
        return result

    def get_environ(self):
        """Return the environment of a request."""
        environ = super().get_environ()
        environ[RELEASE_KEY] = self._input.release
        return environ
