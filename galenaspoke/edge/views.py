"""This router's views of the store: the configuration and the targets."""

import gevent
from gevent import event

from galenaspoke.core import catalog as catalogs
from galenaspoke.edge import targets as edge_targets
from galenaspoke.edge import watchers
from galenaspoke.store import base as store_base

# A configuration that was confirmed within this time counts as current.
CONFIRMATION_TTL_MS = 250
# How long a request waits for the configuration to be confirmed.
CONFIRM_TIMEOUT_S = 0.4
# Targets whose entries expired during a store outage have written them again
# within this time after the recovery.
REAPPEAR_TIMEOUT_MS = 1_800
# Entries that disappear within this time after the recovery may have expired
# because of the outage.
RECOVERY_WINDOW_MS = 3_000
SWEEP_INTERVAL_S = 0.2


class ConfigView:
    """The latest configuration; its generation never decreases.

    `config_codec` is a module with the KIND and NAME of the object that holds
    the configuration, and a function `decode` that decodes the object's value
    into a Catalog or raises ValueError.  See `Watcher` for
    `history_gone_error`.
    """

    __slots__ = (
        'catalog',
        'watcher',
        '_key',
        '_decode',
        '_clock',
        '_journal',
        '_listeners',
        '_pending_read',
    )

    def __init__(
        self, store, clock, journal, config_codec, history_gone_error
    ):
        self.catalog = catalogs.EMPTY
        self._key = f'{config_codec.KIND}/{config_codec.NAME}'
        self._decode = config_codec.decode
        self._clock = clock
        self._journal = journal
        self._listeners = []
        self._pending_read = None
        self.watcher = watchers.Watcher(
            config_codec.KIND,
            store,
            clock,
            journal,
            self._on_list,
            self._on_change,
            history_gone_error,
            relist_after_failure=True,
        )

    def add_listener(self, listener):
        """Call `listener()` after each new generation."""
        self._listeners.append(listener)

    def has_config(self):
        """Return whether any configuration has been read."""
        return self.catalog is not catalogs.EMPTY

    def confirm(self):
        """Return whether the configuration is certain to be the latest one.

        Reads it again unless it was confirmed a moment ago; returns False if
        that fails or takes longer than CONFIRM_TIMEOUT_S.  Requests that wait
        at the same time share one read.
        """
        confirmed_at = self.watcher.confirmed_at
        if (
            confirmed_at is not None
            and self._clock.now() - confirmed_at < CONFIRMATION_TTL_MS
        ):
            return True
        if self._pending_read is None:
            self._pending_read = event.AsyncResult()
            gevent.spawn(self._read, self._pending_read)
        try:
            return self._pending_read.get(timeout=CONFIRM_TIMEOUT_S)
        except gevent.Timeout:
            return False

    def _read(self, result):
        try:
            self.watcher.read()
            result.set(True)
        except (store_base.StoreError, store_base.OutcomeUnknown):
            result.set(False)
        finally:
            self._pending_read = None

    def _on_list(self, items):
        for item in items:
            self._install(item)

    def _on_change(self, change):
        if not change.deleted:
            self._install(change.item)

    def _install(self, item):
        if item.key != self._key:
            return
        try:
            catalog = self._decode(item.value)
        except ValueError as exc:
            self._journal.note('config.unreadable', why=str(exc))
            return
        if catalog.generation <= self.catalog.generation:
            return
        before = self.catalog.generation
        self.catalog = catalog
        self._journal.note(
            'config.installed', generation=catalog.generation, before=before
        )
        for listener in self._listeners:
            listener()


