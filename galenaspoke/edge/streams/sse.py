"""Splits a stream into server-sent events.

Example::

    splitter = EventSplitter()
    splitter.feed(b'id: 7\\ndata: a\\n\\nid: 8\\nda')    # [Event(..., id='7')]
    splitter.remainder()    # b'id: 8\\nda'
"""

import dataclasses
import re

_BLANK_LINE = re.compile(rb'\r?\n\r?\n|\r\r')
_MAX_BLANK_LINE_BYTES = 4
# An id that contains NUL is ignored.
_ID_LINE = re.compile(rb'(?:^|[\r\n])id:[ ]?([^\r\n\0]*)(?=[\r\n])')
_DATA_LINE = re.compile(rb'(?:^|[\r\n])data[:\r\n]')
_TEXT_LINE = re.compile(rb'(?:^|[\r\n])data:[ ]?[^\r\n]')
# The head of a response, which may follow a line that was cut.  Text that a
# model makes is followed by a field of an event.
_HEAD = re.compile(
    rb'(?:^|[\r\n])HTTP/1\.\d \d{3}'
    rb'|HTTP/1\.\d \d{3}[^\r\n]*\r\n(?!data:|id:|event:|retry:)[\w-]+:'
)


@dataclasses.dataclass(slots=True, frozen=True)
class Event:
    """One event as it was received.

    `id` is that of its last id line, empty if it has none.
    """

    raw: bytes
    id: str

    def has_data(self):
        """Return whether a client sees the event; it ignores others."""
        return bool(_DATA_LINE.search(self.raw))

    def is_output(self):
        """Return whether the event is a part of what the target makes.

        Events without an id or a text only show that it lives, for example.
        """
        return bool(self.id) and bool(_TEXT_LINE.search(self.raw))

    def has_head(self):
        """Return whether the target began a response within its stream."""
        return bool(_HEAD.search(self.raw))


class EventSplitter:
    """Splits the bytes of a stream into complete events."""

    __slots__ = ('_pending',)

    def __init__(self):
        self._pending = bytearray()

    def feed(self, data):
        """Add bytes; return the events that are complete now."""
        # What was pending holds no blank line, but maybe the start of one.
        begin = max(0, len(self._pending) - _MAX_BLANK_LINE_BYTES + 1)
        self._pending += data
        events = []
        start = 0
        for match in _BLANK_LINE.finditer(self._pending, begin):
            raw = bytes(self._pending[start : match.end()])
            ids = _ID_LINE.findall(raw)
            events.append(Event(raw, ids[-1].decode('latin-1') if ids else ''))
            start = match.end()
        del self._pending[:start]
        return events

    def pending_bytes(self):
        """Return the length of the event that is still incomplete."""
        return len(self._pending)

    def remainder(self):
        """Return the bytes of an event that is still incomplete."""
        return bytes(self._pending)
