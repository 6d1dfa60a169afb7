"""Callers that don't read their responses, and engines that are as slow."""

import errno
import os
import time
import unittest
from unittest import mock

import gevent
from gevent import socket

from galenaspoke.core import catalog
from galenaspoke.core import clock as clocks
from galenaspoke.edge.serving import caller_connections
from galenaspoke.edge.serving import caller_sending
from galenaspoke.http import listening
from galenaspoke.http import messages
from galenaspoke.http import sockets
from tests.edge import base
from tests.edge import handlers
from tests.edge import stopping
from tests.http import kernels
from tests.http import test_patience

# A test that takes longer has failed.
TIMEOUT_S = 20
MAX_PAUSE_MS = 300


# What a slow caller's kernel holds for it, and how it reads: 5,500 bytes a
# second, which takes some 11 s for a response that fits the router's buffer.
RECEIVE_BUFFER_BYTES = 6_144
READ_BYTES = 550
READ_PAUSE_S = 0.1
BODY_BYTES = 60_000
# How long an engine reads nothing of a request, longer than the kernel waits
# for a peer that is silent.
ENGINE_PAUSE_S = 4.5
REQUEST_BYTES = 16_777_216
# How long a caller is out of reach, longer than an engine may be.
SILENCE_S = 4.5
# How a caller reads that makes room for a third of the router's buffer only
# after MAX_PAUSE_MS.
TRICKLE_BYTES = 1_500
TRICKLE_PAUSE_S = 0.02
TRICKLE_S = 3


class SlowReaderTest(stopping.StopTestCase):
    """Streams that go on for as long as they are taken."""

    KIND = catalog.RequestKind.STREAM

    def setUp(self):
        super().setUp()
        self.sent_bytes = 0
        patcher = mock.patch.object(
            caller_sending,
            'SEND_PAUSE_MS',
            MAX_PAUSE_MS,
        )
        patcher.start()
        self.addCleanup(patcher.stop)
        timeout = gevent.Timeout.start_new(TIMEOUT_S)
        self.addCleanup(timeout.close)

    def run_engine(self, remote, _):
        """Send events as fast as they are taken."""
        self.started.append(remote)
        remote.sendall(
            b'HTTP/1.1 200 -\r\nX-Request-Id: 9c41\r\nX-Response-Stamp: s\r\n'
            b'Content-Type: text/event-stream\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
        )
        number = 0
        while True:
            event = b'id: %d\ndata: %s\n\n' % (number, bytes(10_000))
            remote.sendall(messages.encode_chunk(event))
            self.sent_bytes += len(event)
            number += 1

    def connect(self):
        """Return a connection on which a stream was requested."""
        address = ('127.0.0.1', self.router._server.server_port)
        remote = socket.socket()
        # So that what is sent is mostly what the router's end holds.
        remote.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        remote.connect(address)
        self.addCleanup(remote.close)
        remote.sendall(self.REQUEST)
        return remote

    # Guards against a stream for which an engine works though nobody reads
    # it, and against megabytes that the kernel holds for it.
    def test_caller_that_reads_nothing(self):
        self.connect()
        base.wait_until(lambda: self.started)
        base.wait_until(lambda: not self.router.callers.connections)
        self.assertLess(self.sent_bytes, 1_500_000)

    # Guards against a caller that reads slowly and is cut off.
    def test_caller_that_reads_slowly(self):
        remote = self.connect()
        for _ in range(15):
            gevent.sleep(MAX_PAUSE_MS / 3_000)
            left_bytes = 200_000
            while left_bytes > 0:
                received = len(remote.recv(65_536))
                self.assertGreater(received, 0)
                left_bytes -= received


class FullWindowTest(stopping.StopTestCase):
    """Whole responses that wait in the router's kernel for a slow caller."""

    def run_engine(self, remote, _):
        """Answer at once."""
        self.started.append(remote)
        remote.sendall(handlers.encode_response(body=bytes(BODY_BYTES)))

    def read_slowly(self, request):
        """Return how many bytes come before the response ends."""
        address = ('127.0.0.1', self.router._server.server_port)
        with socket.socket() as remote:
            remote.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            remote.connect(address)
            remote.sendall(request)
            received = 0
            while received <= BODY_BYTES:
                gevent.sleep(READ_PAUSE_S)
                data = remote.recv(READ_BYTES)
                if not data:
                    break
                received += len(data)
            return received

    # Guards against a response of which the rest is dropped, since the
    # caller's receive window is shut most of the time.
    def test_caller_that_reads_slowly(self):
        self.assertGreater(self.read_slowly(self.REQUEST), BODY_BYTES)

    # Guards against the same once the router has closed the connection.
    def test_caller_of_a_closed_connection(self):
        request = self.REQUEST.replace(b'Host:', b'Connection: close\r\nHost:')
        self.assertGreater(self.read_slowly(request), BODY_BYTES)


class UntoldFullWindowTest(FullWindowTest):
    """The same where the kernel tells nothing of a connection.

    Guards against callers that are cut off unless the kernel shows that they
    are there.
    """

    def setUp(self):
        super().setUp()
        kernels.pretend(self, kernels.TELLS_NOTHING)


