"""Connections of callers: read requests, send responses, see disconnects."""

import contextlib
import socket as std_socket
import struct
import time

import gevent

from galenaspoke.edge.serving import caller_sending
from galenaspoke.edge.serving import disconnects
from galenaspoke.http import buffers
from galenaspoke.http import messages
from galenaspoke.http import request_parsing
from galenaspoke.http import sockets
from galenaspoke.http import turns

RECEIVE_BYTES = 65_536
# What was received is parsed in pieces, each only once the requests of those
# before it have had their turn.
PIECE_BYTES = 8_192
# A body up to this length is sent together with its head, which copies it.
MAX_JOINED_BYTES = 65_536
# The work of a request that was sent before the response to the one ahead.
PIPELINED_REQUEST_S = 0.001
# The work of relaying a byte of a stream.
RELAYED_BYTE_S = 0.000_000_05
# Makes the close of a connection reset it.
_LINGER_NOT = struct.pack('ii', 1, 0)
# What was sent reaches the peer first.
_LINGER_BY_DEFAULT = struct.pack('ii', 0, 0)
# How long, and for how many bytes, a connection is read whose response was
# sent before all of the request had come.
LINGER_MS = 2_000
LINGER_BYTES = messages.MAX_BODY_BYTES
# Between two reads of what is dropped, so that callers can't send at will.
LINGER_PAUSE_S = 0.02
# More of a body than this is only read while the process has room for it.
PROMPT_BODY_BYTES = 65_536
ROOM_INTERVAL_S = 0.05
# The owner of what is held for callers.  Their addresses tell nothing, as they
# come through load balancers.
SHARE_OWNER = 'callers'
_OUT_OF_MEMORY = 'the process holds too much for its callers'


class CallerDisconnected(Exception):
    """The connection to the caller is closed or has to be closed."""


class OutOfMemory(Exception):
    """The process holds too much, and most of it for this caller."""


