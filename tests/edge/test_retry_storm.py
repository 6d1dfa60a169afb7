"""Many failures at once: the fleet's retry budget holds without messages."""

import unittest

from galenaspoke.edge import retries
from tests.edge import base

ROUTERS = 5
WINDOW_MS = 10_000


class RetryBudgetTest(unittest.TestCase):
    """Five routers, each with its part of one budget."""

    def setUp(self):
        self.clock = base.manual_clock()
        self.cfg = base.edge_settings()
        self.budgets = [
            retries.RetryBudget(self.cfg, self.clock, lambda: ROUTERS)
            for _ in range(ROUTERS)
        ]

    def test_every_request_fails(self):
        requests, repeats = [], []
        for _ in range(300):
            self.clock.advance(100)
            for budget in self.budgets:
                budget.request('desk')
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
