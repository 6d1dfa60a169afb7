"""Endings of responses without a length that the first fix didn't cover."""

import unittest
from unittest import mock

import gevent
from gevent import socket

from galenaspoke.core import catalog
from galenaspoke.edge.serving import caller_connections
from galenaspoke.edge.targets import directory
from galenaspoke.http import connections
from galenaspoke.http import messages
from tests.edge import base
from tests.edge import handlers
from tests.edge import test_endings
from tests import fakes

# How long a router and its engines' callers stand still.
PAUSE_S = 1.2
WITHOUT_REPORTS = test_endings.UNSUPPORTED


class QuickEngine(test_endings.Engine):
    """An engine that is killed, and back, while its router stands still.

    The router reads head, pieces and the end of the connection together.
    """

    def _run(self, sock, head):
        data = self.head % (handlers.REQUEST_ID, self.content_type)
        for number in range(1, test_endings.CUT_AFTER):
            data += test_endings.encode_event(number)
        sock.sendall(data)
        # The listener is the same, as if the process were back on its port;
        # every connection that it had is closed.
        for other in self._socks:
            other.shutdown(socket.SHUT_WR)
        self._socks = []
        self.born += 1
        # Stops this whole process, and the router with it.
        base.stall(PAUSE_S)


class LeavingEngine(test_endings.Engine):
    """An engine that ends as soon as it has sent its response."""

    def _run(self, sock, head):
        super()._run(sock, head)
        self.kill()


class SilentEngine(test_endings.Engine):
    """An engine without reports that answers the question for one late."""

    def _send_report(self, sock):
        self.report_count += 1
        gevent.sleep(0.7)
        sock.sendall(WITHOUT_REPORTS)


class FullEngine(test_endings.Engine):
    """An engine that resets every connection but the first ones."""

    max_conns = 2

    def _accept(self, listener):
        while True:
            sock, _ = listener.accept()
            if len(self._socks) >= self.max_conns:
                sock.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    b'\1\0\0\0\0\0\0\0',
                )
                sock.close()
                continue
            self._socks.append(sock)
            gevent.spawn(self._serve, sock)


class ReviewTestCase(test_endings.EndingTestCase):
    """A base class whose engines are of a given class."""

    engine_class = test_endings.Engine

    def make_desk(self, count=1, born=test_endings.BORN, **options):
        """Return a handler, and its engines."""
        with mock.patch.object(test_endings, 'Engine', self.engine_class):
            return super().make_desk(count, born, **options)


class ReplacedEngineTest(ReviewTestCase):
    """Engines that are back before their router looks."""

    engine_class = QuickEngine

    # Guards against a new process that vouches for the one before: the
    # connection of the check was made after the response had ended.
    def test_stream_without_reports_is_not_whole(self):
        with mock.patch.object(QuickEngine, 'report', WITHOUT_REPORTS):
            for born in (0, test_endings.BORN):
                with self.subTest(born=born):
                    self._check_is_cut(born)

    def _check_is_cut(self, born):
        desk, (engine,) = self.make_desk(resumable=False, born=born)
        caller, is_whole = self.ask(desk)
        self.assertEqual(test_endings.CUT_AFTER - 1, self.count_pieces(caller))
        self.assertFalse(is_whole)

    # The same where the first attempt to connect was refused.
    def test_refused_connection_is_no_proof(self):
        real = directory.Target.connect
        calls = []

        def connect(target):
            calls.append(1)
            if len(calls) == 2:
                raise connections.Refused('connect: nothing listens')
            return real(target)

        with (
            mock.patch.object(QuickEngine, 'report', WITHOUT_REPORTS),
            mock.patch.object(directory.Target, 'connect', connect),
        ):
            desk, (engine,) = self.make_desk(resumable=False, born=0)
            _, is_whole = self.ask(desk)
        self.assertGreater(len(calls), 2)
        self.assertFalse(is_whole)


class DoubtedReplacedEngineTest(ReplacedEngineTest):
    """The same where the operator doubts that closed streams have ended."""

    doubts = True

    def test_stream_with_reports_is_not_whole(self):
        desk, (engine,) = self.make_desk(resumable=False)
        _, is_whole = self.ask(desk)
        self.assertFalse(is_whole)


class ClosedStreamTest(ReviewTestCase):
    """Streams that a living engine closes in the middle."""

    doubts = True

    # Guards against an engine that closes the connection, lives on and
    # doesn't work on the request any more (third column of the users' table).
    def test_stream_that_is_closed_early_is_not_whole(self):
        desk, (engine,) = self.make_desk(resumable=False)
        engine.cut_at = test_endings.CUT_AFTER
        engine.cut = lambda: None
        caller, is_whole = self.ask(desk)
        self.assertEqual(test_endings.CUT_AFTER - 1, self.count_pieces(caller))
        self.assertFalse(is_whole)


