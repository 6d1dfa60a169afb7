"""Peers of agents and operators that answer without end.

Guards against memory and time without bound: the exchange fails, its
connection is closed, and the peer may have started the request.
"""

import time
import types
import unittest

import gevent
from gevent import server

from galenaspoke.application import client as application
from galenaspoke.conf import definitions
from galenaspoke.ctl import state_dumps
from galenaspoke.engine import client as engine
from galenaspoke.roster import client as roster
from galenaspoke.store import base as store_base
from galenaspoke.store import client as store_client
from galenaspoke.utils import http
from tests.edge import base
from tests import fakes

OK = b'HTTP/1.1 200 OK\r\n'
LENGTH = OK + b'Content-Length: 99999999999\r\n\r\n'
CHUNKS = OK + b'Transfer-Encoding: chunked\r\n\r\n'
# More than any answer may have, and little enough for a test that fails.
MOST_BYTES = 50_331_648
# What the sockets of both sides may hold besides.
SOCKET_BYTES = 8_388_608
PIECE = b'x' * 16_384
TIMEOUT_S = 30
ENDLESS = {
    'a body without a length': (OK + b'\r\n', PIECE),
    'a body with a huge length': (LENGTH, PIECE),
    'chunks': (CHUNKS, b'4000\r\n' + PIECE + b'\r\n'),
    'chunks of one byte': (CHUNKS, b'1\r\nx\r\n' * 1000),
    'a chunk extension': (CHUNKS + b'1;', PIECE),
    'trailers': (CHUNKS + b'0\r\n', b'a: b\r\n' * 1000),
    'a head': (OK, b'Name-%d: x\r\n' * 1000),
    'small headers': (OK, b'a:\r\n' * 1000),
    'one header': (OK + b'Name: ', PIECE),
    'a header name': (OK, PIECE),
    'a status line': (b'HTTP/1.1 200 ', PIECE),
    'interim responses': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 500),
}


class EndlessServerTestCase(unittest.TestCase):
    """Clients of a server that sends `start` and then `piece` for ever."""

    def setUp(self):
        self.account = fakes.use_own_account(self)
        self.start = self.piece = b''
        self.pause_s = 0
        self.sent_bytes = 0
        self.is_closed = False
        self.server = server.StreamServer(('127.0.0.1', 0), self.serve)
        self.server.start()
        self.addCleanup(self.server.stop, timeout=0)
        self.address = f'127.0.0.1:{self.server.server_port}'
        self.url = f'http://{self.address}'

    def serve(self, sock, _):
        """Answer one request until its caller closes."""
        try:
            sock.recv(65_536)
            sock.sendall(self.start)
            while self.sent_bytes < MOST_BYTES:
                sock.sendall(self.piece)
                self.sent_bytes += len(self.piece)
                gevent.sleep(self.pause_s)
        except OSError:
            self.is_closed = True
        finally:
            sock.close()

    def send(self, kind):
        """Let the server send one of ENDLESS from now on."""
        self.start, self.piece = ENDLESS[kind]
        self.sent_bytes = 0


class ExchangeTest(EndlessServerTestCase):
    """An agent's exchanges with its target."""

    # Guards against an answer that is kept however large it is.
    def test_size(self):
        for kind in ENDLESS:
            with self.subTest(kind), gevent.Timeout(TIMEOUT_S):
                self.send(kind)
                with self.assertRaises(http.TargetFailed) as found:
                    with http.exchange(
                        self.url, '/call', b'{}', TIMEOUT_S
                    ) as resp:
                        resp.read()
                self.assertTrue(found.exception.sent)
                self.assertLess(self.sent_bytes, SOCKET_BYTES)
                self.assertEqual(0, self.account.held_bytes)

    # Guards against an exchange that goes on as long as a peer drips bytes.
    def test_drip(self):
        for kind in ENDLESS:
            with self.subTest(kind), gevent.Timeout(TIMEOUT_S):
                self.send(kind)
                self.piece = self.piece[:1]
                self.pause_s = 0.05
                started_at = time.monotonic()
                with self.assertRaises(http.TargetFailed) as found:
                    with http.exchange(self.url, '/call', b'{}', 0.3) as resp:
                        resp.read()
                self.assertTrue(found.exception.sent)
                self.assertLess(time.monotonic() - started_at, 2)


