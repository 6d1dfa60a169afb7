"""Whole responses that are refused or cut since something isn't shown.

Beside each test stands, or is named, the one that a response that was cut is
not told whole.
"""

import functools
import itertools
from unittest import mock

import gevent
from gevent import socket

from galenaspoke.core import catalog
from galenaspoke.edge.serving import request_handler
from galenaspoke.edge.targets import directory
from galenaspoke.edge.targets import end_checks
from galenaspoke.http import connections
from galenaspoke.http import messages
from tests.edge import base
from tests.edge import handlers
from tests.edge import test_endings
from tests.edge import test_entries_of_ends
from tests.edge import test_proofs_of_bodies

BODY_HEAD = (
    b'HTTP/1.1 200 -\r\nX-Request-Id: %s\r\nX-Response-Stamp: s\r\n'
    b'Keep-Alive: timeout=10\r\nContent-Length: 2\r\n\r\nok'
)
CHUNKED_HEAD = test_endings.HEAD.replace(
    b'Content-Type', b'Transfer-Encoding: chunked\r\nContent-Type'
)
BUSY_HEAD = (
    b'HTTP/1.1 503 -\r\nX-Request-Id: %s\r\nX-Not-Run: 1\r\n'
    b'Content-Length: 0\r\n\r\n'
)
# How many requests are sent at once, so that as many connections are kept.
KEPT_COUNT = 2
RESET_AT_CLOSE = b'\1\0\0\0\0\0\0\0'
PAUSE_S = 0.02
# How long a body takes in which several questions are asked.
LONGER_S = 1.5
# How long targets of streams may be silent here, and how long one is.
SILENCE_MS = 100
SILENT_S = 0.4
# For how long responses may be unread here.
UNREAD_MS = 150


class KeepingEngine(test_proofs_of_bodies.TimedEngine):
    """An engine without reports that keeps the connections of its answers.

    Its first responses state a length, and come once they are all asked for.
    """

    report = test_endings.UNSUPPORTED

    def __init__(self, *args):
        super().__init__(*args)
        self.keeps = True

    def _serve(self, sock):
        try:
            while head := sock.recv(65_536):
                if head.startswith(b'GET /report '):
                    self._send_report(sock)
                elif self.keeps:
                    gevent.sleep(PAUSE_S)
                    sock.sendall(BODY_HEAD % handlers.REQUEST_ID)
                else:
                    self.run_count += 1
                    self._run(sock, head)
                    break
        except OSError:
            pass
        finally:
            sock.close()


