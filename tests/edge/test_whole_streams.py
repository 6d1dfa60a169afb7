"""Whole streams without a length, of engines that live, and cut ones beside.

Such a stream ends with its connection, as the platform's rules allow.  That
nothing proves that the end is the end doesn't show that the stream was cut.
"""

import functools
from unittest import mock

import gevent

from galenaspoke.edge.serving import second_runs
from galenaspoke.edge.serving import stream_ends
from galenaspoke.http import messages
from tests.edge import base
from tests.edge import handlers
from tests.edge import test_closed_review
from tests.edge import test_endings

# More output than the engines send.
MORE_USAGE = test_closed_review.MORE_USAGE
OTHER_RUN = b'other'
# Longer than it takes until an engine is asked while a stream is under way.
EVENT_PAUSE_S = 0.01
# Shorter than the usual, for tests that wait for it.
LEAVING_MS = 200
CHECK_TIMEOUT_MS = 100


class WholeStreamTestCase(test_endings.EndingTestCase):
    """A base class whose engines send whole streams of some duration."""

    def setUp(self):
        self.patch(stream_ends, 'LEAVING_MS', LEAVING_MS)
        self.patch(stream_ends, 'ASK_INTERVAL_MS', LEAVING_MS / 4)
        self.patch(second_runs, 'TIMEOUT_MS', CHECK_TIMEOUT_MS)

    def patch(self, module, name, value):
        """Replace a constant until the test ends."""
        patcher = mock.patch.object(module, name, value)
        patcher.start()
        self.addCleanup(patcher.stop)

    def make_slow_desk(self, count=1, **options):
        """Return a handler, and engines that pause between events."""
        desk, engines = self.make_desk(count, **options)
        for engine in engines:
            test_closed_review.replace_run(engine, run_slowly)
        return desk, engines

    def check_is_whole(self, desk, **options):
        """Check that a caller gets all pieces and their end."""
        caller, is_whole = self.ask(desk, usage=MORE_USAGE, **options)
        self.assertEqual(test_endings.EVENT_COUNT, self.count_pieces(caller))
        self.assertTrue(is_whole)
        self.assertTrue(caller.body.endswith(messages.LAST_CHUNK))

    def check_is_broken(self, desk, **options):
        """Check that a caller gets no end; return how many pieces it got."""
        caller, is_whole = self.ask(desk, usage=MORE_USAGE, **options)
        self.assertFalse(is_whole)
        self.assertNotIn(messages.LAST_CHUNK, caller.body)
        return self.count_pieces(caller)


def run_slowly(engine, run, sock, head):
    """Answer a request with a pause before each event."""
    run(SlowSocket(sock), head)


class SlowSocket:
    """A socket that pauses before each write."""

    def __init__(self, sock):
        self._sock = sock

    def sendall(self, data):
        """Send data after a pause."""
        gevent.sleep(EVENT_PAUSE_S)
        self._sock.sendall(data)

    def __getattr__(self, name):
        return getattr(self._sock, name)


def kill(engine):
    """End an engine of which some connections are closed already."""
    engine._socks = [sock for sock in engine._socks if sock.fileno() >= 0]
    engine.kill()


def close_early(engines, times=1):
    """Let engines close their streams in the middle, and live.

    They do so `times` times in all.
    """
    left = [times]

    def close():
        left[0] -= 1
        if not left[0]:
            for engine in engines:
                engine.cut_at = None

    for engine in engines:
        engine.cut_at = test_endings.CUT_AFTER
        engine.cut = close


class LivingEngineTest(WholeStreamTestCase):
    """Streams of engines that live on and say nothing of an end."""

    # Guards against a whole stream that is told broken, since its engine
    # states no length and nothing proves that it has ended (LOST).
    def test_stream_that_may_not_be_resumed(self):
        for make in (self.make_desk, self.make_slow_desk):
            desk, (engine,) = make(resumable=False)
            self.check_is_whole(desk)
            self.assertEqual(1, engine.run_count)
            self.assertIn('ends.proved.undoubted', desk.journal.events())

    # The same where another engine is asked whether it goes on, and closes
    # the stream at once.
    def test_stream_that_may_be_resumed(self):
        for make in (self.make_desk, self.make_slow_desk):
            desk, engines = make(2)
            self.check_is_whole(desk)
            self.assertEqual([1, 1], [each.run_count for each in engines])
            self.assertIn('ends.proved.checked', desk.journal.events())

    def test_only_engine(self):
        desk, _ = self.make_desk()
        self.check_is_whole(desk)

    def test_engine_without_reports(self):
        for resumable in (False, True):
            desk, engines = self.make_desk(2, resumable=resumable)
            for engine in engines:
                engine.report = test_endings.UNSUPPORTED
            self.check_is_whole(desk)

    def test_empty_retry_budget(self):
        desk, _ = self.make_desk(
            2, settings={'retry_slack': 0, 'retry_ratio': 0.0}
        )
        self.check_is_whole(desk)

    def test_route_with_one_attempt(self):
        desk, engines = self.make_desk(2, max_attempts=1)
        self.check_is_whole(desk)
        self.assertEqual(1, sum(engine.run_count for engine in engines))

    # Guards against streams that cost a second run each.
    def test_few_streams_are_checked(self):
        desk, engines = self.make_desk(2)
        for _ in range(20):
            self.check_is_whole(desk)
        self.assertEqual(28, sum(engine.run_count for engine in engines))


