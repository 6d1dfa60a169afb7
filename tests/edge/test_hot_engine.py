"""One engine that is slower, fuller or sicker than the others."""

import unittest

from galenaspoke.edge import health
from galenaspoke.edge import long_prompts
from galenaspoke.edge import placement
from galenaspoke.edge import ranking
from galenaspoke.edge import targets
from tests.edge import base

NOW = 1_000_000
# No prompt is long here.
NONE = long_prompts.LongPromptIsolation()


def pool(count=4, **options):
    """Return some targets."""
    return [
        targets.Target(base.make_target_entry(f'i-{number}', **options))
        for number in range(count)
    ]


class SharedPromptTest(unittest.TestCase):
    """Requests that share the front of a prompt."""

    def setUp(self):
        self.pool = pool()
        self.metadata = base.make_request_metadata()
        self.home = ranking.order('aa', self.pool)[0]

    def chosen(self):
        """Return the target of one more request."""
        return placement.choose_target(
            self.metadata, self.pool, NOW, 'a', NONE
        )

    def test_all_routers_choose_alike(self):
        self.assertIs(self.home, self.chosen())
        names = [
            target.entry.id
            for target in ranking.order('aa', reversed(self.pool))
        ]
        self.assertEqual(self.home.entry.id, names[0])

    def test_prompts_are_spread(self):
        homes = {
            ranking.order(f'{number}', self.pool)[0].entry.id
            for number in range(50)
        }
        self.assertEqual(4, len(homes))

    def test_stays_while_the_wait_is_borne(self):
        self.home.wait_estimator.record_sent('x', NOW - 100, self.metadata)
        self.assertIs(self.home, self.chosen())

    def test_leaves_an_engine_that_keeps_others_waiting(self):
        self.home.wait_estimator.record_sent('x', NOW - 900, self.metadata)
        self.assertIsNot(self.home, self.chosen())

    def test_leaves_an_engine_whose_last_answers_were_late(self):
        self.home.wait_estimator.record_sent('x', NOW - 2000, self.metadata)
        self.home.wait_estimator.record_first_event('x', NOW)
        self.assertIsNot(self.home, self.chosen())
        self.assertIs(
            self.home,
            placement.choose_target(
                self.metadata, self.pool, NOW + 5000, 'a', NONE
            ),
        )

    def test_stays_if_all_are_as_late(self):
        for target in self.pool:
            target.wait_estimator.record_sent('x', NOW - 900, self.metadata)
        self.assertIs(self.home, self.chosen())

    def test_parts_that_were_sent_need_no_reading(self):
        pressure = self.home.wait_estimator
        self.assertEqual(1100, pressure.unread(self.metadata, NOW))
        pressure.record_sent('x', NOW, self.metadata)
        self.assertEqual(100, pressure.unread(self.metadata, NOW))


class ApplicationTest(unittest.TestCase):
    """Requests that share nothing."""

    def test_least_loaded_for_its_slots(self):
        found = pool(2)
        found[0].in_flight = 1
        metadata = base.make_request_metadata()
        metadata = type(metadata)(request_id='1')
        self.assertIs(
            found[1], placement.choose_target(metadata, found, NOW, 'a', NONE)
        )


class HealthTest(unittest.TestCase):
    """Targets that fail get a rest, and another chance."""

    def test_two_failures_in_a_row(self):
        found = health.Health()
        self.assertFalse(found.record_failure(NOW))
        self.assertTrue(found.record_failure(NOW))
        self.assertFalse(found.usable(NOW))
        self.assertTrue(found.usable(NOW + health.FIRST_REST_MS))

    def test_each_rest_is_longer_up_to_a_bound(self):
        found = health.Health()
        now = NOW
        rests = []
        for _ in range(6):
            found.record_failure(now, certain=True)
            rests.append(found.rest_until - now)
            now = found.rest_until
        self.assertEqual(sorted(rests), rests)
        self.assertEqual(health.LONGEST_REST_MS, rests[-1])

    def test_success_forgives(self):
        found = health.Health()
        found.record_failure(NOW)
        found.record_success()
        self.assertFalse(found.record_failure(NOW))

    def test_none_is_left(self):
        found = pool(2)
        for target in found:
            target.health.record_failure(NOW, certain=True)
        self.assertEqual(found, placement.usable(found, NOW))
