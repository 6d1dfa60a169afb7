"""The targets that this router knows, and its idle connections to them."""

from galenaspoke.edge.targets import cold_start
from galenaspoke.edge.targets import health
from galenaspoke.edge.targets import pace
from galenaspoke.edge.targets import rate_limits
from galenaspoke.edge.targets import wait_estimates
from galenaspoke.http import connections
from galenaspoke.http import pacing

CONNECT_TIMEOUT_S = 0.3
# The idle timeout that is assumed for a target that doesn't state one.
DEFAULT_IDLE_TIMEOUT_MS = 800
# An idle connection is used only until this long before the target's idle
# timeout, and closed then.
IDLE_MARGIN_MS = 300
MAX_IDLE_CONNECTIONS = 48
# How long an incarnation that left, or whose entry was removed, is remembered.
LEFT_TTL_MS = 600_000


class Target:
    """One incarnation of a target.

    For `get_share` see `rate_limits.RateLimiter`.
    """

    __slots__ = (
        'entry',
        'is_identifiable',
        'health',
        'wait_estimator',
        'pace',
        'rate_limiter',
        'cold_start',
        'read_pacer',
        'in_flight',
        'is_removed',
        'is_replaced',
        'is_leaving',
        'is_missing',
        'paused_until',
        '_idle',
    )

    def __init__(self, entry, get_share):
        self.entry = entry
        # Whether a report could show that another incarnation has its address.
        self.is_identifiable = entry.born != 0
        self.health = health.Health()
        self.wait_estimator = wait_estimates.WaitEstimator()
        self.pace = pace.Pace()
        self.rate_limiter = rate_limits.RateLimiter(entry.id, get_share)
        self.cold_start = cold_start.ColdStart(entry.id, get_share)
        # Of all connections to it.
        self.read_pacer = pacing.Pacer()
        self.in_flight = 0
        # Whether it left or was replaced by another incarnation.
        self.is_removed = False
        # Whether an entry has named another incarnation in its place.
        self.is_replaced = False
        # Whether it or its entry has said that it leaves, and whether it has
        # no entry at present.
        self.is_leaving = False
        self.is_missing = False
        # Until when the target asked for no more requests.
        self.paused_until = 0
        self._idle = []

    def may_leave(self):
        """Return whether it is leaving, or may be without saying so.

        Such a target may close streams early.
        """
        return self.is_leaving or self.is_missing or self.is_removed

    def pause(self, until):
        """Send no requests until a time, as the target asked."""
        self.paused_until = max(self.paused_until, until)

    def is_willing(self, now):
        """Return whether it takes one more request of this router now."""
        return (
            now >= self.paused_until
            and self.rate_limiter.has_room(now)
            and self.cold_start.has_room(now)
        )

    def record_sent(self, now):
        """Count a request that is sent now, if its rate is limited."""
        self.rate_limiter.take(now)
        self.cold_start.take(now)

    def unwilling_ms(self, now):
        """Return how long it takes no request of this router."""
        return max(
            self.paused_until - now,
            self.rate_limiter.wait_ms(now),
            self.cold_start.wait_ms(now),
        )

    def acquire_connection(self, now, request_id):
        """Return an idle or a new connection that can carry a request.

        Raises NotSent on failure.
        """
        conn = self._take_idle(now, lambda conn: conn.can_carry(request_id))
        return conn or self.connect()

    def acquire_last_connection(self, now):
        """Return an idle or a new connection that is closed after its use.

        It is for a question without an id.  Raises NotSent on failure.
        """
        return self._take_idle(now, lambda conn: True) or self.connect()

    def _take_idle(self, now, is_suitable):
        """Return the latest idle connection that is suitable and still open.

        Returns None if there is none.
        """
        while (conn := self._pop_idle(is_suitable)) is not None:
            idle_ms = now - conn.idle_since
            if (
                idle_ms < conn.idle_timeout_ms - IDLE_MARGIN_MS
                and conn.is_open_and_empty()
            ):
                return conn
            conn.close()
        return None

    def _pop_idle(self, is_suitable):
        for index in reversed(range(len(self._idle))):
            if is_suitable(self._idle[index]):
                return self._idle.pop(index)
        return None

    def connect(self):
        """Return a new connection; raise NotSent on failure."""
        return connections.connect(
            self.entry.host,
            self.entry.port,
            CONNECT_TIMEOUT_S,
            pacer=self.read_pacer,
        )

    def release_connection(self, conn, now, idle_timeout_ms):
        """Keep an idle connection for another request, or close it.

        `idle_timeout_ms` is the target's idle timeout, None if not stated.
        """
        conn.release()
        conn.idle_since = now
        conn.idle_timeout_ms = (
            DEFAULT_IDLE_TIMEOUT_MS
            if idle_timeout_ms is None
            else idle_timeout_ms
        )
        if self.is_removed or len(self._idle) >= MAX_IDLE_CONNECTIONS:
            conn.close()
            return
        self._idle.append(conn)

    def close_expired_connections(self, now):
        """Close idle connections that the target is about to close."""
        kept = []
        for conn in self._idle:
            if now - conn.idle_since < conn.idle_timeout_ms - IDLE_MARGIN_MS:
                kept.append(conn)
            else:
                conn.close()
        self._idle = kept

    def mark_removed(self):
        """Mark the target as removed and close its idle connections.

        Requests that are under way continue; their connections are closed
        afterwards.
        """
        self.is_removed = True
        for conn in self._idle:
            conn.close()
        self._idle = []


