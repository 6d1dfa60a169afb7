"""The bound on the bytes that a process holds for its peers."""

import socket
import unittest
from unittest import mock
import weakref

from galenaspoke.http import buffers
from galenaspoke.utils import bounded_http

LIMIT_BYTES = 1_000


class ExchangeTest(unittest.TestCase):
    """Shares of the exchanges of the agents' fleet."""

    # Guards against a share that outlives its connection, if nobody ends the
    # response that came on it.
    def test_closed_socket_holds_nothing(self):
        account = buffers.BufferAccount()
        local, remote = socket.socketpair()
        self.addCleanup(remote.close)
        sock = bounded_http._Socket(fileno=local.detach())
        with mock.patch.object(buffers, 'process_account', account):
            sock.begin_response('peer', None)
        remote.sendall(b'HTTP/1.1 200 OK')
        sock.recv(100)
        self.assertEqual(15, account.held_bytes)
        sock.close()
        self.assertEqual(0, account.held_bytes)


class BufferAccountTest(unittest.TestCase):
    """Shares of several owners."""

    def setUp(self):
        self.account = buffers.BufferAccount(LIMIT_BYTES)
        self.cut = []

    def open(self, name, owner):
        """Return a share that notes under `name` that it was cut."""
        return self.account.open(owner, lambda: self.cut.append(name))

    # Guards against a bound on each connection that is no bound on their sum.
    def test_sum_stays_within_the_limit(self):
        for number in range(50):
            self.open(number, 'i-1').resize(90)
            self.assertLessEqual(self.account.held_bytes, LIMIT_BYTES)
        self.assertEqual(39, len(self.cut))
        self.assertEqual(39, self.account.cut_count)

    # Guards against a peer that pays for what another one holds.
    def test_owner_that_holds_most_loses_its_largest_share(self):
        self.open('well', 'i-1').resize(400)
        for number in range(6):
            self.open(number, 'i-2').resize(90 + number)
        self.open('last', 'i-1').resize(100)
        self.assertEqual([5], self.cut)

    def test_shares_that_are_cut_or_closed_count_for_nothing(self):
        first = self.open('first', 'i-1')
        first.resize(1_001)
        self.assertTrue(first.is_cut)
        self.assertEqual(0, self.account.held_bytes)
        first.resize(500)
        self.assertEqual(0, self.account.held_bytes)
        second = self.open('second', 'i-1')
        second.resize(900)
        second.close()
        second.close()
        self.assertEqual(0, self.account.held_bytes)
        self.assertEqual(['first'], self.cut)

    # Guards against what a reader that is still running states too late.
    def test_closed_share_stays_closed(self):
        share = self.open('first', 'i-1')
        share.close()
        share.resize(500)
        self.assertEqual(0, self.account.held_bytes)

    # Guards against connections that stay in memory because of their shares.
    def test_shares_that_hold_nothing_are_forgotten(self):
        share = self.open('first', 'i-1')
        is_alive = weakref.ref(share._on_cut)
        share.resize(10)
        share.resize(0)
        del share
        self.assertIsNone(is_alive())

    def test_limit_follows_from_the_memory(self):
        self.assertEqual(40_000_000, buffers.compute_limit_bytes(160))
        self.assertEqual(
            buffers.DEFAULT_LIMIT_BYTES, buffers.compute_limit_bytes(0)
        )
