"""How callers send and read, at a router made up here."""

import random
import signal
import types
import unittest
from unittest import mock

import gevent
from gevent import socket

from bench import edge_callers
from bench import edge_sessions
from bench import site_profiles
from bench import tenants
from galenaspoke.http import listening
from standins import platform_documents
from standins import raw_http

TALK = '/stream/talk/'
PIECES = 24
HEAD = b'HTTP/1.1 200 OK\r\n'


class FakeRouter:
    """A router that answers as a test says, and keeps what it was asked."""

    def __init__(self, answer):
        own = random.SystemRandom()
        host = f'127.{own.randint(16, 250)}.{own.randint(1, 250)}'
        self.name = 'router-0'
        self.ip = f'{host}.1'
        popen = types.SimpleNamespace(poll=lambda: self.code)
        self.process = types.SimpleNamespace(popen=popen)
        self.code = None
        self.asked = []
        self._answer = answer
        self._server = listening.serve(
            self.ip, platform_documents.FRONT_PORT, self._serve
        )

    def _serve(self, sock, _peer):
        conn = raw_http.Connection(sock)
        try:
            while (message := conn.read_head()) is not None:
                conn.read_body(message)
                self.asked.append(message)
                if not self._answer(sock, len(self.asked)):
                    break
        except (OSError, raw_http.Disconnected):
            pass
        finally:
            sock.close()

    def stop(self):
        """Close its address."""
        self._server.stop()


def encode_event(key, number, first, last):
    """Return an event of a stream."""
    return f'id: {number}\ndata: {key} v1 {first} {last}\n\n'.encode()


class SessionsTest(unittest.TestCase):
    """One request of a caller."""

    def start(self, answer):
        """Start a router that answers so, and a caller."""
        self.router = FakeRouter(answer)
        self.addCleanup(self.router.stop)
        self.fleet = types.SimpleNamespace(
            routers=[self.router],
            tenants=tenants.Tenants([]),
            profile=site_profiles.default(),
        )
        self.fleet.profile.lost_begin_share = 0.0
        self.caller = edge_sessions.Caller(
            'c0', self.fleet, random.Random(1), []
        )
        self.set('LEAVING_SHARE', 0.0)
        self.set('SLOW_SHARE', 0.0)
        self.set('OLD_HTTP_SHARE', 0.0)
        self.set('ABUSER_SHARE', 0.0)

    def set(self, name, value):
        """Set a constant of the callers."""
        patch = mock.patch.object(edge_sessions, name, value)
        patch.start()
        self.addCleanup(patch.stop)

    def send(self, key='k', retries=1):
        """Send a request until it is final; return it."""
        req = edge_callers.Request(key, TALK, PIECES)
        req.retries = retries
        self.caller._send_until_final(req)
        return req

    def test_resumption(self):
        """It names the id of the last event as it was sent."""

        def answer(sock, count):
            sock.sendall(HEAD + b'Content-Length: 500\r\n\r\n')
            sock.sendall(encode_event('k', 6, 1, 6))
            sock.sendall(encode_event('k', 11, 7, 11))
            return False

        self.start(answer)
        req = self.send()
        self.assertEqual(req.attempts[0].outcome, 'cut')
        again = self.router.asked[1]
        self.assertEqual(again.get('last-event-id'), '11')
        self.assertIn(again.get('resumes'), ('', 'k.0'))

    def test_lost_begin(self):
        """A stream whose first event gets lost is begun again."""

        def answer(sock, count):
            sock.sendall(HEAD + b'Content-Length: 500\r\n\r\n')
            sock.sendall(encode_event('k', 6, 1, 6))
            return False

        self.start(answer)
        self.fleet.profile.lost_begin_share = 1.0
        req = self.send()
        self.assertEqual(['cut', 'cut'], [a.outcome for a in req.attempts])
        self.assertEqual(0, req.count_events())
        self.assertEqual('', self.router.asked[1].get('last-event-id'))

    def answer_old_http(self, ending):
        """Return the outcome of a stream by HTTP/1.0 that ends so."""

        def answer(sock, count):
            sock.sendall(HEAD + b'\r\n' + encode_event('k', 1, 1, 6))
            gevent.sleep(0.05)
            if ending == 'killed':
                self.router.code = -signal.SIGKILL
            if ending == 'reset':
                raw_http.reset(sock)
            return False

        self.start(answer)
        self.set('OLD_HTTP_SHARE', 1.0)
        req = self.send(retries=0)
        self.assertTrue(self.router.asked[0].first.endswith('HTTP/1.0'))
        return req.attempts[0].outcome

    def test_old_http(self):
        """A stream ends with its connection."""
        self.assertEqual(self.answer_old_http('closed'), 'whole')

    def test_old_http_that_is_cut(self):
        """It is cut by a reset."""
        self.assertEqual(self.answer_old_http('reset'), 'cut')

    def test_old_http_of_a_router_that_is_killed(self):
        """The kernel closes its connections, so nothing is known."""
        self.assertEqual(self.answer_old_http('killed'), 'cut')

    def test_retry_after(self):
        """It is honoured up to a third of the time that is left."""
        self.start(None)
        attempt = edge_callers.Attempt('k.0', self.router, 1)
        attempt.outcome = 'refused'
        for asked, expected in (('0.4', 0.4), ('9', 2.0), ('soon', 0)):
            attempt.headers = {'retry-after': asked}
            pause_s = self.caller._choose_pause(attempt, 6.0)
            self.assertAlmostEqual(pause_s, expected)

    def test_buffers_that_are_full(self):
        """A caller that reads nothing holds up who writes to it."""
        sent = []

        def answer(sock, count):
            sock.sendall(HEAD + b'Connection: close\r\n\r\n')
            for number in range(PIECES):
                event = encode_event(key, number + 1, number + 1, number + 1)
                sock.sendall(event)
                sent.append(number)
            return False

        key = 'k' + edge_sessions.PADDING
        self.start(answer)
        self.set('STALL_S', (1.0, 1.0))
        sending = gevent.spawn(self.send, key, 0)
        gevent.sleep(0.5)
        self.assertTrue(0 < len(sent) < PIECES, sent)
        req = sending.get(timeout=10)
        self.assertEqual(len(sent), PIECES)
        self.assertEqual(req.attempts[0].outcome, 'whole')
        self.assertEqual(len(req.attempts[0].events), PIECES)

    def test_old_connections(self):
        """One whose router is gone is used again, and found to be cut."""

        def answer(sock, count):
            sock.sendall(HEAD + b'Content-Length: 0\r\n\r\n')
            if count == 2:
                sock.shutdown(socket.SHUT_RDWR)
            return count < 2

        self.start(answer)
        self.set('REUSE_SHARE', 1.0)
        for _ in range(2):
            self.assertEqual(self.send().attempts[0].outcome, 'whole')
        gevent.sleep(0.05)
        self.assertEqual(self.send().attempts[0].outcome, 'cut')
