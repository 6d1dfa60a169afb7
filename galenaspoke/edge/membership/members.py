"""The routers of the fleet, from a list in the store.

The list is split into shards, one object each, by a hash of the router's name.
Each router adds itself at its start, in each era of the store, and removes
itself in an orderly shutdown.  One that crashes stays in the list until it is
restarted, so a crash can only lead to an overestimate of the number of
routers, which makes each router's share of the retry budget smaller.

The list also tells which processes may have drawn tokens that a copy of the
store lacks.  A new router therefore draws only once its record is durable, see
`core.durability`; until then it borrows.

Example::

    members = Members(cfg, store, eras, clock, journal, get_generation)
    gevent.spawn(members.run)
    members.routers.get_count()     # 9, or 0 while it isn't known
"""

import random
import zlib

import gevent
from gevent import event
import msgspec

from galenaspoke.core import durability
from galenaspoke.edge.membership import router_list
from galenaspoke.store import base
from galenaspoke.utils import identity

KIND = 'routers'
SHARD_COUNT = 16
SHARD_NAMES = tuple(str(number) for number in range(SHARD_COUNT))
READ_INTERVAL_S = (12.0, 18.0)
# The first interval is shorter because other routers may add themselves at the
# same time as this one.
FIRST_READ_INTERVAL_S = (1.5, 2.5)
RETRY_INTERVAL_S = (0.5, 1.0)
UNREGISTER_TIMEOUT_S = 0.5
# In how many earlier eras a router looks for its own record.
MAX_ERAS_SEARCHED = 2


class Member(msgspec.Struct, omit_defaults=True):
    """One router: its name as a holder, and what it knew when it registered.

    At `address` it lends tokens, unless that is empty.  `generation` is that
    of its configuration.  `is_durable` states that every copy from which the
    store may come back includes the record of this instance, `is_stopped` that
    it has shut down and returned its tokens.
    """

    holder: str
    address: str = ''
    generation: int = 0
    is_durable: bool = False
    is_stopped: bool = False


class Shard(msgspec.Struct):
    """One shard of the list: some of the routers, by name."""

    members: dict[str, Member] = {}

    def is_complete(self):
        """Return whether every router that may draw has registered.

        It is once a record is durable: routers that register later have to
        wait.
        """
        return any(member.is_durable for member in self.members.values())


