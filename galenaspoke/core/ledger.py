"""The ledger: what the platform's store holds about money.

Budgets are kept in pages, each one object of the store, and every function
here changes one page in memory.  A change counts only once the page has been
written back by a conditional update, so the store is the single place where
budgets are agreed on.

A *holder* is one incarnation of a router.  It draws a grant before it spends
anything, and spends from the grant without asking again.  For each budget,
at every version of its page::

    settled + doubt + sum(grant.granted for each holder) <= limit

`doubt` is money of which nobody left can say whether it was spent.  It counts
as spent until an operator settles it.

Example::

    page = Page()
    top_up(page, 'voucher-desk', TopUp('0001-a', 500))
    draw(page, 'voucher-desk', 'router-1.x', need=100, want=300)   # 300
    close_grant(page, 'voucher-desk', 'router-1.x', spent=120, doubt=0)
    page.entries['voucher-desk'].free()                            # 380
"""

import zlib

import msgspec

MAX_TOKENS = 10**15
TOP_UPS_KEPT = 64
PAGE_PREFIX = 'ledger/'


class LedgerError(Exception):
    """A change that the ledger refuses; nothing was changed."""


class UnknownBudget(LedgerError):
    """The page holds no entry for the budget."""


class TopUpExpired(LedgerError):
    """The top-up is so old that the ledger can't tell if it was applied."""


class InvariantViolation(LedgerError):
    """A change would let the grants exceed the limit."""


class TopUp(msgspec.Struct, frozen=True):
    """One payment; `id` sorts by the time at which it was made."""

    id: str
    amount: int


class Grant(msgspec.Struct):
    """Tokens that one holder may spend, and what it reported of them."""

    granted: int
    spent: int = 0
    doubt: int = 0


class Doubt(msgspec.Struct):
    """An amount that only an operator can settle."""

    id: str
    amount: int
    why: str


class BudgetEntry(msgspec.Struct):
    """One budget's money.

    `wanted` is what the operator asked the limit to be.  It differs from
    `limit` only while a lowering waits for grants to come back.
    `generation` is that of the configuration that last set the limit, 0
    where limits are raised by payments.
    """

    limit: int = 0
    wanted: int = 0
    settled: int = 0
    grants: dict[str, Grant] = {}
    doubts: list[Doubt] = []
    top_ups: list[TopUp] = []
    top_up_floor: str = ''
    generation: int = 0

    def committed_tokens(self):
        """Return all that is spent, in doubt or granted, in tokens."""
        granted = sum(grant.granted for grant in self.grants.values())
        return self.settled + self.in_doubt_tokens() + granted

    def in_doubt_tokens(self):
        """Return the tokens in doubt."""
        return sum(doubt.amount for doubt in self.doubts)

    def unspent_tokens(self):
        """Return the tokens of which nobody says that they were spent."""
        spent = self.settled + sum(
            grant.spent + grant.doubt for grant in self.grants.values()
        )
        return max(
            0, min(self.limit, self.wanted) - spent - self.in_doubt_tokens()
        )

    def free_tokens(self):
        """Return the tokens that can still be granted; never negative."""
        return max(0, min(self.limit, self.wanted) - self.committed_tokens())


class Page(msgspec.Struct):
    """Many budgets in one object of the store.

    `writers` maps each holder to the number of its last write, by which a
    writer recognises its own write after the answer was lost.  `contacts`
    maps holders to the address at which they lend to each other.  `owner` is
    the holder that the others ask first; nothing depends on it being right.
    """

    entries: dict[str, BudgetEntry] = {}
    writers: dict[str, int] = {}
    contacts: dict[str, str] = {}
    owner: str = ''


def page_key(budget, pages):
    """Return the store key of the page that holds `budget`."""
    number = zlib.crc32(budget.encode()) % pages
    return f'{PAGE_PREFIX}{number:04d}'


def check_invariants(page):
    """Raise InvariantBroken where a budget is committed past its limit."""
    for name, entry in page.entries.items():
        if entry.committed_tokens() > entry.limit:
            raise InvariantViolation(
                f'budget {name}: {entry.committed_tokens()} tokens committed,'
                f' limit {entry.limit}'
            )


def _entry(page, budget):
    try:
        return page.entries[budget]
    except KeyError:
        raise UnknownBudget(f'budget {budget} has no ledger entry') from None


def top_up(page, budget, payment):
    """Raise a budget's limit once per payment id; return True if applied.

    Raises TopUpForgotten when the id is older than every id still kept, so
    that a repetition can't be told from a late first try.
    """
    entry = page.entries.setdefault(budget, BudgetEntry())
    if any(known.id == payment.id for known in entry.top_ups):
        return False
    if payment.id <= entry.top_up_floor:
        raise TopUpExpired(
            f'budget {budget}: top-up {payment.id} is older than the ones'
            ' kept; look at the limit before paying again'
        )
    if payment.amount <= 0 or entry.wanted + payment.amount > MAX_TOKENS:
        raise LedgerError(
            f'budget {budget}: a top-up must be positive and keep the limit'
            f' at or below {MAX_TOKENS} tokens'
        )
    entry.top_ups.append(payment)
    entry.top_ups.sort(key=lambda known: known.id)
    while len(entry.top_ups) > TOP_UPS_KEPT:
        entry.top_up_floor = entry.top_ups.pop(0).id
    entry.wanted += payment.amount
    _follow_wanted(entry)
    return True


