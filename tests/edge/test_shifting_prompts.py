"""Traffic that shifts between long prompts and short ones."""

import random
import unittest

from galenaspoke.edge import long_prompts
from galenaspoke.edge import placement
from tests.edge import base
from tests.edge import test_hot_engine

NOW = test_hot_engine.NOW
LONG_TOKENS = 40_000


def call(number, tokens):
    """Return a call whose prompt shares nothing with others."""
    return base.make_request_metadata(
        f'{number:x}', tokens - 100, shared_tokens=100
    )


class LongPromptsTest(unittest.TestCase):
    """Reading a long prompt makes the answers beside it pause."""

    def setUp(self):
        self.pool = test_hot_engine.pool(12)
        self.isolation = long_prompts.LongPromptIsolation()

    def homes(self, tokens, now=NOW, isolation=None, count=60):
        """Return where calls with so long prompts go."""
        return {
            placement.choose_target(
                call(number, tokens),
                self.pool,
                now,
                'a',
                isolation or self.isolation,
            ).entry.id
            for number in range(count)
        }

    def test_long_and_short_ones_meet_nowhere(self):
        long = self.homes(LONG_TOKENS)
        short = self.homes(1000)
        self.assertEqual(set(), long & short)
        self.assertEqual(12, len(long | short))

    def test_all_routers_set_the_same_engines_apart(self):
        here = self.homes(LONG_TOKENS)
        random.Random(1).shuffle(self.pool)
        self.assertEqual(
            here,
            self.homes(
                LONG_TOKENS, isolation=long_prompts.LongPromptIsolation()
            ),
        )

    def test_without_long_ones_all_engines_serve(self):
        self.assertEqual(12, len(self.homes(1000)))
        self.homes(LONG_TOKENS, count=1)
        self.assertEqual(9, len(self.homes(1000)))
        later = NOW + long_prompts.KEPT_MS + 1
        self.assertEqual(12, len(self.homes(1000, later)))

    def test_long_one_goes_where_it_is_read_first(self):
        first = self.homes(LONG_TOKENS, count=1)
        busy = next(t for t in self.pool if t.entry.id in first)
        busy.wait_estimator.record_sent('x', NOW, call(99, LONG_TOKENS))
        self.assertNotEqual(first, self.homes(LONG_TOKENS, count=1))

    def test_sick_engines_are_no_reason_to_wait(self):
        apart = self.homes(LONG_TOKENS)
        for target in self.pool:
            if target.entry.id in apart:
                target.health.record_failure(NOW)
                target.health.record_failure(NOW)
        others = self.homes(LONG_TOKENS)
        self.assertEqual(set(), apart & others)

    def test_few_engines_are_for_all(self):
        self.pool = self.pool[: long_prompts.LEAST_TARGETS - 1]
        self.homes(LONG_TOKENS)
        self.assertEqual(3, len(self.homes(1000)))
