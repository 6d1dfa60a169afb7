"""Passive health of a target, judged by what this router observed.

Consecutive failures eject a target for a while, during which it gets no
requests, and each further ejection takes longer.  After an ejection the target
gets requests again: one more failure ejects it anew, a success clears it.

Example::

    health = Health()
    health.record_failure(now=1000)
    health.record_failure(now=1010)
    health.is_available(now=1020)     # False
"""

import math

# Consecutive failures that eject a target.
FAILURE_THRESHOLD = 2
# The first ejection; each further one takes twice as long, up to the maximum.
MIN_EJECTION_MS = 600
MAX_EJECTION_MS = 4_000
# The weight of an outcome in `failure_share` halves after this many further
# outcomes.
HALF_LIFE_OUTCOMES = 4

_DECAY = math.exp(-math.log(2) / HALF_LIFE_OUTCOMES)


class Health:
    """Counts the recent outcomes at one target and ejects it if it fails.

    `failure_share` is the decaying share of failures, from 0 to 1.  Times are
    in ms of the clock.
    """

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
        # Until when the target is ejected, and how long the next ejection is.
        self.ejected_until = 0
        self.next_ejection_ms = MIN_EJECTION_MS

    def record_success(self):
        """Record that the target responded, be it with a server error."""
        self.consecutive_failures = 0
        self.next_ejection_ms = MIN_EJECTION_MS
        self._record(0.0)

    def record_failure(self, now, is_certain=False):
        """Record a failure; return True if it ejects the target.

        An `is_certain` failure, such as a refused connection or a flood, does
        so at once.
        """
        self._record(1.0)
        self.consecutive_failures += 1
        if is_certain or self.consecutive_failures >= FAILURE_THRESHOLD:
            return self.eject(now)
        return False

    def eject(self, now):
        """Eject the target; return False if it is ejected already."""
        if now < self.ejected_until:
            return False
        self.ejected_until = now + self.next_ejection_ms
        self.next_ejection_ms = min(MAX_EJECTION_MS, 2 * self.next_ejection_ms)
        return True

    def is_available(self, now):
        """Return whether the target may get requests."""
        return now >= self.ejected_until

    def _record(self, failure):
        """Add an outcome to the share: 1.0 for a failure, else 0.0.

        The first few outcomes all have the same weight.
        """
        self.outcome_count += 1
        decay = min(_DECAY, 1 - 1 / self.outcome_count)
        self.failure_share = decay * self.failure_share + (1 - decay) * failure