class PeersTest(EndlessServerTestCase):
    """The clients of each peer."""

    def check_size(self, kind, call):
        """Check that a call ends before the peer has sent much."""
        self.send(kind)
        with gevent.Timeout(TIMEOUT_S):
            call()
        self.assertLess(self.sent_bytes, SOCKET_BYTES + 16_777_216, kind)

    # Guards against answers of any peer that are kept whole.
    def test_answers(self):
        req = types.SimpleNamespace(key='k', prompt='p')

        def call_application():
            with self.assertRaises(http.TargetFailed) as found:
                application.call(self.url, req, 'd', TIMEOUT_S)
            self.assertTrue(found.exception.sent)

        def get_load():
            with self.assertRaises(http.TargetFailed):
                engine.get_load(self.url)

        def fetch_instances():
            self.assertEqual([], roster.fetch_instances(self.url))

        def fetch_state():
            self.assertIn('error', state_dumps.fetch(self.address))

        for kind in ENDLESS:
            for call in (
                call_application,
                get_load,
                fetch_instances,
                fetch_state,
            ):
                with self.subTest(kind, call=call.__name__):
                    self.check_size(kind, call)


class StreamTest(EndlessServerTestCase):
    """Streams of an engine's pieces."""

    MAX_TOKENS = 10

    def generate(self):
        """Return the pieces that came before the stream failed."""
        req = types.SimpleNamespace(
            key='k', budget='b', prompt='p', priority=5
        )
        pieces = []
        with gevent.Timeout(TIMEOUT_S):
            with self.assertRaises(http.TargetFailed) as found:
                for piece in engine.generate(
                    self.url, req, 'd', self.MAX_TOKENS, ['a'], TIMEOUT_S
                ):
                    pieces.append(piece)
        self.assertTrue(found.exception.sent)
        self.assertLess(self.sent_bytes, SOCKET_BYTES)
        return pieces

    # Guards against a stream that goes on after its last token.
    def test_more_pieces_than_tokens(self):
        self.start = OK + b'\r\n'
        self.piece = b'{"piece":"x"}\n' * 100
        self.assertEqual(['x'] * (self.MAX_TOKENS - 1), self.generate())

    # Guards against a connection that stays open as long as its failure is
    # remembered.
    def test_connection_of_a_failed_stream(self):
        self.start = OK + b'\r\n'
        self.piece = b'{"piece":"x"}\n' * 100
        req = types.SimpleNamespace(
            key='k', budget='b', prompt='p', priority=5
        )
        failure = None
        try:
            list(engine.generate(self.url, req, 'd', 2, ['a'], TIMEOUT_S))
        except http.TargetFailed as exc:
            failure = exc
        with gevent.Timeout(5):
            while not self.is_closed:
                gevent.sleep(0.01)
        self.assertTrue(failure.sent)

    # Guards against a line that is kept however long it is.
    def test_line_without_end(self):
        self.start = OK + b'\r\n{"piece":"'
        self.piece = PIECE
        self.assertEqual([], self.generate())

    # Guards against pieces that are each within their bound, but not together.
    def test_long_pieces(self):
        self.start = OK + b'\r\n'
        self.piece = b'{"piece":"' + b'x' * 8192 + b'"}\n'
        self.assertLess(len(self.generate()), self.MAX_TOKENS - 1)

    # Guards against lines that are no piece and are handed on as one.
    def test_lines_without_pieces(self):
        self.start = OK + b'\r\n'
        self.piece = b'{}\n' * 100
        self.assertEqual([], self.generate())


class StoreTest(EndlessServerTestCase):
    """The agents' fleet's calls to the store."""

    # Guards against an object or a list that is kept however large it is.
    def test_size(self):
        cfg = definitions.StoreSettings(url=self.url)
        client = store_client.Client(cfg, base.Recorder())
        for kind in ENDLESS:
            for call in (lambda: client.get('a'), lambda: client.list('a')):
                with self.subTest(kind):
                    self.send(kind)
                    with gevent.Timeout(TIMEOUT_S):
                        with self.assertRaises(store_base.StoreUnavailable):
                            call()
                    self.assertLess(
                        self.sent_bytes,
                        store_client.MAX_RESPONSE_BYTES + SOCKET_BYTES,
                    )
                    self.assertEqual(0, self.account.held_bytes)
