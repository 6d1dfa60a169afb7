"""Callers that keep a router busy: others are served meanwhile."""

import contextlib
import unittest
from unittest import mock

import gevent

from galenaspoke.core import catalog
from galenaspoke.core import clock
from galenaspoke.edge.serving import caller_connections
from galenaspoke.http import request_parsing
from tests.edge import base

CONNECTIONS = 20
BODY_HEAD = b'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
# About what one connection parses in its time, on a quick machine.
MAX_PARSED_BYTES = 200_000


class BusyCallerTest(unittest.TestCase):
    """Connections on which there is always more to read."""

    def setUp(self):
        self.parsed_bytes = self.most_parsed = 0
        feed = request_parsing.RequestParser.feed

        def count(parser, data):
            self.parsed_bytes += len(data)
            feed(parser, data)

        patcher = mock.patch.object(
            request_parsing.RequestParser, 'feed', count
        )
        patcher.start()
        self.addCleanup(patcher.stop)

    def flood(self, start, piece):
        """Serve callers that send `start` and then repeat `piece`."""
        for _ in range(CONNECTIONS):
            local, remote = base.make_tcp_pair(self)
            for run, *args in (
                (self.send, remote, start, piece),
                (self.serve, local),
            ):
                self.addCleanup(gevent.spawn(run, *args).kill)

    def send(self, remote, start, piece):
        remote.sendall(start)
        while True:
            remote.sendall(piece)

    def serve(self, local):
        caller = caller_connections.CallerConnection(
            local, clock.Clock(), catalog.Limits
        )
        with (
            contextlib.closing(caller),
            contextlib.suppress(caller_connections.OutOfMemory),
        ):
            while True:
                caller.next_request()

    def check_others_run(self):
        """Check how much is parsed before another greenlet may run."""
        for _ in range(300):
            self.parsed_bytes = 0
            gevent.sleep(0)
            self.most_parsed = max(self.most_parsed, self.parsed_bytes)
        self.assertGreater(self.most_parsed, 0)
        self.assertLess(self.most_parsed, MAX_PARSED_BYTES)

    # Guards against chunks of one byte that keep the process busy.
    def test_chunks_of_one_byte(self):
        self.flood(BODY_HEAD, b'1\r\na\r\n' * 10_000)
        self.check_others_run()

    # Guards against tiny requests that keep the process busy.
    def test_tiny_requests(self):
        self.flood(b'', b'GET / HTTP/1.1\r\nHost: a\r\n\r\n' * 2_000)
        self.check_others_run()


class BusyStreamTest(unittest.TestCase):
    """Streams of which there is always more to send."""

    EVENTS = bytes(20_000)

    def send(self, local):
        caller = caller_connections.CallerConnection(
            local, clock.Clock(), catalog.Limits
        )
        with contextlib.closing(caller):
            while True:
                caller.send(self.EVENTS)
                self.sent_bytes += len(self.EVENTS)

    # Guards against streams that fill the buffers of their sockets while
    # nobody else is served.
    def test_others_run(self):
        self.sent_bytes = most_sent = 0
        for _ in range(CONNECTIONS):
            local, _ = base.make_tcp_pair(self)
            self.addCleanup(gevent.spawn(self.send, local).kill)
        for _ in range(300):
            self.sent_bytes = 0
            gevent.sleep(0)
            most_sent = max(most_sent, self.sent_bytes)
        self.assertGreater(most_sent, 0)
        self.assertLess(most_sent, 1_500_000)
