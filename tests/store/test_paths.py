"""Calls to the store on a network path of which another call fails.

Also calls on a connection on which another call was refused.
"""

import unittest

import gevent
from gevent import event
from gevent import server

from galenaspoke.http import connections
from galenaspoke.store import paths

RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
SHORT_S = 0.8
LONG_S = 30.0


class PathFailureTest(unittest.TestCase):
    """Guards against sound calls that fail because another one does.

    On one day 75 requests were refused for draws that the router had itself
    interrupted.
    """

    def setUp(self):
        self.may_answer = event.Event()
        self.server = server.StreamServer(('127.0.0.1', 0), self.serve)
        self.server.start()
        self.addCleanup(self.server.stop)
        self.path = paths.StorePath(f'127.0.0.1:{self.server.server_port}', '')

    def serve(self, sock, _):
        """Answer each request once the test allows it."""
        while sock.recv(65_536):
            self.may_answer.wait()
            sock.sendall(RESPONSE)

    def start_call(self, method, timeout_s):
        """Start a call and wait until it has been sent."""
        task = gevent.spawn(self.try_call, method, timeout_s)
        gevent.sleep(0.05)
        return task

    def try_call(self, method, timeout_s):
        """Return the response's status, or the text of the error."""
        try:
            return self.path.call(
                method, '/objects/a/b', b'', timeout_s
            ).status
        except connections.ResponseLost as exc:
            return str(exc)

    def test_write_gets_its_response(self):
        write = self.start_call('PUT', SHORT_S)
        self.path.record_failure(0)
        self.may_answer.set()
        self.assertEqual(200, write.get(timeout=2))

    def test_watch_is_interrupted(self):
        watch = self.start_call('GET', LONG_S)
        self.path.record_failure(0)
        self.assertEqual('the path was given up', watch.get(timeout=2))


class CopiedRefusalTest(unittest.TestCase):
    """A store that writes a refusal once more, on a kept connection.

    Nothing in its responses names the call.
    """

    def start_store(self, status):
        """Return the path to a store that refuses one call and copies that."""
        refusal = b'HTTP/1.1 %d -\r\nContent-Length: 0\r\n\r\n' % status
        self.connection_count = 0

        def serve(sock, _):
            self.connection_count += 1
            is_first = self.connection_count == 1
            while sock.recv(65_536):
                sock.sendall(refusal if is_first else RESPONSE)

        store = server.StreamServer(('127.0.0.1', 0), serve)
        store.start()
        self.addCleanup(store.stop)
        return paths.StorePath(f'127.0.0.1:{store.server_port}', '')

    # Guards against a write that is applied and taken for refused.
    def test_copy_is_not_the_answer_to_a_write(self):
        for status in (404, 409, 413, 429, 503, 504):
            path = self.start_store(status)
            refused = path.call('GET', '/objects/a/b', b'', SHORT_S)
            self.assertEqual(status, refused.status)
            written = path.call('PUT', '/objects/a/b', b'{}', SHORT_S)
            self.assertEqual(200, written.status)

    # Guards against a new connection for each call.
    def test_calls_that_succeed_share_a_connection(self):
        path = self.start_store(200)
        for _ in range(5):
            path.call('PUT', '/objects/a/b', b'{}', SHORT_S)
        self.assertEqual(1, self.connection_count)
