"""A holder's local accounting of the tokens that it has been granted.

A `GrantBook` belongs to one incarnation of a router.  It reserves the maximum
cost of a request before the request is sent, and settles the reservation at
the actual cost.  A reservation whose outcome is unknown stays open until the
outcome is known or declared to be in doubt.

Example::

    book = GrantBook(clock)
    book.record_grant('voucher-desk', 300)
    book.reserve('voucher-desk', 120)          # True
    book.settle('voucher-desk', 120, spent=80)
    book.available('voucher-desk')             # 220
"""

import math

# Recorded demand counts half after this time.
DEMAND_HALF_LIFE_MS = 10_000
# Demand that has just begun is treated as if it had lasted this long.
MIN_DEMAND_AGE_MS = 500
# A draw is meant to cover at least this many requests of the present size.
MIN_REQUESTS_PER_DRAW = 4


class Balance:
    """One holder's tokens of one budget."""

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
        # Borrowed from other holders, which count it as spent.
        self.borrowed = 0
        self.reserved = 0
        self.spent = 0
        self.doubt = 0
        # Exponentially decayed sum of the tokens requested, at `demand_at`.
        self.demand = 0.0
        self.demand_at = now
        self.demand_since = now
        self.last_used_at = now
        # Needed by requests that are waiting for a draw.
        self.waiting_tokens = 0
        # When a draw last found too few free tokens.  The initial value is far
        # enough in the past that no pause of draws applies.
        self.last_shortage_at = now - DEMAND_HALF_LIFE_MS
        # When the other holders last lent too few tokens.  The initial value
        # is chosen likewise.
        self.last_loan_shortage_at = now - DEMAND_HALF_LIFE_MS

    def available(self):
        """Return the tokens that can be reserved."""
        owned = self.granted + self.borrowed
        return owned - self.reserved - self.spent - self.doubt

    def spent_from_grant(self):
        """Return the tokens spent from the grant; loans are spent first."""
        return max(0, self.spent - self.borrowed)

    def returnable(self):
        """Return the tokens of the grant that can be returned now."""
        used = max(0, self.in_use() - self.borrowed)
        return max(0, min(self.available(), self.granted - used))

    def in_use(self):
        """Return the tokens that are reserved, spent or in doubt."""
        return self.reserved + self.spent + self.doubt


class GrantBook:
    """The balances of one holder, by budget."""

    __slots__ = ('_clock', '_balances')

    def __init__(self, clock):
        self._clock = clock
        self._balances = {}

    def budgets(self):
        """Return the names of the budgets that have a balance."""
        return list(self._balances)

    def get_balance(self, budget):
        """Return the Balance of `budget`, creating an empty one if needed."""
        balance = self._balances.get(budget)
        if balance is None:
            balance = self._balances[budget] = Balance(self._clock.now())
        return balance

    def available(self, budget):
        """Return the tokens of `budget` that can be reserved now."""
        balance = self._balances.get(budget)
        return balance.available() if balance else 0

    def record_grant(self, budget, amount):
        """Record that the ledger granted `amount` more tokens."""
        self.get_balance(budget).granted += amount

    def record_loan(self, budget, amount):
        """Record that another holder lent `amount` tokens.

        The lender has booked the loan as spent, so it need not be returned.
        """
        self.get_balance(budget).borrowed += amount

    def lend(self, budget, amount):
        """Book a loan of `amount` tokens as spent.

        Return False if fewer than `amount` tokens are available.
        """
        if not self.reserve(budget, amount):
            return False
        self.settle(budget, amount, amount)
        return True

    def record_loan_return(self, budget, amount):
        """Record that a borrower returned `amount` tokens of a loan."""
        self.get_balance(budget).spent -= amount

    def release_loan(self, budget, max_amount):
        """Remove up to `max_amount` unused borrowed tokens from the balance.

        Return their number.  The caller returns the tokens to the lender.
        """
        balance = self.get_balance(budget)
        unused = (
            balance.borrowed - balance.reserved - balance.spent - balance.doubt
        )
        amount = max(0, min(balance.available(), unused, max_amount))
        balance.borrowed -= amount
        return amount

    def reserve(self, budget, amount):
        """Reserve `amount` tokens; return False if too few are available."""
        balance = self.get_balance(budget)
        if balance.available() < amount:
            return False
        balance.reserved += amount
        balance.last_used_at = self._clock.now()
        return True

    def settle(self, budget, reserved, spent, doubt=0):
        """Close a reservation.

        `spent` of the `reserved` tokens were used, and `doubt` are in doubt.
        Raise ValueError if these exceed `reserved`.
        """
        if spent + doubt > reserved:
            raise ValueError(
                f'{spent} spent and {doubt} in doubt of {reserved} reserved'
            )
        balance = self.get_balance(budget)
        balance.reserved -= reserved
        balance.spent += spent
        balance.doubt += doubt
        balance.last_used_at = self._clock.now()

    def record_demand(self, budget, amount):
        """Record that `amount` tokens were requested, granted or not."""
        balance = self.get_balance(budget)
        now = self._clock.now()
        if not balance.demand:
            balance.demand_since = now
        balance.demand = _decayed_demand(balance, now) + amount
        balance.demand_at = now

    def forecast_demand(self, budget, horizon_ms):
        """Return the tokens that the current demand needs in `horizon_ms`."""
        balance = self.get_balance(budget)
        now = self._clock.now()
        # The time span that the decayed sum represents: the half-life divided
        # by ln 2 for steady demand, less for demand that has just begun.
        age = max(MIN_DEMAND_AGE_MS, now - balance.demand_since)
        span_ms = DEMAND_HALF_LIFE_MS / math.log(2)
        span_ms *= 1 - 0.5 ** (age / DEMAND_HALF_LIFE_MS)
        return int(_decayed_demand(balance, now) / span_ms * horizon_ms)


def _decayed_demand(balance, now):
    age = now - balance.demand_at
    return balance.demand * 0.5 ** (age / DEMAND_HALF_LIFE_MS)


def compute_draw_size(need, demand, free, holder_count):
    """Return how many tokens to request from the ledger.

    The draw covers the expected demand, or MIN_REQUESTS_PER_DRAW requests of
    the present size if that is more, so that requests are served during an
    outage of the store.  It is limited to half of an equal share of the free
    tokens, so that the last tokens of a budget are not held by one holder
    while another needs them.  It is never smaller than `need`.
    """
    share = free // (2 * max(1, holder_count))
    return max(need, min(max(demand, MIN_REQUESTS_PER_DRAW * need), share))


def compute_grant_to_keep(balance, is_idle, demand):
    """Return how many tokens the holder should keep granted.

    An idle holder keeps only the tokens that it can't return: those reserved,
    spent or in doubt.  An active holder also keeps the expected demand.
    """
    if is_idle:
        return balance.in_use()
    return min(balance.granted, balance.in_use() + demand)
