"""HTTP/1.1 messages: incremental parsers and encoders.

The parsers, which are based on httptools, take bytes as they arrive and append
messages to a queue, from which a connection's greenlet takes them in order.

Example::

    parser = RequestParser(catalog.Limits())
    parser.feed(b'GET /a HTTP/1.1\\r\\nHost: b\\r\\n\\r\\n')
    parser.requests.popleft().path    # '/a'
"""

import collections
import re

import httptools

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
# The longest head of a response, and the longest sequence of bytes that adds
# nothing to its body.
MAX_HEAD_BYTES = 65_536
# The longest body that is held in memory until it is complete.
MAX_BODY_BYTES = 4_194_304
# How many headers a message may have, and how many trailer fields a response.
# Their objects take more than their bytes.
MAX_HEADERS = 128
# How many interim responses may come before a final one.
MAX_INTERIM_RESPONSES = 8
# How many responses of a connection are held until they are taken.
MAX_HELD_RESPONSES = 8
# By how much the framing of a body may exceed the body.
MAX_FRAMING_BYTES = 16_384
# What the objects of a request and of a header take in memory beside their
# bytes.
REQUEST_OBJECT_BYTES = 700
HEADER_OBJECT_BYTES = 160
# The start of a response.  Within the head of another one, that one was cut
# off, and the two can't be told apart.
_STATUS_LINE = re.compile(rb'HTTP/1\.\d \d{3}')
# Others are no statuses of HTTP; those below the final ones are interim.
_STATUSES = range(100, 600)
_MIN_FINAL_STATUS = 200
_BODILESS_STATUSES = (204, 304)
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


class Request:
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
        # Pairs of the lower-case name and the value, both as bytes.
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

    def header(self, name, default=''):
        """Return a header's first value; `name` must be in lower case."""
        for header_name, value in self.headers:
            if header_name == name:
                return value.decode('latin-1')
        return default


class RequestParser:
    """Parses the bytes of one caller's connection.

    `requests` holds the complete requests that were not taken yet, `current`
    the one that is arriving, or None.
    """

    __slots__ = ('requests', 'current', 'limits', '_parser')

    def __init__(self, limits):
        self.requests = collections.deque()
        self.current = None
        # The connection may replace them between requests.
        self.limits = limits
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, data):
        """Parse bytes; raise BadRequest if they violate HTTP or a limit."""
        before = self.current
        if before is not None:
            before.head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            raise BadRequest(
                400, 'protocol upgrades are not supported'
            ) from exc
        except httptools.HttpParserCallbackError as exc:
            if isinstance(exc.__context__, BadRequest):
                raise exc.__context__ from None
            raise
        except httptools.HttpParserError as exc:
            raise BadRequest(400, str(exc)) from exc
        req = self.current
        if req is None:
            return
        if req is not before and not req.is_head_complete:
            req.head_bytes += len(data)
        self._check_head_size(req)

    def count_held_bytes(self):
        """Return roughly how much memory its requests take."""
        held_bytes = sum(req.count_held_bytes() for req in self.requests)
        if self.current is not None:
            held_bytes += self.current.count_held_bytes()
        return held_bytes

    def _check_head_size(self, req):
        if req.head_bytes > self.limits.header_bytes:
            raise BadRequest(431, 'request head too large')

    # Callbacks of httptools.

    def on_message_begin(self):
        self.current = Request()

    def on_url(self, url):
        self.current.url += url

    def on_header(self, name, value):
        req = self.current
        if req.is_head_complete:
            # Trailer fields only concern the connection on which they came, so
            # they are not forwarded.
            return
        if len(req.headers) >= MAX_HEADERS:
            raise BadRequest(431, 'too many headers')
        req.headers.append((name.lower(), value))

    def on_headers_complete(self):
        req = self.current
        req.is_head_complete = True
        req.method = self._parser.get_method()
        req.keep_alive = self._parser.should_keep_alive()
        req.head_bytes = len(req.url) + sum(
            len(name) + len(value) + 4 for name, value in req.headers
        )
        self._check_head_size(req)
        self._check_framing(req)

    def _check_framing(self, req):
        """Refuse framing that a target could interpret differently.

        Otherwise a second request could be smuggled past the router.
        """
        names = [name for name, _ in req.headers]
        if names.count(b'host') != 1:
            raise BadRequest(400, 'exactly one Host header is required')
        version = self._parser.get_http_version()
        req.takes_chunks = version == '1.1'
        for name, value in req.headers:
            if name == b'transfer-encoding':
                if value.lower() != b'chunked' or version != '1.1':
                    raise BadRequest(400, 'unsupported transfer encoding')
            elif name == b'content-length':
                if int(value) > self.limits.body_bytes:
                    raise BadRequest(413, 'request body too large')
            elif name == b'expect':
                req.expects_continue = True

    def on_body(self, data):
        req = self.current
        req.head_bytes = 0
        req.body += data
        if len(req.body) > self.limits.body_bytes:
            raise BadRequest(413, 'request body too large')

    def on_message_complete(self):
        self.current.is_complete = True
        self.requests.append(self.current)
        self.current = None


