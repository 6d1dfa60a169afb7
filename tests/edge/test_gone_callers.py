"""Callers that have gone when the first event for them comes.

A router that stood still finds both waiting, in any order.
"""

import socket as std_socket
import unittest

import gevent

from galenaspoke.core import catalog
from galenaspoke.core import clock
from galenaspoke.edge.serving import caller_connections
from galenaspoke.http import sockets
from tests.edge import base
from tests.edge import test_stated_origins
from tests.edge import version_fleets
from tests.http import test_failed_sends

REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'


class GoneCaller(version_fleets.LosingCaller):
    """A caller that has gone while its router stood still."""

    def raise_if_gone(self):
        """Raise as a connection does whose caller has closed it."""
        raise caller_connections.CallerDisconnected('closed by the caller')


class FirstTryTest(unittest.TestCase):
    """Requests that are begun again, since nothing came of the first try."""

    make_fleet = test_stated_origins.ReleaseTest.make_fleet
    start_all = test_stated_origins.ReleaseTest.start_all
    release_half = test_stated_origins.ReleaseTest.release_half

    # Guards against a stream that reached nobody and that counts as begun:
    # the request begins again at another version, and resumed without a name
    # it is refused, or joined with the first try's version (ORDER).
    def test_first_try_is_not_remembered(self):
        fleet = self.make_fleet()
        fleet.caller_class = GoneCaller
        first = [
            fleet.begin('front-0')
            for _ in range(test_stated_origins.STREAM_COUNT)
        ]
        fleet.caller_class = version_fleets.LosingCaller
        self.release_half(fleet)
        again = [fleet.begin_again(stream, 'front-1') for stream in first]
        for stream in again:
            stream.first_id = b''
            fleet.resume(stream, 'front-0')
        self.assertEqual(0, fleet.count_mixed())
        self.assertTrue(all(stream.is_whole() for stream in again))


class ConnectionTest(unittest.TestCase):
    """What a connection tells of its caller."""

    def setUp(self):
        local, self.remote = base.make_tcp_pair(self)
        self.caller = caller_connections.CallerConnection(
            local, clock.Clock(), catalog.Limits
        )
        self.addCleanup(self.caller.close)
        self.remote.sendall(REQUEST)
        self.caller.next_request()

    def assert_gone(self):
        """Check that the caller counts as gone as soon as that is known."""
        base.wait_until(lambda: sockets.is_closed_by_peer(self.caller._sock))
        with self.assertRaises(caller_connections.CallerDisconnected):
            self.caller.raise_if_gone()

    def test_caller_that_waits(self):
        self.caller.raise_if_gone()

    # Guards against callers that count as gone since they pipeline.
    def test_caller_that_sends_the_next_request(self):
        self.remote.sendall(REQUEST)
        gevent.sleep(0.01)
        self.caller.raise_if_gone()

    def test_caller_that_has_closed(self):
        self.remote.close()
        self.assert_gone()

    def test_caller_that_has_reset(self):
        self.remote.setsockopt(
            std_socket.SOL_SOCKET,
            std_socket.SO_LINGER,
            test_failed_sends.RESET_ON_CLOSE,
        )
        self.remote.close()
        self.assert_gone()
