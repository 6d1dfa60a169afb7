"""A stream that has begun and broken off, and a next target that answers it
with an error.

Guards against the error's text, or its whole head, in the middle of the
caller's stream, and against a stream that ends as if it were complete.
"""

import itertools
import unittest

from galenaspoke.core import catalog
from galenaspoke.edge.serving import caller_connections
from galenaspoke.http import messages
from tests.edge import handlers

OWN = b'X-Request-Id: 9c41\r\nX-Response-Stamp: s\r\n'
NOT_RUN = b'X-Request-Id: 9c41\r\nX-Not-Run: 1\r\n'
EVENT_STREAM = b'Content-Type: text/event-stream\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n'
EVENTS = b'id: 1\ndata: x\n\nid: 2\ndata: y\n\n'
PART = b'id: 3\nda'
TEXT = b'id: 3\ndata: tex'
ERROR = b'{"error":"engine failed"}\n\n'
STATUSES = (200, 204, 400, 402, 404, 408, 413, 421, 429, 500, 502, 503, 504)


def frame(head, body, how, announced=None):
    """Return a response's bytes with a length, in chunks, or with neither.

    With `announced` the length is stated as that, and chunks don't end.
    """
    if how == 'length':
        size = len(body) if announced is None else announced
        return head + b'Content-Length: %d\r\n\r\n' % size + body
    if how == 'chunks':
        end = messages.LAST_CHUNK if announced is None else b''
        chunk = messages.encode_chunk(body) if body else b''
        return head + CHUNKED + b'\r\n' + chunk + end
    return head + b'\r\n' + body


def make_engine(data):
    """Return an engine that sends bytes and closes its connection."""

    def run(remote, _):
        remote.sendall(data)
        remote.close()

    return run


def break_off(how, body):
    """Return the bytes of a stream that ends before it is complete."""
    head = b'HTTP/1.1 200 OK\r\n' + OWN + EVENT_STREAM
    return frame(head, body, how, announced=len(body) + 40)


class ErrorInStreamTest(unittest.TestCase):
    """A router before two engines, of which the second one fails."""

    def serve(self, first, second):
        """Return the Caller of a stream, and whether its connection is cut."""
        desk = handlers.Desk(
            {'i-1': make_engine(first), 'i-2': make_engine(second)},
            kind=catalog.RequestKind.STREAM,
        )
        self.desk = desk
        self.addCleanup(desk.close)
        caller = handlers.Caller()
        # The first engine is tried first.
        desk.targets['i-2'].in_flight = 5
        try:
            desk.request(caller)
        except caller_connections.CallerDisconnected:
            return caller, True
        return caller, False

    def list_errors(self):
        """Return the bytes of all kinds of errors of the second engine."""
        errors = []
        for status, owner, how in itertools.product(
            STATUSES, (OWN, NOT_RUN, b''), ('length', 'chunks', 'none')
        ):
            head = b'HTTP/1.1 %d -\r\n' % status + owner
            errors.append(frame(head, ERROR, how))
            if status != 200:
                errors.append(frame(head + EVENT_STREAM, ERROR, how))
        return errors

    def check(self, first, second, relayed):
        """Check that the caller has whole events and then a cut."""
        caller, is_cut = self.serve(first, second)
        where = (first[-40:], second[:120])
        self.assertEqual([1, 1], self.desk.count_requests(), where)
        self.assertTrue(is_cut, where)
        data = caller.body
        chunk = messages.encode_chunk(relayed)
        self.assertEqual(chunk, data, where)

    def test_second_engine_answers_with_an_error(self):
        for second in self.list_errors():
            for how, rest in (('chunks', b''), ('none', PART)):
                self.check(break_off(how, EVENTS + rest), second, EVENTS)

    def test_every_way_to_break_off(self):
        error = frame(b'HTTP/1.1 500 -\r\n' + OWN, ERROR, 'length')
        for how, rest in itertools.product(
            ('length', 'chunks'), (b'', PART, b'id', b'\n')
        ):
            self.check(break_off(how, EVENTS + rest), error, EVENTS)

    # The engine itself writes a response into the stream that it has begun.
    def test_engine_writes_a_response_into_its_stream(self):
        for status, how in itertools.product(
            (200, 500, 503), ('length', 'chunks', 'none')
        ):
            head = b'HTTP/1.1 %d -\r\n' % status + OWN
            error = frame(head, ERROR, 'length')
            for before in (EVENTS, EVENTS + PART, EVENTS + TEXT):
                head = b'HTTP/1.1 200 OK\r\n' + OWN + EVENT_STREAM
                first = frame(head, before + error, how)
                self.check(first, error, EVENTS)

    # What a model says may look like a head.
    def test_text_about_responses_is_relayed(self):
        text = (
            b'id: 1\ndata: HTTP/1.1 500 is an error\n\n'
            b'id: 2\r\ndata: HTTP/1.1 500\r\ndata: is an error\r\n\r\n'
        )
        head = b'HTTP/1.1 200 OK\r\n' + OWN + EVENT_STREAM
        caller, is_cut = self.serve(frame(head, text, 'length'), b'')
        self.assertFalse(is_cut)
        self.assertIn(text, caller.body)
