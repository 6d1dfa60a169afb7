"""The ledger of prepaid token budgets, as kept in the platform's store.

Budgets are grouped into pages.  Each page is one object in the store, and
every function in this module changes one page in memory.  A change takes
effect only when the page is written back by a conditional update, so the
store is the single source of truth for budgets.

A *holder* is one incarnation of a router.  It draws a grant before it spends
anything, and then spends from that grant without contacting the store.  Every
version of a page satisfies, for each budget::

    settled + in doubt + unseen + sum(grant.granted for each holder) <= limit

Tokens are *in doubt* when no remaining process can determine whether they
were spent.  They count as spent until an operator settles them.  Tokens are
*unseen* while updates that granted them may have been lost with the store's
latest changes; `durability` explains that.

Example::

    page = Page()
    top_up(page, 'voucher-desk', TopUp('0001-a', 500))
    draw(page, 'voucher-desk', 'router-1.x', need=100, want=300)   # 300
    close_grant(page, 'voucher-desk', 'router-1.x', spent=120, doubt=0)
    page.entries['voucher-desk'].free_tokens()                     # 380
"""

import zlib

import msgspec

MAX_TOKENS = 10**15
TOP_UPS_KEPT = 64
PAGE_KIND = 'ledger'
PAGE_PREFIX = f'{PAGE_KIND}/'
# The share of a budget's limit that may be volatile at a time, or a number of
# tokens for a small budget, whose first requests need most of it.
VOLATILE_SHARE = 0.4
MIN_VOLATILE_TOKENS = 50_000


class LedgerError(Exception):
    """Base class of refused changes.

    A refused change leaves the tokens of every budget as they were, so other
    changes to the page can still be written.  Only `check_invariants` may
    raise after a change; the page must not be written then.
    """


class UnknownBudget(LedgerError):
    """The page has no entry for the budget."""


class TopUpExpired(LedgerError):
    """The top-up is too old to determine whether it was applied."""


class InvariantViolation(LedgerError):
    """A limit or a grant would be exceeded.

    Either the committed tokens of a budget would exceed its limit, or the
    usage reported under a grant would exceed the grant.
    """


class TopUp(msgspec.Struct, frozen=True):
    """One payment.  Ids sort in the order in which payments were made."""

    id: str
    amount: int


class Grant(msgspec.Struct, omit_defaults=True):
    """Tokens granted to one holder, and the usage that it last reported.

    `volatile` tokens were granted so recently that a copy of the store may
    not include them.
    """

    granted: int
    spent: int = 0
    doubt: int = 0
    volatile: int = 0


class Doubt(msgspec.Struct):
    """An amount in doubt, which only an operator can settle.

    `id` is the holder to which the amount had been granted.
    """

    id: str
    amount: int
    why: str


class BudgetEntry(msgspec.Struct, omit_defaults=True):
    """The ledger's record of one budget.

    `wanted` is the limit that the operator requested.  It differs from
    `limit` only after the limit was lowered, until enough grants have been
    returned.  `settled` is the number of tokens spent under closed grants.
    `top_up_floor` is the highest top-up id that is no longer kept in
    `top_ups`.  `generation` is the generation of the configuration that last
    set the limit, or 0 if the limit is raised by payments.
    `closed_volatile` is the number of volatile tokens under closed grants.
    `joined` lists the holders that have stated their grants since the page was
    taken over from a copy of the store.
    """

    limit: int = 0
    wanted: int = 0
    settled: int = 0
    grants: dict[str, Grant] = {}
    doubts: list[Doubt] = []
    top_ups: list[TopUp] = []
    top_up_floor: str = ''
    generation: int = 0
    closed_volatile: int = 0
    unseen: int = 0
    joined: list[str] = []

    def committed_tokens(self):
        """Return the tokens that are settled, in doubt, unseen or granted."""
        granted = sum(grant.granted for grant in self.grants.values())
        return self.settled + self.in_doubt_tokens() + self.unseen + granted

    def in_doubt_tokens(self):
        """Return the tokens that are in doubt."""
        return sum(doubt.amount for doubt in self.doubts)

    def unspent_tokens(self):
        """Return the tokens not reported as spent or in doubt.

        Unlike `free_tokens`, this includes what holders have been granted
        but have not reported as used.
        """
        spent = self.settled + sum(
            grant.spent + grant.doubt for grant in self.grants.values()
        )
        return max(
            0, min(self.limit, self.wanted) - spent - self.in_doubt_tokens()
        )

    def free_tokens(self):
        """Return the tokens that can still be granted, at least 0."""
        return max(0, min(self.limit, self.wanted) - self.committed_tokens())


class Page(msgspec.Struct, omit_defaults=True):
    """A group of budgets that is stored as one object.

    `writers` maps each holder to the sequence number of its last write, so
    that a holder recognises its own write after the response was lost.  A
    holder that has written to the page and is no longer in `writers` has been
    sealed, unless it removed itself when it closed its grants.

    `contacts` maps each holder to the address at which other holders can
    borrow from it.  `owner` is the holder that other holders ask first.  It
    is only a hint: correctness does not depend on it.

    If the page was taken over from a copy of the store, `lost_eras` is the
    number of times that its latest changes may have been lost, until nothing
    is unseen any more.
    """

    entries: dict[str, BudgetEntry] = {}
    writers: dict[str, int] = {}
    contacts: dict[str, str] = {}
    owner: str = ''
    lost_eras: int = 0


def page_name(budget, page_count):
    """Return the name of the page that contains `budget`."""
    return f'{zlib.crc32(budget.encode()) % page_count:04d}'


def page_key(budget, page_count):
    """Return the store key of the page that contains `budget`."""
    return PAGE_PREFIX + page_name(budget, page_count)


