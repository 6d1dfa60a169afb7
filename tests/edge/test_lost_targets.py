"""Which targets count as lost, and until when; found by a review."""

import unittest

import gevent

from galenaspoke.core import catalog
from galenaspoke.edge.targets import end_checks
from galenaspoke.http import messages
from tests.edge import base
from tests.edge import cold_fleets
from tests.edge import handlers

COLD_MS = cold_fleets.COLD_MS
RATE_PER_S = cold_fleets.RATE_PER_S
STREAM_HEAD = (
    b'HTTP/1.1 200 -\r\nX-Request-Id: 9c41\r\nX-Response-Stamp: s\r\n'
    b'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
)


class StreamTest(unittest.TestCase):
    """A target that sends events all the while."""

    EVENT_INTERVAL_MS = 400

    def play(self, end):
        """Return whether a target is cold after one stream.

        Its events come at an interval until `end` is called with the
        connection.
        """
        clock = base.make_manual_clock()

        def stream(remote, _):
            for number in range(5):
                event = b'id: %d\ndata: x\n\n' % number
                head = b'' if number else STREAM_HEAD
                remote.sendall(head + messages.encode_chunk(event))
                gevent.sleep(0.02)
                if number < 4:
                    clock.advance(self.EVENT_INTERVAL_MS)
            end(remote)

        desk = handlers.Desk(
            {'i-1': stream},
            catalog.RequestKind.STREAM,
            timeout_ms=10_000,
            clock=clock,
            resumable=False,
        )
        self.addCleanup(desk.close)
        desk.config_view.catalog.services['pool'] = cold_fleets.make_service()
        try:
            caller = handlers.Caller()
            desk.request(caller)
        except Exception as exc:
            self.assertIn('Disconnected', type(exc).__name__)
        self.assertEqual([1], desk.count_requests())
        # The last event came at this very moment.
        return desk.targets['i-1'].cold_start.is_cold(clock.now())

    # An event is a response, too.  The target was heard a moment ago.
    def test_stream_that_breaks_after_its_last_event(self):
        self.assertFalse(self.play(lambda remote: remote.close()))

    def test_stream_that_ends(self):
        self.assertFalse(
            self.play(lambda remote: remote.sendall(messages.LAST_CHUNK))
        )


class DeadlineTest(unittest.TestCase):
    """A stream that outlasts its deadline, in real time."""

    def test_target_that_streams_until_the_deadline(self):
        def stream(remote, _):
            for number in range(100):
                event = b'id: %d\ndata: x\n\n' % number
                head = b'' if number else STREAM_HEAD
                remote.sendall(head + messages.encode_chunk(event))
                gevent.sleep(0.05)

        desk = handlers.Desk(
            {'i-1': stream},
            catalog.RequestKind.STREAM,
            timeout_ms=end_checks.MIN_RESTART_MS + 300,
            resumable=False,
        )
        self.addCleanup(desk.close)
        desk.config_view.catalog.services['pool'] = cold_fleets.make_service()
        caller = handlers.Caller()
        try:
            desk.request(caller)
        except Exception as exc:
            self.assertIn('Disconnected', type(exc).__name__)
        target = desk.targets['i-1']
        self.assertFalse(target.cold_start.is_cold(desk.clock.now()))


class SlowCaller(handlers.Caller):
    """A caller that doesn't read what it is sent."""

    def send(self, data):
        """Wait for the caller."""
        gevent.sleep(60)


class SlowCallerTest(unittest.TestCase):
    """A target whose whole response a caller doesn't read in time."""

    def test_target_that_has_sent_everything(self):
        def stream(remote, _):
            remote.sendall(
                STREAM_HEAD
                + messages.encode_chunk(b'id: 0\ndata: x\n\n')
                + messages.LAST_CHUNK
            )

        desk = handlers.Desk(
            {'i-1': stream},
            catalog.RequestKind.STREAM,
            timeout_ms=end_checks.MIN_RESTART_MS + 300,
            resumable=False,
        )
        self.addCleanup(desk.close)
        desk.config_view.catalog.services['pool'] = cold_fleets.make_service()
        try:
            desk.request(SlowCaller())
        except Exception as exc:
            self.assertIn('Disconnected', type(exc).__name__)
        target = desk.targets['i-1']
        self.assertFalse(target.cold_start.is_cold(desk.clock.now()))


class ListTest(unittest.TestCase):
    """Entries that are listed anew, as after an outage of the store."""

    def setUp(self):
        self.clock = base.make_manual_clock()
        services = {'pool': cold_fleets.make_service()}
        self.view = cold_fleets.make_view(self.clock, lambda: services)
        # The entry that a warm target has written long ago.
        self.item = cold_fleets.make_item(ColdLeftMs=0)
        self.view._on_list([self.item])
        self.target = self.view.directory.get('i-1')

    def is_cold(self):
        """Return whether the target is cold now."""
        return self.target.cold_start.is_cold(self.clock.now())

    # The target has said nothing: it is the entry of before.
    def test_unchanged_entry_of_a_target_that_was_lost(self):
        self.clock.advance(10_000)
        self.view.record_lost(self.target)
        self.assertTrue(self.is_cold())
        self.clock.advance(1_000)
        self.view._on_list([self.item])
        self.assertTrue(self.is_cold())

    # The same for a refused connection, which was so before.
    def test_unchanged_entry_of_a_target_that_refused(self):
        self.clock.advance(10_000)
        self.view.record_down(self.target)
        self.assertTrue(self.is_cold())
        self.clock.advance(1_000)
        self.view._on_list([self.item])
        self.assertTrue(self.is_cold())

    # A list says when it was read, not when the target was last heard.
    def test_list_while_a_target_is_silent(self):
        self.clock.advance(10_000)
        self.view._on_list([self.item])
        self.clock.advance(500)
        self.view.record_lost(self.target)
        self.assertTrue(self.is_cold())
