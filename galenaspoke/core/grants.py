"""A holder's side of the ledger: spending from grants without asking.

A `GrantBook` belongs to one incarnation of a router.  It reserves the most a
request can cost before the request leaves, and settles the reservation to
what the request did cost.  A reservation whose outcome is unknown stays until
the outcome is known or declared to be in doubt.

Example::

    book = GrantBook(clock)
    book.granted('voucher-desk', 300)
    book.reserve('voucher-desk', 120)          # True
    book.settle('voucher-desk', 120, spent=80)
    book.available('voucher-desk')             # 220
"""

import math

# What was asked for counts half after this time.
DEMAND_HALF_LIFE_MS = 10_000
# A demand that began a moment ago is taken for one of this long.
DEMAND_LEAST_MS = 500
# How many requests like the present one a draw provides for.
SPARE_REQUESTS = 4


class Balance:
    """What one holder has of one budget, in tokens."""

    __slots__ = (
        'granted',
        'borrowed',
        'reserved',
        'spent',
        'doubt',
        'demand',
        'demand_at',
        'demand_since',
        'last_used_at',
        'waiting_tokens',
        'last_shortage_at',
        'last_loan_shortage_at',
    )

    def __init__(self, now):
        self.granted = 0
        # What other holders lent; they count it as spent themselves.
        self.borrowed = 0
        self.reserved = 0
        self.spent = 0
        self.doubt = 0
        self.demand = 0.0
        self.demand_at = now
        self.demand_since = now
        self.last_used_at = now
        # What the requests need that wait for a draw.
        self.waiting_tokens = 0
        # When a draw last found too little.
        self.last_shortage_at = now - DEMAND_HALF_LIFE_MS
        # When other holders last refused a loan.
        self.last_loan_shortage_at = now - DEMAND_HALF_LIFE_MS

    def available(self):
        """Return the tokens that can be reserved."""
        owned = self.granted + self.borrowed
        return owned - self.reserved - self.spent - self.doubt

    def spent_from_grant(self):
        """Return what was spent of the grant; loans are spent first."""
        return max(0, self.spent - self.borrowed)

    def returnable(self):
        """Return the tokens of the grant that can be given back."""
        used = max(0, self.in_use() - self.borrowed)
        return max(0, min(self.available(), self.granted - used))

    def in_use(self):
        """Return the tokens that can't be given back now."""
        return self.reserved + self.spent + self.doubt


class GrantBook:
    """All grants of one holder."""

    __slots__ = ('_clock', '_held')

    def __init__(self, clock):
        self._clock = clock
        self._held = {}

    def budgets(self):
        """Return the names of the budgets with something held."""
        return list(self._held)

    def get_balance(self, budget):
        """Return the Held of `budget`, new and empty if there was none."""
        held = self._held.get(budget)
        if held is None:
            held = self._held[budget] = Balance(self._clock.now())
        return held

    def available(self, budget):
        """Return the tokens of `budget` that can be reserved at once."""
        held = self._held.get(budget)
        return held.available() if held else 0

    def granted(self, budget, amount):
        """Note that the store granted `amount` more tokens."""
        self.get_balance(budget).granted += amount

    def record_loan(self, budget, amount):
        """Note that another holder lent `amount` tokens, for good."""
        self.get_balance(budget).borrowed += amount

    def lend(self, budget, amount):
        """Spend `amount` tokens on a loan; return False if too few."""
        if not self.reserve(budget, amount):
            return False
        self.settle(budget, amount, amount)
        return True

    def record_loan_return(self, budget, amount):
        """Note that a borrower gave back `amount` tokens of a loan."""
        self.get_balance(budget).spent -= amount

    def release_loan(self, budget, most):
        """Take out what is left of loans, up to `most` tokens."""
        held = self.get_balance(budget)
        unused = held.borrowed - held.reserved - held.spent - held.doubt
        amount = max(0, min(held.available(), unused, most))
        held.borrowed -= amount
        return amount

    def reserve(self, budget, amount):
        """Set `amount` tokens aside; return False if there are too few."""
        held = self.get_balance(budget)
        if held.available() < amount:
            return False
        held.reserved += amount
        held.last_used_at = self._clock.now()
        return True

    def settle(self, budget, reserved, spent, doubt=0):
        """End a reservation of which `spent` tokens were used."""
        if spent + doubt > reserved:
            raise ValueError(
                f'{spent} spent and {doubt} in doubt of {reserved} reserved'
            )
        held = self.get_balance(budget)
        held.reserved -= reserved
        held.spent += spent
        held.doubt += doubt
        held.last_used_at = self._clock.now()

    def record_demand(self, budget, amount):
        """Count `amount` tokens as asked for, granted or not."""
        held = self.get_balance(budget)
        now = self._clock.now()
        if not held.demand:
            held.demand_since = now
        held.demand = _decayed(held, now) + amount
        held.demand_at = now

    def forecast_demand(self, budget, horizon_ms):
        """Return the tokens that `horizon_ms` of the present demand need."""
        held = self.get_balance(budget)
        now = self._clock.now()
        # Over how long the decayed sum reaches: in the end the half-life
        # divided by ln 2, in the beginning less.
        age = max(DEMAND_LEAST_MS, now - held.demand_since)
        reach = DEMAND_HALF_LIFE_MS / math.log(2)
        reach *= 1 - 0.5 ** (age / DEMAND_HALF_LIFE_MS)
        return int(_decayed(held, now) / reach * horizon_ms)


def _decayed(held, now):
    age = now - held.demand_at
    return held.demand * 0.5 ** (age / DEMAND_HALF_LIFE_MS)


def compute_draw_size(need, demand, free, holders):
    """Return how many tokens to ask for.

    Asks for the demand to come, and for a few requests like this one, so
    that an outage of the store is ridden out; but never for more than half of
    an equal share of what is free, so that the last tokens of a budget are
    not stuck with one holder while another needs them.  Always at least
    `need`.
    """
    share = free // (2 * max(1, holders))
    return max(need, min(max(demand, SPARE_REQUESTS * need), share))


def give_back(held, idle, demand):
    """Return how many tokens the holder should keep granted.

    An idle holder keeps what it can't return.  A busy one keeps that and the
    demand to come.
    """
    if idle:
        return held.in_use()
    return min(held.granted, held.in_use() + demand)
