"""Parses responses as their bytes arrive, with httptools.

A response is appended to a queue once it begins.  What a peer may send is
bounded by numbers as well as bytes.

Example::

    parser = ResponseParser()
    parser.feed(b'HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nok')
    parser.responses.popleft().take_body()    # bytearray(b'ok')
"""

import collections
import re

import httptools

from galenaspoke.http import messages

# The longest head of a response, and the longest sequence of bytes that adds
# nothing to its body.
MAX_HEAD_BYTES = 65_536
# How many interim responses may come before a final one.
MAX_INTERIM_RESPONSES = 8
# How many responses of a connection are held until they are taken.
MAX_HELD_RESPONSES = 8
# By how much the framing of a body may exceed the body.
MAX_FRAMING_BYTES = 16_384
# The start of a response.  Within the head of another one, that one was cut
# off, and the two can't be told apart.
_STATUS_LINE = re.compile(rb'HTTP/1\.\d \d{3}')
# Others are no statuses of HTTP; those below the final ones are interim.
_STATUSES = range(100, 600)
_MIN_FINAL_STATUS = 200
_BODILESS_STATUSES = (204, 304)


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

    def __init__(self, max_body_bytes=messages.MAX_BODY_BYTES):
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
            raise messages.BadResponse('unexpected protocol upgrade') from exc
        except httptools.HttpParserCallbackError as exc:
            if isinstance(exc.__context__, messages.BadResponse):
                raise exc.__context__ from None
            raise
        except httptools.HttpParserError as exc:
            raise messages.BadResponse(str(exc)) from exc
        if self._overhead_bytes > MAX_HEAD_BYTES:
            raise messages.Flood('the head or the trailer is too long')
        has_body = self._current and self._current.is_head_complete
        if has_body and self._framing_bytes > MAX_FRAMING_BYTES:
            raise messages.Flood('the framing exceeds the body')
        body = self._current.body if self._current else b''
        if len(body) > self._max_body_bytes:
            raise messages.BadResponse('the body is too long')

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
            raise messages.Flood('too many responses')
        self._current = messages.Response()
        self._header_count = 0
        self._reason = b''
        self.responses.append(self._current)

    def on_status(self, reason):
        self._reason += reason

    def on_header(self, name, value):
        self._header_count += 1
        if self._header_count > messages.MAX_HEADERS:
            raise messages.Flood('too many headers')
        if not self._current.is_head_complete:
            self._current.headers.append((name.lower(), value))

    def on_headers_complete(self):
        self._overhead_bytes = 0
        self._framing_bytes = 0
        self._header_count = 0
        response = self._current
        values = [value for _, value in response.headers]
        if _STATUS_LINE.search(b'\n'.join([self._reason, *values])):
            raise messages.BadResponse(
                'a response began within the head of another'
            )
        response.status = self._parser.get_status_code()
        if response.status not in _STATUSES:
            raise messages.BadResponse(
                f'the status {response.status} is none of HTTP'
            )
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
                raise messages.Flood('too many interim responses')
            return
        self._interim_count = 0
        response.is_complete = True
