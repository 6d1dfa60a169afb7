"""Paths to a store that speaks HTTP: the direct one, and relays.

A process that is cut off from the store may still reach another that isn't.
So every process relays calls for others.  A relay keeps nothing and decides
nothing: what may be written is decided by the store alone, call by call.

Example::

    found = Paths('10.200.1.7:8223', '/objects/relays', clock, journal)
    found.offer(['10.1.0.42:7340'])
    found.call('GET', '/objects/ledger/0003', b'', timeout_s=0.8).status
"""

import gevent

from galenaspoke.http import connections
from galenaspoke.http import messages
from galenaspoke.store import base

CONNECT_TIMEOUT_S = 0.25
MAX_IDLE_CONNECTIONS = 4
# A path that failed is tried again after so long; twice that the next time.
FIRST_REST_MS = 400
LONGEST_REST_MS = 2_000
# How many paths one call may try.
MOST_TRIES = 3
# How often a lost direct path is probed.
PROBE_S = 0.7
PROBE_TIMEOUT_S = 0.5
# Statuses that promise that a call did nothing.
NOT_APPLIED_STATUSES = (429, 503)
# A relay's word that a call may or may not have been done.
OUTCOME_UNKNOWN_STATUS = 504
# Under this prefix a process relays calls to the store.
RELAY_PREFIX = '/store'
# A watch is the longest call there is.
LONGEST_RELAYED_S = 31.0


class StorePath:
    """One way to the store, and its idle connections."""

    __slots__ = ('address', 'prefix', 'rest_until', '_rest', '_idle', '_busy')

    def __init__(self, address, prefix):
        self.address = address
        self.prefix = prefix
        # Until when it isn't tried.
        self.rest_until = 0
        self._rest = FIRST_REST_MS
        self._idle = []
        self._busy = set()

    def call(self, method, path, body, timeout_s):
        """Make one call; raise NotSent or Broken."""
        host, _, port = self.address.rpartition(':')
        head = messages.encode_head(
            f'{method} {self.prefix}{path} HTTP/1.1'.encode(),
            [
                (b'Host', self.address.encode()),
                (b'Content-Type', b'application/json'),
                (b'Content-Length', b'%d' % len(body)),
            ],
        )
        conn = self._take()
        if conn is None:
            conn = connections.connect(host, int(port), CONNECT_TIMEOUT_S)
        spare = False
        self._busy.add(conn)
        try:
            with gevent.Timeout(
                timeout_s, connections.ResponseLost('no answer in time')
            ):
                conn.send(head + body)
                response = conn.read_response()
            spare = (
                conn.is_reusable(response)
                and len(self._idle) < MAX_IDLE_CONNECTIONS
            )
            return response
        finally:
            self._busy.discard(conn)
            if spare:
                self._idle.append(conn)
            else:
                conn.close()

    def _take(self):
        while self._idle:
            conn = self._idle.pop()
            if conn.is_open_and_empty():
                return conn
            conn.close()
        return None

    def works(self):
        """Note that a call on it was answered."""
        self.rest_until = 0
        self._rest = FIRST_REST_MS

    def fails(self, now):
        """Let it rest, and end the calls that wait on it."""
        self.rest_until = now + self._rest
        self._rest = min(LONGEST_REST_MS, 2 * self._rest)
        for conn in self._busy:
            conn.interrupt()


class StorePaths:
    """The ways of one process to the store, the direct one first.

    While the direct one has failed it isn't used, if there are relays; a task
    asks for `probe`, a path that is cheap to read, until it works again.
    """

    __slots__ = ('_direct', '_relays', '_clock', '_journal', '_probe', '_lost')

    def __init__(self, address, probe, clock, journal):
        self._direct = StorePath(address, '')
        self._relays = {}
        self._clock = clock
        self._journal = journal
        self._probe = probe
        # Whether the direct path is lost.
        self._lost = False

    def set_relays(self, addresses):
        """Take the relays as they are now known, the best first."""
        self._relays = {
            address: self._relays.get(address)
            or StorePath(address, RELAY_PREFIX)
            for address in addresses
        }

    def call_direct(self, method, path, body, timeout_s):
        """Make a call on the direct path only; raise NotSent or Broken."""
        return self._direct.call(method, path, body, timeout_s)

    def call(self, method, path, body, timeout_s, retry=True):
        """Make a call on the first path that works; return the answer.

        Raises StoreUnavailable if it is certain that nothing was done, else
        OutcomeUnknown.  What may have been done is not sent again; a read is,
        unless `retry` is False.
        """
        response = None
        why = 'no path is known to work'
        for way in self._order()[:MOST_TRIES]:
            try:
                response = way.call(method, path, body, timeout_s)
                if response.status == OUTCOME_UNKNOWN_STATUS:
                    raise connections.ResponseLost('the relay lost the answer')
            except connections.NotSent as exc:
                self._failed(way, str(exc))
                why = str(exc)
                continue
            except (connections.ResponseLost, connections.ReadTimeout) as exc:
                self._failed(way, str(exc))
                why = str(exc)
                if method == 'GET' and retry:
                    continue
                raise base.OutcomeUnknown(f'store: {exc}') from exc
            if response.status not in NOT_APPLIED_STATUSES:
                way.works()
                return response
            self._failed(way, f'status {response.status}')
        if response is not None and response.status in NOT_APPLIED_STATUSES:
            return response
        raise base.StoreUnavailable(f'store: {why}')

    def _order(self):
        """Return the paths to try; if all rest, the one due first."""
        now = self._clock.now()
        relays = list(self._relays.values())
        known = relays if self._lost and relays else [self._direct, *relays]
        awake = [way for way in known if way.rest_until <= now]
        return awake or [min(known, key=lambda way: way.rest_until)]

    def _failed(self, way, why):
        way.fails(self._clock.now())
        if way is self._direct and not self._lost:
            self._lost = True
            self._journal.note('store.path_lost', path=way.address, why=why)
            gevent.spawn(self._regain, self._clock.now())

    def _regain(self, lost_at):
        """Probe the direct path until it works."""
        while True:
            gevent.sleep(PROBE_S)
            try:
                response = self._direct.call(
                    'GET', self._probe, b'', PROBE_TIMEOUT_S
                )
            except (
                connections.NotSent,
                connections.ResponseLost,
                connections.ReadTimeout,
            ):
                continue
            if response.status not in NOT_APPLIED_STATUSES:
                break
        self._direct.works()
        self._lost = False
        after_ms = self._clock.now() - lost_at
        self._journal.note('store.path_regained', after_ms=after_ms)


def make_relay_app(paths):
    """Return the WSGI application that makes calls for others.

    A call of which it is certain that nothing was done is answered 503, one
    of which nothing is known 504.
    """

    def serve(environ, start_response):
        path = environ['PATH_INFO'][len(RELAY_PREFIX) :]
        query = environ['QUERY_STRING']
        if query:
            path = f'{path}?{query}'
        body = environ['wsgi.input'].read()
        try:
            response = paths.call_direct(
                environ['REQUEST_METHOD'], path, body, LONGEST_RELAYED_S
            )
            status, found = response.status, bytes(response.body)
        except connections.NotSent:
            status, found = 503, b''
        except (connections.ResponseLost, connections.ReadTimeout):
            status, found = OUTCOME_UNKNOWN_STATUS, b''
        headers = [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(found))),
        ]
        start_response(f'{status} -', headers)
        return [found]

    return serve
