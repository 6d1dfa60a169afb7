"""Requests that callers send ahead, and heads of very many headers."""

import unittest

import gevent

from galenaspoke.core import catalog
from galenaspoke.core import clock
from galenaspoke.edge.serving import caller_connections
from galenaspoke.http import messages
from galenaspoke.http import request_parsing
from tests.edge import base

TINY_REQUEST = b'GET /%d HTTP/1.1\r\nHost: a\r\n\r\n'
COUNT = 2_000


class PipelineTest(unittest.TestCase):
    """A caller that sends many requests at once."""

    def setUp(self):
        local, self.remote = base.make_tcp_pair(self)
        self.caller = caller_connections.CallerConnection(
            local, clock.Clock(), catalog.Limits
        )
        self.addCleanup(self.caller.close)

    def send(self, data):
        """Send all of it in the background."""
        task = gevent.spawn(self.remote.sendall, data)
        self.addCleanup(task.kill)
        gevent.sleep(0.01)

    # Guards against hundreds of requests that are made objects long before
    # their turn comes.
    def test_few_requests_are_parsed_ahead(self):
        self.send(b''.join(TINY_REQUEST % n for n in range(COUNT)))
        for number in range(COUNT):
            req = self.caller.next_request()
            self.assertEqual(f'/{number}', req.path)
            self.assertLess(len(self.caller.parser.requests), 400)
            if number < COUNT - 1:
                self.assertTrue(self.caller.has_queued_request())
        self.assertTrue(self.caller.is_idle())

    # Guards against requests that are lost between the pieces in which their
    # bytes are parsed.
    def test_requests_of_many_sizes(self):
        sizes = [0, 1, 8_000, 8_192, 9_000, 100_000, 0, 65_536, 3] * 3
        self.send(
            b''.join(
                b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s'
                % (size, bytes(size))
                for size in sizes
            )
        )
        for size in sizes:
            self.assertEqual(size, len(self.caller.next_request().body))

    # Guards against a request that isn't answered because the one behind it
    # is invalid, and against a 400 in its place.
    def test_valid_request_before_an_invalid_one(self):
        self.send(TINY_REQUEST % 1 + b'GET / HTTP/1.1\r\n\r\n')
        self.assertEqual('/1', self.caller.next_request().path)
        with self.assertRaises(messages.BadRequest):
            self.caller.next_request()

    # The same for one whose body came with the invalid one.
    def test_valid_body_before_an_invalid_request(self):
        self.send(b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\na')
        req = self.caller.begin_request()
        self.send(b'bGET / HTTP/1.1\r\n\r\n')
        self.caller.read_body(req)
        self.assertEqual(b'ab', req.body)
        with self.assertRaises(messages.BadRequest):
            self.caller.next_request()

    # Guards against a body that is taken for one that must be read since its
    # bytes were parsed in pieces.
    def test_request_that_was_read_whole_is_complete(self):
        self.send(
            b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 30000\r\n\r\n%s'
            % bytes(30_000)
        )
        self.assertTrue(self.caller.begin_request().is_complete)


class HeaderCountTest(unittest.TestCase):
    """Heads that are short but hold very many headers."""

    # Guards against heads whose objects take thirty times their bytes.
    def test_many_headers(self):
        parser = request_parsing.RequestParser(catalog.Limits())
        with self.assertRaises(messages.BadRequest) as raised:
            parser.feed(b'GET / HTTP/1.1\r\nHost: a\r\n' + b'A: b\r\n' * 200)
        self.assertEqual(431, raised.exception.status)

    # Guards against a bound below what callers and proxies send.
    def test_usual_number_of_headers(self):
        parser = request_parsing.RequestParser(catalog.Limits())
        parser.feed(
            b'GET / HTTP/1.1\r\nHost: a\r\n' + b'A: b\r\n' * 100 + b'\r\n'
        )
        self.assertEqual(101, len(parser.requests[0].headers))
