"""Engines that write an earlier response once more on a kept connection.

A request's id ties a response to it only if no earlier request on the same
connection had that id: callers may use one again.
"""

import collections
import random
import unittest

import gevent
from gevent import event

from galenaspoke.core import catalog
from galenaspoke.http import connections
from tests.edge import base
from tests.edge import handlers

ONCE = catalog.RequestKind.ONCE
# Longer than the process stands still on a busy machine.
LONG_DEADLINE_MS = 10_000
KEEP_ALIVE = b'Keep-Alive: timeout=30\r\n'


class CopyingEngine:
    """An engine that copies the first response on each connection.

    It writes that once more before each later response there.  Its very first
    response is `first`, all others are `served`.
    """

    def __init__(self, first, served):
        # How many requests have run.
        self.run_count = 0
        self._first = first
        self._served = served
        # The first response by connection.
        self._firsts = {}

    def __call__(self, remote, number):
        copy = self._firsts.get(remote, b'')
        if copy:
            remote.sendall(copy)
        response = self._served
        if number == 1 and self._first:
            response = self._first
        else:
            self.run_count += 1
        self._firsts.setdefault(remote, response)
        remote.sendall(response)


class RepeatedIdTest(unittest.TestCase):
    """Requests with an id that an earlier one on the connection had."""

    def make_desk(self, first, kind=ONCE, request_id=handlers.REQUEST_ID):
        """Return a desk before a copying engine, and the engine."""
        engine = CopyingEngine(
            first,
            handlers.encode_response(body=b'mine', request_id=request_id),
        )
        desk = handlers.Desk(
            {'i-1': engine}, kind, timeout_ms=LONG_DEADLINE_MS
        )
        self.addCleanup(desk.close)
        return desk, engine

    # Guards against REFUSED: "not run" for a request that the engine ran.
    def test_copied_refusal_is_not_the_answer_to_the_second_request(self):
        desk, engine = self.make_desk(handlers.encode_busy())
        self.assertEqual(503, desk.request().status)
        self.assertEqual(b'mine', desk.request().body)
        self.assertEqual(1, engine.run_count)

    # Guards against TWICE: the second engine runs what the first ran.
    def test_copied_refusal_does_not_lead_to_a_second_run(self):
        desk, engine = self.make_desk(handlers.encode_busy())
        self.assertEqual(503, desk.request().status)
        other = CopyingEngine(b'', handlers.encode_response(body=b'other'))
        desk.add_target('i-2', other)
        # So that the first engine is chosen first.
        desk.targets['i-2'].in_flight = 100
        self.assertEqual(200, desk.request().status)
        self.assertEqual([1, 0], [engine.run_count, other.run_count])

    # Guards against MIXED: a caller gets the answer to another request.
    def test_copied_answer_is_not_the_answer_to_the_second_request(self):
        desk, _ = self.make_desk(handlers.encode_response(body=b'other'))
        self.assertEqual(b'other', desk.request().body)
        self.assertEqual(b'mine', desk.request().body)

    # Guards against MIXED and REFUSED for requests that have no id.
    def test_requests_without_an_id(self):
        for first, status in (
            (handlers.encode_response(body=b'other', request_id=b''), 200),
            (
                handlers.encode_response(503, b'', b'X-Not-Run: 1\r\n', b''),
                503,
            ),
        ):
            desk, _ = self.make_desk(first, request_id=b'')
            self.assertEqual(status, desk.request(request_id=b'').status)
            caller = desk.request(request_id=b'')
            self.assertEqual(b'mine', caller.body, status)

    # Guards against a new connection for each request after a refusal.
    def test_other_ids_share_a_connection(self):
        connected = set()

        def respond(remote, number):
            connected.add(remote)
            remote.sendall(
                handlers.encode_response(
                    503, b'', b'X-Not-Run: 1\r\n' + KEEP_ALIVE, b'%d' % number
                )
            )

        desk = handlers.Desk(
            {'i-1': respond}, ONCE, timeout_ms=LONG_DEADLINE_MS
        )
        self.addCleanup(desk.close)
        for number in range(1, 21):
            desk.request(request_id=b'%d' % number)
        self.assertEqual([20], desk.count_requests())
        self.assertEqual(1, len(connected))

    # Guards against ids that pile up, or are forgotten while it is used.
    def test_connection_ends_with_the_ids_that_it_may_remember(self):
        connected = []

        def respond(remote, number):
            if remote not in connected:
                connected.append(remote)
            remote.sendall(
                handlers.encode_response(
                    extra=KEEP_ALIVE, request_id=b'%d' % number
                )
            )

        desk = handlers.Desk(
            {'i-1': respond}, ONCE, timeout_ms=LONG_DEADLINE_MS
        )
        self.addCleanup(desk.close)
        for number in range(1, connections.MAX_REQUESTS + 2):
            caller = desk.request(request_id=b'%d' % number)
            self.assertEqual(200, caller.status)
            expected = 1 if number <= connections.MAX_REQUESTS else 2
            self.assertEqual(expected, len(connected), number)


