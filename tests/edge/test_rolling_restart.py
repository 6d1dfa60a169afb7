"""Routers that are restarted one after the other while callers are connected.

A connection may only be shut down while it carries no request, and a caller
that disconnects must be noticed while its request is handled.
"""

import unittest

import gevent
from gevent import socket

from galenaspoke.core import catalog
from galenaspoke.core import clock
from galenaspoke.edge import caller_connections
from galenaspoke.edge import listening


class BacklogTest(unittest.TestCase):
    """Connections that were made but not accepted when the router stops."""

    def test_their_requests_are_answered(self):
        def handle(sock, _):
            sock.recv(100)
            sock.sendall(b'answer')

        server = listening.serve('127.0.0.1', 0, handle)
        server.stop_accepting()
        remotes = [
            socket.create_connection(('127.0.0.1', server.server_port))
            for _ in range(3)
        ]
        for remote in remotes:
            remote.sendall(b'request')
        listening.finish_accepting(server)
        for remote in remotes:
            self.assertEqual(b'answer', remote.recv(100))
            remote.close()
        with self.assertRaises(OSError):
            socket.create_connection(('127.0.0.1', server.server_port))


class CallerConnectionTest(unittest.TestCase):
    """A caller's connection while the router shuts down."""

    def setUp(self):
        listener = socket.socket()
        listener.bind(('127.0.0.1', 0))
        listener.listen(1)
        self.remote = socket.create_connection(listener.getsockname())
        local, _ = listener.accept()
        listener.close()
        self.limits = catalog.Limits()
        self.caller = caller_connections.CallerConnection(
            local, clock.Clock(), self.limits
        )

    def tearDown(self):
        self.remote.close()
        self.caller.close()

    def test_connection_with_active_request_is_not_idle(self):
        self.remote.sendall(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
        self.assertTrue(self.caller.is_idle())
        self.caller.next_request(self.limits)
        self.caller.has_active_request = True
        self.assertFalse(self.caller.is_idle())

    def test_connection_with_arriving_request_is_not_idle(self):
        self.caller.parser.feed(b'GET / HTTP/1.1\r\nHo')
        self.assertFalse(self.caller.is_idle())

    def test_idle_connection_is_shut_down(self):
        self.caller.shutdown_if_idle()
        with self.assertRaises(caller_connections.CallerDisconnected):
            self.caller.next_request(self.limits)

    def test_connection_with_unread_request_is_not_shut_down(self):
        self.remote.sendall(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
        gevent.sleep(0.01)
        self.caller.shutdown_if_idle()
        self.caller.next_request(self.limits)
        with self.caller.cancel_on_disconnect():
            gevent.sleep(0.01)

    def test_disconnect_is_noticed(self):
        self.remote.sendall(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
        self.caller.next_request(self.limits)

        def serve():
            try:
                with self.caller.cancel_on_disconnect():
                    gevent.sleep(5)
            except caller_connections.CallerDisconnected:
                return 'disconnected'

        task = gevent.spawn(serve)
        gevent.sleep(0)
        self.remote.close()
        self.assertEqual('disconnected', task.get())

    def test_next_request_is_not_mistaken_for_a_disconnect(self):
        raw = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
        self.remote.sendall(raw)
        self.caller.next_request(self.limits)
        with self.caller.cancel_on_disconnect():
            self.remote.sendall(raw)
            gevent.sleep(0.01)
        self.assertEqual('/', self.caller.next_request(self.limits).path)
