"""The rate at which a cold target takes requests, and the ramp after it.

A target that has just started is slow, and crashes if all routers together
send it more requests a second than its service's configuration allows.  Each
router keeps to its part of that rate, see `rate_limits`.

A target may be lost without a word: connections to it are refused, hang, or
break.  If it hasn't responded since, for as long as it takes to start again,
it counts as cold until it says otherwise.

Example::

    cold_start = ColdStart('i-7f', routers.get_share)
    cold_start.record(16.0, 3000, 1000, now=1000)    # True: it is cold now
    cold_start.has_room(1000)                        # False: nothing saved
"""

from galenaspoke.edge.targets import end_checks
from galenaspoke.edge.targets import rate_limits

# The rule counts requests in windows of one second, so less may be saved up
# than under a limit that the target names itself.
BURST_S = 0.3
# Once the target is warm its rate doubles at these intervals, so many times.
RAMP_STEP_MS = 1_000
RAMP_STEPS = 3


class ColdStart:
    """How cold one target is.  Times are in ms of the clock.

    For `get_share` see `rate_limits.RateLimiter`.
    """

    __slots__ = (
        '_limiter',
        '_rate_per_s',
        '_until',
        '_down_at',
        '_heard_at',
        '_lost_since',
    )

    def __init__(self, key, get_share):
        self._limiter = rate_limits.RateLimiter(key, get_share, BURST_S)
        self._rate_per_s = 0
        # Until when it is cold, None if it wasn't lately.
        self._until = None
        # When it was last found down, None if it has responded since.
        self._down_at = None
        # When it last responded or wrote its entry, None if it hasn't yet.
        self._heard_at = None
        # Since when it has not been heard of, None unless requests failed
        # meanwhile.
        self._lost_since = None

    def is_cold(self, now):
        """Return whether the target is cold."""
        is_told = self._until is not None and now < self._until
        return is_told or self._may_have_restarted(now)

    def _may_have_restarted(self, now):
        is_lost = (
            self._lost_since is not None
            and now - self._lost_since >= end_checks.MIN_RESTART_MS
        )
        return is_lost or self._down_at is not None

    def record(self, rate_per_s, left_ms, received_at, now):
        """Record for how much longer the target says that it is cold.

        What was received at `received_at`, before the target was down, says
        nothing.  Returns whether it was not cold before and is now.
        """
        lost_at = max(self._down_at or 0, self._lost_since or 0)
        if lost_at and received_at <= lost_at:
            return False
        was_cold = self.is_cold(now)
        self._down_at = self._lost_since = None
        self._heard_at = max(self._heard_at or 0, received_at)
        if left_ms and not was_cold:
            # Nothing that was saved up before counts.
            self._limiter.record(None, now, now)
        if left_ms:
            self._rate_per_s = rate_per_s
            self._until = now + left_ms
        elif self._until is not None:
            self._until = min(self._until, now)
        self._update(now)
        return self.is_cold(now) and not was_cold

    def record_down(self, rate_per_s, now):
        """Record that the target is down: it will be cold once it is back."""
        self._rate_per_s = rate_per_s
        self._down_at = now
        self._update(now)

    def record_lost(self, rate_per_s, now):
        """Record that a request failed, so that the target may be lost."""
        if self._lost_since is None:
            self._rate_per_s = rate_per_s
            self._lost_since = (
                now if self._heard_at is None else self._heard_at
            )
            self._update(now)

    def record_response(self, cold_start_ms, now):
        """Record that the target sends something, perhaps again."""
        self._heard_at = now
        if self._may_have_restarted(now):
            self._until = now + cold_start_ms
        if self._down_at is not None or self._lost_since is not None:
            self._down_at = self._lost_since = None
            self._update(now)

    def has_room(self, now):
        """Return whether a request may be sent now."""
        if self._is_unlimited():
            return True
        self._update(now)
        return self._limiter.has_room(now)

    def take(self, now):
        """Count a request that is sent now."""
        if self._is_unlimited():
            return
        self._update(now)
        self._limiter.take(now)

    def wait_ms(self, now):
        """Return the time until a request may be sent, 0 if it may now."""
        if self._is_unlimited():
            return 0
        self._update(now)
        return self._limiter.wait_ms(now)

    def _is_unlimited(self):
        """Return whether the target is neither cold nor on its ramp.

        That is so nearly always, and asked for each target and request.
        """
        return (
            self._until is None
            and self._down_at is None
            and self._lost_since is None
        )

    def _update(self, now):
        limit_per_s = self._get_limit_per_s(now)
        if limit_per_s != self._limiter.limit_per_s:
            self._limiter.record(limit_per_s, now, now)

    def _get_limit_per_s(self, now):
        """Return the limit in force, None if there is none."""
        if self.is_cold(now):
            return self._rate_per_s
        if self._until is None:
            return None
        steps = 1 + (now - self._until) // RAMP_STEP_MS
        if steps > RAMP_STEPS:
            self._until = None
            return None
        return self._rate_per_s * 2**steps
