"""Writing ledger pages: one writer for each page, many changes a write.

Changes that arrive while a write is under way go into the next one together,
so the calls to the store grow with the pages and the time a write takes, not
with the requests.
"""

import gevent
from gevent import event
import msgspec

from galenaspoke.core import ledger
from galenaspoke.store import client as store_client

RETRY_S = 0.1


class HolderSealed(Exception):
    """The holder on whose behalf a page was written has been sealed."""


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
    waits for it.
    """

    __slots__ = ('function', 'done', 'result', 'outcome')

    def __init__(self, function, done):
        self.function = function
        self.done = done
        self.result = event.AsyncResult()
        self.outcome = None


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
        '_cached',
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
        self._cached = None
        self._task = gevent.spawn(self._run)

    def submit(self, function, done):
        """Queue a change; return its Change."""
        change = Change(function, done)
        self._pending.append(change)
        self._wake.set()
        return change

    def page(self):
        """Return the page as last seen, or None."""
        if self._cached is None:
            return None
        return store_client.decode(self._cached, ledger.Page)

    def _run(self):
        while True:
            self._wake.wait()
            self._wake.clear()
            while self._pending:
                batch, self._pending = self._pending, []
                try:
                    self._write(batch)
                except (store_client.StoreError, HolderSealed) as exc:
                    self._cached = None
                    for change in batch:
                        change.result.set_exception(exc)

    def _write(self, batch):
        """Apply a batch; returns once its fate is certain.

        Raises StoreError if it is certain that nothing was written, and
        HolderSealed.
        """
        unsure = False
        while True:
            try:
                current = self._cached is None
                item = self._cached or self._store.get(self._key)
            except store_client.StoreError:
                if not unsure:
                    raise
                gevent.sleep(RETRY_S)
                continue
            page = store_client.decode(item, ledger.Page)
            if unsure and page.writers.get(self._holder) == self._sequence:
                break
            self._check_open(page)
            self._cached = item
            changed = _apply(page, batch)
            if not changed and current:
                return _finish(batch)
            if not changed:
                # What looked impossible may have become possible.
                self._cached = None
                continue
            unsure = self._put(item, page, unsure)
            if not unsure:
                break
        if not self._opened:
            self._verify()
            self._opened = True
        return _finish(batch)

    def _check_open(self, page):
        if self._opened and self._holder not in page.writers:
            raise HolderSealed(self._holder)

    def _put(self, item, page, unsure):
        """Write a page; return True if it must be looked at again."""
        ledger.check(page)
        if not unsure:
            self._sequence += 1
        page.writers[self._holder] = self._sequence
        raw = msgspec.json.encode(page)
        try:
            version = self._store.put(self._key, item.version, raw)
        except (store_client.Conflict, store_client.OutcomeUnknown):
            self._cached = None
            return True
        except store_client.StoreError:
            if not unsure:
                raise
            self._cached = None
            gevent.sleep(RETRY_S)
            return True
        self._cached = store_client.Item(self._key, version, msgspec.Raw(raw))
        return False


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
        change.result.set(change.outcome)
