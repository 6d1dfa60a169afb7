"""Draws that a copy of the store may lack, and the memory they take."""

import tracemalloc
import unittest

from galenaspoke.core import durability
from galenaspoke.edge.money import volatile_draws
from tests.edge import base
from tests.edge import era_fleets
from tests.edge import fleets

BUDGET = fleets.BUDGET
LIMIT = 10**9
TOKENS = 4_000
DRAW_COUNT = 1_000
INTERVAL_MS = 1_000
# The draws of a COPY_AGE_MS, and some that no call has confirmed yet.
MOST_KEPT_DRAWS = durability.COPY_AGE_MS // INTERVAL_MS + 4
MOST_KEPT_BYTES = 10_000


class FakeStore:
    """A store that answers every call at once, with or without its era."""

    def __init__(self, has_eras):
        self.has_eras = has_eras
        self.confirmed_at = None


class MemoryTest(unittest.TestCase):
    """A budget of which its router draws each second."""

    def draw(self, has_eras):
        """Return the VolatileDraws and its FakeStore after many draws."""
        self.clock = base.make_manual_clock()
        store = FakeStore(has_eras)
        draws = volatile_draws.VolatileDraws(self.clock, store)
        for _ in range(DRAW_COUNT):
            self.clock.advance(INTERVAL_MS)
            store.confirmed_at = self.clock.now()
            draws.record_draw(BUDGET, TOKENS)
        return draws, store

    def measure(self, has_eras):
        """Return the memory in bytes that many draws hold."""
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        before = tracemalloc.get_traced_memory()[0]
        self.draws, _ = self.draw(has_eras)
        return tracemalloc.get_traced_memory()[0] - before

    # Guards against all draws of a process in memory, which each further draw
    # reads, where the store states no era.
    def test_store_without_eras(self):
        self.assertLess(self.measure(has_eras=False), MOST_KEPT_BYTES)
        self.assertEqual(0, self.draws.get_volatile(BUDGET))

    # The same where pages aren't written between draws.
    def test_store_with_eras(self):
        self.assertLess(self.measure(has_eras=True), MOST_KEPT_BYTES)

    # Guards against tokens that a copy may lack and that count as durable,
    # where a store begins to state its era.
    def test_store_that_begins_to_state_its_era(self):
        draws, store = self.draw(has_eras=False)
        store.has_eras = True
        recent = durability.COPY_AGE_MS // INTERVAL_MS
        self.assertEqual(recent * TOKENS, draws.get_volatile(BUDGET))
        draws.begin_era()
        self.clock.advance(2 * durability.COPY_AGE_MS)
        store.confirmed_at = self.clock.now()
        self.assertEqual(recent * TOKENS, draws.get_volatile(BUDGET))
        draws.record_draw(BUDGET, TOKENS)
        self.assertEqual((recent + 1) * TOKENS, draws.get_volatile(BUDGET))

    # Guards against draws that no answer of the platform's store confirms.
    def test_router_whose_store_states_no_era(self):
        fleet = era_fleets.Fleet(LIMIT, names=('a',), era=None)
        self.addCleanup(fleet.stop)
        fleet.pass_time(INTERVAL_MS)
        client = fleet.routers['a'].manager._ledger_client
        for _ in range(3 * MOST_KEPT_DRAWS):
            client._book.get_balance(BUDGET).waiting_tokens += TOKENS
            client.draw(BUDGET).result.get()
            fleet.clock.advance(INTERVAL_MS)
        kept = client._draws._draws[BUDGET]
        self.assertGreater(len(kept), 0)
        self.assertLess(len(kept), MOST_KEPT_DRAWS)
