"""The clock used by the whole project, in whole milliseconds.

Only differences between values of `now` are meaningful, and only within one
process.  Neither the accounting of tokens nor the guarantee that a request
runs at most once depends on a clock.  Clocks only determine retries, timeouts
and the expiry of records.
"""

import time


class Clock:
    """The system clock, in milliseconds.

    Tests use a `ManualClock` instead::

        clock = ManualClock(1000)
        clock.advance(250)
        assert clock.now() == 1250
    """

    __slots__ = ()

    def now(self):
        """Return the milliseconds of a monotonic clock."""
        return time.monotonic_ns() // 1_000_000

    def wall(self):
        """Return milliseconds since 1970, for logs and identifiers."""
        return time.time_ns() // 1_000_000


class ManualClock(Clock):
    """A clock that moves only when `advance` is called."""

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
