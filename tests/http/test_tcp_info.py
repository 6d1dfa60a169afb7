"""What the kernel says of a connection whose peer has gone."""

import struct
import unittest

from gevent import socket

from galenaspoke.http import sockets
from galenaspoke.http import tcp_info
from tests.edge import base


class ClosedTest(unittest.TestCase):
    """A connection before and after its peer closes it."""

    def setUp(self):
        self.sock, self.remote = base.make_tcp_pair(self)

    def is_closed_by_peer(self):
        """Return what the kernel knows now."""
        return tcp_info.read(self.sock).is_closed_by_peer

    def reset(self):
        """Reset the connection at its other end."""
        self.remote.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        self.remote.close()

    def test_open(self):
        self.remote.sendall(b'x')
        self.assertFalse(self.is_closed_by_peer())

    def test_closed(self):
        self.remote.shutdown(socket.SHUT_WR)
        base.wait_until(self.is_closed_by_peer)

    def test_reset(self):
        self.reset()
        base.wait_until(self.is_closed_by_peer)

    # Guards against a second connection that passes for one to the same
    # process, since that of the response was reset after its end.
    def test_closed_and_then_reset(self):
        self.remote.shutdown(socket.SHUT_WR)
        base.wait_until(self.is_closed_by_peer)
        self.reset()
        base.settle()
        self.assertTrue(self.is_closed_by_peer())


class PolledTest(ClosedTest):
    """The same by the events of the socket, which need no TCP_INFO."""

    def is_closed_by_peer(self):
        return sockets.is_closed_by_peer(self.sock)

    # Guards against an end that is hidden by what has not been read.
    def test_closed_with_unread_bytes(self):
        self.remote.sendall(b'x')
        self.remote.shutdown(socket.SHUT_WR)
        base.wait_until(self.is_closed_by_peer)
