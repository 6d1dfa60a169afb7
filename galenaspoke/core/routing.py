"""Which target runs a request.

The choice is between the home, which has the prompt's prefix cached when any
target does, and the least loaded target.  What this router has in flight is
a fact; what agents report is a hint that ages.
"""

import random


class Load:
    """What is known of one target's load."""

    __slots__ = ('in_flight', 'reported', 'reported_at', 'leaving', 'failed')

    def __init__(self):
        self.in_flight = 0
        self.reported = 0
        self.reported_at = 0
        self.leaving = False
        self.failed = False

    def estimate(self):
        """Return the requests that the target is thought to have.

        The report lags and covers all routers; the count in flight is exact
        and covers this one.  Neither may be ignored.
        """
        return max(self.reported, self.in_flight)

    def usable(self):
        """Tell whether new work may be sent."""
        return not (self.leaving or self.failed)


# How many more requests than the least loaded target the home may have
# before its cached prefix is worth less than a shorter queue.
AFFINITY_SLACK = 4


def prefer_home(home, loads, slack=AFFINITY_SLACK):
    """Return the name of the target to run at.

    `loads` maps names to Load.  Takes the home unless it can't be used or
    has `slack` requests more than the least loaded target.  Returns None
    when no target can be used.
    """
    best = least_loaded(home, loads)
    own = loads.get(home)
    if best is None or own is None or not own.usable():
        return best
    if own.estimate() <= loads[best].estimate() + slack:
        return home
    return best


def least_loaded(home, loads):
    """Return the usable target with the lowest estimate, home on a tie."""
    best = None
    for name, load in loads.items():
        if not load.usable():
            continue
        rank = (load.estimate(), name != home)
        if best is None or rank < best[0]:
            best = (rank, name)
    return best[1] if best else None


def round_robin():
    """Return a policy that takes usable targets in turn."""
    turn = 0

    def choose(_home, loads):
        nonlocal turn
        usable = sorted(name for name in loads if loads[name].usable())
        turn += 1
        return usable[turn % len(usable)] if usable else None

    return choose


def at_random(seed):
    """Return a policy that takes usable targets at random."""
    rng = random.Random(seed)

    def choose(_home, loads):
        usable = sorted(name for name in loads if loads[name].usable())
        return rng.choice(usable) if usable else None

    return choose


def policy_named(name):
    """Return the placement policy that a setting names."""
    if name == 'affinity':
        return prefer_home
    if name == 'least-loaded':
        return least_loaded
    if name == 'round-robin':
        return round_robin()
    if name == 'random':
        return at_random(seed=1)
    raise ValueError(f'no placement policy is named {name!r}')
