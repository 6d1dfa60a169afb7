"""How many routers there are, from a list in the store.

The list is spread over a few objects by the routers' names.  Each router
enters itself at its start and leaves at a stop in order.  One that dies stays
in the list until it's back, so the fleet is at worst thought too large.

Example::

    roster = Roster('front-a-1', client, journal)
    gevent.spawn(roster.keep)
    roster.routers()      # 9, or 0 while it isn't known
"""

import random
import zlib

import gevent
import msgspec

from galenaspoke.store import base

KIND = 'routers'
SLOTS = 16
READ_S = (12.0, 18.0)
# Others enter themselves at the same time as this process does.
FIRST_READ_S = (1.5, 2.5)
RETRY_S = (0.5, 1.0)
LEAVE_TIMEOUT_S = 0.5


class Slot(msgspec.Struct):
    """Some of the routers."""

    names: list[str] = []


class FleetSize:
    """This router's entry, and the count of all."""

    __slots__ = ('_name', '_store', '_journal', '_routers')

    def __init__(self, name, store, journal):
        self._name = name
        self._store = store
        self._journal = journal
        self._routers = 0

    def get_router_count(self):
        """Return how many routers there are, 0 while that isn't known."""
        return self._routers

    def run(self):
        """Enter this router, then count the others for good."""
        wait_s = FIRST_READ_S
        entered = False
        while True:
            try:
                if not entered:
                    base.update(self._store, self._key(), Slot, self._enter)
                    entered = True
                self._count()
                pause_s, wait_s = wait_s, READ_S
            except (base.StoreError, base.OutcomeUnknown) as exc:
                self._journal.note('roster.unread', why=str(exc))
                pause_s = RETRY_S
            gevent.sleep(random.uniform(*pause_s))

    def unregister(self):
        """Take this router out; leave it in if the store is slow."""
        try:
            with gevent.Timeout(LEAVE_TIMEOUT_S):
                base.update(self._store, self._key(), Slot, self._remove)
        except (base.StoreError, base.OutcomeUnknown, gevent.Timeout) as exc:
            self._journal.note('roster.not_left', why=str(exc))

    def _count(self):
        found = self._store.list(KIND, stale=self._routers > 0).items
        slots = [base.decode(item, Slot) for item in found]
        self._routers = max(1, sum(len(slot.names) for slot in slots))

    def _key(self):
        return f'{KIND}/{zlib.crc32(self._name.encode()) % SLOTS}'

    def _enter(self, slot):
        if self._name in slot.names:
            return base.UNCHANGED
        slot.names.append(self._name)
        return True

    def _remove(self, slot):
        if self._name not in slot.names:
            return base.UNCHANGED
        slot.names.remove(self._name)
        return True
