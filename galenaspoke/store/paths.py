"""Network paths to a store over HTTP: the direct one, and relays.

A process that is cut off from the store may still reach another process that
is not, so every process relays calls for others.  A relay keeps no state and
decides nothing; the store alone accepts or refuses each write.

Example::

    paths = StorePaths('10.200.1.7:8223', '/objects/relays', clock, journal)
    paths.set_relays(['10.1.0.42:7340'])
    paths.call('GET', '/objects/ledger/0003', b'', timeout_s=0.8).status
"""

import gevent

from galenaspoke.http import connections
from galenaspoke.http import messages
from galenaspoke.store import base

CONNECT_TIMEOUT_S = 0.25
MAX_IDLE_CONNECTIONS = 4
# A call with a longer timeout, such as a watch, is interrupted when its path
# fails.  Others end soon by themselves, and their response may be on its way.
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
# URL prefix under which a process relays calls to the store.
RELAY_PREFIX = '/store'
# Must exceed the longest call that is relayed, a watch of
# `edge.watchers.WATCH_WAIT_MS`.
RELAYED_CALL_TIMEOUT_S = 31.0
STOP_POLL_INTERVAL_S = 0.02


class StorePath:
    """One network path to the store, with a pool of idle connections."""

    __slots__ = (
        'address',
        'prefix',
        'backoff_until',
        '_backoff_ms',
        '_idle_connections',
        '_waiting_connections',
    )

    def __init__(self, address, prefix):
        self.address = address
        self.prefix = prefix
        # Time on the process's clock until which the path is not tried.
        self.backoff_until = 0
        self._backoff_ms = MIN_BACKOFF_MS
        self._idle_connections = []
        # Those of calls that may take long.
        self._waiting_connections = set()

    def call(self, method, url_path, body, timeout_s):
        """Make one call; return the response.

        Raises NotSent or ResponseLost.
        """
        host, _, port = self.address.rpartition(':')
        head = messages.encode_head(
            f'{method} {self.prefix}{url_path} HTTP/1.1'.encode(),
            [
                (b'Host', self.address.encode()),
                (b'Content-Type', b'application/json'),
                (b'Content-Length', b'%d' % len(body)),
            ],
        )
        conn = self._take_idle_connection()
        if conn is None:
            conn = connections.connect(
                host, int(port), CONNECT_TIMEOUT_S, MAX_RESPONSE_BYTES
            )
        reusable = False
        if timeout_s > MIN_INTERRUPTED_TIMEOUT_S:
            self._waiting_connections.add(conn)
        try:
            with gevent.Timeout(
                timeout_s, connections.ResponseLost('no response in time')
            ):
                conn.set_read_timeout(timeout_s)
                conn.send(head + body)
                response = conn.read_response()
            # Nothing ties a response to its call, so a copy of a refusal would
            # pass for the refusal of the next call.
            reusable = (
                response.status < MIN_ERROR_STATUS
                and conn.is_reusable(response)
                and len(self._idle_connections) < MAX_IDLE_CONNECTIONS
            )
            return response
        finally:
            self._waiting_connections.discard(conn)
            if reusable:
                self._idle_connections.append(conn)
            else:
                conn.close()

    def _take_idle_connection(self):
        while self._idle_connections:
            conn = self._idle_connections.pop()
            if conn.is_open_and_empty():
                return conn
            conn.close()
        return None

    def record_success(self):
        """End the backoff, after a call on this path got a response."""
        self.backoff_until = 0
        self._backoff_ms = MIN_BACKOFF_MS

    def record_failure(self, now):
        """Back off, and interrupt the long calls in progress on this path."""
        self.backoff_until = now + self._backoff_ms
        self._backoff_ms = min(MAX_BACKOFF_MS, 2 * self._backoff_ms)
        for conn in self._waiting_connections:
            conn.interrupt('the path was given up')


