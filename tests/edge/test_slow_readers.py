"""Callers that don't read their responses."""

from unittest import mock

import gevent
from gevent import socket

from galenaspoke.core import catalog
from galenaspoke.edge.serving import caller_connections
from galenaspoke.http import messages
from tests.edge import base
from tests.edge import stopping

# A test that takes longer has failed.
TIMEOUT_S = 20
MAX_PAUSE_MS = 300


class SlowReaderTest(stopping.StopTestCase):
    """Streams that go on for as long as they are taken."""

    KIND = catalog.RequestKind.STREAM

    def setUp(self):
        super().setUp()
        self.sent_bytes = 0
        patcher = mock.patch.object(
            caller_connections,
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
        base.wait_until(lambda: not self.router._connections)
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
