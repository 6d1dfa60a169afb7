"""Agents' peers that take memory or processor time from the others.

Each answer is within its own bounds; what counts is their sum, and who gets a
turn while they are read.
"""

import unittest
from unittest import mock

import gevent
from gevent import event
from gevent import server

from galenaspoke.utils import bounded_http
from galenaspoke.utils import http
from tests import fakes

HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n'
HELD_BYTES = 500_000
CALLERS = 10
# Fits into the buffers of a socket, as chunks of one byte.
READ_BYTES = 8000
TIMEOUT_S = 10


class MemoryTest(unittest.TestCase):
    """Answers that aren't whole yet, of two peers."""

    def setUp(self):
        self.account = fakes.use_own_account(self, 4 * HELD_BYTES)
        self.may_go_on = event.Event()
        self.failures = 0

    def start_server(self):
        """Return the url of a server that stops in the middle for a while."""
        peer = server.StreamServer(('127.0.0.1', 0), self.serve)
        peer.start()
        self.addCleanup(peer.stop, timeout=0)
        return f'http://127.0.0.1:{peer.server_port}'

    def serve(self, sock, _):
        """Send a half of an answer, and later the other."""
        sock.recv(65_536)
        try:
            sock.sendall(HEAD + b'x' * HELD_BYTES)
            self.may_go_on.wait()
            sock.sendall(b'x' * (1_000_000 - HELD_BYTES))
        except OSError:
            pass
        finally:
            sock.close()

    def call(self, url):
        """Return the answer, None if the exchange failed."""
        try:
            with http.exchange(url, '/call', b'{}', TIMEOUT_S) as resp:
                return resp.read()
        except http.TargetFailed as exc:
            self.assertTrue(exc.sent)
            self.failures += 1
            return None

    # Guards against answers that are kept however many they are, and against
    # a peer of few that pays for a peer of many.
    def test_sum_of_answers(self):
        faulty, well = self.start_server(), self.start_server()
        calls = [gevent.spawn(self.call, faulty) for _ in range(CALLERS)]
        call = gevent.spawn(self.call, well)
        with gevent.Timeout(TIMEOUT_S):
            while self.failures < CALLERS - 3:
                gevent.sleep(0.01)
            self.assertLessEqual(
                self.account.held_bytes, self.account.limit_bytes
            )
            gevent.killall(calls)
            self.may_go_on.set()
            self.assertEqual(1_000_000, len(call.get() or b''))
        self.assertEqual(0, self.account.held_bytes)


class TurnsTest(unittest.TestCase):
    """An answer that has come before it is read."""

    def setUp(self):
        self.turns = 0
        self.server = server.StreamServer(('127.0.0.1', 0), self.serve)
        self.server.start()
        self.addCleanup(self.server.stop, timeout=0)
        self.client = bounded_http.Client.from_url(
            f'http://127.0.0.1:{self.server.server_port}',
            limits=bounded_http.Limits(body_bytes=1_000_000),
        )
        self.addCleanup(self.client.close)

    def serve(self, sock, _):
        """Send chunks of one byte as fast as they are taken."""
        sock.recv(65_536)
        try:
            sock.sendall(
                b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
            )
            while True:
                sock.sendall(b'1\r\nx\r\n' * 1000)
        except OSError:
            pass
        finally:
            sock.close()

    def count_turns(self):
        """Count the turns of another greenlet."""
        while True:
            gevent.sleep(0)
            self.turns += 1

    # Guards against a peer that keeps all other greenlets waiting.
    def test_turns_of_others(self):
        other = gevent.spawn(self.count_turns)
        self.addCleanup(other.kill)
        with (
            gevent.Timeout(TIMEOUT_S),
            mock.patch.object(bounded_http, 'TURN_MS', 0),
        ):
            resp = self.client.request('GET', '/')
            gevent.sleep(0.3)
            self.turns = 0
            self.assertEqual(b'x' * READ_BYTES, resp.read(READ_BYTES))
        # The library receives in a few large pieces.
        self.assertGreater(self.turns, 0)
