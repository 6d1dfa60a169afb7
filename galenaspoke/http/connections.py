"""Client connections for HTTP/1.1, one request at a time.

Example::

    conn = connections.connect('10.0.0.9', 8080, timeout_s=0.5)
    conn.send(b'GET / HTTP/1.1\\r\\nHost: a\\r\\n\\r\\n')
    response = conn.read_response()
"""

import contextlib
import socket as std_socket
import time

from gevent import socket

from galenaspoke.http import buffers
from galenaspoke.http import messages
from galenaspoke.http import pacing
from galenaspoke.http import response_parsing
from galenaspoke.http import sending
from galenaspoke.http import sockets
from galenaspoke.http import tcp_info

# How much is read at once: of a whole body, and of anything else.  What is
# small takes far more time than its bytes.
BODY_RECEIVE_BYTES = 65_536
RECEIVE_BYTES = 8_192
# How many responses to other requests may come before the expected one.
MAX_OTHER_RESPONSES = 8
# A connection carries at most this many requests whose ids it remembers.
MAX_REQUESTS = 256


class NotSent(Exception):
    """No connection could be made, so nothing has reached the peer."""


class Refused(NotSent):
    """Nothing listens at the peer's address."""


class ResponseLost(Exception):
    """The request may have been sent, but no valid response was received."""


class PeerClosed(ResponseLost):
    """The peer closed or reset the connection before the response ended."""


class Flooded(ResponseLost):
    """The peer sent more of something than any sound one does."""


class HeldTooMuch(ResponseLost):
    """This process held too much for its peers, and most for this one."""


class ReadTimeout(Exception):
    """The peer sent nothing within the read timeout."""


