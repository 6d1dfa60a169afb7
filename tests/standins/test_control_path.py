"""The path between routers, with sockets in the routers' place."""

import random
import unittest

import gevent
from gevent import socket

from standins import control_path
from standins import platform_documents
from standins import raw_http

SILENCE_S = 0.1


class ControlPathTest(unittest.TestCase):
    """What routers hear of each other."""

    def setUp(self):
        net = f'127.{random.randint(16, 250)}.{random.randint(1, 250)}'
        self.ips = [f'{net}.1', f'{net}.12']
        self.socks = [self.bind(ip) for ip in self.ips]
        self.path = control_path.ControlPath(self.ips)
        self.path.start()

    def bind(self, ip):
        """Return a socket for a router's datagrams."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(sock.close)
        sock.bind((ip, platform_documents.PEER_PORT))
        sock.settimeout(SILENCE_S)
        return sock

    def can_send(self, source, sink):
        """Return whether a datagram comes, from the sender's relay."""
        address = (self.ips[sink], control_path.RELAY_PORT)
        self.socks[source].sendto(b'x', address)
        try:
            data, sender = self.socks[sink].recvfrom(10)
        except TimeoutError:
            return False
        self.assertEqual(data, b'x')
        relay = (self.ips[source], control_path.RELAY_PORT)
        self.assertEqual(sender, relay)
        return True

    def test_datagrams(self):
        """They come from the address that the receiver knows."""
        self.assertTrue(self.can_send(0, 1))
        self.assertTrue(self.can_send(1, 0))

    def test_router_that_hears_nobody(self):
        """Datagrams to it are dropped, those from it arrive."""
        relay = self.path.relays[self.ips[0]]
        relay.drops_to = True
        self.assertFalse(self.can_send(1, 0))
        self.assertTrue(self.can_send(0, 1))
        relay.drops_to = False
        self.assertTrue(self.can_send(1, 0))

    def test_router_that_nobody_hears(self):
        """Datagrams from it are dropped, those to it arrive."""
        self.path.relays[self.ips[0]].drops_from = True
        self.assertFalse(self.can_send(0, 1))
        self.assertTrue(self.can_send(1, 0))

    def test_connections(self):
        """Those to a router that hears nobody say nothing."""
        ip = self.ips[0]
        server = raw_http.listen(
            f'{ip}:{platform_documents.PEER_PORT}',
            lambda sock, _: sock.sendall(sock.recv(10)),
        )
        self.addCleanup(server.stop)
        address = f'{ip}:{control_path.RELAY_PORT}'
        for is_cut, expected in ((False, b'x'), (True, None)):
            self.path.relays[ip].drops_to = is_cut
            with raw_http.connect(address) as sock:
                sock.sendall(b'x')
                with gevent.Timeout(SILENCE_S, False):
                    self.assertEqual(sock.recv(10), expected)

    def test_addresses(self):
        """A machine sees others' relays, the store sees none."""
        first, second = self.ips
        stored = f'{first}:7340 {second}:7340 {first}:8223'.encode()
        seen = self.path.show_others(first)(stored)
        self.assertEqual(
            seen, f'{first}:7340 {second}:7341 {first}:8223'.encode()
        )
        self.assertEqual(self.path.hide()(seen), stored)
