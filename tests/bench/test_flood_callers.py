"""Callers that flood a router, from what a listener in its place reads."""

import time
import unittest

from gevent import socket

from bench import flood_callers
from standins import raw_http

SECONDS = 0.5
MAX_HEAD_BYTES = 20_000


class CallersTest(unittest.TestCase):
    """What one caller of a case sends on its first connection."""

    def read(self, case):
        """Return all that a caller sends while it gets no response."""
        received = []

        def serve(sock, _peer):
            number = len(received)
            received.append(b'')
            while data := sock.recv(raw_http.RECEIVE_BYTES):
                received[number] += data

        with socket.socket() as sock:
            sock.bind(('127.0.0.1', 0))
            address = '%s:%d' % sock.getsockname()
        server = raw_http.listen(address, serve)
        self.addCleanup(server.stop)
        until = time.monotonic() + SECONDS
        flood_callers.Caller('k', address, until).run(case)
        return received[0]

    def test_body_without_its_last_bytes(self):
        """A length is stated, and all but a few bytes come."""
        for case in ('caller-body', 'caller-body-unknown'):
            head, _, body = self.read(case).partition(b'\r\n\r\n')
            self.assertIn(b'Content-Length: 4194304', head)
            missing = flood_callers.BODY_BYTES - len(body)
            self.assertEqual(missing, flood_callers.UNSENT_BYTES)

    def test_head_without_end(self):
        """It is long and within what a head may have."""
        data = self.read('caller-head')
        self.assertNotIn(b'\r\n\r\n', data)
        self.assertGreater(len(data), flood_callers.HEAD_BYTES)
        self.assertLess(len(data), MAX_HEAD_BYTES)

    def test_many_requests_at_once(self):
        """All are sent before the first response."""
        data = self.read('caller-requests')
        self.assertEqual(data.count(b'POST '), flood_callers.REQUESTS)
        sent = flood_callers.REQUESTS * flood_callers.REQUEST_BYTES
        self.assertGreater(len(data), sent)

    def test_callers_of_an_engine(self):
        """For a flood of an engine they ask one request after the other."""
        self.assertEqual(self.read('tiny-chunks').count(b'POST '), 1)
