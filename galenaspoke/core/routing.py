"""Placement policies: which target runs a request.

The default policy chooses between the home, which has the prompt's prefix
cached if any target has, and the less loaded of two random targets.  The
requests that this router has in flight are known exactly; the load reported
by agents is a hint that becomes outdated.

Which agent keeps a request's record is a different question, which
`registry.placement` answers.
"""

import random

# Weight of a new load report in the moving average of the reports.
REPORT_WEIGHT = 0.5


class Load:
    """The known load of one target.

    `in_flight` counts the requests of this router, `others_in_flight`
    estimates those of all other routers.
    """

    __slots__ = ('in_flight', 'others_in_flight', 'leaving', 'failed')

    def __init__(self):
        self.in_flight = 0
        self.others_in_flight = 0
        self.leaving = False
        self.failed = False

    def add_report(self, load):
        """Update the estimate from a report of the target's total load.

        The requests that this router has in flight are subtracted, because
        their number is known exactly.
        """
        others = max(0, load - self.in_flight)
        self.others_in_flight += (
            others - self.others_in_flight
        ) * REPORT_WEIGHT

    def estimate(self):
        """Return the estimated number of requests at the target."""
        return self.in_flight + self.others_in_flight

    def is_usable(self):
        """Return True if new requests may be sent to the target."""
        return not (self.leaving or self.failed)


# The home is preferred while it has at most this many requests more than the
# alternative, the less loaded of two random targets.  Above that, a shorter
# queue is worth more than a cached prefix.
AFFINITY_SLACK = 2
# Number of random targets from which the least loaded one is chosen.
SAMPLE_SIZE = 2


def prefer_home(home, loads, slack=AFFINITY_SLACK):
    """Return the home unless it is unusable or overloaded.

    `loads` maps target names to Loads.  `choose_less_loaded` provides the
    alternative, which is returned if the home is unusable or has over `slack`
    more requests.  Return None if no target is usable.
    """
    alternative = choose_less_loaded(home, loads)
    home_load = loads.get(home)
    if alternative is None or home_load is None or not home_load.is_usable():
        return alternative
    if home_load.estimate() <= loads[alternative].estimate() + slack:
        return home
    return alternative


def choose_less_loaded(home, loads):
    """Return the less loaded of two usable targets, the home on a tie.

    The two are chosen at random.  If all routers chose the least loaded
    target by the same delayed reports, they would all choose the same one.
    """
    usable = [name for name, load in loads.items() if load.is_usable()]
    best = None
    for name in random.sample(usable, min(SAMPLE_SIZE, len(usable))):
        rank = (loads[name].estimate(), name != home)
        if best is None or rank < best[0]:
            best = (rank, name)
    return best[1] if best else None


def make_round_robin_policy():
    """Return a policy that chooses usable targets in turn."""
    turn = 0

    def choose(_home, loads):
        nonlocal turn
        usable = sorted(name for name in loads if loads[name].is_usable())
        turn += 1
        return usable[turn % len(usable)] if usable else None

    return choose


def make_random_policy(seed):
    """Return a policy that chooses usable targets at random."""
    rng = random.Random(seed)

    def choose(_home, loads):
        usable = sorted(name for name in loads if loads[name].is_usable())
        return rng.choice(usable) if usable else None

    return choose


def make_placement_policy(name):
    """Return the placement policy selected by the setting `name`."""
    if name == 'affinity':
        return prefer_home
    if name == 'least-loaded':
        return choose_less_loaded
    if name == 'round-robin':
        return make_round_robin_policy()
    if name == 'random':
        return make_random_policy(seed=1)
    raise ValueError(
        f'no placement policy is named {name!r}; use affinity, least-loaded,'
        ' round-robin or random'
    )
