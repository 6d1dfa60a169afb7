"""Targets in need that name how many requests a second they take.

The limit is for all routers together, which don't ask each other: each has to
know its part.  What one target doesn't take goes to the others.
"""

import unittest

from tests.edge import base
from tests.edge import limited_fleets

LIMIT_PER_S = 2.0
# Half of the requests come to one router.
UNEVEN = (5, 2, 1, 1, 1)


class LimitTest(unittest.TestCase):
    """Fleets of several sizes before one limited target and two others."""

    def setUp(self):
        self.clock = base.make_manual_clock()
        self.limited = limited_fleets.LimitedEngine(self.clock, LIMIT_PER_S)
        self.engines = {
            'a': self.limited,
            'b': limited_fleets.LimitedEngine(self.clock),
            'c': limited_fleets.LimitedEngine(self.clock),
        }

    def make_fleet(self, count):
        """Return a fleet of some routers before the engines."""
        fleet = limited_fleets.LimitedFleet(self.clock, count, self.engines)
        self.addCleanup(fleet.close)
        return fleet

    def check_limit(self, limit_per_s=LIMIT_PER_S, since=None):
        """Check the users' rule at the limited target."""
        self.assertLessEqual(
            self.limited.most_in_window(since),
            limited_fleets.allowed_in_window(limit_per_s),
        )

    # Guards against a router that sends to a target as if it had named no
    # limit: 40 requests in 4 s where 17 are allowed.
    def test_one_router_keeps_the_limit(self):
        fleet = self.make_fleet(1)
        fleet.send_for(12_000, per_s=10)
        self.check_limit()
        self.assertEqual({200: 120}, fleet.statuses)

    # Guards against routers that each keep the whole limit by themselves, so
    # that the target gets it as many times as there are routers.
    def test_routers_divide_the_limit(self):
        fleet = self.make_fleet(5)
        fleet.send_for(20_000, per_s=50, weights=UNEVEN)
        self.check_limit()
        self.assertEqual({200: 1000}, fleet.statuses)
