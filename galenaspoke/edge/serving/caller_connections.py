"""Connections of callers: read requests, send responses, see disconnects."""

import contextlib
import struct

import gevent
from gevent import socket

from galenaspoke.http import connections
from galenaspoke.http import messages

RECEIVE_BYTES = 65_536
# The event loop's flag for a readable socket.
_READ_EVENT = 1
# Makes the close of a connection reset it.
_LINGER_NOT = struct.pack('ii', 1, 0)


class CallerDisconnected(Exception):
    """The connection to the caller is closed or has to be closed."""


class CallerConnection:
    """The connection of one caller, which carries one request at a time.

    `get_limits` returns the Limits in force.  Those of a request are the ones
    in force when it begins to arrive, or when its turn comes if it had begun
    before.
    """

    __slots__ = (
        'keep_alive',
        'response_started',
        'has_active_request',
        'parser',
        '_takes_chunks',
        '_ends_by_close',
        '_must_reset',
        '_is_closed',
        '_sock',
        '_clock',
        '_get_limits',
    )

    def __init__(self, sock, clock, get_limits):
        connections.configure_socket(sock)
        self._sock = sock
        self._clock = clock
        self._get_limits = get_limits
        self.parser = messages.RequestParser(get_limits())
        # Whether another request may follow on this connection.
        self.keep_alive = True
        # Whether the head of the current response has been sent.
        self.response_started = False
        # Whether a request of this connection is being handled.
        self.has_active_request = False
        # Whether the caller of the current request understands chunks.
        self._takes_chunks = True
        # Whether the current response ends with the connection.
        self._ends_by_close = False
        # Whether the connection has to end so that the response looks cut.
        self._must_reset = False
        # Whether this end has closed the connection.
        self._is_closed = False

    def is_idle(self):
        """Return whether no request is arriving, queued or being handled."""
        has_request = self.parser.current or self.parser.requests
        return not (self.has_active_request or has_request)

    def has_queued_request(self):
        """Return whether another request has been read and waits."""
        return bool(self.parser.requests)

    def next_request(self):
        """Return the next complete Request.

        Returns None if none begins within `idle_timeout_ms`.
        `header_timeout_ms` limits the time to receive the headers and each
        pause in the body.  Raises BadRequest for an invalid request or one
        that arrives too slowly, and CallerDisconnected if the connection is
        closed or fails.
        """
        self.parser.limits = self._get_limits()
        self.response_started = False
        started_at = self._clock.now()
        while not self.parser.requests:
            current = self.parser.current
            if current is not None and not current.arrived_at:
                current.arrived_at = started_at = self._clock.now()
            self._send_continue(current)
            if self._receive(self._timeout_ms(started_at)):
                continue
            if current is None:
                # A longer wait may be allowed meanwhile.
                if self._timeout_ms(started_at) > 0:
                    continue
                return None
            part = 'body' if current.is_head_complete else 'headers'
            raise messages.BadRequest(
                408, f'request {part} arrived too slowly'
            )
        req = self.parser.requests.popleft()
        if not req.arrived_at:
            req.arrived_at = self._clock.now()
        self._takes_chunks = req.takes_chunks
        return req

    def _timeout_ms(self, started_at):
        """Return how much longer to wait for data.

        `started_at` is when the wait for a request began, or the request.
        """
        waited_ms = self._clock.now() - started_at
        current = self.parser.current
        if current is None:
            return self._get_limits().idle_timeout_ms - waited_ms
        timeout_ms = self.parser.limits.header_timeout_ms
        return timeout_ms - (0 if current.is_head_complete else waited_ms)

    def _send_continue(self, current):
        if current is not None and current.expects_continue:
            current.expects_continue = False
            self._send(messages.CONTINUE)

    def _receive(self, timeout_ms):
        """Read and parse more; return False if nothing arrived in time."""
        self._sock.settimeout(max(0.001, timeout_ms / 1000))
        try:
            data = self._sock.recv(RECEIVE_BYTES)
        except TimeoutError:
            return False
        except OSError as exc:
            if self._is_closed:
                raise CallerDisconnected('closed by the router') from exc
            raise CallerDisconnected(str(exc)) from exc
        finally:
            self._sock.settimeout(None)
        if not data:
            raise CallerDisconnected('closed by the caller')
        if self.parser.current is None:
            self.parser.limits = self._get_limits()
        self.parser.feed(data)
        return True

    @contextlib.contextmanager
    def cancel_on_disconnect(self):
        """Raise CallerDisconnected in the block if the caller disconnects.

        A response that ends with the connection is cut if the block fails.
        """
        task = gevent.getcurrent()
        watcher = gevent.get_hub().loop.io(self._sock.fileno(), _READ_EVENT)

        def check():
            try:
                is_closed = not connections.peek(self._sock)
            except BlockingIOError:
                return
            except OSError:
                is_closed = True
            # Otherwise bytes of the next request have arrived, which are read
            # later.  Until then the socket stays readable, so a disconnect
            # can't be detected.
            watcher.stop()
            if is_closed:
                task.kill(
                    CallerDisconnected('closed by the caller'), block=False
                )

        watcher.start(check)
        try:
            yield
        except BaseException:
            self._must_reset = self._ends_by_close
            raise
        finally:
            watcher.stop()
            watcher.close()

    def send_response(self, status, headers, body):
        """Send a complete response."""
        self.response_started = True
        headers = [*headers, (b'Content-Length', b'%d' % len(body))]
        head = self._encode_head(status, headers)
        self._send(head + body)

    def start_chunked_response(self, status, headers):
        """Return the encoded head of a response of unknown length.

        Marks the response as started; the head must be sent together with the
        first chunk.  A caller that takes no chunks gets bare bytes, up to the
        end of the connection.
        """
        self.response_started = True
        if not self._takes_chunks:
            self._ends_by_close = True
            self.keep_alive = False
            return self._encode_head(status, list(headers))
        return self._encode_head(
            status, [*headers, (b'Transfer-Encoding', b'chunked')]
        )

    def _encode_head(self, status, headers):
        if not self.keep_alive:
            headers.append((b'Connection', b'close'))
        return messages.encode_head(
            messages.build_status_line(status), headers
        )

    def send(self, data):
        """Send bytes that are already encoded."""
        self._send(data)

    def _send(self, data):
        try:
            self._sock.sendall(data)
        except OSError as exc:
            raise CallerDisconnected(f'send: {exc}') from exc

    def close_if_idle(self):
        """Close the connection, unless there is a request or unread bytes.

        `next_request` then raises CallerDisconnected, and no request is
        accepted that arrives from now on.  Returns whether the connection was
        closed.
        """
        if self.is_idle() and connections.is_open_and_empty(self._sock):
            self.close()
        return self._is_closed

    def close(self):
        """Close the connection; reset it if a response was cut."""
        self._is_closed = True
        if self._must_reset:
            with contextlib.suppress(OSError):
                self._sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NOT
                )
        self._sock.close()
