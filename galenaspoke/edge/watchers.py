"""Following what the store holds of one kind: list once, then watch.

A revision lower than one already seen is never taken, so a late answer can't
turn anything back.
"""

import random

import gevent

from galenaspoke.store import base as store_base

WATCH_WAIT_MS = 5_000
# After a loss it is asked without waiting, to know when the store is back.
RECOVERY_WATCH_WAIT_MS = 1
FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 0.6


class Watcher:
    """Keeps one kind of object up to date.

    `on_list` takes all items, `on_change` a single change.  `read` lists the
    kind, `watch` waits for changes; a platform's client gives both.

    Example::

        follower = Follower('config', store, clock, journal, whole, single)
        gevent.spawn(follower.run)
    """

    __slots__ = (
        'revision',
        'confirmed_at',
        'lost_at',
        'regained_at',
        '_kind',
        '_store',
        '_clock',
        '_journal',
        '_on_list',
        '_on_change',
        '_gone',
        '_relist_after_failure',
    )

    def __init__(
        self,
        kind,
        store,
        clock,
        journal,
        on_list,
        on_change,
        gone,
        relist_after_failure=False,
    ):
        self.revision = 0
        # When it was last certain that nothing newer existed; None: never.
        self.confirmed_at = None
        # Since when the store hasn't answered, None while it does; and when
        # it last answered again.
        self.lost_at = None
        self.regained_at = None
        self._kind = kind
        self._store = store
        self._clock = clock
        self._journal = journal
        self._on_list = on_list
        self._on_change = on_change
        # What the store's client raises when history is gone.
        self._gone = gone
        # Whether to list again after each cut: what happened behind it may
        # be told late to a watch that goes on where it was.
        self._relist_after_failure = relist_after_failure

    def run(self):
        """Follow for good."""
        retry_s = FIRST_RETRY_S
        listed = False
        while True:
            try:
                if not listed:
                    self.read()
                    listed = True
                else:
                    self._watch()
                retry_s = FIRST_RETRY_S
            except self._gone:
                listed = False
            except (store_base.StoreError, store_base.OutcomeUnknown) as exc:
                self._lost(exc)
                # Otherwise a watch that was cut goes on where it was.
                listed = listed and not self._relist_after_failure
                gevent.sleep(retry_s * random.uniform(0.6, 1.0))
                retry_s = min(LONGEST_RETRY_S, 2 * retry_s)

    def read(self):
        """Read everything of this kind now."""
        began = self._clock.now()
        listing = self._store.list(self._kind)
        self._answered()
        if listing.revision >= self.revision:
            self.revision = listing.revision
            self._on_list(listing.items)
            self.confirmed_at = max(self.confirmed_at or 0, began)

    def _watch(self):
        wait_ms = (
            WATCH_WAIT_MS if self.lost_at is None else RECOVERY_WATCH_WAIT_MS
        )
        revision, changes = self._store.watch(
            self._kind,
            self.revision,
            wait_ms,
            retry=not self._relist_after_failure,
        )
        self._answered()
        if revision < self.revision:
            return
        for change in changes:
            self._on_change(change)
        self.revision = revision
        self.confirmed_at = self._clock.now()

    def _lost(self, exc):
        if self.lost_at is None:
            self.lost_at = self._clock.now()
            self._journal.note('store.lost', kind=self._kind, why=str(exc))

    def _answered(self):
        if self.lost_at is not None:
            now = self._clock.now()
            self._journal.note(
                'store.regained', kind=self._kind, after_ms=now - self.lost_at
            )
            self.lost_at = None
            self.regained_at = now
