"""RPC calls whose messages are too large, too slow or too many.

Guards against a process that keeps whatever another one sends it.
"""

import asyncio
import socket
import unittest
from unittest import mock

from grpclib import client
from grpclib import const
from grpclib import exceptions

from galenaspoke.rpc import transport
from tests.rpc import test_cut_calls

MAX_BYTES = 1_000_000
LARGE = test_cut_calls.Reply('x' * MAX_BYTES)
SMALL = test_cut_calls.Reply('x')
TIMEOUT_MS = 20_000


class EndlessMessageTest(unittest.TestCase):
    """Calls of a server of this process."""

    def setUp(self):
        patcher = mock.patch.object(transport, 'MAX_MESSAGE_BYTES', MAX_BYTES)
        patcher.start()
        self.addCleanup(patcher.stop)
        with socket.create_server(('127.0.0.1', 0)) as sock:
            self.address = f'127.0.0.1:{sock.getsockname()[1]}'
        self.reply = LARGE
        self.requests = []
        self.reply_count = 0
        self.method = transport.Method(
            '/test/Unary', test_cut_calls.Reply, test_cut_calls.Reply
        )
        self.stream_method = transport.Method(
            '/test/Stream', test_cut_calls.Reply, test_cut_calls.Reply, True
        )
        rpc_server = transport.Server(
            [
                (self.method, self.serve),
                (self.stream_method, self.serve_stream),
            ]
        )
        rpc_server.start(self.address)
        self.addCleanup(rpc_server.stop)
        self.channel = transport.Channel(self.address)
        self.addCleanup(self.channel.close)

    def serve(self, req):
        """Return the reply of a test."""
        self.requests.append(req)
        return self.reply

    def serve_stream(self, req):
        """Yield it for ever."""
        self.requests.append(req)
        while True:
            self.reply_count += 1
            yield self.reply

    def stream(self, req):
        """Return the replies of a stream as they come."""
        return self.channel.stream(
            self.stream_method, req, TIMEOUT_MS, TIMEOUT_MS, TIMEOUT_MS
        )

    # Guards against a reply that is kept however large it is.
    def test_large_reply(self):
        with self.assertRaises(transport.PeerUnreachable) as found:
            self.channel.unary(self.method, SMALL, TIMEOUT_MS)
        self.assertTrue(found.exception.sent)

    # Guards against the same in a stream.
    def test_large_reply_of_a_stream(self):
        with self.assertRaises(transport.PeerUnreachable) as found:
            next(self.stream(SMALL))
        self.assertTrue(found.exception.sent)

    # Guards against a request that is kept however large it is.
    def test_large_request(self):
        with self.assertRaises(transport.PeerUnreachable):
            self.channel.unary(self.method, LARGE, TIMEOUT_MS)
        with self.assertRaises(transport.PeerUnreachable):
            next(self.stream(LARGE))
        self.assertEqual([], self.requests)

    # Guards against replies that are kept however many they are.
    def test_replies_that_nobody_takes(self):
        self.reply = test_cut_calls.Reply('x' * 10_000)
        with mock.patch.object(transport, '_MAX_QUEUED_REPLIES', 10):
            replies = self.stream(SMALL)
            next(replies)
            counts = [0, 1]
            while counts[-1] != counts[-2] and counts[-1] < 1_000_000:
                transport.run_coroutine(asyncio.sleep(0.3))
                counts.append(self.reply_count)
            replies.close()
        self.assertEqual(counts[-2], counts[-1])

    # Guards against a call that stays open for a request that doesn't come.
    def test_request_that_does_not_come(self):
        async def call():
            host, _, port = self.address.rpartition(':')
            channel = client.Channel(host, int(port), codec=transport._CODEC)
            method = client.UnaryUnaryMethod(
                channel,
                self.method.path,
                self.method.request_type,
                self.method.reply_type,
            )
            try:
                async with asyncio.timeout(5):
                    async with method.open() as stream:
                        await stream.send_request()
                        await stream.recv_message()
            finally:
                channel.close()

        with mock.patch.object(transport, 'RECEIVE_TIMEOUT_S', 0.2):
            with self.assertRaises(exceptions.GRPCError) as found:
                transport.run_coroutine(call())
        self.assertIs(const.Status.DEADLINE_EXCEEDED, found.exception.status)
