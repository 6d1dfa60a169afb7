"""The structured log: JSON lines on standard output.

A line is written for each decision about a request and for each change of the
process's state.  Lines beyond a rate limit, which lines about successful
requests reach first, and lines that the reader of the output is too slow for,
are dropped and counted; writing never blocks.
"""

import os
import sys

import msgspec

from galenaspoke.core import limits

LINES_PER_S = 300
BURST_LINES = 600
# Lines about successful requests have a separate, lower limit, so that a busy
# router mainly logs decisions and changes of state.  The burst is lower by
# this number, the rate by half of it: 300 lines, and 150 lines per second.
SUCCESS_LIMIT_REDUCTION = 300


class Journal:
    """Writes the log lines of one process.

    Example::

        journal.note('retry', id='9c41', target='i-7f', reason='reset')
    """

    __slots__ = (
        'dropped_lines',
        '_clock',
        '_success_bucket',
        '_note_bucket',
        '_encoder',
        '_fd',
    )

    def __init__(self, clock, fd=None):
        self.dropped_lines = 0
        self._clock = clock
        now = clock.now()
        self._success_bucket = limits.TokenBucket(
            LINES_PER_S - SUCCESS_LIMIT_REDUCTION / 2,
            BURST_LINES - SUCCESS_LIMIT_REDUCTION,
            now,
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

    def note_success(self, event, **fields):
        """Write a line about a success, which has a lower rate limit."""
        if not self._success_bucket.take(self._clock.now()):
            self.dropped_lines += 1
            return
        self._write(event, fields)

    def _write(self, event, fields):
        line = {'at_ms': self._clock.wall(), 'event': event, **fields}
        try:
            os.write(self._fd, self._encoder.encode(line) + b'\n')
        except (BlockingIOError, OSError):
            self.dropped_lines += 1
