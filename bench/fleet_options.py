"""The size of a soak's fleet, and how its engines misbehave.

Example::

    options = FleetOptions(seed=7, routers=8)
    options.relays    # what the small world of CI has
"""

import pathlib

from bench import closed_streams as modes
from bench import edge_machines
from bench import site_profiles

# The share of engines that are reached through a link that can be harmed.
LINKED_SHARE = 0.5


class FleetOptions:
    """The size of a fleet and the seed of all that is drawn.

    `profile` is the Profile of its world, which says what `routers`,
    `relays`, `engines` and `applications` are if they are None.

    `product` is the folder that holds the galenaspoke package to run, `early`
    the share of responses that engines end early, `garbled` of those that they
    garble, and `skew_ms` how far engines' clocks are ahead or behind at most;
    `router_skew_ms` is the same of routers, drawn anew for each start.
    `closed_streams` is one of its module's MODES, by `early` if it is None.
    With `control_path` the path between routers can be harmed, and engines
    that are reached through a link are `linked_share` of them.  `router_flags`
    are further arguments of routers, `slots` how many requests an engine works
    on, and `flooding` says whether there are engines that flood.
    """

    __slots__ = (
        'profile',
        'seed',
        'routers',
        'relays',
        'engines',
        'applications',
        'product',
        'early',
        'garbled',
        'skew_ms',
        'router_skew_ms',
        'control_path',
        'closed_streams',
        'linked_share',
        'router_flags',
        'slots',
        'flooding',
    )

    def __init__(
        self,
        seed=1,
        routers=None,
        relays=None,
        engines=None,
        applications=None,
        product=None,
        early=0.08,
        garbled=0.02,
        skew_ms=6_000,
        router_skew_ms=4_000,
        control_path=True,
        profile=None,
        closed_streams=None,
        linked_share=LINKED_SHARE,
        router_flags=(),
        slots=edge_machines.SLOTS,
        flooding=True,
    ):
        self.profile = profile or site_profiles.default()
        self.seed = seed
        self.routers = _choose(routers, self.profile.routers)
        self.relays = _choose(relays, self.profile.relays)
        self.engines = _choose(engines, self.profile.engines)
        self.applications = _choose(applications, self.profile.applications)
        self.product = product or str(pathlib.Path(__file__).parents[1])
        self.early = early
        self.garbled = garbled
        self.skew_ms = skew_ms
        self.router_skew_ms = router_skew_ms
        self.control_path = control_path
        self.closed_streams = modes.choose(closed_streams, early)
        self.linked_share = linked_share
        self.router_flags = list(router_flags)
        self.slots = slots
        self.flooding = flooding

    def list_engine_options(self):
        """Return what engines are told beside the shares, by name.

        Where no response ends early, none ends early at every engine either.
        """
        options = dict(self.profile.engine_options)
        if not self.early:
            options['common'] = 0.0
        return options


def _choose(number, default):
    return default if number is None else number
