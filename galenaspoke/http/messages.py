"""HTTP/1.1 messages, parsed by httptools, as callers and targets send them.

Both readers take bytes as they arrive and append whole messages to a queue,
so that a connection's task reads one message after the other.

Example::

    reader = RequestReader(catalog.Limits())
    reader.feed(b'GET /a HTTP/1.1\\r\\nHost: b\\r\\n\\r\\n')
    reader.requests.popleft().path    # '/a'
"""

import collections

import httptools

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
_FIRST_NOT_INTERIM = 200
_BODILESS = (204, 304)
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
    """What a caller sent is refused; `status` says how to answer."""

    def __init__(self, status, detail):
        super().__init__(detail)
        self.status = status


class BadResponse(Exception):
    """What a target sent is not an answer in the protocol."""


class Request:
    """One request of a caller, whole when `complete`."""

    __slots__ = (
        'method',
        'url',
        'headers',
        'body',
        'keep_alive',
        'expects_continue',
        'complete',
        'headers_complete',
        'arrived_at',
        'size',
    )

    def __init__(self):
        self.method = b''
        self.url = b''
        # Pairs of the name in lower case and the value.
        self.headers = []
        self.body = bytearray()
        self.keep_alive = True
        self.expects_continue = False
        self.complete = False
        self.headers_complete = False
        # When its first byte was read, in ms.
        self.arrived_at = 0
        self.size = 0

    @property
    def path(self):
        """Return the path without the query."""
        return self.url.split(b'?', 1)[0].decode('latin-1')

    def header(self, name, default=''):
        """Return the first value of a header; `name` is in lower case."""
        for known, value in self.headers:
            if known == name:
                return value.decode('latin-1')
        return default


class RequestParser:
    """Parses what one caller's connection brings."""

    __slots__ = ('requests', 'current', 'limits', '_parser')

    def __init__(self, limits):
        self.requests = collections.deque()
        self.current = None
        # The owner may set others between requests.
        self.limits = limits
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, data):
        """Take bytes; raise BadRequest if they are no acceptable request."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            raise BadRequest(400, 'no other protocol is spoken') from exc
        except httptools.HttpParserCallbackError as exc:
            if isinstance(exc.__context__, BadRequest):
                raise exc.__context__ from None
            raise
        except httptools.HttpParserError as exc:
            raise BadRequest(400, str(exc)) from exc
        req = self.current
        if req is not None and not req.headers_complete:
            req.size += len(data)
            self._check_headers(req)

    def _check_headers(self, req):
        if req.size > self.limits.header_bytes:
            raise BadRequest(431, 'the headers are too long')

    # The parser calls these.

    def on_message_begin(self):
        self.current = Request()

    def on_url(self, url):
        self.current.url += url

    def on_header(self, name, value):
        req = self.current
        if req.headers_complete:
            # Trailers concern only the connection that they came on.
            return
        req.headers.append((name.lower(), value))

    def on_headers_complete(self):
        req = self.current
        req.headers_complete = True
        req.method = self._parser.get_method()
        req.keep_alive = self._parser.should_keep_alive()
        req.size = len(req.url) + sum(
            len(name) + len(value) + 4 for name, value in req.headers
        )
        self._check_headers(req)
        self._check_framing(req)

    def _check_framing(self, req):
        names = [name for name, _ in req.headers]
        if names.count(b'host') != 1:
            raise BadRequest(400, 'one Host header is needed')
        version = self._parser.get_http_version()
        for name, value in req.headers:
            if name == b'transfer-encoding':
                if value.lower() != b'chunked' or version != '1.1':
                    raise BadRequest(400, 'unknown transfer encoding')
            elif name == b'content-length':
                if int(value) > self.limits.body_bytes:
                    raise BadRequest(413, 'the body is too long')
            elif name == b'expect':
                req.expects_continue = True

    def on_body(self, data):
        req = self.current
        req.body += data
        if len(req.body) > self.limits.body_bytes:
            raise BadRequest(413, 'the body is too long')

    def on_message_complete(self):
        self.current.complete = True
        self.requests.append(self.current)
        self.current = None


class Response:
    """One answer of a target; `body` holds what has not been taken yet."""

    __slots__ = (
        'status',
        'headers',
        'body',
        'complete',
        'headers_complete',
        'framed',
        'keep_alive',
    )

    def __init__(self):
        self.status = 0
        self.headers = []
        self.body = bytearray()
        self.complete = False
        self.headers_complete = False
        # Whether the end of the body can be told without the connection's.
        self.framed = False
        self.keep_alive = True

    def header(self, name, default=''):
        """Return the first value of a header; `name` is in lower case."""
        for known, value in self.headers:
            if known == name:
                return value.decode('latin-1')
        return default

    def take(self):
        """Return the part of the body that is new, and forget it."""
        data = bytes(self.body)
        del self.body[:]
        return data


class ResponseParser:
    """Parses what one target's connection brings.

    `answers` holds all that began and were not taken by the reader's owner;
    interim answers are left out.
    """

    __slots__ = ('answers', '_current', '_parser')

    def __init__(self):
        self.answers = collections.deque()
        self._current = None
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data):
        """Take bytes; raise BadAnswer if they are no answer."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            raise BadResponse('switches to another protocol') from exc
        except httptools.HttpParserError as exc:
            raise BadResponse(str(exc)) from exc

    def end(self):
        """Note that the connection ended in order."""
        response = self._current
        if response and response.headers_complete and not response.framed:
            response.complete = True
            self._current = None

    # The parser calls these.

    def on_message_begin(self):
        self._current = Response()
        self.answers.append(self._current)

    def on_header(self, name, value):
        if not self._current.headers_complete:
            self._current.headers.append((name.lower(), value))

    def on_headers_complete(self):
        response = self._current
        response.status = self._parser.get_status_code()
        response.keep_alive = self._parser.should_keep_alive()
        response.headers_complete = True
        names = {name for name, _ in response.headers}
        response.framed = (
            b'content-length' in names
            or b'transfer-encoding' in names
            or response.status in _BODILESS
        )

    def on_body(self, data):
        self._current.body += data

    def on_message_complete(self):
        response = self._current
        self._current = None
        if response.status < _FIRST_NOT_INTERIM:
            self.answers.remove(response)
            return
        response.complete = True


def encode_head(first_line, headers):
    """Return the bytes of a message's head."""
    lines = [first_line]
    lines += [name + b': ' + value for name, value in headers]
    lines.append(b'\r\n')
    return b'\r\n'.join(lines)


def status_line(status):
    """Return the first line of an answer."""
    phrase = _PHRASES.get(status, b'-')
    return b'HTTP/1.1 %d %s' % (status, phrase)


def drop_hop_by_hop(headers):
    """Return the headers that concern more than one connection."""
    named = set()
    for name, value in headers:
        if name == b'connection':
            named.update(part.strip().lower() for part in value.split(b','))
    return [
        pair
        for pair in headers
        if pair[0] not in HOP_BY_HOP and pair[0] not in named
    ]


def chunk(data):
    """Return `data` as one chunk of a chunked body."""
    return b'%x\r\n%s\r\n' % (len(data), data)


LAST_CHUNK = b'0\r\n\r\n'
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