class SilentCallerTest(stopping.StopTestCase):
    """A caller whose link carries nothing for a while."""

    run_engine = FullWindowTest.run_engine

    # Guards against a response that is dropped since its caller was out of
    # reach for some seconds.
    def test_caller_that_is_silent_for_a_while(self):
        address = ('127.0.0.1', self.router._server.server_port)
        with socket.create_connection(address) as remote:
            remote.sendall(self.REQUEST)
            test_patience.fall_silent(remote)
            base.wait_until(lambda: self.started)
            gevent.sleep(SILENCE_S)
            test_patience.be_heard(remote)
            received = 0
            remote.settimeout(TIMEOUT_S)
            while received <= BODY_BYTES:
                data = remote.recv(65_536)
                self.assertTrue(data)
                received += len(data)


class LittleRoomTest(unittest.TestCase):
    """A caller that makes room for less than wakes its sender."""

    # Guards against a caller that reads on and is taken for one that doesn't.
    def test_caller_that_reads_slowly(self):
        for name, value_ms in (
            ('SEND_PAUSE_MS', MAX_PAUSE_MS),
            ('SEND_INTERVAL_MS', MAX_PAUSE_MS // 6),
        ):
            patcher = mock.patch.object(caller_sending, name, value_ms)
            patcher.start()
            self.addCleanup(patcher.stop)
        local, remote = base.make_tcp_pair(
            self, listening.SOCKET_BUFFER_BYTES, RECEIVE_BUFFER_BYTES
        )
        conn = caller_connections.CallerConnection(
            local, clocks.Clock(), catalog.Limits
        )
        # Far more than is read here.
        task = gevent.spawn(conn.send, bytes(REQUEST_BYTES))
        self.addCleanup(task.kill)
        until = time.monotonic() + TRICKLE_S
        while time.monotonic() < until:
            gevent.sleep(TRICKLE_PAUSE_S)
            self.assertTrue(remote.recv(TRICKLE_BYTES))
        self.assertFalse(task.ready())

    # Guards against a caller that takes nothing and isn't cut off.
    def test_caller_that_reads_nothing(self):
        patcher = mock.patch.object(
            caller_sending, 'SEND_PAUSE_MS', MAX_PAUSE_MS
        )
        patcher.start()
        self.addCleanup(patcher.stop)
        local, _ = base.make_tcp_pair(self)
        conn = caller_connections.CallerConnection(
            local, clocks.Clock(), catalog.Limits
        )
        with self.assertRaises(caller_connections.CallerDisconnected):
            conn.send(bytes(REQUEST_BYTES))


class ClosedConnectionTest(unittest.TestCase):
    """What the kernel does with the rest once a connection is closed."""

    # Guards against a rest that is dropped, or kept without a bound.
    def test_rest_has_its_time(self):
        local, _ = base.make_tcp_pair(self)
        conn = caller_connections.CallerConnection(
            local, clocks.Clock(), catalog.Limits
        )
        # A second descriptor, which shows the options of the same socket.
        with socket.socket(fileno=os.dup(local.fileno())) as copy:
            conn.close()
            timeout_ms = test_patience.read_timeout_ms(copy)
        self.assertEqual(sockets.CLOSED_TIMEOUT_MS, timeout_ms)


class SlowEngineTest(unittest.TestCase):
    """A request that its engine doesn't read for a while."""

    KERNEL = kernels.TELLS_ALL

    def setUp(self):
        kernels.pretend(self, self.KERNEL)

    def read_late(self, conn, remote, size):
        """Read a request of `size` bytes after a while, at an engine."""
        conn.send(b'POST / HTTP/1.1\r\n\r\n', bytes(size))
        gevent.sleep(ENGINE_PAUSE_S)
        remote.settimeout(TIMEOUT_S)
        received = 0
        while received < size:
            data = remote.recv(1_048_576)
            self.assertTrue(data)
            received += len(data)
        base.wait_until(conn.is_fully_sent)
        self.assertIsNone(conn._sender.error)

    # Guards against a request that is lost though its engine reads on.
    def test_engine_that_reads_slowly(self):
        conn, remote = base.connect_to_peer(self)
        self.read_late(conn, remote, REQUEST_BYTES)

    # Guards against a long request that waits for an engine without power.
    def test_engine_without_power(self):
        conn, remote = base.connect_to_peer(self)
        test_patience.fall_silent(remote)
        started_at = time.monotonic()
        conn.send(b'POST / HTTP/1.1\r\n\r\n', bytes(REQUEST_BYTES))
        base.wait_until(
            conn.is_fully_sent, timeout_s=test_patience.MAX_SILENCE_S
        )
        self.assertEqual(errno.ETIMEDOUT, conn._sender.error.errno)
        self.assertLess(
            time.monotonic() - started_at, test_patience.MAX_SILENCE_S
        )

    # Guards against the same, where the socket buffer takes all of it.
    def test_request_that_fits_the_buffer(self):
        if self.KERNEL is kernels.TELLS_NOTHING:
            self.skipTest('nothing shows that the engine takes bytes')
        conn, remote = base.connect_to_peer(self, RECEIVE_BUFFER_BYTES)
        self.read_late(conn, remote, BODY_BYTES)


class UntoldUnsentBytesTest(SlowEngineTest):
    """The same where the kernel doesn't tell the unsent bytes."""

    KERNEL = kernels.TELLS_NO_UNSENT_BYTES


class NoInfoTest(SlowEngineTest):
    """The same where the kernel has no TCP_INFO."""

    KERNEL = kernels.TELLS_NO_INFO


class NothingToldTest(SlowEngineTest):
    """The same where the kernel tells nothing of a connection."""

    KERNEL = kernels.TELLS_NOTHING
