"""Peers that stop in the middle of a response's head and close.

Guards against a response with an empty or short body that passes for whole.
"""

import itertools
import unittest

from gevent import server

from galenaspoke.conf import definitions
from galenaspoke.http import connections
from galenaspoke.store import base as store_base
from galenaspoke.store import client as store_client
from galenaspoke.store import paths
from galenaspoke.utils import http
from tests.edge import base

BODY = b'{"answer":"yes"}'
FIELDS = b'X-Request-Id: 9c41\r\nX-Response-Stamp: s\r\nVersion: 7\r\n'
FRAMINGS = (
    b'Content-Length: %d\r\n' % len(BODY),
    b'Transfer-Encoding: chunked\r\n',
    b'Connection: close\r\n',
    b'Connection: keep-alive\r\nContent-Length: %d\r\n' % len(BODY),
)
INTERIM = (
    b'',
    b'HTTP/1.1 100 Continue\r\n\r\n',
    b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n',
)
LINE_ENDS = (b'\r\n', b'\n')


def list_heads():
    """Return the bytes of heads, with what may come before them."""
    heads = []
    for interim, framing, end in itertools.product(
        INTERIM, FRAMINGS, LINE_ENDS
    ):
        head = b'HTTP/1.1 200 OK\r\n' + FIELDS + framing + b'\r\n'
        head = head.replace(b'\r\n', end)
        heads.append((interim, head))
    return heads


def list_cuts():
    """Return what peers send that stop within a head."""
    return [
        interim + head[:size]
        for interim, head in list_heads()
        for size in range(len(head))
    ]


class ConnectionTest(unittest.TestCase):
    """Connections to targets, and of the edge fleet to the store."""

    def read(self, *pieces):
        """Return the response to what a peer sends before it closes."""
        conn, remote = base.make_connection_pair()
        self.addCleanup(conn.close)
        conn.send(b'GET / HTTP/1.1\r\n\r\n')
        remote.recv(65_536)
        for piece in pieces:
            remote.sendall(piece)
        remote.close()
        conn.set_read_timeout(1)
        response = conn.read_response()
        return conn, response

    def test_first_response(self):
        for data in list_cuts():
            with self.assertRaises(connections.ResponseLost, msg=data):
                self.read(data)

    def test_second_response_of_a_connection(self):
        first = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
        for data in list_cuts():
            conn, response = self.read(first, data)
            self.assertEqual(b'ok', response.body)
            with self.assertRaises(connections.ResponseLost, msg=data):
                conn.read_response()

    def test_byte_by_byte(self):
        _, head = list_heads()[0]
        for size in range(len(head)):
            pieces = [head[i : i + 1] for i in range(size)]
            with self.assertRaises(connections.ResponseLost, msg=pieces):
                self.read(*pieces)

    def test_head_that_ends_at_its_length(self):
        for data in (FRAMINGS[0], FRAMINGS[1]):
            head = b'HTTP/1.1 200 OK\r\n' + FIELDS + data + b'\r\n'
            with self.assertRaises(connections.PeerClosed):
                self.read(head)


class ServerTestCase(unittest.TestCase):
    """Clients of a server that sends `data` and closes."""

    def setUp(self):
        self.data = b''
        self.server = server.StreamServer(('127.0.0.1', 0), self.serve)
        self.server.start()
        self.addCleanup(self.server.stop, timeout=0)
        self.address = f'127.0.0.1:{self.server.server_port}'

    def serve(self, sock, _):
        """Answer one request with a part of a response."""
        sock.recv(65_536)
        sock.sendall(self.data)
        sock.close()

    # Every fifth, since each needs a connection of its own.
    def list_some(self):
        """Return a part of the cuts."""
        return list_cuts()[::5]


class StorePathTest(ServerTestCase):
    """The edge fleet's calls to the store."""

    def test_call(self):
        path = paths.StorePath(self.address, '')
        for self.data in self.list_some():
            with self.assertRaises(connections.ResponseLost, msg=self.data):
                path.call('GET', '/objects/a', b'', 0.8)


class TargetClientTest(ServerTestCase):
    """An agent's exchanges with its target."""

    def test_exchange(self):
        for self.data in self.list_some():
            with self.assertRaises(http.TargetFailed, msg=self.data) as found:
                with http.exchange(
                    f'http://{self.address}', '/call', b'{}', 0.5
                ) as resp:
                    resp.read()
            self.assertTrue(found.exception.sent, self.data)


class AgentStoreTest(ServerTestCase):
    """The agents' fleet's calls to the store."""

    def setUp(self):
        super().setUp()
        cfg = definitions.StoreSettings(url=f'http://{self.address}')
        self.client = store_client.Client(cfg, base.Recorder())

    def test_read(self):
        for self.data in self.list_some():
            with self.assertRaises(store_base.StoreUnavailable, msg=self.data):
                self.client.get('a')

    def test_write(self):
        for self.data in self.list_some():
            with self.assertRaises(store_base.OutcomeUnknown, msg=self.data):
                self.client.put('a', 1, b'{}')
