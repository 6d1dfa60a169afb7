"""One holder's volatile tokens: those that a copy of the store may lack.

Example::

    draws = VolatileDraws(clock, store)
    draws.record_draw('voucher-desk', 4000)
    draws.get_volatile('voucher-desk')     # 4000, and 0 some seconds later
"""

import collections

from galenaspoke.core import durability

# Stands for the time of a draw that no write since the last change of the era
# has confirmed.
_UNCONFIRMED = float('inf')


class VolatileDraws:
    """Tracks which of a holder's draws are not durable yet.

    `store` is a `platform.store.Client`.  If the store doesn't state its era,
    it never goes back to a copy and nothing is volatile.
    """

    __slots__ = ('_clock', '_store', '_draws', '_closed')

    def __init__(self, clock, store):
        self._clock = clock
        self._store = store
        # Pairs of the tokens and the time of each draw, by budget.
        self._draws = collections.defaultdict(collections.deque)
        # The volatile tokens under closed grants when they were first seen,
        # and that time, by budget.
        self._closed = {}

    def record_draw(self, budget, tokens):
        """Record that a draw was written; this confirms earlier ones too."""
        now = self._clock.now()
        draws = self._drop_durable(budget)
        for i, (amount, at) in enumerate(draws):
            if at == _UNCONFIRMED:
                draws[i] = (amount, now)
        draws.append((tokens, now))

    def record_return(self, budget, tokens):
        """Record that tokens were returned, the latest draws first."""
        draws = self._draws[budget]
        while tokens > 0 and draws:
            amount, at = draws.pop()
            if amount > tokens:
                draws.append((amount - tokens, at))
            tokens -= amount

    def begin_era(self):
        """Count draws as volatile anew; their pages have to be written."""
        self._closed.clear()
        for draws in self._draws.values():
            for i, (amount, _) in enumerate(draws):
                draws[i] = (amount, _UNCONFIRMED)

    def get_volatile(self, budget, unrecorded=0):
        """Return the holder's volatile tokens of a budget.

        `unrecorded` tokens have been drawn besides those recorded here.
        """
        if not self._store.has_eras:
            return 0
        draws = self._drop_durable(budget)
        return unrecorded + sum(tokens for tokens, _ in draws)

    def count_durable_closed(self, budget, closed):
        """Return how many of `closed` volatile tokens have become durable.

        They are under grants that were closed, as the page says now.
        """
        if not closed:
            self._closed.pop(budget, None)
            return 0
        tokens, at = self._closed.setdefault(
            budget, (closed, self._clock.now())
        )
        if self._store.has_eras and not self._is_durable(at):
            return 0
        del self._closed[budget]
        return min(tokens, closed)

    def _drop_durable(self, budget):
        """Forget the draws that every copy includes; return the others.

        That is also done while the store states no era: it may begin to.
        """
        draws = self._draws[budget]
        while draws and self._is_durable(draws[0][1]):
            draws.popleft()
        return draws

    def _is_durable(self, at):
        return durability.is_durable(at, self._store.confirmed_at)