class StorePaths:
    """The network paths of one process to the store, the direct one first.

    After the direct path has failed, only relays are used if there are any.  A
    background task reads `probe_url_path`, which is cheap to serve, over the
    direct path until the direct path works again.
    """

    __slots__ = (
        '_direct',
        '_relays',
        '_clock',
        '_journal',
        '_probe_url_path',
        '_is_direct_down',
    )

    def __init__(self, address, probe_url_path, clock, journal):
        self._direct = StorePath(address, '')
        self._relays = {}
        self._clock = clock
        self._journal = journal
        self._probe_url_path = probe_url_path
        self._is_direct_down = False

    def set_relays(self, addresses):
        """Replace the relays by those at `addresses`, the preferred first."""
        self._relays = {
            address: self._relays.get(address)
            or StorePath(address, RELAY_PREFIX)
            for address in addresses
        }

    def call_direct(self, method, url_path, body, timeout_s):
        """Make a call on the direct path only.

        Raises NotSent or ResponseLost.
        """
        return self._direct.call(method, url_path, body, timeout_s)

    def call(self, method, url_path, body, timeout_s, retry=True):
        """Make a call on the first path that works; return the response.

        If a response is lost, a read is sent again on the next path (unless
        `retry` is False) and a write is not.

        Raises OutcomeUnknown if the response to a call that is not sent again
        was lost, and StoreUnavailable if no path gave a usable response; the
        call then certainly changed nothing.  If the store or a relay refused
        the call, its response is returned (see NOT_APPLIED_STATUSES).
        """
        response = None
        why = 'no path is known to work'
        for path in self._list_candidates()[:MAX_ATTEMPTS]:
            try:
                response = path.call(method, url_path, body, timeout_s)
                if response.status == OUTCOME_UNKNOWN_STATUS:
                    raise connections.ResponseLost(
                        'response lost by the relay'
                    )
            except connections.NotSent as exc:
                self._handle_failure(path, str(exc))
                why = str(exc)
                continue
            except (connections.ResponseLost, connections.ReadTimeout) as exc:
                self._handle_failure(path, str(exc))
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

    def _list_candidates(self):
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
        return ready or [
            min(usable_paths, key=lambda path: path.backoff_until)
        ]

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
            except (
                connections.NotSent,
                connections.ResponseLost,
                connections.ReadTimeout,
            ):
                continue
            if response.status not in NOT_APPLIED_STATUSES:
                break
        self._direct.record_success()
        self._is_direct_down = False
        after_ms = self._clock.now() - lost_at
        self._journal.note('store.path_regained', after_ms=after_ms)


class RelayedCalls:
    """The calls that a process relays for others."""

    __slots__ = ('_write_count',)

    def __init__(self):
        # How many writes are under way.
        self._write_count = 0

    def run(self, call, method, url_path, body):
        """Return what `call` returns for the other arguments."""
        if method == 'GET':
            return call(method, url_path, body)
        self._write_count += 1
        try:
            return call(method, url_path, body)
        finally:
            self._write_count -= 1

    def wait_for_writes(self, timeout_s):
        """Wait until no write is under way, before the process ends.

        Reads are not waited for, as those who sent them repeat them.  Calls
        that come meanwhile are not refused: a router would take the path for
        failed, and give up its own writes on it.
        """
        with gevent.Timeout(timeout_s, False):
            while self._write_count:
                gevent.sleep(STOP_POLL_INTERVAL_S)


def make_relay_app(paths, relayed_headers, calls=None):
    """Return a WSGI application that relays calls to the store.

    It answers 503 to a call that certainly had no effect, and 504 to one that
    may have taken effect.  Of the store's response headers it passes on those
    named in `relayed_headers`, in lower case.  `calls` are the RelayedCalls
    of the process.
    """
    calls = calls or RelayedCalls()

    def call_store(method, url_path, body):
        return paths.call_direct(
            method, url_path, body, RELAYED_CALL_TIMEOUT_S
        )

    def call(method, url_path, body):
        return calls.run(call_store, method, url_path, body)

    return make_call_app(RELAY_PREFIX, call, relayed_headers)


def make_call_app(prefix, call, relayed_headers):
    """Return a WSGI application that makes a call for each request.

    `call` takes the method, the URL path without `prefix` and the body, and
    returns the store's response or raises NotSent, ResponseLost or
    ReadTimeout.
    """

    def application(environ, start_response):
        url_path = environ['PATH_INFO'][len(prefix) :]
        query = environ['QUERY_STRING']
        if query:
            url_path = f'{url_path}?{query}'
        body = environ['wsgi.input'].read()
        try:
            response = call(environ['REQUEST_METHOD'], url_path, body)
            status, content = response.status, bytes(response.body)
            headers = [
                (name.decode('latin-1'), value.decode('latin-1'))
                for name, value in response.headers
                if name in relayed_headers
            ]
        except connections.NotSent:
            status, content, headers = 503, b'', []
        except (connections.ResponseLost, connections.ReadTimeout):
            status, content, headers = OUTCOME_UNKNOWN_STATUS, b'', []
        headers += [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(content))),
        ]
        start_response(f'{status} -', headers)
        return [content]

    return application