class TargetView:
    """The targets, kept up to date from their entries in the store.

    `entry_codec` is a module with the KIND of the objects that hold entries,
    and a function `decode` that takes an object's name and value and the
    services, and returns a TargetEntry or None.  `get_services` returns the
    services of the current configuration.  See `Watcher` for
    `history_gone_error`.  `on_target_down` is called with the identity of an
    incarnation that was replaced or misdirected, or whose entry was removed
    although it had not announced that it leaves.  It is not called for targets
    whose entries did not reappear after an outage of the store.
    """

    __slots__ = (
        'directory',
        'watcher',
        '_decode',
        '_clock',
        '_journal',
        '_get_services',
        '_items',
        '_on_target_down',
    )

    def __init__(
        self,
        store,
        clock,
        journal,
        entry_codec,
        get_services,
        history_gone_error,
        on_target_down,
    ):
        self.directory = edge_targets.Directory()
        self._on_target_down = on_target_down
        self._decode = entry_codec.decode
        self._clock = clock
        self._journal = journal
        self._get_services = get_services
        # All current items by target id, including those that describe no
        # valid target.
        self._items = {}
        self.watcher = watchers.Watcher(
            entry_codec.KIND,
            store,
            clock,
            journal,
            self._on_list,
            self._on_change,
            history_gone_error,
        )

    def redecode(self):
        """Decode all entries again, after a new configuration."""
        for item in self._items.values():
            self._put(item)

    def remove_misdirected(self, target):
        """Remove a target whose address another one has taken over.

        Its entry is outdated.  The target is added again when a new entry is
        written, and also, with the outdated entry, when all entries are
        decoded or listed again before that.
        """
        target_id = target.entry.id
        if self.directory.get(target_id) is target:
            self._on_target_down(target.entry.identity())
            self.directory.remove(target_id)
            self._journal.note(
                'target.gone', target=target_id, why='misdirected'
            )

    def sweep(self):
        """Remove missing targets and expired connections; never returns."""
        while True:
            gevent.sleep(SWEEP_INTERVAL_S)
            now = self._clock.now()
            for target_id in self.directory.remove_missing(now):
                self._journal.note(
                    'target.gone',
                    target=target_id,
                    why='entry did not reappear',
                )
            self.directory.close_expired_connections(now)

    def _on_list(self, items):
        self._items = {_target_id(item): item for item in items}
        for item in items:
            self._put(item)
        for target_id in self.directory.list_ids():
            if target_id not in self._items:
                self._handle_missing(target_id)

    def _on_change(self, change):
        target_id = _target_id(change.item)
        if change.deleted:
            self._items.pop(target_id, None)
            self._handle_missing(target_id)
        else:
            self._items[target_id] = change.item
            self._put(change.item)

    def _put(self, item):
        target_id = _target_id(item)
        entry = self._decode(target_id, item.value, self._get_services())
        if not self._get_services():
            # It is decoded again once there is a configuration.
            return
        if entry is None:
            # The entry is invalid or of an unknown service.  It says nothing
            # about a target that is known already.
            self._journal.note('target.unreadable', target=target_id)
            return
        known = self.directory.get(target_id)
        if known and known.entry.identity() != entry.identity():
            self._on_target_down(known.entry.identity())
        if self.directory.put(entry):
            self._journal.note(
                'target.leaving' if entry.leaving else 'target.ready',
                target=target_id,
                service=entry.service,
                born=entry.born,
            )

    def _handle_missing(self, target_id):
        """Remove a target whose entry has disappeared.

        If the store has just recovered from an outage, the entry may have
        expired meanwhile, so the target stays for some time.
        """
        now = self._clock.now()
        target = self.directory.get(target_id)
        if target is None:
            return
        recovered_at = self.watcher.recovered_at
        if (
            recovered_at is not None
            and now - recovered_at < RECOVERY_WINDOW_MS
        ):
            self.directory.mark_missing(
                target_id, recovered_at + REAPPEAR_TIMEOUT_MS
            )
            return
        if not target.entry.leaving:
            self._on_target_down(target.entry.identity())
        self.directory.remove(target_id)
        self._journal.note(
            'target.gone', target=target_id, why='entry removed'
        )


def _target_id(item):
    return item.key.split('/', 1)[1]
