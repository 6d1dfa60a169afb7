"""HTTP/1.1 messages: what they hold, and how they are encoded.

`request_parsing` and `response_parsing` make them from bytes.

Example::

    encode_head(build_status_line(200), [(b'Content-Length', b'0')])
"""

# Hop-by-hop headers, and Content-Length and Expect, which the router handles
# itself.
HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
        b'content-length',
    )
)
# The longest body that is held in memory until it is complete.
MAX_BODY_BYTES = 4_194_304
# How many headers a message may have, and how many trailer fields a response.
# Their objects take more than their bytes.
MAX_HEADERS = 128
# What the objects of a request and of a header take in memory beside their
# bytes.
REQUEST_OBJECT_BYTES = 700
HEADER_OBJECT_BYTES = 160
_PHRASES = {
    200: b'OK',
    400: b'Bad Request',
    401: b'Unauthorized',
    402: b'Payment Required',
    404: b'Not Found',
    408: b'Request Timeout',
    413: b'Content Too Large',
    429: b'Too Many Requests',
    431: b'Request Header Fields Too Large',
    500: b'Internal Server Error',
    502: b'Bad Gateway',
    503: b'Service Unavailable',
    504: b'Gateway Timeout',
}


class BadRequest(Exception):
    """A request is invalid; `status` is the response's status code."""

    def __init__(self, status, detail):
        super().__init__(detail)
        self.status = status


class BadResponse(Exception):
    """A peer sent something that is not a valid HTTP response."""


class Flood(BadResponse):
    """A peer sent more of something than any sound one does."""


class _Message:
    """Something with `headers`.

    They are pairs of the lower-case name and the value, both as bytes.
    """

    __slots__ = ()

    def header(self, name, default=''):
        """Return a header's first value; `name` must be in lower case."""
        for header_name, value in self.headers:
            if header_name == name:
                return value.decode('latin-1')
        return default


class Request(_Message):
    """A caller's request; `is_complete` once all of it has arrived."""

    __slots__ = (
        'method',
        'url',
        'headers',
        'body',
        'keep_alive',
        'takes_chunks',
        'expects_continue',
        'is_complete',
        'is_head_complete',
        'arrived_at',
        'head_bytes',
    )

    def __init__(self):
        self.method = b''
        self.url = b''
        self.headers = []
        self.body = bytearray()
        self.keep_alive = True
        # Whether its caller understands a response in chunks.
        self.takes_chunks = True
        self.expects_continue = False
        self.is_complete = False
        self.is_head_complete = False
        # When its first byte was read, in ms, or, if that came together with
        # an earlier request, when the connection turned to it; 0 until then.
        self.arrived_at = 0
        # The approximate size of the request line and headers received so far,
        # or of what came after the latest piece of the body.
        self.head_bytes = 0

    @property
    def path(self):
        """The path without the query string."""
        return self.url.split(b'?', 1)[0].decode('latin-1')

    def count_held_bytes(self):
        """Return roughly how much memory it takes."""
        return (
            REQUEST_OBJECT_BYTES
            + HEADER_OBJECT_BYTES * len(self.headers)
            + self.head_bytes
            + len(self.body)
        )


class Response(_Message):
    """A peer's response.

    `body` holds the bytes that were not taken yet; `is_complete` is set once
    all of the body has arrived.  It never is if only the end of the connection
    ends the body, since a response that is cut off ends in the same way.
    """

    __slots__ = (
        'status',
        'headers',
        'body',
        'is_complete',
        'is_head_complete',
        'is_framed',
        'keep_alive',
    )

    def __init__(self):
        self.status = 0
        self.headers = []
        self.body = bytearray()
        self.is_complete = False
        self.is_head_complete = False
        # Whether the head says where the body ends; otherwise it ends with
        # the connection.
        self.is_framed = False
        self.keep_alive = True

    def take_body(self):
        """Return and remove the bytes of the body that have arrived.

        They are a bytearray that isn't shared, so that nothing is copied.
        """
        data, self.body = self.body, bytearray()
        return data

    def drop(self):
        """Forget the body, which then never becomes complete."""
        self.body = bytearray()
        self.is_complete = False

    def held_bytes(self):
        """Return about how much memory the head and the body take."""
        return len(self.body) + HEADER_OBJECT_BYTES * len(self.headers)


def encode_head(first_line, headers):
    """Encode a message's first line and headers."""
    lines = [first_line]
    lines += [name + b': ' + value for name, value in headers]
    lines.append(b'\r\n')
    return b'\r\n'.join(lines)


def build_status_line(status):
    """Return the first line of a response."""
    phrase = _PHRASES.get(status, b'-')
    return b'HTTP/1.1 %d %s' % (status, phrase)


def drop_hop_by_hop(headers):
    """Return the headers that may be forwarded to the next connection.

    Drops those in HOP_BY_HOP and those that a Connection header names.
    """
    connection_options = set()
    for name, value in headers:
        if name == b'connection':
            connection_options.update(
                part.strip().lower() for part in value.split(b',')
            )
    return [
        pair
        for pair in headers
        if pair[0] not in HOP_BY_HOP and pair[0] not in connection_options
    ]


def encode_chunk(data):
    """Encode `data` as one chunk of a chunked body."""
    return b'%x\r\n%s\r\n' % (len(data), data)


LAST_CHUNK = b'0\r\n\r\n'
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
