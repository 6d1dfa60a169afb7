"""Many routers spend a few budgets: one owner draws, the others borrow."""

import unittest

import gevent
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from galenaspoke.edge import loan_protocol
from galenaspoke.edge import loans
from galenaspoke.edge import reservations
from tests.edge import fleets

BUDGET = fleets.BUDGET
WAIT_MS = fleets.WAIT_MS
LIMIT = 1_000_000


class FaultyLending(fleets.DirectLending):
    """Some routers don't answer."""

    def __init__(self, managers):
        super().__init__(managers)
        self.silent = set()
        self.asked = 0

    def ask(self, address, asked):
        """Ask one that isn't silent."""
        self.asked += 1
        if address in self.silent:
            return None
        return super().ask(address, asked)


class OwnerTest(unittest.TestCase):
    """Who draws, and what happens when that one is gone."""

    def setUp(self):
        self.fleet = fleets.Fleet(LIMIT)
        self.lending = FaultyLending(self.fleet.managers)
        for name in 'abc':
            self.fleet.start(name, self.lending)
        self.assertTrue(self.fleet.serve('a', 1000, 900))

    def owner(self):
        """Return the name of the page's owner."""
        return self.fleet.page().owner.split('#')[0]

    def test_calls_follow_the_money_and_not_the_routers(self):
        writes = self.fleet.store.writes
        for _ in range(20):
            for name in 'bc':
                self.fleet.clock.advance(50)
                self.assertTrue(self.fleet.serve(name, 1000, 900))
        self.assertLessEqual(self.fleet.store.writes - writes, 10)
        entry = self.fleet.page().entries[BUDGET]
        self.assertEqual([self.fleet.managers['a'].name], list(entry.grants))

    def test_silent_owner_is_replaced(self):
        self.fleet.serve('b', 1000, 900)
        self.lending.silent.add('a')
        self.assertTrue(self.fleet.serve('b', 200_000, 900))
        self.assertEqual('b', self.owner())
        self.lending.silent.clear()
        self.assertTrue(self.fleet.serve('a', 200_000, 900))
        self.assertEqual('b', self.owner())

    def test_silent_owner_is_not_asked_by_each_request(self):
        self.lending.silent.update('abc')
        self.fleet.store.down = True
        for _ in range(10):
            self.fleet.serve('b', 1000, 900)
        self.assertLessEqual(self.lending.asked, 2)

    def test_restarted_owner_goes_on(self):
        self.fleet.serve('b', 1000, 900)
        self.fleet.start('a', self.lending)
        self.assertTrue(self.fleet.serve('b', 200_000, 900))
        self.assertEqual('a', self.owner())

    def test_owner_that_stops_hands_the_page_on(self):
        self.fleet.serve('b', 1000, 900)
        self.fleet.managers['a'].close()
        self.assertEqual('', self.owner())
        self.assertTrue(self.fleet.serve('b', 200_000, 900))
        self.assertEqual('b', self.owner())

    def test_two_that_take_each_other_for_the_owner(self):
        self.fleet.serve('b', 1000, 900)
        self.lending.silent.add('a')
        self.fleet.serve('b', 100_000, 900)
        self.lending.silent.clear()
        # c has never heard of b, and asks a, who isn't the owner any more.
        self.assertTrue(self.fleet.serve('c', 300_000, 900))

    def test_owner_that_is_cut_off_from_the_ledger(self):
        self.fleet.serve('b', 1000, 900)
        self.fleet.managers['a']._drawing.unreachable = True
        self.assertTrue(self.fleet.serve('b', 200_000, 900))
        self.assertEqual('a', self.owner())

    def test_what_was_drawn_aside_goes_back(self):
        self.fleet.serve('b', 1000, 900)
        self.fleet.managers['a']._drawing.unreachable = True
        self.assertTrue(self.fleet.serve('b', 200_000, 900))
        self.fleet.clock.advance(loans.UNUSED_MS)
        self.fleet.managers['b']._rebalance(BUDGET)
        gevent.sleep(0.01)
        grant = (
            self.fleet.page()
            .entries[BUDGET]
            .grants[self.fleet.managers['b'].name]
        )
        self.assertLess(grant.granted, 2_000)


