"""Ports of the processes of a cluster.

Two runs of the system tests at once took each other's ports, which were
chosen before the processes listened on them.
"""

import socket
import unittest

from bench import processes


def listen(address):
    """Listen on an address as the servers of the programs do."""
    host, _, port = address.rpartition(':')
    return socket.create_server((host, int(port)))


class ReservedPortsTest(unittest.TestCase):
    """What a process, and another run of the tests, can do with a port."""

    def setUp(self):
        self.ports = processes.ReservedPorts()
        self.addCleanup(self.ports.release)
        self.address = self.ports.reserve_address()

    def assert_not_free(self):
        """Check that another run can't choose the port."""
        host, _, port = self.address.rpartition(':')
        with socket.socket() as other:
            with self.assertRaises(OSError):
                other.bind((host, int(port)))

    def test_reserved_before_and_between_uses(self):
        """The port stays reserved while its process is being restarted."""
        self.assert_not_free()
        for _ in range(2):
            with listen(self.address):
                self.assert_not_free()
            self.assert_not_free()

    def test_connection_is_refused_until_process_listens(self):
        """A wait for a listener must not take the reservation for one."""
        host, _, port = self.address.rpartition(':')
        with self.assertRaises(ConnectionRefusedError):
            socket.create_connection((host, int(port)))
        with listen(self.address):
            socket.create_connection((host, int(port))).close()

    def test_no_port_is_reserved_twice(self):
        other_run = processes.ReservedPorts()
        self.addCleanup(other_run.release)
        addresses = [
            ports.reserve_address()
            for ports in (self.ports, other_run)
            for _ in range(200)
        ]
        self.assertEqual(400, len(set(addresses) - {self.address}))

    def test_released_port_is_free(self):
        self.ports.release()
        listen(self.address).close()