def lower_limit(page, budget, wanted):
    """Lower a budget's limit to `wanted` tokens, at once or in time.

    What is already committed is not taken back: the limit falls as grants
    are returned.  Returns the limit in force now.
    """
    entry = _entry(page, budget)
    if wanted < 0 or wanted > entry.wanted:
        raise LedgerError(
            f'budget {budget}: {wanted} is not between 0 and the present'
            f' limit {entry.wanted}'
        )
    entry.wanted = wanted
    _follow_wanted(entry)
    return entry.limit


def set_limit(page, budget, limit, generation):
    """Let a budget's limit be what a configuration says.

    Creates the entry if there is none.  An older generation than the one that
    was set last changes nothing.  Returns True if the page changed.

    Example::

        set_limit(page, 'voucher-desk', 500, generation=7)    # True
        set_limit(page, 'voucher-desk', 400, generation=6)    # False
    """
    entry = page.entries.get(budget)
    if entry is None:
        entry = page.entries[budget] = BudgetEntry()
    elif generation <= entry.generation:
        return False
    entry.generation = generation
    entry.wanted = limit
    _follow_wanted(entry)
    return True


def close_holder(page, old, why):
    """End the grants of a holder that is proved to be gone.

    What it reported counts as spent; of the rest nobody knows, so that it is
    in doubt.  Returns True if the page knew the holder.
    """
    known = page.writers.pop(old, None) is not None
    page.contacts.pop(old, None)
    for name, entry in page.entries.items():
        grant = entry.grants.get(old)
        if grant is not None:
            known = True
            doubt = grant.granted - grant.spent
            close_grant(page, name, old, grant.spent, doubt, why)
    return known


def _follow_wanted(entry):
    entry.limit = max(entry.wanted, entry.committed_tokens())


def draw(page, budget, holder, need, want):
    """Grant `holder` up to `want` more tokens; return the tokens granted.

    Grants nothing, and returns 0, when less than `need` is free.
    """
    entry = _entry(page, budget)
    free = entry.free_tokens()
    if free < need or want <= 0:
        return 0
    amount = min(want, free)
    grant = entry.grants.setdefault(holder, Grant(0))
    grant.granted += amount
    return amount


def shrink_grant(page, budget, holder, returned, spent, doubt):
    """Give back `returned` tokens of a grant.

    `spent` and `doubt` are the holder's totals under this grant.  Returns
    False when the grant is gone, that is when the holder has been sealed.
    """
    entry = _entry(page, budget)
    grant = entry.grants.get(holder)
    if grant is None:
        return False
    if returned < 0 or spent + doubt > grant.granted - returned:
        raise InvariantViolation(
            f'budget {budget}: {holder} returns {returned} of'
            f' {grant.granted} tokens with {spent} spent and {doubt} in'
            ' doubt'
        )
    grant.granted -= returned
    grant.spent = spent
    grant.doubt = doubt
    _follow_wanted(entry)
    return True


def close_grant(page, budget, holder, spent, doubt, why=''):
    """End a grant: book what was spent, keep what is in doubt, free the rest.

    Returns False when the grant is gone already.
    """
    entry = _entry(page, budget)
    grant = entry.grants.pop(holder, None)
    if grant is None:
        return False
    if spent + doubt > grant.granted:
        entry.grants[holder] = grant
        raise InvariantViolation(
            f'budget {budget}: {holder} reports {spent} spent and {doubt} in'
            f' doubt of {grant.granted} granted'
        )
    entry.settled += spent
    if doubt:
        entry.doubts.append(Doubt(holder, doubt, why))
    _follow_wanted(entry)
    return True


def remove_unspent_holder(page, holder):
    """Remove a holder of which nothing was spent on this page.

    Returns False if the page doesn't know it.
    """
    known = page.writers.pop(holder, None) is not None
    for entry in page.entries.values():
        if entry.grants.pop(holder, None) is not None:
            known = True
            _follow_wanted(entry)
    return known


def settle_doubt(page, budget, doubt_id, spent):
    """Settle an amount in doubt: `spent` tokens of it were used.

    Returns False when there is no such doubt, so that a repetition after a
    lost answer changes nothing.
    """
    entry = _entry(page, budget)
    for doubt in entry.doubts:
        if doubt.id == doubt_id:
            break
    else:
        return False
    if not 0 <= spent <= doubt.amount:
        raise LedgerError(
            f'budget {budget}: {spent} is not between 0 and the'
            f' {doubt.amount} tokens in doubt'
        )
    entry.doubts.remove(doubt)
    entry.settled += spent
    _follow_wanted(entry)
    return True
