"""The rate limit that a target in need names in its responses.

It is how many requests a second the target takes from all routers together,
and it holds for as long as the target names it.

Example::

    limiter = RateLimiter()
    limiter.hear(2.0, asked_at=900, now=1000)     # True: it is news
    limiter.hear(None, asked_at=950, now=1010)    # False: asked before
    limiter.hear(None, asked_at=1100, now=1180)   # True: it has ended
"""

import math


class RateLimiter:
    """The rate limit of one target.  Times are in ms of the clock."""

    __slots__ = ('limit_per_s', '_named_at')

    def __init__(self):
        # None while the target names no limit.
        self.limit_per_s = None
        # When the target last named the limit.
        self._named_at = 0

    def hear(self, limit_per_s, asked_at, now):
        """Take note of a response's limit, None if it names none.

        `asked_at` is when the request was sent, 0 if unknown.  Responses may
        overtake each other, so the response to a request that was sent before
        the limit was last named can't raise or end it.  Returns whether the
        limit changed.
        """
        if _is_higher(limit_per_s, self.limit_per_s) and (
            asked_at < self._named_at
        ):
            return False
        if limit_per_s is not None:
            self._named_at = now
        is_changed = limit_per_s != self.limit_per_s
        self.limit_per_s = limit_per_s
        return is_changed


def _is_higher(limit_per_s, other_per_s):
    """Compare two limits; None is none, the highest of all."""
    if other_per_s is None:
        return False
    return (math.inf if limit_per_s is None else limit_per_s) > other_per_s
