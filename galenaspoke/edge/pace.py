"""How fast model engines generate, learnt from the streams that they send.

Engines of one service differ in speed, and some slow down under load.  The
time between two events of a stream shows it at once, whatever the request.

Example::

    target.pace.record_interval(38)
    compute_slowness(targets)     # {target: 1.0, slower_target: 1.6}
"""

import statistics

# The weight of an interval halves after this many further ones.
HALF_LIFE_INTERVALS = 32
# Intervals that are needed to judge a target.
MIN_INTERVALS = 16
# A target becomes slow once its intervals are this many times the median, and
# is slow until they are fewer times.  Each change moves prompts to other
# targets, which read them again.
SLOW_RATIO = 1.35
RECOVERED_RATIO = 1.2
# What a slow target gets of its share.
SLOW_WEIGHT = 0.3

_DECAY = 0.5 ** (1 / HALF_LIFE_INTERVALS)


class Pace:
    """The time between events of one target's streams.

    `interval_ms` is a decaying average, None until MIN_INTERVALS are known.
    """

    __slots__ = ('is_slow', '_average_ms', '_count')

    def __init__(self):
        # What `compute_slowness` found last.
        self.is_slow = False
        self._average_ms = 0.0
        self._count = 0

    @property
    def interval_ms(self):
        return self._average_ms if self._count >= MIN_INTERVALS else None

    def record_interval(self, ms):
        """Record the time between two events of a stream."""
        self._count += 1
        # The first few intervals all have the same weight.
        decay = min(_DECAY, 1 - 1 / self._count)
        self._average_ms = decay * self._average_ms + (1 - decay) * ms


def compute_slowness(targets):
    """Return how many times slower each target is than the median.

    It is 1.0 for a target that isn't slow, or isn't known well enough.
    """
    known = [
        target.pace.interval_ms
        for target in targets
        if target.pace.interval_ms is not None
    ]
    median_ms = max(1.0, statistics.median(known)) if known else None
    return {target: _update(target.pace, median_ms) for target in targets}


def _update(pace, median_ms):
    """Decide whether a target is slow; return its slowness."""
    if pace.interval_ms is None:
        return 1.0
    ratio = pace.interval_ms / median_ms
    limit = RECOVERED_RATIO if pace.is_slow else SLOW_RATIO
    pace.is_slow = ratio > limit
    return ratio if pace.is_slow else 1.0


def compute_weight(slowness):
    """Return the share of requests for a target, 1.0 if it isn't slow."""
    return SLOW_WEIGHT if slowness > 1 else 1.0
