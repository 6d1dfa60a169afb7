"""Request smuggling, and requests that exceed a limit.

A request that the router and a target could parse differently may hide a
second one, so it is refused.
"""

import unittest

from galenaspoke.core import catalog
from galenaspoke.http import messages
from galenaspoke.http import request_parsing

LIMITS = catalog.Limits(header_bytes=200, body_bytes=10)
HEAD = b'POST /a/ HTTP/1.1\r\nHost: desk\r\n'


def parse(*pieces):
    """Return the requests that some pieces of bytes contain."""
    parser = request_parsing.RequestParser(LIMITS)
    for piece in pieces:
        parser.feed(piece)
    return list(parser.requests)


class SmugglingTest(unittest.TestCase):
    """Requests with ambiguous framing and too large ones are refused."""

    def refusal_status(self, *pieces):
        """Return the status code with which a request is refused."""
        with self.assertRaises(messages.BadRequest) as caught:
            parse(*pieces)
        return caught.exception.status

    def test_content_length_and_chunked_encoding(self):
        head = HEAD + b'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n'
        self.assertEqual(400, self.refusal_status(head + b'\r\n0\r\n\r\n'))

    def test_two_content_lengths(self):
        head = HEAD + b'Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc'
        self.assertEqual(400, self.refusal_status(head))

    def test_obscured_transfer_encoding(self):
        for value in (b'xchunked', b'identity', b'chunked, identity'):
            head = HEAD + b'Transfer-Encoding: ' + value + b'\r\n\r\n'
            self.assertEqual(400, self.refusal_status(head), value)

    def test_space_before_colon(self):
        head = b'POST / HTTP/1.1\r\nHost : a\r\n\r\n'
        self.assertEqual(400, self.refusal_status(head))

    def test_missing_or_duplicate_host(self):
        self.assertEqual(400, self.refusal_status(b'GET / HTTP/1.1\r\n\r\n'))
        self.assertEqual(400, self.refusal_status(HEAD + b'Host: b\r\n\r\n'))

    def test_large_headers(self):
        self.assertEqual(431, self.refusal_status(HEAD + b'A: ' + b'x' * 300))
        self.assertEqual(
            431, self.refusal_status(HEAD + b'A: ' + b'x' * 300 + b'\r\n\r\n')
        )

    def test_large_body(self):
        head = HEAD + b'Content-Length: 11\r\n\r\n'
        self.assertEqual(413, self.refusal_status(head))
        head = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
        self.assertEqual(
            413, self.refusal_status(head + b'b\r\n01234567890\r\n')
        )


class PipelineTest(unittest.TestCase):
    """Consecutive requests, in pieces of any size."""

    def test_byte_by_byte(self):
        raw = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
        raw += b'2\r\nab\r\n1\r\nc\r\n0\r\nX-Trailer: 1\r\n\r\n'
        requests = parse(*(raw[i : i + 1] for i in range(len(raw))))
        self.assertEqual([b'abc'], [bytes(req.body) for req in requests])
        self.assertEqual('', requests[0].header(b'x-trailer'))

    def test_two_pipelined_requests(self):
        raw = b'GET /a?b=1 HTTP/1.1\r\nHost: x\r\n\r\n'
        requests = parse(raw + raw.replace(b'/a', b'/c'))
        self.assertEqual(['/a', '/c'], [req.path for req in requests])
        self.assertEqual(b'/a?b=1', requests[0].url)
