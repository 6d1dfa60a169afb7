"""Peers that drop idle connections, sooner than usual and without notice."""

import unittest

from galenaspoke.edge import targets
from tests.edge import base

NOW = 1_000_000


class IdleTest(unittest.TestCase):
    """Which connection a request gets."""

    def setUp(self):
        # Nobody listens there: a new connection is refused.
        self.target = targets.Target(base.make_target_entry('i-1', port=1))
        self.conn, self.far = base.make_connection_pair()
        self.addCleanup(self.far.close)

    def kept(self, idle_ms, age_ms):
        """Tell whether a connection is used again after some rest."""
        self.target.release_connection(self.conn, NOW, idle_ms)
        try:
            return self.target.acquire_connection(NOW + age_ms) is self.conn
        except targets.links.NotSent:
            return False

    def test_young_one_is_used_again(self):
        self.assertTrue(self.kept(5_000, 100))

    def test_one_that_may_be_dropped_any_moment_is_not(self):
        self.assertFalse(self.kept(5_000, 5_000 - targets.IDLE_MARGIN_MS))

    def test_unstated_time_is_taken_for_short(self):
        self.assertFalse(self.kept(None, targets.UNSTATED_IDLE_MS))

    def test_one_that_was_closed_is_seen(self):
        self.far.close()
        self.assertFalse(self.kept(5_000, 100))

    def test_swept_before_the_peer_drops_it(self):
        self.target.release_connection(self.conn, NOW, 1_000)
        self.target.close_expired_connections(
            NOW + 1_000 - targets.IDLE_MARGIN_MS
        )
        self.assertEqual(b'', self.far.recv(1))
