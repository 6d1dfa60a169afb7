"""One router's prepaid money: had from the ledger or lent by its owner.

What is at hand is spent without asking.  What is missing comes from the
ledger if this router owns the budget's page, else as a loan from the router
that does; `drawing` says why.

Example::

    purse.start()
    held = purse.reserve('voucher-desk', 1540, wait_ms=300)
    if isinstance(held, Reservation):
        held.settle(1490)
"""

import random

import gevent

from galenaspoke.core import grants
from galenaspoke.edge import drawing as drawings
from galenaspoke.edge import loan_protocol
from galenaspoke.edge import loans
from galenaspoke.edge import reservations
from galenaspoke.utils import identity

REFILL_MS = (700, 900)
# A grant is filled up once this part of the target is missing.
REFILL_SHARE = 0.75
CLOSE_TIMEOUT_S = 1.0
# A draw that found too little is not repeated before this time.
SCARCE_PAUSE_MS = 1_000
# How often a request's need is looked after before it is refused.
MOST_TRIES = 3
# How many owners, one after the other, are asked for one loan.
MOST_OWNERS = 3
# Of what a lender has, the part that it lends beyond the need.
AHEAD_SHARE = 0.125
# A lender waits so long for the ledger; the borrower waits a little longer.
LEND_WAIT_MS = 250
# What a lender that isn't the owner keeps for itself: its demand of this time.
KEPT_MS = 1_500
# More than this many times the target is given back.
SURPLUS_FACTOR = 2
# Less than this isn't worth a write to give back.
LEAST_RETURN = 5_000


