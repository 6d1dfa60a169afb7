"""Batched writes to ledger pages, with one writer for each page.

Changes that arrive while a write is in progress are written together by the
next one.  The number of store calls therefore depends on the number of pages
and the duration of a write, not on the number of requests.
"""

import gevent
from gevent import event
import msgspec

from galenaspoke.core import ledger
from galenaspoke.store import base as store_base

RETRY_PAUSE_S = 0.1


class HolderSealed(Exception):
    """The holder on whose behalf a page was written has been sealed.

    The text may reach callers, as the reason of a refusal.
    """

    def __init__(self, holder_name):
        super().__init__(
            f'the holder {holder_name} is sealed and can no longer draw or'
            ' return tokens'
        )


class WritePending(Exception):
    """It is not known yet whether a change was written.

    The writer keeps trying to find out.
    """


class Unchanged:
    """Wraps the result of a change that did not alter the page."""

    __slots__ = ('result',)

    def __init__(self, result):
        self.result = result


class Change:
    """One change to a page, and its result.

    `apply` takes the page, alters it and returns a result, or leaves it as it
    is and returns Unchanged or raises a LedgerError.  It may be called several
    times, each time with a fresh copy of the page.

    `on_done` is called with the result once it is final, even if no caller
    waits for it any more, and `on_failed` with the exception once it is
    certain that nothing was written.

    `result` is an AsyncResult for callers that wait.  If the store fails
    before the outcome is known, it raises WritePending and is not updated
    again; the outcome is then reported by `on_done` or `on_failed` only.
    """

    __slots__ = ('apply', 'on_done', 'on_failed', 'result', 'outcome')

    def __init__(self, apply, on_done, on_failed):
        self.apply = apply
        self.on_done = on_done
        self.on_failed = on_failed
        self.result = event.AsyncResult()
        # What the last call of `apply` returned, final when `result` or
        # `on_done` gets it.
        self.outcome = None


def _ignore(_):
    """Ignore the outcome of a change."""


