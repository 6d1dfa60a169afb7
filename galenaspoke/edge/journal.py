"""Structured lines on standard output, one JSON object each.

A line is written for each decision that touches a request or changes what the
process believes.  Lines beyond `LINES_PER_S` are shed, those of requests that
went well first, and counted; nothing ever waits for the reader.
"""

import os
import sys

import msgspec

from galenaspoke.core import limits

LINES_PER_S = 300
BURST = 600
# While fewer lines than this are left, those of plain successes are shed.
RESERVED = 300
PENDING_BYTES = 262_144


class Journal:
    """Writes the lines of one process.

    Example::

        journal.note('retry', id='9c41', target='i-7f', reason='reset')
    """

    __slots__ = ('shed', '_clock', '_plain', '_all', '_encoder', '_fd')

    def __init__(self, clock, fd=None):
        self.shed = 0
        self._clock = clock
        now = clock.now()
        self._plain = limits.TokenBucket(
            LINES_PER_S - RESERVED / 2, BURST - RESERVED, now
        )
        self._all = limits.TokenBucket(LINES_PER_S, BURST, now)
        self._encoder = msgspec.json.Encoder()
        self._fd = sys.stdout.fileno() if fd is None else fd
        os.set_blocking(self._fd, False)

    def note(self, event, **fields):
        """Write a line about a decision or a change."""
        if not self._all.take(self._clock.now()):
            self.shed += 1
            return
        self._write(event, fields)

    def plain(self, event, **fields):
        """Write a line about something that went well, if there is room."""
        if not self._plain.take(self._clock.now()):
            self.shed += 1
            return
        self._write(event, fields)

    def _write(self, event, fields):
        line = {'at_ms': self._clock.wall(), 'event': event, **fields}
        try:
            os.write(self._fd, self._encoder.encode(line) + b'\n')
        except (BlockingIOError, OSError):
            self.shed += 1