class OldEntryTest(ReviewTestCase):
    """Engines that started again before the router has their new entry."""

    # Guards against whole responses that are cut, and engines that are
    # ejected, for as long as the store is down: the process that sent the
    # response answers on a connection made while it was under way.
    def test_stream_of_a_new_process_is_whole(self):
        desk, (engine,) = self.make_desk(resumable=False)
        engine.born += 1
        caller, is_whole = self.ask(desk)
        self.assertEqual(test_endings.EVENT_COUNT, self.count_pieces(caller))
        self.assertTrue(is_whole)

    # The same for a stream that lasts until the check has its connection.
    def test_long_stream_of_a_new_process_is_whole(self):
        desk, (engine,) = self.make_desk(resumable=False)
        engine.born += 1
        engine.cut_at = test_endings.CUT_AFTER
        engine.cut = lambda: base.wait_until(engine.idle_socks)
        engine.goes_on = True
        _, is_whole = self.ask(desk)
        self.assertTrue(is_whole)


class BodyOfNewProcessTest(OldEntryTest):
    """The same for other responses."""

    kind = catalog.RequestKind.IDEMPOTENT
    content_type = b'text/plain'


class ResumedEndTest(ReviewTestCase):
    """Streams that are resumed after their last event."""

    LAST_EVENT_ID = (b'last-event-id', b'%d' % test_endings.EVENT_COUNT)

    # Guards against a resumed stream that has nothing left to send, and is
    # broken though a target says so.
    def test_rest_that_is_stated_to_be_empty_is_whole(self):
        desk, engines = self.make_desk(count=2, resumable=True)
        for engine in engines:
            engine.head = engine.head.replace(
                b'Content-Type', b'Content-Length: 0\r\nContent-Type'
            )
        caller = handlers.Caller()
        desk.request(caller, [self.LAST_EVENT_ID])
        self.assertEqual(200, caller.status)
        self.assertEqual(messages.LAST_CHUNK, caller.body)

    # Guards against one that is whole though no target says so (ORDER).
    def test_rest_that_ends_with_its_connection_is_not_whole(self):
        desk, _ = self.make_desk(count=2, resumable=True)
        caller, is_whole = self.ask(desk, pairs=[self.LAST_EVENT_ID])
        self.assertFalse(is_whole)
        self.assertNotIn(messages.LAST_CHUNK, caller.body)


class LastEngineTest(ReviewTestCase):
    """A whole resumable stream whose engine leaves right afterwards."""

    engine_class = LeavingEngine

    # Guards against the same where the router itself resumes it.
    def test_stream_is_whole_after_its_engine_left(self):
        desk, engines = self.make_desk(count=2, resumable=True)
        for engine in engines:
            engine._run = self._make_run(engine, engines)
        caller, is_whole = self.ask(desk)
        self.assertEqual(test_endings.EVENT_COUNT, self.count_pieces(caller))
        self.assertEqual(1, sum(engine.run_count for engine in engines))
        self.assertTrue(is_whole)

    def _make_run(self, engine, engines):
        def run(sock, head):
            base_run = test_endings.Engine._run
            base_run(engine, sock, head)
            if sum(other.run_count for other in engines) == 1:
                engine.kill()

        return run


class SlowReportTest(ReviewTestCase):
    """Engines that take long to answer a question."""

    engine_class = SilentEngine

    # Guards against whole responses that are cut since the connection of the
    # check is given up, though nothing closed it.
    def test_late_answer_is_waited_for(self):
        desk, _ = self.make_desk(resumable=False, born=0)
        _, is_whole = self.ask(desk)
        self.assertTrue(is_whole)


class FullEngineTest(ReviewTestCase):
    """Engines that take no more connections."""

    engine_class = FullEngine

    # Guards against whole responses that are cut though there is an idle
    # connection, older than the response, on which to ask.
    def test_idle_connection_serves(self):
        desk, (engine,) = self.make_desk(resumable=False, born=0)
        engine.report = WITHOUT_REPORTS
        target = desk.target_view.directory.get('i-0')
        for _ in range(2):
            target.release_connection(
                target.connect(), desk.clock.now(), 60_000
            )
        base.wait_until(lambda: len(engine._socks) == 2)
        _, is_whole = self.ask(desk)
        self.assertTrue(is_whole)


