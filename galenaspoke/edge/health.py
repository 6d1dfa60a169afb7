"""How sound a target is, from what this router saw of it.

Failures in a row take a target out for a while, and each time for longer.
After that it gets requests again; the next one decides.

Example::

    health = Health()
    health.failed(now=1000)
    health.failed(now=1010)
    health.usable(now=1020)     # False
"""

import math

FAILURE_THRESHOLD = 2
MIN_EJECTION_MS = 600
MAX_EJECTION_MS = 4_000
# What is remembered of earlier outcomes halves in this many outcomes.
HALF_LIFE_OUTCOMES = 4

_KEEP = math.exp(-math.log(2) / HALF_LIFE_OUTCOMES)


class Health:
    """The recent outcomes at one target."""

    __slots__ = (
        'consecutive_failures',
        'failure_share',
        'outcome_count',
        'ejected_until',
        'next_ejection_ms',
    )

    def __init__(self):
        self.consecutive_failures = 0
        self.failure_share = 0.0
        self.outcome_count = 0
        # Until when it gets no requests, and how long the next rest is.
        self.ejected_until = 0
        self.next_ejection_ms = MIN_EJECTION_MS

    def record_success(self):
        """Note a request that the target answered as it should."""
        self.consecutive_failures = 0
        self.next_ejection_ms = MIN_EJECTION_MS
        self._record(0.0)

    def record_failure(self, now, certain=False):
        """Note a failure of the target; return True if it rests now.

        `certain` failures, such as a refused connection, need no second one.
        """
        self._record(1.0)
        self.consecutive_failures += 1
        if certain or self.consecutive_failures >= FAILURE_THRESHOLD:
            return self.eject(now)
        return False

    def eject(self, now):
        """Let it rest; return True unless it does already."""
        if now < self.ejected_until:
            return False
        self.ejected_until = now + self.next_ejection_ms
        self.next_ejection_ms = min(MAX_EJECTION_MS, 2 * self.next_ejection_ms)
        return True

    def is_available(self, now):
        """Tell whether it may get requests."""
        return now >= self.ejected_until

    def _record(self, failure):
        self.outcome_count += 1
        keep = min(_KEEP, 1 - 1 / self.outcome_count)
        self.failure_share = keep * self.failure_share + (1 - keep) * failure
