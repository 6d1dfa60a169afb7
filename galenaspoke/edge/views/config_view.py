"""This router's view of the configuration in the store."""

import gevent
from gevent import event

from galenaspoke.core import catalog as catalogs
from galenaspoke.edge.views import watchers
from galenaspoke.store import base as store_base
from galenaspoke.store import unreadable

# A configuration that was confirmed within this time counts as current.
CONFIRMATION_TTL_MS = 1_000
# How long a request waits for the configuration to be confirmed.
CONFIRM_TIMEOUT_S = 0.4


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
        '_required_generation',
        '_is_current',
        '_unreadable',
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
        # The first configuration is used if it is no older than this.
        self._required_generation = 0
        self._is_current = False
        self._unreadable = unreadable.UnreadableObjects(
            'config.unreadable', journal
        )
        self.watcher = watchers.Watcher(
            lambda: config_codec.KIND,
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
        """Return whether a configuration has been read that may be used.

        A process that starts just after the store came back from a copy may
        read one that has been replaced since; see `set_required_generation`.
        """
        if not self._is_current:
            self._is_current = (
                self.catalog is not catalogs.EMPTY
                and self.catalog.generation >= self._required_generation
            )
        return self._is_current

    def set_required_generation(self, generation):
        """Set the generation that other routers are known to have.

        It only counts until the first configuration is used.
        """
        self._required_generation = generation

    def confirm(self):
        """Return whether the configuration is certain to be the latest one.

        Reads it again unless it was confirmed a moment ago; returns False if
        that fails or takes longer than CONFIRM_TIMEOUT_S.  Requests that wait
        at the same time share one read.
        """
        if self._was_confirmed():
            return True
        if self._pending_read is None:
            self._pending_read = event.AsyncResult()
            gevent.spawn(self._read, self._pending_read)
        try:
            return self._pending_read.get(timeout=CONFIRM_TIMEOUT_S)
        except gevent.Timeout:
            return False

    def _was_confirmed(self):
        confirmed_at = self.watcher.confirmed_at
        return (
            confirmed_at is not None
            and self._clock.now() - confirmed_at < CONFIRMATION_TTL_MS
        )

    def _read(self, result):
        try:
            self.watcher.read()
            # The listing may have begun earlier.
            result.set(self._was_confirmed())
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
            self._unreadable.note(f'{item.key} {item.version}', str(exc))
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
