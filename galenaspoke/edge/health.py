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

FAILURES_IN_A_ROW = 2
FIRST_REST_MS = 600
LONGEST_REST_MS = 4_000
# What is remembered of earlier outcomes halves in this many outcomes.
OUTCOMES_HALF = 4

_KEEP = math.exp(-math.log(2) / OUTCOMES_HALF)


class Health:
    """The recent outcomes at one target."""

    __slots__ = ('streak', 'failure_share', 'outcomes', 'rest_until', 'rest')

    def __init__(self):
        self.streak = 0
        self.failure_share = 0.0
        self.outcomes = 0
        # Until when it gets no requests, and how long the next rest is.
        self.rest_until = 0
        self.rest = FIRST_REST_MS

    def record_success(self):
        """Note a request that the target answered as it should."""
        self.streak = 0
        self.rest = FIRST_REST_MS
        self._note(0.0)

    def record_failure(self, now, certain=False):
        """Note a failure of the target; return True if it rests now.

        `certain` failures, such as a refused connection, need no second one.
        """
        self._note(1.0)
        self.streak += 1
        if certain or self.streak >= FAILURES_IN_A_ROW:
            return self.take_out(now)
        return False

    def take_out(self, now):
        """Let it rest; return True unless it does already."""
        if now < self.rest_until:
            return False
        self.rest_until = now + self.rest
        self.rest = min(LONGEST_REST_MS, 2 * self.rest)
        return True

    def usable(self, now):
        """Tell whether it may get requests."""
        return now >= self.rest_until

    def _note(self, failure):
        self.outcomes += 1
        keep = min(_KEEP, 1 - 1 / self.outcomes)
        self.failure_share = keep * self.failure_share + (1 - keep) * failure
