"""One router's calls to the ledger: draws, reports and returns of grants.

Every ledger page has an *owner*, the only router that draws grants ahead of
demand.  The other routers borrow from the owner, so the number of store calls
grows with the tokens spent and not with the number of routers.  Correctness
does not depend on there being one owner: a router that gets no answer from
the owner takes over the page, and the former owner keeps the grants it holds.

A process that starts on an instance proves that the previous incarnation is
dead.  It ends its predecessor's grants on every page that it uses.

When the store comes back from a copy, changes under way are given up, the
router states what it was granted, and it joins the pages of the new era; see
`copy_recovery`.

Example::

    change = ledger_client.draw('voucher-desk')
    change.result.get()      # 12000 tokens, 0 or MOVED
"""

from galenaspoke.core import durability
from galenaspoke.core import ledger
from galenaspoke.edge.money import copy_recovery
from galenaspoke.edge.money import ledger_pages
from galenaspoke.edge.money import page_changes
from galenaspoke.edge.money import reservations
from galenaspoke.edge.money import statements
from galenaspoke.edge.money import volatile_draws
from galenaspoke.router import page_writer
from galenaspoke.store import base as store_base

# The owner's grants should cover the expected demand over this time.  They
# need not last through a store outage: a router that loses its connection to
# the store reaches it through a relay (see `relay_discovery`).
DEMAND_HORIZON_MS = 5_000
# Largest share of a budget's unspent tokens that its owner holds.  If the
# owner dies, the tokens that it holds are in doubt and can't be spent until an
# operator settles them; the rest of the budget can.
MAX_HELD_SHARE = 0.04
# An owner reports what it has spent once this share of the limit is not
# reported, even if it draws nothing.
REPORT_SHARE = 0.04
# Result of a draw that found that enough tokens are held already.
NOTHING_WANTED = 'nothing wanted'
_UNCHANGED_NOTHING_WANTED = page_writer.Unchanged(NOTHING_WANTED)
# What a call to the ledger may raise.  A ledger.LedgerError is not raised; it
# is the result of a Change.
LEDGER_CALL_ERRORS = (
    store_base.StoreError,
    page_writer.WritePending,
    page_writer.HolderSealed,
)


