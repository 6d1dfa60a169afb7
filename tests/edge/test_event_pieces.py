"""Streams whose events arrive in many pieces."""

import random
import unittest
from unittest import mock

from galenaspoke.edge.streams import sse

PIECE = b'x' * 1_000
PIECE_COUNT = 200
LINE_ENDS = (b'\n', b'\r\n', b'\r')


class CountingPattern:
    """A pattern that counts the bytes in which it looks for matches."""

    def __init__(self, pattern):
        self.pattern = pattern
        self.scanned_bytes = 0

    def finditer(self, data, begin=0):
        """Find all matches from a position on."""
        self.scanned_bytes += len(data) - begin
        return self.pattern.finditer(data, begin)


class EventPiecesTest(unittest.TestCase):
    """The splitter gets the bytes of a stream piece by piece."""

    # Guards against a target whose endless event takes all processor time:
    # each piece made the splitter search all bytes before it once more.
    def test_bytes_are_searched_once(self):
        pattern = CountingPattern(sse._BLANK_LINE)
        splitter = sse.EventSplitter()
        with mock.patch.object(sse, '_BLANK_LINE', pattern):
            for _ in range(PIECE_COUNT):
                self.assertEqual([], splitter.feed(PIECE))
        total = PIECE_COUNT * len(PIECE)
        self.assertEqual(total, len(splitter.remainder()))
        self.assertLess(pattern.scanned_bytes, 2 * total)

    # Guards against the end of an event that is missed between two pieces.
    def test_pieces_make_the_same_events_as_the_whole(self):
        chooser = random.Random(1)
        for _ in range(2_000):
            data = b''.join(
                chooser.choice((b'id: 7', b'data: a', b'', b'', *LINE_ENDS))
                + chooser.choice(LINE_ENDS)
                for _ in range(12)
            )
            whole = sse.EventSplitter().feed(data)
            splitter = sse.EventSplitter()
            cut = 0
            pieces = []
            while cut < len(data):
                size = chooser.randint(1, 5)
                pieces += splitter.feed(data[cut : cut + size])
                cut += size
            raw = b''.join(event.raw for event in pieces)
            self.assertEqual(data, raw + splitter.remainder())
            self.assertEqual(whole, pieces)
