"""One router's dealings with the ledger: draws, reports, returns.

Each page has an *owner*, the one router that draws its budgets ahead.  The
others ask the owner for loans, so that the calls to the store follow the
money that is spent and not the number of routers.  Nothing depends on there
being one owner: who doesn't get an answer takes the page over, and what the
former owner holds stays its own.

A process that starts on an instance proves that the one before is dead.  It
ends its predecessor's grants on each page that it comes to use.

Example::

    change = drawing.draw('voucher-desk')
    change.result.get()      # 12000, 0 or MOVED
"""

import collections

from galenaspoke.core import ledger
from galenaspoke.edge import reservations
from galenaspoke.router import page_writer
from galenaspoke.store import base as store_base

# How long a demand the grants should last.  A cut from the store is ridden
# out on the second path to it, not on what is held.
HORIZON_MS = 5_000
# Of what is left of a budget, the part that its owner may hold.  What is
# held is lost when the owner dies, the rest is not.
HELD_SHARE = 0.04
# What asking the ledger may raise.
FAILURES = (
    store_base.StoreError,
    page_writer.WritePending,
    page_writer.HolderSealed,
)


class Drawing:
    """What one holder does in the ledger's pages."""

    __slots__ = (
        'name',
        'unreachable',
        '_cfg',
        '_store',
        '_metrics',
        '_journal',
        '_catalog',
        '_book',
        '_clock',
        '_writers',
        '_paged',
        '_paged_for',
    )

    def __init__(
        self, name, cfg, store, clock, metrics, journal, catalog, book
    ):
        self.name = name
        # The ledger failed to answer; requests don't wait for it until it
        # has answered again.
        self.unreachable = False
        self._cfg = cfg
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._journal = journal
        # Returns the catalog in force.
        self._catalog = catalog
        # Where the grants are kept.
        self._book = book
        self._writers = {}
        # Prepaid accounts by page, and the catalog that they are of.
        self._paged = {}
        self._paged_for = None

    def seen(self, budget):
        """Return a budget's page as last seen, or None."""
        return self._writer(budget).get_last_page()

    def read(self, budget, again=False):
        """Return a budget's page, from the store if it wasn't seen yet.

        A predecessor's grants there are ended.  Raises what is in FAILURES.
        """

        def function(page):
            return self._replace(page) or page_writer.Unchanged(None)

        if again or self.seen(budget) is None:
            self._submit(budget, function).result.get()
        return self.seen(budget)

    def owns(self, page):
        """Tell whether this instance owns a page."""
        return page.owner.startswith(self._prefix())

    def owned(self, budget):
        """Tell whether this instance owns a budget's page, as last seen."""
        page = self.seen(budget)
        return page is not None and self.owns(page)

    def draw(self, budget, displaced=''):
        """Ask the ledger for what is wanted of a budget; return the Change.

        A page without an owner, or whose owner `displaced` is, becomes this
        router's.
        """

        def function(page):
            altered = self._prepare(page, budget)
            before = page.owner
            if not self._take(page, displaced):
                return page_writer.Unchanged(reservations.MOVED)
            altered = altered or page.owner != before
            target = self._target(page, budget)
            return self._grant(page, budget, target, altered)

        def done(outcome):
            drawn = self._drawn(budget, outcome, 'grants.drawn')
            if drawn and displaced not in ('', self.name):
                self._journal.note(
                    'money.taken_over', budget=budget, of=displaced
                )

        return self._submit(budget, function, done)

    def draw_aside(self, budget):
        """Draw only what requests wait for, on a page of another owner."""

        def function(page):
            altered = self._prepare(page, budget)
            return self._grant(page, budget, 0, altered)

        def done(outcome):
            self._drawn(budget, outcome, 'grants.drawn_aside')

        return self._submit(budget, function, done)

    def _drawn(self, budget, outcome, counter):
        """Note what came of a draw; return whether it brought anything."""
        self.unreachable = False
        if outcome == reservations.MOVED:
            return False
        if isinstance(outcome, ledger.LedgerError) or not outcome:
            self._book.get_balance(budget).last_shortage_at = self._clock.now()
            return False
        self._book.granted(budget, outcome)
        self._metrics.count(counter)
        return True

    def _grant(self, page, budget, target, altered):
        """Grant in a page what `target` and the requests need.

        `altered` tells that the page is to be written in any case.
        """
        held = self._book.get_balance(budget)
        self._report(page)
        if budget not in page.entries:
            return page_writer.Unchanged(0)
        want = max(target, held.waiting_tokens) - held.available()
        amount = ledger.draw(page, budget, self.name, 1, want)
        return amount if amount or altered else page_writer.Unchanged(0)

    def wants(self, budget):
        """Return how far from its target a budget is, and the target."""
        page = self.seen(budget)
        if page is None:
            return 0, 0
        target = self._target(page, budget)
        return target - self._book.available(budget), target

    def _target(self, page, budget):
        """Return how many tokens of a budget should be at hand."""
        entry = page.entries.get(budget)
        if entry is None:
            return 0
        demand = self._book.forecast_demand(budget, HORIZON_MS)
        return min(demand, int(HELD_SHARE * entry.unspent_tokens()))

    def _prepare(self, page, budget):
        """Bring a page up to the configuration and to this process.

        Returns whether a predecessor's grants were ended.
        """
        replaced = self._replace(page)
        if self._cfg.peer_listen:
            page.contacts[self.name] = self._cfg.peer_listen
        catalog = self._catalog()
        if self._paged_for is not catalog:
            self._paged_for = catalog
            self._paged = collections.defaultdict(list)
            for account in catalog.accounts.values():
                if account.prepaid is not None:
                    self._paged[self._key(account.name)].append(account)
        for account in self._paged[self._key(budget)]:
            ledger.set_limit(
                page, account.name, account.prepaid, catalog.generation
            )
        return replaced

    def _replace(self, page):
        """End a predecessor's grants; return whether there was one."""
        gone = [
            holder
            for holder in page.writers
            if holder.startswith(self._prefix()) and holder != self.name
        ]
        for holder in gone:
            ledger.close_holder(page, holder, 'restarted')
            self._journal.note('money.replaced', holder=holder, by=self.name)
        return bool(gone)

    def _take(self, page, displaced):
        """Own a page if nobody else does; return whether it's owned."""
        if page.owner in ('', displaced) or self.owns(page):
            page.owner = self.name
        return page.owner == self.name

    def _report(self, page):
        """Write what has been spent into the grants of this page."""
        for budget, entry in page.entries.items():
            grant = entry.grants.get(self.name)
            if grant is not None:
                grant.spent = self._book.get_balance(budget).spent_from_grant()

    def shortage(self, budget, amount, lent):
        """Return the NoMoney of a draw that brought too little.

        `lent` is what borrowers may still have.
        """
        page = self.seen(budget)
        entry = page.entries.get(budget) if page else None
        held = self._book.get_balance(budget)
        return reservations.shortage(entry, self.name, held, amount, lent)

    def give_back(self, budget, surplus):
        """Return tokens to the ledger that are not reserved."""
        if surplus <= 0:
            return
        held = self._book.get_balance(budget)
        # Taken out first, so that it isn't spent while it is on its way.
        held.granted -= surplus

        def function(page):
            self._prepare(page, budget)
            kept = ledger.shrink_grant(
                page, budget, self.name, surplus, held.spent_from_grant(), 0
            )
            return kept or page_writer.Unchanged(False)

        def done(outcome):
            if isinstance(outcome, ledger.LedgerError):
                held.granted += surplus

        def failed(_):
            held.granted += surplus

        self._submit(budget, function, done, failed)
        self._metrics.count('grants.returned')

    def close(self):
        """Begin to end all grants in order; return the Changes.

        What is reserved counts as spent.
        """
        changes = []
        for writer in self._writers.values():
            page = writer.get_last_page()
            if page is not None and self.name in page.writers:
                writer.retire()
                changes.append(writer.submit(self._end))
        return changes

    def _end(self, page):
        for budget in page.entries:
            held = self._book.get_balance(budget)
            spent = min(held.granted, held.spent_from_grant() + held.reserved)
            ledger.close_grant(page, budget, self.name, spent, 0)
        page.contacts.pop(self.name, None)
        if page.owner == self.name:
            page.owner = ''
        return True

    def _submit(self, budget, function, done=lambda _: None, failed=None):
        def note(exc):
            self.unreachable = True
            if failed is not None:
                failed(exc)

        return self._writer(budget).submit(function, done, note)

    def _writer(self, budget):
        key = self._key(budget)
        writer = self._writers.get(key)
        if writer is None:
            writer = self._writers[key] = page_writer.PageWriter(
                self._store, key, self.name, lambda: None
            )
        return writer

    def _key(self, budget):
        return ledger.page_key(budget, self._cfg.ledger_pages)

    def _prefix(self):
        return f'{self._cfg.name}#'
