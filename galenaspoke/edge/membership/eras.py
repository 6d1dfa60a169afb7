"""The eras of the store: what was kept in earlier ones.

A new era begins each time that the store comes back from a copy.  Whatever the
system keeps in the store has other keys in each era, so what an earlier era
left behind must be looked for; a list in the store names the eras.

Example::

    eras = Eras(store)
    eras.list_earlier()     # [3, 2], in era 4
"""

import re

from galenaspoke.store import base

# No more digits than a 64-bit number has.
_ERA_NAME = re.compile(r'[1-9][0-9]{0,17}')


class Eras:
    """The eras that a process knows of, from the store or from before."""

    __slots__ = ('_store', '_known', '_listed_era')

    def __init__(self, store):
        self._store = store
        self._known = set()
        # The era in which the list was read.
        self._listed_era = None

    def list_earlier(self):
        """Return the earlier eras that are known, the latest first.

        Also adds the present era to the list, so that later ones know of it.
        Objects that aren't named after an era are ignored.  Raises the store's
        errors.
        """
        era = self._store.era
        if self._listed_era != era:
            items = self._store.list(base.ERAS_KIND).items
            listed = {
                int(item.name)
                for item in items
                if _ERA_NAME.fullmatch(item.name)
            }
            if era not in listed:
                self._add(era)
            self._known |= listed | {era}
            self._listed_era = era
        earlier = [known for known in self._known if known < era]
        return sorted(earlier, reverse=True)

    def _add(self, era):
        try:
            self._store.put(f'{base.ERAS_KIND}/{era}', 0, b'{}')
        except base.Conflict:
            # Another router has added it.
            pass
        except base.OutcomeUnknown as exc:
            raise base.StoreUnavailable(str(exc)) from exc
