"""Peers that send a router or a relay bodies without end."""

import unittest
from unittest import mock

import gevent
from gevent import pywsgi
from gevent import socket

from galenaspoke.edge.membership import datagrams
from galenaspoke.edge.money import loan_protocol
from galenaspoke.http import buffers
from galenaspoke.http import wsgi_bodies
from galenaspoke.store import relaying

CHUNK = b'10000\r\n%s\r\n' % bytes(65_536)
# What the sockets may hold besides.
SOCKET_BYTES = 8_000_000
# A test that takes longer has failed.
TIMEOUT_S = 10


class BodyTest(unittest.TestCase):
    """Applications that peers send more to than they may."""

    def setUp(self):
        self.account = buffers.BufferAccount()
        patcher = mock.patch.object(buffers, 'process_account', self.account)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.calls = []
        timeout = gevent.Timeout.start_new(TIMEOUT_S)
        self.addCleanup(timeout.close)

    def serve(self, application):
        """Serve an application; return a connection to it."""
        server = pywsgi.WSGIServer(('127.0.0.1', 0), application, log=None)
        server.start()
        self.addCleanup(server.stop)
        remote = socket.create_connection(('127.0.0.1', server.server_port))
        self.addCleanup(remote.close)
        return remote

    def make_relay_app(self):
        """Return an application that records the calls that it relays."""
        return relaying.make_call_app(
            '/store', lambda *args: self.calls.append(args), ()
        )

    def send_chunks(self, remote):
        """Send a body in chunks until that fails; return its size."""
        sent_bytes = 0
        remote.sendall(
            b'PUT /store/objects/a HTTP/1.1\r\nHost: a\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
        )
        try:
            while sent_bytes < 50_000_000:
                remote.sendall(CHUNK)
                sent_bytes += len(CHUNK)
                gevent.sleep(0)
        except OSError:
            pass
        return sent_bytes

    # Guards against a body of any size that a relay reads and holds.
    def test_chunks_without_end(self):
        remote = self.serve(self.make_relay_app())
        task = gevent.spawn(self.send_chunks, remote)
        self.assertIn(b' 413 ', remote.recv(100))
        task.kill()
        self.assertEqual([], self.calls)
        self.assertEqual(0, self.account.held_bytes)

    # Guards against the same with a length that says so.
    def test_huge_length(self):
        for application in (
            self.make_relay_app(),
            loan_protocol.make_lending_app(mock.Mock()),
        ):
            remote = self.serve(application)
            remote.sendall(
                b'POST /lend HTTP/1.1\r\nHost: a\r\n'
                b'Content-Length: 1000000000\r\n\r\n'
            )
            self.assertIn(b' 413 ', remote.recv(100))
        self.assertEqual([], self.calls)

    # Guards against many bodies that are small enough each.
    def test_sum_of_bodies(self):
        self.account.limit_bytes = 3_000_000
        application = self.make_relay_app()
        size = wsgi_bodies.MAX_BODY_BYTES // 2
        remotes = [self.serve(application) for _ in range(4)]
        for remote in remotes:
            remote.sendall(
                b'PUT /store/objects/a HTTP/1.1\r\nHost: a\r\n'
                b'Content-Length: %d\r\n\r\n%s' % (size, bytes(size - 1))
            )
        gevent.sleep(0.1)
        self.assertLessEqual(self.account.held_bytes, 3_000_000)
        self.assertGreater(self.account.cut_count, 0)


class DatagramTest(unittest.TestCase):
    """Datagrams that come faster than they can be handled."""

    # Guards against a router that does nothing else any more.
    def test_others_run(self):
        found = datagrams.Datagrams()
        self.addCleanup(found._sock.close)
        found.bind('127.0.0.1:0')
        handled = []

        def handle(data, _):
            # There is always one more.
            handled.append(data)
            found._sock._sock.sendto(data, found.get_address())
            sum(range(2_000))

        found._sock._sock.sendto(b'a', found.get_address())
        task = gevent.spawn(found.run, handle)
        self.addCleanup(task.kill)
        with gevent.Timeout(TIMEOUT_S):
            for _ in range(20):
                del handled[:]
                gevent.sleep(0)
                self.assertLess(len(handled), 1_000)
