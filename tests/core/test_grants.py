"""Tests for grant books: demand, reservations and the size of draws."""

import unittest

from galenaspoke.core import clock
from galenaspoke.core import grants

BUDGET = 'voucher-desk'


class DemandTest(unittest.TestCase):
    """The forecast is the same shortly after demand begins and much later."""

    def forecast_after(self, seconds):
        """Return the demand forecast per second after some seconds of load.

        The load is ten requests a second of 10 tokens each.
        """
        manual = clock.ManualClock(1000)
        book = grants.GrantBook(manual)
        for _ in range(seconds * 10):
            book.record_demand(BUDGET, 10)
            manual.advance(100)
        return book.forecast_demand(BUDGET, 1000)

    def test_forecast_of_new_demand(self):
        """Demand that has just begun is not underestimated.

        The decayed sum covers less than its full time span at first.  During
        an outage of the store, demand was forecast at a sixth of its value
        1.5 s after it began.
        """
        for seconds in (1, 2, 10, 120):
            self.assertAlmostEqual(100, self.forecast_after(seconds), delta=15)

    def test_forecast_decays_without_requests(self):
        manual = clock.ManualClock()
        book = grants.GrantBook(manual)
        book.record_demand(BUDGET, 1000)
        before = book.forecast_demand(BUDGET, 10_000)
        manual.advance(60_000)
        self.assertLess(book.forecast_demand(BUDGET, 10_000), before / 50)


class BookTest(unittest.TestCase):
    """Reservations and their settlement."""

    def setUp(self):
        self.book = grants.GrantBook(clock.ManualClock())
        self.book.record_grant(BUDGET, 100)

    def test_reservations_are_limited_to_the_grant(self):
        self.assertTrue(self.book.reserve(BUDGET, 60))
        self.assertFalse(self.book.reserve(BUDGET, 41))
        self.book.settle(BUDGET, 60, spent=10, doubt=5)
        self.assertEqual(85, self.book.available(BUDGET))

    def test_settling_more_than_reserved_is_an_error(self):
        self.book.reserve(BUDGET, 10)
        with self.assertRaises(ValueError):
            self.book.settle(BUDGET, 10, spent=8, doubt=3)


class DrawSizeTest(unittest.TestCase):
    """The number of tokens to draw."""

    def test_limited_to_half_a_share_unless_needed(self):
        self.assertEqual(100, grants.compute_draw_size(10, 5000, 600, 3))
        self.assertEqual(300, grants.compute_draw_size(300, 5000, 600, 3))
        self.assertEqual(40, grants.compute_draw_size(10, 0, 6000, 3))