class LoanTest(unittest.TestCase):
    """What is lent counts once, and what isn't needed comes back."""

    def setUp(self):
        self.fleet = fleets.Fleet(10_000)
        for name in 'ab':
            self.fleet.start(name)
        self.fleet.serve('a', 1000, 1000)
        self.lender = self.fleet.managers['a']
        self.borrower = self.fleet.managers['b']

    def spent(self):
        """Return what the lender counts as spent."""
        return self.lender.dump()['budgets'][BUDGET]['spent']

    def test_unused_loan_goes_back(self):
        self.fleet.serve('b', 5000, 100)
        before = self.spent()
        self.fleet.clock.advance(loans.UNUSED_MS)
        self.borrower._rebalance(BUDGET)
        self.assertEqual(before - 4900, self.spent())

    def test_loan_is_given_back_at_a_stop(self):
        self.fleet.serve('b', 5000, 100)
        self.borrower.close()
        self.assertEqual(1100, self.spent())

    def test_only_what_was_lent_is_taken_back(self):
        self.fleet.serve('b', 5000, 100)
        before = self.spent()
        for returned in (
            loan_protocol.Return(BUDGET, 1, 'a#another', 'b'),
            loan_protocol.Return(BUDGET, 10_000, self.lender.name, 'b'),
            loan_protocol.Return(BUDGET, 1, self.lender.name, 'c'),
            loan_protocol.Return(BUDGET, -1, self.lender.name, 'b'),
        ):
            self.assertFalse(self.lender.accept_return(returned))
        self.assertEqual(before, self.spent())

    def test_nothing_is_spent_or_lent_after_the_end(self):
        self.lender.reserve(BUDGET, 2000, WAIT_MS).settle(0)
        self.lender.close()
        found = self.lender.reserve(BUDGET, 10, WAIT_MS)
        self.assertIs(reservations.Shortage.UNREACHABLE, found.shortage)
        loan = self.lender.lend(loan_protocol.Ask(BUDGET, 10, 0, 'b', 0))
        self.assertEqual(0, loan.tokens)

    def test_exhausted_only_if_no_borrower_has_the_rest(self):
        held = self.borrower.reserve(BUDGET, 8500, WAIT_MS)
        found = self.lender.reserve(BUDGET, 2000, WAIT_MS)
        self.assertIs(reservations.Shortage.HELD_ELSEWHERE, found.shortage)
        held.settle(8500)
        self.fleet.clock.advance(loans.LENT_KNOWN_MS + 1)
        found = self.lender.reserve(BUDGET, 2000, WAIT_MS)
        self.assertIs(reservations.Shortage.EXHAUSTED, found.shortage)

    def test_who_is_not_the_owner_calls_nothing_exhausted(self):
        self.fleet.start('c')
        held = self.borrower.reserve(BUDGET, 8000, WAIT_MS)
        self.lender.reserve(BUDGET, 900, WAIT_MS).settle(900)
        # The owner reports the loan as spent, and loses the ledger.
        self.lender._drawing.draw(BUDGET).result.get()
        self.lender._drawing.unreachable = True
        found = self.fleet.managers['c'].reserve(BUDGET, 2000, WAIT_MS)
        self.assertIs(reservations.Shortage.HELD_ELSEWHERE, found.shortage)
        held.settle(0)


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ['serve', 'serve', 'serve', 'idle', 'restart', 'stop', 'silent']
        ),
        strategies.sampled_from('abc'),
        strategies.integers(1, 400),
    ),
    max_size=40,
)


class OverspendTest(unittest.TestCase):
    """Loans, returns, stops and silence never make more of a budget."""

    @settings(max_examples=80, deadline=None, derandomize=True)
    @given(STEPS)
    def test_random_histories(self, steps):
        fleet = fleets.Fleet(1000)
        lenders = FaultyLending(fleet.managers)
        for name in 'abc':
            fleet.start(name, lenders)
        for step, name, amount in steps:
            fleet.clock.advance(amount)
            if step == 'serve':
                fleet.serve(name, amount, amount // 2)
            elif step == 'idle':
                fleet.clock.advance(loans.UNUSED_MS)
                fleet.managers[name]._rebalance(BUDGET)
            elif step == 'restart':
                fleet.start(name, lenders)
            elif step == 'stop':
                fleet.managers[name].close()
                fleet.start(name, lenders)
            else:
                lenders.silent ^= {name}
        self.assertLessEqual(fleet.spent, 1000)
        if fleet.store.objects:
            entry = fleet.page().entries[BUDGET]
            self.assertLessEqual(entry.committed_tokens(), 1000)
