"""Many failures at once: the fleet's retry budget holds without messages."""

import unittest

import gevent

from galenaspoke.edge import retries
from galenaspoke.edge import fleet_size
from tests.edge import base
from tests import fakes

ROUTERS = 5
WINDOW_MS = 10_000


class RetryBudgetTest(unittest.TestCase):
    """Five routers, each with its part of one budget."""

    def setUp(self):
        self.clock = base.make_manual_clock()
        self.cfg = base.make_edge_settings()
        self.budgets = [
            retries.RetryBudget(self.cfg, self.clock, lambda: ROUTERS)
            for _ in range(ROUTERS)
        ]

    def test_every_request_fails(self):
        requests, repeats = [], []
        for _ in range(300):
            self.clock.advance(100)
            for budget in self.budgets:
                budget.record_request('desk')
                requests.append(self.clock.now())
                if budget.take('desk'):
                    repeats.append(self.clock.now())
        for begin in range(requests[0], requests[-1], 500):
            end = begin + WINDOW_MS
            seen = sum(begin <= at < end for at in repeats)
            before = begin - WINDOW_MS
            most = max(
                sum(begin <= at < end for at in requests),
                sum(before <= at < begin for at in requests),
            )
            allowed = self.cfg.retry_ratio * most + self.cfg.retry_slack
            self.assertLessEqual(seen, allowed)

    def test_services_don_t_share(self):
        budget = self.budgets[0]
        while budget.take('desk'):
            pass
        self.assertTrue(budget.take('pool'))

    def test_idle_time_restores(self):
        budget = self.budgets[0]
        while budget.take('desk'):
            pass
        self.clock.advance(WINDOW_MS)
        self.assertTrue(budget.take('desk'))


class RosterTest(unittest.TestCase):
    """How many routers divide the slack."""

    def setUp(self):
        self.store = fakes.FakeStore()
        self.rosters = {}
        for name in ('a', 'b', 'c'):
            self.enter(name)

    def enter(self, name):
        """Let a router enter itself, and count."""
        found = fleet_size.FleetSize(name, self.store, base.Recorder())
        task = gevent.spawn(found.run)
        gevent.sleep(0)
        task.kill()
        self.rosters[name] = found

    def test_counts_all(self):
        self.assertEqual(3, self.rosters['c'].get_router_count())

    def test_restarted_one_counts_once(self):
        self.enter('a')
        self.assertEqual(3, self.rosters['a'].get_router_count())

    def test_one_that_left(self):
        self.rosters['b'].unregister()
        self.enter('a')
        self.assertEqual(2, self.rosters['a'].get_router_count())

    def test_no_slack_while_the_count_is_unknown(self):
        self.store.down = True
        self.enter('d')
        self.assertEqual(0, self.rosters['d'].get_router_count())
        clock = base.make_manual_clock()
        budget = retries.RetryBudget(
            base.make_edge_settings(),
            clock,
            self.rosters['d'].get_router_count,
        )
        self.assertFalse(budget.take('desk'))
