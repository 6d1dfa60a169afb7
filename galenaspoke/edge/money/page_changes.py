"""What one holder writes into a ledger page, besides draws and returns.

Each method changes a page in memory; `ledger_client` writes it to the store.

Example::

    changes = PageChanges(holder_name, cfg, journal, get_catalog, book, draws)
    changes.prepare(page, '0017')
    changes.report_spending(page)
"""

import collections

from galenaspoke.core import durability
from galenaspoke.core import ledger


class PageChanges:
    """Keeps a page up to date with what one holder knows.

    `get_catalog` returns the catalog in force, `book` is the holder's
    GrantBook, and `draws` are its VolatileDraws.
    """

    __slots__ = (
        'returning',
        '_holder_name',
        '_cfg',
        '_journal',
        '_get_catalog',
        '_book',
        '_draws',
        '_accounts_by_page',
        '_grouped_catalog',
    )

    def __init__(self, holder_name, cfg, journal, get_catalog, book, draws):
        # Tokens that are being returned, by budget: no longer part of the
        # holder's grant here, but still in the ledger.
        self.returning = collections.Counter()
        self._holder_name = holder_name
        self._cfg = cfg
        self._journal = journal
        self._get_catalog = get_catalog
        self._book = book
        self._draws = draws
        # Prepaid accounts by page name, and the catalog they were taken from.
        self._accounts_by_page = {}
        self._grouped_catalog = None

    def get_page_name(self, budget):
        """Return the name of the page that contains a budget."""
        return ledger.page_name(budget, self._cfg.ledger_pages)

    def owns_page(self, page):
        """Return whether an incarnation of this instance owns a page."""
        return page.owner.startswith(self._instance_prefix())

    def prepare(self, page, page_name):
        """Apply the catalog's limits and this router's address to a page.

        Also ends the grants of a predecessor, and joins a page that was taken
        over from a copy; returns whether there was anything to end or join.
        """
        had_predecessor = self.end_predecessors(page)
        if self._cfg.peer_listen:
            page.contacts[self._holder_name] = self._cfg.peer_listen
        catalog = self._get_catalog()
        if self._grouped_catalog is not catalog:
            self._grouped_catalog = catalog
            self._accounts_by_page = collections.defaultdict(list)
            for account in catalog.accounts.values():
                if account.prepaid is not None:
                    self._accounts_by_page[
                        self.get_page_name(account.name)
                    ].append(account)
        for account in self._accounts_by_page[page_name]:
            ledger.set_limit(
                page, account.name, account.prepaid, catalog.generation
            )
        has_joined = self._join(page, page_name)
        return had_predecessor or has_joined

    def _join(self, page, page_name):
        """State this holder's grants on a page that was taken over.

        Returns whether it had not done so before.
        """
        if not page.lost_eras:
            return False
        granted = {
            budget: self._book.get_balance(budget).granted
            + self.returning[budget]
            for budget in self._book.budgets()
            if self.get_page_name(budget) == page_name
        }
        is_new = any(
            self._holder_name not in entry.joined
            for entry in page.entries.values()
        )
        self.join_as(page, self._holder_name, granted)
        return is_new

    def join_as(self, page, holder, granted_by_budget):
        """State the grants of a holder on a page that was taken over."""
        for budget in durability.join(page, holder, granted_by_budget):
            # The store came back from an older copy than it ever should.
            self._journal.note(
                'money.copy_too_old', budget=budget, holder=holder
            )

    def end_predecessors(self, page):
        """End the grants of predecessors; return whether there were any."""
        predecessors = [
            holder
            for holder in page.writers
            if holder.startswith(self._instance_prefix())
            and holder != self._holder_name
        ]
        for holder in predecessors:
            ledger.close_holder(page, holder, 'restarted')
            self._journal.note(
                'money.replaced', holder=holder, by=self._holder_name
            )
        return bool(predecessors)

    def claim_ownership(self, page, displaced):
        """Claim a page that no other router owns, or that `displaced` owns.

        Returns whether this router owns the page now.
        """
        if page.owner in ('', displaced) or self.owns_page(page):
            page.owner = self._holder_name
        return page.owner == self._holder_name

    def report_spending(self, page):
        """Update the spent tokens in this holder's grants on a page.

        Returns True, so that it can be submitted as a change.
        """
        for budget, entry in page.entries.items():
            grant = entry.grants.get(self._holder_name)
            if grant is not None:
                balance = self._book.get_balance(budget)
                grant.spent = balance.spent_from_grant()
                # Draws of the same write are in the page, not in the book yet.
                unrecorded = max(
                    0,
                    grant.granted - balance.granted - self.returning[budget],
                )
                grant.volatile = self._draws.get_volatile(budget, unrecorded)
            if page.owner == self._holder_name:
                entry.closed_volatile -= self._draws.count_durable_closed(
                    budget, entry.closed_volatile
                )
        return True

    def close_grants(self, page):
        """Settle this holder's grants on a page and give up the page."""
        for budget in page.entries:
            balance = self._book.get_balance(budget)
            spent = min(
                balance.granted, balance.spent_from_grant() + balance.reserved
            )
            ledger.close_grant(page, budget, self._holder_name, spent, 0)
        page.contacts.pop(self._holder_name, None)
        if page.owner == self._holder_name:
            page.owner = ''
        return True

    def _instance_prefix(self):
        return f'{self._cfg.name}#'
