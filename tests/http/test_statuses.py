"""Responses whose status is none of HTTP.

Guards against an engine in trouble whose answer has the status 000 and that
passes for an answer (MIXED): it was taken for an interim response, whose body,
if it has no length, went to the caller.
"""

import unittest

from galenaspoke.core import catalog
from galenaspoke.http import connections
from tests.edge import base
from tests.edge import handlers
from tests.http import test_cut_heads

BODY = test_cut_heads.BODY
CHUNKED = b'%x\r\n%s\r\n0\r\n\r\n' % (len(BODY), BODY)
FRAMINGS = {
    b'Content-Length: %d\r\n' % len(BODY): BODY,
    b'Transfer-Encoding: chunked\r\n': CHUNKED,
    b'Connection: close\r\n': BODY,
}
INVALID = (b'000', b'001', b'099', b'600', b'999')
WHOLE = handlers.encode_response(body=b'whole')


def encode(status, framing):
    """Return the bytes of a response that has all an engine's has."""
    return (
        b'HTTP/1.1 %s -\r\nX-Request-Id: %s\r\nX-Response-Stamp: s\r\n'
        % (status, handlers.REQUEST_ID)
        + framing
        + b'\r\n'
        + FRAMINGS[framing]
    )


class StatusTest(unittest.TestCase):
    """Statuses that a connection passes on."""

    def read(self, data):
        """Return the response to what a peer sends before it closes."""
        conn, remote = base.make_connection_pair()
        self.addCleanup(conn.close)
        remote.sendall(data)
        remote.close()
        response = conn.read_head()
        return response.status, bytes(
            conn.read_body(response, may_end_by_close=True)
        )

    def test_invalid_statuses(self):
        for status in INVALID:
            for framing in FRAMINGS:
                for more in (b'', WHOLE):
                    with self.assertRaises(connections.ResponseLost):
                        self.read(encode(status, framing) + more)

    def test_first_and_last_valid_statuses(self):
        for status in (b'200', b'599'):
            for framing in FRAMINGS:
                found = self.read(encode(status, framing))
                self.assertEqual((int(status), BODY), found)


class EngineTest(unittest.TestCase):
    """What callers get of engines with such answers."""

    def request(self, kind, *engines):
        """Return the caller of a request that the engines answer in turn."""
        desk = handlers.Desk(
            {f'i-{number}': engine for number, engine in enumerate(engines)},
            kind,
        )
        self.addCleanup(desk.close)
        return desk.request()

    def test_caller_gets_no_such_answer(self):
        for status in INVALID:
            for framing in FRAMINGS:
                data = encode(status, framing)

                def answer(remote, _, data=data):
                    remote.sendall(data)
                    remote.close()

                caller = self.request(catalog.RequestKind.ONCE, answer)
                self.assertEqual(502, caller.status)
                self.assertNotIn(b'x-response-stamp', caller.headers)
                self.assertNotIn(BODY, caller.body)