class EndCheckTest(WholeStreamTestCase):
    """Second runs that are asked whether a stream goes on."""

    def make_checked_desk(self, check, **options):
        """Return a handler whose engines do `check` where a stream goes on."""
        desk, engines = self.make_desk(2, **options)

        def run(engine, own_run, sock, head):
            if test_closed_review.LAST_EVENT_ID in head.lower():
                check(engine, sock)
            else:
                own_run(sock, head)

        for engine in engines:
            test_closed_review.replace_run(engine, run)
        return desk, engines

    # Guards against a whole stream that is told broken, as the engine that is
    # asked whether it goes on fails, refuses or says nothing (LOST).
    def test_engine_that_does_not_say(self):
        for check in (
            lambda engine, sock: None,
            lambda engine, sock: sock.sendall(test_endings.BUSY),
            lambda engine, sock: sock.sendall(handlers.encode_busy()),
            lambda engine, sock: sock.sendall(handlers.encode_response(500)),
            lambda engine, sock: sock.sendall(handlers.encode_response(400)),
            lambda engine, sock: gevent.sleep(60),
            lambda engine, sock: engine.kill(),
        ):
            desk, _ = self.make_checked_desk(check)
            started_at = desk.clock.now()
            self.check_is_whole(desk)
            self.assertLess(desk.clock.now() - started_at, 2_000)

    # The same where the deadline passes meanwhile.
    def test_deadline(self):
        self.patch(second_runs, 'TIMEOUT_MS', 60_000)
        desk, _ = self.make_checked_desk(lambda *_: gevent.sleep(60))
        pairs = [(b'x-deadline-ms', b'500')]
        self.check_is_whole(desk, pairs=pairs)

    # The same where the router is stopped and its grace ends meanwhile.
    def test_end_of_the_grace(self):
        self.patch(second_runs, 'TIMEOUT_MS', 60_000)
        desk, _ = self.make_checked_desk(lambda *_: gevent.sleep(60))
        gevent.spawn_later(0.5, desk.handler.abandon_open_requests)
        self.check_is_whole(desk)

    # Guards against a stream that is closed early and told whole, though
    # another engine could go on with it (ORDER).
    def test_stream_goes_on(self):
        desk, engines = self.make_desk(3, max_attempts=3)
        close_early(engines)
        self.check_is_whole(desk)
        self.assertIn('ends.early', desk.journal.events())

    # The same where nobody is left to confirm the end of what goes on.
    def test_last_engine_is_doubted(self):
        desk, engines = self.make_desk(2)
        close_early(engines)
        pieces = self.check_is_broken(desk)
        self.assertEqual(test_endings.EVENT_COUNT, pieces)

    # The same where the next event comes later than an answer is waited for.
    def test_stream_goes_on_slowly(self):
        desk, engines = self.make_desk(3, max_attempts=3)
        close_early(engines)

        def run(engine, own_run, sock, head):
            slow = test_closed_review.LAST_EVENT_ID in head.lower()
            own_run(SlowSocket(sock) if slow else sock, head)

        for engine in engines:
            test_closed_review.replace_run(engine, run)
        self.patch(second_runs, 'TIMEOUT_MS', 80)
        self.check_is_whole(desk)

    # Guards against an engine that was found to close streams early, and
    # whose other streams count as whole where they end (ORDER).
    def test_early_closer_is_doubted(self):
        desk, engines = self.make_desk(3, max_attempts=3)
        close_early(engines)
        self.check_is_whole(desk)
        history = desk.handler.close_history
        early = [history.closes_early(f'i-{number}') for number in range(3)]
        self.assertIn(True, early)
        self.assertIn(False, early)
        for number in range(3):
            if not early[number]:
                desk.target_view.directory.remove(
                    f'i-{number}', desk.clock.now()
                )
        self.check_is_broken(desk)

    # Guards against an end of a run that was to go on, and brought nothing,
    # after one that was cut off (ORDER).
    def test_empty_run_after_a_cut(self):
        desk, engines = self.make_desk(3, max_attempts=3)
        self.kill_first(engines)
        for engine in engines:
            test_closed_review.replace_run(
                engine, test_closed_review.close_if_resumed
            )
        pieces = self.check_is_broken(desk)
        self.assertEqual(test_endings.CUT_AFTER - 1, pieces)


