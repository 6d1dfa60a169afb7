"""Reservations of prepaid tokens, and why one may fail."""

import dataclasses
import enum

# Result of a draw if another router owns the page, and of a loan request if
# the borrower should look for the owner again.
MOVED = 'moved'


class Shortage(enum.Enum):
    """Why too few tokens are available."""

    # Proved: the unspent tokens of the budget can't cover the request.
    EXHAUSTED = 'exhausted'
    # The unspent tokens are held by other routers, or partly in doubt.
    HELD_ELSEWHERE = 'held_elsewhere'
    # Too few tokens are left until an operator settles what is in doubt.
    IN_DOUBT = 'in_doubt'
    # Not known: the ledger or a lender did not respond, the page was not read,
    # or this router is shutting down.
    UNREACHABLE = 'unreachable'


@dataclasses.dataclass(slots=True, frozen=True)
class ReservationFailure:
    """Why a reservation failed, with the figures behind the decision."""

    shortage: Shortage
    detail: str


def unreachable(detail):
    """Return a ReservationFailure with Shortage.UNREACHABLE."""
    return ReservationFailure(Shortage.UNREACHABLE, detail)


class Reservation:
    """Tokens set aside for one request.

    `amount` is the most that the request can cost; `settle` charges what it
    did cost.
    """

    __slots__ = ('amount', '_book', '_budget', '_is_open')

    def __init__(self, book, budget, amount):
        self.amount = amount
        self._book = book
        self._budget = budget
        self._is_open = True

    def settle(self, spent):
        """Charge the tokens spent and free the rest; idempotent."""
        if self._is_open:
            self._is_open = False
            self._book.settle(self._budget, self.amount, spent)


def diagnose_shortage(entry, own_holder, balance, amount, lent=0):
    """Return the ReservationFailure for a budget with too few tokens.

    `entry` is the ledger entry as last seen, or None if the page was not read
    or has no such entry.  `own_holder` is this router's holder name and
    `balance` its Balance.  `lent` tokens count as spent but may still be
    unspent at borrowers.
    """
    if entry is None:
        return ReservationFailure(
            Shortage.UNREACHABLE,
            'no ledger entry of this budget has been read yet',
        )
    others = [
        grant for name, grant in entry.grants.items() if name != own_holder
    ]
    spent = entry.settled + sum(grant.spent for grant in others)
    if own_holder in entry.grants:
        spent += balance.spent_from_grant()
    spent -= lent
    # What their running requests have reserved is a part of it.
    granted_elsewhere = sum(grant.granted - grant.spent for grant in others)
    limit = min(entry.limit, entry.wanted)
    detail = (
        f'{spent} of {limit} tokens spent, {entry.in_doubt_tokens()} in doubt,'
        f' {entry.free_tokens()} free, {balance.available()} held here,'
        f' {balance.reserved} reserved here, {lent + granted_elsewhere} with'
        f' other routers, {amount} needed'
    )
    if limit - spent < amount:
        return ReservationFailure(Shortage.EXHAUSTED, detail)
    if limit - spent - entry.in_doubt_tokens() < amount:
        return ReservationFailure(Shortage.IN_DOUBT, detail)
    return ReservationFailure(Shortage.HELD_ELSEWHERE, detail)