class Directory:
    """All targets that this router knows.

    For `get_share` see `rate_limits.RateLimiter`.

    Example::

        directory.put(entry, now)
        directory.list_accepting('assistant-pool')    # [Target]
        directory.remove('i-7f3a', now)
    """

    __slots__ = (
        'evacuated_domains',
        '_get_share',
        '_targets',
        '_missing',
        '_leaving',
        '_removed',
    )

    def __init__(self, get_share):
        # The failure domains whose targets get no requests, None while that
        # isn't known.
        self.evacuated_domains = frozenset()
        self._get_share = get_share
        # Target by id, the latest incarnation only.
        self._targets = {}
        # The ids of targets without an entry, and when to remove them.
        self._missing = {}
        # Identities of incarnations that announced that they leave, and of
        # those that were removed, each with the time.  An incarnation that
        # leaves never accepts requests again, whatever its entry says.
        self._leaving = {}
        self._removed = {}

    def list_ids(self):
        """Return the ids of all known targets."""
        return list(self._targets)

    def get(self, target_id):
        """Return the Target with an id, or None."""
        return self._targets.get(target_id)

    def put(self, entry, now):
        """Add or update a target; return whether anything changed.

        Another incarnation, address or version makes a new Target, so the
        version of a Target never changes.
        """
        self._missing.pop(entry.id, None)
        self._removed.pop(entry.identity(), None)
        if entry.leaving:
            self._leaving[entry.identity()] = now
        known = self._targets.get(entry.id)
        if known is not None:
            known.is_missing = False
            if known.entry == entry:
                return False
            if _get_process(known.entry) == _get_process(entry):
                known.entry = entry
                known.is_leaving = entry.identity() in self._leaving
                return True
            known.mark_removed()
            known.is_replaced = known.entry.identity() != entry.identity()
        target = Target(entry, self._get_share)
        target.is_leaving = entry.identity() in self._leaving
        self._targets[entry.id] = target
        return True

    def remove(self, target_id, now):
        """Remove a target; return whether it was known."""
        self._missing.pop(target_id, None)
        known = self._targets.pop(target_id, None)
        if known is None:
            return False
        known.mark_removed()
        self._removed[known.entry.identity()] = now
        return True

    def mark_leaving(self, target, now):
        """Stop new requests to an incarnation that says that it leaves.

        Returns whether it had not said so before.
        """
        identity = target.entry.identity()
        is_news = identity not in self._leaving
        self._leaving[identity] = now
        target.is_leaving = True
        return is_news

    def is_outdated(self, entry):
        """Return whether an entry is older than what is known.

        That is so if its incarnation was removed, or if a later one is known
        under the same id.  Only an entry from a copy of the store may be.
        """
        known = self._targets.get(entry.id)
        is_replaced = known is not None and known.entry.born > entry.born
        return is_replaced or entry.identity() in self._removed

    def mark_missing(self, target_id, remove_at):
        """Remove a known target later, unless its entry reappears first."""
        target = self._targets.get(target_id)
        if target is not None:
            target.is_missing = True
            self._missing.setdefault(target_id, remove_at)

    def remove_missing(self, now):
        """Remove targets whose entries did not reappear; return their ids."""
        expired = [
            target_id
            for target_id, remove_at in self._missing.items()
            if remove_at <= now
        ]
        for target_id in expired:
            self.remove(target_id, now)
        return expired

    def forget_expired(self, now):
        """Forget incarnations that left more than LEFT_TTL_MS ago."""
        known = {target.entry.identity() for target in self._targets.values()}
        for times in (self._leaving, self._removed):
            for identity, at in list(times.items()):
                if now - at > LEFT_TTL_MS and identity not in known:
                    del times[identity]

    def list_accepting(self, service):
        """Return the targets of a service that accept new requests."""
        if self.evacuated_domains is None:
            return []
        return [
            target
            for target in self._targets.values()
            if target.entry.service == service
            and target.entry.identity() not in self._leaving
            and target.entry.domain not in self.evacuated_domains
        ]

    def list_versions(self, service):
        """Return the software versions of a service's targets."""
        return {
            target.entry.version
            for target in self._targets.values()
            if target.entry.service == service
        }

    def close_expired_connections(self, now):
        """Close idle connections that targets are about to close."""
        for target in self._targets.values():
            target.close_expired_connections(now)


def _get_process(entry):
    """Return what two entries of the same process have in common.

    A target that doesn't state its start may show it by its version only.
    """
    return entry.identity(), entry.host, entry.port, entry.version
