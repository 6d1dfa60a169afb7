"""A caller's connection: requests in, answers out, and its leaving."""

import contextlib

import gevent
from gevent import socket

from galenaspoke.http import connections
from galenaspoke.http import messages

RECEIVE_BYTES = 65_536
_READ = 1


class CallerDisconnected(Exception):
    """The caller closed its connection, or it broke."""


class CallerConnection:
    """One caller's connection; one request at a time is served on it."""

    __slots__ = (
        'keep',
        'begun',
        'serving',
        'reader',
        '_sock',
        '_clock',
    )

    def __init__(self, sock, clock, limits):
        connections.watch_over(sock)
        self._sock = sock
        self._clock = clock
        self.reader = messages.RequestParser(limits)
        # Whether another request may follow on this connection.
        self.keep = True
        # Whether the head of the present answer has been sent.
        self.begun = False
        # Whether a request of it is being served.
        self.serving = False

    def idle(self):
        """Tell whether no request of it has begun to arrive or is served."""
        waiting = self.reader.current or self.reader.requests
        return not (self.serving or waiting)

    def next_request(self, limits):
        """Return the next whole Request, or None when there is none more.

        Raises BadRequest for what is refused.
        """
        self.reader.limits = limits
        self.begun = False
        began = self._clock.now()
        while not self.reader.requests:
            current = self.reader.current
            if current is not None and not current.arrived_at:
                current.arrived_at = began = self._clock.now()
            self._continue(current)
            wait_ms = limits.idle_timeout_ms
            if current is not None:
                wait_ms = limits.header_timeout_ms
                if not current.headers_complete:
                    wait_ms -= self._clock.now() - began
            if not self._receive(wait_ms):
                if current is None or not current.headers_complete:
                    if current is not None:
                        raise messages.BadRequest(408, 'headers came slowly')
                    return None
                raise messages.BadRequest(408, 'the body came slowly')
        req = self.reader.requests.popleft()
        if not req.arrived_at:
            req.arrived_at = self._clock.now()
        return req

    def _continue(self, current):
        if current is not None and current.expects_continue:
            current.expects_continue = False
            self._send(messages.CONTINUE)

    def _receive(self, wait_ms):
        """Read more; return False when nothing came in time."""
        self._sock.settimeout(max(0.001, wait_ms / 1000))
        try:
            data = self._sock.recv(RECEIVE_BYTES)
        except TimeoutError:
            return False
        except OSError as exc:
            raise CallerDisconnected(str(exc)) from exc
        finally:
            self._sock.settimeout(None)
        if not data:
            raise CallerDisconnected('closed')
        self.reader.feed(data)
        return True

    @contextlib.contextmanager
    def attended(self):
        """Raise CallerGone in the block as soon as the caller leaves."""
        task = gevent.getcurrent()
        watcher = gevent.get_hub().loop.io(self._sock.fileno(), _READ)

        def look():
            try:
                left = not connections.peek(self._sock)
            except BlockingIOError:
                return
            except OSError:
                left = True
            # Else the next request is here: it is read when its turn is.
            watcher.stop()
            if left:
                task.kill(CallerDisconnected('closed'), block=False)

        watcher.start(look)
        try:
            yield
        finally:
            watcher.stop()
            watcher.close()

    def answer(self, status, headers, body):
        """Send a whole answer."""
        self.begun = True
        headers = [*headers, (b'Content-Length', b'%d' % len(body))]
        head = self._head(status, headers)
        self._send(head + body)

    def begin(self, status, headers):
        """Return the head of an answer whose length isn't known."""
        self.begun = True
        return self._head(
            status, [*headers, (b'Transfer-Encoding', b'chunked')]
        )

    def _head(self, status, headers):
        if not self.keep:
            headers.append((b'Connection', b'close'))
        return messages.encode_head(messages.status_line(status), headers)

    def send(self, data):
        """Send bytes as they are."""
        self._send(data)

    def _send(self, data):
        try:
            self._sock.sendall(data)
        except OSError as exc:
            raise CallerDisconnected(f'send: {exc}') from exc

    def shut_if_idle(self):
        """End the connection, unless a request of it is here already."""
        if self.idle() and connections.nothing_came(self._sock):
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_RD)

    def close(self):
        """End the connection."""
        self._sock.close()
