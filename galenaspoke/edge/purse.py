"""One router's prepaid money: granted by the ledger, spent without asking.

The router is a holder of the ledger under a name that starts with its
instance's.  A process that starts on an instance proves that the one before
is dead, so it ends its predecessor's grants: what was reported counts as
spent, the rest is in doubt.

Example::

    purse.start()
    held = purse.reserve('voucher-desk', 1540, wait_ms=300)
    if isinstance(held, Reservation):
        held.settle(1490)
"""

import collections
import random

import gevent
from gevent import event

from galenaspoke.core import grants
from galenaspoke.core import ledger
from galenaspoke.edge import lending
from galenaspoke.edge import reservations
from galenaspoke.router import pages
from galenaspoke.store import base as store_base
from galenaspoke.utils import identity

# How long a demand the grants should last.  A cut from the store is ridden
# out on the second path to it, not on what is held.
HORIZON_MS = 5_000
# Of what is left of a budget, the part that all routers together may hold.
# What is held is lost when all of them die, the rest is not.
HELD_SHARE = 0.1
REFILL_MS = (700, 900)
RETRY_S = 0.2
CLOSE_TIMEOUT_S = 1.0
# A draw that found too little is not repeated before this time.
SCARCE_PAUSE_MS = 400
# A router that found no lender for a budget asks again after this time.
BORROW_PAUSE_MS = 400
MOST_LENDERS = 3
# How many draws a request may wait for.
MOST_DRAWS = 3
# What a lender keeps for itself: its demand of this time.
KEPT_MS = 1_500
# More than this many times the target is given back.
SURPLUS_FACTOR = 2
# Less than this isn't worth a write to give back.
LEAST_RETURN = 5_000


