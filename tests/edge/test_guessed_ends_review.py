"""Streams that are told whole, or joined, on the strength of a guess."""

import re
import signal
import struct
import subprocess
import sys
import unittest

import gevent
from gevent import socket

from galenaspoke.core import catalog
from galenaspoke.edge.serving import caller_connections
from galenaspoke.http import buffers
from galenaspoke.http import messages
from tests.edge import base
from tests.edge import handlers
from tests.edge import test_closed_review
from tests.edge import test_endings

MORE_USAGE = test_closed_review.MORE_USAGE
LAST_EVENT_ID = test_closed_review.LAST_EVENT_ID
EMPTY_OUTPUT = b'id: 1\ndata:\n\n'
CHUNKED = b'Transfer-Encoding: chunked\r\nContent-Type'
# A router that is killed while a caller has a part of its stream.
KILLED_ROUTER = """
import os, signal
from gevent import socket
from galenaspoke.core import catalog, clock
from galenaspoke.edge.serving import caller_connections
listener = socket.socket()
listener.bind(('127.0.0.1', 0))
listener.listen(1)
print(listener.getsockname()[1], flush=True)
sock, _ = listener.accept()
caller = caller_connections.CallerConnection(
    sock, clock.Clock(), catalog.Limits
)
caller.next_request()
with caller.cancel_on_disconnect():
    head = caller.start_chunked_response(200, [])
    caller.send(head + b'id: 1\\ndata: x\\n\\n')
    os.kill(os.getpid(), signal.SIGKILL)
"""


class ReviewTestCase(test_endings.EndingTestCase):
    """A base class with engines that send what tests say."""

    def script(self, engines, *runs):
        """Let the requests call these functions in turn; return their heads.

        Each gets the engine, its own function, the socket and the head.  The
        last one serves all further requests.
        """
        heads = []

        def choose(engine, own_run, sock, head):
            heads.append(head.lower())
            run = runs[min(len(heads), len(runs)) - 1]
            run(engine, own_run, sock, head)

        for engine in engines:
            test_closed_review.replace_run(engine, choose)
        return heads

    def send(self, *numbers, text=b'x', is_chunked=False, ends=True):
        """Return a function that sends events with these ids."""
        events = b''.join(
            b'id: %d\ndata: %s\n\n' % (number, text) for number in numbers
        )

        def run(engine, _, sock, __):
            if not is_chunked:
                test_closed_review.send_head(engine, sock, events)
                return
            head = engine.head.replace(b'Content-Type', CHUNKED)
            data = head % (handlers.REQUEST_ID, engine.content_type)
            if events:
                data += messages.encode_chunk(events)
            sock.sendall(data + (messages.LAST_CHUNK if ends else b''))

        return run


class SecondRunTest(ReviewTestCase):
    """Second runs that are taken for a proof that a stream has ended."""

    # Guards against a second run that states an end before the last event that
    # the caller has, since it was asked for an earlier one (ORDER).
    def test_second_run_is_not_asked_for_an_earlier_end(self):
        desk, engines = self.make_desk(2, max_attempts=3)
        heads = self.script(
            engines, self.send(1, 2, 3), self.send(is_chunked=True)
        )
        _, is_whole = self.ask(desk, usage=MORE_USAGE)
        # No target is asked for what the caller has, so an end that it states
        # is one after that.
        self.assertIn(LAST_EVENT_ID + b': 3\r\n', heads[1])
        self.assertTrue(is_whole)


