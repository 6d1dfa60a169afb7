"""The targets that this router knows, and its connections to them."""

from galenaspoke.edge import health
from galenaspoke.edge import wait_estimates
from galenaspoke.http import connections

CONNECT_TIMEOUT_S = 0.3
# A target that doesn't say how long it keeps idle connections may close them
# so soon.
UNSTATED_IDLE_MS = 800
# A connection is not used any more so long before its peer may close it.
IDLE_MARGIN_MS = 300
MAX_IDLE_CONNECTIONS = 48


class Target:
    """One incarnation of a target."""

    __slots__ = (
        'entry',
        'health',
        'wait_estimator',
        'in_flight',
        'gone',
        '_idle',
    )

    def __init__(self, entry):
        self.entry = entry
        self.health = health.Health()
        self.wait_estimator = wait_estimates.WaitEstimator()
        self.in_flight = 0
        # It left, or was replaced by another incarnation.
        self.gone = False
        self._idle = []

    def acquire_connection(self, now):
        """Return a connection to use; raise NotSent."""
        while self._idle:
            conn = self._idle.pop()
            age = now - conn.idle_since
            if (
                age < conn.idle_ms - IDLE_MARGIN_MS
                and conn.is_open_and_empty()
            ):
                return conn
            conn.close()
        return connections.connect(
            self.entry.host, self.entry.port, CONNECT_TIMEOUT_S
        )

    def release_connection(self, conn, now, idle_ms):
        """Keep a connection for the next request, or close it."""
        conn.idle_since = now
        conn.idle_ms = UNSTATED_IDLE_MS if idle_ms is None else idle_ms
        if self.gone or len(self._idle) >= MAX_IDLE_CONNECTIONS:
            conn.close()
            return
        self._idle.append(conn)

    def close_expired_connections(self, now):
        """Close idle connections that the peer is about to close."""
        kept = []
        for conn in self._idle:
            if now - conn.idle_since < conn.idle_ms - IDLE_MARGIN_MS:
                kept.append(conn)
            else:
                conn.close()
        self._idle = kept

    def forget(self):
        """Use it no more; requests under way go on."""
        self.gone = True
        for conn in self._idle:
            conn.close()
        self._idle = []


class Directory:
    """All targets that may be used, by service.

    Example::

        directory.put(entry)
        directory.of('assistant-pool', now)    # [Target]
        directory.remove('i-7f3a')
    """

    __slots__ = ('_targets', '_missing')

    def __init__(self):
        # By id; one incarnation each.
        self._targets = {}
        # Ids whose entry is missing, and until when they may come back.
        self._missing = {}

    def ids(self):
        """Return the ids of all targets known."""
        return list(self._targets)

    def get(self, target_id):
        """Return the Target with an id, or None."""
        return self._targets.get(target_id)

    def put(self, entry):
        """Take an entry as it is now; return True if it changed anything."""
        self._missing.pop(entry.id, None)
        known = self._targets.get(entry.id)
        if known is not None:
            if known.entry == entry:
                return False
            if known.entry.identity() == entry.identity() and (
                (known.entry.host, known.entry.port)
                == (entry.host, entry.port)
            ):
                known.entry = entry
                return True
            known.forget()
        self._targets[entry.id] = Target(entry)
        return True

    def remove(self, target_id):
        """Use a target no more; return True if it was known."""
        self._missing.pop(target_id, None)
        known = self._targets.pop(target_id, None)
        if known is None:
            return False
        known.forget()
        return True

    def miss(self, target_id, until):
        """Keep a target whose entry is missing until then, if known."""
        if target_id in self._targets:
            self._missing.setdefault(target_id, until)

    def remove_missing(self, now):
        """Remove what didn't come back; return the ids."""
        late = [name for name, until in self._missing.items() if until <= now]
        for name in late:
            self.remove(name)
        return late

    def list_accepting(self, service):
        """Return the targets of a service that take new requests."""
        return [
            target
            for target in self._targets.values()
            if target.entry.service == service and not target.entry.leaving
        ]

    def close_expired_connections(self, now):
        """Close idle connections that are about to be closed."""
        for target in self._targets.values():
            target.close_expired_connections(now)
