"""Datagrams between routers, for what may be lost.

Example::

    datagrams = Datagrams()
    datagrams.bind('10.1.0.40:7340')
    datagrams.send('10.2.0.29:7340', b'...')
    datagrams.run(lambda data, address: None)     # never returns
"""

import time

import gevent
from gevent import socket

from galenaspoke.edge import settings as edge_settings
from galenaspoke.http import turns
from galenaspoke.utils import addresses

RECEIVE_BYTES = 65_536
# What receiving one takes at least.
RECEIVE_S = 0.000_02
# After an error of the socket.
RETRY_INTERVAL_S = 0.1


class Datagrams:
    """Sends and receives the datagrams of one router.

    Nothing is sent before `bind`: the kernel would choose an address then.
    """

    __slots__ = ('_sock', '_is_bound')

    def __init__(self):
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._is_bound = False

    def bind(self, address):
        """Receive at an address, which is also that of the sender."""
        self._sock.bind(edge_settings.split_address(address))
        self._is_bound = True

    def get_address(self):
        """Return the host and the port at which it receives."""
        return self._sock.getsockname()

    def send(self, address, data):
        """Send a datagram; one that can't be sent is lost."""
        target = addresses.parse(address)
        if target is None or not self._is_bound:
            return
        try:
            self._sock.sendto(data, target)
        except OSError:
            pass

    def run(self, handle):
        """Call `handle(data, address)` for each datagram; never returns.

        Others run in between, however many come.
        """
        work = turns.Work(turns.Turns())
        while True:
            try:
                data, (host, port) = self._sock.recvfrom(RECEIVE_BYTES)
            except OSError:
                # An earlier datagram could not be delivered.
                gevent.sleep(RETRY_INTERVAL_S)
                continue
            started_at = time.monotonic()
            handle(data, f'{host}:{port}')
            work.record(time.monotonic() - started_at + RECEIVE_S)
