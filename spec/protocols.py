"""Builds a minicheck protocol from steps over named tuples.

Example::

    protocols.build('grants', INITIAL, steps, {'no_overspend': holds})
"""

import minicheck


def build(name, initial, steps, invariants):
    """Return the protocol whose initial state is the named tuple `initial`.

    `steps` takes a state and returns the possible steps from it as a list of
    pairs of a label and the next state.  `invariants` maps names to
    predicates of a state.
    """
    state_type = type(initial)

    def transitions(raw):
        state = state_type(*raw)
        return [(label, tuple(new)) for label, new in steps(state)]

    return minicheck.Protocol(
        name=name,
        candidate=False,
        fields=state_type._fields,
        initial=tuple(initial),
        transitions=transitions,
        invariants=invariants,
    )


def join_steps(transitions, guards):
    """Return a function that lists the steps of all `transitions`, in order.

    Each transition takes a state and the guards that are enabled, and returns
    steps as `build` has them.
    """

    def steps_from(state):
        steps = []
        for list_steps in transitions:
            steps += list_steps(state, guards)
        return steps

    return steps_from
