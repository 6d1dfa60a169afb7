"""Network paths to a store over HTTP: the direct one, and relays.

A process that is cut off from the store may still reach another process that
is not, so every process relays calls for others.  A relay keeps no state and
decides nothing; the store alone accepts or refuses each write.

A call's time-out bounds the wait for its response.  Once that has begun, the
call goes on as long as the response moves, however large it is, and no other
call's failure ends it: on a thin link a large object takes seconds.

Example::

    paths = StorePaths('10.200.1.7:8223', '/objects/relays', clock, journal)
    paths.set_relays(['10.1.0.42:7340'])
    paths.call('GET', '/objects/ledger/0003', b'', timeout_s=0.8).status
"""

import math
import time
import zlib

import gevent

from galenaspoke.http import connections
from galenaspoke.http import messages
from galenaspoke.store import base
from galenaspoke.store import liveness

CONNECT_TIMEOUT_S = 0.25
# The same while a response moves on this process's link.
BUSY_CONNECT_TIMEOUT_S = 0.8
# A response that has begun is given up after a pause of this length, or once
# it is slower than this on average.
PAUSE_TIMEOUT_S = 0.8
MIN_BYTES_PER_S = 16_000
# A read that ends this long after its time shows that the process stood still.
MIN_STALL_S = 0.1
MAX_IDLE_CONNECTIONS = 4
# A call with a longer timeout, such as a watch, is interrupted when its path
# fails before its response has begun.  Others end soon by themselves, and
# their response may be on its way.
MIN_INTERRUPTED_TIMEOUT_S = 1.0
# Backoff of a failed path; it doubles with each further failure.
MIN_BACKOFF_MS = 400
MAX_BACKOFF_MS = 2_000
# Paths that one call tries at most.
MAX_ATTEMPTS = 3
# The longest response: a page of a list, of about a megabyte.
MAX_RESPONSE_BYTES = 8_388_608
# Interval between probes of a direct path that has failed.
PROBE_INTERVAL_S = 0.7
PROBE_TIMEOUT_S = 0.5
# Statuses which guarantee that a call had no effect.
NOT_APPLIED_STATUSES = (429, 503)
# From this status up a response says that the call failed.
MIN_ERROR_STATUS = 400
# A relay's status for a call that may or may not have taken effect.
OUTCOME_UNKNOWN_STATUS = 504
# The encoding of compressed responses between processes of the system, and
# what zlib adds to its window bits for it.
COMPRESSED_ENCODING = 'gzip'
GZIP_FORMAT = 16
# URL prefix under which a process relays calls to the store.
RELAY_PREFIX = '/store'


class LostByRelay(connections.PeerClosed):
    """A relay says that it lost the store's response."""


