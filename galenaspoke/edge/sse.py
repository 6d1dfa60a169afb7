"""Server-sent events: whole ones only, each with its id.

Example::

    splitter = Splitter()
    splitter.feed(b'id: 7\\ndata: a\\n\\nid: 8\\nda')    # one Event, id '7'
    splitter.rest()    # b'id: 8\\nda'
"""

import dataclasses
import re

_BLANK_LINE = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_ID_LINE = re.compile(rb'(?:^|[\r\n])id:[ ]?([^\r\n]*)')


@dataclasses.dataclass(slots=True, frozen=True)
class Event:
    """One event; `id` is empty where it has none."""

    raw: bytes
    id: str


class Splitter:
    """Cuts the bytes of a stream into events."""

    __slots__ = ('_pending',)

    def __init__(self):
        self._pending = b''

    def feed(self, data):
        """Take bytes; return the events that are whole now."""
        self._pending += data
        events = []
        begin = 0
        for match in _BLANK_LINE.finditer(self._pending):
            raw = self._pending[begin : match.end()]
            found = _ID_LINE.search(raw)
            name = found[1].decode('latin-1') if found else ''
            events.append(Event(raw, name))
            begin = match.end()
        self._pending = self._pending[begin:]
        return events

    def rest(self):
        """Return the beginning of an event that isn't whole."""
        return self._pending
