"""Responses without a length whose engines are killed in the middle.

The kernel closes the connections of a process that was killed, as the process
itself does at the end of such a response.  A caller must not be told that it
has the whole of a response that was cut.
"""

import functools
import re
import unittest
from unittest import mock

import gevent
from gevent import socket

from galenaspoke.core import catalog
from galenaspoke.edge.serving import caller_connections
from galenaspoke.edge.targets import end_checks
from galenaspoke.http import messages
from tests.edge import base
from tests.edge import handlers
from tests import fakes

EVENT_COUNT = 20
CUT_AFTER = 6
# The input, and the output that all pieces are, one token each.
WHOLE_USAGE = b'9,%d' % EVENT_COUNT
# More output: that nothing is left to come has to be found out otherwise.
MORE_USAGE = b'9,90'
BORN = 1_000
MAX_UNREAD_MS = 150
HEAD = (
    b'HTTP/1.1 200 -\r\nX-Request-Id: %s\r\nX-Response-Stamp: s\r\n'
    b'Content-Type: %s\r\n\r\n'
)
# What an engine answers that has no reports.
UNSUPPORTED = b'HTTP/1.1 400 -\r\nX-Not-Run: 1\r\nContent-Length: 2\r\n\r\nid'
BUSY = b'HTTP/1.1 503 -\r\nContent-Length: 0\r\n\r\n'
MISDIRECTED = b'HTTP/1.1 421 -\r\nContent-Length: 0\r\n\r\n'
ODD_RUNS = b'{"born":1000,"Runs":[[],["9c42",9],7,[9],["9c410"]]}'


def encode_event(number):
    """Return one event of a stream."""
    return b'id: %d\ndata: x\n\n' % number


def encode_report(body):
    """Return the response to a question for a report."""
    return b'HTTP/1.1 200 -\r\nContent-Length: %d\r\n\r\n%s' % (
        len(body),
        body,
    )


class Engine:
    """An engine with connections of its own, which can be killed.

    It sends the pieces from where the request says to the last one.  Before
    the piece with the number `cut_at`, or after the last one, it calls `cut`,
    and ends the response there unless `goes_on`.
    """

    # What its reports say besides.
    state = b''
    # What it answers when it is asked for a report; None for its own.
    report = None
    head = HEAD

    def __init__(self, content_type=b'text/event-stream', born=BORN):
        self.content_type = content_type
        self.born = born
        self.cut_at = None
        self.cut = self.kill
        self.goes_on = False
        # The ids of the runs that its reports list.
        self.runs = []
        self.run_count = 0
        self.report_count = 0
        self._socks = []
        # The connections that carry a request.
        self._busy = set()
        self._listen(('127.0.0.1', 0))
        self.port = self._listener.getsockname()[1]

    def _listen(self, address):
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(address)
        self._listener.listen(64)
        self._task = gevent.spawn(self._accept, self._listener)

    def _accept(self, listener):
        while True:
            sock, _ = listener.accept()
            self._socks.append(sock)
            gevent.spawn(self._serve, sock)

    def _serve(self, sock):
        try:
            while head := sock.recv(65_536):
                if head.startswith(b'GET /report '):
                    self._send_report(sock)
                    continue
                self.run_count += 1
                self._run(sock, head)
                break
        except OSError:
            pass
        finally:
            sock.close()

    def _send_report(self, sock):
        self.report_count += 1
        if self.report is not None:
            sock.sendall(self.report)
            return
        runs = b','.join(b'["%s",9,9,0]' % run_id for run_id in self.runs)
        body = b'{%s"born":%d,"Runs":[%s]}' % (
            self.state,
            self.born,
            runs,
        )
        sock.sendall(encode_report(body))

    def _run(self, sock, head):
        self._busy.add(sock)
        sock.sendall(self.head % (handlers.REQUEST_ID, self.content_type))
        found = re.search(rb'last-event-id: (\d+)', head.lower())
        first = int(found.group(1)) + 1 if found else 1
        for number in range(first, EVENT_COUNT + 2):
            if number == self.cut_at:
                self.cut()
                if not self.goes_on:
                    return
            if number > EVENT_COUNT:
                return
            sock.sendall(encode_event(number))
            gevent.sleep(0)

    def idle_socks(self):
        """Return the connections that carry no request."""
        return [sock for sock in self._socks if sock not in self._busy]

    def kill(self):
        """End as a process that is killed: nothing listens any more."""
        self._task.kill()
        self._listener.close()
        for sock in self._socks:
            # Whatever was read before, so that it isn't a reset.
            sock.shutdown(socket.SHUT_WR)
        self._socks = []

    def restart(self):
        """Be killed, and back at once as another incarnation."""
        self.kill()
        self.born += 1
        self.cut_at = None
        self._listen(('127.0.0.1', self.port))

    def close(self):
        """End the engine."""
        self._task.kill()
        self._listener.close()
        for sock in self._socks:
            sock.close()