class Purse:
    """The grants of one router."""

    __slots__ = (
        'name',
        '_cfg',
        '_store',
        '_clock',
        '_metrics',
        '_journal',
        '_catalog',
        '_lending',
        '_book',
        '_writers',
        '_opened',
        '_drawing',
        '_closing',
        '_paged',
        '_paged_for',
        '_unreachable',
    )

    def __init__(self, cfg, store, clock, metrics, journal, catalog, lending):
        self.name = f'{cfg.name}#{identity.new_incarnation()}'
        self._cfg = cfg
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._journal = journal
        # Returns the catalog in force.
        self._catalog = catalog
        # Asks other routers for loans.
        self._lending = lending
        self._book = grants.GrantBook(clock)
        self._writers = {}
        # Pages on which the predecessor has been replaced, by key.
        self._opened = {}
        # The last draw of each budget.
        self._drawing = {}
        self._closing = False
        # Prepaid accounts by page, and the catalog that they are of.
        self._paged = {}
        self._paged_for = None
        # The ledger failed to answer; requests don't wait for it until it
        # has answered again.
        self._unreachable = False

    def start(self):
        """Replace the predecessor and keep the grants filled."""
        for number in range(self._cfg.ledger_pages):
            key = f'{ledger.PAGE_PREFIX}{number:04d}'
            self._opened[key] = event.Event()
            gevent.spawn(self._open, key)
        gevent.spawn(self._refill_for_good)

    def opened(self):
        """Tell whether money can be drawn."""
        return all(opened.is_set() for opened in self._opened.values())

    def routers(self):
        """Return how many routers hold money, as far as is known."""
        known = 1
        for writer in self._writers.values():
            page = writer.page()
            if page is not None:
                known = max(known, len(page.writers))
        return known

    def reserve(self, budget, amount, wait_ms):
        """Return a Reservation of `amount` tokens, or a NoMoney."""
        self._book.note_demand(budget, amount)
        if self._book.reserve(budget, amount):
            return reservations.Reservation(self._book, budget, amount)
        failed = self._draw(budget, amount, wait_ms)
        if not self._book.reserve(budget, amount):
            failed = failed or self._shortage(budget, amount)
            if failed.shortage is reservations.Shortage.EXHAUSTED:
                return failed
            self._borrow(budget, amount)
            if not self._book.reserve(budget, amount):
                return failed
        return reservations.Reservation(self._book, budget, amount)

    def _borrow(self, budget, amount):
        """Ask those that hold most of a budget to lend some."""
        held = self._book.held(budget)
        if self._clock.now() - held.refused_at < BORROW_PAUSE_MS:
            return
        page = self._writer_of(budget).page()
        if page is None:
            return
        for address in lending.lenders(page, budget, self.name)[:MOST_LENDERS]:
            need = amount - held.available()
            if need <= 0:
                return
            lent = self._lending.ask(address, budget, need)
            if lent:
                self._book.borrowed(budget, lent)
                self._metrics.count('grants.borrowed')
        if held.available() < amount:
            held.refused_at = self._clock.now()

    def lend(self, budget, need):
        """Return how many tokens this router lends to another.

        What is lent counts as spent here, so nothing needs to be agreed on.
        """
        held = self._book.held(budget)
        spare = held.available() - self._book.demand_in(budget, KEPT_MS)
        if spare < need:
            return 0
        amount = min(spare, max(need, spare // 2))
        self._metrics.count('grants.lent')
        return amount if self._book.lend(budget, amount) else 0

    def _draw(self, budget, amount, wait_ms):
        """Draw for a request that waits; return NoMoney or None."""
        until = self._clock.now() + wait_ms
        if not self._opened[self._key(budget)].wait(wait_ms / 1000):
            return reservations.NoMoney(
                reservations.Shortage.UNREACHABLE, 'not opened yet'
            )
        if self._unreachable:
            return reservations.NoMoney(
                reservations.Shortage.UNREACHABLE, 'failed a moment ago'
            )
        held = self._book.held(budget)
        held.waiting += amount
        try:
            # A draw that was under way did not know of this request.
            for _ in range(MOST_DRAWS):
                change = self._drawing.get(budget)
                if change is None or change.result.ready():
                    if self._scarce(held):
                        break
                    change = self._start_draw(budget)
                left_ms = max(0, until - self._clock.now())
                change.result.get(timeout=left_ms / 1000)
                if held.available() >= amount:
                    break
        except gevent.Timeout:
            return reservations.NoMoney(
                reservations.Shortage.UNREACHABLE, f'silent for {wait_ms} ms'
            )
        except (
            store_base.StoreError,
            pages.Undecided,
            pages.HolderSealed,
        ) as exc:
            self._unreachable = True
            return reservations.NoMoney(
                reservations.Shortage.UNREACHABLE, str(exc)
            )
        finally:
            held.waiting -= amount
        return None

    def _scarce(self, held):
        return self._clock.now() - held.scarce_at < SCARCE_PAUSE_MS

    def _start_draw(self, budget):
        """Ask the ledger for what is wanted of a budget; return the Change."""
        held = self._book.held(budget)

        def function(page):
            self._prepare(page, self._key(budget))
            self._report(page)
            entry = page.entries.get(budget)
            if entry is None:
                return pages.Unchanged(0)
            missing = self._target(budget, entry) - held.available()
            need = held.waiting - held.available()
            want = max(missing, need)
            amount = ledger.draw(page, budget, self.name, 1, want)
            return amount or pages.Unchanged(0)

        def done(outcome):
            self._unreachable = False
            if isinstance(outcome, ledger.LedgerError) or not outcome:
                held.scarce_at = self._clock.now()
                return
            self._book.granted(budget, outcome)
            self._metrics.count('grants.drawn')

        def failed(_):
            self._unreachable = True

        change = self._writer_of(budget).submit(function, done, failed)
        self._drawing[budget] = change
        return change

    def _target(self, budget, entry):
        """Return how many tokens of a budget should be at hand."""
        demand = self._book.demand_in(budget, HORIZON_MS)
        share = entry.share_of(self.name, self._rate(budget))
        return min(demand, int(HELD_SHARE * share * entry.left()))

    def _rate(self, budget):
        """Return the demand for a budget here, in tokens a second."""
        return self._book.demand_in(budget, 1000)

    def _key(self, budget):
        return ledger.page_key(budget, self._cfg.ledger_pages)

    def _prepare(self, page, key):
        """Bring a page's limits up to the configuration in force."""
        catalog = self._catalog()
        if self._paged_for is not catalog:
            self._paged_for = catalog
            self._paged = collections.defaultdict(list)
            for account in catalog.accounts.values():
                if account.prepaid is not None:
                    self._paged[self._key(account.name)].append(account)
        for account in self._paged[key]:
            ledger.set_limit(
                page, account.name, account.prepaid, catalog.generation
            )

    def _report(self, page):
        """Write what has been spent into the grants of this page."""
        for budget in self._book.budgets():
            entry = page.entries.get(budget)
            grant = entry.grants.get(self.name) if entry else None
            if grant is not None:
                grant.spent = self._book.held(budget).own_spent()
                grant.rate = self._rate(budget)

    def _shortage(self, budget, amount):
        """Tell why a draw brought too little."""
        page = self._writer_of(budget).page()
        entry = page.entries.get(budget) if page else None
        held = self._book.held(budget)
        return reservations.shortage(entry, self.name, held, amount)

    def follow(self):
        """Give back at once what a lowered limit no longer covers."""
        for account in self._catalog().accounts.values():
            if account.prepaid is None:
                continue
            held = self._book.held(account.name)
            if held.granted > account.prepaid:
                self._give_back(account.name, held, held.returnable())

    def _give_back(self, budget, held, surplus):
        """Return tokens that are not reserved."""
        if surplus <= 0:
            return
        # Taken out first, so that it isn't spent while it is on its way.
        held.granted -= surplus

        def function(page):
            self._prepare(page, self._key(budget))
            kept = ledger.shrink_grant(
                page, budget, self.name, surplus, held.own_spent(), 0
            )
            return kept or pages.Unchanged(False)

        def done(outcome):
            if isinstance(outcome, ledger.LedgerError):
                held.granted += surplus

        def failed(_):
            held.granted += surplus

        self._writer_of(budget).submit(function, done, failed)
        self._metrics.count('grants.returned')

    def _refill_for_good(self):
        while not self._closing:
            gevent.sleep(random.uniform(*REFILL_MS) / 1000)
            if self._unreachable:
                self._probe()
            for budget in self._book.budgets():
                self._refill(budget)

    def _probe(self):
        """See whether the ledger answers again."""
        for budget in self._book.budgets()[:1]:
            change = self._drawing.get(budget)
            if change is None or change.result.ready():
                self._start_draw(budget)

    def _refill(self, budget):
        """Draw ahead where less than half of the target is at hand.

        What is far above the target goes back.
        """
        held = self._book.held(budget)
        change = self._drawing.get(budget)
        if change is not None and not change.result.ready():
            return
        page = self._writer_of(budget).page()
        entry = page.entries.get(budget) if page else None
        if entry is None or self._unreachable:
            return
        target = self._target(budget, entry)
        surplus = min(held.returnable(), held.available() - target)
        if surplus > max(LEAST_RETURN, (SURPLUS_FACTOR - 1) * target):
            self._give_back(budget, held, surplus)
        elif 2 * held.available() < target and not self._scarce(held):
            self._start_draw(budget)

    def _open(self, key):
        """Take over a page from the process that ran here before."""
        prefix = f'{self._cfg.name}#'

        def function(page):
            for holder in list(page.writers):
                if holder.startswith(prefix) and holder != self.name:
                    ledger.replace_holder(page, holder, 'restarted')
            self._prepare(page, key)
            if self._cfg.peer_listen:
                page.contacts[self.name] = self._cfg.peer_listen
            return True

        while True:
            try:
                self._writer(key).submit(function).result.get()
                break
            except (store_base.StoreError, pages.Undecided):
                gevent.sleep(RETRY_S)
        self._opened[key].set()
        self._journal.note('money.opened', page=key, holder=self.name)

    def _writer_of(self, budget):
        return self._writer(self._key(budget))

    def _writer(self, key):
        writer = self._writers.get(key)
        if writer is None:
            writer = self._writers[key] = pages.PageWriter(
                self._store, key, self.name, lambda: None
            )
        return writer

    def close(self):
        """End the grants in order; what is reserved counts as spent."""
        self._closing = True
        changes = []
        for key, writer in self._writers.items():
            if self._opened[key].is_set():
                writer.retire()
                changes.append(writer.submit(self._end))
        try:
            for change in changes:
                change.result.get(timeout=CLOSE_TIMEOUT_S)
        except (
            store_base.StoreError,
            pages.Undecided,
            pages.HolderSealed,
            gevent.Timeout,
        ) as exc:
            self._journal.note('money.left_open', reason=str(exc))

    def _end(self, page):
        for budget in self._book.budgets():
            held = self._book.held(budget)
            if budget in page.entries:
                spent = min(held.granted, held.own_spent() + held.reserved)
                ledger.close_grant(page, budget, self.name, spent, 0)
        page.contacts.pop(self.name, None)
        return True

    def dump(self):
        """Return the state for people and tools."""
        budgets = {}
        for budget in self._book.budgets():
            held = self._book.held(budget)
            budgets[budget] = {
                'granted': held.granted,
                'reserved': held.reserved,
                'spent': held.spent,
                'available': held.available(),
            }
        return {'holder': self.name, 'budgets': budgets}
