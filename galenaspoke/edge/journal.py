"""The structured log: JSON lines on standard output.

A line is written for each decision about a request and for each change of the
process's state.  Lines beyond a rate limit are dropped and counted; the limit
for lines about successful requests is lower.  Writing never blocks on a slow
reader of the output.
"""

import os
import sys

import msgspec

from galenaspoke.core import limits

LINES_PER_S = 300
BURST_LINES = 600
# The limit for lines about successes is lower: its burst by this number, its
# rate by half of it.
RESERVED_LINES = 300
PENDING_BYTES = 262_144


class Journal:
    """Writes the log lines of one process.

    Example::

        journal.note('retry', id='9c41', target='i-7f', reason='reset')
    """

    __slots__ = (
        'dropped_lines',
        '_clock',
        '_plain_bucket',
        '_note_bucket',
        '_encoder',
        '_fd',
    )

    def __init__(self, clock, fd=None):
        self.dropped_lines = 0
        self._clock = clock
        now = clock.now()
        self._plain_bucket = limits.TokenBucket(
            LINES_PER_S - RESERVED_LINES / 2, BURST_LINES - RESERVED_LINES, now
        )
        self._note_bucket = limits.TokenBucket(LINES_PER_S, BURST_LINES, now)
        self._encoder = msgspec.json.Encoder()
        self._fd = sys.stdout.fileno() if fd is None else fd
        os.set_blocking(self._fd, False)

    def note(self, event, **fields):
        """Write a line about a decision or a change of state."""
        if not self._note_bucket.take(self._clock.now()):
            self.dropped_lines += 1
            return
        self._write(event, fields)

    def plain(self, event, **fields):
        """Write a line about a success; under load it is dropped first."""
        if not self._plain_bucket.take(self._clock.now()):
            self.dropped_lines += 1
            return
        self._write(event, fields)

    def _write(self, event, fields):
        line = {'at_ms': self._clock.wall(), 'event': event, **fields}
        try:
            os.write(self._fd, self._encoder.encode(line) + b'\n')
        except (BlockingIOError, OSError):
            self.dropped_lines += 1
