"""What callers of the soak take from a stream."""

import unittest

from bench import edge_callers
from bench import edge_events
from standins import edge_bodies


class EventsTest(unittest.TestCase):
    """Events and what is between them."""

    def take(self, body):
        """Return an attempt that has read some of a stream."""
        attempt = edge_callers.Attempt('k.0', None, 1)
        attempt.body = body
        edge_events.take_events(attempt)
        return attempt

    # Guards against comments that an engine floods with, taken for events of
    # another request.
    def test_comments(self):
        """They are counted, and are no events."""
        event = edge_bodies.make_event('k', 'v1', 1, 1, 1)
        attempt = self.take(b':\n\n:ping\n:\n\n' + event + b':\n\n:')
        self.assertEqual(attempt.comments, 3)
        self.assertEqual([1], [event.number for event in attempt.events])
        self.assertEqual(attempt.body, b':')

    def test_other_blocks(self):
        """All else is an event, one that can't be read has no number."""
        for block in (
            b'\n\n',
            b'x\n\n',
            b':\nid: 1\n\n',
            b'id: 1\ndata: k v1 1\n\n',
            b'id: 1\ndata: k v1 2 1\n\n',
            b'x-weight-versions: 2\nx: y\nid: 1\ndata: k v1 1 1\n\n',
        ):
            attempt = self.take(block)
            self.assertEqual([0], [event.number for event in attempt.events])
            self.assertEqual([0], [event.tokens for event in attempt.events])

    def test_fields(self):
        """Events have a number, tokens, and maybe the weights' version."""
        raw = edge_bodies.make_event('k', 'v1', 3, 5, 9)
        changed = edge_bodies.make_event('k', 'v2', 4, 10, 10, weights=7)
        event, later = self.take(raw + changed).events
        self.assertEqual((event.number, event.key), (3, 'k'))
        self.assertEqual((event.first, event.last, event.tokens), (5, 9, 5))
        self.assertEqual((event.version, event.weights), ('v1', None))
        self.assertEqual((later.version, later.weights), ('v2', 7))
        self.assertEqual((later.number, later.tokens), (4, 1))