class EndingTestCase(unittest.TestCase):
    """A base class with a router's handler before engines of this process."""

    kind = catalog.RequestKind.STREAM
    content_type = b'text/event-stream'
    # Whether the router doubts that closed streams have ended.
    doubts = False

    def make_desk(self, count=1, born=BORN, **options):
        """Return a handler, and its engines."""
        options = {'store': fakes.FakeStore(), **options}
        settings = options.get('settings') or {}
        options['settings'] = {
            'doubt_closed_streams': self.doubts,
            **settings,
        }
        desk = handlers.Desk({}, self.kind, timeout_ms=3_000, **options)
        engines = []
        for number in range(count):
            engine = Engine(self.content_type, born)
            self.addCleanup(engine.close)
            entry = base.make_target_entry(
                f'i-{number}', engine.port, born=born
            )
            desk.target_view.directory.put(entry, desk.clock.now())
            engines.append(engine)
        desk.record_versions()
        return desk, engines

    def kill_first(self, engines, cut_at=CUT_AFTER):
        """Let the engine that gets the next request be killed."""

        def kill(engine):
            for other in engines:
                other.cut_at = None
            engine.kill()

        for engine in engines:
            engine.cut_at = cut_at
            engine.cut = functools.partial(kill, engine)

    def ask(self, desk, caller=None, usage=WHOLE_USAGE, pairs=()):
        """Make a request; return the Caller, and if its response is whole.

        `usage` says how much output it allows.
        """
        caller = caller or handlers.Caller()
        try:
            desk.request(caller, [*pairs, (b'x-token-usage', usage)])
        except caller_connections.CallerDisconnected:
            return caller, False
        return caller, caller.status == 200

    def count_pieces(self, caller):
        """Return how many pieces a caller got, once each and in order."""
        numbers = [int(n) for n in re.findall(rb'id: (\d+)\n', caller.body)]
        self.assertEqual(list(range(1, len(numbers) + 1)), numbers)
        return len(numbers)


class KilledStreamTest(EndingTestCase):
    """Streams whose engine is killed between two events."""

    # Guards against the end of a connection that is taken for the end of a
    # stream (ORDER: the stream ends as complete before its last piece).
    def test_stream_of_a_killed_engine_is_not_whole(self):
        desk, (engine,) = self.make_desk(resumable=False)
        engine.cut_at = CUT_AFTER
        caller, is_whole = self.ask(desk)
        self.assertEqual(CUT_AFTER - 1, self.count_pieces(caller))
        self.assertFalse(is_whole)

    def test_resumable_stream_goes_on_elsewhere(self):
        desk, engines = self.make_desk(count=2)
        self.kill_first(engines)
        caller, is_whole = self.ask(desk)
        self.assertEqual(EVENT_COUNT, self.count_pieces(caller))
        self.assertTrue(is_whole)
        self.assertEqual([1, 1], [engine.run_count for engine in engines])

    # Guards against a whole stream that is broken off, since the engine at
    # which it goes on has nothing to add.
    def test_engine_is_killed_after_the_last_event(self):
        desk, engines = self.make_desk(count=2)
        self.kill_first(engines, EVENT_COUNT + 1)
        caller, is_whole = self.ask(desk)
        self.assertEqual(EVENT_COUNT, self.count_pieces(caller))
        self.assertTrue(is_whole)

    # The same where the engine only closes the stream and goes on with it.
    def test_stream_of_an_engine_that_still_works_is_not_whole(self):
        desk, (engine,) = self.make_desk(resumable=False)
        engine.cut_at = CUT_AFTER
        engine.cut = lambda: engine.runs.append(handlers.REQUEST_ID)
        _, is_whole = self.ask(desk)
        self.assertFalse(is_whole)
        self.assertGreater(engine.report_count, 2)

    # The same where it closes its connections and is gone a moment later.
    def test_stream_of_an_engine_that_answers_nothing_is_not_whole(self):
        for report in (b'', b'nothing of the kind\r\n\r\n', MISDIRECTED):
            desk, (engine,) = self.make_desk(resumable=False)
            engine.report = report
            engine.cut_at = CUT_AFTER
            engine.cut = lambda: None
            _, is_whole = self.ask(desk)
            self.assertFalse(is_whole, report)


