"""One HTTP exchange with a target, on a connection of its own.

A connection is never reused: on one that the target has just closed nobody
could tell whether a request was taken.
"""

import contextlib

import geventhttpclient
from geventhttpclient import response

CONNECT_TIMEOUT_S = 1.0


class TargetFailed(Exception):
    """The target didn't finish; `sent` tells if it may have started."""

    def __init__(self, detail, sent):
        super().__init__(detail)
        self.sent = sent


BROKEN = (
    OSError,
    response.HTTPConnectionClosed,
    response.HTTPParseError,
    response.HTTPProtocolViolationError,
)


@contextlib.contextmanager
def exchange(url, path, body=b'', timeout_s=5.0):
    """POST `body` (GET if empty) and give the response while in the block.

    Raises TargetFailed on any failure, also of the block's own reads.
    """
    http = geventhttpclient.HTTPClient.from_url(
        url,
        connection_timeout=CONNECT_TIMEOUT_S,
        network_timeout=timeout_s,
    )
    try:
        resp = http.request('POST' if body else 'GET', path, body)
        if resp.status_code != 200:
            detail = f'{path}: status {resp.status_code}'
            raise TargetFailed(detail, resp.status_code >= 500)
        yield resp
    except ConnectionRefusedError as exc:
        raise TargetFailed(f'{path}: {exc!r}', False) from exc
    except BROKEN as exc:
        raise TargetFailed(f'{path}: {exc!r}', True) from exc
    finally:
        http.close()
