"""What the events of a stream cost, and what they show of their target."""

import unittest

from galenaspoke.edge.streams import sse
from galenaspoke.http import messages
from tests.edge import base

EVENT_TOKENS = 6
INPUT_TOKENS = 1_100
OUTPUT_TOKENS = 60
COMMENT = b': none\n\n'
EVENT = b'id: %d\ndata: x\n\n'
# An event that says nothing of its place may hold tokens, too.
BARE_EVENT = b'data: x\n\n'


class ChargedEventsTest(unittest.TestCase):
    """Events that are sent to a caller."""

    def setUp(self):
        req = messages.Request()
        req.arrived_at = 0
        self.context = base.make_stream_context(req)
        self.context.may_have_run = True
        self.context.event_tokens = EVENT_TOKENS

    def send(self, raw):
        """Record events that are sent to the caller together."""
        self.context.record_events(sse.EventSplitter().feed(raw), 0)

    def check_charged(self, count):
        """Check that so many events are charged, each at its most."""
        self.assertEqual(
            INPUT_TOKENS + count * EVENT_TOKENS, self.context.consumed_tokens()
        )

    # Guards against accounts that are charged for comments, which hold no
    # tokens, and are refused later for want of balance.
    def test_comments_are_not_charged(self):
        self.send(20 * COMMENT)
        self.check_charged(0)
        self.send(EVENT % 1 + COMMENT + EVENT % 2)
        self.check_charged(2)

    # Guards against output that isn't charged (BUDGET: more than `Prepaid`).
    def test_all_events_with_data_are_charged(self):
        self.send(EVENT % 1 + BARE_EVENT)
        self.send(COMMENT + BARE_EVENT + EVENT % 2)
        self.check_charged(4)

    def test_no_more_is_charged_than_the_request_allows(self):
        self.send(100 * BARE_EVENT)
        self.check_charged(OUTPUT_TOKENS // EVENT_TOKENS)

    # Guards against a target whose pace is that of its comments, and whose
    # request counts as survived for them.
    def test_comments_show_no_pace(self):
        self.send(20 * COMMENT)
        self.assertEqual([], self.context.event_times)
        self.send(EVENT % 1 + COMMENT)
        self.assertEqual([0], self.context.event_times)