class StorePath:
    """One network path to the store, with a pool of idle connections.

    `live` is the process's Liveness.  A path with a prefix leads to another
    process of the system, which may compress responses.
    """

    __slots__ = (
        'address',
        'prefix',
        'backoff_until',
        '_live',
        '_backoff_ms',
        '_heard_at',
        '_idle_connections',
        '_waiting_connections',
        '_transfers',
    )

    def __init__(self, address, prefix, live=None):
        self.address = address
        # Empty if the path leads to the store itself.
        self.prefix = prefix
        # Time on the process's clock until which the path is not tried.
        self.backoff_until = 0
        self._live = live or liveness.Liveness()
        self._backoff_ms = MIN_BACKOFF_MS
        # When a call last ended that had got bytes, see Connection.heard_at.
        self._heard_at = -math.inf
        self._idle_connections = []
        # Those of calls that may take long, until their response begins.
        self._waiting_connections = set()
        # Those whose response has begun.
        self._transfers = set()

    def call(self, method, url_path, body, timeout_s, on_receive=None):
        """Make one call; return the response.

        `timeout_s` bounds the wait for the head of the response.  With it, and
        whenever more of the body has been added, `on_receive` is called; the
        body may still be compressed then.  Raises NotSent or ResponseLost.
        """
        is_long = timeout_s > MIN_INTERRUPTED_TIMEOUT_S
        conn = self._take_idle_connection(is_long) or self._connect()
        received_before = conn.received_bytes
        reusable = False
        try:
            conn.set_read_timeout(timeout_s)
            conn.send(self._encode_head(method, url_path, body) + body)
            response = self._read_response(conn, is_long, on_receive)
            # Nothing ties a response to its call, so a copy of a refusal would
            # pass for the refusal of the next call.
            reusable = (
                response.status < MIN_ERROR_STATUS
                and conn.is_reusable(response)
                and len(self._idle_connections) < MAX_IDLE_CONNECTIONS
            )
            return response
        except connections.ReadTimeout as exc:
            self._live.record_silence()
            received = conn.received_bytes - received_before
            raise connections.ResponseLost(
                f'no response in time, after {received} bytes'
            ) from exc
        except connections.ResponseLost as exc:
            if _is_silence(exc):
                self._live.record_silence()
            raise
        finally:
            if conn.received_bytes > received_before:
                self._heard_at = max(self._heard_at, conn.heard_at)
            if reusable:
                conn.release()
                self._idle_connections.append(conn)
            else:
                conn.close()

    def _encode_head(self, method, url_path, body):
        fields = [
            (b'Host', self.address.encode()),
            (b'Content-Type', b'application/json'),
            (b'Content-Length', b'%d' % len(body)),
        ]
        if self.prefix:
            fields.append((b'Accept-Encoding', COMPRESSED_ENCODING.encode()))
        return messages.encode_head(
            f'{method} {self.prefix}{url_path} HTTP/1.1'.encode(), fields
        )

    def _connect(self):
        host, _, port = self.address.rpartition(':')
        is_busy = self._live.is_busy()
        return connections.connect(
            host,
            int(port),
            BUSY_CONNECT_TIMEOUT_S if is_busy else CONNECT_TIMEOUT_S,
            MAX_RESPONSE_BYTES,
        )

    def _take_idle_connection(self, is_long):
        """Return a kept connection, None if there is none that may be used.

        A connection that rested may have gone silent.  A call that may take
        long would wait there in vain for that long.
        """
        rested = []
        found = None
        while self._idle_connections and found is None:
            conn = self._idle_connections.pop()
            if not (self._live.is_sound(conn) and conn.is_open_and_empty()):
                conn.close()
            elif is_long and not liveness.was_just_heard(conn.heard_at):
                rested.append(conn)
            else:
                found = conn
        self._idle_connections += rested
        return found

    def _read_response(self, conn, is_long, on_receive):
        if is_long:
            self._waiting_connections.add(conn)
        try:
            response = conn.read_head()
        finally:
            self._waiting_connections.discard(conn)
        self._transfers.add(conn)
        try:
            with self._live.transfer(conn):
                _read_body(conn, response, on_receive or _ignore)
        finally:
            self._transfers.discard(conn)
        return response

    def is_moving(self):
        """Return whether the path has just carried a part of a response."""
        heard = [self._heard_at, *(conn.heard_at for conn in self._transfers)]
        return liveness.was_just_heard(max(heard))

    def record_success(self):
        """End the backoff, after a call on this path got a response."""
        self.backoff_until = 0
        self._backoff_ms = MIN_BACKOFF_MS

    def record_failure(self, now):
        """Back off, and interrupt the long calls in progress on this path.

        A response that has begun is left to end by itself.
        """
        self.backoff_until = now + self._backoff_ms
        self._backoff_ms = min(MAX_BACKOFF_MS, 2 * self._backoff_ms)
        for conn in self._waiting_connections:
            conn.interrupt('the path was given up')


class _Inflator:
    """Undoes the compression of a response's body as it comes in."""

    __slots__ = ('_response', '_inflator', '_fed_bytes', 'body')

    def __init__(self, response):
        self._response = response
        self._inflator = zlib.decompressobj(zlib.MAX_WBITS | GZIP_FORMAT)
        self._fed_bytes = 0
        # What has been decompressed.
        self.body = bytearray()

    def update(self):
        """Decompress what was added to the response's body.

        Raises ResponseLost if it is damaged or too long.
        """
        data = self._response.body[self._fed_bytes :]
        self._fed_bytes += len(data)
        room = MAX_RESPONSE_BYTES + 1 - len(self.body)
        try:
            self.body += self._inflator.decompress(data, room)
        except zlib.error as exc:
            raise connections.ResponseLost(
                f'compressed response: {exc}'
            ) from exc
        if len(self.body) > MAX_RESPONSE_BYTES:
            raise connections.ResponseLost('compressed response: too long')

    def finish(self):
        """Replace the response's body; raise ResponseLost if it was cut."""
        if not self._inflator.eof:
            raise connections.ResponseLost('compressed response: cut')
        self._response.body = self.body


def _read_body(conn, response, on_receive):
    """Read a response to its end, as long as it moves; decompress it.

    What a compressed piece stands for counts, since its sender may wait for
    that.  The time for which this process stood still is not counted.
    """
    inflator = None
    if response.header(b'content-encoding') == COMPRESSED_ENCODING:
        inflator = _Inflator(response)
    spent_s = 0
    while True:
        if inflator is not None:
            inflator.update()
            conn.hold(len(inflator.body))
        on_receive(response)
        if response.is_complete:
            break
        body = response.body if inflator is None else inflator.body
        allowed_s = len(body) / MIN_BYTES_PER_S
        timeout_s = min(PAUSE_TIMEOUT_S, PAUSE_TIMEOUT_S + allowed_s - spent_s)
        started_at = time.monotonic()
        conn.set_read_timeout(timeout_s)
        if not conn.receive():
            raise connections.PeerClosed(
                'connection closed in the middle of the response'
            )
        took_s = time.monotonic() - started_at
        has_stalled = took_s - timeout_s >= MIN_STALL_S
        spent_s += max(0, timeout_s) if has_stalled else took_s
    if inflator is not None:
        inflator.finish()


