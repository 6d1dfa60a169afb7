"""Limits the processor time that the readers of one peer take.

A peer that sends more than a sound one does, to many readers, would keep the
process from serving others.  Its readers then take turns, each a short one,
and pause between them while others wait for the processor.

Example::

    pacer = Pacer()
    pacer.record(spent_s=0.004, received_bytes=65_536, now_s=time.monotonic())
    pacer.wait()      # returns at once unless the peer's readers are paced
"""

import time

import gevent
from gevent import lock

# Readers are paced if they took this share of the time, and read more than
# this many bytes, within one window.
MAX_SHARE = 0.3
MAX_WINDOW_BYTES = 262_144
WINDOW_S = 1.0
# How long they are paced then.
PACED_S = 2.0
# Others wait for the processor if they keep it for this long.
BUSY_S = 0.005


class Pacer:
    """The processor time that all readers of one peer take."""

    __slots__ = (
        '_window_began_at',
        '_spent_s',
        '_received_bytes',
        '_paced_until',
        '_next_turn_at',
        '_turn',
    )

    def __init__(self):
        # All times are on the monotonic clock in s.
        self._window_began_at = 0.0
        # What was spent and read in this window.
        self._spent_s = 0.0
        self._received_bytes = 0
        self._paced_until = 0.0
        # When the next turn may begin while others are busy.
        self._next_turn_at = 0.0
        self._turn = lock.BoundedSemaphore(1)

    def record(self, spent_s, received_bytes, now_s):
        """Record that a reader spent time on what it had received."""
        if now_s - self._window_began_at > WINDOW_S:
            self._window_began_at = now_s
            self._spent_s = 0.0
            self._received_bytes = 0
        self._spent_s += spent_s
        self._received_bytes += received_bytes
        if (
            self._spent_s > MAX_SHARE * WINDOW_S
            and self._received_bytes > MAX_WINDOW_BYTES
        ):
            self._paced_until = now_s + PACED_S
        pause_s = spent_s * (1 / MAX_SHARE - 1)
        self._next_turn_at = max(self._next_turn_at, now_s) + pause_s

    def is_pacing(self):
        """Return whether readers are paced now."""
        return time.monotonic() < self._paced_until

    def wait(self):
        """Wait for the next turn."""
        with self._turn:
            began_at = time.monotonic()
            gevent.sleep(0)
            now = time.monotonic()
            if now - began_at >= BUSY_S and now < self._next_turn_at:
                gevent.sleep(self._next_turn_at - now)
