"""Feeds: one process watches the store for many routers.

A waiting watch costs the store a call for each router.  A *feeder*, which is a
relay that serves no callers, therefore shares watches: routers that are at the
same revision of a kind wait for the same call.  It stores and decides nothing:
a response is passed on as it came, to those that waited for it.

A feeder may be paused or cut off without anybody noticing.  So a feed answers
within `FEED_WAIT_MS` in any case, and a router that gets no answer in time
asks the store itself.  A response without news that was delayed in the feeder
is dropped, since it would pass for current.  News are never too late, and a
large object takes its time on a thin link.

Example::

    feeds = Feeds('front-a-1', clock, lambda: 27)
    feeds.set_feeders(['10.1.0.42:7340', '10.1.0.43:7340'])
    feeds.call('/objects/targets?since=17')   # None: ask the store itself
"""

import time
import zlib

import gevent
from gevent import event

from galenaspoke.http import connections
from galenaspoke.store import paths
from galenaspoke.store import relaying
from galenaspoke.utils import rendezvous

# URL prefix under which a process shares watches.
FEED_PREFIX = '/feed'
# How long a shared watch waits for a change.
FEED_WAIT_MS = 1_000
# A watch has failed if it takes this much longer.
FEED_SLACK_MS = 300
# A feeder that failed is not asked again within this time.
FEEDER_BACKOFF_MS = 5_000
# A response of this size or more has news; it may be late because it is large.
MIN_LARGE_BYTES = 16_384
# How many routers share a feeder.
ROUTERS_PER_FEEDER = 32
# A router asks this many feeders, those that it prefers.
MAX_FEEDERS = 2
# How old the state may be that a response tells of.
MAX_RESPONSE_AGE_MS = 2 * (FEED_WAIT_MS + FEED_SLACK_MS)

_TIMEOUT_S = (FEED_WAIT_MS + FEED_SLACK_MS) / 1000
_FAILED_STATUSES = (
    404,
    *paths.NOT_APPLIED_STATUSES,
    paths.OUTCOME_UNKNOWN_STATUS,
)


class Feeds:
    """The feeders that one router uses.

    `get_router_count` returns the number of routers, 0 while it isn't known.
    `live` is the process's Liveness.
    """

    __slots__ = ('_name', '_clock', '_get_router_count', '_live', '_paths')

    def __init__(self, name, clock, get_router_count, live=None):
        self._name = name
        self._clock = clock
        self._get_router_count = get_router_count
        self._live = live
        # StorePath by the feeder's address.
        self._paths = {}

    def set_feeders(self, addresses):
        """Replace the feeders by those at `addresses`."""
        self._paths = {
            address: self._paths.get(address)
            or paths.StorePath(address, FEED_PREFIX, self._live)
            for address in addresses
        }

    def call(self, url_path):
        """Return the response to a shared watch.

        Returns None if no feeder answered: the caller has to ask the store.
        One that is silent takes the time of the whole watch, so no other is
        asked after it.
        """
        for path in self._list_usable():
            try:
                response = _call_path(path, url_path)
            except (connections.NotSent, connections.PeerClosed):
                response = None
            except connections.ResponseLost:
                self._back_off(path)
                return None
            if response is not None and (
                response.status not in _FAILED_STATUSES
            ):
                return response
            self._back_off(path)
        return None

    def _back_off(self, path):
        path.backoff_until = self._clock.now() + FEEDER_BACKOFF_MS

    def _list_usable(self):
        """Return the preferred feeders' paths, without those that failed.

        Routers of one group prefer the same feeders.
        """
        group_count = -(-self._get_router_count() // ROUTERS_PER_FEEDER) or 1
        group = zlib.crc32(self._name.encode()) % group_count

        ranked = sorted(
            self._paths,
            key=lambda address: rendezvous.weigh(f'{group}/', address),
        )
        now = self._clock.now()
        preferred = [self._paths[address] for address in ranked[:MAX_FEEDERS]]
        return [path for path in preferred if path.backoff_until <= now]


def _call_path(path, url_path):
    """Return a feeder's response.

    A connection may be closed under a watch while its feeder is well, so that
    is tried once more.
    """
    try:
        return path.call('GET', url_path, b'', _TIMEOUT_S)
    except connections.PeerClosed:
        return path.call('GET', url_path, b'', _TIMEOUT_S)


class _SharedWatch:
    """A watch that is under way; `started_at` is in s of the boot clock."""

    __slots__ = ('started_at', 'result')

    def __init__(self, started_at):
        self.started_at = started_at
        self.result = event.AsyncResult()


class SharedWatches:
    """The watches that a feeder has under way, by URL path.

    `call_direct` makes a call to the store, as `StorePaths.call_direct` does.
    `read_clock` returns seconds of a clock that also counts while the machine
    is suspended.
    """

    __slots__ = ('_call_direct', '_read_clock', '_under_way')

    def __init__(self, call_direct, read_clock=None):
        self._call_direct = call_direct
        self._read_clock = read_clock or _read_boot_clock
        # _SharedWatch by URL path.
        self._under_way = {}

    def call(self, url_path):
        """Return the response of a watch that others may share.

        Raises NotSent, ResponseLost or ReadTimeout.
        """
        now = self._read_clock()
        shared = self._under_way.get(url_path)
        if shared is None or now - shared.started_at > _TIMEOUT_S:
            shared = self._under_way[url_path] = _SharedWatch(now)
            gevent.spawn(self._run, url_path, shared)
        return shared.result.get()

    def _run(self, url_path, shared):
        result = None
        try:
            result = self._call_direct('GET', url_path, b'', _TIMEOUT_S)
            is_late = self._read_clock() - shared.started_at > _TIMEOUT_S
            if is_late and len(result.body) < MIN_LARGE_BYTES:
                raise connections.ResponseLost('this process was paused')
        except (
            connections.NotSent,
            connections.ResponseLost,
            connections.ReadTimeout,
        ) as exc:
            result = exc
        finally:
            # Later requests begin a new watch.
            if self._under_way.get(url_path) is shared:
                del self._under_way[url_path]
            if isinstance(result, Exception):
                shared.result.set_exception(result)
            else:
                shared.result.set(result)


def make_feed_app(call_direct, relayed_headers):
    """Return a WSGI application that shares watches of the store.

    See `paths.make_relay_app` for `relayed_headers` and its responses.
    """
    watches = SharedWatches(call_direct)

    def call(_, url_path, __):
        return watches.call(url_path)

    return relaying.make_call_app(FEED_PREFIX, call, relayed_headers)


def _read_boot_clock():
    return time.clock_gettime(time.CLOCK_BOOTTIME)