class DoubtedSecondRunTest(SecondRunTest):
    """The same where the operator doubts that closed streams have ended."""

    doubts = True

    # Guards against a piece at which each engine closes the stream, whose
    # second close passes for a proof (ORDER).
    def test_engines_close_before_the_same_event(self):
        desk, engines = self.make_desk(2, max_attempts=3)
        for engine in engines:
            engine.cut_at = test_endings.CUT_AFTER
            engine.cut = lambda: None
        caller, is_whole = self.ask(desk, usage=MORE_USAGE)
        self.assertEqual(test_endings.CUT_AFTER - 1, self.count_pieces(caller))
        self.assertFalse(is_whole)

    # Guards against engines that close each run after its first event, as they
    # are emptied (ORDER).
    def test_engines_close_after_their_first_event(self):
        desk, engines = self.make_desk(2, max_attempts=3)
        self.script(engines, self.send(1), self.send(1))
        _, is_whole = self.ask(desk, usage=MORE_USAGE)
        self.assertFalse(is_whole)


class JoinTest(ReviewTestCase):
    """Places at which the pieces of two runs are joined."""

    # Guards against pieces of a run that was asked to go on after an earlier
    # event than the last one that the caller has (ORDER: only a run that goes
    # on at Last-Event-Id may follow).
    def test_pieces_come_of_a_run_that_goes_on_there(self):
        desk, engines = self.make_desk(2, max_attempts=3)
        heads = self.script(
            engines,
            self.send(1, 2, 3),
            self.send(3, 4, 5, text=b'other', is_chunked=True),
        )
        caller, _ = self.ask(desk, usage=MORE_USAGE)
        if b'other' in caller.body:
            self.assertIn(LAST_EVENT_ID + b': 3\r\n', heads[-1])

    # The same after the first event, where the second run isn't told to go on.
    def test_run_from_the_start_is_not_joined(self):
        desk, engines = self.make_desk(2, max_attempts=3)
        heads = self.script(
            engines,
            self.send(1),
            self.send(1, 2, 3, text=b'other', is_chunked=True),
        )
        caller, _ = self.ask(desk, usage=MORE_USAGE)
        if b'other' in caller.body:
            self.assertIn(LAST_EVENT_ID, heads[-1])

    # Guards against a second run that divides the output otherwise: its events
    # 13 and 18 hold what the caller has up to 15 (ORDER: comes twice).
    def test_second_run_divides_the_output_otherwise(self):
        desk, engines = self.make_desk(2, max_attempts=3)
        self.script(
            engines,
            self.send(5, 10, 15),
            self.send(13, 18, 20, is_chunked=True),
        )
        caller, is_whole = self.ask(desk, usage=MORE_USAGE)
        self.assertNotIn(b'id: 18\n', caller.body)
        self.assertFalse(is_whole)

    # The same where the first run was in chunks and cut off.
    def test_run_that_goes_on_too_early_divides_it_otherwise(self):
        desk, engines = self.make_desk(2)
        self.script(
            engines,
            self.send(5, 10, 15, is_chunked=True, ends=False),
            self.send(13, 18, 20, is_chunked=True),
        )
        caller, is_whole = self.ask(desk, usage=MORE_USAGE)
        self.assertNotIn(b'id: 18\n', caller.body)
        self.assertFalse(is_whole)

    # Guards against a piece that is missing, since the first run was cut off
    # after one event, which tells nothing of the steps of ids (ORDER).
    def test_gap_after_one_event(self):
        desk, engines = self.make_desk(2)
        self.script(
            engines,
            self.send(1, is_chunked=True, ends=False),
            self.send(3, 4, 5, is_chunked=True),
        )
        _, is_whole = self.ask(desk, usage=MORE_USAGE)
        self.assertFalse(is_whole)

    # The same where a caller resumes its stream.
    def test_gap_after_what_a_caller_has(self):
        desk, engines = self.make_desk(2)
        self.script(engines, self.send(9, 10, 11, is_chunked=True))
        pairs = [(LAST_EVENT_ID, b'5'), (b'resumes', handlers.REQUEST_ID)]
        _, is_whole = self.ask(desk, usage=MORE_USAGE, pairs=pairs)
        self.assertFalse(is_whole)

    # The counterpart: ids that go up by one and fit are joined.
    def test_run_that_goes_on_is_joined(self):
        desk, engines = self.make_desk(2)
        self.script(
            engines,
            self.send(1, is_chunked=True, ends=False),
            self.send(2, 3, is_chunked=True),
        )
        caller, is_whole = self.ask(desk, usage=MORE_USAGE)
        self.assertTrue(is_whole)
        self.assertEqual(3, self.count_pieces(caller))


