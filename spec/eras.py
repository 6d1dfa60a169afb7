"""A ledger whose store comes back from an older copy.

Two routers, A and B, share one budget.  Each draws by a conditional write and
spends what it was granted without reporting it.  A router learns of a new era
of the store at any later step, or never: it may be cut off, frozen or dead.
Copies are made now and then; the store comes back from the oldest one that it
may still use, which moves forward in `newer copy`.

Safety: no more than the limit is spent.
"""

import collections

from spec import protocols

LIMIT = 2
# The tokens that may be volatile at a time.
VOLATILE_LIMIT = 1
MAX_ERA = 2

GUARDS = (
    # A page that is taken over from a copy counts tokens as unseen.
    'count_unseen',
    # Tokens are volatile, and these are limited, until the copy has them.
    'limit_volatile',
    # They stay volatile when their holder dies.
    'keep_volatile',
    # Nothing is released before every router has stated its grants.
    'await_all',
    # A delayed write of a former era changes nothing in the present one.
    'era_keys',
    # A holder that states its grants does not use the draws under way.
    'void_draws',
)

# `granted` is what the store's page holds, `copied` what it holds in the
# oldest copy that the store may come back from, made in `copied_era`.
# `usable` is what each router believes it may spend, and `used` what it has
# spent.  `volatile` is by holder, all these for A and B.  `unseen` is of the
# page, and `copied_unseen` of the copy.  `stated` and `alive` are flags of
# each router.  `late` is A's delayed write: its era, and what the page holds
# before and after it; empty if there is none.
State = collections.namedtuple(
    'State',
    'era copied_era granted copied usable used volatile unseen copied_unseen'
    ' stated alive late',
)
INITIAL = State(
    0, 0, (0, 0), (0, 0), (0, 0), (0, 0), (0, 0), 0, 0, (1, 1), (1, 1), ()
)


def protocol(guards=frozenset(GUARDS)):
    """Return the protocol with the given guards enabled."""
    return protocols.build(
        'eras',
        INITIAL,
        protocols.join_steps(TRANSITIONS, guards),
        {'no_overspend': _no_overspend},
    )


def _no_overspend(state):
    return sum(state['used']) <= LIMIT


def _set(pair, index, value):
    return (value, pair[1]) if index == 0 else (pair[0], value)


def _free(s):
    return LIMIT - sum(s.granted) - s.unseen


def _draw(s, guards):
    """Let a router that knows the era draw a token, or try to."""
    steps = []
    for i in (0, 1):
        if not s.alive[i] or not s.stated[i] or _free(s) < 1:
            continue
        has_room = sum(s.volatile) < VOLATILE_LIMIT
        if 'limit_volatile' in guards and not has_room:
            continue
        granted = _set(s.granted, i, s.granted[i] + 1)
        volatile = _set(s.volatile, i, s.volatile[i] + 1)
        usable = _set(s.usable, i, s.usable[i] + 1)
        steps.append(
            (
                f'draw {i}',
                s._replace(granted=granted, volatile=volatile, usable=usable),
            )
        )
        if i == 0 and not s.late:
            late = (s.era, s.granted, granted)
            steps.append(('draw, delayed', s._replace(late=late)))
    return steps


def _land(s, guards):
    """Let A's delayed draw arrive; its response is lost."""
    if not s.late:
        return []
    era, before, after = s.late
    gone = s._replace(late=())
    if era == s.era and before == s.granted:
        applied = gone._replace(
            granted=after, volatile=_set(s.volatile, 0, s.volatile[0] + 1)
        )
        used = applied._replace(usable=_set(s.usable, 0, s.usable[0] + 1))
        return [('delayed draw applied', used if s.alive[0] else applied)]
    steps = [('delayed draw refused', gone)]
    if era != s.era and 'era_keys' not in guards:
        # The version that it names was given out again in this era.
        steps.append(
            ('delayed draw in a later era', gone._replace(granted=after))
        )
    if era != s.era and 'void_draws' not in guards and s.alive[0]:
        usable = _set(s.usable, 0, s.usable[0] + 1)
        steps.append(
            ('draw of a former era is used', gone._replace(usable=usable))
        )
    return steps


def _spend(s, _):
    return [
        (f'spend {i}', s._replace(used=_set(s.used, i, s.used[i] + 1)))
        for i in (0, 1)
        if s.alive[i] and s.used[i] < s.usable[i]
    ]


def _newer_copy(s, _):
    """Let the store come back from no copy older than this state."""
    new = s._replace(
        copied_era=s.era,
        copied=s.granted,
        copied_unseen=s.unseen,
        volatile=(0, 0),
    )
    return [('newer copy', new)]


def _rise(s, guards):
    """Let the store come back from the copy."""
    if s.era == MAX_ERA:
        return []
    # In each era since the copy tokens may have been drawn that it lacks.
    lost_eras = s.era + 1 - s.copied_era
    unseen = s.copied_unseen
    if 'count_unseen' in guards:
        unseen += VOLATILE_LIMIT * lost_eras
    new = s._replace(
        era=s.era + 1,
        granted=s.copied,
        unseen=unseen,
        volatile=(0, 0),
        stated=(0, 0),
    )
    return [('rise', new)]


def _state_grants(s, _):
    """Let a router learn of the era and state what it was granted."""
    steps = []
    for i in (0, 1):
        if s.alive[i] and not s.stated[i]:
            extra = max(0, s.usable[i] - s.granted[i])
            new = s._replace(
                granted=_set(s.granted, i, s.usable[i]),
                unseen=max(0, s.unseen - extra),
                volatile=_set(s.volatile, i, extra),
                stated=_set(s.stated, i, 1),
            )
            steps.append((f'state {i}', new))
    return steps


def _release(s, guards):
    if s.unseen and (all(s.stated) or 'await_all' not in guards):
        return [('release', s._replace(unseen=0))]
    return []


def _die(s, guards):
    steps = []
    for i in (0, 1):
        if s.alive[i]:
            new = s._replace(alive=_set(s.alive, i, 0))
            if 'keep_volatile' not in guards:
                new = new._replace(volatile=_set(s.volatile, i, 0))
            steps.append((f'die {i}', new))
    return steps


TRANSITIONS = (
    _draw,
    _land,
    _spend,
    _newer_copy,
    _rise,
    _state_grants,
    _release,
    _die,
)