class KeptConnectionTest(test_entries_of_ends.EntryTestCase):
    """Bodies that come at once, while the store is away."""

    engine_class = KeepingEngine

    def setUp(self):
        super().setUp()
        self.engine.cut_at = None
        tasks = [
            gevent.spawn(self.desk.request, handlers.Caller())
            for _ in range(KEPT_COUNT)
        ]
        gevent.joinall(tasks, raise_error=True)
        self.target = self.desk.target_view.directory.get('i-0')
        self.assertEqual(KEPT_COUNT, len(self.target._idle))
        # The clock's times are whole ms.
        gevent.sleep(PAUSE_S)
        self.engine.keeps = False
        self.store.down = True

    # Guards against whole bodies that are cut off since the store can't be
    # asked, though their process answers on a connection that is older.
    def test_body_is_whole(self):
        caller, is_whole = self.ask(self.desk)
        self.assertTrue(is_whole)
        self.assertEqual(test_endings.EVENT_COUNT, self.count_pieces(caller))
        self.assertEqual(1, self.engine.report_count)

    # Guards against a new process that proves the end of a body of the one
    # before, whose kept connections ended with it.
    def test_body_of_a_replaced_engine_is_not_whole(self):
        self.engine.cut_at = test_endings.CUT_AFTER
        self.engine.cut = self.engine.restart
        self.assertFalse(self.ask(self.desk)[1])
        self.assertGreater(self.engine.report_count, 0)

    # The same where the new process has answered on a connection since.
    def test_connection_that_was_made_since_is_no_proof(self):
        self._close_kept()
        self.engine.cut_at = test_endings.CUT_AFTER
        self.engine.cut = self._replace_and_keep
        self.connect = self.target.connect
        error = connections.NotSent('connect: timed out')
        # Of the connections of its own only that of the request is made.
        results = itertools.chain([self.connect()], itertools.repeat(error))
        with mock.patch.object(
            directory.Target, 'connect', side_effect=results
        ):
            self.assertFalse(self.ask(self.desk)[1])
        self.assertEqual(2, self.engine.report_count)

    # The same where nothing has answered on the kept connection: a gateway may
    # keep it until another process is there.
    def test_connection_without_an_answer_is_no_proof(self):
        for conn in self.target._idle:
            conn.request_count = 0
        self.assertFalse(self.ask(self.desk)[1])

    # Guards against a late response on the kept connection that passes for an
    # answer of the process that has ended.
    def test_late_response_is_no_proof(self):
        self.engine.cut_at = test_endings.CUT_AFTER
        self.engine.cut = self._answer_and_restart
        self.assertFalse(self.ask(self.desk)[1])

    def _close_kept(self):
        for conn in self.target._idle:
            conn.close()
        self.target._idle = []
        socks = self.engine._socks
        base.wait_until(lambda: all(sock.closed for sock in socks))
        self.engine._socks = []

    def _replace_and_keep(self):
        self.engine.restart()
        conn = self.connect()
        conn.send(b'GET /report HTTP/1.1\r\n\r\n')
        conn.read_response()
        self.target.release_connection(conn, self.desk.clock.now(), 10_000)

    def _answer_and_restart(self):
        gevent.sleep(PAUSE_S)
        for sock in self.engine._socks:
            if not sock.closed and sock not in self.engine._busy:
                sock.sendall(test_endings.UNSUPPORTED)
        self.engine.restart()


class UnreachedEngineTest(test_proofs_of_bodies.TimedTestCase):
    """Engines to which a connection isn't made in time, once."""

    def ask_unreached(self, desk, error, count):
        """Return whether a response is whole whose check gets an error.

        The first `count` connections after that of the request fail.
        """
        real = directory.Target.connect
        calls = []

        def connect(target):
            calls.append(1)
            if 1 < len(calls) <= 1 + count:
                raise error('connect: timed out')
            return real(target)

        with mock.patch.object(directory.Target, 'connect', connect):
            is_whole = self.ask(desk)[1]
        self.assertGreater(len(calls), 2)
        return is_whole

    # Guards against whole bodies that are cut off, as those of a crashed
    # engine, since a connection could not be made in time.  Beside it:
    # test_endings.CutBodyTest.test_body_of_a_killed_engine_is_not_whole.
    def test_body_is_whole(self):
        for born in (None, 0):
            desk, _ = self.make_desk(born=born)
            error = connections.NotSent
            self.assertTrue(self.ask_unreached(desk, error, 2))
            self.assertNotIn('target.crashed', desk.journal.events())

    # Guards against a new process that proves the end of a body of the one
    # before, once it is reached.
    def test_body_of_a_replaced_engine_is_not_whole(self):
        desk, (engine,) = self.make_desk()
        engine.cut_at = test_endings.CUT_AFTER
        engine.cut = engine.restart
        self.assertFalse(self.ask_unreached(desk, connections.NotSent, 2))

    # Guards against a refusal that doesn't count as a crash any more.
    def test_refused_connection_ends_the_check(self):
        desk, (engine,) = self.make_desk()
        error = connections.Refused
        self.assertFalse(self.ask_unreached(desk, error, 2))
        self.assertEqual(0, engine.report_count)


