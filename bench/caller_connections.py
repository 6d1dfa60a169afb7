"""Open connections that a caller of the edge fleet keeps and uses again.

It doesn't look whether the router at the other end is still the same process,
or is there at all.

Example::

    connections = CallerConnections(rng)
    connections.keep('router-0', conn, message)
    connections.take('router-0')    # that one, or None after a while
"""

import re
import time

# Four fifths of the time after which routers close an idle connection.
IDLE_S = 12.0
MAX_KEPT = 4
_KEEP_ALIVE = re.compile(r'timeout=(\d+)')


class CallerConnections:
    """Open connections by the name of their router."""

    __slots__ = ('_rng', '_kept')

    def __init__(self, rng):
        self._rng = rng
        # Pairs of a connection and until when it may be used, by router.
        self._kept = {}

    def keep(self, name, conn, message):
        """Keep a connection after a response for as long as that allows."""
        match = _KEEP_ALIVE.search(message.get('keep-alive').lower())
        idle_s = min(IDLE_S, float(match.group(1))) if match else IDLE_S
        kept = self._kept.setdefault(name, [])
        kept.append((conn, time.monotonic() + idle_s))
        if len(kept) > MAX_KEPT:
            kept.pop(0)[0].sock.close()

    def take(self, name):
        """Return any connection to a router, None if there is none."""
        self._drop_old(name)
        kept = self._kept.get(name)
        if not kept:
            return None
        return kept.pop(self._rng.randrange(len(kept)))[0]

    def _drop_old(self, name):
        now = time.monotonic()
        for entry in list(self._kept.get(name, ())):
            if entry[1] < now:
                self._kept[name].remove(entry)
                entry[0].sock.close()
