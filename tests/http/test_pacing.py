"""Readers of one peer that would keep the process from serving others."""

import time
import unittest

import gevent

from galenaspoke.http import pacing
from tests.edge import base

# Above the share of a window, and bytes above what a window may bring.
MUCH_S = 2 * pacing.MAX_SHARE * pacing.WINDOW_S
MANY_BYTES = 2 * pacing.MAX_WINDOW_BYTES


class PacerTest(unittest.TestCase):
    """When readers are paced."""

    def setUp(self):
        self.pacer = pacing.Pacer()

    def record(self, spent_s, received_bytes):
        """Record work that is done now."""
        self.pacer.record(spent_s, received_bytes, time.monotonic())

    # Guards against pauses for a sound target of a slow router.
    def test_few_bytes(self):
        self.record(MUCH_S, pacing.MAX_WINDOW_BYTES)
        self.assertFalse(self.pacer.is_pacing())

    # Guards against pauses for large bodies, which take little time.
    def test_little_time(self):
        self.record(pacing.MAX_SHARE * pacing.WINDOW_S / 2, MANY_BYTES)
        self.assertFalse(self.pacer.is_pacing())

    # Guards against readers that take the whole processor.
    def test_much_of_both(self):
        self.record(MUCH_S, MANY_BYTES)
        self.assertTrue(self.pacer.is_pacing())

    # Guards against a sum over a longer time than a window.
    def test_windows(self):
        for number in range(20):
            now = time.monotonic() - 100 + 2 * number * pacing.WINDOW_S
            self.pacer.record(MUCH_S / 4, MANY_BYTES / 4, now)
        self.assertFalse(self.pacer.is_pacing())

    # Guards against pauses while nobody else has anything to do.
    def test_idle_process(self):
        self.record(MUCH_S, MANY_BYTES)
        began = time.monotonic()
        self.pacer.wait()
        self.assertLess(time.monotonic() - began, MUCH_S)

    # Guards against readers that take the whole processor.
    def test_busy_process(self):
        self.record(0.3, MANY_BYTES)
        busy = gevent.spawn(self.keep_busy)
        self.addCleanup(busy.kill)
        began = time.monotonic()
        self.pacer.wait()
        self.assertGreaterEqual(time.monotonic() - began, 0.5)

    # Guards against readers that begin their turns together.
    def test_one_turn_at_a_time(self):
        busy = gevent.spawn(self.keep_busy)
        self.addCleanup(busy.kill)
        ends = []

        def read():
            self.pacer.wait()
            self.record(0.03, 1)
            ends.append(time.monotonic())

        gevent.joinall([gevent.spawn(read) for _ in range(4)])
        pauses = [after - before for before, after in zip(ends, ends[1:])]
        self.assertGreater(min(pauses), 0.06)

    def keep_busy(self):
        """Keep the processor from others, as other greenlets would."""
        while True:
            base.stall(2 * pacing.BUSY_S)
            gevent.sleep(0)


if __name__ == '__main__':
    unittest.main()