class BudgetManager:
    """The money of one router."""

    __slots__ = (
        'name',
        '_cfg',
        '_clock',
        '_metrics',
        '_journal',
        '_catalog',
        '_book',
        '_drawing',
        '_borrowed',
        '_lent',
        '_supplies',
        '_closing',
    )

    def __init__(self, cfg, store, clock, metrics, journal, catalog, lending_):
        self.name = f'{cfg.name}#{identity.new_incarnation()}'
        self._cfg = cfg
        self._clock = clock
        self._metrics = metrics
        self._journal = journal
        # Returns the catalog in force.
        self._catalog = catalog
        self._book = grants.GrantBook(clock)
        self._drawing = drawings.Drawing(
            self.name, cfg, store, clock, metrics, journal, catalog, self._book
        )
        self._borrowed = loans.Borrowed(
            cfg, clock, metrics, lending_, self._book
        )
        self._lent = loans.Lent(clock)
        # What is being done to get money, by budget.
        self._supplies = {}
        self._closing = False

    def start(self):
        """Keep the grants filled."""
        gevent.spawn(self._refill_for_good)

    # Spending.

    def reserve(self, budget, amount, wait_ms):
        """Return a Reservation of `amount` tokens, or a NoMoney."""
        self._book.record_demand(budget, amount)
        if self._closing:
            return _unreachable('the process stops')
        if not self._book.reserve(budget, amount):
            failed = self._obtain(budget, amount, wait_ms, self._supply)
            if self._closing or not self._book.reserve(budget, amount):
                known = isinstance(failed, reservations.ReservationFailure)
                return failed if known else self._shortage(budget, amount)
        return reservations.Reservation(self._book, budget, amount)

    def _obtain(self, budget, amount, wait_ms, supply):
        """Have `supply` bring money in; return a NoMoney or None."""
        until = self._clock.now() + wait_ms
        held = self._book.get_balance(budget)
        held.waiting_tokens += amount
        failed = None
        try:
            # What was under way may not have known of this request.
            for _ in range(MOST_TRIES):
                task = self._supplies.get(budget)
                if task is None or task.ready():
                    task = gevent.spawn(supply, budget)
                    self._supplies[budget] = task
                left_ms = max(0, until - self._clock.now())
                failed = task.get(timeout=left_ms / 1000)
                known = isinstance(failed, reservations.ReservationFailure)
                if known or held.available() >= amount:
                    break
        except gevent.Timeout:
            return _unreachable(f'silent for {wait_ms} ms')
        finally:
            held.waiting_tokens -= amount
        return failed

    def _supply(self, budget):
        """Get what requests wait for; return a NoMoney or None."""
        held = self._book.get_balance(budget)
        if self._drawing.unreachable and self._drawing.seen(budget) is None:
            return _unreachable('failed a moment ago')
        try:
            return self._from_owner(budget, held)
        except drawings.FAILURES as exc:
            return _unreachable(str(exc))

    def _from_owner(self, budget, held):
        page = self._drawing.read(budget)
        displaced = ''
        for _ in range(MOST_OWNERS):
            address = page.contacts.get(page.owner)
            mine = not page.owner or self._drawing.owns(page)
            if mine or not address or self._borrowed.is_silent(address):
                displaced = page.owner
            if mine or page.owner == displaced:
                failed = self._draw(budget, displaced)
                if failed != reservations.MOVED:
                    return failed
                page = self._drawing.seen(budget)
                continue
            loan = self._borrowed.ask(budget, address)
            if loan is None:
                self._borrowed.note_silent(address)
            elif loan.tokens:
                return None
            elif loan.shortage != reservations.MOVED:
                return self._refused(budget, held, loan)
            page = self._drawing.read(budget, again=True)
        return self._draw_aside(budget)

    def _refused(self, budget, held, loan):
        """Go on without the owner's money; return a NoMoney or None."""
        shortage = reservations.Shortage(loan.shortage)
        if shortage is reservations.Shortage.UNREACHABLE:
            return self._draw_aside(budget)
        if shortage is reservations.Shortage.HELD_ELSEWHERE:
            self._ask_holders(budget)
            if held.available() >= held.waiting_tokens:
                return None
        return reservations.ReservationFailure(shortage, loan.detail)

    def _ask_holders(self, budget):
        page = self._drawing.seen(budget)
        self._borrowed.ask_holders(budget, page, self.name)

    def _draw(self, budget, displaced):
        """Draw as the owner, or borrow; return a NoMoney, None or MOVED."""
        found = self._drawn(budget, self._drawing.draw, displaced)
        held = self._book.get_balance(budget)
        if found is None and held.available() < held.waiting_tokens:
            self._ask_holders(budget)
        return found

    def _draw_aside(self, budget):
        return self._drawn(budget, self._drawing.draw_aside)

    def _drawn(self, budget, draw, *args):
        """Have `draw` ask the ledger; return a NoMoney, None or MOVED."""
        if self._drawing.unreachable:
            return _unreachable('failed a moment ago')
        if self._scarce(self._book.get_balance(budget)):
            return None
        outcome = draw(budget, *args).result.get()
        return outcome if outcome == reservations.MOVED else None

    def _scarce(self, held):
        return self._clock.now() - held.last_shortage_at < SCARCE_PAUSE_MS

    def _shortage(self, budget, amount):
        """Tell why too little was brought in.

        Only the owner knows which loans may still be unspent, and so whether
        a budget is exhausted.
        """
        lent = self._lent.still(budget)
        found = self._drawing.shortage(budget, amount, lent)
        exhausted = found.shortage is reservations.Shortage.EXHAUSTED
        if exhausted and not self._drawing.owned(budget):
            return reservations.ReservationFailure(
                reservations.Shortage.HELD_ELSEWHERE, found.detail
            )
        return found

    # Lending.

    def lend(self, asked):
        """Answer another router's Ask.

        What is lent counts as spent here, so nothing needs to be agreed on.
        """
        budget, need = asked.budget, asked.need
        page = self._drawing.seen(budget)
        owner = self._drawing.owned(budget)
        held = self._book.get_balance(budget)
        kept = 0
        if owner or page is None:
            self._book.record_demand(budget, need)
            self._lent.note(budget, asked.borrower, asked.unsettled)
            if held.available() < need:
                failed = self._obtain(
                    budget, need, LEND_WAIT_MS, self._supply_as_owner
                )
                if held.available() < need:
                    return self._no_loan(budget, need, failed)
        else:
            kept = self._book.forecast_demand(budget, KEPT_MS)
        spare = held.available() - kept
        if spare < need or self._closing:
            return loan_protocol.Loan(self.name, shortage=reservations.MOVED)
        amount = need + min(asked.ahead, int(AHEAD_SHARE * (spare - need)))
        self._book.lend(budget, amount)
        self._lent.note(budget, asked.borrower, asked.unsettled + amount)
        self._metrics.count('grants.lent')
        return loan_protocol.Loan(self.name, amount)

    def _supply_as_owner(self, budget):
        """Draw what borrowers wait for, but never ask others for loans."""
        try:
            page = self._drawing.read(budget)
            if page.owner and not self._drawing.owns(page):
                return reservations.MOVED
            return self._drawn(budget, self._drawing.draw)
        except drawings.FAILURES as exc:
            return _unreachable(str(exc))

    def _no_loan(self, budget, need, failed):
        if failed == reservations.MOVED:
            return loan_protocol.Loan(self.name, shortage=reservations.MOVED)
        failed = failed or self._shortage(budget, need)
        return loan_protocol.Loan(
            self.name, shortage=failed.shortage.value, detail=failed.detail
        )

    def accept_return(self, returned):
        """Take back what is left of a loan; refuse what wasn't lent."""
        budget, tokens = returned.budget, returned.tokens
        lent = self._lent.of(budget, returned.borrower)
        most = min(lent, self._book.get_balance(budget).spent)
        known = returned.holder == self.name and not self._closing
        if known and 0 < tokens <= most:
            self._book.record_loan_return(budget, tokens)
            self._lent.note(budget, returned.borrower, lent - tokens)
            self._metrics.count('grants.taken_back')
            return True
        self._journal.note('money.return_refused', budget=budget)
        return False

    # Keeping it in order.

    def apply_new_limits(self):
        """Follow new limits: what is scarce is asked for again at once.

        What a lowered limit no longer covers goes back.
        """
        for account in self._catalog().accounts.values():
            if account.prepaid is None:
                continue
            held = self._book.get_balance(account.name)
            held.last_shortage_at = self._clock.now() - SCARCE_PAUSE_MS
            if held.granted > account.prepaid:
                self._drawing.give_back(account.name, held.returnable())

    def _refill_for_good(self):
        while not self._closing:
            gevent.sleep(random.uniform(*REFILL_MS) / 1000)
            if self._drawing.unreachable:
                self._probe()
            for budget in self._book.budgets():
                self._rebalance(budget)

    def _probe(self):
        """See whether the ledger answers again."""
        for budget in self._book.budgets()[:1]:
            self._drawing.draw(budget)

    def _rebalance(self, budget):
        """Draw ahead where most of the target is spent.

        What is far above the target goes back, and so do loans and grants on
        another owner's page that nobody uses.
        """
        held = self._book.get_balance(budget)
        self._borrowed.give_back(budget)
        task = self._supplies.get(budget)
        if task is not None and not task.ready():
            return
        if self._drawing.unreachable:
            return
        if not self._drawing.owned(budget):
            if self._clock.now() - held.last_used_at >= loans.UNUSED_MS:
                self._drawing.give_back(budget, held.returnable())
            return
        missing, target = self._drawing.wants(budget)
        surplus = min(held.returnable(), -missing)
        if surplus > max(LEAST_RETURN, (SURPLUS_FACTOR - 1) * target):
            self._drawing.give_back(budget, surplus)
        elif missing > REFILL_SHARE * target and not self._scarce(held):
            self._supplies[budget] = gevent.spawn(
                self._supply_as_owner, budget
            )

    def close(self):
        """Give everything back; what is reserved counts as spent."""
        self._closing = True
        self._borrowed.give_all_back()
        changes = self._drawing.close()
        try:
            for change in changes:
                change.result.get(timeout=CLOSE_TIMEOUT_S)
        except (*drawings.FAILURES, gevent.Timeout) as exc:
            self._journal.note('money.left_open', reason=str(exc))

    def dump(self):
        """Return the state for people and tools."""
        budgets = {}
        for budget in self._book.budgets():
            held = self._book.get_balance(budget)
            budgets[budget] = {
                'granted': held.granted,
                'loaned': held.borrowed,
                'reserved': held.reserved,
                'spent': held.spent,
                'available': held.available(),
            }
        return {'holder': self.name, 'budgets': budgets}


def _unreachable(detail):
    return reservations.ReservationFailure(
        reservations.Shortage.UNREACHABLE, detail
    )