class UntiedResponseTest(unittest.TestCase):
    """Responses without an id, which may be copies."""

    # Guards against GONE and a next request that waits behind this one.
    def test_engine_may_be_at_work_after_it(self):
        untied = (
            b'HTTP/1.1 503 -\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n',
            b'HTTP/1.1 502 -\r\nContent-Length: 0\r\n\r\n',
        )
        for copy in untied:
            is_cut_off = event.Event()

            def respond(remote, number):
                if number == 1:
                    remote.sendall(
                        handlers.encode_response(
                            extra=KEEP_ALIVE, request_id=b'1'
                        )
                    )
                    return
                remote.sendall(copy)
                # It works on the request until its caller has gone.
                if not remote.recv(65_536):
                    is_cut_off.set()

            desk = handlers.Desk(
                {'i-1': respond}, ONCE, timeout_ms=LONG_DEADLINE_MS
            )
            self.addCleanup(desk.close)
            self.assertEqual(200, desk.request(request_id=b'1').status)
            self.assertEqual(502, desk.request(request_id=b'2').status)
            self.assertTrue(is_cut_off.wait(5), copy)

    # Guards against REFUSED on a connection whose first request was our own.
    def test_refusal_of_an_earlier_request_of_the_router_itself(self):
        refusal = handlers.encode_response(
            503, b'', b'X-Not-Run: 1\r\n'
        ).replace(b'X-Request-Id: 9c41\r\nX-Response-Stamp: s\r\n', b'')
        desk = handlers.Desk(
            {'i-1': lambda remote, _: remote.sendall(refusal)},
            ONCE,
            timeout_ms=LONG_DEADLINE_MS,
        )
        self.addCleanup(desk.close)
        target = desk.targets['i-1']
        conn = target.connect()
        conn.send(b'GET /health HTTP/1.1\r\nHost: desk\r\n\r\n')
        self.assertEqual(503, conn.read_response().status)
        target.release_connection(conn, desk.clock.now(), 30_000)
        self.assertEqual(502, desk.request().status)
        self.assertEqual([2], desk.count_requests())


class ContradictionTest(unittest.TestCase):
    """Responses that say both that a request has run and that it has not."""

    # Guards against REFUSED and TWICE after a head that contradicts itself.
    def test_not_run_beside_a_status_that_says_otherwise(self):
        for status in (200, 204, 302, 500, 502, 504):
            response = handlers.encode_response(
                status, b'', extra=b'X-Not-Run: 1\r\n'
            )

            def respond(remote, _):
                remote.sendall(response)

            desk = handlers.Desk(
                {'i-1': respond, 'i-2': respond},
                ONCE,
                timeout_ms=LONG_DEADLINE_MS,
            )
            self.addCleanup(desk.close)
            self.assertEqual(502, desk.request().status, status)
            self.assertEqual(1, sum(desk.count_requests()), status)

    def test_not_run_beside_a_status_that_refuses(self):
        for status in (400, 408, 421, 429, 503):
            response = handlers.encode_response(
                status, b'', extra=b'X-Not-Run: 1\r\n'
            )
            desk = handlers.Desk(
                {'i-1': lambda remote, _: remote.sendall(response)},
                ONCE,
                timeout_ms=LONG_DEADLINE_MS,
            )
            self.addCleanup(desk.close)
            self.assertEqual(503, desk.request().status, status)


class TruncatedCopyTest(unittest.TestCase):
    """A copy that ends early, and the response that follows it at once."""

    COPIES = (
        b'HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nX-Request-Id: 1\r\n'
        b'Retry-After: 1\r\nContent-Length: 2\r\n\r\nno',
        b'HTTP/1.1 503 Busy\r\nX-Request-Id: 1\r\nX-Not-Run: 1\r\n'
        b'Content-Length: 2\r\n\r\nno',
        b'HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nX-Response-Stamp: copied\r\n'
        b'X-Request-Id: 1\r\nContent-Length: 5\r\n\r\nother',
    )

    def request_after(self, copy, response):
        """Return what a caller gets whose response follows a cut copy."""

        def respond(remote, number):
            if number == 1:
                remote.sendall(
                    handlers.encode_response(extra=KEEP_ALIVE, request_id=b'1')
                )
            else:
                remote.sendall(copy + response)

        desk = handlers.Desk(
            {'i-1': respond}, ONCE, timeout_ms=LONG_DEADLINE_MS
        )
        self.addCleanup(desk.close)
        self.assertEqual(200, desk.request(request_id=b'1').status)
        return desk.request(request_id=b'2')

    def list_cuts(self):
        """Return each copy cut after each of its bytes."""
        return [
            copy[:end] for copy in self.COPIES for end in range(1, len(copy))
        ]

    # Guards against REFUSED: the head of the copy takes in the id that ties
    # the response to the request.
    def test_answer_does_not_become_a_refusal(self):
        answer = handlers.encode_response(body=b'mine', request_id=b'2')
        for cut in self.list_cuts():
            caller = self.request_after(cut, answer)
            self.assertIn(caller.status, (502, 504), cut)

    # Guards against MIXED: a success that the engine didn't give.
    def test_failure_does_not_become_a_success(self):
        failure = handlers.encode_response(500, b'', request_id=b'2')
        for cut in self.list_cuts():
            caller = self.request_after(cut, failure)
            self.assertIn(caller.status, (502, 504), cut)

    # Guards against a stricter parser than proxies' headers bear.
    def test_names_of_protocols_in_headers(self):
        answer = handlers.encode_response(
            body=b'mine',
            extra=b'Via: HTTP/1.1 front, 1.1 HTTP/1.1\r\n',
            request_id=b'2',
        )
        self.assertEqual(200, self.request_after(b'', answer).status)


