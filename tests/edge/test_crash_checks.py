"""A target that cut off a request is checked at once.

Guards against crashes that are noticed only when the target's entry has
disappeared, while requests crash other targets.
"""

import contextlib
import unittest
from unittest import mock

import gevent
from gevent import socket

from galenaspoke.core import catalog
from galenaspoke.edge.crashes import crash_checks
from galenaspoke.edge.crashes import crash_suspects
from galenaspoke.edge.crashes import poison
from galenaspoke.edge import outcomes
from galenaspoke.edge.serving import attempt_recorder
from galenaspoke.edge.serving import caller_connections
from galenaspoke.edge.targets import directory
from galenaspoke.http import connections
from tests.edge import base
from tests.edge import handlers


class CrashCheckerTest(unittest.TestCase):
    """What a check of a target concludes."""

    def setUp(self):
        self.listener = socket.socket()
        self.listener.bind(('127.0.0.1', 0))
        self.addCleanup(self.listener.close)
        port = self.listener.getsockname()[1]
        self.target = directory.Target(
            base.make_target_entry('i-1', port), base.get_whole_share
        )
        self.clock = base.make_manual_clock()
        self.down = []
        self.checker = crash_checks.CrashChecker(self.clock, self.down.append)

    def check(self):
        """Check the target and wait for the result."""
        self.checker.check(self.target)
        gevent.wait([task for _, task in self.checker._checks.values()])

    def test_target_that_refuses_connections_is_down(self):
        self.check()
        self.assertEqual([self.target], self.down)

    def test_target_that_accepts_connections_is_up(self):
        self.listener.listen(1)
        self.check()
        self.assertEqual([], self.down)
        conn = self.target.acquire_connection(self.clock.now(), '1')
        self.assertEqual(0, conn.request_count)
        conn.close()

    # Guards against a partitioned router that takes all targets for crashed.
    def test_target_that_is_not_reached_is_not_down(self):
        def connect():
            raise connections.NotSent('connect: timed out')

        self.target = mock.Mock(entry=self.target.entry, connect=connect)
        self.check()
        self.assertEqual([], self.down)

    def test_requests_that_are_cut_together_share_a_check(self):
        for _ in range(5):
            self.check()
        self.assertEqual(1, len(self.down))
        self.clock.advance(crash_checks.MIN_INTERVAL_MS)
        self.check()
        self.assertEqual(2, len(self.down))


class SuspectTest(unittest.TestCase):
    """Which requests become suspects of a crash, and which are cleared."""

    HEAD = (
        b'HTTP/1.1 200 -\r\nX-Request-Id: %s\r\nX-Response-Stamp: s\r\n'
        b'Content-Type: text/event-stream\r\n\r\n' % handlers.REQUEST_ID
    )

    def has_suspects(self, event_count):
        """Return whether a stream with so many events makes suspects."""

        def run_engine(remote, _):
            remote.sendall(self.HEAD)
            for number in range(event_count):
                remote.sendall(b'id: %d\ndata: a\n\n' % number)
            remote.sendall(b'id: 9')
            remote.shutdown(2)

        desk = handlers.Desk(
            {'i-1': run_engine},
            kind=catalog.RequestKind.STREAM,
            max_attempts=1,
        )
        self.addCleanup(desk.close)
        with contextlib.suppress(caller_connections.CallerDisconnected):
            desk.request()
        desk.detector.record_target_down(('i-1', 1))
        return desk.detector.has_suspects()

    def test_stream_that_had_begun_well_is_no_suspect(self):
        limit = poison.MAX_SUSPECT_EVENTS
        self.assertTrue(self.has_suspects(0))
        self.assertTrue(self.has_suspects(limit))
        self.assertFalse(self.has_suspects(limit + 1))

    # Guards against a request that crashes targets and is cleared because a
    # target refused it.
    def test_only_a_success_clears_a_request(self):
        for status, is_cleared in ((400, False), (200, True)):
            response = handlers.encode_response(status)
            desk = handlers.Desk(
                {'i-1': lambda remote, _, raw=response: remote.sendall(raw)}
            )
            self.addCleanup(desk.close)
            req = desk.make_request()
            fingerprint = poison.compute_fingerprint(req, '')
            keys = crash_suspects.make_keys(fingerprint, ())
            desk.detector.record_cut_off(keys, ('i-0', 1))
            desk.detector.record_target_down(('i-0', 1))
            self.assertEqual(status, desk.request().status)
            self.assertEqual(is_cleared, not desk.detector.has_suspects())

    # Guards against a request that is cleared by the target that it crashes: a
    # stream without a length that is cut between two events looks whole.
    def test_stream_without_a_length_clears_only_if_it_got_on(self):
        limit = poison.MAX_SUSPECT_EVENTS
        self.assertFalse(self.is_cleared(self.HEAD, limit))
        self.assertTrue(self.is_cleared(self.HEAD, limit + 1))

    def test_stream_with_a_length_clears(self):
        event = b'id: 0\ndata: a\n\n'
        head = self.HEAD.replace(
            b'\r\n\r\n', b'\r\nContent-Length: %d\r\n\r\n' % len(event)
        )
        self.assertTrue(self.is_cleared(head, 1))

    def is_cleared(self, head, event_count):
        """Return whether a stream with so many events clears its request."""

        def run_engine(remote, _):
            remote.sendall(head)
            for number in range(event_count):
                remote.sendall(b'id: %d\ndata: a\n\n' % number)
            remote.shutdown(2)

        desk = handlers.Desk(
            {'i-1': run_engine}, kind=catalog.RequestKind.STREAM
        )
        self.addCleanup(desk.close)
        fingerprint = poison.compute_fingerprint(desk.make_request(), '')
        keys = crash_suspects.make_keys(fingerprint, ())
        desk.detector.record_cut_off(keys, ('i-0', 1))
        desk.detector.record_target_down(('i-0', 1))
        # All the output that it allows has come, one token an event.
        usage = [(b'x-token-usage', b'9,%d' % event_count)]
        self.assertEqual(200, desk.request(pairs=usage).status)
        return not desk.detector.has_suspects()