def check_invariants(page):
    """Raise InvariantViolation if a budget is committed past its limit."""
    for name, entry in page.entries.items():
        if entry.committed_tokens() > entry.limit:
            raise InvariantViolation(
                f'budget {name}: {entry.committed_tokens()} tokens committed,'
                f' limit {entry.limit}'
            )


def _get_entry(page, budget):
    try:
        return page.entries[budget]
    except KeyError:
        raise UnknownBudget(f'budget {budget} has no ledger entry') from None


def top_up(page, budget, payment):
    """Raise a budget's limit by a payment, at most once per payment id.

    Return True if the payment was applied, or False if it had been applied
    before.  Raise TopUpExpired if the id is not above `top_up_floor`, because
    a retry could then not be distinguished from a late first attempt.
    """
    entry = page.entries.setdefault(budget, BudgetEntry())
    if any(applied.id == payment.id for applied in entry.top_ups):
        return False
    if payment.id <= entry.top_up_floor:
        raise TopUpExpired(
            f'budget {budget}: top-up {payment.id} is older than the top-ups'
            ' kept; check the limit before paying again'
        )
    if payment.amount <= 0 or entry.wanted + payment.amount > MAX_TOKENS:
        raise LedgerError(
            f'budget {budget}: a top-up must be positive and keep the limit'
            f' at or below {MAX_TOKENS} tokens'
        )
    entry.top_ups.append(payment)
    entry.top_ups.sort(key=lambda applied: applied.id)
    while len(entry.top_ups) > TOP_UPS_KEPT:
        entry.top_up_floor = entry.top_ups.pop(0).id
    entry.wanted += payment.amount
    update_limit(entry)
    return True


def lower_limit(page, budget, wanted):
    """Lower a budget's limit to `wanted`; return the limit that applies now.

    Committed tokens are not revoked.  If more than `wanted` tokens are
    committed, the limit falls as grants are returned.
    """
    entry = _get_entry(page, budget)
    if wanted < 0 or wanted > entry.wanted:
        raise LedgerError(
            f'budget {budget}: {wanted} is not between 0 and the limit last'
            f' requested, {entry.wanted}'
        )
    entry.wanted = wanted
    update_limit(entry)
    return entry.limit


def set_limit(page, budget, limit, generation):
    """Set a budget's limit to the one in a published configuration.

    Create the entry if there is none.  Do nothing unless `generation` is
    newer than the generation that last set the limit.  Return True if the
    page changed.

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
    if page.lost_eras:
        raised = max(0, volatile_limit(limit) - volatile_limit(entry.wanted))
        entry.unseen += page.lost_eras * raised
    entry.wanted = limit
    update_limit(entry)
    return True


def close_holder(page, holder, why):
    """Close all grants of a holder that is proved to be gone.

    The usage that it reported counts as spent.  The rest of each grant is in
    doubt, because it may have been spent without a report; `why` explains
    this to the operator.  Return True if the page had a record of the holder.
    """
    found = page.writers.pop(holder, None) is not None
    page.contacts.pop(holder, None)
    for name, entry in page.entries.items():
        grant = entry.grants.get(holder)
        if grant is not None:
            found = True
            doubt = grant.granted - grant.spent
            close_grant(page, name, holder, grant.spent, doubt, why)
    return found


def volatile_limit(limit):
    """Return how many tokens of a budget may be volatile at a time."""
    share = int(VOLATILE_SHARE * limit)
    return min(limit, max(share, MIN_VOLATILE_TOKENS))


def update_limit(entry):
    """Set the limit that applies, after a change of an entry."""
    entry.limit = max(entry.wanted, entry.committed_tokens())


def draw(page, budget, holder, need, want):
    """Grant `holder` up to `want` more tokens; return the tokens granted.

    `need` is the minimum that is of use to the holder, `want` the maximum.
    Grant nothing and return 0 if fewer than `need` tokens are free, or if
    `want` is not positive.
    """
    entry = _get_entry(page, budget)
    free = entry.free_tokens()
    if free < need or want <= 0:
        return 0
    amount = min(want, free)
    grant = entry.grants.setdefault(holder, Grant(0))
    grant.granted += amount
    return amount


def shrink_grant(page, budget, holder, returned, spent, doubt):
    """Return `returned` tokens of a grant to the budget.

    `spent` and `doubt` are the holder's totals under this grant.  Return
    False if the grant no longer exists, because the holder has been sealed.
    """
    entry = _get_entry(page, budget)
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
    grant.volatile = max(0, grant.volatile - returned)
    grant.spent = spent
    grant.doubt = doubt
    update_limit(entry)
    return True


def close_grant(page, budget, holder, spent, doubt, why=''):
    """Close a grant and free the tokens that are not spent or in doubt.

    `why` explains the amount in doubt to the operator.  Return False if the
    grant no longer exists.
    """
    entry = _get_entry(page, budget)
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
    entry.closed_volatile += grant.volatile
    if doubt:
        entry.doubts.append(Doubt(holder, doubt, why))
    update_limit(entry)
    return True


def remove_unspent_holder(page, holder):
    """Remove a holder that has spent nothing on this page.

    Return False if the page has no record of the holder.
    """
    found = page.writers.pop(holder, None) is not None
    for entry in page.entries.values():
        if entry.grants.pop(holder, None) is not None:
            found = True
            update_limit(entry)
    return found


def settle_doubt(page, budget, doubt_id, spent):
    """Settle an amount in doubt, of which `spent` tokens were used.

    Return False if there is no such amount, so that a retry after a lost
    response changes nothing.
    """
    entry = _get_entry(page, budget)
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
    update_limit(entry)
    return True
