"""Ways in which an engine misbehaves for a while, once it is told to.

An order, the body of `POST /faults/mode`, names one of MODES, how many seconds
it holds for, and the share of requests that meet it::

    {"mode": "hang", "seconds": 2.5, "share": 0.3}

Some modes hold for a request whatever its plan is, `ENDINGS` has which ending
they force.  The others concern a connection, or the whole engine.
"""

import time

from standins import edge_plans

# A refusal that says that the request didn't run.
SHED = 'shed'
# The engine's process ends in the middle of its streams.
SPOT = 'spot'
# The engine ends its streams, and its process is suspended; never drawn.
FREEZE = 'freeze'
# Connections on which a response came are gone: what is sent next is reset.
FORGET = 'forget'
# The endings of runs that other modes force.
ENDINGS = {
    'errors': edge_plans.ERROR,
    'hang': edge_plans.HANG,
    'mute': edge_plans.LEFT,
    'reset': edge_plans.RESET,
}
MODES = (SHED, SPOT, FORGET, *ENDINGS)


class Modes:
    """The modes that an engine is in; modes overlap."""

    __slots__ = ('_rng', '_shares', '_until')

    def __init__(self, rng):
        self._rng = rng
        # The share of requests by mode, and when the mode ends.
        self._shares = {}
        self._until = {}

    def set(self, mode, seconds, share):
        """Have a share of the requests meet a mode from now on."""
        if mode not in MODES:
            raise ValueError(f'no mode is named {mode}')
        self._shares[mode] = share
        self._until[mode] = time.monotonic() + seconds

    def meets(self, mode):
        """Return whether a request meets a mode."""
        if time.monotonic() >= self._until.get(mode, 0):
            return False
        return self._rng.random() < self._shares[mode]

    def draw_ending(self):
        """Return the ending that is forced on a run, None for none."""
        for mode, ending in ENDINGS.items():
            if self.meets(mode):
                return ending
        return None
