"""Responses of the store that are larger than a process may hold."""

import gzip
import unittest
from unittest import mock

from gevent import server

from galenaspoke.http import buffers
from galenaspoke.http import connections
from galenaspoke.store import liveness
from galenaspoke.store import paths

LIMIT_BYTES = 1_000_000
TIMEOUT_S = 2.0


class HeldResponseTest(unittest.TestCase):
    """Calls of a process that may hold LIMIT_BYTES for its peers."""

    def setUp(self):
        account = buffers.BufferAccount(LIMIT_BYTES)
        patch = mock.patch.object(buffers, 'process_account', account)
        patch.start()
        self.addCleanup(patch.stop)
        self.live = mock.Mock(wraps=liveness.Liveness())

    def call(self, fields, body):
        """Call a store that answers with this body."""

        def serve(sock, _):
            sock.recv(65_536)
            head = b'HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n'
            sock.sendall(head % (fields, len(body)) + body)

        started = server.StreamServer(('127.0.0.1', 0), serve)
        started.start()
        self.addCleanup(started.stop, timeout=0)
        address = f'127.0.0.1:{started.server_port}'
        path = paths.StorePath(address, '', self.live)
        return path.call('GET', '/objects/a', b'', TIMEOUT_S)

    def check_cut(self, fields, body):
        """Check that a call fails and that it says nothing of the network."""
        with self.assertRaises(connections.HeldTooMuch):
            self.call(fields, body)
        self.live.record_silence.assert_not_called()
        self.assertEqual(0, buffers.process_account.held_bytes)

    # Guards against lists that take more than the process may hold.
    def test_large_response(self):
        self.check_cut(b'', bytes(2 * LIMIT_BYTES))

    # Guards against memory that a few compressed bytes stand for.
    def test_compressed_response(self):
        body = gzip.compress(bytes(2 * LIMIT_BYTES))
        self.check_cut(b'Content-Encoding: gzip\r\n', body)

    # Guards against a kept connection that holds what was handed over.
    def test_response_that_was_handed_over(self):
        body = bytes(LIMIT_BYTES // 2)
        self.assertEqual(body, self.call(b'', body).body)
        self.assertEqual(0, buffers.process_account.held_bytes)


if __name__ == '__main__':
    unittest.main()
