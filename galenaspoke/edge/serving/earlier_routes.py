"""Where routes led before the configuration was replaced.

A stream that is resumed may have begun by an earlier configuration, which led
to another service.

Example::

    routes = EarlierRoutes(catalog)
    routes.record(newer_catalog, now)
    routes.list_services('desk.example', '/chat/2f', 0.3)   # [('pool', now)]
"""

import collections

from galenaspoke.core import catalog as catalogs
from galenaspoke.edge.streams import resumption
from galenaspoke.edge.streams import stream_versions

# Streams that began by a configuration which was replaced longer ago aren't
# resumed any more.
KEEP_MS = resumption.CONFIG_LAG_MS + stream_versions.MAX_STREAM_AGE_MS
# Some 200 bytes each.
MAX_KEPT_ROUTES = 20_000
# Stands for the services to which routes led that were forgotten.
UNKNOWN_SERVICE = None


class _Replaced:
    """A configuration that was replaced.

    `moved` has the splits of its routes that led elsewhere than those of the
    configuration after it, by host and prefix, None for a route that it
    lacked.  `until` is when it was replaced, in ms of the clock.
    """

    __slots__ = ('moved', 'until')

    def __init__(self, moved, until):
        self.moved = moved
        self.until = until


class EarlierRoutes:
    """Knows where routes led in the last KEEP_MS.

    It keeps MAX_KEPT_ROUTES routes that moved; beyond that it forgets the
    oldest configurations, by which a stream may then have begun anywhere.
    """

    __slots__ = ('_catalog', '_replaced', '_kept_count', '_forgotten_until')

    def __init__(self, catalog):
        # The configuration in force, and those before it, the oldest first.
        self._catalog = catalog
        self._replaced = collections.deque()
        self._kept_count = 0
        # When the latest of the configurations was replaced that were
        # forgotten for want of room.
        self._forgotten_until = None

    def record(self, catalog, now):
        """Record which configuration is in force at a time."""
        if catalog is not self._catalog:
            # Before the first configuration no stream could begin.
            if self._catalog is not catalogs.EMPTY:
                self._add(self._catalog.list_moved(catalog), now)
            self._catalog = catalog
        while self._replaced and now - self._replaced[0].until > KEEP_MS:
            self._drop_oldest()
        while self._kept_count > MAX_KEPT_ROUTES:
            self._forgotten_until = self._drop_oldest().until
        if self._is_forgetting_over(now):
            self._forgotten_until = None

    def list_services(self, host, path, point):
        """Return which services a request had, and until when.

        `point` is where it falls in a split route, from 0 to 1.
        """
        prefixes = list(catalogs.list_prefixes(path))
        splits = [self._catalog.get_splits(host, p) for p in prefixes]
        services = []
        for replaced in reversed(self._replaced):
            for i, prefix in enumerate(prefixes):
                splits[i] = replaced.moved.get((host, prefix), splits[i])
            # The longest prefix comes first.
            longest = next(filter(None, splits), None)
            if longest is not None:
                service = catalogs.choose_service(longest, point)
                services.append((service, replaced.until))
        if self._forgotten_until is not None:
            services.append((UNKNOWN_SERVICE, self._forgotten_until))
        return services

    def _add(self, moved, now):
        if self._replaced:
            # Requests that took longer to arrive come out of order.
            now = max(now, self._replaced[-1].until)
            # One that led nowhere else than the next is told by the next.
            if not self._replaced[-1].moved:
                self._replaced.pop()
        self._replaced.append(_Replaced(moved, now))
        self._kept_count += len(moved)

    def _drop_oldest(self):
        replaced = self._replaced.popleft()
        self._kept_count -= len(replaced.moved)
        return replaced

    def _is_forgetting_over(self, now):
        return (
            self._forgotten_until is not None
            and now - self._forgotten_until > KEEP_MS
        )
