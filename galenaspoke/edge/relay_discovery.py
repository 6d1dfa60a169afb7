"""Keeps a process's second path to the store: relays it may use, and itself.

Example::

    gevent.spawn(second_path.keep, cfg, client, paths, journal)
"""

import random

import gevent

from galenaspoke.store import base
from galenaspoke.store import relays

# How often the list of relays is read again.
READ_S = (8.0, 12.0)
RETRY_S = (0.5, 1.0)
# Others enter themselves at the same time as this process does.
FIRST_READ_S = (1.5, 2.5)


def enter(cfg, client, journal, apart):
    """Enter this process as a relay, trying until that is done."""
    own = relays.Relay(cfg.name, cfg.peer_listen, cfg.domain, apart)
    while True:
        try:
            return relays.register(client, own)
        except (base.StoreError, base.OutcomeUnknown) as exc:
            journal.note('relays.not_entered', why=str(exc))
            gevent.sleep(random.uniform(*RETRY_S))


def keep(cfg, client, paths, journal):
    """Enter this process, then follow the list of the others for good."""
    enter(cfg, client, journal, apart=False)
    wait_s = FIRST_READ_S
    while True:
        gevent.sleep(random.uniform(*wait_s))
        try:
            found = relays.list_relays(client)
            wait_s = READ_S
        except base.StoreError as exc:
            journal.note('relays.unread', why=str(exc))
            wait_s = RETRY_S
            continue
        own = cfg.peer_listen
        paths.set_relays(relays.order_by_preference(found, cfg.domain, own))
