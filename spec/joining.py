"""Moving a key's home to an agent that joins.

The old home may have the key's record, or may still receive the request,
because a router with an outdated registry sends it there.  The fence is
`Claims.find_or_fence`.

Safety: the request runs at most once.
"""

import collections

from spec import protocols

GUARDS = (
    # A router with the new registry asks the former home first.
    'ask_former',
    # A former home that was asked for a key never accepts it afterwards.
    'fence',
    # A home keeps a record of the keys that it has run.
    'record',
)

# For each of two routers, `view1` and `view2` are the registry that it uses (0
# old, 1 new), `to1` and `to2` the home to which it sent its request (0 none, 1
# old, 2 new), and `asked1` and `asked2` the reply of the former home (0 not
# asked, 1 no record, 2 record).  `joined` means that the new agent is in the
# registry, and `fenced` that the old home has fenced the key.  `ran_old` and
# `ran_new` count the runs at the old and at the new home.
State = collections.namedtuple(
    'State',
    'joined view1 view2 asked1 asked2 to1 to2 fenced ran_old ran_new',
)
INITIAL = State(0, 0, 0, 0, 0, 0, 0, 0, 0, 0)


def protocol(guards=frozenset(GUARDS)):
    """Return the protocol with the given guards enabled."""

    def steps_from(s):
        steps = []
        if not s.joined:
            steps.append(('join', s._replace(joined=1)))
        for number in ('1', '2'):
            steps += _router_steps(s, number, guards)
        return steps

    return protocols.build(
        'joining',
        INITIAL,
        steps_from,
        {'runs_once': lambda s: s['ran_old'] + s['ran_new'] <= 1},
    )


def _router_steps(s, number, guards):
    view = getattr(s, f'view{number}')
    asked = getattr(s, f'asked{number}')
    to = getattr(s, f'to{number}')

    def with_fields(**fields):
        mine = {f'{name}{number}': v for name, v in fields.items()}
        return s._replace(**mine)

    steps = []
    if s.joined and not view and not to:
        steps.append((f'{number} reads registry', with_fields(view=1)))
    if not to and not view:
        steps.append((f'{number} sends to old', with_fields(to=1)))
    if not to and view and not asked:
        found = 2 if s.ran_old else 1
        new = with_fields(asked=found)
        if 'fence' in guards and not s.ran_old:
            new = new._replace(fenced=1)
        steps.append((f'{number} asks old', new))
    may_go = asked == 1 or 'ask_former' not in guards
    if not to and view and may_go:
        steps.append((f'{number} sends to new', with_fields(to=2)))
    if to == 1:
        steps.append(
            (
                f'{number} arrives at old',
                _deliver(s, 'ran_old', s.fenced, guards),
            )
        )
    if to == 2:
        steps.append(
            (f'{number} arrives at new', _deliver(s, 'ran_new', 0, guards))
        )
    return steps


def _deliver(s, where, fenced, guards):
    known = getattr(s, where) and 'record' in guards
    if known or fenced or getattr(s, where) > 1:
        return s
    return s._replace(**{where: getattr(s, where) + 1})
