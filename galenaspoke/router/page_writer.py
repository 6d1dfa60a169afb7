"""Writing ledger pages: one writer for each page, many changes a write.

Changes that arrive while a write is under way go into the next one together,
so the calls to the store grow with the pages and the time a write takes, not
with the requests.
"""

import gevent
from gevent import event
import msgspec

from galenaspoke.core import ledger
from galenaspoke.store import base as store_base

RETRY_S = 0.1


class HolderSealed(Exception):
    """The holder on whose behalf a page was written has been sealed."""


class WritePending(Exception):
    """It is not known yet whether a change was written; it will be."""


class Unchanged:
    """Wraps the result of a change that left the page as it was."""

    __slots__ = ('result',)

    def __init__(self, result):
        self.result = result


class Change:
    """One change of a page and what comes of it.

    `function` takes the page, alters it and returns a result; or leaves it
    alone and returns Unchanged or raises a LedgerError.  `done` is called
    with the result as soon as it is certain, whether or not anybody still
    waits for it, and `failed` once it is certain that nothing was written.

    `result` is for those who wait.  It may say Undecided before that.
    """

    __slots__ = ('function', 'done', 'failed', 'result', 'outcome')

    def __init__(self, function, done, failed):
        self.function = function
        self.done = done
        self.failed = failed
        self.result = event.AsyncResult()
        self.outcome = None


def _nothing(_):
    """Do nothing with what came of a change."""


class PageWriter:
    """Applies changes to one page on behalf of one holder."""

    __slots__ = (
        '_store',
        '_key',
        '_holder',
        '_verify',
        '_pending',
        '_wake',
        '_sequence',
        '_opened',
        '_retiring',
        '_cached',
        '_seen',
        '_decoded',
        '_task',
    )

    def __init__(self, store, key, holder, verify):
        self._store = store
        self._key = key
        self._holder = holder
        self._verify = verify
        self._pending = []
        self._wake = event.Event()
        self._sequence = 0
        self._opened = False
        self._retiring = False
        # The page as it is if nobody else wrote it, and as it was last seen.
        self._cached = None
        self._seen = None
        # What was last decoded, and what it came to.
        self._decoded = None
        self._task = gevent.spawn(self._run)

    def submit(self, function, done=_nothing, failed=_nothing):
        """Queue a change; return its Change."""
        change = Change(function, done, failed)
        self._pending.append(change)
        self._wake.set()
        return change

    def get_last_page(self):
        """Return the page as last seen, or None; it is only to be read."""
        if self._seen is None:
            return None
        if self._decoded is None or self._decoded[0] is not self._seen:
            page = store_base.decode(self._seen, ledger.Page)
            self._decoded = (self._seen, page)
        return self._decoded[1]

    def _run(self):
        while True:
            self._wake.wait()
            self._wake.clear()
            while self._pending:
                batch, self._pending = self._pending, []
                try:
                    self._write(batch)
                except (store_base.StoreError, HolderSealed) as exc:
                    self._cached = None
                    _fail(batch, exc)

    def retire(self):
        """Let the next write be the holder's last on this page."""
        self._retiring = True

    def _write(self, batch):
        """Apply a batch; returns once its fate is certain.

        Raises StoreError if it is certain that nothing was written, and
        HolderSealed.
        """
        # What each try of this batch would come to, by its number.
        tries = {}
        while True:
            try:
                current = self._cached is None
                item = self._cached or self._store.get(self._key)
            except store_base.StoreError as exc:
                if not tries:
                    raise
                self._hold(batch, exc)
                continue
            page = store_base.decode(item, ledger.Page)
            if self._took_effect(page, tries, batch):
                break
            self._check_open(page)
            self._cached = self._seen = item
            changed = _apply(page, batch)
            if not changed and current:
                return _finish(batch)
            if not changed:
                # What looked impossible may have become possible.
                self._cached = None
                continue
            if self._put(item, page, tries, batch):
                break
        self._open()
        return _finish(batch)

    def _took_effect(self, page, tries, batch):
        """Tell whether an earlier try is in the page; take its outcomes.

        Each try has a number of its own: a later one may come to something
        else, and only what the store has may be believed.
        """
        if not tries:
            return False
        number = page.writers.get(self._holder)
        if number is None and self._retiring:
            number = self._sequence
        if number not in tries:
            return False
        for change, outcome in zip(batch, tries[number]):
            change.outcome = outcome
        return True

    def _check_open(self, page):
        if self._opened and self._holder not in page.writers:
            raise HolderSealed(self._holder)

    def _put(self, item, page, tries, batch):
        """Write a page; return True if it is certain that it was written."""
        ledger.check_invariants(page)
        self._sequence += 1
        if self._retiring:
            page.writers.pop(self._holder, None)
        else:
            page.writers[self._holder] = self._sequence
        raw = msgspec.json.encode(page)
        self._cached = None
        try:
            version = self._store.put(self._key, item.version, raw)
        except (store_base.Conflict, store_base.OutcomeUnknown) as exc:
            tries[self._sequence] = [change.outcome for change in batch]
            # What stands there now may be this very write.
            self._cached = getattr(exc, 'item', None)
            return False
        except store_base.StoreError as exc:
            if not tries:
                raise
            self._hold(batch, exc)
            return False
        item = store_base.Item(self._key, version, msgspec.Raw(raw))
        self._cached = self._seen = item
        return True

    def _hold(self, batch, exc):
        """Wait a moment with a batch in doubt, and let nobody wait for it."""
        for change in batch:
            if not change.result.ready():
                change.result.set_exception(WritePending(str(exc)))
        pending, self._pending = self._pending, []
        _fail(pending, exc)
        gevent.sleep(RETRY_S)

    def _open(self):
        """After the first write, make sure that the holder isn't sealed."""
        if self._opened:
            return
        try:
            self._verify()
        except HolderSealed:
            self._withdraw()
            raise
        self._opened = True

    def _withdraw(self):
        """Take back what was drawn too late; nothing was spent of it."""

        def change(page):
            done = ledger.remove_unspent_holder(page, self._holder)
            return done or store_base.UNCHANGED

        while True:
            try:
                store_base.update(self._store, self._key, ledger.Page, change)
                return
            except store_base.StoreError:
                gevent.sleep(RETRY_S)


def _apply(page, batch):
    changed = False
    for change in batch:
        try:
            outcome = change.function(page)
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
        change.done(change.outcome)
        if not change.result.ready():
            change.result.set(change.outcome)


def _fail(batch, exc):
    for change in batch:
        change.failed(exc)
        if not change.result.ready():
            change.result.set_exception(exc)