class LateCulpritTest(unittest.TestCase):
    """Requests that were admitted before they were known to crash targets."""

    def setUp(self):
        respond = handlers.encode_response()
        engines = {
            name: lambda remote, _: remote.sendall(respond)
            for name in ('i-1', 'i-2')
        }
        self.desk = handlers.Desk(engines, clock=base.make_manual_clock())
        self.addCleanup(self.desk.close)
        req = self.desk.make_request()
        self.keys = crash_suspects.make_keys(
            poison.compute_fingerprint(req, ''), ()
        )

    def crash_others(self):
        """Let the request crash two other targets."""
        for identity in (('i-8', 1), ('i-9', 1)):
            self.desk.detector.record_cut_off(self.keys, identity)
            self.desk.detector.record_target_down(identity)

    def fail_first_connection(self):
        """Let the first connection fail, while other targets crash."""
        connect = handlers.ScriptedTarget.connect
        attempts = []

        def fail_once(target):
            attempts.append(target)
            if len(attempts) > 1:
                return connect(target)
            self.crash_others()
            raise connections.NotSent('connect: timed out')

        patch = mock.patch.object(
            handlers.ScriptedTarget, 'connect', fail_once
        )
        patch.start()
        self.addCleanup(patch.stop)

    # Guards against requests that crash targets long after they are known to,
    # since they have waited for targets that could not be reached.
    def test_request_that_no_target_got_before(self):
        self.fail_first_connection()
        caller = self.desk.request()
        self.assertEqual(503, caller.status)
        self.assertGreater(caller.retry_after_ms(), 10_000)
        self.assertEqual([0, 0], self.desk.count_requests())

    # Guards against a trial that never reaches a target.
    def test_trial_may_try_another_target(self):
        self.crash_others()
        self.desk.clock.advance(poison.MIN_TRIAL_INTERVAL_MS)
        self.desk.detector.get_turn = lambda _: 0
        self.fail_first_connection()
        self.assertEqual(200, self.desk.request().status)
        self.assertEqual(1, sum(self.desk.count_requests()))


class CutOffTest(unittest.TestCase):
    """Which failures say that the target ended the connection."""

    def run_attempt(self, engine):
        """Return the outcome of a request to an engine."""
        found = []
        desk = handlers.Desk({'i-1': engine}, max_attempts=1)
        self.addCleanup(desk.close)
        record = desk.handler._recorder.record

        def record_outcome(context, target, outcome, *args):
            found.append(outcome)
            record(context, target, outcome, *args)

        with mock.patch.object(
            attempt_recorder.AttemptRecorder,
            'record',
            lambda _, *args: record_outcome(*args),
        ):
            desk.request()
        return found[0]

    def test_closed_connection(self):
        outcome = self.run_attempt(lambda remote, _: remote.shutdown(2))
        self.assertIsInstance(outcome, outcomes.Unknown)
        self.assertTrue(outcome.cut_off)

    def test_invalid_response(self):
        outcome = self.run_attempt(lambda remote, _: remote.sendall(b'?\r\n'))
        self.assertIsInstance(outcome, outcomes.Unknown)
        self.assertFalse(outcome.cut_off)

    def test_silent_connection_that_the_kernel_gives_up(self):
        conn, remote = base.make_connection_pair()
        self.addCleanup(remote.close)
        conn._sock = mock.Mock()
        conn._sock.recv.side_effect = TimeoutError(110, 'timed out')
        with self.assertRaises(connections.ResponseLost) as caught:
            conn.receive()
        self.assertNotIsInstance(caught.exception, connections.PeerClosed)

    def test_reset_connection(self):
        conn, remote = base.make_connection_pair()
        self.addCleanup(remote.close)
        conn._sock = mock.Mock()
        conn._sock.recv.side_effect = ConnectionResetError(104, 'reset')
        with self.assertRaises(connections.PeerClosed):
            conn.receive()