class LostQuestionTest(test_proofs_of_bodies.TimedTestCase):
    """Long bodies whose early question is lost, as at a full engine."""

    make_long_desk = test_proofs_of_bodies.LongBodyTest.make_long_desk

    def make_lossy_desk(self, pause):
        """Return a desk, and its engine, which resets the first question."""
        desk, engine = self.make_long_desk(pause)
        engine.report = test_endings.UNSUPPORTED
        engine._send_report = functools.partial(
            self._reset_first, engine, engine._send_report
        )
        return desk, engine

    def _reset_first(self, engine, send_report, sock):
        if engine.report_count:
            send_report(sock)
            return
        engine.report_count += 1
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        sock.close()

    # Guards against whole bodies that are cut off since one early question
    # had no answer, though there was time for another.
    def test_body_is_whole(self):
        desk, engine = self.make_lossy_desk(self._wait_longer)
        self._write_entry(desk, engine.born)
        self.assertTrue(self.ask(desk)[1])
        self.assertEqual(3, engine.report_count)

    # Guards against a new process that proves the end of a body of the one
    # before, since it has answered a later question.
    def test_body_of_a_replaced_engine_is_not_whole(self):
        desk, engine = self.make_lossy_desk(self._wait_and_restart)
        engine.goes_on = False
        self._write_entry(desk, engine.born)
        self.assertFalse(self.ask(desk)[1])
        self.assertGreater(engine.report_count, 2)

    # The same where the end of the response's connection comes late.
    def test_end_that_comes_late(self):
        desk, engine = self.make_lossy_desk(self._wait_longer)
        self._write_entry(desk, engine.born + 1)
        self.assertFalse(self.ask(desk)[1])
        self.assertGreater(engine.report_count, 2)

    # Guards against whole bodies that need the store though the first
    # question was answered, and its connection was lost only after that.
    def test_answer_to_the_first_question_needs_no_store(self):
        close_idle = test_proofs_of_bodies.LongBodyTest._close_idle
        desk, engine = self.make_long_desk(
            lambda engine: close_idle(self, engine)
        )
        engine.born = test_proofs_of_bodies.get_wall_ms() - 3_000
        desk.target_view.entry_reader._store.down = True
        self.assertTrue(self.ask(desk)[1])

    def _write_entry(self, desk, born):
        store = desk.target_view.entry_reader._store
        value = test_entries_of_ends.encode_entry(born)
        store.put(test_entries_of_ends.KEY, 0, value)

    def _wait_longer(self, engine):
        gevent.sleep(LONGER_S)

    def _wait_and_restart(self, engine):
        self._wait_longer(engine)
        engine._socks = [sock for sock in engine._socks if not sock.closed]
        test_endings.Engine.restart(engine)


class ChunkingEngine(test_endings.Engine):
    """An engine whose streams are chunked, or that is full.

    It calls `cut` once, unless it `stays`.  One that `closes` sends its first
    run without a length, and ends it there.
    """

    is_busy = False
    stays = False
    closes = False

    def _run(self, sock, head):
        if self.is_busy:
            sock.sendall(BUSY_HEAD % handlers.REQUEST_ID)
            return
        if self.closes:
            self.closes = False
            super()._run(sock, head)
            return
        sock.sendall(CHUNKED_HEAD % (handlers.REQUEST_ID, self.content_type))
        asked = head.lower().partition(b'last-event-id: ')[2]
        first = int(asked.split(b'\r\n')[0]) + 1 if asked else 1
        for number in range(first, test_endings.EVENT_COUNT + 1):
            if number == self.cut_at:
                self.cut_at = self.cut_at if self.stays else None
                self.cut()
            event = test_endings.encode_event(number)
            sock.sendall(messages.encode_chunk(event))
        sock.sendall(messages.LAST_CHUNK)