class DoubtedKilledStreamTest(KilledStreamTest):
    """The same where the operator doubts that closed streams have ended."""

    doubts = True

    # The same where the engine is back before the router looks.
    def test_stream_of_an_engine_that_is_back_is_not_whole(self):
        desk, (engine,) = self.make_desk(resumable=False)
        engine.cut_at = CUT_AFTER
        engine.cut = engine.restart
        _, is_whole = self.ask(desk)
        self.assertFalse(is_whole)


class UnreadStreamTest(EndingTestCase):
    """Streams that the router doesn't read for a while.

    An engine cuts off what isn't read for seconds, by closing the connection
    after what it has handed over.
    """

    def setUp(self):
        patch = mock.patch.multiple(
            end_checks,
            MAX_UNREAD_MS=MAX_UNREAD_MS,
            STALL_INTERVAL_S=MAX_UNREAD_MS / 2_000,
        )
        patch.start()
        self.addCleanup(patch.stop)
        self.desk, (self.engine,) = self.make_desk(resumable=False)
        checker = self.desk.handler.end_checker
        watch = gevent.spawn(checker.watch_stalls)
        self.addCleanup(watch.kill)
        gevent.sleep(0)
        self.engine.cut_at = CUT_AFTER
        self.engine.cut = lambda: None

    # Guards against a stream that its engine gave up, since its caller read
    # too slowly, and that looks whole: the engine lives and has no run.
    def test_caller_that_reads_slowly(self):
        class SlowCaller(handlers.Caller):
            """A caller that takes its time to read an event."""

            def send(self, data):
                """Record bytes later."""
                gevent.sleep(2 * MAX_UNREAD_MS / 1000)
                super().send(data)

        self.assertFalse(self.ask(self.desk, SlowCaller())[1])

    # The same where the router itself stands still.
    def test_router_that_stands_still(self):
        self.engine.cut = lambda: base.stall(2 * MAX_UNREAD_MS / 1000)
        self.assertFalse(self.ask(self.desk)[1])

    def test_short_pauses_are_no_reason(self):
        self.engine.cut_at = None
        for _ in range(3):
            self.assertTrue(self.ask(self.desk)[1])


class WholeStreamTest(EndingTestCase):
    """Streams that their engines end."""

    def check_whole(self, **options):
        """Check that a stream is whole; return its engine and the desk."""
        desk, (engine,) = self.make_desk(resumable=False, **options)
        caller, is_whole = self.ask(desk, usage=MORE_USAGE)
        self.assertTrue(is_whole)
        self.assertEqual(EVENT_COUNT, self.count_pieces(caller))
        self.assertTrue(caller.body.endswith(messages.LAST_CHUNK))
        return engine, desk

    # A question is priced, and one is enough.
    def test_engine_is_asked_once(self):
        engine, desk = self.check_whole()
        self.assertEqual(1, engine.report_count)
        self.assertIn('ends.proved', desk.journal.events())

    # A copy of the report could come on it later.
    def test_connection_of_the_check_is_closed(self):
        engine, desk = self.check_whole()
        target = desk.target_view.directory.get('i-0')
        self.assertEqual([], target._idle)
        self.assertEqual(2, len(engine._socks))
        base.wait_until(lambda: all(sock.closed for sock in engine._socks))

    def test_engine_that_does_not_say_when_it_started(self):
        self.check_whole(born=0)

    def test_engine_without_reports(self):
        with mock.patch.object(Engine, 'report', UNSUPPORTED):
            self.check_whole()

    def test_engine_that_is_too_busy_to_report(self):
        with mock.patch.object(Engine, 'report', BUSY):
            self.check_whole()

    # What an engine says of its work may be as old as this.
    def test_report_that_is_old(self):
        desk, (engine,) = self.make_desk(resumable=False)
        engine.runs = [handlers.REQUEST_ID]
        gevent.spawn_later(0.3, engine.runs.clear)
        _, is_whole = self.ask(desk, usage=MORE_USAGE)
        self.assertTrue(is_whole)

    def test_runs_of_others_and_odd_ones(self):
        with mock.patch.object(Engine, 'report', encode_report(ODD_RUNS)):
            self.check_whole()


