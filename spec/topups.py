"""Top-ups whose answer may be lost, so that the operator repeats them.

Safe means: the limit never exceeds what was paid, and what is granted never
exceeds the limit, even while it is being lowered.
"""

import collections

from spec import protocols

GUARDS = (
    # A payment id counts once.
    'know_payment_id',
    # A limit falls no lower than what is committed.
    'keep_committed',
    # A write counts only if the page is still at the version that was read.
    'conditional',
)

# `tries` of one payment of 2, `read` is the limit that a router read before
# it draws (-1: none), `paid` what was really paid.
State = collections.namedtuple('State', 'tries paid limit granted read low')
INITIAL = State(0, 1, 1, 0, -1, 0)
PAYMENT = 2


def protocol(guards=frozenset(GUARDS)):
    """Return the protocol under some guards."""

    def steps_from(s):
        steps = []
        if s.tries < 2:
            known = s.tries > 0 and 'know_payment_id' in guards
            gain = 0 if known else PAYMENT
            paid = s.paid if s.tries else s.paid + PAYMENT
            new = s._replace(tries=s.tries + 1, paid=paid)
            steps.append(('top up', new._replace(limit=s.limit + gain)))
        if not s.low and s.limit > 0:
            floor = s.granted if 'keep_committed' in guards else 0
            steps.append(('lower', s._replace(limit=floor, low=1)))
        if s.read < 0:
            steps.append(('read', s._replace(read=s.limit)))
        stands = s.read == s.limit or 'conditional' not in guards
        if s.read >= 0 and stands and s.granted < s.read:
            new = s._replace(granted=s.granted + 1, read=-1)
            steps.append(('draw', new))
        if s.read >= 0 and not stands:
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