class BlamedRequestTest(ReviewTestCase):
    """Engines that leave as announced, right after their last response."""

    kind = catalog.RequestKind.IDEMPOTENT
    content_type = b'text/plain'
    engine_class = LeavingEngine

    # Guards against a request that counts as the cause of crashes because two
    # engines left, as announced, after they had sent their whole responses.
    def test_request_is_not_blamed_for_planned_ends(self):
        desk, engines = self.make_desk(count=2, max_attempts=1)
        for number, engine in enumerate(engines):
            engine.cut_at = test_endings.EVENT_COUNT
            engine.cut = lambda number=number: self._announce(desk, number)
            engine.goes_on = True
        self.ask(desk)
        self.ask(desk)
        self.assertEqual([1, 1], [engine.run_count for engine in engines])
        self.assertEqual(set(), desk.detector.list_culprits())

    def _announce(self, desk, number):
        known = desk.target_view.directory.get(f'i-{number}').entry
        entry = base.make_target_entry(
            known.id, known.port, born=known.born, leaving=True
        )
        desk.target_view.directory.put(entry, desk.clock.now())


class BlamedByHeaderTest(BlamedRequestTest):
    """The same where the engines announce it in an earlier response."""

    def _announce(self, desk, number):
        target = desk.target_view.directory.get(f'i-{number}')
        desk.target_view.directory.mark_leaving(target, desk.clock.now())


class ClearedRequestTest(ReviewTestCase):
    """Requests that are served between two crashes of engines."""

    kind = catalog.RequestKind.IDEMPOTENT
    content_type = b'text/plain'

    # Guards against a sound request that stays a suspect: that its whole
    # response had no length doesn't count as served, though it is proved.
    def test_whole_response_clears_a_request(self):
        desk, engines = self.make_desk(count=3, max_attempts=1)
        self.kill_first(engines)
        self.assertEqual(502, self.ask(desk)[0].status)
        self.assertTrue(self.ask(desk)[1])
        self.kill_first([engine for engine in engines if engine._socks])
        for engine in engines:
            engine.cut_at = test_endings.CUT_AFTER
        self.assertEqual(502, self.ask(desk)[0].status)
        self.assertEqual(2, desk.journal.events().count('target.crashed'))
        self.assertEqual(set(), desk.detector.list_culprits())


class EndedCheckTest(ReviewTestCase):
    """Checks that end early."""

    engine_class = SilentEngine

    def make_short_desk(self):
        """Return a desk whose requests may take 400 ms, and its engine."""
        engine = self.engine_class(self.content_type)
        self.addCleanup(engine.close)
        desk = handlers.Desk(
            {},
            self.kind,
            timeout_ms=400,
            store=fakes.FakeStore(),
            resumable=False,
        )
        desk.target_view.directory.put(
            base.make_target_entry('i-0', engine.port), desk.clock.now()
        )
        desk.record_versions()
        return desk, engine

    def ask_for_more(self, desk):
        """Make a request that allows more output than comes."""
        return self.ask(desk, usage=test_endings.MORE_USAGE)

    # Guards against a check that lasts beyond the deadline, or leaves its
    # connection behind.
    def test_deadline_ends_the_check(self):
        desk, engine = self.make_short_desk()
        started_at = desk.clock.now()
        self.assertFalse(self.ask_for_more(desk)[1])
        self.assertLess(desk.clock.now() - started_at, 700)
        self._check_nothing_is_left(desk, engine)

    # The same for a caller that leaves.
    def test_disconnect_ends_the_check(self):
        desk, engine = self.make_short_desk()
        task = gevent.spawn(self.ask_for_more, desk)
        base.wait_until(lambda: engine.report_count)
        task.kill(caller_connections.CallerDisconnected('gone'))
        self.assertFalse(task.value[1])
        self._check_nothing_is_left(desk, engine)

    # The same for a process that ends.
    def test_shutdown_ends_the_check(self):
        desk, engine = self.make_short_desk()
        task = gevent.spawn(self.ask_for_more, desk)
        base.wait_until(lambda: engine.report_count)
        desk.handler.abandon_open_requests()
        task.join(0.1)
        self.assertFalse(task.value[1])
        self._check_nothing_is_left(desk, engine)

    # Guards against a connection that is kept for a target that was removed.
    def test_removed_target_keeps_no_connection(self):
        desk, engine = self.make_short_desk()
        engine._send_report = self._report_soon(engine)
        target = desk.target_view.directory.get('i-0')
        task = gevent.spawn(self.ask_for_more, desk)
        base.wait_until(lambda: engine.report_count)
        desk.target_view.directory.remove('i-0', desk.clock.now())
        task.join()
        self.assertTrue(task.value[1])
        self.assertEqual([], target._idle)

    def _report_soon(self, engine):
        def send_report(sock):
            engine.report_count += 1
            gevent.sleep(0.05)
            sock.sendall(WITHOUT_REPORTS)

        return send_report

    def _check_nothing_is_left(self, desk, engine):
        base.settle()
        target = desk.target_view.directory.get('i-0')
        self.assertEqual([], target._idle)
        for sock in engine.idle_socks():
            with self.assertRaises(OSError):
                # A socket whose other end was closed says so at once.
                gevent.sleep(1)
                sock.sendall(b'x')
                gevent.sleep(0.01)
                sock.sendall(b'x')


