"""One router's prepaid tokens: drawn from the ledger or borrowed.

Tokens that the router already holds are reserved without any call.  When too
few are held, the router that owns the budget's ledger page draws a grant from
the ledger; any other router borrows from the owner.  `ledger_client` explains
why.

Example::

    budget_manager.start()
    reservation = budget_manager.reserve('voucher-desk', 1540, wait_ms=300)
    if isinstance(reservation, reservations.Reservation):
        reservation.settle(1490)
"""

import random

import gevent

from galenaspoke.core import grants
from galenaspoke.edge.money import fetches
from galenaspoke.edge.money import ledger_client
from galenaspoke.edge.money import lending
from galenaspoke.edge.money import loans
from galenaspoke.edge.money import reservations

# Bounds of the random time between two rebalancing passes.
REBALANCE_INTERVAL_MS = (700, 900)
# A budget is refilled once this share of the desired tokens, those that its
# owner should hold, is missing.
REFILL_SHARE = 0.75
CLOSE_TIMEOUT_S = 1.0
# The owner returns its surplus once it holds more than this multiple of the
# desired tokens.
SURPLUS_FACTOR = 2
# Returning fewer tokens than this is not worth a ledger write.
MIN_RETURN_TOKENS = 5_000


class BudgetManager:
    """Reserves, obtains and lends the prepaid tokens of one router.

    A budget is the prepaid tokens of one client account and is named after it.
    `members` is the list of routers and `eras` are the Eras of the store.
    `get_catalog` returns the catalog in force; `loan_client` asks other
    routers for loans.
    """

    __slots__ = (
        'holder_name',
        '_clock',
        '_journal',
        '_get_catalog',
        '_book',
        '_ledger_client',
        '_borrower',
        '_fetcher',
        '_lender',
        '_is_closing',
    )

    def __init__(
        self,
        cfg,
        store,
        eras,
        members,
        clock,
        metrics,
        journal,
        get_catalog,
        loan_client,
    ):
        # The router's name as a holder, with its incarnation.
        self.holder_name = members.holder_name
        self._clock = clock
        self._journal = journal
        self._get_catalog = get_catalog
        self._book = grants.GrantBook(clock)
        self._ledger_client = ledger_client.LedgerClient(
            cfg,
            store,
            eras,
            members,
            clock,
            metrics,
            journal,
            get_catalog,
            self._book,
        )
        self._borrower = loans.Borrower(
            cfg, clock, metrics, loan_client, self._book
        )
        self._fetcher = fetches.Fetcher(
            clock, self._book, self._ledger_client, self._borrower
        )
        self._lender = lending.Lender(
            clock,
            metrics,
            journal,
            self._book,
            self._ledger_client,
            self._fetcher,
        )
        self._is_closing = False

    def start(self):
        """Start the rebalancing loop."""
        gevent.spawn(self._rebalance_loop)

    # Spending.

    def reserve(self, budget, amount, wait_ms):
        """Return a Reservation of `amount` tokens, or a ReservationFailure.

        Waits up to `wait_ms` for tokens if the router holds too few.
        """
        self._book.record_demand(budget, amount)
        if self._is_closing:
            return reservations.unreachable('the router is shutting down')
        if not self._book.reserve(budget, amount):
            result = self._fetcher.await_tokens(
                budget, amount, wait_ms, self._fetcher.fetch
            )
            if self._is_closing or not self._book.reserve(budget, amount):
                if isinstance(result, reservations.ReservationFailure):
                    return result
                return self._lender.diagnose(budget, amount)
        return reservations.Reservation(self._book, budget, amount)

    # Lending.

    def lend(self, request):
        """Return the LoanResponse to another router's LoanRequest."""
        return self._lender.lend(request)

    def accept_return(self, loan_return):
        """Take back the unspent part of a loan; return whether it was."""
        return self._lender.accept_return(loan_return)

    # Maintenance.

    def apply_new_limits(self):
        """React to a new catalog, whose limits may have changed.

        Ends the back-off of scarce budgets.  If a grant exceeds a lowered
        limit, returns all of its tokens that are neither reserved nor spent.
        """
        for account in self._get_catalog().accounts.values():
            if account.prepaid is None:
                continue
            balance = self._book.get_balance(account.name)
            balance.last_shortage_at = (
                self._clock.now() - fetches.DRAW_BACKOFF_MS
            )
            if balance.granted > account.prepaid:
                self._ledger_client.return_unreserved(
                    account.name, balance.returnable()
                )

    def _rebalance_loop(self):
        while not self._is_closing:
            gevent.sleep(random.uniform(*REBALANCE_INTERVAL_MS) / 1000)
            if self._ledger_client.is_unreachable:
                self._probe_ledger()
            for budget in self._book.budgets():
                self._rebalance(budget)

    def _probe_ledger(self):
        """Draw for one budget to see whether the ledger responds again."""
        for budget in self._book.budgets()[:1]:
            self._ledger_client.draw(budget)

    def _rebalance(self, budget):
        """Draw ahead if a budget runs low; return tokens that aren't needed.

        Every router returns loans that have not been used for
        `loans.UNUSED_RETURN_MS`, and a router that does not own the page also
        returns its grant then.  The owner returns a large surplus over the
        desired tokens.
        """
        balance = self._book.get_balance(budget)
        self._ledger_client.check_unseen(budget)
        self._borrower.return_unused(budget)
        if self._fetcher.is_fetching(budget):
            return
        if self._ledger_client.is_unreachable:
            return
        if not self._ledger_client.owns_budget(budget):
            if (
                self._clock.now() - balance.last_used_at
                >= loans.UNUSED_RETURN_MS
            ):
                self._ledger_client.return_unreserved(
                    budget, balance.returnable()
                )
            return
        deficit, desired = self._ledger_client.get_deficit(budget)
        surplus = min(balance.returnable(), -deficit)
        if surplus > max(MIN_RETURN_TOKENS, (SURPLUS_FACTOR - 1) * desired):
            self._ledger_client.return_unreserved(budget, surplus)
        elif deficit > REFILL_SHARE * desired and not self._fetcher.is_scarce(
            balance
        ):
            self._fetcher.begin_as_owner(budget)
        else:
            self._ledger_client.report_if_due(budget)

    def close(self):
        """Return all unspent tokens; reserved ones count as spent."""
        self._is_closing = True
        self._lender.is_closing = True
        self._borrower.return_all()
        changes = self._ledger_client.close()
        try:
            for change in changes:
                change.result.get(timeout=CLOSE_TIMEOUT_S)
        except (*ledger_client.LEDGER_CALL_ERRORS, gevent.Timeout) as exc:
            self._journal.note('money.left_open', reason=str(exc))

    def dump(self):
        """Return the state as a dict, for operators and tools."""
        budgets = {}
        for budget in self._book.budgets():
            balance = self._book.get_balance(budget)
            budgets[budget] = {
                'granted': balance.granted,
                'loaned': balance.borrowed,
                'reserved': balance.reserved,
                'spent': balance.spent,
                'available': balance.available(),
            }
        return {'holder': self.holder_name, 'budgets': budgets}
