"""Names objects that can't be read, each once.

An object of another writer that can't be read is left out.  It may stay for
long and be met again with each list, so it is named once: again only after it
has been readable, or gone.

Example::

    unreadable = UnreadableObjects('target.unreadable', journal)
    unreadable.note('i-7f', 'Slots')       # writes a line
    unreadable.note('i-7f', 'Slots')       # doesn't
    unreadable.forget('i-7f')
"""

# So many are remembered, the latest; a line may be repeated beyond that.
MAX_REMEMBERED = 1_000


class UnreadableObjects:
    """The unreadable objects of which a line `event` has been written."""

    __slots__ = ('_event', '_journal', '_noted')

    def __init__(self, event, journal):
        self._event = event
        self._journal = journal
        # Their names, the latest last.
        self._noted = {}

    def note(self, name, why):
        """Name an object in the log; return whether that is news."""
        if name in self._noted:
            return False
        self._noted[name] = True
        if len(self._noted) > MAX_REMEMBERED:
            del self._noted[next(iter(self._noted))]
        self._journal.note(self._event, name=name, why=why)
        return True

    def forget(self, name):
        """Forget an object that is readable now, or gone."""
        self._noted.pop(name, None)

    def keep_only(self, names):
        """Forget the objects that aren't among `names`."""
        for name in list(self._noted):
            if name not in names:
                del self._noted[name]
