"""This router's view of the failure domains that operators evacuate.

Example::

    view = EvacuationView(store, clock, journal, codec, HistoryGone, apply)
    gevent.spawn(view.watcher.run)
    gevent.spawn(view.sweep)
"""

import gevent

from galenaspoke.edge.views import watchers

SWEEP_INTERVAL_S = 0.2
# After the store came back from a copy an entry that it lacks counts for so
# long: its operator writes it again.
HOLD_MS = 6_000


class EvacuationView:
    """The evacuated failure domains, from their entries in the store.

    `entry_codec` is a module with the KIND of the entries, which are named
    after the domains.  `apply(domains)` is called with the set of evacuated
    domains when it is first known and when it changes.  See `Watcher` for
    `history_gone_error`.
    """

    __slots__ = (
        'watcher',
        '_clock',
        '_journal',
        '_apply',
        '_domains',
        '_held',
        '_era',
    )

    def __init__(
        self, store, clock, journal, entry_codec, history_gone_error, apply
    ):
        self._clock = clock
        self._journal = journal
        self._apply = apply
        self._domains = set()
        # Domains whose entries a copy of the store lacks, and until when each
        # is still evacuated.
        self._held = {}
        self._era = None
        self.watcher = watchers.Watcher(
            lambda: entry_codec.KIND,
            store,
            clock,
            journal,
            self._on_list,
            self._on_change,
            history_gone_error,
        )

    def sweep(self):
        """End the evacuations that were held for HOLD_MS; never returns."""
        while True:
            gevent.sleep(SWEEP_INTERVAL_S)
            self.release_held()

    def release_held(self):
        """End the evacuations that were held for HOLD_MS."""
        now = self._clock.now()
        expired = {name for name, until in self._held.items() if now >= until}
        for name in expired:
            del self._held[name]
        if expired:
            self._replace(self._domains - expired)

    def _on_list(self, items):
        listed = {item.name for item in items}
        is_new_era = self._era is not None and self.watcher.era != self._era
        self._era = self.watcher.era
        if is_new_era:
            until = self._clock.now() + HOLD_MS
            self._held = {name: until for name in self._domains - listed}
        self._replace(listed | set(self._held))

    def _on_change(self, change):
        domain = change.item.name
        self._held.pop(domain, None)
        if change.deleted:
            self._replace(self._domains - {domain})
        else:
            self._replace(self._domains | {domain})

    def _replace(self, domains):
        for domain in sorted(domains - self._domains):
            self._journal.note('domain.evacuated', domain=domain)
        for domain in sorted(self._domains - domains):
            self._journal.note('domain.restored', domain=domain)
        self._domains = domains
        self._apply(frozenset(domains))
