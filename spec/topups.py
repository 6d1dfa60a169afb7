"""Top-ups whose response may be lost, so that the operator retries them.

Safety: the limit never exceeds the amount paid, and the tokens granted never
exceed the limit, even while the limit is being lowered.  The steps are
`ledger.top_up`, `ledger.lower_limit` and `ledger.draw`.
"""

import collections

from spec import protocols

GUARDS = (
    # A payment id is applied once.
    'know_payment_id',
    # A limit is not lowered below the committed tokens.
    'keep_committed',
    # A write takes effect only if the page is still at the version read.
    'conditional',
)

# `tries` counts the attempts at one payment of 2, `paid` is the amount really
# paid, `read` is the limit that a router read before it draws (-1: none), and
# `lowered` means that the operator has lowered the limit.
State = collections.namedtuple(
    'State', 'tries paid limit granted read lowered'
)
INITIAL = State(0, 1, 1, 0, -1, 0)
PAYMENT = 2


def protocol(guards=frozenset(GUARDS)):
    """Return the protocol with the given guards enabled."""

    def steps_from(s):
        steps = []
        if s.tries < 2:
            known = s.tries > 0 and 'know_payment_id' in guards
            gain = 0 if known else PAYMENT
            paid = s.paid if s.tries else s.paid + PAYMENT
            new = s._replace(tries=s.tries + 1, paid=paid)
            steps.append(('top up', new._replace(limit=s.limit + gain)))
        if not s.lowered and s.limit > 0:
            floor = s.granted if 'keep_committed' in guards else 0
            steps.append(('lower', s._replace(limit=floor, lowered=1)))
        if s.read < 0:
            steps.append(('read', s._replace(read=s.limit)))
        applies = s.read == s.limit or 'conditional' not in guards
        if s.read >= 0 and applies and s.granted < s.read:
            new = s._replace(granted=s.granted + 1, read=-1)
            steps.append(('draw', new))
        if s.read >= 0 and not applies:
            steps.append(('conflict', s._replace(read=-1)))
        return steps

    return protocols.build(
        'top-ups',
        INITIAL,
        steps_from,
        {
            'limit_was_paid': lambda s: s['limit'] <= s['paid'],
            'granted_within_limit': lambda s: s['granted'] <= s['limit'],
        },
    )
