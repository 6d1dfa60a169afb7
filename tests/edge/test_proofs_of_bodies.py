"""Ends that only the target's word proves: of bodies, of streams by choice.

Starts of processes are times of a clock here, as those of real ones.
"""

import time
from unittest import mock

import gevent
from gevent import socket

from galenaspoke.core import catalog
from galenaspoke.edge.targets import end_checks
from tests.edge import base
from tests.edge import test_delayed_ends
from tests.edge import test_end_proofs
from tests.edge import test_endings
from tests.edge import test_endings_review

AGE_MS = 60_000
# How long a body is under way for which the target is asked early.
LONG_S = end_checks.EARLY_QUESTION_MS / 1_000 + 0.2
RESTART_S = end_checks.MIN_RESTART_MS / 1_000


def get_wall_ms():
    """Return the time in ms since 1970."""
    return int(1_000 * time.time())


class TimedEngine(test_endings.Engine):
    """An engine whose process that takes its place says when it started."""

    def restart(self):
        """Be killed, and back at once."""
        super().restart()
        self.born = get_wall_ms()


class TimedQuickEngine(test_endings_review.QuickEngine):
    """The same, back while its router stands still."""

    def _run(self, sock, head):
        real_stall, base.stall = base.stall, self._stall
        try:
            super()._run(sock, head)
        finally:
            base.stall = real_stall
        self._real_stall(test_endings_review.PAUSE_S)

    _real_stall = staticmethod(base.stall)

    def _stall(self, seconds):
        self.born = get_wall_ms()


class TimedTestCase(test_endings_review.ReviewTestCase):
    """A base class for bodies that may not be had elsewhere."""

    kind = catalog.RequestKind.ONCE
    content_type = b'text/plain'
    engine_class = TimedEngine

    def make_desk(self, count=1, born=None, **options):
        """Return a handler, and engines that have run for a minute."""
        if born is None:
            born = get_wall_ms() - AGE_MS
        return super().make_desk(count, born, **options)

    def check_is_cut(self, desk, engine):
        """Check that a response is not whole whose engine is restarted."""
        engine.cut_at = test_endings.CUT_AFTER
        engine.cut = engine.restart
        self.assertFalse(self.ask(desk)[1])


class RestartedEngineTest(TimedTestCase):
    """Engines that are back at once."""

    # Guards against a new process that proves the end of a response of the one
    # before.
    def test_response_is_not_whole(self):
        for born in (None, 0):
            desk, (engine,) = self.make_desk(born=born)
            self.check_is_cut(desk, engine)

    # The same where the entry of the new process comes before its answer.
    def test_entry_comes_first(self):
        desk, (engine,) = self.make_desk()
        engine.cut_at = test_endings.CUT_AFTER
        engine.cut = lambda: self._restart(desk, engine)
        self.assertFalse(self.ask(desk)[1])

    def _restart(self, desk, engine):
        engine.restart()
        entry = base.make_target_entry('i-0', engine.port, born=engine.born)
        desk.target_view.directory.put(entry, desk.clock.now())

    # Guards against whole responses that are cut since the entry is older than
    # the process.
    def test_older_entry(self):
        desk, (engine,) = self.make_desk()
        engine.born = get_wall_ms() - AGE_MS // 2
        self.assertTrue(self.ask(desk)[1])


class RestartedStreamTest(RestartedEngineTest):
    """The same for streams whose closing the operator trusts."""

    kind = catalog.RequestKind.STREAM
    content_type = b'text/event-stream'

    def make_desk(self, count=1, born=None, **options):
        """Return a handler that accepts closed streams, and its engines."""
        return super().make_desk(
            count,
            born,
            resumable=False,
            settings={'accept_closed_streams': True},
            **options,
        )


class QuickRestartTest(TimedTestCase):
    """Engines that are back while their router stands still."""

    engine_class = TimedQuickEngine

    def test_response_is_not_whole(self):
        for report in (None, test_endings.UNSUPPORTED):
            desk, (engine,) = self.make_desk()
            engine.report = report
            self.assertFalse(self.ask(desk)[1])


class CutReportEngine(TimedEngine):
    """An engine whose reports have no length, and end before their runs."""

    def _send_report(self, sock):
        self.report_count += 1
        sock.sendall(b'HTTP/1.1 200 -\r\n\r\n{"born":%d,"Ru' % self.born)
        sock.shutdown(socket.SHUT_RDWR)


class CutReportTest(TimedTestCase):
    """Reports that don't say where they end."""

    engine_class = CutReportEngine

    # Guards against a report that was cut, and passes for one that lists no
    # run of the request.
    def test_response_is_not_whole(self):
        desk, (engine,) = self.make_desk()
        engine.cut_at = test_endings.CUT_AFTER
        engine.cut = lambda: None
        self.assertFalse(self.ask(desk)[1])


