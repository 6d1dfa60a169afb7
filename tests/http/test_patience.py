"""Peers that read slowly, and peers that fall silent.

A filter that drops all packets which reach a socket makes its kernel silent.
"""

import ctypes
import errno
import struct
import time
import unittest

import gevent
from gevent import socket

from galenaspoke.http import patience
from galenaspoke.http import sockets
from tests.edge import base
from tests.http import kernels

# The kernel's number of the option that attaches a filter to a socket.
SO_ATTACH_FILTER = 26
SO_DETACH_FILTER = 27
# The one instruction of a filter that accepts no byte.
DROP = struct.pack('HBBI', 6, 0, 0, 0)
# More than the time-out, less than its double.
MAX_SILENCE_S = 5
# A peer that doesn't read for so long has its window shut throughout.
SHUT_S = 4.5


def fall_silent(sock):
    """Let a socket acknowledge nothing from now on."""
    code = ctypes.create_string_buffer(DROP)
    sock.setsockopt(
        socket.SOL_SOCKET,
        SO_ATTACH_FILTER,
        struct.pack('HP', 1, ctypes.addressof(code)),
    )


def be_heard(sock):
    """Let a socket that has fallen silent acknowledge again."""
    sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)


def read_option(sock, option):
    """Return a TCP option of a socket, None if the kernel doesn't know it."""
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, option)
    except OSError:
        return None


def read_timeout_ms(sock):
    """Return the kernel's time-out of a socket."""
    return read_option(sock, socket.TCP_USER_TIMEOUT)


class PeerTests:
    """One connection whose other end doesn't read."""

    KERNEL = kernels.TELLS_ALL

    def setUp(self):
        kernels.pretend(self, self.KERNEL)
        self.sock, self.remote = base.make_tcp_pair(self)
        sockets.configure_peer(self.sock)

    def fill(self):
        """Send as much as the buffers take."""
        self.sock.setblocking(False)
        sent = 0
        with self.assertRaises(BlockingIOError):
            while True:
                sent += self.sock._sock.send(bytes(65_536))
        patience.process_watch.add(self.sock, sent)

    def find_error(self):
        """Return the number of the socket's error, 0 if there is none."""
        return self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)

    def wait_for_cut(self):
        """Wait until the kernel gives up the connection."""
        started_at = time.monotonic()
        error = 0
        while not error and time.monotonic() - started_at < MAX_SILENCE_S:
            gevent.sleep(0.02)
            error = self.find_error()
        self.assertEqual(errno.ETIMEDOUT, error)

    # Guards against a peer that reads nothing for a while, acknowledges all
    # the same, and is cut off.
    def test_shut_window(self):
        self.fill()
        until = time.monotonic() + SHUT_S
        while time.monotonic() < until:
            gevent.sleep(0.02)
            self.assertEqual(0, self.find_error())
        self.assertTrue(kernels.read_all(self.sock).unsent_bytes)

    # Guards against a peer without power that is taken for a slow reader.
    def test_silence(self):
        fall_silent(self.remote)
        self.sock.sendall(b'x')
        patience.process_watch.add(self.sock, 1)
        self.wait_for_cut()

    # Guards against the same, with more to send than fits the window.
    def test_silence_with_a_full_buffer(self):
        fall_silent(self.remote)
        self.fill()
        self.wait_for_cut()

    # Guards against a time-out that is off for good.
    def test_window_that_opens(self):
        self.fill()
        base.wait_until(lambda: read_timeout_ms(self.sock) == 0)

        def is_restored():
            self.remote.settimeout(0.01)
            try:
                self.remote.recv(1_048_576)
            except TimeoutError:
                pass
            return read_timeout_ms(self.sock) > 0

        base.wait_until(is_restored)
        self.assertEqual(
            sockets.UNACKNOWLEDGED_TIMEOUT_MS, read_timeout_ms(self.sock)
        )
        self.assertIn(
            read_option(self.sock, sockets.TCP_RTO_MAX_MS),
            (None, sockets.MAX_PROBE_PAUSE_MS),
        )


class PatienceTest(PeerTests, unittest.TestCase):
    """Kernels that tell all, or nothing."""

    # Guards against a peer that falls silent after its window was shut.
    def test_silence_behind_a_shut_window(self):
        self.fill()
        base.wait_until(lambda: read_timeout_ms(self.sock) == 0)
        fall_silent(self.remote)
        self.wait_for_cut()

    # Guards against the same, after it was shut for so long that the kernel
    # probes seldom by itself.
    def test_silence_after_a_long_pause(self):
        if read_option(self.sock, sockets.TCP_RTO_MAX_MS) is None:
            self.skipTest('the kernel is older than 6.15')
        self.fill()
        gevent.sleep(SHUT_S)
        fall_silent(self.remote)
        self.wait_for_cut()

    # Guards against a kernel without these figures on which nothing is sent.
    def test_unknown_state(self):
        kernels.pretend(self, kernels.TELLS_NOTHING)
        self.fill()
        patience.process_watch.check()
        self.assertEqual(
            sockets.UNACKNOWLEDGED_TIMEOUT_MS, read_timeout_ms(self.sock)
        )


class OldKernelTest(PeerTests, unittest.TestCase):
    """The same on a kernel before 6.15, which probes seldom."""

    def setUp(self):
        super().setUp()
        kernels.pretend_no_probe_limit(self)


class UntoldUnsentBytesTest(PeerTests, unittest.TestCase):
    """The same on a kernel that doesn't tell the unsent bytes."""

    KERNEL = kernels.TELLS_NO_UNSENT_BYTES


class ZerosTest(PeerTests, unittest.TestCase):
    """The same on a kernel that fills in the state alone."""

    KERNEL = kernels.TELLS_ZEROS


class NoInfoTest(PeerTests, unittest.TestCase):
    """The same on a kernel without TCP_INFO."""

    KERNEL = kernels.TELLS_NO_INFO
