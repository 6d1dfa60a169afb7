"""Grants: drawing, spending, sealing a silent holder, freeing the rest.

One holder has drawn two tokens, its whole budget's limit, and spends one with
each request.  It may be paused or dead at any step: then it just makes none.
Agent 1 is there from the start, agent 2 may join at any time.  Somebody
recovers the holder's grant, and another router spends what is freed.

Safe means: never more than the limit is spent.
"""

import collections

from spec import protocols

LIMIT = 2

GUARDS = (
    # An agent takes nothing from a holder that it was told to seal.
    'refuse_after_seal',
    # Nothing is freed until every agent in the registry has answered.
    'wait_for_all',
    # The mark on the holder's record is written before the registry is read.
    'mark_before_reading',
    # An agent looks a holder up before it takes its first request.
    'look_up_new_holder',
    # An agent is in the registry before it looks a holder up.
    'register_before_look_up',
    # After a lost answer a holder looks before it believes in a grant.
    'look_after_lost_answer',
)

# `draw` is 0 before, 1 in doubt, 2 certain; `known` is what the holder may
# spend.  `agent2` is 0 absent, 1 started, 2 in the registry.  `look2` is what
# agent 2 found: 0 not looked, 1 may spend, 2 sealed.
State = collections.namedtuple(
    'State',
    'granted draw known sent1 sent2 used1 used2 marked read saw2 sealed1'
    ' agent2 look2 sealed2 said1 said2 freed',
)
INITIAL = State(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, -1, -1, 0)


def protocol(guards=frozenset(GUARDS)):
    """Return the protocol under some guards."""

    def steps_from(state):
        steps = []
        for part in (_draw, _spend, _join, _arrive, _recover):
            steps += part(state, guards)
        return steps

    return protocols.build(
        'grants', INITIAL, steps_from, {'no_overspend': _no_overspend}
    )


def _no_overspend(state):
    others = state['freed']
    return state['used1'] + state['used2'] + others <= LIMIT


def _draw(s, guards):
    if s.draw == 0 and not s.marked:
        # The answer is lost: the write took effect, or it didn't.
        return [
            ('draw', s._replace(granted=LIMIT, draw=2, known=LIMIT)),
            ('draw, answer lost', s._replace(granted=LIMIT, draw=1)),
            ('draw lost', s._replace(draw=1)),
        ]
    steps = []
    if s.draw == 1:
        known = s.granted if 'look_after_lost_answer' in guards else LIMIT
        steps.append(('believe', s._replace(draw=2, known=known)))
    if s.draw and not s.granted and not s.freed:
        steps.append(('another draws', s._replace(freed=LIMIT)))
    return steps


def _spend(s, guards):
    if s.sent1 + s.sent2 >= s.known:
        return []
    steps = [('send to 1', s._replace(sent1=s.sent1 + 1))]
    if s.agent2:
        steps.append(('send to 2', s._replace(sent2=s.sent2 + 1)))
    return steps


def _join(s, guards):
    steps = []
    if s.agent2 == 0:
        steps.append(('agent 2 starts', s._replace(agent2=1)))
    if s.agent2 == 1:
        steps.append(('agent 2 registers', s._replace(agent2=2)))
    needed = 2 if 'register_before_look_up' in guards else 1
    if s.agent2 >= needed and s.look2 == 0:
        found = 2 if s.marked else 1
        if 'look_up_new_holder' not in guards:
            found = 1
        steps.append(('agent 2 looks', s._replace(look2=found)))
    return steps


def _arrive(s, guards):
    steps = []
    refuses = 'refuse_after_seal' in guards
    if s.used1 < s.sent1 and not (refuses and s.sealed1):
        steps.append(('1 takes', s._replace(used1=s.used1 + 1)))
    open2 = s.look2 == 1 and not (refuses and s.sealed2)
    if s.used2 < s.sent2 and open2:
        steps.append(('2 takes', s._replace(used2=s.used2 + 1)))
    return steps


def _recover(s, guards):
    steps = []
    if not s.marked:
        steps.append(('mark', s._replace(marked=1)))
    may_read = s.marked or 'mark_before_reading' not in guards
    if may_read and not s.read:
        saw = 1 if s.agent2 == 2 else 0
        steps.append(('read registry', s._replace(read=1, saw2=saw)))
    if s.read and s.said1 < 0:
        new = s._replace(sealed1=1, said1=s.used1)
        steps.append(('seal 1', new))
    if s.read and s.saw2 and s.said2 < 0:
        new = s._replace(sealed2=1, said2=s.used2)
        steps.append(('seal 2', new))
    ready = s.said1 >= 0 and (not s.saw2 or s.said2 >= 0)
    if 'wait_for_all' not in guards:
        ready = s.said1 >= 0 or s.said2 >= 0
    if s.marked and s.read and ready and s.granted and not s.freed:
        spent = max(0, s.said1) + max(0, s.said2)
        if s.granted > spent:
            steps.append(('free', s._replace(freed=s.granted - spent)))
    return steps
