"""Vouching: forgetting a lost home, so that its keys can run elsewhere.

Two routers may send a key to its home.  The home is declared lost, perhaps
wrongly, and may continue behind a network partition.  Each router hands over
the records of what it sent to the home, and vouches that they are complete.
Then the home is forgotten (`registry.forget`), and the key may run at its next
home unless its record was handed over.

Safety: the request runs at most once.
"""

import collections

from spec import protocols

GUARDS = (
    # A router sends nothing to an agent that it knows to be lost.
    'stop_sending',
    # A router hands over what it sent before it vouches.
    'hand_over_first',
    # The lost home is forgotten only after all routers have vouched.
    'wait_for_all',
    # A router that crashed without vouching is noted in the registry before
    # its record is removed.
    'note_crashed',
    # A home that seals a crashed router refuses its requests from then on and
    # reports what the router had sent.  The router that asked for the seal
    # then vouches for those requests.
    'seal_and_take_over',
)

# For each router: `sent` means that it sent the request, which is in flight or
# has arrived, `knows` that it knows of the loss, `handed` that it handed over
# its records, `vouched` that it vouched, `up` that it runs, `record` that its
# record is in the store, and `sealed` that the home has sealed it.
_ROUTER = ('sent', 'knows', 'handed', 'vouched', 'up', 'record', 'sealed')
_FIELDS = [f'{name}{number}' for number in '12' for name in _ROUTER]
# `lost` means that the home was declared lost, `gone` that it really died,
# `forgotten` that the registry has forgotten it, `noted` that the registry
# notes a router that crashed without vouching (`Registry.unvouched`), and
# `claimed` that the next home has the key's record.  `old` and `new` count the
# runs at the lost home and at the next one.
State = collections.namedtuple(
    'State',
    _FIELDS + ['lost', 'gone', 'forgotten', 'noted', 'claimed', 'old', 'new'],
)
INITIAL = State(**{name: 0 for name in State._fields})._replace(
    up1=1, up2=1, record1=1, record2=1
)


def protocol(guards=frozenset(GUARDS)):
    """Return the protocol with the given guards enabled."""

    def steps_from(s):
        steps = []
        if not s.lost:
            steps.append(('declare lost', s._replace(lost=1)))
        if not s.gone:
            steps.append(('home dies', s._replace(gone=1)))
        for me, other in (('1', '2'), ('2', '1')):
            steps += _send(s, me, guards)
            steps += _vouch(s, me, guards)
            steps += _crash(s, me, other, guards)
        steps += _forget(s, guards)
        return [(label, new) for label, new in steps if new != s]

    return protocols.build(
        'vouching',
        INITIAL,
        steps_from,
        {'runs_once': lambda s: s['old'] + s['new'] <= 1},
    )


def _get(s, name, me):
    return getattr(s, name + me)


def _set(s, me, **fields):
    return s._replace(**{name + me: v for name, v in fields.items()})


def _send(s, me, guards):
    steps = []
    knows = _get(s, 'knows', me) and 'stop_sending' in guards
    if _get(s, 'up', me) and not knows:
        steps.append((f'{me} sends', _set(s, me, sent=1)))
    arrives = _get(s, 'sent', me) and not s.gone and not s.old
    if arrives and not _get(s, 'sealed', me):
        steps.append((f"{me}'s request arrives", s._replace(old=1)))
    may_run = _get(s, 'up', me) and _get(s, 'knows', me) and s.forgotten
    if may_run and not s.claimed:
        new = s._replace(new=1, claimed=1)
        steps.append((f'{me} runs it elsewhere', new))
    return steps


def _vouch(s, me, guards):
    if not _get(s, 'up', me) or not s.lost:
        return []
    steps = [(f'{me} learns', _set(s, me, knows=1))]
    if _get(s, 'knows', me):
        claimed = 1 if _get(s, 'sent', me) else s.claimed
        new = _set(s, me, handed=1)._replace(claimed=claimed)
        if not s.claimed or claimed == s.claimed:
            steps.append((f'{me} hands over', new))
        ready = _get(s, 'handed', me) or 'hand_over_first' not in guards
        if ready:
            steps.append((f'{me} vouches', _set(s, me, vouched=1)))
    return steps


def _crash(s, me, other, guards):
    if not _get(s, 'record', me):
        return []
    steps = [(f'{me} crashes', _set(s, me, up=0))]
    if _get(s, 'up', me) or not _get(s, 'up', other):
        return steps
    if s.lost and not _get(s, 'vouched', me):
        noted = 1 if 'note_crashed' in guards else s.noted
        new = _set(s, me, record=0)._replace(noted=noted)
        steps.append((f'{me} recovered, noted', new))
    elif s.lost:
        steps.append((f'{me} recovered', _set(s, me, record=0)))
    elif not s.gone:
        # The home seals the router and reports whether it has the key.
        new = _set(s, me, record=0)
        if 'seal_and_take_over' in guards:
            new = _set(new, me, sealed=1)
            if s.old:
                new = _set(new, other, sent=1)
        steps.append((f'{me} recovered before', new))
    return steps


def _forget(s, guards):
    if not s.lost or s.forgotten or s.noted:
        return []
    pending = [
        me
        for me in '12'
        if _get(s, 'record', me) and not _get(s, 'vouched', me)
    ]
    if pending and 'wait_for_all' in guards:
        return []
    return [('forget home', s._replace(forgotten=1))]