class LeftListenerTest(ReviewTestCase):
    """Engines that stop listening and go on with what they have."""

    # Guards against whole responses that are cut because nobody listens.
    def test_open_connection_is_asked(self):
        for options in ({'born': 0}, {}):
            desk, (engine,) = self.make_desk(resumable=False, **options)
            engine.cut_at = 1 + test_endings.CUT_AFTER
            engine.cut = lambda engine=engine: self._stop_listening(engine)
            engine.goes_on = True
            self.assertTrue(self.ask(desk)[1])

    def _stop_listening(self, engine):
        base.wait_until(lambda: len(engine._socks) == 2)
        engine._task.kill()
        engine._listener.close()


class OldCallerTest(unittest.TestCase):
    """Callers that speak HTTP/1.0, which has no chunks."""

    # Guards against a stream that was cut and yet looks whole to a caller for
    # which the end of the connection is the end of the response.
    def test_cut_stream_is_reset(self):
        desk = handlers.Desk(
            {'i-1': self._cut}, catalog.RequestKind.STREAM, resumable=False
        )
        self.addCleanup(desk.close)
        local, remote = base.make_tcp_pair(self)
        caller = caller_connections.CallerConnection(
            local, desk.clock, catalog.Limits
        )
        remote.sendall(
            b'POST /a/x HTTP/1.0\r\nHost: desk\r\nX-Request-Id: 9c41\r\n'
            b'Content-Length: 0\r\n\r\n'
        )
        req = caller.next_request()
        with self.assertRaises(caller_connections.CallerDisconnected):
            desk.handler.handle(req, caller)
        caller.close()
        data = b''
        with self.assertRaises(ConnectionResetError):
            while piece := remote.recv(65_536):
                data += piece
        self.assertNotIn(b'chunked', data)

    # The same: a whole one ends with the connection, and without a reset.
    def test_whole_stream_is_closed(self):
        desk = handlers.Desk(
            {'i-1': self._end}, catalog.RequestKind.STREAM, resumable=False
        )
        self.addCleanup(desk.close)
        local, remote = base.make_tcp_pair(self)
        caller = caller_connections.CallerConnection(
            local, desk.clock, catalog.Limits
        )
        remote.sendall(
            b'POST /a/x HTTP/1.0\r\nHost: desk\r\nX-Request-Id: 9c41\r\n'
            b'Connection: keep-alive\r\nContent-Length: 0\r\n\r\n'
        )
        desk.handler.handle(caller.next_request(), caller)
        self.assertFalse(caller.keep_alive)
        caller.close()
        data = b''
        while piece := remote.recv(65_536):
            data += piece
        head, _, body = data.partition(b'\r\n\r\n')
        self.assertNotIn(b'chunked', head)
        self.assertIn(b'Connection: close', head)
        self.assertEqual(test_endings.encode_event(1), body)

    def _end(self, remote, number):
        event = test_endings.encode_event(1)
        head = test_endings.HEAD % (handlers.REQUEST_ID, b'text/event-stream')
        length = b'\r\nContent-Length: %d\r\n\r\n' % len(event)
        remote.sendall(head.replace(b'\r\n\r\n', length) + event)

    def _cut(self, remote, number):
        remote.sendall(
            b'HTTP/1.1 200 -\r\nX-Request-Id: 9c41\r\nX-Response-Stamp: s\r\n'
            b'Content-Type: text/event-stream\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
            + messages.encode_chunk(test_endings.encode_event(1))
        )
        remote.shutdown(socket.SHUT_RDWR)


class CopiedReportTest(ReviewTestCase):
    """Engines that send the answer to a question twice."""

    # Guards against a copy of a report, which has no id, that is taken for
    # the response to the next request on the connection of the check.
    def test_copy_is_not_the_next_response(self):
        desk, (engine,) = self.make_desk(resumable=False)
        run = engine._run
        send_report = engine._send_report
        reported = []

        def send_report_once(sock):
            reported.append(sock)
            send_report(sock)

        def run_late(sock, head):
            if sock in reported:
                sock.sendall(test_endings.encode_report(b'{"born":1000}'))
            run(sock, head)

        engine._send_report = send_report_once
        engine._run = run_late
        self.assertTrue(self.ask(desk)[1])
        self.assertTrue(self.ask(desk)[1])