def _ignore(_):
    pass


def _is_silence(exc):
    """Return whether a call failed only because nothing came in time."""
    other = (
        connections.Refused,
        connections.PeerClosed,
        connections.HeldTooMuch,
    )
    return not isinstance(exc, other)


def _call_path(path, method, url_path, body, timeout_s):
    """Make a call on one path; raise LostByRelay if the relay says so."""
    response = path.call(method, url_path, body, timeout_s)
    if response.status == OUTCOME_UNKNOWN_STATUS:
        raise LostByRelay('response lost by the relay')
    return response


class StorePaths:
    """The network paths of one process to the store, the direct one first.

    After the direct path has failed, only relays are used if there are any.  A
    background task reads `probe_url_path`, which is cheap to serve, over the
    direct path until the direct path works again.  A path that carries a
    response meanwhile hasn't failed: it is busy.
    """

    __slots__ = (
        'live',
        '_direct',
        '_relays',
        '_clock',
        '_journal',
        '_probe_url_path',
        '_is_direct_down',
    )

    def __init__(self, address, probe_url_path, clock, journal):
        self.live = liveness.Liveness(journal)
        self._direct = StorePath(address, '', self.live)
        self._relays = {}
        self._clock = clock
        self._journal = journal
        self._probe_url_path = probe_url_path
        self._is_direct_down = False

    def set_relays(self, addresses):
        """Replace the relays by those at `addresses`, the preferred first."""
        self._relays = {
            address: self._relays.get(address)
            or StorePath(address, RELAY_PREFIX, self.live)
            for address in addresses
        }

    def call_direct(self, *args):
        """Make a call on the direct path only, see `StorePath.call`."""
        return self._direct.call(*args)

    def call(
        self, method, url_path, body, timeout_s, retry=True, is_large=False
    ):
        """Make a call on the first path that works; return the response.

        If a response is lost, a read is sent again on the next path (unless
        `retry` is False) and a write is not.  A relay is tried first if
        `is_large` says that the response will be, since it compresses it.

        Raises OutcomeUnknown if the response to a call that is not sent again
        was lost, and StoreUnavailable if no path gave a usable response; the
        call then certainly changed nothing.  If the store or a relay refused
        the call, its response is returned (see NOT_APPLIED_STATUSES).
        """
        response = None
        why = 'no path is known to work'
        for path in self._list_candidates(is_large)[:MAX_ATTEMPTS]:
            try:
                response = _call_path(path, method, url_path, body, timeout_s)
            except connections.NotSent as exc:
                self._handle_loss(path, exc)
                why = str(exc)
                continue
            except connections.ResponseLost as exc:
                self._handle_loss(path, exc)
                why = str(exc)
                if method == 'GET' and retry:
                    continue
                raise base.OutcomeUnknown(f'store: {exc}') from exc
            if response.status not in NOT_APPLIED_STATUSES:
                path.record_success()
                return response
            self._handle_failure(path, f'status {response.status}')
        if response is not None and response.status in NOT_APPLIED_STATUSES:
            return response
        raise base.StoreUnavailable(f'store: {why}')

    def _list_candidates(self, is_large=False):
        """Return the paths to try.

        If all are backing off, that is only the one whose backoff ends first.
        """
        now = self._clock.now()
        relays = list(self._relays.values())
        usable_paths = (
            relays
            if self._is_direct_down and relays
            else [self._direct, *relays]
        )
        ready = [path for path in usable_paths if path.backoff_until <= now]
        if is_large and len(ready) > 1 and ready[0] is self._direct:
            ready[:2] = [ready[1], ready[0]]
        return ready or [
            min(usable_paths, key=lambda path: path.backoff_until)
        ]

    def _handle_loss(self, path, exc):
        """Handle a call that got no response."""
        if path.is_moving() and _is_silence(exc):
            self._journal.note(
                'store.path_busy', path=path.address, why=str(exc)
            )
        else:
            self._handle_failure(path, str(exc))

    def _handle_failure(self, path, why):
        path.record_failure(self._clock.now())
        if path is self._direct and not self._is_direct_down:
            self._is_direct_down = True
            self._journal.note('store.path_lost', path=path.address, why=why)
            gevent.spawn(self._probe_until_up, self._clock.now())

    def _probe_until_up(self, lost_at):
        """Probe the direct path until it works again."""
        while True:
            gevent.sleep(PROBE_INTERVAL_S)
            try:
                response = self._direct.call(
                    'GET', self._probe_url_path, b'', PROBE_TIMEOUT_S
                )
            except (connections.NotSent, connections.ResponseLost):
                continue
            if response.status not in NOT_APPLIED_STATUSES:
                break
        self._direct.record_success()
        self._is_direct_down = False
        after_ms = self._clock.now() - lost_at
        self._journal.note('store.path_regained', after_ms=after_ms)
