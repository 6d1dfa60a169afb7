"""Servers that stop to listen while callers connect."""

import unittest

from gevent import pywsgi
from gevent import socket

from galenaspoke.http import listening

CONNECTION_COUNT = 3
REQUEST = b'GET / HTTP/1.0\r\nHost: a\r\n\r\n'
HEAD_END = b'\r\n\r\n'


def handle(sock, _):
    """Answer a request."""
    sock.recv(100)
    sock.sendall(b'answer')


def application(environ, start_response):
    """Answer a request of WSGI."""
    start_response('200 OK', [('Content-Length', '6')])
    return [b'answer']


class BacklogTest(unittest.TestCase):
    """Connections that were made but not accepted when the router stops."""

    def check_requests_are_answered(self, server):
        """Check that these are served, and that no others can be made."""
        port = server.server_port
        server.stop_accepting()
        remotes = [
            socket.create_connection(('127.0.0.1', port))
            for _ in range(CONNECTION_COUNT)
        ]
        for remote in remotes:
            remote.sendall(REQUEST)
        listening.finish_accepting(server)
        for remote in remotes:
            received = b''.join(iter(lambda: remote.recv(1000), b''))
            remote.close()
            self.assertEqual(b'answer', received.rpartition(HEAD_END)[2])
        with self.assertRaises(OSError):
            socket.create_connection(('127.0.0.1', port))

    def test_their_requests_are_answered(self):
        self.check_requests_are_answered(
            listening.serve('127.0.0.1', 0, handle)
        )

    # Guards against callers that connect to a router that has stopped to
    # accept, and wait there until its process ends.
    def test_their_requests_are_answered_by_a_wsgi_server(self):
        server = pywsgi.WSGIServer(('127.0.0.1', 0), application, log=None)
        server.start()
        self.check_requests_are_answered(server)
