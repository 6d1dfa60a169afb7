"""A holder's book, and how much it asks for."""

import unittest

from galenaspoke.core import clock
from galenaspoke.core import grants

BUDGET = 'voucher-desk'


class DemandTest(unittest.TestCase):
    """Demand is judged alike a second and a minute after it began."""

    def rate_after(self, seconds):
        """Return the tokens a second, asked for ten times a second."""
        manual = clock.ManualClock(1000)
        book = grants.GrantBook(manual)
        for _ in range(seconds * 10):
            book.record_demand(BUDGET, 10)
            manual.advance(100)
        return book.forecast_demand(BUDGET, 1000)

    def test_ramp(self):
        """Measured in an outage: after 1.5 s it was taken for a sixth."""
        for seconds in (1, 2, 10, 120):
            self.assertAlmostEqual(100, self.rate_after(seconds), delta=15)

    def test_fades(self):
        manual = clock.ManualClock()
        book = grants.GrantBook(manual)
        book.record_demand(BUDGET, 1000)
        before = book.forecast_demand(BUDGET, 10_000)
        manual.advance(60_000)
        self.assertLess(book.forecast_demand(BUDGET, 10_000), before / 50)


class BookTest(unittest.TestCase):
    """Reserving and settling."""

    def setUp(self):
        self.book = grants.GrantBook(clock.ManualClock())
        self.book.granted(BUDGET, 100)

    def test_never_more_than_granted(self):
        self.assertTrue(self.book.reserve(BUDGET, 60))
        self.assertFalse(self.book.reserve(BUDGET, 41))
        self.book.settle(BUDGET, 60, spent=10, doubt=5)
        self.assertEqual(85, self.book.available(BUDGET))

    def test_more_than_reserved_is_an_error(self):
        self.book.reserve(BUDGET, 10)
        with self.assertRaises(ValueError):
            self.book.settle(BUDGET, 10, spent=8, doubt=3)


class SizeTest(unittest.TestCase):
    """How much is drawn."""

    def test_never_more_than_half_a_share_unless_needed(self):
        self.assertEqual(100, grants.compute_draw_size(10, 5000, 600, 3))
        self.assertEqual(300, grants.compute_draw_size(300, 5000, 600, 3))
        self.assertEqual(40, grants.compute_draw_size(10, 0, 6000, 3))
