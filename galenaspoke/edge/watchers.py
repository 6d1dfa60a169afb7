"""Tracks the store's objects of one kind: list once, then watch.

A response with a lower revision than one seen before is ignored, so a delayed
response can't undo a newer change.
"""

import random

import gevent

from galenaspoke.store import base as store_base

WATCH_WAIT_MS = 5_000
# After a failure a watch returns almost at once instead of waiting for
# a change, so that the recovery of the store is noticed without delay.
RECOVERY_WATCH_WAIT_MS = 1
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.6


class Watcher:
    """Watches the store's objects of one kind and reports them.

    `store` is a platform's client, with `list` and `watch`.  `on_list` is
    called with all items, `on_change` with a single change.
    `history_gone_error` is the exception class that the client raises when the
    changes since a revision are no longer available.

    With `relist_after_failure` all objects are listed again after each
    failure, because a watch that resumes may report late what changed in the
    meantime.

    Example::

        watcher = Watcher(
            'config', store, clock, journal, on_list, on_change, HistoryGone
        )
        gevent.spawn(watcher.run)
    """

    __slots__ = (
        'revision',
        'confirmed_at',
        'failing_since',
        'recovered_at',
        '_kind',
        '_store',
        '_clock',
        '_journal',
        '_on_list',
        '_on_change',
        '_history_gone_error',
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
        history_gone_error,
        relist_after_failure=False,
    ):
        self.revision = 0
        # The latest time at which the reported state is certain to have been
        # current, None if never.
        self.confirmed_at = None
        # Since when calls to the store fail, None while they succeed; and when
        # they last succeeded again.
        self.failing_since = None
        self.recovered_at = None
        self._kind = kind
        self._store = store
        self._clock = clock
        self._journal = journal
        self._on_list = on_list
        self._on_change = on_change
        self._history_gone_error = history_gone_error
        self._relist_after_failure = relist_after_failure

    def run(self):
        """List and watch, with backoff after failures; never returns."""
        backoff_s = INITIAL_BACKOFF_S
        listed = False
        while True:
            try:
                if not listed:
                    self.read()
                    listed = True
                else:
                    self._watch()
                backoff_s = INITIAL_BACKOFF_S
            except self._history_gone_error:
                listed = False
            except (store_base.StoreError, store_base.OutcomeUnknown) as exc:
                self._record_failure(exc)
                # Without `relist_after_failure` the watch resumes at its
                # revision.
                listed = listed and not self._relist_after_failure
                gevent.sleep(backoff_s * random.uniform(0.6, 1.0))
                backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)

    def read(self):
        """List all objects of the kind; raise the store's errors."""
        started_at = self._clock.now()
        listing = self._store.list(self._kind)
        self._record_success()
        if listing.revision >= self.revision:
            self.revision = listing.revision
            self._on_list(listing.items)
            self.confirmed_at = max(self.confirmed_at or 0, started_at)

    def _watch(self):
        wait_ms = (
            WATCH_WAIT_MS
            if self.failing_since is None
            else RECOVERY_WATCH_WAIT_MS
        )
        # With `relist_after_failure` a watch without a response must fail, so
        # that the objects are listed again, rather than resume over another
        # path.
        revision, changes = self._store.watch(
            self._kind,
            self.revision,
            wait_ms,
            retry=not self._relist_after_failure,
        )
        self._record_success()
        if revision < self.revision:
            return
        for change in changes:
            self._on_change(change)
        self.revision = revision
        self.confirmed_at = self._clock.now()

    def _record_failure(self, exc):
        if self.failing_since is None:
            self.failing_since = self._clock.now()
            self._journal.note('store.lost', kind=self._kind, why=str(exc))

    def _record_success(self):
        if self.failing_since is not None:
            now = self._clock.now()
            self._journal.note(
                'store.regained',
                kind=self._kind,
                after_ms=now - self.failing_since,
            )
            self.failing_since = None
            self.recovered_at = now
