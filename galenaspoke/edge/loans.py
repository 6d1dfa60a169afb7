"""Both sides of loans: what this router borrowed, and what it lent.

Example::

    borrowed = Borrowed(cfg, clock, metrics, lending, book)
    borrowed.ask('voucher-desk', '10.1.0.40:7340')    # a Loan, or None
    lent = Lent(clock)
    lent.note('voucher-desk', 'front-a-1', 4000)
    lent.still('voucher-desk')                        # 4000
"""

import collections

from galenaspoke.edge import loan_protocol

# A router that found no lender for a budget asks again after this time.
BORROW_PAUSE_MS = 400
MOST_LENDERS = 3
# A lender that didn't answer isn't asked again before this time.
SILENT_MS = 1_500
# What a borrower asks for on top: its demand of this time.
AHEAD_MS = 1_000
# What nobody has used for so long on another owner's page goes back.
UNUSED_MS = 1_500
# What a borrower had is taken for spent after this time without a word.
LENT_KNOWN_MS = 20_000


class Borrowed:
    """The loans that one router has."""

    __slots__ = (
        '_cfg',
        '_clock',
        '_metrics',
        '_lending',
        '_book',
        '_silent',
        '_lenders',
    )

    def __init__(self, cfg, clock, metrics, lending_, book):
        self._cfg = cfg
        self._clock = clock
        self._metrics = metrics
        # Asks other routers.
        self._lending = lending_
        self._book = book
        # Until when lenders aren't asked, by address.
        self._silent = {}
        # Who lent last: budget to (address, holder, tokens lent by it).
        self._lenders = {}

    def is_silent(self, address):
        """Tell whether a lender didn't answer a moment ago."""
        return self._clock.now() < self._silent.get(address, 0)

    def note_silent(self, address):
        """Note that a lender didn't answer."""
        self._silent[address] = self._clock.now() + SILENT_MS

    def ask(self, budget, address):
        """Ask for what requests wait for; return the Loan, or None."""
        held = self._book.get_balance(budget)
        asked = loan_protocol.Ask(
            budget,
            max(1, held.waiting_tokens - held.available()),
            self._book.forecast_demand(budget, AHEAD_MS),
            self._cfg.name,
            max(0, held.borrowed - held.spent),
        )
        loan = self._lending.ask(address, asked)
        if loan is not None and loan.tokens:
            self._note(budget, address, loan)
        return loan

    def _note(self, budget, address, loan):
        self._book.record_loan(budget, loan.tokens)
        self._metrics.count('grants.borrowed')
        last = self._lenders.get(budget)
        before = last[2] if last and last[1] == loan.holder else 0
        self._lenders[budget] = (address, loan.holder, before + loan.tokens)

    def ask_holders(self, budget, page, own):
        """Ask those that hold most of a budget to lend some."""
        held = self._book.get_balance(budget)
        if self._clock.now() - held.last_loan_shortage_at < BORROW_PAUSE_MS:
            return
        addresses = loan_protocol.lenders(page, budget, own)
        for address in addresses[:MOST_LENDERS]:
            if held.available() >= held.waiting_tokens:
                return
            if not self.is_silent(address):
                self.ask(budget, address)
        if held.available() < held.waiting_tokens:
            held.last_loan_shortage_at = self._clock.now()

    def give_back(self, budget, unused_ms=UNUSED_MS):
        """Give back what is left of a loan that nobody used for a while."""
        lender = self._lenders.get(budget)
        used_at = self._book.get_balance(budget).last_used_at
        if lender is None or self._clock.now() - used_at < unused_ms:
            return
        address, holder, most = lender
        tokens = self._book.release_loan(budget, most)
        del self._lenders[budget]
        if tokens:
            returned = loan_protocol.Return(
                budget, tokens, holder, self._cfg.name
            )
            self._lending.give_back(address, returned)

    def give_all_back(self):
        """Give back what is left of all loans."""
        for budget in list(self._lenders):
            self.give_back(budget, unused_ms=0)


class Lent:
    """What borrowers may still have of what one router lent."""

    __slots__ = ('_clock', '_lent')

    def __init__(self, clock):
        self._clock = clock
        # Budget to borrower to (tokens, when that was known).
        self._lent = collections.defaultdict(dict)

    def note(self, budget, borrower, tokens):
        """Note what a borrower has by now."""
        self._lent[budget][borrower] = (tokens, self._clock.now())

    def of(self, budget, borrower):
        """Return what a borrower had when it was last heard of."""
        return self._lent[budget].get(borrower, (0, 0))[0]

    def still(self, budget):
        """Return what all borrowers may not have spent yet."""
        since = self._clock.now() - LENT_KNOWN_MS
        lent = self._lent[budget].values()
        return sum(tokens for tokens, at in lent if at >= since)
