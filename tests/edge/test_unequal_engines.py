"""Unequal engines: some of a service generate much slower than the others.

Guards against giving them the same share, and long prompts, whose reading
pauses all streams of an engine beyond what callers tolerate.
"""

import collections
import unittest

from galenaspoke.edge import long_prompts
from galenaspoke.edge import pace
from galenaspoke.edge import placement
from galenaspoke.edge import rendezvous
from tests.edge import base
from tests.edge import test_hot_engine

NOW = 1_000_000
NO_ISOLATION = long_prompts.LongPromptIsolation()
COUNT = 48


def make_targets(slow_count=12, ratio=1.6, interval_ms=36):
    """Return targets, the first ones slower, that have sent some events."""
    targets = test_hot_engine.make_targets(COUNT)
    for number, target in enumerate(targets):
        factor = ratio if number < slow_count else 1
        for _ in range(pace.MIN_INTERVALS):
            target.pace.record_interval(factor * interval_ms)
    return targets


class SlownessTest(unittest.TestCase):
    """Which targets count as slow."""

    def test_slow_targets(self):
        slowness = pace.compute_slowness(make_targets(ratio=1.5))
        self.assertEqual(
            [1.5] * 12 + [1.0] * 36,
            [round(ratio, 2) for ratio in slowness.values()],
        )

    def test_small_differences_do_not_count(self):
        slowness = pace.compute_slowness(make_targets(ratio=1.1))
        self.assertEqual({1.0}, set(slowness.values()))

    def test_target_stays_slow_until_it_has_clearly_recovered(self):
        targets = make_targets(ratio=1.4)
        self.assertGreater(pace.compute_slowness(targets)[targets[0]], 1)
        while targets[0].pace.interval_ms > 1.28 * 36:
            targets[0].pace.record_interval(36)
        self.assertGreater(pace.compute_slowness(targets)[targets[0]], 1)
        for _ in range(4 * pace.HALF_LIFE_INTERVALS):
            targets[0].pace.record_interval(36)
        self.assertEqual(1, pace.compute_slowness(targets)[targets[0]])

    def test_unknown_target_is_not_slow(self):
        targets = make_targets()
        targets[0].pace = pace.Pace()
        targets[0].pace.record_interval(5_000)
        self.assertEqual(1.0, pace.compute_slowness(targets)[targets[0]])

    def test_target_that_recovers(self):
        target = make_targets()[0]
        for _ in range(4 * pace.HALF_LIFE_INTERVALS):
            target.pace.record_interval(36)
        self.assertLess(target.pace.interval_ms, 38)


class ShareTest(unittest.TestCase):
    """What slow targets get."""

    def setUp(self):
        self.targets = make_targets()
        self.slow = self.targets[:12]

    def count(self, count=2_000, **options):
        """Return how many of so many prompts prefer a slow target."""
        found = collections.Counter()
        for number in range(count):
            metadata = base.make_request_metadata(f'{number}', **options)
            chosen = placement.choose_target(
                metadata, self.targets, NOW, 'a', NO_ISOLATION
            )
            found[chosen in self.slow] += 1
        return found[True] / count

    def test_share_follows_the_speed(self):
        # 12 of 48 targets, each with SLOW_WEIGHT.
        self.assertAlmostEqual(0.091, self.count(), delta=0.02)

    def test_equal_targets_have_equal_shares(self):
        self.targets = make_targets(ratio=1)
        self.slow = self.targets[:12]
        self.assertAlmostEqual(0.25, self.count(), delta=0.04)

    def test_other_prompts_stay_where_they_are(self):
        before = [
            rendezvous.rank_targets(f'{number}', self.targets)[0]
            for number in range(500)
        ]
        weights = {
            target: pace.compute_weight(ratio)
            for target, ratio in pace.compute_slowness(self.targets).items()
        }
        for number, target in enumerate(before):
            after = rendezvous.rank_targets(
                f'{number}', self.targets, weights
            )[0]
            self.assertTrue(after is target or target in self.slow)

    def test_long_prompts_avoid_slow_targets(self):
        isolation = long_prompts.LongPromptIsolation()
        metadata = base.make_request_metadata(own_tokens=60_000)
        weights = {
            target: pace.compute_weight(ratio)
            for target, ratio in pace.compute_slowness(self.targets).items()
        }
        selected = isolation.select_targets(
            metadata, self.targets, NOW, weights
        )
        self.assertEqual(12, len(selected))
        self.assertLessEqual(len(set(selected) & set(self.slow)), 2)
        chosen = placement.choose_target(
            metadata, self.targets, NOW, 'a', isolation
        )
        self.assertNotIn(chosen, self.slow)
