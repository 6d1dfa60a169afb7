"""The engine of the edge fleet's soak, over a connection of its own."""

import json
import random
import unittest
from unittest import mock

import gevent
from gevent import socket

from standins import common
from standins import edge_engine
from standins import edge_plans
from standins import raw_http

INSTANCE = 'i-1'
BODY = b'{"key":"k","pieces":2}'
TIMEOUT_S = 3
MANY_BYTES = 1_000_000


class EngineTest(unittest.TestCase):
    """What a router reads on one connection."""

    def connect(self, shares):
        """Return a connection to a model engine that has just started."""
        entry = {
            'Service': 'model-chat',
            'Slots': 2,
            'State': 'ready',
            'Version': 'v1',
            'born': 5,
        }
        engine = edge_engine.EdgeEngine(
            INSTANCE,
            entry,
            '127.0.0.1:1',
            common.EventLog(None),
            random.Random(1),
            shares,
        )
        with socket.socket() as sock:
            sock.bind(('127.0.0.1', 0))
            address = '%s:%d' % sock.getsockname()
        server = engine.listen(address)
        self.addCleanup(server.stop)
        sock = raw_http.connect(address)
        self.addCleanup(sock.close)
        sock.settimeout(TIMEOUT_S)
        return raw_http.Connection(sock)

    def ask(self, conn, request_id, path='/stream/talk/k', body=BODY):
        """Send a request."""
        headers = [('X-Request-Id', request_id)]
        first = f'POST {path} HTTP/1.1'
        conn.sock.sendall(raw_http.encode(first, headers, body))

    def read(self, conn):
        """Read a response; return its request's id and its body."""
        message = conn.read_head()
        return message.get('x-request-id'), conn.read_body(message)

    def test_response_that_comes_late(self):
        """The response before comes again where the next one is due."""
        with mock.patch.object(edge_plans, 'GARBLES', (edge_plans.LATE,)):
            conn = self.connect(edge_plans.Shares(early=0, garbled=1))
            self.ask(conn, 'k.0')
            first = self.read(conn)
            self.assertFalse(conn.has_surplus())
            self.ask(conn, 'k.1')
            self.assertEqual(self.read(conn), first)
            self.assertEqual(self.read(conn), ('k.1', first[1]))

    def test_flood(self):
        """It floods once it was told to, for the time that it was told."""
        conn = self.connect(edge_plans.Shares(early=0))
        order = {'case': 'chunked', 'seconds': 0.5}
        body = json.dumps(order).encode()
        self.ask(conn, 'order', edge_engine.FLOOD_PATH, body)
        self.assertEqual(conn.read_head().status, 200)
        self.ask(conn, 'k.0')
        count = 0
        with gevent.Timeout(TIMEOUT_S):
            with self.assertRaises(ConnectionResetError):
                while data := conn.sock.recv(raw_http.RECEIVE_BYTES):
                    count += len(data)
        self.assertGreater(count, MANY_BYTES)
