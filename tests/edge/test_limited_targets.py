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


class FleetTestCase(unittest.TestCase):
    """A base class: one limited target and two others."""

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


class LimitTest(FleetTestCase):
    """Fleets of several sizes whose routers come and go."""

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

    def test_limited_target_is_still_used(self):
        fleet = self.make_fleet(5)
        fleet.send_for(20_000, per_s=50, weights=UNEVEN)
        used = self.limited.count_since(self.limited.named_at + 4_000)
        self.assertGreaterEqual(used, LIMIT_PER_S * 16 / 2)

    def test_more_routers_than_requests(self):
        for limit_per_s in (0.5, LIMIT_PER_S, 10.0):
            self.limited.limit_per_s = limit_per_s
            fleet = self.make_fleet(27)
            self.limited.named_at = None
            fleet.send_for(30_000, per_s=50)
            self.check_limit(limit_per_s)
            self.assertEqual({200: 1500}, fleet.statuses)

    def test_burst_after_a_quiet_time(self):
        fleet = self.make_fleet(27)
        fleet.send_for(10_000, per_s=50)
        for _ in range(5):
            self.clock.advance(300_000)
            fleet.send_for(2_000, per_s=500)
        self.check_limit()

    def test_routers_that_join(self):
        fleet = self.make_fleet(5)
        fleet.send_for(10_000, per_s=50)
        for number in range(5):
            fleet.start(f'new-{number}')
            fleet.send_for(2_000, per_s=50)
        # The first five have not read the list since.
        fleet.send_for(10_000, per_s=50)
        fleet.read_lists()
        fleet.send_for(10_000, per_s=50)
        self.check_limit()

    def test_routers_that_leave_or_crash(self):
        fleet = self.make_fleet(5)
        fleet.send_for(10_000, per_s=50)
        fleet.members['front-0'].unregister()
        for name in ('front-0', 'front-1'):
            del fleet.desks[name]
        fleet.read_list('front-2')
        fleet.send_for(20_000, per_s=50)
        self.check_limit()

    def test_routers_that_restart(self):
        fleet = self.make_fleet(5)
        fleet.send_for(10_000, per_s=50)
        for number in range(5):
            fleet.start(f'front-{number}')
            fleet.send_for(2_000, per_s=50)
        self.check_limit()

    def test_router_that_has_not_read_the_list(self):
        fleet = self.make_fleet(5)
        fleet.store.down = True
        fleet.start('new')
        fleet.send_for(10_000, per_s=50)
        told_at = self.limited.told_at['new']
        late = [
            at
            for at, name in self.limited.arrivals
            if name == 'new' and at > told_at
        ]
        self.assertEqual([], late)
        self.assertEqual({200: 500}, fleet.statuses)

    def test_freeze_saves_up_no_more_than_a_burst(self):
        fleet = self.make_fleet(5)
        fleet.send_for(10_000, per_s=50)
        self.clock.advance(60_000)
        fleet.send_for(10_000, per_s=50)
        self.check_limit()


class ChangingLimitTest(FleetTestCase):
    """Limits that are raised, lowered, withdrawn, zero, or no numbers."""

    def test_raised(self):
        fleet = self.make_fleet(5)
        fleet.send_for(10_000, per_s=50)
        self.limited.limit_per_s = 10.0
        fleet.send_for(10_000, per_s=50)
        raised_at = self.clock.now()
        fleet.send_for(10_000, per_s=50)
        self.assertGreaterEqual(self.limited.count_since(raised_at), 50)
        self.check_limit(10.0)

    def test_lowered(self):
        self.limited.limit_per_s = 10.0
        fleet = self.make_fleet(5)
        fleet.send_for(10_000, per_s=50)
        self.limited.limit_per_s = 1.0
        lowered_at = self.clock.now()
        fleet.send_for(20_000, per_s=50)
        self.check_limit(10.0)
        self.check_limit(1.0, since=lowered_at + limited_fleets.STABLE_MS)

    def test_withdrawn(self):
        for limit_per_s in (LIMIT_PER_S, 0.0):
            self.limited.limit_per_s = limit_per_s
            fleet = self.make_fleet(5)
            fleet.send_for(10_000, per_s=50)
            self.limited.limit_per_s = None
            fleet.send_for(60_000, per_s=50)
            withdrawn_at = self.clock.now()
            fleet.send_for(10_000, per_s=50)
            self.assertGreaterEqual(self.limited.count_since(withdrawn_at), 90)

    def test_zero(self):
        self.limited.limit_per_s = 0.0
        self.limited.turns_away = True
        fleet = self.make_fleet(5)
        fleet.send_for(60_000, per_s=50)
        self.check_limit(0.0)
        self.assertEqual({200: 3000}, fleet.statuses)

    def test_not_a_number(self):
        fleet = self.make_fleet(1)
        fleet.send_for(4_000, per_s=10)
        self.limited.limit_per_s = float('nan')
        fleet.send_for(8_000, per_s=10)
        self.check_limit(LIMIT_PER_S)


class RefusedByLimitTest(unittest.TestCase):
    """What callers and the target's health see of a limit."""

    def setUp(self):
        self.clock = base.make_manual_clock()
        self.engine = limited_fleets.LimitedEngine(self.clock, LIMIT_PER_S)
        self.fleet = limited_fleets.LimitedFleet(
            self.clock, 1, {'a': self.engine}
        )
        self.addCleanup(self.fleet.close)
        self.fleet.send('front-0')

    def test_refused_at_once_and_told_when_to_return(self):
        caller = self.fleet.send('front-0')
        self.assertEqual(503, caller.status)
        self.assertEqual(1, len(self.engine.arrivals))
        self.assertGreaterEqual(caller.retry_after_ms(), 500)
        self.assertLess(caller.retry_after_ms(), 2_000)
        self.clock.advance(caller.retry_after_ms())
        self.assertEqual(200, self.fleet.send('front-0').status)

    def test_is_no_failure_of_the_target(self):
        for _ in range(20):
            self.fleet.send('front-0')
        health = self.fleet.desks['front-0'].targets['a'].health
        self.assertEqual(0, health.failure_share)
        self.assertTrue(health.is_available(self.clock.now()))

    def test_all_targets_limited_serve_what_they_take(self):
        other = limited_fleets.LimitedEngine(self.clock, LIMIT_PER_S)
        fleet = limited_fleets.LimitedFleet(
            self.clock, 5, {'a': self.engine, 'b': other}
        )
        self.addCleanup(fleet.close)
        fleet.send_for(30_000, per_s=50)
        for engine in (self.engine, other):
            self.assertLessEqual(
                engine.most_in_window(),
                limited_fleets.allowed_in_window(LIMIT_PER_S),
            )
        self.assertGreaterEqual(fleet.statuses[200], 30 * LIMIT_PER_S)
