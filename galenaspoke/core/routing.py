"""Which target runs a request.

The choice is between the home, which has the prompt's prefix cached when any
target does, and the least loaded target.  What this router has in flight is
a fact; what agents report is a hint that ages.
"""

import random

# How much a new report counts against the earlier ones.
REPORT_SHARE = 0.5


class Load:
    """What is known of one target's load."""

    __slots__ = ('in_flight', 'others_in_flight', 'leaving', 'failed')

    def __init__(self):
        self.in_flight = 0
        self.others_in_flight = 0
        self.leaving = False
        self.failed = False

    def add_report(self, load):
        """Take a report of all that the target has.

        What this router had in flight at that time is taken out, since of
        that it knows better.
        """
        others = max(0, load - self.in_flight)
        self.others_in_flight += (
            others - self.others_in_flight
        ) * REPORT_SHARE

    def estimate(self):
        """Return the requests that the target is thought to have."""
        return self.in_flight + self.others_in_flight

    def is_usable(self):
        """Tell whether new work may be sent."""
        return not (self.leaving or self.failed)


# How many more requests than the least loaded target the home may have
# before its cached prefix is worth less than a shorter queue.
AFFINITY_SLACK = 2
# How many targets a choice by load is made from.
CHOICES = 2


def prefer_home(home, loads, slack=AFFINITY_SLACK):
    """Return the name of the target to run at.

    `loads` maps names to Load.  Takes the home unless it can't be used or
    has `slack` requests more than the least loaded target.  Returns None
    when no target can be used.
    """
    best = least_loaded(home, loads)
    own = loads.get(home)
    if best is None or own is None or not own.is_usable():
        return best
    if own.estimate() <= loads[best].estimate() + slack:
        return home
    return best


def least_loaded(home, loads):
    """Return the less loaded of two usable targets, home on a tie.

    The two are taken at random: routers that all took the least loaded by the
    same lagging reports would all take the same.
    """
    usable = [name for name, load in loads.items() if load.is_usable()]
    best = None
    for name in random.sample(usable, min(CHOICES, len(usable))):
        rank = (loads[name].estimate(), name != home)
        if best is None or rank < best[0]:
            best = (rank, name)
    return best[1] if best else None


def round_robin():
    """Return a policy that takes usable targets in turn."""
    turn = 0

    def choose(_home, loads):
        nonlocal turn
        usable = sorted(name for name in loads if loads[name].is_usable())
        turn += 1
        return usable[turn % len(usable)] if usable else None

    return choose


def at_random(seed):
    """Return a policy that takes usable targets at random."""
    rng = random.Random(seed)

    def choose(_home, loads):
        usable = sorted(name for name in loads if loads[name].is_usable())
        return rng.choice(usable) if usable else None

    return choose


def make_placement_policy(name):
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
