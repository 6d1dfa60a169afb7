"""Callers of a router that send without end, slowly, or don't read.

Guards against memory and time without bound for what nobody will serve.
"""

from unittest import mock

import gevent
from gevent import socket

from galenaspoke.rpc import messages
from galenaspoke.utils import bounded_wsgi
from tests import fakes
from tests.router import test_wsgi

POST = b'POST /v1/services/%s HTTP/1.1\r\nHost: a\r\n'
CHUNKED = POST % b'pool' + b'Transfer-Encoding: chunked\r\n\r\n'
LENGTH = POST % b'pool' + b'Content-Length: %d\r\n\r\n'
MOST_BYTES = 50_331_648
SOCKET_BYTES = 8_388_608
PIECE = b'x' * 16_384
TIMEOUT_S = 30
ENDLESS = {
    'a request line': (b'', PIECE),
    'one header': (POST % b'pool' + b'Name: ', PIECE),
    'long headers': (POST % b'pool', b'Name: ' + PIECE + b'\r\n'),
    'small headers': (POST % b'pool', b'a:b\r\n' * 1000),
    'a body that is too long': (LENGTH % 99_999_999_999, PIECE),
    'chunks': (CHUNKED, b'4000\r\n' + PIECE + b'\r\n'),
    'chunks of one byte': (CHUNKED, b'1\r\nx\r\n' * 1000),
    'trailers': (CHUNKED + b'0\r\n', b'a: b\r\n' * 1000),
}


class EndlessRequestTest(test_wsgi.CallerTestCase):
    """Callers on sockets of their own."""

    def setUp(self):
        super().setUp()
        self.dispatcher.events = [messages.Pieces(['a', 'b']), test_wsgi.WHOLE]
        self.account = fakes.use_own_account(self)

    def patch(self, name, value):
        """Set a constant of the module for a test."""
        patcher = mock.patch.object(bounded_wsgi, name, value)
        patcher.start()
        self.addCleanup(patcher.stop)

    def connect(self, source='127.0.0.1'):
        """Return a connection to the router."""
        conn = socket.create_connection(
            self.server.address, TIMEOUT_S, (source, 0)
        )
        self.addCleanup(conn.close)
        return conn

    def send_without_end(self, start, piece, pause_s=0):
        """Return how many bytes a router takes before it closes."""
        conn = self.connect()
        sent_bytes = 0
        try:
            conn.sendall(start)
            while sent_bytes < MOST_BYTES:
                conn.sendall(piece)
                sent_bytes += len(piece)
                gevent.sleep(pause_s)
        except OSError:
            pass
        return sent_bytes

    # Guards against a request that is read on however much comes.
    def test_size(self):
        for kind, (start, piece) in ENDLESS.items():
            with self.subTest(kind), gevent.Timeout(TIMEOUT_S):
                sent_bytes = self.send_without_end(start, piece)
                self.assertLess(sent_bytes, SOCKET_BYTES)
                self.assertEqual(0, self.account.held_bytes)
        self.assertEqual([], self.dispatcher.requests)

    # Guards against a request that is waited for as long as bytes come.
    def test_drip(self):
        self.patch('HEAD_TIMEOUT_MS', 200)
        self.patch('BODY_TIMEOUT_MS', 200)
        for kind, (start, piece) in ENDLESS.items():
            with self.subTest(kind), gevent.Timeout(3):
                self.send_without_end(start, piece[:1], 0.05)
        self.assertEqual([], self.dispatcher.requests)

    # Guards against bodies that are kept however many they are, and against
    # a caller of little that pays for one of much.
    def test_sum_of_bodies(self):
        self.account.limit_bytes = 1_000_000
        conns = [self.connect() for _ in range(10)]
        for conn in conns:
            conn.sendall(LENGTH % 500_000)
        other = self.connect('127.0.0.2')
        body = self.make_body(False)
        other.sendall(LENGTH % len(body) + body[:-1])
        for conn in conns:
            try:
                conn.sendall(b'x' * 400_000)
            except OSError:
                pass
            gevent.sleep(0.02)
        self.assertGreater(self.account.held_bytes, 0)
        self.assertLessEqual(self.account.held_bytes, 1_000_000)
        other.sendall(body[-1:])
        self.assertIn(b' 200 ', other.recv(65_536))

    # Guards against a request that nobody reads and that stays open.
    def test_stream_that_is_not_read(self):
        self.patch('SEND_TIMEOUT_S', 0.2)
        pieces = messages.Pieces(['x' * 100_000])
        self.dispatcher.events = [pieces] * 1000
        body = self.make_body(True)
        conn = self.connect()
        conn.sendall(LENGTH % len(body) + body)
        with gevent.Timeout(TIMEOUT_S):
            while not self.dispatcher.is_closed:
                gevent.sleep(0.05)

    # Guards against a body that is read though its request is refused anyway.
    def test_service_that_is_unknown(self):
        for key, verdict in ((b'', b'not_run'), (b'k', b'may_have_run')):
            conn = self.connect()
            head = b'Idempotency-Key: %s\r\n' % key if key else b''
            conn.sendall(
                POST % b'nowhere' + head + b'Content-Length: 500000\r\n\r\n'
            )
            with gevent.Timeout(TIMEOUT_S):
                response = conn.recv(65_536)
            self.assertIn(b' 400 ', response)
            self.assertIn(b'bad_request', response)
            self.assertIn(verdict, response)
