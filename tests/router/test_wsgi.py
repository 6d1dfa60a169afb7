"""What callers of a router are told when a stream or a request is cut.

Guards against a response that looks whole though it isn't, and against a
request that is served though it has not all come.
"""

import socket
import types
import unittest

import gevent
from gevent import pywsgi
import msgspec

from galenaspoke.core import schema
from galenaspoke.core import verdicts
from galenaspoke.router import wsgi
from galenaspoke.rpc import messages
from galenaspoke.utils import bounded_wsgi

REFUSAL = verdicts.may_have_run(verdicts.Reason.UNREACHABLE, 'gone', 500)
WHOLE = messages.End(True, 2, 'd', 2, 0)
CUT = messages.End(False, 1, 'd', 1, 0, refusal=REFUSAL)
LAST_CHUNK = b'0\r\n\r\n'


class Dispatcher:
    """Yields the events of a test; an exception among them is raised."""

    def __init__(self):
        self.events = []
        self.requests = []
        self.is_closed = False

    def serve(self, req):
        """Yield the events."""
        self.requests.append(req)
        try:
            for item in self.events:
                gevent.sleep(0)
                if isinstance(item, BaseException):
                    raise item
                yield item
        finally:
            self.is_closed = True


class CallerTestCase(unittest.TestCase):
    """Callers on sockets of their own."""

    def setUp(self):
        self.dispatcher = Dispatcher()
        config = types.SimpleNamespace(
            generation=1,
            services={'pool': types.SimpleNamespace(kind=schema.MODEL)},
            accounts={},
        )
        app = wsgi.WsgiApp(
            types.SimpleNamespace(default_deadline_ms=1000),
            types.SimpleNamespace(config=config),
            self.dispatcher,
            lambda: True,
            dict,
        )
        self.server = pywsgi.WSGIServer(
            ('127.0.0.1', 0),
            app,
            log=None,
            error_log=None,
            handler_class=bounded_wsgi.Handler,
        )
        self.server.start()
        self.addCleanup(self.server.stop, timeout=0)

    def make_body(self, stream):
        """Return the body of a request."""
        return msgspec.json.encode(
            {'account': 'desk', 'prompt': 'p', 'stream': stream}
        )

    def exchange(self, version, head, body):
        """Send what is given, end the sending, and return the response."""
        conn = gevent.socket.create_connection(self.server.address, 2)
        self.addCleanup(conn.close)
        conn.settimeout(2)
        conn.sendall(
            b'POST /v1/services/pool HTTP/%s\r\nHost: a\r\n' % version
            + head
            + b'\r\n'
            + body
        )
        conn.shutdown(socket.SHUT_WR)
        response = b''
        while data := conn.recv(65_536):
            response += data
        return response

    def ask(self, version, stream):
        """Return the response to a request."""
        body = self.make_body(stream)
        head = b'Content-Length: %d\r\n' % len(body)
        return self.exchange(version, head, body)


class CallerTest(CallerTestCase):
    """Responses that end early, and requests that do."""

    # Guards against a stream that ends properly though its events failed.
    def test_stream_whose_events_fail(self):
        self.dispatcher.events = [messages.Pieces(['a']), OSError('gone')]
        for version in (b'1.1', b'1.0'):
            response = self.ask(version, True)
            self.assertIn(b'{"pieces":["a"]}', response)
            self.assertNotIn(b'"end"', response)
            self.assertFalse(response.endswith(LAST_CHUNK), response)

    # Guards against a cut stream whose last line says that it is whole.
    def test_stream_whose_run_was_cut(self):
        for last in (CUT, REFUSAL):
            self.dispatcher.events = [messages.Pieces(['a']), last]
            for version in (b'1.1', b'1.0'):
                response = self.ask(version, True)
                self.assertIn(b'{"refused":', response)
                self.assertNotIn(b'"end"', response)

    # Guards against a full response of the pieces that came.
    def test_full_response_whose_events_fail(self):
        for last in (CUT, REFUSAL, OSError('gone')):
            self.dispatcher.events = [messages.Pieces(['a']), last]
            for version in (b'1.1', b'1.0'):
                response = self.ask(version, False)
                self.assertNotIn(b' 200 ', response)
                self.assertNotIn(b'"answer"', response)

    # Guards against a whole stream that looks cut.
    def test_whole_stream(self):
        self.dispatcher.events = [messages.Pieces(['a', 'b']), WHOLE]
        self.assertIn(b'{"end":true', self.ask(b'1.0', True))
        response = self.ask(b'1.1', True)
        self.assertIn(b'{"end":true', response)
        self.assertTrue(response.endswith(LAST_CHUNK))

    # Guards against a request that is served though its caller was cut off.
    def test_cut_request(self):
        self.dispatcher.events = [messages.Pieces(['a', 'b']), WHOLE]
        body = self.make_body(False)
        for size in range(len(body) + 1):
            length = b'Content-Length: %d\r\n' % (len(body) + 1)
            self.exchange(b'1.1', length, body[:size])
            chunked = b'Transfer-Encoding: chunked\r\n'
            chunk = b'%x\r\n' % len(body) + body[:size]
            self.exchange(b'1.1', chunked, chunk)
            self.assertEqual([], self.dispatcher.requests, size)

    # Guards against the same between the chunks of a request.
    def test_request_without_its_last_chunk(self):
        self.dispatcher.events = [messages.Pieces(['a', 'b']), WHOLE]
        body = self.make_body(False)
        chunk = b'%x\r\n' % len(body) + body + b'\r\n'
        chunked = b'Transfer-Encoding: chunked\r\n'
        for size in range(len(LAST_CHUNK) - 2):
            data = chunk + LAST_CHUNK[:size]
            self.exchange(b'1.1', chunked, data)
            self.assertEqual([], self.dispatcher.requests, data)
        self.exchange(b'1.1', chunked, chunk + LAST_CHUNK)
        self.assertEqual(1, len(self.dispatcher.requests))
