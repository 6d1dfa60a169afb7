"""The pace at which a target sends the events of a stream.

It shows the target's speed, hardly its load: prompts that are read beside a
stream delay some of its events, and the lower quartile leaves these out.

Example::

    pace = Pace()
    pace.record([1000, 1040, 1080, 1120, 1160, 1200, 1240, 1280, 1320])
    pace.event_ms     # 40.0
"""

# Gaps that are averaged: events that a network delivers together have gaps of
# nearly 0.
WINDOW_GAPS = 4
# A stream with fewer events says too little.
MIN_EVENTS = 9
# The weight of the latest stream.
LATEST_WEIGHT = 0.25


class Pace:
    """The mean pace of one target's recent streams.

    `own_ms` is the time from one event to the next while the target is little
    loaded, None while no stream has told it.
    """

    __slots__ = ('own_ms', '_shared_ms')

    def __init__(self):
        self.own_ms = None
        # The same as other routers say.
        self._shared_ms = None

    @property
    def event_ms(self):
        """The pace as seen here, else as others say, else None."""
        return self._shared_ms if self.own_ms is None else self.own_ms

    def record(self, times):
        """Record the times in ms at which the events of a stream came."""
        if len(times) < MIN_EVENTS:
            return
        self.own_ms = _move_towards(self.own_ms, measure(times))

    def record_shared(self, event_ms):
        """Record the pace that another router has seen."""
        self._shared_ms = _move_towards(self._shared_ms, event_ms)


def _move_towards(mean, latest):
    """Return a mean with the latest value; `mean` is None at first."""
    if mean is None:
        return latest
    return mean + LATEST_WEIGHT * (latest - mean)


def measure(times):
    """Return the lower quartile of the mean of WINDOW_GAPS gaps, in ms."""
    means = sorted(
        (end - begin) / WINDOW_GAPS
        for begin, end in zip(times, times[WINDOW_GAPS:])
    )
    return means[len(means) // 4]
