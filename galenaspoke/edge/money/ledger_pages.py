"""The ledger's pages in the store, in each of its eras.

When the store comes back from a copy, a new era begins and pages have other
keys.  The first router that writes a page in it takes over the page of the
latest earlier era in which there was one; see `core.durability`.  Delayed
writes to the pages of an earlier era then change nothing that counts.

Example::

    pages = LedgerPages(store, eras)
    key = pages.make_key('0003')
    item = pages.get(key)
    pages.put(key, item.version, raw)
"""

import msgspec

from galenaspoke.core import durability
from galenaspoke.core import ledger
from galenaspoke.store import base

# A page that no copy holds may have existed for as many eras.
MAX_ERAS_OF_MISSING_PAGE = 2


class LedgerPages:
    """Reads and writes the ledger's pages in the store's present era."""

    __slots__ = ('_store', '_eras')

    def __init__(self, store, eras):
        self._store = store
        self._eras = eras

    def make_key(self, name):
        """Return the store key that a page has now."""
        return f'{self._store.scope(ledger.PAGE_KIND)}/{name}'

    def get(self, key):
        """Return the Item of a page, taken over from an earlier era if new.

        Raises the store's errors, and EraChanged for the key of an earlier
        era.
        """
        item = self._store.get(key)
        if not item.version and self._store.has_eras:
            item = self._take_over(item)
        if key != self.make_key(_get_name(key)):
            raise base.EraChanged(f'{key} belongs to a former era')
        return item

    def put(self, key, version, value):
        """Write a page if it has `version`; return the new version."""
        return self._store.put(key, version, value)

    def _take_over(self, item):
        """Return the Item to create a page with."""
        era = self._store.era
        name = _get_name(item.key)
        earlier_eras = self._eras.list_earlier()
        for earlier in earlier_eras:
            kind = self._store.scope(ledger.PAGE_KIND, earlier)
            copied = self._store.get(f'{kind}/{name}')
            if copied.version:
                page = base.decode(copied, ledger.Page)
                lost_eras = era - earlier
                break
        else:
            page = ledger.Page()
            lost_eras = min(
                MAX_ERAS_OF_MISSING_PAGE, era - min(earlier_eras, default=era)
            )
        page = durability.take_over(page, lost_eras)
        raw = msgspec.json.encode(page)
        return base.Item(item.key, 0, msgspec.Raw(raw))


def _get_name(key):
    return key.split('/', 1)[1]