class SingleRunTest(ReviewTestCase):
    """Streams of one engine."""

    # Guards against pieces that are dropped without a word, as they have the
    # same id and other text, of a stream that is told whole (ORDER).
    def test_other_pieces_with_the_same_id_are_not_dropped(self):
        desk, (engine,) = self.make_desk(resumable=False)
        texts = [b'one', b'two', b'three']

        def run(engine, _, sock, __):
            head = engine.head.replace(b'Content-Type', CHUNKED)
            events = [b'id: 7\ndata: %s\n\n' % text for text in texts]
            sock.sendall(
                head % (handlers.REQUEST_ID, engine.content_type)
                + messages.encode_chunk(b''.join(events))
                + messages.LAST_CHUNK
            )

        self.script([engine], run)
        caller, is_whole = self.ask(desk, usage=MORE_USAGE)
        is_complete = all(text in caller.body for text in texts)
        self.assertTrue(is_complete or not is_whole)

    # The same where one id is far ahead of the others.
    def test_pieces_after_a_leap_are_not_dropped(self):
        desk, (engine,) = self.make_desk(resumable=False)
        self.script([engine], self.send(1, 2, 13, 4, 5, 6, is_chunked=True))
        caller, is_whole = self.ask(desk, usage=MORE_USAGE)
        is_complete = caller.body.count(b'data: x\n') == 6
        self.assertTrue(is_complete or not is_whole)


class DoubtedSingleRunTest(SingleRunTest):
    """The same where the operator doubts that closed streams have ended."""

    doubts = True

    # Guards against an event that has an id and holds no token, and yet counts
    # as one of the tokens that the request allows (ORDER).
    def test_event_without_text_is_no_token(self):
        desk, (engine,) = self.make_desk(resumable=False)

        def run(engine, _, sock, __):
            events = b''.join(
                test_endings.encode_event(number)
                for number in range(2, test_endings.EVENT_COUNT + 1)
            )
            test_closed_review.send_head(engine, sock, EMPTY_OUTPUT + events)

        self.script([engine], run)
        self.assertFalse(self.ask(desk)[1])

    # Guards against a stream that passes for a body, which may end with its
    # connection, as its type is written otherwise or is missing (ORDER).
    def test_streams_of_other_types(self):
        for name in (b'Text/Event-Stream', b'', b'text/plain'):
            desk, (engine,) = self.make_desk(resumable=False)
            engine.content_type = name
            engine.cut_at = test_endings.CUT_AFTER
            engine.cut = lambda: None
            self.assertFalse(self.ask(desk, usage=MORE_USAGE)[1], name)


class DeadlineTest(ReviewTestCase):
    """Engines that stop work at the deadline that they are given."""

    # Guards against a stream that is whole since its engine ended it at its
    # deadline, which a starved router notices later (ORDER).
    def test_engine_ends_at_its_deadline(self):
        for is_chunked in (False, True):
            desk, (engine,) = self.make_desk(resumable=False)

            def run(engine, own_run, sock, head, is_chunked=is_chunked):
                send = self.send(1, 2, 3, is_chunked=is_chunked, ends=False)
                send(engine, own_run, sock, head)
                left = re.search(rb'x-deadline-ms: (\d+)', head.lower())
                gevent.sleep(0.01)
                # Neither the router nor anything else gets on meanwhile.
                base.stall(int(left.group(1)) / 1_000 + 0.05)
                if is_chunked:
                    sock.sendall(messages.LAST_CHUNK)

            self.script([engine], run)
            pairs = [(b'x-deadline-ms', b'300')]
            caller, is_whole = self.ask(desk, usage=MORE_USAGE, pairs=pairs)
            self.assertEqual(3, self.count_pieces(caller))
            self.assertFalse(is_whole, is_chunked)


