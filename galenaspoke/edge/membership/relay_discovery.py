"""Registers this process as a relay to the store and discovers other relays.

A process that is cut off from the store reaches it through a relay; see
`galenaspoke.store.paths`.

Example::

    gevent.spawn(relay_discovery.run, cfg, store, paths, journal)
"""

import random

import gevent

from galenaspoke.store import base
from galenaspoke.store import relays
from galenaspoke.store import unreadable

# How often the list of relays is read.
READ_INTERVAL_S = (8.0, 12.0)
RETRY_INTERVAL_S = (0.5, 1.0)
# The first read waits because other processes may register at the same time as
# this one.
FIRST_READ_INTERVAL_S = (1.5, 2.5)


def run(cfg, store, paths, journal, store_feeds=None, is_dedicated=False):
    """Register this process and read the list of relays; never returns.

    It registers again in each era of the store, whose list starts empty.
    `store_feeds` are told the relays that serve no callers;  `is_dedicated`
    states that this process serves none.
    """
    relay = relays.Relay(cfg.name, cfg.peer_listen, cfg.domain, is_dedicated)
    unreadable_slots = unreadable.UnreadableObjects(
        'relays.unreadable', journal
    )
    registered_era = None
    interval_s = FIRST_READ_INTERVAL_S
    while True:
        try:
            if registered_era != store.era:
                relays.register(store, relay)
                registered_era = store.era
            else:
                _read(cfg, store, paths, store_feeds, unreadable_slots)
                interval_s = READ_INTERVAL_S
            pause_s = interval_s
        except (base.StoreError, base.OutcomeUnknown) as exc:
            journal.note('relays.failed', why=str(exc))
            pause_s = RETRY_INTERVAL_S
        gevent.sleep(random.uniform(*pause_s))


def _read(cfg, store, paths, store_feeds, unreadable_slots):
    """Read the list of relays; keep the known ones if it is empty."""
    known_relays = relays.list_relays(store, unreadable_slots)
    if known_relays and store_feeds is not None:
        store_feeds.set_feeders(
            [relay.address for relay in known_relays if relay.apart]
        )
    if known_relays:
        paths.set_relays(
            relays.order_by_preference(
                known_relays, cfg.domain, cfg.peer_listen
            )
        )
