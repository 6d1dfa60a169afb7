"""HTTP exchanges with a target, each on a new connection.

Connections are never reused: a request sent on a connection that the target is
just closing may or may not have been accepted.
"""

import contextlib

from geventhttpclient import response

from galenaspoke.core import clock as clocks
from galenaspoke.utils import bounded_http
from galenaspoke.utils import decoding

CONNECT_TIMEOUT_S = 1.0
DEFAULT_LIMITS = bounded_http.Limits(body_bytes=1_048_576)

_clock = clocks.Clock()


class TargetFailed(Exception):
    """An exchange with the target failed.

    `sent` is set if the target may have started the request.
    """

    def __init__(self, detail, sent):
        super().__init__(detail)
        self.sent = sent


TRANSPORT_ERRORS = (
    OSError,
    response.HTTPConnectionClosed,
    response.HTTPParseError,
    response.HTTPProtocolViolationError,
)


def has_stated_end(resp):
    """Return whether the head of a response says where its body ends.

    A body without a length ends with its connection.  That is also closed when
    the peer is killed, so such a body may be cut off anywhere.
    """
    codings = resp.get('Transfer-Encoding')
    if codings is None:
        return resp.content_length is not None
    last = codings if isinstance(codings, str) else codings[-1]
    return last.rpartition(',')[2].strip().lower() == 'chunked'


class Answer:
    """The response of an exchange, which is read in its context."""

    __slots__ = ('_client', '_resp')

    def __init__(self, client, resp):
        self._client = client
        self._resp = resp

    def read(self):
        """Return the whole body."""
        return self._resp.read()

    def read_line(self):
        """Return the next line, empty at the end of the body."""
        return self._client.read_line(self._resp)


@contextlib.contextmanager
def exchange(url, path, body=b'', timeout_s=5.0, limits=DEFAULT_LIMITS):
    """Context manager: POST `body` (GET if empty) and yield the Answer.

    All of it may take `timeout_s` and have the size of `limits`.

    Raises TargetFailed on any failure, including reads inside the block, and
    if what was read there is Unreadable: a body without a length may be cut
    off, but then it isn't a JSON document.
    """
    http_client = bounded_http.Client.from_url(
        url,
        connection_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
        network_timeout=timeout_s,
        limits=limits,
        deadline_ms=_clock.now() + timeout_s * 1000,
    )
    resp = None
    try:
        resp = http_client.request('POST' if body else 'GET', path, body)
        if resp.status_code != 200:
            detail = f'{path}: status {resp.status_code}'
            raise TargetFailed(detail, resp.status_code >= 500)
        yield Answer(http_client, resp)
    except ConnectionRefusedError as exc:
        raise TargetFailed(f'{path}: {exc!r}', False) from exc
    except (*TRANSPORT_ERRORS, decoding.Unreadable) as exc:
        raise TargetFailed(f'{path}: {exc!r}', True) from exc
    finally:
        if resp is not None:
            resp.release()
        http_client.close()
