"""The time of day jumps forward and back; nothing may depend on it."""

import os
import unittest
from unittest import mock

from galenaspoke.core import clock
from galenaspoke.edge import journal
from tests.edge import fleets

JUMPS_NS = (0, 7_200_000_000_000, -7_200_000_000_000)


class JumpTest(unittest.TestCase):
    """Whatever the time of day says, the same is decided."""

    def spend(self, jump_ns):
        """Return what a fleet decides while the time of day jumps."""
        fleet = fleets.Fleet(10_000)
        for name in 'ab':
            fleet.start(name)
        with mock.patch('time.time_ns', return_value=10**18 + jump_ns):
            with mock.patch('time.time', return_value=10**9 + jump_ns / 1e9):
                found = [
                    fleet.serve(name, 900, 800) for name in 'abababababab'
                ]
                fleet.managers['b']._rebalance(fleets.BUDGET)
        return found, fleet.page().entries[fleets.BUDGET].committed_tokens()

    def test_money(self):
        found = [self.spend(jump) for jump in JUMPS_NS]
        self.assertEqual([found[0]] * 3, found)

    def test_clock(self):
        steady = clock.Clock()
        before = steady.now()
        with mock.patch('time.time_ns', return_value=0):
            self.assertGreaterEqual(steady.now(), before)

    def test_lines_are_shed_by_the_steady_clock(self):
        steady = JumpingClock(1000)
        out, into = os.pipe()
        self.addCleanup(os.close, out)
        self.addCleanup(os.close, into)
        written = journal.Journal(steady, into)
        for number in range(2 * journal.BURST):
            steady.jump_ms = number * 60_000 * (-1) ** number
            written.note('x')
        self.assertEqual(journal.BURST, written.shed)


class JumpingClock(clock.ManualClock):
    """Stands still, while its time of day jumps."""

    __slots__ = ('jump_ms',)

    def wall(self):
        """Return the time of day."""
        return super().wall() + self.jump_ms
