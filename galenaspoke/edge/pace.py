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
# A target is slow if its intervals are this many times the median.
SLOW_RATIO = 1.2
# By how much slow targets get less than their share: the power of the ratio.
WEIGHT_EXPONENT = 3

_DECAY = 0.5 ** (1 / HALF_LIFE_INTERVALS)


class Pace:
    """The time between events of one target's streams.

    `interval_ms` is a decaying average, None until MIN_INTERVALS are known.
    """

    __slots__ = ('_average_ms', '_count')

    def __init__(self):
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
    intervals = {target: target.pace.interval_ms for target in targets}
    known = [ms for ms in intervals.values() if ms is not None]
    if not known:
        return dict.fromkeys(targets, 1.0)
    limit = SLOW_RATIO * max(1.0, statistics.median(known))
    return {
        target: (
            SLOW_RATIO * ms / limit if ms is not None and ms > limit else 1.0
        )
        for target, ms in intervals.items()
    }


def compute_weight(slowness):
    """Return the share of requests for a target, 1.0 if it isn't slow."""
    return slowness**-WEIGHT_EXPONENT
