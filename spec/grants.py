"""Grants: drawing, spending, sealing a silent holder, freeing the remainder.

One holder draws two tokens, the whole limit of its budget, and spends one
token per request.  It takes no step while it is paused, and none after it has
died, which may happen at any step.  Agent 1 is registered from the start;
agent 2 may join at any time.  Some process recovers the holder's grant, and
another router spends the tokens that are freed.

Safety: no more than the limit is spent.
"""

import collections

from spec import protocols

LIMIT = 2

GUARDS = (
    # An agent refuses the requests of a holder that it was asked to seal.
    'refuse_after_seal',
    # No tokens are freed until every agent in the registry has replied.
    'wait_for_all',
    # The holder's record is marked as sealed before the registry is read.
    'mark_before_reading',
    # An agent looks a holder up before it accepts its first request.
    'look_up_new_holder',
    # An agent is in the registry before it looks up a holder.
    'register_before_look_up',
    # After a lost response a holder reads the page before it uses a grant.
    'read_after_lost_response',
)

# `granted` is the holder's grant in the store.  `draw` is the state of the
# draw: 0 not sent, 1 outcome unknown, 2 outcome known.  `usable` is what the
# holder believes that it may spend.  `sent1` and `sent2` count its requests to
# each agent, `used1` and `used2` the requests that the agents accepted.
# `marked` means that the holder's record is marked as sealed, `read` that the
# registry has been read, and `listed2` that agent 2 was in it.  `sealed1` and
# `sealed2` mean that the agent was asked to seal the holder; `reported1` and
# `reported2` are the usage that it replied (-1: no reply).  `agent2` is 0
# absent, 1 started, 2 in the registry.  `lookup2` is the result when agent 2
# looks up the holder: 0 not looked up, 1 not sealed, 2 sealed.  `freed` is the
# number of tokens that the other router got.
State = collections.namedtuple(
    'State',
    'granted draw usable sent1 sent2 used1 used2 marked read listed2 sealed1'
    ' agent2 lookup2 sealed2 reported1 reported2 freed',
)
INITIAL = State(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, -1, -1, 0)


def protocol(guards=frozenset(GUARDS)):
    """Return the protocol with the given guards enabled."""
    transitions = (_draw, _spend, _join, _arrive, _recover)
    return protocols.build(
        'grants',
        INITIAL,
        protocols.join_steps(transitions, guards),
        {'no_overspend': _no_overspend},
    )


def _no_overspend(state):
    others = state['freed']
    return state['used1'] + state['used2'] + others <= LIMIT


def _draw(s, guards):
    if s.draw == 0 and not s.marked:
        # If the response is lost, the write may or may not have taken effect.
        return [
            ('draw', s._replace(granted=LIMIT, draw=2, usable=LIMIT)),
            ('draw, response lost', s._replace(granted=LIMIT, draw=1)),
            ('draw lost', s._replace(draw=1)),
        ]
    steps = []
    if s.draw == 1:
        usable = s.granted if 'read_after_lost_response' in guards else LIMIT
        steps.append(('learn outcome', s._replace(draw=2, usable=usable)))
    if s.draw and not s.granted and not s.freed:
        steps.append(('another draws', s._replace(freed=LIMIT)))
    return steps


def _spend(s, guards):
    if s.sent1 + s.sent2 >= s.usable:
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
    if s.agent2 >= needed and s.lookup2 == 0:
        found = 2 if s.marked else 1
        if 'look_up_new_holder' not in guards:
            found = 1
        steps.append(('agent 2 looks up holder', s._replace(lookup2=found)))
    return steps


def _arrive(s, guards):
    steps = []
    refuses = 'refuse_after_seal' in guards
    if s.used1 < s.sent1 and not (refuses and s.sealed1):
        steps.append(('agent 1 accepts', s._replace(used1=s.used1 + 1)))
    open2 = s.lookup2 == 1 and not (refuses and s.sealed2)
    if s.used2 < s.sent2 and open2:
        steps.append(('agent 2 accepts', s._replace(used2=s.used2 + 1)))
    return steps


def _recover(s, guards):
    steps = []
    if not s.marked:
        steps.append(('mark', s._replace(marked=1)))
    may_read = s.marked or 'mark_before_reading' not in guards
    if may_read and not s.read:
        listed = 1 if s.agent2 == 2 else 0
        steps.append(('read registry', s._replace(read=1, listed2=listed)))
    if s.read and s.reported1 < 0:
        new = s._replace(sealed1=1, reported1=s.used1)
        steps.append(('seal 1', new))
    if s.read and s.listed2 and s.reported2 < 0:
        new = s._replace(sealed2=1, reported2=s.used2)
        steps.append(('seal 2', new))
    ready = s.reported1 >= 0 and (not s.listed2 or s.reported2 >= 0)
    if 'wait_for_all' not in guards:
        ready = s.reported1 >= 0 or s.reported2 >= 0
    if s.marked and s.read and ready and s.granted and not s.freed:
        spent = max(0, s.reported1) + max(0, s.reported2)
        if s.granted > spent:
            steps.append(('free', s._replace(freed=s.granted - spent)))
    return steps