class PageWriter:
    """Applies changes to one page on behalf of one holder.

    `check_holder` is called after the first write to the page and raises
    HolderSealed if the holder has been sealed.
    """

    __slots__ = (
        '_store',
        '_key',
        '_holder_name',
        '_check_holder',
        '_pending',
        '_wake',
        '_sequence',
        '_is_confirmed',
        '_is_retiring',
        '_cached',
        '_last_seen',
        '_decoded',
        '_batch',
        '_may_be_written',
        '_task',
    )

    def __init__(self, store, key, holder_name, check_holder):
        self._store = store
        self._key = key
        self._holder_name = holder_name
        self._check_holder = check_holder
        self._pending = []
        self._wake = event.Event()
        self._sequence = 0
        self._is_confirmed = False
        self._is_retiring = False
        # The item to change next without a read, or None if the page has to
        # be read from the store; it is stale if another process has written.
        self._cached = None
        # The item as last read or written.
        self._last_seen = None
        # The last decoded item with its decoded page.
        self._decoded = None
        # The changes that are being written, and whether any attempt at it may
        # have reached the store.
        self._batch = []
        self._may_be_written = False
        self._task = gevent.spawn(self._run)

    def submit(self, apply, on_done=_ignore, on_failed=_ignore):
        """Queue a change; return its Change."""
        change = Change(apply, on_done, on_failed)
        self._pending.append(change)
        self._wake.set()
        return change

    def get_last_page(self):
        """Return the page as last seen, or None; callers must not alter it."""
        if self._last_seen is None:
            return None
        if self._decoded is None or self._decoded[0] is not self._last_seen:
            page = store_base.decode(self._last_seen, ledger.Page)
            self._decoded = (self._last_seen, page)
        return self._decoded[1]

    def _run(self):
        while True:
            self._wake.wait()
            self._wake.clear()
            while self._pending:
                self._batch, self._pending = self._pending, []
                self._may_be_written = False
                try:
                    self._write(self._batch)
                except (store_base.StoreError, HolderSealed) as exc:
                    self._cached = None
                    _fail(self._batch, exc)
                self._batch = []

    def abort(self, exc):
        """Stop for good; the page is no longer used.

        Changes that were certainly not written fail with `exc`.  The others
        count neither as written nor as failed: `on_done` and `on_failed` are
        not called.
        """
        self._task.kill(block=False)
        unsent, self._pending = self._pending, []
        batch, self._batch = self._batch, []
        if self._may_be_written:
            for change in batch:
                if not change.result.ready():
                    change.result.set_exception(exc)
        else:
            unsent = batch + unsent
        _fail(unsent, exc)

    def retire(self):
        """Remove the holder from the page's writers with the next write.

        Call this before submitting the holder's last changes to the page.
        """
        self._is_retiring = True

    def _write(self, batch):
        """Apply a batch; return once its outcome is certain.

        Raises StoreError if it is certain that nothing was written, and
        HolderSealed if the holder has been sealed.
        """
        # The outcomes that each write attempt of this batch would have, by
        # sequence number.
        attempts = {}
        while True:
            try:
                is_fresh = self._cached is None
                item = self._cached or self._store.get(self._key)
                page = store_base.decode(item, ledger.Page)
            except store_base.StoreError as exc:
                self._cached = None
                if not attempts:
                    raise
                self._defer(batch, exc)
                continue
            if self._took_effect(page, attempts, batch):
                break
            self._check_still_writer(page)
            self._cached = self._last_seen = item
            changed = _apply(page, batch)
            if not changed and is_fresh:
                return _finish(batch)
            if not changed:
                # The cached page may be stale: decide on a fresh one.
                self._cached = None
                continue
            try:
                ledger.check_invariants(page)
            except ledger.InvariantViolation as exc:
                # Another writer has left a page that must not be written.
                self._cached = None
                if not attempts:
                    raise store_base.Unreadable(f'{self._key}: {exc}') from exc
                self._defer(batch, exc)
                continue
            if self._put(item, page, attempts, batch):
                break
        self._confirm_holder()
        return _finish(batch)

    def _took_effect(self, page, attempts, batch):
        """Return whether an earlier attempt was written; set its outcomes.

        Each attempt has its own sequence number, because a later attempt may
        have different outcomes and only those in the store count.
        """
        if not attempts:
            return False
        number = page.writers.get(self._holder_name)
        # A write after `retire` removes the holder, so that its absence
        # identifies the last attempt.
        if number is None and self._is_retiring:
            number = self._sequence
        if number not in attempts:
            return False
        for change, outcome in zip(batch, attempts[number]):
            change.outcome = outcome
        return True

    def _check_still_writer(self, page):
        if self._is_confirmed and self._holder_name not in page.writers:
            raise HolderSealed(self._holder_name)

    def _put(self, item, page, attempts, batch):
        """Write the page; return True if it is certain that it was written."""
        self._sequence += 1
        if self._is_retiring:
            page.writers.pop(self._holder_name, None)
        else:
            page.writers[self._holder_name] = self._sequence
        raw = msgspec.json.encode(page)
        self._cached = None
        self._may_be_written = True
        try:
            version = self._store.put(self._key, item.version, raw)
        except (store_base.Conflict, store_base.OutcomeUnknown) as exc:
            attempts[self._sequence] = [change.outcome for change in batch]
            # The object now in the store may be the result of this write.
            self._cached = getattr(exc, 'item', None)
            return False
        except store_base.StoreError as exc:
            if not attempts:
                raise
            self._defer(batch, exc)
            return False
        item = store_base.Item(self._key, version, msgspec.Raw(raw))
        self._cached = self._last_seen = item
        return True

    def _defer(self, batch, exc):
        """Sleep before the next attempt at a batch of unknown outcome.

        Callers that wait for the batch get WritePending; changes that are
        queued behind it fail.
        """
        for change in batch:
            if not change.result.ready():
                change.result.set_exception(WritePending(str(exc)))
        pending, self._pending = self._pending, []
        _fail(pending, exc)
        gevent.sleep(RETRY_PAUSE_S)

    def _confirm_holder(self):
        """Check, after the first write, that the holder is not sealed.

        From then on the holder is missing from the page's writers only if it
        has been sealed.
        """
        if self._is_confirmed:
            return
        try:
            self._check_holder()
        except HolderSealed:
            self._withdraw()
            raise
        self._is_confirmed = True

    def _withdraw(self):
        """Remove what was drawn after the holder was sealed.

        Nothing has been spent of it yet.
        """

        def change(page):
            removed = ledger.remove_unspent_holder(page, self._holder_name)
            return removed or store_base.UNCHANGED

        while True:
            try:
                store_base.update(self._store, self._key, ledger.Page, change)
                return
            except store_base.StoreError:
                gevent.sleep(RETRY_PAUSE_S)


def _apply(page, batch):
    changed = False
    for change in batch:
        try:
            outcome = change.apply(page)
        except ledger.LedgerError as exc:
            outcome = Unchanged(exc)
        if isinstance(outcome, Unchanged):
            outcome = outcome.result
        else:
            changed = True
        change.outcome = outcome
    return changed


def _finish(batch):
    for change in batch:
        change.on_done(change.outcome)
        if not change.result.ready():
            change.result.set(change.outcome)


def _fail(batch, exc):
    for change in batch:
        change.on_failed(exc)
        if not change.result.ready():
            change.result.set_exception(exc)
