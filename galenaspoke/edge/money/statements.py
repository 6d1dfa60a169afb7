"""Statements of routers about their grants, after the store lost changes.

When a new era of the store begins, every router states in the store how many
tokens it was granted in all.  Once all routers that may have drawn tokens
which the copy lacks have done so, nothing is unseen any more.  A router that
died, or was restarted, states nothing about what its process had drawn, and
what it may have drawn stays unseen until an operator settles it.

Example::

    statements = Statements(cfg, holder_name, store, eras, journal)
    statements.write({'voucher-desk': 4000}, vouched_eras=[3])
    statements.read_complete(lost_eras=1)     # None: some are missing
"""

import random

import gevent
import msgspec

from galenaspoke.edge.membership import members
from galenaspoke.store import base
from galenaspoke.store import unreadable
from galenaspoke.utils import decoding

KIND = 'statements'
RETRY_INTERVAL_S = (0.2, 0.5)
# How many eras before the lost ones are looked at for registrations.
MAX_EXTRA_ERAS = 2


class Statement(msgspec.Struct):
    """The tokens that were granted to one holder in all, by budget.

    `vouched_eras` are the earlier eras in which no earlier process of the same
    instance can have drawn tokens that a copy lacks.
    """

    holder: str
    granted: dict[str, int] = {}
    vouched_eras: list[int] = []


class Statements:
    """Writes one router's statement and reads those of all."""

    __slots__ = (
        '_name',
        '_holder_name',
        '_store',
        '_eras',
        '_journal',
        '_required',
        '_required_era',
        '_unreadable',
    )

    def __init__(self, cfg, holder_name, store, eras, journal):
        self._name = cfg.name
        self._holder_name = holder_name
        self._store = store
        self._eras = eras
        self._journal = journal
        # What `_get_required` returns in `_required_era`, by its argument.
        self._required = {}
        self._required_era = None
        self._unreadable = unreadable.UnreadableObjects(
            'money.statement_unreadable', journal
        )

    def write(self, granted_by_budget, vouched_eras):
        """Write this router's statement in the present era.

        Retries until that succeeds or the era rises again.
        """
        era = self._store.era
        key = f'{self._store.scope(KIND)}/{self._name}'
        value = msgspec.json.encode(
            Statement(self._holder_name, granted_by_budget, vouched_eras)
        )
        while self._store.era == era:
            try:
                item = self._store.get(key)
                self._store.put(item.key, item.version, value)
                return
            except (base.StoreError, base.OutcomeUnknown) as exc:
                self._journal.note('money.not_stated', why=str(exc))
                gevent.sleep(random.uniform(*RETRY_INTERVAL_S))

    def read_complete(self, lost_eras):
        """Return all Statements of this era, or None if some are missing.

        `lost_eras` is in how many earlier eras tokens may have been drawn
        that are unseen.  One that can't be read counts as missing.  Raises the
        store's errors.
        """
        required = self._get_required(lost_eras)
        listing = self._store.list(self._store.scope(KIND))
        statements = [
            statement
            for statement in map(self._decode, listing.items)
            if statement is not None
        ]
        stated = {
            (statement.holder, era)
            for statement in statements
            for era in statement.vouched_eras
        }
        is_complete = bool(required) and required <= stated
        return statements if is_complete else None

    def _decode(self, item):
        try:
            statement = decoding.decode_json(item.value, Statement)
        except decoding.Unreadable as exc:
            self._unreadable.note(item.key, str(exc))
            return None
        self._unreadable.forget(item.key)
        return statement

    def _get_required(self, lost_eras):
        """Return which holders must have made a statement.

        These are pairs of the holder and an era in which it was registered;
        there are none if the copy doesn't tell.
        """
        if self._required_era != self._store.era:
            self._required = {}
            self._required_era = self._store.era
        if lost_eras not in self._required:
            self._required[lost_eras] = self._list_holders(lost_eras)
        return self._required[lost_eras]

    def _list_holders(self, lost_eras):
        """Return the holders that were registered in the lost eras.

        If the list of the first of these is incomplete, because that era had
        only just begun, those of the eras before it count as well.
        """
        holders = set()
        incomplete = set(members.SHARD_NAMES)
        for earlier in self._eras.list_earlier():
            age = self._store.era - earlier
            shards = members.read_shards(self._store, earlier)
            for name, shard in shards.items():
                if age <= lost_eras or name in incomplete:
                    holders |= {
                        (member.holder, earlier)
                        for member in shard.members.values()
                    }
                if age >= lost_eras and shard.is_complete():
                    incomplete.discard(name)
            if age >= lost_eras + MAX_EXTRA_ERAS:
                break
        return holders
