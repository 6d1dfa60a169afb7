"""How many tokens an event of each service may hold, by recent configurations.

A configuration takes effect at targets and at routers at different times: a
target may still send events as large as the configuration before says, or
already as large as the next one says.  So an event counts as the most that any
of them states.

Example::

    sizes = EventSizes()
    sizes.record(catalog, now)
    sizes.find_largest('pool', now)     # 6
"""

from galenaspoke.edge.streams import resumption


class EventSizes:
    """The largest events of the services in the last CONFIG_LAG_MS."""

    __slots__ = ('_catalog', '_earlier')

    def __init__(self):
        # The configuration that was recorded last.
        self._catalog = None
        # The largest size that was replaced, and until when it counts, by
        # service.
        self._earlier = {}

    def record(self, catalog, now):
        """Record which configuration is in force at a time, in ms."""
        if catalog is self._catalog:
            return
        replaced = self._catalog.services if self._catalog else {}
        self._earlier = {
            name: pair for name, pair in self._earlier.items() if pair[1] > now
        }
        for name, service in replaced.items():
            newer = catalog.services.get(name)
            if newer is None or newer.event_tokens < service.event_tokens:
                self._keep(name, service.event_tokens, now)
        self._catalog = catalog

    def _keep(self, name, size, now):
        before, _ = self._earlier.get(name, (0, 0))
        until = now + resumption.CONFIG_LAG_MS
        self._earlier[name] = (max(before, size), until)

    def find_largest(self, name, now):
        """Return the tokens that an event of a service may hold.

        That is 0 if no configuration of late has the service.
        """
        service = self._catalog.services.get(name) if self._catalog else None
        size = service.event_tokens if service else 0
        earlier, until = self._earlier.get(name, (0, now))
        return max(size, earlier) if until > now else size