class Connection:
    """A connection to a peer.

    At most `max_body_bytes` of a response's body are held at a time.  All
    that is held has a share of the process's account, under the name `owner`
    of the peer; once the share is cut, the connection fails at once.  `pacer`
    is the Pacer of all connections to the peer, None if they aren't paced.
    """

    __slots__ = (
        'parser',
        'idle_since',
        'idle_timeout_ms',
        'request_count',
        'request_ids',
        'is_identified',
        'heard_at',
        'received_bytes',
        'receive_bytes',
        '_sock',
        '_read_until',
        '_has_read_late',
        '_timer',
        '_sender',
        '_parse_error',
        '_interrupted_why',
        '_share',
        '_response',
        '_user_bytes',
    )

    def __init__(
        self,
        sock,
        max_body_bytes=messages.MAX_BODY_BYTES,
        owner='',
        pacer=None,
    ):
        self.parser = response_parsing.ResponseParser(max_body_bytes)
        self._share = buffers.process_account.open(owner, self._cut)
        # The response that `read_head` returned last, None once it was
        # released.
        self._response = None
        # What the user of the connection holds of a response, see `hold`.
        self._user_bytes = 0
        # How many requests were sent here.
        self.request_count = 0
        # The ids of the requests that were sent here, see `can_carry`; its
        # users add them.
        self.request_ids = set()
        # Whether the peer has said here that it is the expected process.
        self.is_identified = False
        # When the peer was last heard, on the monotonic clock in s; the
        # connection itself was made by it.
        self.heard_at = time.monotonic()
        # How many bytes have come in all.
        self.received_bytes = 0
        # How much is read at once.
        self.receive_bytes = RECEIVE_BYTES
        self.idle_since = 0
        # How long the peer keeps the connection open while it is idle.
        self.idle_timeout_ms = 0
        self._sock = sock
        # When reads time out, on the monotonic clock in s; None for never.
        self._read_until = None
        # Whether something was read after that.
        self._has_read_late = False
        self._timer = pacing.ReadTimer(pacer)
        self._sender = sending.Sender(sock)
        # Why what came last isn't valid.  What came before it still counts.
        self._parse_error = None
        # Why `interrupt` was called, empty if it wasn't.
        self._interrupted_why = ''

    @property
    def was_used(self):
        """Whether a request was sent here before the latest one."""
        return self.request_count > 1

    def can_carry(self, request_id):
        """Return whether the id will tie a response to a new request.

        The peer may write an earlier response once more, so no request here
        may have had that id.  A request without one must be the first.
        """
        is_new = request_id and request_id not in self.request_ids
        return bool(is_new or not self.request_ids)

    def set_read_timeout(self, timeout_s):
        """Make reads raise ReadTimeout once `timeout_s` from now has passed.

        Bytes that arrive meanwhile don't extend the time.  Once it has
        passed, one more read returns what has arrived, as this process may
        have stood still; a time that isn't positive gives no further one.
        """
        self._read_until = time.monotonic() + timeout_s
        if timeout_s > 0:
            self._has_read_late = False

    def send(self, data, body=b''):
        """Send a request without waiting for a peer that reads slowly.

        What the socket buffer doesn't take is sent in the background, so that
        an early response can be read meanwhile.  `body` follows `data`; it
        isn't copied, so it may not change until all of it is sent.
        """
        self.request_count += 1
        self.receive_bytes = RECEIVE_BYTES
        try:
            self._sender.send(data, body)
        except OSError as exc:
            raise _make_loss('send', exc) from exc

    def is_fully_sent(self):
        """Return whether the whole request has been sent."""
        return self._sender.is_done()

    def receive(self):
        """Read and parse more; return False if the peer closed cleanly.

        If what was read isn't valid from some point on, the next call fails.
        """
        if self._parse_error is not None:
            raise self._parse_error
        self._timer.give_way()
        try:
            data = self._receive_in_time()
        except BlockingIOError:
            raise ReadTimeout('the peer did not respond in time') from None
        except ConnectionError as exc:
            raise PeerClosed(f'receive: {exc}') from exc
        except OSError as exc:
            self._raise_if_interrupted()
            raise ResponseLost(f'receive: {exc}') from exc
        self._raise_if_interrupted()
        if not data and self._sender.error is not None:
            raise _make_loss('send', self._sender.error)
        if not data:
            return False
        self.heard_at = time.monotonic()
        self.received_bytes += len(data)
        self._timer.begin(len(data), self.heard_at)
        try:
            self.parser.feed(data)
        except messages.BadResponse as exc:
            is_flood = isinstance(exc, messages.Flood)
            self._parse_error = (Flooded if is_flood else ResponseLost)(
                f'invalid HTTP response: {exc}'
            )
        self._timer.record_parsed()
        self._update_share()
        self._raise_if_interrupted()
        return True

    def _raise_if_interrupted(self):
        if self._share.is_cut:
            raise HeldTooMuch('the process holds too much for its peers')
        if self._interrupted_why:
            raise ResponseLost(self._interrupted_why)

    def hold(self, held_bytes):
        """State how much was taken of a response and is in memory still.

        That lasts until `release`, or until the connection is closed.
        """
        self._user_bytes = held_bytes
        self._update_share()

    def release(self):
        """End the latest response: its user doesn't hold it any more."""
        self._response = None
        self._user_bytes = 0
        self._update_share()

    def _update_share(self):
        held = self._user_bytes + self.parser.held_bytes()
        if self._response is not None:
            held += self._response.held_bytes()
        self._share.resize(held)

    def _cut(self):
        """Drop what is held, and fail: the process holds too much."""
        self.interrupt('held too much')
        for response in (self._response, *self.parser.responses):
            if response is not None:
                response.drop()

    def _receive_in_time(self):
        """Return what the peer sent; raise BlockingIOError if it is silent."""
        if self._read_until is not None:
            left_s = self._read_until - time.monotonic()
            if left_s <= 0:
                return self._receive_late()
            self._sock.settimeout(left_s)
        try:
            return self._sock.recv(self.receive_bytes)
        except TimeoutError as exc:
            # gevent's own read timeout has no errno; ETIMEDOUT, which
            # keepalive or TCP_USER_TIMEOUT cause, has one.
            if exc.errno is not None:
                raise
            return self._receive_late()

    def _receive_late(self):
        """Return what waits in the socket after the read timeout.

        A process that stood still learns of the time before it learns of what
        has arrived.  Only the first such read, and the end of the stream,
        count, so that a peer can't extend the time byte by byte.
        """
        if self._has_read_late and sockets.peek(self._sock):
            raise BlockingIOError
        self._has_read_late = True
        return self._sock._sock.recv(self.receive_bytes)

    def read_head(self, is_expected=None):
        """Return the next response once its head has been read.

        Responses for which `is_expected` returns False belong to other
        requests: they are read to their end and dropped, but not many.
        """
        responses = self.parser.responses
        dropped = 0
        while True:
            while responses and responses[0].is_head_complete:
                if is_expected is None or is_expected(responses[0]):
                    self._response = responses.popleft()
                    return self._response
                if not responses[0].is_complete:
                    break
                responses.popleft()
                dropped += 1
            if dropped > MAX_OTHER_RESPONSES:
                raise Flooded('too many responses to other requests')
            if not self.receive():
                raise PeerClosed('connection closed before the response')

    def read_body(
        self, response, pause_timeout_s=None, may_end_by_close=False
    ):
        """Read a response to its end; return its body.

        `pause_timeout_s` limits each pause between bytes, in place of the read
        timeout.  With `may_end_by_close` the body of a response without a
        length is returned once the connection was closed.  It may have been
        cut off, and the response doesn't become complete.
        """
        self.receive_bytes = BODY_RECEIVE_BYTES
        while not response.is_complete:
            if pause_timeout_s is not None:
                self.set_read_timeout(pause_timeout_s)
            if self.receive():
                continue
            if may_end_by_close and not response.is_framed:
                break
            raise PeerClosed('connection closed in the middle of the response')
        return response.take_body()

    def read_response(self):
        """Return the next response, read to its end."""
        response = self.read_head()
        response.body = self.read_body(response)
        self.release()
        return response

    def is_reusable(self, response):
        """Return whether the connection can carry another request."""
        is_clean = not self.parser.responses and self._parse_error is None
        is_between = response.is_complete and self.is_fully_sent()
        has_room = len(self.request_ids) < MAX_REQUESTS
        return is_clean and is_between and has_room and response.keep_alive

    def is_open_and_empty(self):
        """Return whether an idle connection is open with nothing to read."""
        return sockets.is_open_and_empty(self._sock)

    def is_closed_by_peer(self):
        """Return whether the kernel has heard that the peer has closed it.

        That holds also if bytes that came before have not been read.
        """
        info = tcp_info.read(self._sock)
        is_closed = info is not None and info.is_closed_by_peer
        return is_closed or sockets.is_closed_by_peer(self._sock)

    def interrupt(self, why):
        """Make a greenlet that waits for the peer fail at once.

        It gets a ResponseLost with the text `why`.
        """
        self._interrupted_why = why
        with contextlib.suppress(OSError):
            self._sock.shutdown(std_socket.SHUT_RDWR)

    def close(self):
        """Close the connection, even in the middle of a request.

        What is held is dropped now: whoever handles an error may refer to it.
        A response that is whole, or was released, is its user's.
        """
        self._sender.close()
        if self._response is not None and not self._response.is_complete:
            self._response.drop()
        self._response = None
        self.parser.close()
        # Its traceback refers to this connection.
        self._parse_error = None
        self._share.close()
        self._sock.close()


def connect(
    host,
    port,
    timeout_s,
    max_body_bytes=messages.MAX_BODY_BYTES,
    pacer=None,
):
    """Return a new Connection; raise NotSent if that fails."""
    try:
        sock = socket.create_connection((host, port), timeout_s)
    except ConnectionRefusedError as exc:
        raise Refused(f'connect: {exc}') from exc
    except OSError as exc:
        raise NotSent(f'connect: {exc}') from exc
    sock.settimeout(None)
    sockets.configure_peer(sock)
    return Connection(sock, max_body_bytes, f'{host}:{port}', pacer)


def _make_loss(operation, error):
    """Return the ResponseLost for a socket's error."""
    is_closed = isinstance(error, ConnectionError)
    return (PeerClosed if is_closed else ResponseLost)(f'{operation}: {error}')
