"""Turns for greenlets that have much to read, so that others are served.

Each greenlet may work for a little while.  One that has more to do waits for
its turn.  Only one of them has the turn at a time, and lets others run for
longer than it has worked, so that all of them together leave most of the
processor to the rest.

Example::

    work = turns.Work(turns.Turns())
    started_at = time.monotonic()
    parser.feed(data)
    work.record(time.monotonic() - started_at)     # may wait
"""

import time

import gevent
from gevent import lock

# How long a greenlet may work before it waits for its turn.
SLICE_S = 0.002
# The share of the time that a greenlet may work without ever waiting.
FREE_SHARE = 0.005
# What takes longer was mostly the work of other processes.
MAX_SPENT_S = 0.01
# How much longer than it has worked a greenlet lets others run.
PAUSE_FACTOR = 2


class Turns:
    """Lets greenlets that work much pause one after another."""

    __slots__ = ('_lock',)

    def __init__(self):
        self._lock = lock.BoundedSemaphore(1)

    def wait(self, spent_s):
        """Wait for the turn of a greenlet that has worked for `spent_s`."""
        with self._lock:
            gevent.sleep(PAUSE_FACTOR * min(spent_s, MAX_SPENT_S))


class Work:
    """How much one greenlet has worked since it last waited for a turn."""

    __slots__ = ('_turns', '_spent_s', '_recorded_at')

    def __init__(self, turns):
        self._turns = turns
        self._spent_s = 0
        # By the monotonic clock, in s.
        self._recorded_at = time.monotonic()

    def begin(self):
        """Begin a task that doesn't have to wait at first."""
        self._spent_s = 0

    def record(self, spent_s):
        """Record work; wait for a turn if it becomes too much."""
        now = time.monotonic()
        free_s = FREE_SHARE * (now - self._recorded_at)
        self._recorded_at = now
        self._spent_s = max(0, self._spent_s - free_s) + spent_s
        if self._spent_s > SLICE_S:
            spent_s, self._spent_s = self._spent_s, 0
            self._turns.wait(spent_s)


# Those of the callers of this process.
caller_turns = Turns()