class Members:
    """Registers this router and reads the list of all routers.

    `eras` are the Eras of `store`.  `get_generation` returns the generation
    of this router's configuration; `on_generation` is called with the latest
    one that any router had when it registered.
    """

    __slots__ = (
        'holder_name',
        'routers',
        '_name',
        '_address',
        '_store',
        '_eras',
        '_clock',
        '_journal',
        '_get_generation',
        '_on_generation',
        '_registered_era',
        '_registered_at',
        '_vouched_eras',
        '_has_predecessor',
        '_is_known',
        '_is_marked',
        '_stopped_since',
        '_wake',
    )

    def __init__(
        self,
        cfg,
        store,
        eras,
        clock,
        journal,
        get_generation,
        on_generation=lambda _: None,
    ):
        # The router's name as a holder of tokens, with its incarnation.
        self.holder_name = f'{cfg.name}#{identity.new_incarnation()}'
        # The other routers.
        self.routers = router_list.RouterList(cfg.name, lambda: store.era)
        self._name = cfg.name
        self._address = cfg.peer_listen
        self._store = store
        self._eras = eras
        self._clock = clock
        self._journal = journal
        self._get_generation = get_generation
        self._on_generation = on_generation
        # The store's era in which this router registered, and when.
        self._registered_era = None
        self._registered_at = 0
        # The earlier eras of which it is certain that no process of this
        # instance drew tokens unknown to this one.
        self._vouched_eras = []
        # Whether an earlier process of the instance may have drawn tokens in
        # the present era.
        self._has_predecessor = False
        # Whether the instance's record was durable already, and whether it is
        # marked as durable.
        self._is_known = False
        self._is_marked = False
        # Since when other routers are known to have stopped, by name.
        self._stopped_since = {}
        self._wake = event.Event()
        store.add_era_listener(self._begin_era)

    @property
    def name(self):
        """The name of this router."""
        return self._name

    def may_draw(self):
        """Return whether this router may draw tokens from the ledger."""
        if not self._store.has_eras:
            return True
        return self.is_registered() and (self._is_known or self._is_durable())

    def list_vouched_eras(self):
        """Return the earlier eras for which this router can vouch.

        In each of them no other process of its instance drew tokens, or only
        before every copy from which the store may have come back.
        """
        return list(self._vouched_eras)

    def _begin_era(self):
        """Vouch for the era that has ended, if possible; register again."""
        if self._registered_era is not None:
            is_durable = durability.is_durable(
                self._registered_at, self._store.confirmed_before
            )
            if is_durable or not self._has_predecessor:
                self._vouched_eras.append(self._registered_era)
        # Whoever came before was dead when this era began.
        self._has_predecessor = False
        self._wake.set()

    def is_registered(self):
        """Return whether this router is in the list of the present era."""
        return self._registered_era == self._store.era

    def run(self):
        """Register this router, then count all routers; never returns."""
        while True:
            self._wake.clear()
            try:
                pause_s = self.refresh()
            except (base.StoreError, base.OutcomeUnknown) as exc:
                self._journal.note('roster.unread', why=str(exc))
                pause_s = RETRY_INTERVAL_S
            self._wake.wait(random.uniform(*pause_s))

    def refresh(self):
        """Read the list, and register if that is yet to be done.

        Returns the bounds of the pause before the next time, in seconds.
        Raises the store's errors.
        """
        if self.is_registered():
            self._mark_if_durable()
            self._count(stale=True)
            return READ_INTERVAL_S
        # The list also tells whether the configuration is usable.
        self._count(stale=False)
        self._register()
        return FIRST_READ_INTERVAL_S

    def unregister(self):
        """Remove this router from the list, if the store responds in time.

        Its unspent tokens must have been returned.  If the store states its
        era, the record is only marked, and another router removes it once the
        return of the tokens is durable.
        """
        change = self._mark_stopped if self._store.has_eras else self._remove
        try:
            with gevent.Timeout(UNREGISTER_TIMEOUT_S):
                self._update_shard(change)
        except (base.StoreError, base.OutcomeUnknown, gevent.Timeout) as exc:
            self._journal.note('roster.not_left', why=str(exc))

    def list_others(self):
        """Return the addresses of the other routers by name.

        They are read from the store now; an address may be empty.  Raises the
        store's errors.
        """
        members = _read_members(self._store)
        members.pop(self._name, None)
        return _list_addresses(members)

    def _is_durable(self):
        """Return whether every copy includes this router's record."""
        return self._store.has_eras and durability.is_durable(
            self._registered_at, self._store.confirmed_at
        )

    def _register(self):
        """Add this router to the list of the present era."""
        earlier = self._find_earlier_record()
        _, shard = self._update_shard(lambda shard: self._add(shard, earlier))
        self._registered_era = self._store.era
        self._registered_at = self._clock.now()
        self._is_known = shard.members[self._name].is_durable
        self._is_marked = self._is_known

    def _find_earlier_record(self):
        """Return this instance's Member of the latest earlier era, or None."""
        if not self._store.has_eras:
            return None
        for era in self._eras.list_earlier()[:MAX_ERAS_SEARCHED]:
            key = f'{self._store.scope(KIND, era)}/{self._shard_name()}'
            shard = base.decode(self._store.get(key), Shard)
            member = shard.members.get(self._name)
            if member is not None:
                return member
        return None

    def _add(self, shard, earlier):
        """Add this router; return UNCHANGED if it is in the shard already.

        The record of an earlier process is replaced, so that a late write with
        which that one removes itself comes to nothing.  `earlier` is this
        instance's record in an earlier era, or None.
        """
        member = shard.members.get(self._name)
        is_own = member is not None and member.holder == self.holder_name
        if is_own and not self._store.has_eras:
            return base.UNCHANGED
        if member is not None and member.holder != self.holder_name:
            self._has_predecessor = True
        if earlier is not None and earlier.holder != self.holder_name:
            self._has_predecessor = True
        was_durable = self._is_known or self._is_marked
        if earlier is not None:
            was_durable = was_durable or earlier.is_durable
        is_durable = (member is not None and member.is_durable) or (
            was_durable and not shard.is_complete()
        )
        shard.members[self._name] = Member(
            self.holder_name,
            self._address,
            self._get_generation(),
            is_durable,
        )
        return True

    def _mark_if_durable(self):
        """Mark this router's record as durable once it is."""
        if not self._is_marked and self._is_durable():
            self._update_shard(self._mark_durable)
            self._is_marked = True

    def _mark_durable(self, shard):
        member = shard.members.get(self._name)
        if member is None or member.is_durable:
            return base.UNCHANGED
        member.is_durable = True
        return True

    def _mark_stopped(self, shard):
        member = shard.members.get(self._name)
        if member is None:
            return base.UNCHANGED
        member.is_stopped = True
        return True

    def _remove(self, shard):
        """Remove this router; return UNCHANGED if it is not in the shard."""
        if shard.members.pop(self._name, None) is None:
            return base.UNCHANGED
        return True

    def _count(self, stale):
        """Read the list; remove routers that stopped a while ago."""
        members = _read_members(self._store, stale)
        self.routers.replace(
            _list_addresses(members), stale, self.is_registered()
        )
        self._on_generation(
            max((member.generation for member in members.values()), default=0)
        )
        self._remove_stopped(members)

    def _remove_stopped(self, members):
        """Remove the records of routers whose stop has become durable."""
        stopped = {
            name: member.holder
            for name, member in members.items()
            if member.is_stopped
        }
        self._stopped_since = {
            name: self._stopped_since.get(name, self._clock.now())
            for name in stopped
        }
        for name, holder in stopped.items():
            if durability.is_durable(
                self._stopped_since[name], self._store.confirmed_at
            ):
                self._update_shard(
                    lambda shard: _remove_holder(shard, name, holder), name
                )

    def _update_shard(self, change, name=None):
        """Change the shard of a router, this one by default.

        Returns the result of `change` and the shard.
        """
        shard_name = self._shard_name(name)
        return base.update(
            self._store,
            lambda: f'{self._store.scope(KIND)}/{shard_name}',
            Shard,
            change,
        )

    def _shard_name(self, name=None):
        name = name or self._name
        return SHARD_NAMES[zlib.crc32(name.encode()) % SHARD_COUNT]


def read_shards(store, era=None, stale=False):
    """Return the Shards of an era's list, by name; the present era's if None.

    A `stale` list may be seconds old.  Raises Unreadable if a shard can't be
    decoded: without it the list would be taken for whole.  Other objects of
    the kind are ignored.
    """
    listing = store.list(store.scope(KIND, era), stale=stale)
    return {
        item.name: base.decode(item, Shard)
        for item in listing.items
        if item.name in SHARD_NAMES
    }


def _read_members(store, stale=False):
    """Return all Members by name."""
    members = {}
    for shard in read_shards(store, stale=stale).values():
        members |= shard.members
    return members


def _list_addresses(members):
    """Return the addresses by name of the Members that haven't stopped."""
    return {
        name: member.address
        for name, member in members.items()
        if not member.is_stopped
    }


def _remove_holder(shard, name, holder):
    """Remove a stopped router, unless it was started again."""
    member = shard.members.get(name)
    if member is None or member.holder != holder or not member.is_stopped:
        return base.UNCHANGED
    del shard.members[name]
    return True
