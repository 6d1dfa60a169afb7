"""A view of targets whose service limits those that have just started.

Example::

    view = make_view(clock, lambda: {'pool': make_service()})
    view._on_list([make_item(ColdLeftMs=0)])
"""

import msgspec

from galenaspoke.core import catalog
from galenaspoke.edge.views import target_view
from galenaspoke.platform import target_entries
from galenaspoke.store import base as store_base
from tests.edge import base

# How long a target is cold, and how many requests a second it takes then.
COLD_MS = 3_000
RATE_PER_S = 16.0
ENTRY = {
    'Service': 'pool',
    'Addr': '127.0.0.1:1',
    'Zone': 'a',
    'Slots': 64,
    'State': 'ready',
    'Seq': 1,
    'born': 1,
    'ColdLeftMs': COLD_MS,
}


def make_service():
    """Return a service that limits cold targets."""
    return catalog.Service(
        'pool', '/', 9, cold_start_ms=COLD_MS, cold_rate_per_s=RATE_PER_S
    )


def make_item(**fields):
    """Return the store's item of the target's entry with these fields."""
    return store_base.Item(
        'servers/i-1', 1, msgspec.Raw(msgspec.json.encode(ENTRY | fields))
    )


def make_view(clock, get_services):
    """Return a TargetView of a router that is alone, without a store."""
    return target_view.TargetView(
        None,
        clock,
        base.Recorder(),
        target_entries,
        get_services,
        Exception,
        lambda identity: None,
        base.get_whole_share,
    )