class LostConnectionTest(EndingTestCase):
    """A check whose connection was closed during the response."""

    def check_is_whole(self, desk, engine):
        """Return whether a response is whole whose check lost its conn."""
        engine.cut_at = CUT_AFTER

        def close_idle():
            base.wait_until(engine.idle_socks)
            for sock in engine.idle_socks():
                sock.shutdown(socket.SHUT_RDWR)
            engine.cut_at = None

        engine.cut = close_idle
        engine.goes_on = True
        _, is_whole = self.ask(desk, usage=MORE_USAGE)
        return is_whole

    # Guards against whole responses that are cut because an engine closes
    # connections that rest.
    def test_engine_that_says_when_it_started(self):
        desk, (engine,) = self.make_desk(resumable=False)
        self.assertTrue(self.check_is_whole(desk, engine))

    # Guards against an engine that was killed and is back while its router
    # stood still, and that can't be told from the one before.
    def test_engine_that_does_not(self):
        with mock.patch.object(Engine, 'report', UNSUPPORTED):
            desk, (engine,) = self.make_desk(resumable=False, born=0)
            self.assertFalse(self.check_is_whole(desk, engine))


class CutBodyTest(EndingTestCase):
    """Other responses whose engine is killed in the middle of the body."""

    kind = catalog.RequestKind.IDEMPOTENT
    content_type = b'text/plain'

    # Guards against a body that is handed on as whole, with a length of its
    # own, though its engine was killed (MIXED: an answer that ends early must
    # not look complete).
    def test_body_of_a_killed_engine_is_not_whole(self):
        desk, (engine,) = self.make_desk(max_attempts=1)
        engine.cut_at = CUT_AFTER
        caller, _ = self.ask(desk)
        self.assertEqual(502, caller.status)

    # Guards against an honest refusal that turns into a failure.
    def test_refusal_without_a_length_is_a_refusal(self):
        desk, (engine,) = self.make_desk(max_attempts=1)
        engine.head = (
            b'HTTP/1.1 503 -\r\nX-Request-Id: %s\r\nX-Not-Run: 1\r\n'
            b'Content-Type: %s\r\n\r\n'
        )
        caller, _ = self.ask(desk)
        self.assertEqual(503, caller.status)
        self.assertEqual(0, engine.report_count)

    def test_body_that_has_ended_is_whole(self):
        for report in (None, UNSUPPORTED):
            desk, (engine,) = self.make_desk(max_attempts=1)
            engine.report = report
            caller, is_whole = self.ask(desk)
            self.assertTrue(is_whole)
            self.assertEqual(EVENT_COUNT, self.count_pieces(caller))
            self.assertEqual(1, engine.report_count)

    def test_idempotent_request_is_served_elsewhere(self):
        desk, engines = self.make_desk(count=2)
        self.kill_first(engines)
        caller, is_whole = self.ask(desk)
        self.assertTrue(is_whole)
        self.assertEqual(EVENT_COUNT, self.count_pieces(caller))

    # Guards against a crash that nothing shows, so that the requests which
    # bring engines down aren't found.
    def test_crash_is_noticed(self):
        desk, (engine,) = self.make_desk(max_attempts=1)
        engine.cut_at = CUT_AFTER
        self.ask(desk)
        self.assertIn('target.crashed', desk.journal.events())
