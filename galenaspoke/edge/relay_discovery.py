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

# How often the list of relays is read.
READ_INTERVAL_S = (8.0, 12.0)
RETRY_INTERVAL_S = (0.5, 1.0)
# The first read waits because other processes may register at the same time as
# this one.
FIRST_READ_INTERVAL_S = (1.5, 2.5)


def register(cfg, store, journal, is_dedicated):
    """Register this process as a relay; retry until that succeeds.

    `is_dedicated` states that the process serves no callers.
    """
    relay = relays.Relay(cfg.name, cfg.peer_listen, cfg.domain, is_dedicated)
    while True:
        try:
            return relays.register(store, relay)
        except (base.StoreError, base.OutcomeUnknown) as exc:
            journal.note('relays.not_entered', why=str(exc))
            gevent.sleep(random.uniform(*RETRY_INTERVAL_S))


def run(cfg, store, paths, journal):
    """Register this process, then read the list of relays; never returns."""
    register(cfg, store, journal, is_dedicated=False)
    interval_s = FIRST_READ_INTERVAL_S
    while True:
        gevent.sleep(random.uniform(*interval_s))
        try:
            known_relays = relays.list_relays(store)
            interval_s = READ_INTERVAL_S
        except base.StoreError as exc:
            journal.note('relays.unread', why=str(exc))
            interval_s = RETRY_INTERVAL_S
            continue
        own_address = cfg.peer_listen
        paths.set_relays(
            relays.order_by_preference(known_relays, cfg.domain, own_address)
        )
