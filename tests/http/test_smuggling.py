"""Requests that two readers could understand differently, and long ones."""

import unittest

from galenaspoke.core import catalog
from galenaspoke.http import messages

LIMITS = catalog.Limits(header_bytes=200, body_bytes=10)
HEAD = b'POST /a/ HTTP/1.1\r\nHost: desk\r\n'


def read(*pieces):
    """Return the requests that some bytes make."""
    reader = messages.RequestParser(LIMITS)
    for piece in pieces:
        reader.feed(piece)
    return list(reader.requests)


class SmugglingTest(unittest.TestCase):
    """Nothing that could hide a second request is let through."""

    def refused(self, *pieces):
        """Return the status with which bytes are refused."""
        with self.assertRaises(messages.BadRequest) as caught:
            read(*pieces)
        return caught.exception.status

    def test_length_beside_chunks(self):
        head = HEAD + b'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n'
        self.assertEqual(400, self.refused(head + b'\r\n0\r\n\r\n'))

    def test_two_lengths(self):
        head = HEAD + b'Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc'
        self.assertEqual(400, self.refused(head))

    def test_hidden_transfer_encoding(self):
        for value in (b'xchunked', b'identity', b'chunked, identity'):
            head = HEAD + b'Transfer-Encoding: ' + value + b'\r\n\r\n'
            self.assertEqual(400, self.refused(head), value)

    def test_space_before_colon(self):
        head = b'POST / HTTP/1.1\r\nHost : a\r\n\r\n'
        self.assertEqual(400, self.refused(head))

    def test_no_host_or_two(self):
        self.assertEqual(400, self.refused(b'GET / HTTP/1.1\r\n\r\n'))
        self.assertEqual(400, self.refused(HEAD + b'Host: b\r\n\r\n'))

    def test_long_headers(self):
        self.assertEqual(431, self.refused(HEAD + b'A: ' + b'x' * 300))
        self.assertEqual(
            431, self.refused(HEAD + b'A: ' + b'x' * 300 + b'\r\n\r\n')
        )

    def test_long_body(self):
        head = HEAD + b'Content-Length: 11\r\n\r\n'
        self.assertEqual(413, self.refused(head))
        head = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
        self.assertEqual(413, self.refused(head + b'b\r\n01234567890\r\n'))


class PipelineTest(unittest.TestCase):
    """Requests one after the other, in whatever pieces they come."""

    def test_byte_by_byte(self):
        raw = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
        raw += b'2\r\nab\r\n1\r\nc\r\n0\r\nX-Trailer: 1\r\n\r\n'
        found = read(*(raw[i : i + 1] for i in range(len(raw))))
        self.assertEqual([b'abc'], [bytes(req.body) for req in found])
        self.assertEqual('', found[0].header(b'x-trailer'))

    def test_two_at_once(self):
        raw = b'GET /a?b=1 HTTP/1.1\r\nHost: x\r\n\r\n'
        found = read(raw + raw.replace(b'/a', b'/c'))
        self.assertEqual(['/a', '/c'], [req.path for req in found])
        self.assertEqual(b'/a?b=1', found[0].url)
