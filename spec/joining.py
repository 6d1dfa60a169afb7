"""A key's home moves to an agent that joins.

The old home may hold the key's record, or be about to get it: a router with
an old registry still sends it there.  Safe means: the request runs once.
"""

import collections

from spec import protocols

GUARDS = (
    # With a new registry a router asks the former home first.
    'ask_former',
    # Being asked, the former home never takes the key afterwards.
    'fence',
    # A home knows the keys that it has run.
    'record',
)

# `view1`, `view2`: the registry that a router goes by.  `to1`, `to2`: where
# its request is on the way to (0 nowhere, 1 old home, 2 new home).  `asked1`,
# `asked2`: what the former home said (0 not asked, 1 no record, 2 record).
State = collections.namedtuple(
    'State',
    'joined view1 view2 asked1 asked2 to1 to2 fenced ran_old ran_new',
)
INITIAL = State(0, 0, 0, 0, 0, 0, 0, 0, 0, 0)


def protocol(guards=frozenset(GUARDS)):
    """Return the protocol under some guards."""

    def steps_from(s):
        steps = []
        if not s.joined:
            steps.append(('join', s._replace(joined=1)))
        for number in ('1', '2'):
            steps += _router(s, number, guards)
        return steps

    return protocols.build(
        'joining',
        INITIAL,
        steps_from,
        {'runs_once': lambda s: s['ran_old'] + s['ran_new'] <= 1},
    )


def _router(s, number, guards):
    view = getattr(s, f'view{number}')
    asked = getattr(s, f'asked{number}')
    to = getattr(s, f'to{number}')

    def with_(**fields):
        mine = {f'{name}{number}': v for name, v in fields.items()}
        return s._replace(**mine)

    steps = []
    if s.joined and not view and not to:
        steps.append((f'{number} learns', with_(view=1)))
    if not to and not view:
        steps.append((f'{number} sends to old', with_(to=1)))
    if not to and view and not asked:
        found = 2 if s.ran_old else 1
        new = with_(asked=found)
        if 'fence' in guards and not s.ran_old:
            new = new._replace(fenced=1)
        steps.append((f'{number} asks old', new))
    may_go = asked == 1 or 'ask_former' not in guards
    if not to and view and may_go:
        steps.append((f'{number} sends to new', with_(to=2)))
    if to == 1:
        steps.append((f'{number} at old', _at(s, 'ran_old', s.fenced, guards)))
    if to == 2:
        steps.append((f'{number} at new', _at(s, 'ran_new', 0, guards)))
    return steps


def _at(s, where, fenced, guards):
    known = getattr(s, where) and 'record' in guards
    if known or fenced or getattr(s, where) > 1:
        return s
    return s._replace(**{where: getattr(s, where) + 1})
