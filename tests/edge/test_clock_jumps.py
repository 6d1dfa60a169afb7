"""Jumps of the wall clock: no decision may depend on the time of day."""

import os
import unittest
from unittest import mock

from galenaspoke.core import clock
from galenaspoke.edge import journal
from tests.edge import fleets

JUMPS_NS = (0, 7_200_000_000_000, -7_200_000_000_000)


class ClockJumpTest(unittest.TestCase):
    """The same decisions are made whatever the time of day is."""

    def spend(self, jump_ns):
        """Return a fleet's decisions while the time of day jumps."""
        fleet = fleets.Fleet(10_000)
        for name in 'ab':
            fleet.start(name)
        with mock.patch('time.time_ns', return_value=10**18 + jump_ns):
            with mock.patch('time.time', return_value=10**9 + jump_ns / 1e9):
                decisions = [
                    fleet.serve(name, 900, 800) for name in 'abababababab'
                ]
                fleet.managers['b']._rebalance(fleets.BUDGET)
        return (
            decisions,
            fleet.page().entries[fleets.BUDGET].committed_tokens(),
        )

    def test_budget_decisions(self):
        results = [self.spend(jump) for jump in JUMPS_NS]
        self.assertEqual([results[0]] * 3, results)

    def test_monotonic_clock(self):
        monotonic = clock.Clock()
        before = monotonic.now()
        with mock.patch('time.time_ns', return_value=0):
            self.assertGreaterEqual(monotonic.now(), before)

    def test_log_rate_limit_uses_monotonic_clock(self):
        monotonic = JumpingClock(1000)
        read_fd, write_fd = os.pipe()
        self.addCleanup(os.close, read_fd)
        self.addCleanup(os.close, write_fd)
        log = journal.Journal(monotonic, write_fd)
        for number in range(2 * journal.BURST_LINES):
            monotonic.jump_ms = number * 60_000 * (-1) ** number
            log.note('x')
        self.assertEqual(journal.BURST_LINES, log.dropped_lines)


class JumpingClock(clock.ManualClock):
    """A clock whose wall time jumps while its monotonic time stands still."""

    __slots__ = ('jump_ms',)

    def wall(self):
        """Return the time of day."""
        return super().wall() + self.jump_ms
