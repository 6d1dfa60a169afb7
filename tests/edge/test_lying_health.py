"""Targets that look well and fail, look ill and work, or come and go."""

import math
import unittest

from galenaspoke.edge import health
from galenaspoke.edge import placement
from galenaspoke.edge import ranking
from tests.edge import base
from tests.edge import test_hot_engine

NOW = test_hot_engine.NOW


class LyingHealthTest(unittest.TestCase):
    """Only what this router saw of a target counts."""

    def setUp(self):
        self.pool = test_hot_engine.pool(4)
        self.metadata = base.make_request_metadata()
        self.home = ranking.order('aa', self.pool)[0]

    def chosen(self, now=NOW, pool=None):
        """Return the target of one more request."""
        return placement.choose_target(
            self.metadata, pool or self.pool, now, 'a', test_hot_engine.NONE
        )

    def test_well_for_others_and_failing_here(self):
        for _ in range(health.FAILURES_IN_A_ROW):
            self.home.health.record_failure(NOW)
        self.assertIsNot(self.home, self.chosen())
        # Another router, for which it works, keeps it.
        there = test_hot_engine.pool(4)
        self.assertEqual(self.home.entry.id, self.chosen(pool=there).entry.id)

    def test_called_ill_but_working(self):
        self.home.health.record_failure(NOW)
        self.home.health.record_success()
        self.assertIs(self.home, self.chosen())

    def test_all_called_ill_are_tried_all_the_same(self):
        for target in self.pool:
            for _ in range(health.FAILURES_IN_A_ROW):
                target.health.record_failure(NOW)
        self.assertIs(self.home, self.chosen())

    def test_one_that_flaps_gets_little(self):
        tried = now = 0
        while now < 20_000:
            if self.home.health.usable(now):
                tried += 1
                self.home.health.record_failure(now)
            now += 50
        # One try a rest; a few before the rests have grown.
        rests = 20_000 / health.LONGEST_REST_MS
        grown = math.log2(health.LONGEST_REST_MS / health.FIRST_REST_MS)
        most = health.FAILURES_IN_A_ROW + math.ceil(grown) + rests
        self.assertLessEqual(tried, most)

    def test_one_that_is_gone_for_good_costs_one_try_a_rest(self):
        rests = []
        now = NOW
        for _ in range(6):
            self.assertTrue(self.home.health.record_failure(now, certain=True))
            rests.append(self.home.health.rest_until - now)
            now = self.home.health.rest_until
        self.assertEqual(health.LONGEST_REST_MS, rests[-1])
        self.assertEqual(sorted(rests), rests)
