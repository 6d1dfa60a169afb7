"""Requests that come late in the grace period of a planned stop.

Guards against requests, among them some that may not be repeated, which are
taken and sent on, and then cut without an answer when the process ends.
"""

import dataclasses
import socket as std_socket
from unittest import mock

import gevent
from gevent import socket

from galenaspoke.core import catalog
from galenaspoke.edge import main
from galenaspoke.edge.serving import charges
from galenaspoke.edge.serving import request_handler
from tests.edge import base
from tests.edge import stopping

REQUEST = (
    b'POST /a/x HTTP/1.1\r\nHost: desk\r\nX-Request-Id: %04d\r\n'
    b'X-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n'
)
GRACE_MS = 2_400
MARGIN_MS = 400
ACCEPT_ALL_MS = 800
BALANCER_DELAY_MS = 700
# How often requests are sent.
INTERVAL_MS = 50
# How much later than it was sent a request may be read.
SLACK_MS = 60
DEADLINES_MS = (150, 600, 15_000)


@dataclasses.dataclass(slots=True)
class Sent:
    """A request; `at` is in ms from the start of the stop."""

    number: int
    at: int
    deadline_ms: int
    remote: socket.socket

    def read_answer(self):
        """Return what the router has sent so far."""
        try:
            return self.remote._sock.recv(65_536, std_socket.MSG_DONTWAIT)
        except OSError:
            return b''


class LateRequestTest(stopping.StopTestCase):
    """Requests all through the grace period, each on a new connection."""

    KIND = catalog.RequestKind.ONCE

    def setUp(self):
        super().setUp()
        for name, value in (
            ('GRACE_MARGIN_MS', MARGIN_MS),
            ('ACCEPT_ALL_MS', ACCEPT_ALL_MS),
            ('BALANCER_DELAY_MS', BALANCER_DELAY_MS),
        ):
            patch = mock.patch.object(main, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        self.router.cfg = base.make_edge_settings(grace_ms=GRACE_MS)
        # The numbers of the requests that the router has read as a whole.
        self.read = []
        handle = request_handler.RequestHandler.handle

        def note_and_handle(handler, req, caller):
            self.read.append(int(req.header(b'x-request-id')))
            handle(handler, req, caller)

        patch = mock.patch.object(
            request_handler.RequestHandler, 'handle', note_and_handle
        )
        patch.start()
        self.addCleanup(patch.stop)

    def send_one(self, number, deadline_ms, at):
        """Return the Sent, None if the router doesn't listen any more."""
        address = ('127.0.0.1', self.router._server.server_port)
        try:
            remote = socket.create_connection(address)
            self.addCleanup(remote.close)
            remote.sendall(REQUEST % (number, deadline_ms))
        except OSError:
            return None
        return Sent(number, at, deadline_ms, remote)

    def stop_under_load(self):
        """Stop the router; return pairs of each Sent and its answer.

        Only those are returned that the router has read.  The answer is what
        had been sent when the process would have ended.
        """
        # A router that has no caller stops sooner.
        sent = [self.send_one(0, DEADLINES_MS[-1], 0)]
        base.wait_until(lambda: self.read == [0])
        clock = self.router.clock
        started_at = clock.now()
        stop = gevent.spawn(self.router.stop)
        while not stop.ready():
            for deadline_ms in DEADLINES_MS:
                at = clock.now() - started_at
                sent.append(self.send_one(len(sent), deadline_ms, at))
            gevent.sleep(INTERVAL_MS / 1000)
        self.assertEqual(main.EXIT_OK, stop.get())
        found = [s for s in sent if s is not None and s.number in self.read]
        for deadline_ms in DEADLINES_MS:
            times = [s.at for s in found if s.deadline_ms == deadline_ms]
            self.assertLess(min(times), ACCEPT_ALL_MS)
            self.assertGreater(max(times), ACCEPT_ALL_MS + SLACK_MS)
        return [(one, one.read_answer()) for one in found]

    def check_all_answered(self, answers, statuses):
        """Check that each request has a whole answer of a status."""
        for one, answer in answers:
            where = (one.at, one.deadline_ms, answer)
            head, _, body = answer.partition(b'\r\n\r\n')
            self.assertIn(int(head[9:12] or 0), statuses, where)
            length = b'Content-Length: %d' % len(body)
            self.assertIn(length, head, where)

    def test_all_are_answered_while_their_engine_is_silent(self):
        answers = self.stop_under_load()
        self.check_all_answered(answers, (503, 504))
        self.assertTrue(self.started)

    def test_late_ones_that_may_outlast_the_process_are_not_sent_on(self):
        answers = self.stop_under_load()
        finish_by = GRACE_MS - MARGIN_MS
        late = [
            answer
            for one, answer in answers
            if one.at > ACCEPT_ALL_MS + SLACK_MS
            and one.at + one.deadline_ms > finish_by + SLACK_MS
        ]
        self.assertTrue(late)
        for answer in late:
            self.assertIn(b' 503 ', answer)
            self.assertIn(b'Retry-After', answer)

    def test_all_are_answered_while_they_wait_for_tokens(self):
        def wait(*_):
            self.may_finish.wait()

        with mock.patch.object(charges.Charges, 'reserve', wait):
            answers = self.stop_under_load()
        # None has run.
        self.check_all_answered(answers, (503,))
        self.assertEqual([], self.started)

    def test_all_are_answered_while_they_wait_for_a_connection(self):
        def acquire(*_):
            self.may_finish.wait()

        with mock.patch.object(
            request_handler.RequestHandler, '_acquire', acquire
        ):
            answers = self.stop_under_load()
        self.check_all_answered(answers, (503,))
        self.assertEqual([], self.started)
