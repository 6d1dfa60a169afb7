"""Reports: what a target says of itself when it is asked.

Model engines state when they started.  Other targets refuse the request, since
it has no id.
"""

from typing import Annotated

import msgspec

# The host of all requests for reports; targets don't look at it.
_REQUEST = b'GET /report HTTP/1.1\r\nHost: target\r\n\r\n'
_OK = 200
# The statuses with which a target responds that has no reports.
_UNSUPPORTED_STATUSES = (400, 404, 405)
# Headers that only responses to callers' requests carry.
_CALLER_HEADERS = (b'x-request-id', b'x-response-stamp')


class _Report(msgspec.Struct):
    # When the target started, in ms since 1970.
    born: Annotated[int, msgspec.Meta(ge=0)] = 0


_decoder = msgspec.json.Decoder(_Report)


def encode_request():
    """Return the request for a report."""
    return _REQUEST


def is_report(response):
    """Return whether a response may be one to a request for a report."""
    return not any(name in _CALLER_HEADERS for name, _ in response.headers)


def decode_born(status, body):
    """Return the `born` that a target reports, 0 if it states none.

    Raises ValueError if the response can't be read.
    """
    if status in _UNSUPPORTED_STATUSES:
        return 0
    if status != _OK:
        raise ValueError(f'status {status}')
    try:
        return _decoder.decode(bytes(body)).born
    except (msgspec.DecodeError, RecursionError) as exc:
        raise ValueError(str(exc)) from exc
