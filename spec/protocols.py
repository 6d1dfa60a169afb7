"""What all specifications share: named states in, plain tuples out.

Example::

    protocols.build('grants', INITIAL, steps, {'no_overspend': holds})
"""

import minicheck


def build(name, initial, steps, invariants):
    """Return the protocol that starts at the named tuple `initial`.

    `steps` takes a state and returns the steps from it, pairs of a label and
    the next state.
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
