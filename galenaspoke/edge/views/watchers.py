"""Tracks the store's objects of one kind: list once, then watch.

A response with a lower revision than one seen before is ignored, so a delayed
response can't undo a newer change.  If the store comes back from a copy, which
its era tells, revisions start again from a lower one and all objects are
listed anew.
"""

import random

import gevent
from gevent import event

from galenaspoke.store import base as store_base

WATCH_WAIT_MS = 5_000
# After a failure a watch returns almost at once instead of waiting for
# a change, so that the recovery of the store is noticed without delay.
RECOVERY_WATCH_WAIT_MS = 1
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.6
# A watch with changes that took longer says only what was current when it
# began: what it reports may have been on its way for as long.
MAX_WATCH_MS = 1_500
# How much of an unexpected error is logged.
MAX_WHY_CHARS = 200


class Watcher:
    """Watches the store's objects of one kind and reports them.

    `get_kind` returns the kind, whose name may depend on the store's era.
    `store` is a platform's client, with `list` and `watch`.  `on_list` is
    called with all items, `on_change` with a single change.
    `history_gone_error` is the exception class that the client raises when the
    changes since a revision are no longer available.

    With `relist_after_failure` all objects are listed again after each
    failure, because a watch that resumes may report late what changed in the
    meantime.

    Example::

        watcher = Watcher(
            lambda: 'config',
            store,
            clock,
            journal,
            on_list,
            on_change,
            HistoryGone,
        )
        gevent.spawn(watcher.run)
    """

    __slots__ = (
        'era',
        'revision',
        'confirmed_at',
        'failing_since',
        'recovered_at',
        '_get_kind',
        '_store',
        '_clock',
        '_journal',
        '_on_list',
        '_on_change',
        '_history_gone_error',
        '_relist_after_failure',
        '_is_listed',
        '_listing',
        '_backoff_s',
        '_waiting_task',
    )

    def __init__(
        self,
        get_kind,
        store,
        clock,
        journal,
        on_list,
        on_change,
        history_gone_error,
        relist_after_failure=False,
    ):
        # The position of the reported state: the era of the store and the
        # revision in it.
        self.era = 0
        self.revision = 0
        # The latest time at which the reported state is certain to have been
        # current, None if never.
        self.confirmed_at = None
        # Since when calls to the store fail, None while they succeed; and when
        # they last succeeded again.
        self.failing_since = None
        self.recovered_at = None
        self._get_kind = get_kind
        self._store = store
        self._clock = clock
        self._journal = journal
        self._on_list = on_list
        self._on_change = on_change
        self._history_gone_error = history_gone_error
        self._relist_after_failure = relist_after_failure
        # Whether the watch can resume at the position.
        self._is_listed = False
        # The AsyncResult of the listing that is being read, None if none is.
        self._listing = None
        self._backoff_s = INITIAL_BACKOFF_S
        # The greenlet that waits for a change, None while there is none.
        self._waiting_task = None

    def run(self):
        """List and watch, with backoff after failures; never returns."""
        while True:
            try:
                self._step()
            except self._history_gone_error:
                self._is_listed = False

    def restart(self):
        """List all objects again at once, in place of waiting for a change.

        The store's client calls this when the era has risen.
        """
        if self._waiting_task is not None:
            self._waiting_task.kill(
                self._history_gone_error('the era has risen'), block=False
            )

    def _step(self):
        """List, or wait for changes; pause after a failure."""
        try:
            if self._is_listed:
                self._watch()
            else:
                self.read()
                self._is_listed = True
            self._backoff_s = INITIAL_BACKOFF_S
        except (store_base.StoreError, store_base.OutcomeUnknown) as exc:
            if isinstance(exc, self._history_gone_error):
                raise
            self._record_failure(exc)
            # Without `relist_after_failure` the watch resumes at its
            # position.
            if self._relist_after_failure:
                self._is_listed = False
            gevent.sleep(self._backoff_s * random.uniform(0.6, 1.0))
            self._backoff_s = min(MAX_BACKOFF_S, 2 * self._backoff_s)

    def read(self):
        """List all objects of the kind; raise the store's errors.

        Those who read at the same time share one listing, since a second one
        would take the link from the first.
        """
        if self._listing is not None:
            self._listing.get()
            return
        self._listing = event.AsyncResult()
        listing = self._listing
        try:
            self._read()
            listing.set(None)
        except BaseException as exc:
            listing.set_exception(exc)
            raise
        finally:
            self._listing = None

    def _read(self):
        started_at = self._clock.now()
        listing = self._store.list(self._get_kind())
        self._record_success()
        if (listing.era, listing.revision) >= (self.era, self.revision):
            self.era = listing.era
            self.revision = listing.revision
            self._report(self._on_list, listing.items)
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
        era = self.era
        started_at = self._clock.now()
        self._waiting_task = gevent.getcurrent()
        try:
            revision, changes = self._store.watch(
                self._get_kind(),
                self.revision,
                wait_ms,
                era=era,
                retry=not self._relist_after_failure,
            )
        finally:
            self._waiting_task = None
        self._record_success()
        if (era, revision) < (self.era, self.revision):
            return
        for change in changes:
            self._report(self._on_change, change)
        self.revision = revision
        now = self._clock.now()
        is_slow = bool(changes) and now - started_at > MAX_WATCH_MS
        self.confirmed_at = max(
            self.confirmed_at or 0, started_at if is_slow else now
        )

    def _report(self, callback, news):
        """Call a callback; whatever it fails with doesn't end the watch.

        A callback handles what it can't read by itself.  This keeps a fault in
        it from hiding all that the store says later.
        """
        try:
            callback(news)
        except Exception as exc:
            self._journal.note(
                'watch.unhandled',
                kind=self._get_kind(),
                why=f'{exc!r:.{MAX_WHY_CHARS}}',
            )

    def _record_failure(self, exc):
        if self.failing_since is None:
            self.failing_since = self._clock.now()
            self._journal.note(
                'store.lost', kind=self._get_kind(), why=str(exc)
            )

    def _record_success(self):
        if self.failing_since is not None:
            now = self._clock.now()
            self._journal.note(
                'store.regained',
                kind=self._get_kind(),
                after_ms=now - self.failing_since,
            )
            self.failing_since = None
            self.recovered_at = now