class HistoryTest(unittest.TestCase):
    """Random histories of requests, refusals, answers and copies of both."""

    REQUESTS = 120
    # So few that ids come again soon.
    IDS = (b'1', b'2', b'3', b'')
    MAX_DELAY_S = 0.002

    def make_engine(self):
        """Return an engine that refuses, answers and copies at random."""
        # What was written on each connection.
        written = {}

        def copy_something(remote):
            if remote not in written or remote.closed:
                return
            copy = self.random.choice(written[remote])
            if self.random.random() < 0.3:
                copy = copy.replace(b'X-Request-Id', b'X-Unknown')
                if self.random.random() < 0.5:
                    copy = copy.replace(b'X-Response-Stamp', b'X-Unknown')
            if self.random.random() < 0.1:
                copy = copy[: self.random.randrange(1, len(copy))]
            self.send(remote, copy)

        def respond(remote, _):
            serial, request_id = self.current
            for _ in range(self.random.choice((0, 0, 1, 2))):
                copy_something(remote)
            if self.random.random() < 0.4:
                status = self.random.choice((421, 429, 503))
                body, extra = b'', b'X-Not-Run: 1\r\n'
            else:
                self.runs[serial] += 1
                status, body = 200, b'%d' % serial
                extra = b'X-Serial: %d\r\n' % serial
            if self.random.random() < 0.3:
                gevent.sleep(self.random.uniform(0, self.MAX_DELAY_S))
            response = handlers.encode_response(
                status, body, extra, request_id
            )
            self.send(remote, response)
            written.setdefault(remote, []).append(response)
            if self.random.random() < 0.5:
                gevent.spawn_later(
                    self.random.uniform(0, self.MAX_DELAY_S),
                    copy_something,
                    remote,
                )

        return respond

    def send(self, remote, data):
        """Send if the connection is still open."""
        try:
            remote.sendall(data)
        except OSError:
            pass

    def play(self, seed):
        """Play one history; return how often each status was answered."""
        self.random = random.Random(seed)
        self.runs = [0] * self.REQUESTS
        desk = handlers.Desk({}, ONCE, timeout_ms=40)
        answered = collections.Counter()
        try:
            for serial in range(self.REQUESTS):
                self.replace_removed_targets(desk)
                status = self.check_request(desk, serial, f'seed {seed}')
                answered[status] += 1
        finally:
            desk.close()
        return answered

    def replace_removed_targets(self, desk):
        """Put back the targets that answered 421."""
        for name in ('i-1', 'i-2'):
            if desk.target_view.directory.get(name) is not None:
                continue
            if name in desk.targets:
                gevent.killall(desk.targets[name].tasks)
            desk.add_target(name, self.make_engine())

    def check_request(self, desk, serial, story):
        """Check what the caller of one request is told; return the status."""
        request_id = self.random.choice(self.IDS)
        self.current = serial, request_id
        caller = desk.request(request_id=request_id)
        # An engine that has the request takes it up before the next one.
        base.settle()
        story = f'{story}, request {serial}, {caller.status}'
        run_count = self.runs[serial]
        if caller.status == 200:
            self.assertEqual(b'%d' % serial, caller.body, story)
            self.assertEqual(1, run_count, story)
        elif caller.status == 503:
            self.assertEqual(0, run_count, story)
        else:
            self.assertIn(caller.status, (502, 504), story)
            self.assertLessEqual(run_count, 1, story)
        return caller.status

    # Guards against REFUSED, TWICE and MIXED.
    def test_what_callers_are_told_is_true(self):
        answered = collections.Counter()
        for seed in range(12):
            answered.update(self.play(seed))
        for status in (200, 502, 503):
            self.assertGreater(answered[status], 100, answered)
