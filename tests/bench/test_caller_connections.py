"""Connections that callers keep."""

import random
import types
import unittest
from unittest import mock

from bench import caller_connections
from standins import raw_http


class ConnectionsTest(unittest.TestCase):
    """Connections to one router."""

    def setUp(self):
        self.now = 100.0
        patch = mock.patch.object(
            caller_connections.time, 'monotonic', lambda: self.now
        )
        patch.start()
        self.addCleanup(patch.stop)
        self.kept = caller_connections.CallerConnections(random.Random(1))

    def keep(self, header=None):
        """Keep a connection after a response; return it."""
        headers = {'keep-alive': header} if header else {}
        conn = types.SimpleNamespace(sock=mock.Mock())
        message = raw_http.Message('HTTP/1.1 200 OK', headers)
        self.kept.keep('router-0', conn, message)
        return conn

    def test_used_again(self):
        """Each is used once, until it is kept again."""
        conn = self.keep()
        self.assertIs(self.kept.take('router-0'), conn)
        self.assertIsNone(self.kept.take('router-0'))
        self.assertIsNone(self.kept.take('router-1'))

    def test_idle(self):
        """One that has been idle for too long is closed."""
        conn = self.keep()
        self.now += 11.9
        self.keep('timeout=3, max=5')
        self.now += 0.2
        self.assertIsNotNone(self.kept.take('router-0'))
        conn.sock.close.assert_called_once_with()
        self.now += 3
        self.assertIsNone(self.kept.take('router-0'))

    def test_many(self):
        """The oldest one goes."""
        first = self.keep()
        for _ in range(caller_connections.MAX_KEPT):
            self.keep()
        first.sock.close.assert_called_once_with()
