"""Lending prepaid tokens to other routers, as the lender.

Example::

    lender = Lender(clock, metrics, journal, book, ledger_client, fetcher)
    lender.lend(loan_request)              # a LoanResponse
    lender.accept_return(loan_return)      # True
"""

from galenaspoke.edge.money import loan_protocol
from galenaspoke.edge.money import loans
from galenaspoke.edge.money import reservations

# On top of the borrower's need, a lender lends at most this share of the
# tokens that it can still spare.
LEND_AHEAD_SHARE = 0.125
# How long a lender waits for the ledger.  Shorter than
# `loan_protocol.RESPONSE_TIMEOUT_S`, so that the borrower gets the response.
LEND_TIMEOUT_MS = 250
# A lender that is not the owner keeps enough tokens for its own expected
# demand over this time.
LENDER_RESERVE_MS = 1_500


class Lender:
    """Lends the tokens of one router and takes back unspent ones.

    `book` is the router's GrantBook, `ledger_client` its LedgerClient and
    `fetcher` its Fetcher.
    """

    __slots__ = (
        'is_closing',
        '_holder_name',
        '_metrics',
        '_journal',
        '_book',
        '_ledger_client',
        '_fetcher',
        '_outstanding',
    )

    def __init__(self, clock, metrics, journal, book, ledger_client, fetcher):
        # The router is shutting down; it lends and takes back nothing.
        self.is_closing = False
        self._holder_name = ledger_client.holder_name
        self._metrics = metrics
        self._journal = journal
        self._book = book
        self._ledger_client = ledger_client
        self._fetcher = fetcher
        self._outstanding = loans.OutstandingLoans(clock)

    def diagnose(self, budget, amount):
        """Return the ReservationFailure that explains a shortage.

        Only the owner knows which loans may still be unspent, so no other
        router may report a budget as exhausted.
        """
        lent = self._outstanding.sum_outstanding(budget)
        failure = self._ledger_client.diagnose_shortage(budget, amount, lent)
        is_exhausted = failure.shortage is reservations.Shortage.EXHAUSTED
        if is_exhausted and not self._ledger_client.owns_budget(budget):
            return reservations.ReservationFailure(
                reservations.Shortage.HELD_ELSEWHERE, failure.detail
            )
        return failure

    def lend(self, request):
        """Return the LoanResponse to another router's LoanRequest.

        The lender counts a loan as spent, so the two routers need no further
        agreement about it.
        """
        budget, need = request.budget, request.need
        page = self._ledger_client.get_cached_page(budget)
        is_owner = self._ledger_client.owns_budget(budget)
        balance = self._book.get_balance(budget)
        own_demand = 0
        # Without a cached page, `fetch_as_owner` reads it and finds out who
        # the owner is.
        if is_owner or page is None:
            self._book.record_demand(budget, need)
            self._outstanding.record_unspent(
                budget, request.borrower, request.unsettled
            )
            if balance.available() < need:
                result = self._fetcher.await_tokens(
                    budget, need, LEND_TIMEOUT_MS, self._fetcher.fetch_as_owner
                )
                if balance.available() < need:
                    return self._refuse_loan(budget, need, result)
        else:
            own_demand = self._book.forecast_demand(budget, LENDER_RESERVE_MS)
        spare = balance.available() - own_demand
        if spare < need or self.is_closing:
            return loan_protocol.LoanResponse(
                self._holder_name, shortage=reservations.MOVED
            )
        amount = need + min(
            request.ahead, int(LEND_AHEAD_SHARE * (spare - need))
        )
        self._book.lend(budget, amount)
        self._outstanding.record_unspent(
            budget, request.borrower, request.unsettled + amount
        )
        self._metrics.count('grants.lent')
        return loan_protocol.LoanResponse(self._holder_name, amount)

    def _refuse_loan(self, budget, need, result):
        """Return the LoanResponse after a fetch brought less than `need`.

        `result` is what the fetch returned.
        """
        if result == reservations.MOVED:
            return loan_protocol.LoanResponse(
                self._holder_name, shortage=reservations.MOVED
            )
        result = result or self.diagnose(budget, need)
        return loan_protocol.LoanResponse(
            self._holder_name,
            shortage=result.shortage.value,
            detail=result.detail,
        )

    def accept_return(self, loan_return):
        """Take back the unspent part of a loan; return whether it was taken.

        Refuses more tokens than the borrower may still have, loans that
        another incarnation made, and any return during shutdown.
        """
        budget, tokens = loan_return.budget, loan_return.tokens
        lent = self._outstanding.get_last_reported(
            budget, loan_return.borrower
        )
        max_returned = min(lent, self._book.get_balance(budget).spent)
        is_lender = (
            loan_return.holder == self._holder_name and not self.is_closing
        )
        if is_lender and 0 < tokens <= max_returned:
            self._book.record_loan_return(budget, tokens)
            self._outstanding.record_unspent(
                budget, loan_return.borrower, lent - tokens
            )
            self._metrics.count('grants.taken_back')
            return True
        self._journal.note('money.return_refused', budget=budget)
        return False