class OtherKindTest(ReviewTestCase):
    """Routes whose requests may be repeated, but not resumed."""

    kind = catalog.RequestKind.IDEMPOTENT

    # Guards against pieces of two runs in one response where the kind of
    # request may not be resumed (ORDER).
    def test_runs_are_not_joined(self):
        desk, engines = self.make_desk(2)
        self.script(
            engines,
            self.send(1, 2, 3, is_chunked=True, ends=False),
            self.send(1, 2, 3, 4, 5, text=b'other', is_chunked=True),
        )
        caller, is_whole = self.ask(desk, usage=MORE_USAGE)
        self.assertFalse(b': x\n' in caller.body and b'other' in caller.body)


class WeightsTest(ReviewTestCase):
    """Runs at different versions of the weights."""

    # Guards against pieces of other weights than the head names, without the
    # line that says so (an event at which the version changes carries it).
    def test_version_changes_where_runs_are_joined(self):
        desk, engines = self.make_desk(2)
        for number, engine in enumerate(engines):
            engine.head = engine.head.replace(
                b'Content-Type',
                b'X-Weight-Versions: %d\r\nContent-Type' % (number + 1),
            )
        self.script(
            engines,
            self.send(1, 2, 3, is_chunked=True, ends=False),
            self.send(4, 5, is_chunked=True),
        )
        caller, is_whole = self.ask(desk, usage=MORE_USAGE)
        is_said = b'x-weight-versions: ' in caller.body.lower()
        self.assertTrue(is_said or not is_whole)


class CutChunksTest(ReviewTestCase):
    """Streams in chunks that end at any byte, with a close or a reset."""

    def check_cuts(self, cut):
        """Check that only a stream with all of its bytes is whole."""
        desk, (engine,) = self.make_desk(resumable=False)
        head = engine.head.replace(b'Content-Type', CHUNKED)
        head %= (handlers.REQUEST_ID, engine.content_type)
        events = [test_endings.encode_event(number) for number in (1, 2, 3)]
        body = messages.encode_chunk(events[0] + events[1][:5])
        body += messages.encode_chunk(events[1][5:])
        body += messages.encode_chunk(events[2]) + b'0\r\nX-End: 1\r\n\r\n'
        for length in range(len(body) + 1):

            def run(_, __, sock, ___, length=length):
                sock.sendall(head + body[:length])
                cut(sock)

            self.script([engine], run)
            caller, is_whole = self.ask(desk, usage=MORE_USAGE)
            self.assertEqual(length == len(body), is_whole, length)
            self.count_pieces(caller)

    # Guards against a last chunk that is taken for whole before its end.
    def test_closed(self):
        self.check_cuts(lambda sock: None)

    # Guards against the last chunk that comes together with a reset.
    def test_reset(self):
        def reset(sock):
            gevent.sleep(0.002)
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )

        self.check_cuts(reset)


