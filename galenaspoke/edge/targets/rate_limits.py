"""The rate limit that a target in need names, and this router's part of it.

The limit is how many requests a second the target takes from all routers
together, and it holds for as long as the target names it.  Routers don't ask
each other: a few of them, which rendezvous hashing over the list of routers
names for each target, divide the limit evenly.  Only so many do that what all
of them may have saved up fits into one burst.  The others send the target a
request now and then, to learn whether the limit still holds.

Example::

    limiter = RateLimiter('i-7f', routers.get_share)
    limiter.record(2.0, sent_at=900, now=1000)    # True: it has changed
    limiter.record(None, sent_at=950, now=1010)   # False: sent before
    limiter.has_room(1010)                        # False: nothing is saved
    limiter.wait_ms(1010)                         # when to come back
"""

import math
import random

from galenaspoke.core import limits

# The share of a limit that is divided.  The rest covers as many new routers as
# there are, which the others don't know yet.
DIVIDED_SHARE = 0.7
# The fleet may send so many requests at once, and what the limit allows in so
# long in addition.
BURST_REQUESTS = 2
BURST_S = 1.0
# The least that the fleet sends, in requests a second: only a response tells
# that a limit, which may be 0, has ended.
MIN_RATE_PER_S = 0.25
# What the routers that have no part of the limit send, all together.
PROBE_RATE_PER_S = 0.25
# A probe that was not sent for so long is dropped.  Else many routers could
# save one up and send them at once.
PROBE_TTL_MS = 2_000
# The bounds of the time between two probes, as shares of the mean.
PROBE_SPREAD = (0.5, 1.5)
# How long a router's part of a limit is used before it is computed anew.
SHARE_TTL_MS = 1_000
# How long to wait while this router doesn't know the others.
UNKNOWN_SHARE_WAIT_MS = 1_000


class RateLimiter:
    """The rate limit of one target.  Times are in ms of the clock.

    `get_share(key, max_count)` returns this router's `router_list.Share` if at
    most `max_count` routers have a part, or None while that isn't known.  The
    fleet may save up what the limit allows in `burst_s` seconds.
    """

    __slots__ = (
        'limit_per_s',
        '_key',
        '_get_share',
        '_burst_s',
        '_named_at',
        '_share',
        '_shared_at',
        '_bucket',
        '_probe_at',
    )

    def __init__(self, key, get_share, burst_s=BURST_S):
        # None while the target names no limit.
        self.limit_per_s = None
        self._key = key
        self._get_share = get_share
        self._burst_s = burst_s
        # When the target last named the limit.
        self._named_at = 0
        self._share = None
        self._shared_at = None
        # What this router may send, if it has a part of the limit.
        self._bucket = None
        # From when on it may send a probe, if it has none.
        self._probe_at = None

    def record(self, limit_per_s, sent_at, now):
        """Record the limit that a response names, None if it names none.

        `sent_at` is when the request was sent, 0 if unknown.  Responses may
        overtake each other, so the response to a request that was sent before
        the limit was last named can't raise or end it.  Returns whether the
        limit changed.
        """
        if _is_higher(limit_per_s, self.limit_per_s) and (
            sent_at < self._named_at
        ):
            return False
        if limit_per_s is not None:
            self._named_at = now
        if limit_per_s == self.limit_per_s:
            return False
        self.limit_per_s = limit_per_s
        self._shared_at = None
        if limit_per_s is None:
            self._bucket = self._probe_at = None
        else:
            self._update(now)
        return True

    def has_room(self, now):
        """Return whether a request may be sent now."""
        if self.limit_per_s is None:
            return True
        self._update(now)
        if self._bucket is not None:
            return self._bucket.has_token(now)
        return self._probe_at is not None and self._probe_at <= now

    def take(self, now):
        """Count a request that is sent now."""
        if self.limit_per_s is None:
            return
        self._update(now)
        if self._bucket is not None:
            self._bucket.take(now)
        elif self._share is not None:
            self._schedule_probe(now)

    def wait_ms(self, now):
        """Return the time until a request may be sent, 0 if it may now."""
        if self.has_room(now):
            return 0
        if self._bucket is not None:
            return self._bucket.wait_ms()
        if self._probe_at is not None:
            return self._probe_at - now
        return UNKNOWN_SHARE_WAIT_MS

    def _update(self, now):
        """Bring this router's part of the limit up to date."""
        if self._shared_at is None or now - self._shared_at >= SHARE_TTL_MS:
            self._shared_at = now
            self._apply_share(now)
        is_expired = (
            self._probe_at is not None and now - self._probe_at >= PROBE_TTL_MS
        )
        if is_expired:
            self._schedule_probe(now)

    def _apply_share(self, now):
        burst = BURST_REQUESTS + self._burst_s * self.limit_per_s
        self._share = share = self._get_share(self._key, int(burst))
        if share is None or not share.has_part:
            self._bucket = None
            if share is not None and self._probe_at is None:
                self._schedule_probe(now)
            return
        self._probe_at = None
        rate_per_s = max(MIN_RATE_PER_S, DIVIDED_SHARE * self.limit_per_s)
        rate_per_s /= share.part_count
        burst /= share.part_count
        if self._bucket is None:
            # The target has only just said what it takes.
            self._bucket = limits.TokenBucket(rate_per_s, burst, now, level=0)
        else:
            self._bucket.change(rate_per_s, burst, now)

    def _schedule_probe(self, now):
        probing_count = self._share.router_count - self._share.part_count
        mean_ms = 1000 * probing_count / PROBE_RATE_PER_S
        self._probe_at = now + mean_ms * random.uniform(*PROBE_SPREAD)


def _is_higher(limit_per_s, other_per_s):
    """Compare two limits; None is none, the highest of all."""
    if other_per_s is None:
        return False
    return (math.inf if limit_per_s is None else limit_per_s) > other_per_s
