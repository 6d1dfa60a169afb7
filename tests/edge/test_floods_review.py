"""Sound targets that come near the bounds of floods."""

from galenaspoke.core import catalog
from tests.edge import test_closed_review
from tests.edge import test_endings

COMMENT = test_closed_review.COMMENT
PING = b'event: ping\ndata: {}\n\n'
PROCESSING = b'HTTP/1.1 102 -\r\n\r\n'


class SoundTargetTest(test_endings.EndingTestCase):
    """Targets that show for long that they live, before or between events."""

    def check_is_whole(self, before=b'', after_head=b''):
        """Check that a caller gets a stream that has other bytes in it."""
        desk, (engine,) = self.make_desk()
        service = catalog.Service('pool', '/health', 100, memory_tokens=9)
        desk.config_view.catalog.services['pool'] = service
        engine.head = before + engine.head + after_head
        caller, is_whole = self.ask(desk)
        self.assertEqual(test_endings.EVENT_COUNT, self.count_pieces(caller))
        self.assertTrue(is_whole)
        health = desk.target_view.directory.get('i-0').health
        self.assertEqual(0, health.ejected_until)

    # Guards against pings with data that count as output.
    def test_pings(self):
        self.check_is_whole(after_head=30 * PING)

    def test_comments(self):
        self.check_is_whole(after_head=200 * COMMENT)

    def test_interim_responses(self):
        self.check_is_whole(before=5 * PROCESSING)