class CallerConnection:
    """The connection of one caller, which carries one request at a time.

    What it holds counts in the account of the process.  If its share is cut,
    the greenlet that has begun to read a request gets OutOfMemory.

    `get_limits` returns the Limits in force.  Those of a request are the ones
    in force when it begins to arrive, or when its turn comes if it had begun
    before.
    """

    __slots__ = (
        'keep_alive',
        'response_started',
        'has_active_request',
        'parser',
        '_ends_by_close',
        '_must_reset',
        '_is_closed',
        '_is_reading',
        '_watch',
        '_share',
        '_work',
        '_task',
        '_active',
        '_unsent_bytes',
        '_unparsed',
        '_parse_error',
        '_sock',
        '_sender',
        '_clock',
        '_get_limits',
    )

    def __init__(self, sock, clock, get_limits):
        sockets.configure_caller(sock)
        self._sock = sock
        self._sender = caller_sending.CallerSender(sock, self._hold_unsent)
        self._clock = clock
        self._get_limits = get_limits
        self.parser = request_parsing.RequestParser(get_limits())
        # Whether another request may follow on this connection.
        self.keep_alive = True
        # Whether the head of the current response has been sent.
        self.response_started = False
        # Whether a request of this connection is being handled.
        self.has_active_request = False
        # Whether the current response ends with the connection.
        self._ends_by_close = False
        # Whether the connection has to end so that the response looks cut.
        self._must_reset = False
        # Whether this end has closed the connection.
        self._is_closed = False
        # Whether the body of the current request has to be read.
        self._is_reading = False
        # Watches for a disconnect, None outside of `cancel_on_disconnect`.
        self._watch = None
        self._share = buffers.process_account.open(SHARE_OWNER, self._cut)
        self._work = turns.Work(turns.caller_turns)
        # The greenlet that serves the connection.
        self._task = None
        # The request that was begun last, and the bytes of its response that
        # the socket has not taken.
        self._active = None
        self._unsent_bytes = 0
        # A view of what was received and not parsed yet.
        self._unparsed = b''
        # Why what was parsed last isn't valid.  The requests before it still
        # count.
        self._parse_error = None

    def is_idle(self):
        """Return whether no request is arriving, queued or being handled."""
        has_request = self.parser.current or self.has_queued_request()
        return not (self.has_active_request or has_request)

    def has_queued_request(self):
        """Return whether another request has been read and waits."""
        return bool(self.parser.requests or self._unparsed)

    def next_request(self):
        """Return the next Request, complete; see `begin_request`."""
        req = self.begin_request()
        if req is not None and not req.is_complete:
            self.read_body(req)
        return req

    def begin_request(self):
        """Return the next Request as soon as its head is complete.

        `read_body` reads the rest of one that isn't complete.  Returns None
        if no request begins within `idle_timeout_ms`.  `header_timeout_ms`
        limits the time to receive the headers.  Raises BadRequest for an
        invalid request or one that arrives too slowly, and CallerDisconnected
        if the connection is closed or fails.
        """
        self.parser.limits = self._get_limits()
        self.response_started = False
        self._task = gevent.getcurrent()
        self._active = None
        self._count_held_bytes()
        if self.has_queued_request():
            self._work.record(PIPELINED_REQUEST_S)
        else:
            self._work.begin()
        started_at = self._clock.now()
        while not self.parser.requests:
            if self._parse_error is not None:
                raise self._parse_error
            current = self.parser.current
            if current is not None and not current.arrived_at:
                current.arrived_at = started_at = self._clock.now()
            if self._unparsed:
                self._parse_piece()
                continue
            if current is not None and current.is_head_complete:
                self._is_reading = True
                return current
            if self._receive(self._timeout_ms(started_at)):
                continue
            if current is not None:
                raise messages.BadRequest(
                    408, 'request headers arrived too slowly'
                )
            # A longer wait may be allowed meanwhile.
            if self._timeout_ms(started_at) <= 0:
                return None
        req = self.parser.requests.popleft()
        if not req.arrived_at:
            req.arrived_at = self._clock.now()
        self._active = req
        return req

    def read_body(self, req):
        """Read the rest of a request that `begin_request` has returned.

        `header_timeout_ms` limits each pause.  Raises as `begin_request`.
        """
        while not req.is_complete:
            if self._unparsed:
                self._parse_piece()
                continue
            self._send_continue(req)
            self._wait_for_room(req)
            if not self._receive(self.parser.limits.header_timeout_ms):
                raise messages.BadRequest(
                    408, 'request body arrived too slowly'
                )
        self._active = self.parser.requests.popleft()
        self._is_reading = False
        if self._watch is not None:
            self._watch.start()

    def _wait_for_room(self, req):
        """Leave the rest of a large body unread while there is no room.

        Callers that are cut off would send it again, which costs more than
        to let them wait.  Raises OutOfMemory if there is none for long.
        """
        if len(req.body) < PROMPT_BODY_BYTES:
            return
        until = self._clock.now() + self.parser.limits.header_timeout_ms
        while not buffers.process_account.has_room():
            if self._clock.now() >= until:
                raise OutOfMemory(_OUT_OF_MEMORY)
            gevent.sleep(ROOM_INTERVAL_S)

    def _timeout_ms(self, started_at):
        """Return how much longer to wait for data.

        `started_at` is when the wait for a request began, or the request.
        """
        waited_ms = self._clock.now() - started_at
        current = self.parser.current
        if current is None:
            return self._get_limits().idle_timeout_ms - waited_ms
        return self.parser.limits.header_timeout_ms - waited_ms

    def _send_continue(self, req):
        if req.expects_continue:
            req.expects_continue = False
            self._send(messages.CONTINUE)

    def _receive(self, timeout_ms):
        """Read more and parse a piece; return False if none came in time."""
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
        if self._share.is_cut:
            raise OutOfMemory(_OUT_OF_MEMORY)
        if self.parser.current is None:
            self.parser.limits = self._get_limits()
        self._unparsed = memoryview(data)
        self._parse_piece()
        return True

    def _parse_piece(self):
        """Parse some of what was received."""
        piece = self._unparsed[:PIECE_BYTES]
        # An empty view would keep all of the bytes.
        self._unparsed = self._unparsed[PIECE_BYTES:] or b''
        started_at = time.monotonic()
        try:
            self.parser.feed(piece)
        except messages.BadRequest as exc:
            if not self.parser.requests:
                raise
            self._unparsed = b''
            self._parse_error = exc
        self._count_held_bytes()
        self._work.record(time.monotonic() - started_at)

    def _count_held_bytes(self):
        """Update the share; raise OutOfMemory if it is cut."""
        self._resize_share()
        if self._share.is_cut:
            raise OutOfMemory(_OUT_OF_MEMORY)

    def _resize_share(self):
        if self._is_closed:
            return
        held_bytes = (
            self.parser.count_held_bytes()
            + len(self._unparsed)
            + self._unsent_bytes
        )
        if self._active is not None:
            held_bytes += self._active.count_held_bytes()
        self._share.resize(held_bytes)

    def _cut(self):
        """Interrupt the greenlet that serves the connection.

        That takes a while where many are to run, so what has arrived of a
        body is dropped here.  Nothing is read after that.
        """
        if self.parser.current is not None:
            self.parser.current.body = bytearray()
        if self._task is not None and self._task is not gevent.getcurrent():
            self._task.kill(OutOfMemory(_OUT_OF_MEMORY), block=False)

    @contextlib.contextmanager
    def cancel_on_disconnect(self):
        """Raise CallerDisconnected in the block if the caller disconnects.

        A response that ends with the connection is cut if the block fails.
        """
        task = gevent.getcurrent()

        def cancel():
            task.kill(CallerDisconnected('closed by the caller'), block=False)

        self._watch = disconnects.DisconnectWatch(self._sock, cancel)
        # Until the request is complete, reading it shows a disconnect.
        if not self._is_reading:
            self._watch.start()
        try:
            yield
        except BaseException:
            self._must_reset = self._ends_by_close
            raise
        finally:
            self._watch.close()
            self._watch = None

    def raise_if_gone(self):
        """Raise CallerDisconnected if the caller has closed the connection.

        A process that stood still may learn of what came for a caller before
        it learns that the caller has gone.
        """
        if disconnects.is_closed(self._sock):
            raise CallerDisconnected('closed by the caller')

    def send_response(self, status, headers, body):
        """Send a complete response."""
        self.response_started = True
        headers = [*headers, (b'Content-Length', b'%d' % len(body))]
        head = self._encode_head(status, headers)
        if len(body) <= MAX_JOINED_BYTES:
            self._send(head + body)
            return
        self._send(head)
        self._send(body)

    def start_chunked_response(self, status, headers):
        """Return the encoded head of a response of unknown length.

        Marks the response as started; the head must be sent together with the
        first chunk.  A caller that takes no chunks gets bare bytes, up to the
        end of the connection.
        """
        self.response_started = True
        if not self._active.takes_chunks:
            self._ends_by_close = True
            self.keep_alive = False
            # The kernel resets it as well if this process is killed.
            self._set_linger(_LINGER_NOT)
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
        """Send bytes of a stream that are already encoded; may wait."""
        self._send(data)
        self._work.record(RELAYED_BYTE_S * len(data))

    def _send(self, data):
        try:
            self._sender.send(data)
        except OSError as exc:
            raise CallerDisconnected(f'send: {exc}') from exc

    def _hold_unsent(self, unsent_bytes):
        """Count the bytes that wait for the caller."""
        self._unsent_bytes = unsent_bytes
        if unsent_bytes:
            self._count_held_bytes()
        else:
            self._resize_share()

    def close_if_idle(self):
        """Close the connection, unless there is a request or unread bytes.

        `next_request` then raises CallerDisconnected, and no request is
        accepted that arrives from now on.  Returns whether the connection was
        closed.
        """
        if self.is_idle() and sockets.is_open_and_empty(self._sock):
            self.close()
        return self._is_closed

    def has_unread_request(self):
        """Return whether more has arrived than was answered."""
        return bool(
            self.parser.current
            or self.has_queued_request()
            or self._parse_error
        )

    def linger(self):
        """Send nothing more, and drop what the caller still sends.

        Closing a connection with unread bytes resets it, and a caller that
        sends its request first might never see the response.
        """
        if self._must_reset:
            return
        until = self._clock.now() + LINGER_MS
        left_bytes = LINGER_BYTES
        if self.parser.current is not None:
            self.parser.current.body.clear()
        self._unparsed = b''
        self._share.resize(0)
        try:
            self._sock.shutdown(std_socket.SHUT_WR)
            while (
                left_bytes > 0 and (left_ms := until - self._clock.now()) > 0
            ):
                self._sock.settimeout(left_ms / 1000)
                received = len(self._sock.recv(RECEIVE_BYTES))
                if not received:
                    return
                left_bytes -= received
                gevent.sleep(LINGER_PAUSE_S)
        except OSError:
            # The caller has left, or sends nothing more.
            return

    def close(self):
        """Close the connection; reset it if a response was cut."""
        self._is_closed = True
        if self._ends_by_close and not self._must_reset:
            self._set_linger(_LINGER_BY_DEFAULT)
        self._share.close()
        sockets.set_unacknowledged_timeout(
            self._sock, sockets.CLOSED_TIMEOUT_MS
        )
        self._sock.close()

    def _set_linger(self, value):
        with contextlib.suppress(OSError):
            self._sock.setsockopt(
                std_socket.SOL_SOCKET, std_socket.SO_LINGER, value
            )
