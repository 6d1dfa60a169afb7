"""What came of asking for prepaid money."""

import dataclasses
import enum

# Stands for the money that was asked for where another router owns the page.
MOVED = 'moved'


class Shortage(enum.Enum):
    """Why there is no money."""

    # Proved: what is left can't cover the request.
    EXHAUSTED = 'exhausted'
    # What is left is held by others, or in doubt.
    HELD_ELSEWHERE = 'held_elsewhere'
    # What is left can't be had until an operator settles what is in doubt.
    IN_DOUBT = 'in_doubt'
    # The ledger can't be asked.
    UNREACHABLE = 'unreachable'


@dataclasses.dataclass(slots=True, frozen=True)
class ReservationFailure:
    """Why a reservation failed, with the figures that decided."""

    shortage: Shortage
    detail: str


class Reservation:
    """Tokens set aside for one request."""

    __slots__ = ('amount', '_book', '_budget', '_open')

    def __init__(self, book, budget, amount):
        self.amount = amount
        self._book = book
        self._budget = budget
        self._open = True

    def settle(self, spent):
        """End the reservation; does nothing the second time."""
        if self._open:
            self._open = False
            self._book.settle(self._budget, self.amount, spent)


def shortage(entry, own, held, amount, lent=0):
    """Return the NoMoney for a budget that brought too little.

    `entry` is the ledger's as it was last seen, None if it wasn't; `own` is
    this router's holder and `held` what it has.  `lent` of what counts as
    spent may still be unspent with borrowers.
    """
    if entry is None:
        return ReservationFailure(
            Shortage.UNREACHABLE, 'the page is not known'
        )
    others = sum(
        grant.spent for name, grant in entry.grants.items() if name != own
    )
    spent = entry.settled + others
    if own in entry.grants:
        spent += held.spent_from_grant()
    spent -= lent
    limit = min(entry.limit, entry.wanted)
    detail = (
        f'{spent} of {limit} tokens spent, {entry.in_doubt_tokens()} in doubt,'
        f' {entry.free_tokens()} free, {held.available()} held here,'
        f' {amount} needed'
    )
    if limit - spent < amount:
        return ReservationFailure(Shortage.EXHAUSTED, detail)
    if limit - spent - entry.in_doubt_tokens() < amount:
        return ReservationFailure(Shortage.IN_DOUBT, detail)
    return ReservationFailure(Shortage.HELD_ELSEWHERE, detail)
