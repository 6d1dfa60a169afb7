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

# A peer that sends without a pause lets other greenlets run after this much,
# or once what it sent has taken this long.
YIELD_BYTES = 1_048_576
YIELD_S = 0.005
# Readers are paced if they took this share of the time, and read more than
# this many bytes, within one window.
MAX_SHARE = 0.3
MAX_WINDOW_BYTES = 262_144
WINDOW_S = 1.0
# How long they are paced then.
PACED_S = 2.0
# The longest pause before a turn.
MAX_PAUSE_S = 1.0
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
        self._next_turn_at = min(
            max(self._next_turn_at, now_s) + pause_s, now_s + MAX_PAUSE_S
        )

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


class ReadTimer:
    """The time that the reader of one connection spends on what it reads.

    `pacer` is the Pacer of all readers of the peer, None if they aren't paced.
    """

    __slots__ = (
        '_pacer',
        '_unyielded_bytes',
        '_unyielded_s',
        '_received_at',
        '_received_bytes',
        '_parse_s',
        '_loop_iteration',
    )

    def __init__(self, pacer):
        self._pacer = pacer
        # Received since other greenlets could last run, and the time spent.
        self._unyielded_bytes = 0
        self._unyielded_s = 0.0
        # What came last: when, how much, how long it took to parse it, and in
        # which iteration of the event loop; None once it was recorded.
        self._received_at = 0.0
        self._received_bytes = 0
        self._parse_s = 0.0
        self._loop_iteration = None

    def begin(self, received_bytes, now_s):
        """Begin to work on what has just come."""
        self._received_at = now_s
        self._received_bytes = received_bytes
        self._loop_iteration = gevent.get_hub().loop.iteration

    def record_parsed(self):
        """Record that it was parsed; what follows may wait for others."""
        self._parse_s = time.monotonic() - self._received_at

    def give_way(self):
        """Let other greenlets run if this one has worked for a while.

        Call it before more is read.
        """
        now = time.monotonic()
        if gevent.get_hub().loop.iteration == self._loop_iteration:
            spent_s = now - self._received_at
        else:
            # It has waited since, so other greenlets ran.
            spent_s = self._parse_s
            self._unyielded_s = self._unyielded_bytes = 0
        received_bytes = self._received_bytes
        self._parse_s = self._received_bytes = 0
        self._loop_iteration = None
        self._unyielded_s += spent_s
        self._unyielded_bytes += received_bytes
        if self._pacer is not None:
            self._pacer.record(spent_s, received_bytes, now)
            if self._pacer.is_pacing():
                self._pacer.wait()
                return
        if (
            self._unyielded_s >= YIELD_S
            or self._unyielded_bytes >= YIELD_BYTES
        ):
            self._unyielded_s = self._unyielded_bytes = 0
            gevent.sleep(0)