class CallerTest(unittest.TestCase):
    """Real connections of callers."""

    def make_caller(self, engine, version=b'1.1', **options):
        """Return a desk, a caller's connection, and its other end.

        The caller has sent two requests.
        """
        desk = handlers.Desk(
            {'i-1': engine}, catalog.RequestKind.STREAM, **options
        )
        self.addCleanup(desk.close)
        local, remote = base.make_tcp_pair(self)
        caller = caller_connections.CallerConnection(
            local, desk.clock, catalog.Limits
        )
        for request_id in (handlers.REQUEST_ID, b'9c42'):
            remote.sendall(
                b'POST /a/x HTTP/%s\r\nHost: desk\r\nX-Request-Id: %s\r\n'
                b'Connection: keep-alive\r\nContent-Length: 0\r\n\r\n'
                % (version, request_id)
            )
        return desk, caller, remote

    def serve(self, desk, caller):
        """Return a task that serves a request, and returns if it is cut."""

        def handle():
            try:
                desk.handler.handle(caller.next_request(), caller)
                return False
            except caller_connections.CallerDisconnected:
                return True
            finally:
                caller.close()

        return gevent.spawn(handle)

    def read_rest(self, sock):
        """Return what comes until the connection is closed or reset."""
        data = b''
        try:
            while piece := sock.recv(65_536):
                data += piece
        except ConnectionResetError:
            pass
        return data

    def send_large(self, sock, _):
        """Send more than the connections to the caller can hold."""
        head = test_endings.HEAD.replace(b'Content-Type', CHUNKED)
        sock.sendall(head % (handlers.REQUEST_ID, b'text/event-stream'))
        for number in range(1, 1_000):
            event = b'id: %d\ndata: %s\n\n' % (number, bytes(20_000))
            sock.sendall(messages.encode_chunk(event))
        sock.sendall(messages.LAST_CHUNK)

    # Guards against a deadline that passes while an event is half sent, and
    # against a response that follows on the connection (ORDER, MIXED).
    def test_deadline_in_a_half_sent_event(self):
        desk, caller, remote = self.make_caller(self.send_large)
        self.assertTrue(self.serve(desk, caller).get())
        data = self.read_rest(remote)
        self.assertIn(b'id: 2\n', data)
        self.assertFalse(data.endswith(messages.LAST_CHUNK))
        self.assertEqual(1, data.count(b'HTTP/1.1 '))

    # The same where memory runs short meanwhile.
    def test_memory_in_a_half_sent_event(self):
        for name in ('held for callers', 'held for targets'):
            desk, caller, remote = self.make_caller(
                self.send_large, timeout_ms=5_000, max_attempts=1
            )
            task = self.serve(desk, caller)
            base.wait_until(lambda caller=caller: caller._unsent_bytes)
            shares = [
                share
                for share in buffers.process_account._shares
                if (share.owner == 'callers') == (name == 'held for callers')
            ]
            self.assertTrue(shares, name)
            for share in shares:
                share.cut()
            data = self.read_rest(remote)
            self.assertTrue(task.get(), name)
            self.assertFalse(data.endswith(messages.LAST_CHUNK), name)
            self.assertEqual(1, data.count(b'HTTP/1.1 '), name)

    # Guards against a stream that looks whole to a caller that speaks HTTP/1.0
    # and closes its own side of the connection in the middle.
    def test_half_closed_caller(self):
        def cut(sock, _):
            head = test_endings.HEAD.replace(b'Content-Type', CHUNKED)
            head %= (handlers.REQUEST_ID, b'text/event-stream')
            event = messages.encode_chunk(test_endings.encode_event(1))
            sock.sendall(head + event)
            gevent.sleep(0.1)
            sock.sendall(messages.LAST_CHUNK)

        desk, caller, remote = self.make_caller(cut, b'1.0')
        task = self.serve(desk, caller)
        self.assertIn(b'id: 1\n', remote.recv(65_536))
        remote.shutdown(socket.SHUT_WR)
        self.assertTrue(task.get())
        with self.assertRaises(ConnectionResetError):
            remote.recv(65_536)

    # Guards against a cut stream that looks whole to a caller that speaks
    # HTTP/1.0, as the kernel closes a killed router's connections (ORDER).
    def test_router_is_killed(self):
        process = subprocess.Popen(
            [sys.executable, '-c', KILLED_ROUTER],
            stdout=subprocess.PIPE,
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.stdout.close)
        port = int(process.stdout.readline())
        with socket.create_connection(('127.0.0.1', port)) as sock:
            sock.sendall(
                b'POST /a/x HTTP/1.0\r\nHost: desk\r\n'
                b'Content-Length: 0\r\n\r\n'
            )
            # Whether the router gets as far as that at all.
            data = sock.recv(65_536)
            self.assertIn(b'id: 1\n', data)
            self.assertEqual(-signal.SIGKILL, process.wait())
            with self.assertRaises(ConnectionResetError):
                sock.recv(65_536)
