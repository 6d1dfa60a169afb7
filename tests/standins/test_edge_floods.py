"""Answers without end: each case sends what it says, and is bounded."""

import random
import time
import unittest

from standins import edge_divisions
from standins import edge_floods

SOON_S = 1.0
TOKENS = 6


class FakeSocket:
    """A peer that reads at once and keeps the start of what it reads."""

    def __init__(self, capacity_bytes=100_000):
        self.data = b''
        self.count = 0
        self._capacity_bytes = capacity_bytes

    def settimeout(self, _timeout_s):
        """Take any time-out."""

    def sendall(self, data):
        """Read some bytes."""
        self.count += len(data)
        self.data = (self.data + data)[: self._capacity_bytes]


def send(case, seconds=0.02, division=None):
    """Return the socket to which a case was sent."""
    sock = FakeSocket()
    division = division or edge_divisions.Division()
    pieces = edge_divisions.divide_endlessly(
        division, 'k', TOKENS, 2, random.Random(1)
    )
    answer = edge_floods.Answer('k.0', 'i-1.5.k.0', 'k', 'v1', pieces)
    edge_floods.send(sock, case, answer, seconds)
    return sock


class FloodTest(unittest.TestCase):
    """What a caller of a faulty engine reads."""

    def test_all_cases_send_without_end(self):
        """Each case sends for the whole time, and not for much longer."""
        for case in edge_floods.CASES:
            began = time.monotonic()
            sock = send(case, 0.2 if case.endswith('slow') else 0.02)
            self.assertGreater(sock.count, edge_floods.BLOCK_BYTES // 2, case)
            self.assertLess(time.monotonic() - began, SOON_S, case)

    def test_bytes_are_bounded(self):
        """A peer that reads quickly doesn't get more than the bound."""
        sock = send('body', seconds=30)
        self.assertGreaterEqual(sock.count, edge_floods.MAX_CONNECTION_BYTES)
        self.assertLess(sock.count, 1.1 * edge_floods.MAX_CONNECTION_BYTES)

    def test_heads_without_end(self):
        """These cases never come to the end of a head."""
        for case in ('headers', 'header', 'status-line', 'garbage'):
            self.assertNotIn(b'\r\n\r\n', send(case).data, case)

    def test_answers_are_those_of_the_request(self):
        """All but some cases name the request and carry its stamp."""
        for case in ('body', 'chunked', 'length', 'events', 'comments'):
            data = send(case).data
            self.assertIn(b'X-Request-Id: k.0\r\n', data, case)
            self.assertIn(b'X-Response-Stamp: i-1.5.k.0\r\n', data, case)

    def test_events_go_on_where_they_were_asked_for(self):
        """Well-formed events have increasing numbers."""
        data = send('events').data
        body = data.partition(b'\r\n\r\n')[2]
        self.assertTrue(
            body.startswith(
                b'id: 3\ndata: k v1 3 3\n\nid: 4\ndata: k v1 4 4\n'
            )
        )

    def test_events_that_hold_several_tokens(self):
        """Another engine could go on after each that was asked for."""
        data = send('events', division=edge_divisions.Division(2)).data
        body = data.partition(b'\r\n\r\n')[2]
        self.assertTrue(
            body.startswith(
                b'id: 3\ndata: k v1 5 6\n\nid: 4\ndata: k v1 7 7\n'
            )
        )
        self.assertTrue(send('event').data.endswith(b'x'))
        self.assertIn(b'\r\n\r\nid: 3\ndata: x', send('event').data)

    def test_foreign_responses(self):
        """Whole empty responses never have the id of the request."""
        data = send('foreign').data
        self.assertNotIn(b'X-Request-Id: k.0\r\n', data)
        self.assertGreater(data.count(b'X-Request-Id: other-k.0\r\n'), 100)
