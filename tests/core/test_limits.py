"""Tests for account limits, retry budgets, queue limits and routing."""

import unittest

from galenaspoke.core import limits
from galenaspoke.core import routing
from galenaspoke.core import schema


class LimitsTest(unittest.TestCase):
    """Limits at explicitly given times."""

    def test_bucket_refills(self):
        bucket = limits.TokenBucket(10, 2, 0)
        self.assertEqual(
            [True, True, False], [bucket.take(0) for _ in range(3)]
        )
        early = bucket.wait_ms() - 2
        self.assertFalse(bucket.take(early))
        self.assertTrue(bucket.take(early + bucket.wait_ms()))

    def test_concurrency_is_limited(self):
        policy = schema.Policy('p', rate_per_s=100, burst=9, concurrency=1)
        limit = limits.AccountLimit(policy, 0)
        self.assertEqual(0, limit.admit(0))
        self.assertGreater(limit.admit(0), 0)
        limit.release()
        self.assertEqual(0, limit.admit(0))

    def test_retries_are_a_share_of_requests(self):
        budget = limits.RetryBudget(20, max_saved=1)
        self.assertTrue(budget.take_retry())
        self.assertFalse(budget.take_retry())
        for _ in range(5):
            budget.record_request()
        self.assertTrue(budget.take_retry())
        self.assertFalse(budget.take_retry())

    def test_urgent_requests_may_fill_more_of_the_queue(self):
        limits_by_priority = [
            limits.queue_limit(40, priority) for priority in range(10)
        ]
        self.assertEqual(
            sorted(limits_by_priority, reverse=True), limits_by_priority
        )
        self.assertEqual(40, limits_by_priority[0])


class RoutingTest(unittest.TestCase):
    """The choice between the home and the less loaded of two targets."""

    def make_loads(self, **counts):
        """Return Loads with the given numbers of requests in flight."""
        found = {}
        for name, count in counts.items():
            found[name] = routing.Load()
            found[name].in_flight = count
        return found

    def test_home_is_preferred_until_overloaded(self):
        slack = routing.AFFINITY_SLACK
        loads = self.make_loads(a=slack, b=0)
        self.assertEqual('a', routing.prefer_home('a', loads))
        loads['a'].in_flight = slack + 1
        self.assertEqual('b', routing.prefer_home('a', loads))

    def test_report_excludes_own_requests(self):
        load = self.make_loads(a=3)['a']
        for _ in range(30):
            load.add_report(5)
        self.assertAlmostEqual(5, load.estimate(), places=3)

    def test_leaving_and_failed_targets_are_not_chosen(self):
        loads = self.make_loads(a=0, b=3, c=1)
        loads['a'].leaving = True
        loads['c'].failed = True
        for policy in ('affinity', 'least-loaded', 'round-robin', 'random'):
            choose = routing.make_placement_policy(policy)
            self.assertEqual('b', choose('a', loads))
        loads['b'].failed = True
        self.assertIsNone(routing.prefer_home('a', loads))