class LedgerClient:
    """Reads and changes the ledger pages on behalf of one holder.

    `members` is the list of routers, in which this one is registered, and
    `eras` the Eras of the store.  `get_catalog` returns the catalog in force;
    `book` is the GrantBook of the holder.  The *desired tokens* of a budget
    are those that the owner of its page should hold.
    """

    __slots__ = (
        'holder_name',
        'is_unreachable',
        '_store',
        '_pages',
        '_members',
        '_draws',
        '_changes',
        '_recovery',
        '_metrics',
        '_journal',
        '_book',
        '_clock',
        '_writers',
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
        book,
    ):
        # The router's name as a holder, with its incarnation.
        self.holder_name = members.holder_name
        # A call to the ledger failed, and no draw has been answered since.
        # Meanwhile requests draw nothing; they may borrow.
        self.is_unreachable = False
        self._store = store
        self._pages = ledger_pages.LedgerPages(store, eras)
        self._members = members
        self._draws = volatile_draws.VolatileDraws(clock, store)
        self._changes = page_changes.PageChanges(
            self.holder_name, cfg, journal, get_catalog, book, self._draws
        )
        self._recovery = copy_recovery.CopyRecovery(
            statements.Statements(cfg, self.holder_name, store, eras, journal),
            members,
            clock,
            journal,
            book,
            self._changes,
            self._submit,
        )
        self._clock = clock
        self._metrics = metrics
        self._journal = journal
        self._book = book
        # PageWriters by page name, all of the store's present era.
        self._writers = {}
        # After that of `members`, which it relies on.
        store.add_era_listener(self._begin_era)

    def get_cached_page(self, budget):
        """Return a budget's page as last read or written, or None."""
        return self._writer(budget).get_last_page()

    def get_home(self, budget):
        """Return the address of the router that should own a budget's page.

        It is empty if that is this router.
        """
        return self._members.routers.get_home(self._page_name(budget))

    def read_page(self, budget, force_read=False):
        """Return a budget's page, read from the store if it is not cached.

        `force_read` reads it in any case.  A read also ends the grants of a
        predecessor on the page.  Raises one of LEDGER_CALL_ERRORS.
        """

        def update(page):
            return self._changes.end_predecessors(
                page
            ) or page_writer.Unchanged(None)

        if force_read or self.get_cached_page(budget) is None:
            self._submit(budget, update).result.get()
        return self.get_cached_page(budget)

    def owns_page(self, page):
        """Return whether an incarnation of this instance owns a page."""
        return self._changes.owns_page(page)

    def owns_budget(self, budget):
        """Return whether this instance owns a budget's cached page."""
        page = self.get_cached_page(budget)
        return page is not None and self.owns_page(page)

    def draw(self, budget, displaced=''):
        """Draw the desired tokens of a budget; return the Change.

        Draws what requests wait for if that is more.  The Change's result is
        the number of tokens granted, or MOVED if another router owns the page.
        This router becomes the owner of a page that has none or that belongs
        to `displaced`.
        """

        def update(page):
            must_write = self._changes.prepare(page, self._page_name(budget))
            if not self._members.may_draw():
                return page_writer.Unchanged(0)
            previous_owner = page.owner
            if not self._changes.claim_ownership(page, displaced):
                return page_writer.Unchanged(reservations.MOVED)
            must_write = must_write or page.owner != previous_owner
            desired = self._compute_desired_tokens(page, budget)
            return self._grant(page, budget, desired, must_write)

        def on_done(outcome):
            has_drawn = self._record_draw(budget, outcome, 'grants.drawn')
            if has_drawn and displaced not in ('', self.holder_name):
                self._journal.note(
                    'money.taken_over', budget=budget, of=displaced
                )

        return self._submit(budget, update, on_done)

    def draw_without_ownership(self, budget):
        """Draw only what requests wait for, leaving the page to its owner.

        Returns the Change; its result is the number of tokens granted.
        """

        def update(page):
            must_write = self._changes.prepare(page, self._page_name(budget))
            return self._grant(page, budget, 0, must_write)

        def on_done(outcome):
            self._record_draw(budget, outcome, 'grants.drawn_aside')

        return self._submit(budget, update, on_done)

    def _record_draw(self, budget, outcome, counter):
        """Record the outcome of a draw; return whether it granted tokens."""
        self.is_unreachable = False
        if outcome in (reservations.MOVED, NOTHING_WANTED):
            return False
        if isinstance(outcome, ledger.LedgerError) or not outcome:
            self._book.get_balance(budget).last_shortage_at = self._clock.now()
            return False
        self._book.record_grant(budget, outcome)
        self._draws.record_draw(budget, outcome)
        self._metrics.count(counter)
        return True

    def _grant(self, page, budget, desired, must_write):
        """Draw tokens in a page and report what was spent.

        Draws up to the larger of `desired` and what requests wait for, less
        what is available; returns the tokens granted, or NOTHING_WANTED.
        `must_write` says that the page has changed and must be written even if
        none are granted.
        """
        balance = self._book.get_balance(budget)
        self._changes.report_spending(page)
        if budget not in page.entries or not self._members.may_draw():
            return page_writer.Unchanged(0)
        missing = max(desired, balance.waiting_tokens) - balance.available()
        if missing <= 0:
            return NOTHING_WANTED if must_write else _UNCHANGED_NOTHING_WANTED
        if self._store.has_eras:
            room = durability.get_volatile_room(page.entries[budget])
            missing = min(missing, room)
        amount = ledger.draw(page, budget, self.holder_name, 1, missing)
        if amount:
            page.entries[budget].grants[self.holder_name].volatile += amount
        return amount if amount or must_write else page_writer.Unchanged(0)

    def get_deficit(self, budget):
        """Return how many tokens a budget lacks, and its desired tokens.

        The first is negative if more than the desired tokens are available.
        Both are 0 if the page has not been read yet.
        """
        page = self.get_cached_page(budget)
        if page is None:
            return 0, 0
        desired = self._compute_desired_tokens(page, budget)
        return desired - self._book.available(budget), desired

    def _compute_desired_tokens(self, page, budget):
        """Return how many tokens of a budget its owner should hold."""
        entry = page.entries.get(budget)
        if entry is None:
            return 0
        demand = self._book.forecast_demand(budget, DEMAND_HORIZON_MS)
        return min(demand, int(MAX_HELD_SHARE * entry.unspent_tokens()))

    def report_if_due(self, budget):
        """Report what was spent if much of it is not in the ledger yet.

        Draws report it as well, but a budget that is granted whole has none.
        """
        page = self.get_cached_page(budget)
        entry = page.entries.get(budget) if page else None
        grant = entry.grants.get(self.holder_name) if entry else None
        if grant is None:
            return
        spent = self._book.get_balance(budget).spent_from_grant()
        if spent - grant.spent > REPORT_SHARE * entry.limit:
            self._submit(budget, self._changes.report_spending)
            self._metrics.count('grants.reported')

    def diagnose_shortage(self, budget, amount, lent):
        """Return the ReservationFailure of a draw that granted too little.

        `lent` is the number of lent tokens that may still be unspent.
        """
        page = self.get_cached_page(budget)
        entry = page.entries.get(budget) if page else None
        balance = self._book.get_balance(budget)
        return reservations.diagnose_shortage(
            entry, self.holder_name, balance, amount, lent
        )

    def return_unreserved(self, budget, tokens):
        """Return unreserved tokens of this holder's grant to the ledger."""
        if tokens <= 0:
            return
        balance = self._book.get_balance(budget)
        # Deducted before the write, so that no request can spend them.
        balance.granted -= tokens
        self._changes.returning[budget] += tokens

        def update(page):
            self._changes.prepare(page, self._page_name(budget))
            has_shrunk = ledger.shrink_grant(
                page,
                budget,
                self.holder_name,
                tokens,
                balance.spent_from_grant(),
                0,
            )
            return has_shrunk or page_writer.Unchanged(False)

        def on_done(outcome):
            if isinstance(outcome, ledger.LedgerError):
                on_failed(outcome)
                return
            self._changes.returning[budget] -= tokens
            self._draws.record_return(budget, tokens)

        def on_failed(_):
            self._changes.returning[budget] -= tokens
            balance.granted += tokens

        self._submit(budget, update, on_done, on_failed)
        self._metrics.count('grants.returned')

    def close(self):
        """Queue the closing of all grants; return the Changes to wait for.

        Reserved tokens count as spent.
        """
        changes = []
        for writer in self._writers.values():
            page = writer.get_last_page()
            if page is not None and self.holder_name in page.writers:
                writer.retire()
                changes.append(writer.submit(self._changes.close_grants))
        return changes

    # Eras of the store.

    def _begin_era(self):
        """Give up all changes under way and state this holder's grants.

        What is under way was meant for pages that nobody uses any more.
        """
        writers = list(self._writers.values())
        self._writers.clear()
        for writer in writers:
            writer.abort(store_base.EraChanged('the era of the store rose'))
        self._changes.returning.clear()
        self._draws.begin_era()
        self._recovery.begin_era()

    def check_unseen(self, budget):
        """Release the unseen tokens of a budget's page, if that is safe.

        It is once every router that may have drawn them has made a statement.
        """
        self._recovery.check_unseen(budget, self.get_cached_page(budget))

    # Pages.

    def _submit(self, budget, update, on_done=lambda _: None, on_failed=None):
        """Queue a change of a budget's page; return the Change."""

        def on_write_failed(exc):
            if not isinstance(exc, store_base.EraChanged):
                self.is_unreachable = True
            if on_failed is not None:
                on_failed(exc)

        return self._writer(budget).submit(update, on_done, on_write_failed)

    def _writer(self, budget):
        name = self._page_name(budget)
        writer = self._writers.get(name)
        if writer is None:
            key = self._pages.make_key(name)
            writer = self._writers[name] = page_writer.PageWriter(
                self._pages, key, self.holder_name, lambda: None
            )
        return writer

    def _page_name(self, budget):
        return self._changes.get_page_name(budget)
