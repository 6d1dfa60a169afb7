"""The project's one clock, in whole milliseconds.

Only differences of `now` are meaningful, and only inside one process.  No
decision about money or about running a request once depends on a clock;
clocks decide when to try again, when to give up and what to forget.
"""

import time


class Clock:
    """Tells the time in milliseconds.

    Tests pass a `ManualClock` instead::

        clock = ManualClock(1000)
        clock.advance(250)
        assert clock.now() == 1250
    """

    __slots__ = ()

    def now(self):
        """Return milliseconds of a clock that never goes back."""
        return time.monotonic_ns() // 1_000_000

    def wall(self):
        """Return milliseconds since 1970, for people and identifiers."""
        return time.time_ns() // 1_000_000


class ManualClock(Clock):
    """A clock that moves only when told to."""

    __slots__ = ('_now',)

    def __init__(self, now=0):
        self._now = now

    def now(self):
        return self._now

    def wall(self):
        return self._now

    def advance(self, ms):
        """Move the clock forward by `ms` milliseconds."""
        self._now += ms