class Response:
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

    def header(self, name, default=''):
        """Return a header's first value; `name` must be in lower case."""
        for header_name, value in self.headers:
            if header_name == name:
                return value.decode('latin-1')
        return default

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


class ResponseParser:
    """Parses the bytes of one connection to a peer.

    `responses` holds all responses that have begun and were not taken yet.
    Interim responses (1xx) are dropped.  At most `max_body_bytes` of a body
    are held at a time.  Numbers are bounded as well, since many small things
    take more processor time and memory than their bytes.
    """

    __slots__ = (
        'responses',
        '_max_body_bytes',
        '_overhead_bytes',
        '_framing_bytes',
        '_header_count',
        '_interim_count',
        '_current',
        '_reason',
        '_parser',
    )

    def __init__(self, max_body_bytes=MAX_BODY_BYTES):
        self.responses = collections.deque()
        self._max_body_bytes = max_body_bytes
        # The bytes since the last head, piece of a body or end of a response.
        self._overhead_bytes = 0
        # By how much the framing of the current body exceeds it so far.
        self._framing_bytes = 0
        # The headers of the current head, or the fields of its trailer.
        self._header_count = 0
        # The interim responses since the last final one.
        self._interim_count = 0
        self._current = None
        # The reason phrase of the current response, as far as it has arrived.
        self._reason = b''
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data):
        """Parse bytes; raise BadResponse if they violate HTTP or a limit."""
        self._overhead_bytes += len(data)
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            raise BadResponse('unexpected protocol upgrade') from exc
        except httptools.HttpParserCallbackError as exc:
            if isinstance(exc.__context__, BadResponse):
                raise exc.__context__ from None
            raise
        except httptools.HttpParserError as exc:
            raise BadResponse(str(exc)) from exc
        if self._overhead_bytes > MAX_HEAD_BYTES:
            raise Flood('the head or the trailer is too long')
        has_body = self._current and self._current.is_head_complete
        if has_body and self._framing_bytes > MAX_FRAMING_BYTES:
            raise Flood('the framing exceeds the body')
        body = self._current.body if self._current else b''
        if len(body) > self._max_body_bytes:
            raise BadResponse('the body is too long')

    def held_bytes(self):
        """Return about how much memory takes what was not taken yet."""
        held = self._overhead_bytes
        return held + sum(response.held_bytes() for response in self.responses)

    def close(self):
        """Drop what is held; nothing can be parsed any more."""
        self.responses.clear()
        self._current = None
        # It refers to this object.
        self._parser = None

    # Callbacks of httptools.

    def on_message_begin(self):
        if len(self.responses) >= MAX_HELD_RESPONSES:
            raise Flood('too many responses')
        self._current = Response()
        self._header_count = 0
        self._reason = b''
        self.responses.append(self._current)

    def on_status(self, reason):
        self._reason += reason

    def on_header(self, name, value):
        self._header_count += 1
        if self._header_count > MAX_HEADERS:
            raise Flood('too many headers')
        if not self._current.is_head_complete:
            self._current.headers.append((name.lower(), value))

    def on_headers_complete(self):
        self._overhead_bytes = 0
        self._framing_bytes = 0
        self._header_count = 0
        response = self._current
        values = [value for _, value in response.headers]
        if _STATUS_LINE.search(b'\n'.join([self._reason, *values])):
            raise BadResponse('a response began within the head of another')
        response.status = self._parser.get_status_code()
        if response.status not in _STATUSES:
            raise BadResponse(f'the status {response.status} is none of HTTP')
        response.keep_alive = self._parser.should_keep_alive()
        response.is_head_complete = True
        names = {name for name, _ in response.headers}
        response.is_framed = (
            b'content-length' in names
            or b'transfer-encoding' in names
            or response.status in _BODILESS_STATUSES
        )

    def on_body(self, data):
        self._overhead_bytes = 0
        # Once without the piece, and once for the framing that it allows.
        self._framing_bytes -= 2 * len(data)
        self._current.body += data

    def on_message_complete(self):
        self._overhead_bytes = 0
        response = self._current
        self._current = None
        if response.status < _MIN_FINAL_STATUS:
            self.responses.remove(response)
            self._interim_count += 1
            if self._interim_count > MAX_INTERIM_RESPONSES:
                raise Flood('too many interim responses')
            return
        self._interim_count = 0
        response.is_complete = True


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