class FullFleetTest(test_endings.EndingTestCase):
    """Streams that break at an engine that lives while the other is full."""

    def setUp(self):
        for owner, name, value in (
            (request_handler, 'STREAM_READ_TIMEOUT_MS', SILENCE_MS),
            (request_handler, 'STREAM_READ_TIMEOUT_GAPS', 0),
            (test_endings, 'Engine', ChunkingEngine),
        ):
            patch = mock.patch.object(owner, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        self.desk, self.engines = self.make_desk(2, max_attempts=3)

    def check_whole(self, cut):
        """Check that a stream is whole whose first engine calls `cut`."""
        self.cut_first(cut)
        caller, is_whole = self.ask(self.desk)
        self.assertEqual(test_endings.EVENT_COUNT, self.count_pieces(caller))
        self.assertTrue(is_whole)

    def cut_first(self, cut):
        """Let the engine that is asked first call `cut`; fill the other."""

        def fill_and_cut(first):
            for engine in self.engines:
                engine.is_busy = engine is not first
            cut(first)

        for engine in self.engines:
            engine.cut_at = test_endings.CUT_AFTER
            engine.cut = functools.partial(fill_and_cut, engine)

    # Guards against a stream that is broken off since its engine is silent
    # and the other one full (LOST: "An engine's silence is no reason to end an
    # answer sooner").
    def test_silent_engine(self):
        self.check_whole(lambda engine: gevent.sleep(SILENT_S))

    # Guards against a stream that is broken off since its engine has closed it
    # and the other one is full, though the first one would go on with it.
    def test_engine_that_closes_early(self):
        for engine in self.engines:
            engine.closes = True
        self.check_whole(self._forget_cut)

    # The other way: a stream whose engine never goes on is not whole.
    def test_engine_that_stays_silent(self):
        self.cut_first(lambda engine: gevent.sleep(10))
        for engine in self.engines:
            engine.stays = True
        self.assertFalse(self.ask(self.desk)[1])

    # The same where the engine is killed.
    def test_killed_engine(self):
        self.cut_first(lambda engine: engine.kill())
        self.assertFalse(self.ask(self.desk)[1])

    def _forget_cut(self, engine):
        engine.cut_at = None


class AllOutputTest(test_endings.EndingTestCase):
    """Streams of which all output has come that their requests allow.

    What became of their engine says nothing of them.
    """

    # Guards against a whole stream that is broken off since its engine leaves
    # after it.  Beside it: test_endings.KilledStreamTest.
    def test_engine_that_ends_after_the_last_event(self):
        self.check_whole(lambda engine: engine.kill())

    # Guards against one that is broken off since its caller reads slowly.
    # Beside it: test_endings.UnreadStreamTest.test_caller_that_reads_slowly.
    def test_caller_that_reads_slowly(self):
        with mock.patch.object(end_checks, 'MAX_UNREAD_MS', UNREAD_MS):
            self.check_whole(lambda engine: None, SlowCaller())

    def check_whole(self, cut, caller=None):
        """Check that a stream is whole after whose last event is a `cut`."""
        desk, (engine,) = self.make_desk(resumable=False)
        engine.cut_at = test_endings.EVENT_COUNT + 1
        engine.cut = functools.partial(cut, engine)
        caller, is_whole = self.ask(desk, caller)
        self.assertEqual(test_endings.EVENT_COUNT, self.count_pieces(caller))
        self.assertTrue(is_whole)


class SlowCaller(handlers.Caller):
    """A caller that takes its time to read the first events."""

    def send(self, data):
        """Record bytes, the first ones late."""
        if not self.body:
            gevent.sleep(2 * UNREAD_MS / 1000)
        super().send(data)


class AcceptedBodyTest(test_endings.EndingTestCase):
    """Responses on routes of streams that are none, without a length."""

    kind = catalog.RequestKind.STREAM
    content_type = b'application/json'

    # Guards against whole responses that are refused though the operator says
    # that targets close none early.
    def test_response_is_whole(self):
        settings = {'accept_closed_streams': True}
        desk, _ = self.make_desk(resumable=False, settings=settings)
        self.assertTrue(self.ask(desk)[1])

    # The other way: nothing says that it wasn't closed early.
    def test_response_that_may_be_cut_is_not_whole(self):
        settings = {'doubt_closed_streams': True}
        desk, _ = self.make_desk(resumable=False, settings=settings)
        self.assertFalse(self.ask(desk)[1])

    # Guards against whole ones that are refused though nothing speaks against
    # them.
    def test_response_that_nothing_speaks_against_is_whole(self):
        desk, _ = self.make_desk(resumable=False)
        self.assertTrue(self.ask(desk)[1])

    def test_response_of_a_killed_engine_is_not_whole(self):
        settings = {'accept_closed_streams': True}
        desk, (engine,) = self.make_desk(resumable=False, settings=settings)
        engine.cut_at = test_endings.CUT_AFTER
        self.assertFalse(self.ask(desk)[1])