class LeavingEngineTest(WholeStreamTestCase):
    """Engines that leave: their entries or reports say so."""

    def make_leaving_desk(self, says_in_report=False, **options):
        """Return a handler, and an engine that leaves during its stream."""
        desk, (engine,) = self.make_slow_desk(resumable=False, **options)
        own_run = engine._run

        def run(sock, head):
            entry = base.make_target_entry(
                'i-0', engine.port, born=engine.born, leaving=True
            )
            if not says_in_report:
                desk.target_view.directory.put(entry, desk.clock.now())
            engine.runs = [handlers.REQUEST_ID, OTHER_RUN]
            own_run(sock, head)
            engine.runs = list(self.runs_after)

        engine._run = run
        if says_in_report:
            engine.state = b'"State":"draining","leaves_ms":900,'
        self.runs_after = []
        return desk, engine

    # Guards against a whole stream that is told broken since its engine
    # leaves, though the engine goes on with others (LOST).
    def test_engine_that_works_on_others(self):
        for says_in_report in (False, True):
            desk, engine = self.make_leaving_desk(says_in_report)
            self.runs_after = [OTHER_RUN]
            self.check_is_whole(desk)

    # The same where it has no others, and lives on for a while.
    def test_engine_that_lives_on(self):
        for says_in_report in (False, True):
            desk, engine = self.make_leaving_desk(says_in_report)
            started_at = desk.clock.now()
            self.check_is_whole(desk)
            passed_ms = desk.clock.now() - started_at
            self.assertGreater(passed_ms, LEAVING_MS)

    # Guards against a stream that is told whole though its engine has ended
    # it together with its process, a moment before that (ORDER).
    def test_engine_that_is_gone_a_moment_later(self):
        for says_in_report in (False, True):
            desk, engine = self.make_leaving_desk(says_in_report)
            engine.cut_at = test_endings.CUT_AFTER
            engine.cut = functools.partial(
                gevent.spawn_later, LEAVING_MS / 2_000, kill, engine
            )
            self.check_is_broken(desk)

    # Guards against streams that an engine ends all at once as it leaves, and
    # that are told whole since it lives on (ORDER).
    def test_engine_that_ends_all_at_once(self):
        desk, engine = self.make_leaving_desk()
        engine.cut_at = test_endings.CUT_AFTER
        engine.cut = lambda: None
        tasks = [gevent.spawn(self.check_is_broken, desk) for _ in range(2)]
        for task in tasks:
            self.assertLess(task.get(), test_endings.EVENT_COUNT)


class ReplacedProcessTest(WholeStreamTestCase):
    """Engines that are killed, and back before their router looks."""

    # Guards against a process that passes for the one before it: its start
    # is that of the entry, which was new when its address led to the other.
    def test_handed_over_address(self):
        desk, (engine,) = self.make_slow_desk(resumable=False)
        engine.born = test_endings.BORN - 1
        engine.cut_at = 15
        engine.cut = engine.restart
        self.assertEqual(14, self.check_is_broken(desk))

    # The same where it states a start of its own.
    def test_engine_that_is_back(self):
        desk, (engine,) = self.make_slow_desk(resumable=False)
        engine.cut_at = 15

        def restart():
            engine.restart()
            engine.born = desk.clock.wall()

        engine.cut = restart
        self.assertEqual(14, self.check_is_broken(desk))

    # The same at the start of a stream, before the engine could be asked.
    def test_engine_that_is_back_at_once(self):
        desk, (engine,) = self.make_desk(resumable=False)
        engine.cut_at = test_endings.CUT_AFTER

        def restart():
            engine.restart()
            engine.born = desk.clock.wall()

        engine.cut = restart
        self.check_is_broken(desk)
