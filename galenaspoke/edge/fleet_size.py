"""The number of routers in the fleet, from a list in the store.

The list is split into shards, one object each, by a hash of the router's name.
Each router adds itself at its start and removes itself in an orderly shutdown.
One that crashes stays in the list until it is restarted, so a crash can only
lead to an overestimate, which makes each router's share of the retry budget
smaller.

Example::

    fleet_size = FleetSize('front-a-1', store, journal)
    gevent.spawn(fleet_size.run)
    fleet_size.get_router_count()      # 9, or 0 while it isn't known
"""

import random
import zlib

import gevent
import msgspec

from galenaspoke.store import base

KIND = 'routers'
SHARD_COUNT = 16
READ_INTERVAL_S = (12.0, 18.0)
# The first interval is shorter because other routers may add themselves at the
# same time as this one.
FIRST_READ_INTERVAL_S = (1.5, 2.5)
RETRY_INTERVAL_S = (0.5, 1.0)
UNREGISTER_TIMEOUT_S = 0.5


class Shard(msgspec.Struct):
    """One shard of the list: the names of some of the routers."""

    names: list[str] = []


class FleetSize:
    """Registers this router and counts all registered routers."""

    __slots__ = ('_name', '_store', '_journal', '_router_count')

    def __init__(self, name, store, journal):
        self._name = name
        self._store = store
        self._journal = journal
        self._router_count = 0

    def get_router_count(self):
        """Return the number of routers, 0 while it isn't known."""
        return self._router_count

    def run(self):
        """Register this router, then count all routers; never returns."""
        interval_s = FIRST_READ_INTERVAL_S
        is_registered = False
        while True:
            try:
                if not is_registered:
                    base.update(
                        self._store, self._shard_key(), Shard, self._add_name
                    )
                    is_registered = True
                self._count()
                pause_s, interval_s = interval_s, READ_INTERVAL_S
            except (base.StoreError, base.OutcomeUnknown) as exc:
                self._journal.note('roster.unread', why=str(exc))
                pause_s = RETRY_INTERVAL_S
            gevent.sleep(random.uniform(*pause_s))

    def unregister(self):
        """Remove this router from the list, if the store responds in time."""
        try:
            with gevent.Timeout(UNREGISTER_TIMEOUT_S):
                base.update(
                    self._store, self._shard_key(), Shard, self._remove_name
                )
        except (base.StoreError, base.OutcomeUnknown, gevent.Timeout) as exc:
            self._journal.note('roster.not_left', why=str(exc))

    def _count(self):
        items = self._store.list(KIND, stale=self._router_count > 0).items
        shards = [base.decode(item, Shard) for item in items]
        self._router_count = max(1, sum(len(shard.names) for shard in shards))

    def _shard_key(self):
        return f'{KIND}/{zlib.crc32(self._name.encode()) % SHARD_COUNT}'

    def _add_name(self, shard):
        """Add this router; return UNCHANGED if it is in the shard already."""
        if self._name in shard.names:
            return base.UNCHANGED
        shard.names.append(self._name)
        return True

    def _remove_name(self, shard):
        """Remove this router; return UNCHANGED if it is not in the shard."""
        if self._name not in shard.names:
            return base.UNCHANGED
        shard.names.remove(self._name)
        return True
