"""Fetches of prepaid tokens: draws from the ledger and loans for requests.

A *fetch* is one attempt to get the tokens that the requests and borrowers of
one budget wait for.  All of them share it.

Example::

    fetcher = Fetcher(clock, book, ledger_client, borrower)
    fetcher.await_tokens('voucher-desk', 1540, 300, fetcher.fetch)
"""

import gevent

from galenaspoke.edge.money import ledger_client
from galenaspoke.edge.money import reservations
from galenaspoke.store import base as store_base

# A draw that granted nothing is not repeated within this time.
DRAW_BACKOFF_MS = 1_000
# How many fetches one request waits for before it is refused.
MAX_FETCH_ATTEMPTS = 3
# How many owners one fetch asks for a loan, one after the other.
MAX_OWNERS_ASKED = 3


class Fetcher:
    """Runs the fetches of one router, at most one for a budget at a time.

    `book` is the router's GrantBook; `client`, its LedgerClient, draws from
    the ledger, and `borrower` asks other routers for loans.
    """

    __slots__ = ('_clock', '_book', '_ledger_client', '_borrower', '_latest')

    def __init__(self, clock, book, client, borrower):
        self._clock = clock
        self._book = book
        self._ledger_client = client
        self._borrower = borrower
        # The latest fetch of each budget, a greenlet that may have ended.
        self._latest = {}

    def await_tokens(self, budget, amount, wait_ms, fetch):
        """Run `fetch` until `amount` tokens are available.

        Stops as well if a fetch fails, after MAX_FETCH_ATTEMPTS and after
        `wait_ms`.  Requests for one budget share a fetch.  Returns what the
        last fetch returned, or a ReservationFailure if time is up.
        """
        until = self._clock.now() + wait_ms
        balance = self._book.get_balance(budget)
        balance.waiting_tokens += amount
        result = None
        try:
            # A fetch already under way may not have counted this request.
            for _ in range(MAX_FETCH_ATTEMPTS):
                task = self._latest.get(budget)
                if task is None or task.ready():
                    task = gevent.spawn(fetch, budget)
                    self._latest[budget] = task
                left_ms = max(0, until - self._clock.now())
                result = task.get(timeout=left_ms / 1000)
                failed = isinstance(result, reservations.ReservationFailure)
                if failed or balance.available() >= amount:
                    break
        except gevent.Timeout:
            return reservations.unreachable(
                f'no response from the ledger or a lender within {wait_ms} ms'
            )
        finally:
            balance.waiting_tokens -= amount
        return result

    def is_fetching(self, budget):
        """Return whether a fetch for a budget is under way."""
        task = self._latest.get(budget)
        return task is not None and not task.ready()

    def is_scarce(self, balance):
        """Return whether a draw granted nothing within DRAW_BACKOFF_MS."""
        return self._clock.now() - balance.last_shortage_at < DRAW_BACKOFF_MS

    def begin_as_owner(self, budget):
        """Start `fetch_as_owner` for a budget that isn't being fetched."""
        self._latest[budget] = gevent.spawn(self.fetch_as_owner, budget)

    def fetch(self, budget):
        """Get the tokens that requests wait for, by a draw or by loans.

        Returns a ReservationFailure or None; None does not mean that enough
        tokens came.
        """
        balance = self._book.get_balance(budget)
        if (
            self._ledger_client.is_unreachable
            and self._ledger_client.get_cached_page(budget) is None
        ):
            return reservations.unreachable(
                'the ledger is unreachable; it is probed until it responds'
            )
        try:
            try:
                return self._draw_or_borrow(budget, balance)
            except store_base.EraChanged:
                # The pages of the new era have other keys; look again.
                return self._draw_or_borrow(budget, balance)
        except ledger_client.LEDGER_CALL_ERRORS as exc:
            return reservations.unreachable(str(exc))

    def fetch_as_owner(self, budget):
        """Draw what requests and borrowers wait for, without borrowing.

        Draws the desired tokens if that is more.
        Returns a ReservationFailure, None, or MOVED if another router owns
        the page.
        """
        try:
            page = self._ledger_client.read_page(budget)
            if page.owner and not self._ledger_client.owns_page(page):
                return reservations.MOVED
            return self._run_draw(budget, self._ledger_client.draw)
        except ledger_client.LEDGER_CALL_ERRORS as exc:
            return reservations.unreachable(str(exc))

    def _draw_or_borrow(self, budget, balance):
        """Draw if this router owns the page, or else borrow from the owner.

        Takes over a page whose owner has no known address or does not answer.
        Draws without owning the page if MAX_OWNERS_ASKED tries don't settle
        who owns it.
        """
        if self._borrow_from_home(budget):
            return None
        page = self._ledger_client.read_page(budget)
        displaced = ''
        for _ in range(MAX_OWNERS_ASKED):
            address = page.contacts.get(page.owner)
            may_draw = not page.owner or self._ledger_client.owns_page(page)
            if (
                may_draw
                or not address
                or self._borrower.is_unresponsive(address)
            ):
                displaced = page.owner
            if may_draw or page.owner == displaced:
                result = self._draw_as_owner(budget, displaced)
                if result != reservations.MOVED:
                    return result
                page = self._ledger_client.get_cached_page(budget)
                continue
            loan = self._borrower.borrow(budget, address)
            if loan is None:
                self._borrower.mark_unresponsive(address)
            elif loan.tokens:
                return None
            elif loan.shortage != reservations.MOVED:
                return self._fetch_elsewhere(budget, balance, loan)
            page = self._ledger_client.read_page(budget, force_read=True)
        return self._draw_without_ownership(budget)

    def _borrow_from_home(self, budget):
        """Borrow without reading the page, which costs a call to the store.

        Asks the router that should own the page, which may find out that
        another one does.  Returns whether it lent anything.
        """
        if self._ledger_client.get_cached_page(budget) is not None:
            return False
        address = self._ledger_client.get_home(budget)
        if not address or self._borrower.is_unresponsive(address):
            return False
        loan = self._borrower.borrow(budget, address)
        if loan is None:
            self._borrower.mark_unresponsive(address)
        return loan is not None and loan.tokens > 0

    def _fetch_elsewhere(self, budget, balance, loan):
        """Look for tokens elsewhere after the owner refused a loan.

        Returns a ReservationFailure or None.
        """
        shortage = reservations.Shortage(loan.shortage)
        if shortage is reservations.Shortage.UNREACHABLE:
            return self._draw_without_ownership(budget)
        if shortage is reservations.Shortage.HELD_ELSEWHERE:
            self._borrow_from_holders(budget)
            if balance.available() >= balance.waiting_tokens:
                return None
        return reservations.ReservationFailure(shortage, loan.detail)

    def _borrow_from_holders(self, budget):
        page = self._ledger_client.get_cached_page(budget)
        self._borrower.borrow_from_holders(
            budget, page, self._ledger_client.holder_name
        )

    def _draw_as_owner(self, budget, displaced):
        """Draw as the owner; borrow if the draw granted too little.

        Returns a ReservationFailure, None, or MOVED if another router owns
        the page.
        """
        result = self._run_draw(budget, self._ledger_client.draw, displaced)
        balance = self._book.get_balance(budget)
        if result is None and balance.available() < balance.waiting_tokens:
            self._borrow_from_holders(budget)
        return result

    def _draw_without_ownership(self, budget):
        return self._run_draw(
            budget, self._ledger_client.draw_without_ownership
        )

    def _run_draw(self, budget, draw, *args):
        """Call `draw` and wait for its outcome.

        Does not call it while the ledger is unreachable, or if a recent draw
        granted nothing.  Returns a ReservationFailure, None, or MOVED if
        another router owns the page.  Raises one of LEDGER_CALL_ERRORS.
        """
        if self._ledger_client.is_unreachable:
            return reservations.unreachable(
                'the ledger is unreachable; it is probed until it responds'
            )
        if self.is_scarce(self._book.get_balance(budget)):
            return None
        outcome = draw(budget, *args).result.get()
        return outcome if outcome == reservations.MOVED else None
