"""This router's view of the targets, from their entries in the store."""

import collections

import gevent

from galenaspoke.edge.targets import directory
from galenaspoke.edge.views import entry_reader
from galenaspoke.edge.views import watchers
from galenaspoke.store import unreadable

# Targets whose entries expired during a store outage have written them again
# within this time after the recovery.
REAPPEAR_TIMEOUT_MS = 1_800
# Entries that disappear within this time after the recovery may have expired
# because of the outage.
RECOVERY_WINDOW_MS = 3_000
SWEEP_INTERVAL_S = 0.2
# An entry that a copy of the store brought back, of a target that had left, is
# used once it has lasted this long: the store removes it sooner unless the
# target lives and writes it again.
HOLD_MS = 6_000


class TargetView:
    """The targets, kept up to date from their entries in the store.

    `entry_codec` is a module with the KIND of the objects that hold entries,
    and a function `decode` that takes an object's name and value and the
    services, and returns a TargetEntry or None.  `get_services` returns the
    services of the current configuration.  See `Watcher` for
    `history_gone_error`.  `on_target_down` is called with the identity of an
    incarnation that was replaced or misdirected, or whose entry was removed
    although it had not announced that it leaves.  It is not called for targets
    whose entries did not reappear after an outage of the store.  For
    `get_share` see `rate_limits.RateLimiter`.
    """

    __slots__ = (
        'directory',
        'entry_reader',
        'watcher',
        '_decode',
        '_clock',
        '_journal',
        '_get_services',
        '_items',
        '_entries',
        '_received_at',
        '_unreadable',
        '_held',
        '_era',
        '_era_began_at',
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
        get_share,
    ):
        self.directory = directory.Directory(get_share)
        # Reads what the store has now, which may be newer.
        self.entry_reader = entry_reader.EntryReader(
            store, entry_codec, get_services
        )
        self._on_target_down = on_target_down
        self._decode = entry_codec.decode
        self._clock = clock
        self._journal = journal
        self._get_services = get_services
        # All current items by target id, including those that describe no
        # valid target.
        self._items = {}
        # What the entries in the store say now, by target id, without those
        # that describe no valid target.  It depends on the store and the
        # configuration alone, not on what was there before.
        self._entries = {}
        # When each entry was received, by target id.
        self._received_at = {}
        self._unreadable = unreadable.UnreadableObjects(
            'target.unreadable', journal
        )
        # The ids of entries that are outdated because the store came back from
        # a copy, and until when each is not used.
        self._held = {}
        # The era of the store in which targets were last listed, and when that
        # era was first listed after another one.
        self._era = None
        self._era_began_at = None
        self.watcher = watchers.Watcher(
            lambda: entry_codec.KIND,
            store,
            clock,
            journal,
            self._on_list,
            self._on_change,
            history_gone_error,
        )

    def redecode(self):
        """Decode all entries again, after a new configuration."""
        for target_id in self._items:
            self._decode_entry(target_id)
            if target_id not in self._held:
                self._put(target_id)

    def is_stale(self):
        """Return whether the targets can't be followed at the moment."""
        return self.watcher.failing_since is not None

    def count_versions(self, service):
        """Return how many targets of each version accept requests.

        This goes by the entries in the store and the configuration alone, so
        that all routers that follow both count alike.
        """
        return collections.Counter(
            entry.version
            for entry in self._entries.values()
            if entry.service == service and not entry.leaving
        )

    def record_response(self, target, metadata, sent_at):
        """Record what a target says of itself in a response.

        `metadata` is the ResponseMetadata, `sent_at` when the request was
        sent, 0 if that isn't known.
        """
        self.record_sign_of_life(target)
        if metadata.is_leaving:
            self._mark_leaving(target)
        is_readable = metadata.rate_limit_per_s is not None
        if metadata.names_rate_limit and not is_readable:
            return
        before = target.rate_limiter.limit_per_s
        if target.rate_limiter.record(
            metadata.rate_limit_per_s, sent_at, self._clock.now()
        ):
            self._journal.note(
                'target.limited',
                target=target.entry.id,
                limit_per_s=metadata.rate_limit_per_s,
                before=before,
            )

    def _mark_leaving(self, target):
        """Send nothing more to a target that says itself that it leaves."""
        if self.directory.mark_leaving(target, self._clock.now()):
            self._journal.note(
                'target.leaving',
                target=target.entry.id,
                service=target.entry.service,
                born=target.entry.born,
                why='its own word',
            )

    def remove_misdirected(self, target):
        """Remove a target whose address another one has taken over.

        Its entry is outdated.  The target is added again when a new entry is
        written, and also, with the outdated entry, when all entries are
        decoded or listed again before that.
        """
        target_id = target.entry.id
        if self.directory.get(target_id) is target:
            self._on_target_down(target.entry.identity())
            self.directory.remove(target_id, self._clock.now())
            self._journal.note(
                'target.gone', target=target_id, why='misdirected'
            )

    def record_replaced(self, target, born):
        """Remove an incarnation in whose place another one was found.

        It has ended, so it gets no requests, whatever its entry says.
        """
        entry = target.entry
        self._journal.note(
            'target.replaced',
            target=entry.id,
            service=entry.service,
            version=entry.version,
            expected_born=entry.born,
            found_born=born,
        )
        self.directory.mark_leaving(target, self._clock.now())
        self.remove_misdirected(target)

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
            self.directory.forget_expired(now)
            self._release_held(now)

    def _release_held(self, now):
        """Use the outdated entries that have lasted for HOLD_MS."""
        for target_id, until in list(self._held.items()):
            if now >= until:
                del self._held[target_id]
                self._put(target_id)

    def _on_list(self, items):
        now = self._clock.now()
        is_new_era = self.watcher.era != self._era
        if is_new_era and self._era is not None:
            self._era_began_at = now
        before, self._items = self._items, {item.name: item for item in items}
        # An entry that is unchanged says nothing new.
        self._received_at = {
            name: self._received_at[name] if before.get(name) == item else now
            for name, item in self._items.items()
        }
        self._entries = {}
        for target_id in self._items:
            self._decode_entry(target_id)
        self._unreadable.keep_only(self._items)
        if is_new_era:
            self._held = {
                target_id: now + HOLD_MS
                for target_id in self._items
                if self._is_outdated(target_id)
            }
        self._era = self.watcher.era
        for target_id in self._items:
            if target_id not in self._held:
                self._put(target_id)
        for target_id in self.directory.list_ids():
            if target_id not in self._items:
                self._handle_missing(target_id)

    def _is_outdated(self, target_id):
        """Return whether a listed entry is older than what is known."""
        entry = self._entries.get(target_id)
        return entry is not None and self.directory.is_outdated(entry)

    def _decode_entry(self, target_id):
        """Take over what the entry of a target says now."""
        services = self._get_services()
        entry = self._decode(target_id, self._items[target_id].value, services)
        if entry is not None:
            self._entries[target_id] = entry
            self._unreadable.forget(target_id)
            return
        self._entries.pop(target_id, None)
        # Without services it is decoded again, once there is a configuration.
        if services:
            self._unreadable.note(target_id, 'invalid or of no known service')

    def _on_change(self, change):
        target_id = change.item.name
        # Its target, or the store, has written it since.
        self._held.pop(target_id, None)
        if change.deleted:
            self._items.pop(target_id, None)
            self._entries.pop(target_id, None)
            self._received_at.pop(target_id, None)
            self._unreadable.forget(target_id)
            self._handle_missing(target_id)
        else:
            self._items[target_id] = change.item
            self._received_at[target_id] = self._clock.now()
            self._decode_entry(target_id)
            self._put(target_id)

    def _put(self, target_id):
        """Add or update a target by its entry.

        An invalid entry says nothing about a target that is known already: it
        doesn't come from that target, which may well be serving.
        """
        entry = self._entries.get(target_id)
        if entry is None:
            return
        known = self.directory.get(target_id)
        if known and known.entry.identity() != entry.identity():
            self._on_target_down(known.entry.identity())
        if self.directory.put(entry, self._clock.now()):
            self._journal.note(
                'target.leaving' if entry.leaving else 'target.ready',
                target=target_id,
                service=entry.service,
                born=entry.born,
            )
        self._record_cold(entry)

    def _record_cold(self, entry):
        """Record for how much longer a target is cold."""
        service = self._find_cold_service(entry)
        if service is None:
            return
        now = self._clock.now()
        received_at = self._received_at[entry.id]
        left_ms = max(0, entry.cold_left_ms - (now - received_at))
        cold_start = self.directory.get(entry.id).cold_start
        if cold_start.record(
            service.cold_rate_per_s, left_ms, received_at, now
        ):
            self._journal.note('target.cold', target=entry.id, left_ms=left_ms)

    def _find_cold_service(self, entry):
        """Return a target's Service if it limits cold targets, else None."""
        service = self._get_services().get(entry.service)
        is_limited = service is not None and service.cold_rate_per_s > 0
        return service if is_limited else None

    def record_down(self, target):
        """Record that nothing listens at a target's address.

        It may start again under its id, and then it is cold.
        """
        service = self._find_cold_service(target.entry)
        if service is not None:
            target.cold_start.record_down(
                service.cold_rate_per_s, self._clock.now()
            )

    def record_lost(self, target):
        """Record that a request got no response, so a target may be lost."""
        service = self._find_cold_service(target.entry)
        if service is not None:
            target.cold_start.record_lost(
                service.cold_rate_per_s, self._clock.now()
            )

    def record_sign_of_life(self, target):
        """Record that a target sends something."""
        service = self._find_cold_service(target.entry)
        if service is not None:
            target.cold_start.record_response(
                service.cold_start_ms, self._clock.now()
            )

    def _handle_missing(self, target_id):
        """Remove a target whose entry has disappeared.

        If the store has just recovered from an outage or come back from a
        copy, the entry may have expired or been lost, so the target stays for
        some time.
        """
        now = self._clock.now()
        target = self.directory.get(target_id)
        if target is None:
            return
        recovered_at = max(
            self.watcher.recovered_at or 0, self._era_began_at or 0
        )
        if recovered_at and (now - recovered_at < RECOVERY_WINDOW_MS):
            self.directory.mark_missing(
                target_id, recovered_at + REAPPEAR_TIMEOUT_MS
            )
            return
        if not target.entry.leaving:
            self._on_target_down(target.entry.identity())
        self.directory.remove(target_id, now)
        self._journal.note(
            'target.gone', target=target_id, why='entry removed'
        )
