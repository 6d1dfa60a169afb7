"""Reads single entries of targets from the store, as they are now.

What this router knows of a target may be older than what the store has: the
watch that brings it may be late, and this process may have stood still.

Example::

    reader = EntryReader(store, target_entries, get_services)
    reader.read('i-7f3a', timeout_s=1.0)    # a TargetEntry, or None
"""

import gevent
from gevent import event

from galenaspoke.store import base as store_base


class EntryReader:
    """Reads entries; those who ask for the same one share a read.

    `entry_codec` and `get_services` are as for `target_view.TargetView`.
    """

    __slots__ = (
        '_store',
        '_entry_codec',
        '_get_services',
        '_running',
        '_waiting',
    )

    def __init__(self, store, entry_codec, get_services):
        self._store = store
        self._entry_codec = entry_codec
        self._get_services = get_services
        # The AsyncResults of the reads that have begun, and of those that
        # begin after them, by target id.
        self._running = {}
        self._waiting = {}

    def read(self, target_id, timeout_s):
        """Return a target's entry, None if there is none.

        The read begins after this call.  Raises StoreError if it fails or
        takes longer than `timeout_s`, or if the entry can't be read.
        """
        result = self._waiting.get(target_id)
        if result is None:
            result = self._waiting[target_id] = event.AsyncResult()
            before = self._running.get(target_id)
            gevent.spawn(self._run, target_id, result, before)
        try:
            return result.get(timeout=timeout_s)
        except gevent.Timeout:
            raise store_base.StoreUnavailable(
                'the entry was not read in time'
            ) from None

    def _run(self, target_id, result, before):
        if before is not None:
            before.wait()
        del self._waiting[target_id]
        self._running[target_id] = result
        try:
            result.set(self._fetch(target_id))
        except Exception as exc:
            result.set_exception(exc)
        finally:
            if self._running.get(target_id) is result:
                del self._running[target_id]

    def _fetch(self, target_id):
        try:
            item = self._store.get(f'{self._entry_codec.KIND}/{target_id}')
        except store_base.OutcomeUnknown as exc:
            raise store_base.StoreUnavailable(str(exc)) from exc
        if not item.version:
            return None
        entry = self._entry_codec.decode(
            target_id, item.value, self._get_services()
        )
        if entry is None:
            raise store_base.Unreadable(f'{item.key}: invalid')
        return entry
