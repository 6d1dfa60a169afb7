"""Loans of prepaid tokens: borrowing them, and tracking those lent.

Example::

    borrower = Borrower(cfg, clock, metrics, loan_client, book)
    borrower.borrow('voucher-desk', '10.1.0.40:7340')
    outstanding = OutstandingLoans(clock)
    outstanding.record_unspent('voucher-desk', 'front-a-1', 4000)
    outstanding.sum_outstanding('voucher-desk')       # 4000
"""

import collections

from galenaspoke.edge.money import loan_protocol

# After a round of requests to holders that brought too few tokens, no further
# round is begun within this time.
BORROW_BACKOFF_MS = 400
# How many holders are asked in turn for one budget.
MAX_LENDERS = 3
# A lender that did not answer is not asked again within this time.
UNRESPONSIVE_BACKOFF_MS = 1_500
# On top of its need, a borrower asks for its expected demand over this time,
# if that is several times the need.  Otherwise the next request comes too late
# to use it.
BORROW_AHEAD_MS = 1_000
MIN_NEEDS_AHEAD = 3
# Loans, and grants on another owner's page, are returned when they have not
# been used for this time.
UNUSED_RETURN_MS = 1_500
# The lender assumes that loans have been spent by their borrower if it has not
# heard from the borrower for this time.
OUTSTANDING_TTL_MS = 20_000


class Borrower:
    """Borrows tokens for one router and returns the unused ones.

    `loan_client` sends the requests; `book` is the router's GrantBook.
    """

    __slots__ = (
        '_cfg',
        '_clock',
        '_metrics',
        '_loan_client',
        '_book',
        '_unresponsive_until',
        '_last_lenders',
    )

    def __init__(self, cfg, clock, metrics, loan_client, book):
        self._cfg = cfg
        self._clock = clock
        self._metrics = metrics
        self._loan_client = loan_client
        self._book = book
        # Lender address to the time until which it is not asked.
        self._unresponsive_until = {}
        # Budget to its last lender: (address, holder, tokens lent by it).
        self._last_lenders = {}

    def is_unresponsive(self, address):
        """Return whether a lender recently failed to answer."""
        return self._clock.now() < self._unresponsive_until.get(address, 0)

    def mark_unresponsive(self, address):
        """Record that a lender did not answer."""
        self._unresponsive_until[address] = (
            self._clock.now() + UNRESPONSIVE_BACKOFF_MS
        )

    def borrow(self, budget, address):
        """Ask a lender for the tokens that requests wait for.

        Returns the LoanResponse, or None if the lender did not answer.
        """
        balance = self._book.get_balance(budget)
        need = max(1, balance.waiting_tokens - balance.available())
        ahead = self._book.forecast_demand(budget, BORROW_AHEAD_MS)
        request = loan_protocol.LoanRequest(
            budget,
            need,
            ahead if ahead >= MIN_NEEDS_AHEAD * need else 0,
            self._cfg.name,
            max(0, balance.borrowed - balance.spent),
        )
        loan = self._loan_client.request_loan(address, request)
        if loan is not None and loan.tokens:
            self._record_loan(budget, address, loan)
        return loan

    def _record_loan(self, budget, address, loan):
        self._book.record_loan(budget, loan.tokens)
        self._metrics.count('grants.borrowed')
        last = self._last_lenders.get(budget)
        lent_before = last[2] if last and last[1] == loan.holder else 0
        self._last_lenders[budget] = (
            address,
            loan.holder,
            lent_before + loan.tokens,
        )

    def borrow_from_holders(self, budget, page, own_holder):
        """Ask the holders with the most unspent tokens of a budget to lend.

        `own_holder` is this router's holder name, which is left out.  Does
        nothing within BORROW_BACKOFF_MS after a round that brought too little.
        """
        balance = self._book.get_balance(budget)
        if (
            self._clock.now() - balance.last_loan_shortage_at
            < BORROW_BACKOFF_MS
        ):
            return
        addresses = loan_protocol.list_lender_addresses(
            page, budget, own_holder
        )
        for address in addresses[:MAX_LENDERS]:
            if balance.available() >= balance.waiting_tokens:
                return
            if not self.is_unresponsive(address):
                self.borrow(budget, address)
        if balance.available() < balance.waiting_tokens:
            balance.last_loan_shortage_at = self._clock.now()

    def return_unused(self, budget, unused_ms=UNUSED_RETURN_MS):
        """Return what is unspent of the loans of a budget's last lender.

        Does nothing if a request used the budget within `unused_ms`.
        """
        lender = self._last_lenders.get(budget)
        used_at = self._book.get_balance(budget).last_used_at
        if lender is None or self._clock.now() - used_at < unused_ms:
            return
        address, holder, max_tokens = lender
        tokens = self._book.release_loan(budget, max_tokens)
        del self._last_lenders[budget]
        if tokens:
            loan_return = loan_protocol.LoanReturn(
                budget, tokens, holder, self._cfg.name
            )
            self._loan_client.return_tokens(address, loan_return)

    def return_all(self):
        """Return what is unspent of every budget's last lender.

        This includes loans that were used a moment ago.
        """
        for budget in list(self._last_lenders):
            self.return_unused(budget, unused_ms=0)


class OutstandingLoans:
    """Tracks the tokens that one router lent and that may be unspent."""

    __slots__ = ('_clock', '_lent')

    def __init__(self, clock):
        self._clock = clock
        # Budget to borrower to (unspent tokens, when that was last known).
        self._lent = collections.defaultdict(dict)

    def record_unspent(self, budget, borrower, tokens):
        """Record the unspent tokens that a borrower has now."""
        self._lent[budget][borrower] = (tokens, self._clock.now())

    def get_last_reported(self, budget, borrower):
        """Return the last known unspent tokens of a borrower."""
        return self._lent[budget].get(borrower, (0, 0))[0]

    def sum_outstanding(self, budget):
        """Return the tokens that all borrowers may still have unspent.

        Borrowers not heard from for OUTSTANDING_TTL_MS count as having none.
        """
        since = self._clock.now() - OUTSTANDING_TTL_MS
        lent = self._lent[budget].values()
        return sum(tokens for tokens, at in lent if at >= since)