class QueueTest(TimedTestCase):
    """An early connection that leads to the next process."""

    engine_class = test_end_proofs.QueueingGateway

    # Guards against an early connection that has not reached the process.
    def test_body_is_not_whole(self):
        desk, (engine,) = self.make_desk(born=0)
        engine.cut_at = test_endings.CUT_AFTER
        engine.cut = engine.replace
        self.assertFalse(self.ask(desk)[1])


class HandoverTest(TimedTestCase):
    """An address that leads to the process before when the entry is new."""

    # Guards against a known process that proves the end of a response of the
    # one before.
    def test_body_is_not_whole(self):
        desk, (engine,) = self.make_desk()
        engine.born -= 1
        engine.cut_at = test_endings.CUT_AFTER
        engine.cut = lambda: test_endings.Engine.restart(engine)
        self.assertFalse(self.ask(desk)[1])


class SteppedClockTest(TimedTestCase):
    """Wall clocks of which one is 8 s ahead and the other 8 s behind."""

    # Guards against a new process that passes for one from before.
    def test_body_is_not_whole(self):
        class BehindEngine(test_delayed_ends.ReplacedEngine):
            """Its clock is 8 s behind."""

            AGE_MS = 8_000

        self.engine_class = BehindEngine
        desk, _ = self.make_desk()
        checker = desk.handler.end_checker
        checker._clock = test_end_proofs.SteppedClock()
        self.assertFalse(self.ask(desk)[1])


class LongBodyTest(TimedTestCase):
    """Bodies that take so long that their target is asked early."""

    def make_long_desk(self, pause, **options):
        """Return a handler and an engine that calls `pause` in the middle."""
        desk, (engine,) = self.make_desk(**options)
        engine.cut_at = test_endings.CUT_AFTER
        engine.cut = lambda: pause(engine)
        engine.goes_on = True
        return desk, engine

    # A question is priced, and two are enough.
    def test_engine_is_asked_twice(self):
        for born in (None, 0):
            desk, engine = self.make_long_desk(self._wait_long, born=born)
            self.assertTrue(self.ask(desk)[1])
            self.assertEqual(2, engine.report_count)
            self.assertEqual(2, len(engine._socks))

    # Guards against whole bodies of engines without reports that are cut
    # since nothing but the early connection tells their process.
    def test_engine_without_reports(self):
        desk, engine = self.make_long_desk(self._wait_long, born=0)
        engine.report = test_endings.UNSUPPORTED
        self.assertTrue(self.ask(desk)[1])
        self.assertEqual(2, engine.report_count)

    # Guards against whole bodies that are cut since the entry is older than
    # a young process, and the early connection was closed.
    def test_young_process_that_closes_its_connections(self):
        desk, engine = self.make_long_desk(self._close_idle)
        engine.born = get_wall_ms() - 3_000
        self.assertTrue(self.ask(desk)[1])

    # Guards against a process that is known by the entry alone and proves the
    # end of a response of the one before.
    def test_process_of_the_entry_takes_the_address(self):
        desk, engine = self.make_long_desk(self._hand_over)
        engine.born -= 1
        engine.goes_on = False
        self.assertFalse(self.ask(desk)[1])
        self.assertGreater(engine.report_count, 1)

    # Guards against a copy of the early answer that passes for the last one.
    def test_copy_of_the_early_answer_is_no_answer(self):
        desk, engine = self.make_long_desk(self._copy_and_end, born=0)
        engine.report = test_endings.UNSUPPORTED
        engine.goes_on = False
        self.assertFalse(self.ask(desk)[1])

    # Guards against whole bodies that wait for an early answer.
    def test_early_question_without_an_answer(self):
        desk, engine = self.make_long_desk(self._wait_long)
        send_report = engine._send_report

        def send_second_report(sock):
            if engine.report_count:
                send_report(sock)
            else:
                engine.report_count += 1
                gevent.sleep(10)

        with mock.patch.object(engine, '_send_report', send_second_report):
            began_at = time.monotonic()
            self.assertTrue(self.ask(desk)[1])
            self.assertLess(time.monotonic() - began_at, LONG_S + 1)

    def _wait_long(self, engine):
        gevent.sleep(LONG_S)

    def _close_idle(self, engine):
        gevent.sleep(RESTART_S + 0.2)
        for sock in engine.idle_socks():
            sock.shutdown(socket.SHUT_RDWR)

    def _hand_over(self, engine):
        self._wait_long(engine)
        test_endings.Engine.restart(engine)

    def _copy_and_end(self, engine):
        gevent.sleep(RESTART_S + 0.2)
        for sock in engine.idle_socks():
            sock.sendall(engine.report)
        test_endings.Engine.restart(engine)
