"""The ledger never commits more than a budget's limit."""

import unittest

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from galenaspoke.core import ledger

BUDGET = 'voucher-desk'
HOLDERS = st.sampled_from(['r1', 'r2', 'r3'])
AMOUNT = st.integers(1, 500)


class LedgerMachine(stateful.RuleBasedStateMachine):
    """Random changes by holders and operators, against a simple account."""

    def __init__(self):
        super().__init__()
        self.page = ledger.Page()
        ledger.top_up(self.page, BUDGET, ledger.TopUp('000', 100))
        self.paid = {'000': 100}
        self.lowered = False

    @property
    def entry(self):
        return self.page.entries[BUDGET]

    @stateful.rule(number=st.integers(1, 40), amount=AMOUNT)
    def top_up(self, number, amount):
        payment = ledger.TopUp(f'{number:03d}', amount)
        before = self.entry.wanted
        applied = ledger.top_up(self.page, BUDGET, payment)
        assert applied == (payment.id not in self.paid)
        self.paid.setdefault(payment.id, amount)
        assert self.entry.wanted == before + (amount if applied else 0)

    @stateful.rule(holder=HOLDERS, need=AMOUNT, more=st.integers(0, 300))
    def draw(self, holder, need, more):
        free = self.entry.free_tokens()
        got = ledger.draw(self.page, BUDGET, holder, need, need + more)
        assert got == (min(need + more, free) if free >= need else 0)

    @stateful.rule(holder=HOLDERS, part=st.floats(0, 1))
    def shrink(self, holder, part):
        grant = self.entry.grants.get(holder)
        if grant is None:
            assert not ledger.shrink_grant(self.page, BUDGET, holder, 0, 0, 0)
            return
        returned = int((grant.granted - grant.spent) * part)
        assert ledger.shrink_grant(
            self.page, BUDGET, holder, returned, grant.spent, 0
        )

    @stateful.rule(holder=HOLDERS, part=st.floats(0, 1), odd=st.booleans())
    def close(self, holder, part, odd):
        grant = self.entry.grants.get(holder)
        if grant is None:
            assert not ledger.close_grant(self.page, BUDGET, holder, 0, 0)
            return
        used = int(grant.granted * part)
        spent, doubt = (0, used) if odd else (used, 0)
        settled = self.entry.settled
        ledger.close_grant(self.page, BUDGET, holder, spent, doubt)
        assert self.entry.settled == settled + spent

    @stateful.rule(part=st.floats(0, 1))
    def lower_limit(self, part):
        wanted = int(self.entry.wanted * part)
        committed = self.entry.committed_tokens()
        limit = ledger.lower_limit(self.page, BUDGET, wanted)
        assert limit == max(wanted, committed)
        self.lowered = True

    @stateful.rule(part=st.floats(0, 1))
    def settle(self, part):
        if not self.entry.doubts:
            return
        doubt = self.entry.doubts[0]
        spent = int(doubt.amount * part)
        assert ledger.settle_doubt(self.page, BUDGET, doubt.id, spent)

    @stateful.invariant()
    def within_limit(self):
        ledger.check_invariants(self.page)
        assert self.entry.settled <= self.entry.limit
        assert self.entry.limit <= sum(self.paid.values())


LedgerMachine.TestCase.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=30, deadline=None
)
LedgerMachineTest = LedgerMachine.TestCase


class LedgerTest(unittest.TestCase):
    """Single rules of the ledger."""

    def setUp(self):
        self.page = ledger.Page()
        ledger.top_up(self.page, BUDGET, ledger.TopUp('1', 100))

    def test_overdrawn_report_is_refused_and_changes_nothing(self):
        ledger.draw(self.page, BUDGET, 'r1', 50, 50)
        with self.assertRaises(ledger.InvariantViolation):
            ledger.close_grant(self.page, BUDGET, 'r1', 51, 0)
        self.assertEqual(50, self.page.entries[BUDGET].grants['r1'].granted)

    def test_forgotten_payment_is_not_applied_again(self):
        for number in range(2, ledger.TOP_UPS_KEPT + 3):
            payment = ledger.TopUp(f'{number:04d}', 1)
            ledger.top_up(self.page, BUDGET, payment)
        with self.assertRaises(ledger.TopUpExpired):
            ledger.top_up(self.page, BUDGET, ledger.TopUp('0002', 1))

    def test_lowering_waits_for_grants(self):
        ledger.draw(self.page, BUDGET, 'r1', 80, 80)
        self.assertEqual(80, ledger.lower_limit(self.page, BUDGET, 10))
        self.assertEqual(0, ledger.draw(self.page, BUDGET, 'r2', 1, 1))
        ledger.close_grant(self.page, BUDGET, 'r1', 5, 0)
        self.assertEqual(10, self.page.entries[BUDGET].limit)

    def test_unknown_budget(self):
        with self.assertRaises(ledger.UnknownBudget):
            ledger.draw(self.page, 'none', 'r1', 1, 1)

    def test_huge_and_negative_payments(self):
        for amount in (0, -5, ledger.MAX_TOKENS):
            with self.assertRaises(ledger.LedgerError):
                ledger.top_up(self.page, BUDGET, ledger.TopUp('9', amount))
        self.assertEqual(100, self.page.entries[BUDGET].limit)
