"""Processes that are stopped and started in turn, with callers connected."""

import unittest

import gevent
from gevent import socket

from galenaspoke.core import catalog
from galenaspoke.core import clock
from galenaspoke.edge import caller_connections


class CallerTest(unittest.TestCase):
    """A caller's connection while the router stops."""

    def setUp(self):
        listener = socket.socket()
        listener.bind(('127.0.0.1', 0))
        listener.listen(1)
        self.far = socket.create_connection(listener.getsockname())
        near, _ = listener.accept()
        listener.close()
        self.limits = catalog.Limits()
        self.caller = caller_connections.CallerConnection(
            near, clock.Clock(), self.limits
        )

    def tearDown(self):
        self.far.close()
        self.caller.close()

    def test_one_that_is_served_is_not_idle(self):
        self.far.sendall(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
        self.assertTrue(self.caller.idle())
        self.caller.next_request(self.limits)
        self.caller.serving = True
        self.assertFalse(self.caller.idle())

    def test_one_whose_request_has_begun_is_not_idle(self):
        self.caller.reader.feed(b'GET / HTTP/1.1\r\nHo')
        self.assertFalse(self.caller.idle())

    def test_idle_one_finds_the_end(self):
        self.caller.shut_if_idle()
        with self.assertRaises(caller_connections.CallerDisconnected):
            self.caller.next_request(self.limits)

    def test_request_that_was_not_read_yet_is_answered(self):
        self.far.sendall(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
        gevent.sleep(0.01)
        self.caller.shut_if_idle()
        self.caller.next_request(self.limits)
        with self.caller.attended():
            gevent.sleep(0.01)

    def test_caller_that_leaves_is_noticed(self):
        self.far.sendall(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
        self.caller.next_request(self.limits)

        def serve():
            try:
                with self.caller.attended():
                    gevent.sleep(5)
            except caller_connections.CallerDisconnected:
                return 'noticed'

        task = gevent.spawn(serve)
        gevent.sleep(0)
        self.far.close()
        self.assertEqual('noticed', task.get())

    def test_next_request_is_not_taken_for_leaving(self):
        raw = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
        self.far.sendall(raw)
        self.caller.next_request(self.limits)
        with self.caller.attended():
            self.far.sendall(raw)
            gevent.sleep(0.01)
        self.assertEqual('/', self.caller.next_request(self.limits).path)
