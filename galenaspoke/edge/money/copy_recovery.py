"""What one holder does once the store came back from a copy.

The copy may lack draws that were made since it was taken.  In each new era of
the store the holder states what it was granted in all and joins the pages of
its budgets.  Once every holder that may have drawn tokens which the copy lacks
has made a statement, nothing is unseen any more, and the tokens that were kept
back for it are released.  See `core.durability`.

Example::

    recovery = CopyRecovery(
        holder_statements, members, clock, journal, book, changes, submit
    )
    recovery.begin_era()
    recovery.check_unseen('voucher-desk', page)
"""

import random

import gevent

from galenaspoke.core import durability
from galenaspoke.router import page_writer
from galenaspoke.store import base as store_base

# In a new era of the store, each router joins its pages within this time.
JOIN_SPREAD_S = 0.5
# How often a router checks whether anything is unseen still.
CHECK_INTERVAL_MS = 1_000


class CopyRecovery:
    """States the grants of one holder, and releases what is unseen.

    `holder_statements` are its Statements, `members` is the list of routers,
    `book` its GrantBook and `changes` its PageChanges.
    `submit(budget, update)` queues a change of a budget's page.
    """

    __slots__ = (
        '_statements',
        '_members',
        '_clock',
        '_journal',
        '_book',
        '_changes',
        '_submit',
        '_checked_at',
    )

    def __init__(
        self, holder_statements, members, clock, journal, book, changes, submit
    ):
        self._statements = holder_statements
        self._members = members
        self._clock = clock
        self._journal = journal
        self._book = book
        self._changes = changes
        self._submit = submit
        # When it was last checked whether anything is unseen, by page.
        self._checked_at = {}

    def begin_era(self):
        """State this holder's grants, and join their pages soon."""
        self._checked_at.clear()
        granted = {
            budget: self._book.get_balance(budget).granted
            for budget in self._book.budgets()
            if self._book.get_balance(budget).granted
        }
        gevent.spawn(
            self._statements.write,
            granted,
            self._members.list_vouched_eras(),
        )
        for budget in granted:
            gevent.spawn_later(
                random.uniform(0, JOIN_SPREAD_S), self._join_page, budget
            )

    def _join_page(self, budget):
        """Join the page of a budget that this holder has tokens of."""

        def update(page):
            must_write = self._changes.prepare(page, self._page_name(budget))
            self._changes.report_spending(page)
            return must_write or page_writer.Unchanged(None)

        self._submit(budget, update)

    def check_unseen(self, budget, page):
        """Release the unseen tokens of a budget's page, if that is safe.

        It is once every router that may have drawn them has made a statement.
        `page` is the page as last read or written, or None.
        """
        page_name = self._page_name(budget)
        now = self._clock.now()
        if page is None or not page.lost_eras:
            return
        if now - self._checked_at.get(page_name, 0) < CHECK_INTERVAL_MS:
            return
        self._checked_at[page_name] = now
        try:
            stated = self._statements.read_complete(page.lost_eras)
        except store_base.StoreError as exc:
            self._journal.note('money.statements_unread', why=str(exc))
            return
        if stated is None:
            return

        def update(page):
            self._changes.prepare(page, self._page_name(budget))
            for statement in stated:
                self._changes.join_as(
                    page,
                    statement.holder,
                    self._select(statement.granted, page_name),
                )
            return durability.release(page) or page_writer.Unchanged(False)

        self._submit(budget, update)
        self._journal.note('money.all_stated', page=page_name)

    def _select(self, granted_by_budget, page_name):
        """Return the items of the budgets on a page."""
        return {
            budget: granted
            for budget, granted in granted_by_budget.items()
            if self._page_name(budget) == page_name
        }

    def _page_name(self, budget):
        return self._changes.get_page_name(budget)
