"""Targets that close idle connections early and without notice.

A request on a connection that the target is closing would be lost, so such a
connection must not be used again.
"""

import unittest

from galenaspoke.edge.targets import directory
from tests.edge import base

NOW = 1_000_000


class IdleConnectionTest(unittest.TestCase):
    """Which connections are used for another request."""

    def setUp(self):
        # Nothing listens on that port, so new connections are refused.
        self.target = directory.Target(
            base.make_target_entry('i-1', port=1), base.get_whole_share
        )
        self.conn, self.remote = base.make_connection_pair()
        self.addCleanup(self.remote.close)

    def is_used_again(self, idle_timeout_ms, age_ms):
        """Return whether a connection is used again after `age_ms`."""
        self.target.release_connection(self.conn, NOW, idle_timeout_ms)
        try:
            return (
                self.target.acquire_connection(NOW + age_ms, '1') is self.conn
            )
        except directory.connections.NotSent:
            return False

    def test_fresh_connection_is_used_again(self):
        self.assertTrue(self.is_used_again(5_000, 100))

    def test_connection_close_to_its_timeout_is_not(self):
        self.assertFalse(
            self.is_used_again(5_000, 5_000 - directory.IDLE_MARGIN_MS)
        )

    def test_unstated_timeout_is_assumed_to_be_short(self):
        self.assertFalse(
            self.is_used_again(None, directory.DEFAULT_IDLE_TIMEOUT_MS)
        )

    def test_closed_connection_is_detected(self):
        self.remote.close()
        self.assertFalse(self.is_used_again(5_000, 100))

    def test_sweep_closes_before_the_target_does(self):
        self.target.release_connection(self.conn, NOW, 1_000)
        self.target.close_expired_connections(
            NOW + 1_000 - directory.IDLE_MARGIN_MS
        )
        self.assertEqual(b'', self.remote.recv(1))
