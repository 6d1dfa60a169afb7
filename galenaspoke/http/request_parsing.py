"""Parses requests as their bytes arrive, with httptools.

Complete requests are appended to a queue, from which the connection's greenlet
takes them in order.

Example::

    parser = RequestParser(catalog.Limits())
    parser.feed(b'GET /a HTTP/1.1\\r\\nHost: b\\r\\n\\r\\n')
    parser.requests.popleft().path    # '/a'
"""

import collections

import httptools

from galenaspoke.http import messages


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
            raise messages.BadRequest(
                400, 'protocol upgrades are not supported'
            ) from exc
        except httptools.HttpParserCallbackError as exc:
            if isinstance(exc.__context__, messages.BadRequest):
                raise exc.__context__ from None
            raise
        except httptools.HttpParserError as exc:
            raise messages.BadRequest(400, str(exc)) from exc
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
            raise messages.BadRequest(431, 'request head too large')

    # Callbacks of httptools.

    def on_message_begin(self):
        self.current = messages.Request()

    def on_url(self, url):
        self.current.url += url

    def on_header(self, name, value):
        req = self.current
        if req.is_head_complete:
            # Trailer fields only concern the connection on which they came, so
            # they are not forwarded.
            return
        if len(req.headers) >= messages.MAX_HEADERS:
            raise messages.BadRequest(431, 'too many headers')
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
            raise messages.BadRequest(
                400, 'exactly one Host header is required'
            )
        version = self._parser.get_http_version()
        req.takes_chunks = version == '1.1'
        for name, value in req.headers:
            if name == b'transfer-encoding':
                if value.lower() != b'chunked' or version != '1.1':
                    raise messages.BadRequest(
                        400, 'unsupported transfer encoding'
                    )
            elif name == b'content-length':
                if int(value) > self.limits.body_bytes:
                    raise messages.BadRequest(413, 'request body too large')
            elif name == b'expect':
                req.expects_continue = True

    def on_body(self, data):
        req = self.current
        req.head_bytes = 0
        req.body += data
        if len(req.body) > self.limits.body_bytes:
            raise messages.BadRequest(413, 'request body too large')

    def on_message_complete(self):
        self.current.is_complete = True
        self.requests.append(self.current)
        self.current = None
