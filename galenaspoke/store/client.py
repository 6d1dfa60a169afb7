"""Client of the platform's object API over HTTP.

`GET /objects/KEY` returns the value, with its version in the `Version`
header.  `PUT` and `DELETE` carry `If-Version`, the version that the object
must still have (0: it must not exist).  `GET /list/PREFIX` returns all objects
under a prefix; `GET /watch/PREFIX?since=N` waits for a change after revision
N.

A write whose response is lost may have taken effect.  It raises
`OutcomeUnknown`, and the caller must read the object to find out.  A write is
sent once: if it were repeated, what came of the second one, say a refused
connection, would say nothing about the first.

A read fails if only the end of the connection ends the response: the store may
have been killed in the middle of it.
"""

import gevent
from geventhttpclient import response as ghc_response
import msgspec

from galenaspoke.store import base
from galenaspoke.utils import bounded_http
from galenaspoke.utils import decoding
from galenaspoke.utils import http

MAX_CONNECTIONS = 8
PIECE_BYTES = 16_384
MAX_RESPONSE_BYTES = 16_777_216

# Re-exported for callers of this client.
StoreError = base.StoreError
StoreUnavailable = base.StoreUnavailable
Unreadable = base.Unreadable
WriteUnresolved = base.WriteUnresolved
Conflict = base.Conflict
TooLarge = base.TooLarge
OutcomeUnknown = base.OutcomeUnknown
Item = base.Item
Listing = base.Listing
update = base.update
decode = base.decode
UNCHANGED = base.UNCHANGED


class _WriteClient(bounded_http.Client):
    """An HTTP client that sends each request once.

    The library repeats a PUT or a DELETE whose connection was closed, once
    more than its pool has connections.  No option turns that off.
    """

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._connection_pool.size = -1


class Client:
    """One process's access to the store.

    Example::

        item = client.get('config/head')
        client.put('config/head', item.version, b'{"generation": 2}')
    """

    __slots__ = (
        '_read_client',
        '_write_client',
        '_watch_client',
        '_cfg',
        '_metrics',
    )

    def __init__(self, cfg, metrics):
        self._cfg = cfg
        self._metrics = metrics
        timeout_s = cfg.timeout_ms / 1000
        self._read_client = self._make_http_client(
            bounded_http.Client, timeout_s
        )
        self._write_client = self._make_http_client(_WriteClient, timeout_s)
        self._watch_client = self._make_http_client(
            bounded_http.Client, timeout_s + cfg.watch_ms / 1000
        )

    def _make_http_client(self, client_class, timeout_s):
        return client_class.from_url(
            self._cfg.url,
            concurrency=MAX_CONNECTIONS,
            connection_timeout=timeout_s,
            network_timeout=timeout_s,
            limits=bounded_http.Limits(body_bytes=MAX_RESPONSE_BYTES),
        )

    def _call(self, http_client, method, path, body=b'', headers=None):
        """Return (response, body); raises one of `_TRANSPORT_ERRORS`.

        The time-out bounds the wait for the response; it may take longer to
        come in.  It may have MAX_RESPONSE_BYTES.
        """
        timeout_s = self._cfg.timeout_ms / 1000
        if http_client is self._watch_client:
            timeout_s += self._cfg.watch_ms / 1000
        with gevent.Timeout(timeout_s, TimeoutError('no response in time')):
            resp = http_client.request(method, path, body, headers or {})
        try:
            return resp, self._read_body(resp)
        finally:
            resp.release()

    def _read_body(self, resp):
        """Read a response as long as it moves: each piece in a call's time."""
        body = bytearray()
        while True:
            with gevent.Timeout(
                self._cfg.timeout_ms / 1000,
                TimeoutError('the response stopped'),
            ):
                piece = resp.read(PIECE_BYTES)
            if not piece:
                return bytes(body)
            body += piece

    def _read(self, path, http_client=None):
        self._metrics.count('store.reads')
        try:
            resp, body = self._call(
                http_client or self._read_client, 'GET', path
            )
        except _TRANSPORT_ERRORS as exc:
            raise StoreUnavailable(f'store: {exc!r}') from exc
        if resp.status_code not in (200, 404):
            raise StoreUnavailable(f'store: status {resp.status_code}')
        if resp.status_code == 200 and not http.has_stated_end(resp):
            raise StoreUnavailable('store: a response without a length')
        return resp, body

    def get(self, key):
        """Return the Item at `key`, with version 0 if it does not exist."""
        resp, body = self._read(f'/objects/{key}')
        if resp.status_code == 404:
            return Item(key, 0, msgspec.Raw(b''))
        return Item(key, int(resp['Version']), msgspec.Raw(body))

    def list(self, prefix):
        """Return the Listing of all objects under `prefix`."""
        _, body = self._read(f'/list/{prefix}')
        return _decode_listing(body)

    def watch(self, prefix, since):
        """Wait for a change under `prefix` after revision `since`.

        Return the Listing, unchanged if nothing happened for `watch_ms`.
        """
        path = f'/watch/{prefix}?since={since}&wait_ms={self._cfg.watch_ms}'
        _, body = self._read(path, self._watch_client)
        return _decode_listing(body)

    def put(self, key, version, value):
        """Replace the object at `version`; return its new version.

        Raises Conflict, TooLarge or StoreUnavailable if nothing changed, and
        OutcomeUnknown if the write may have taken effect.
        """
        headers = {'If-Version': str(version)}
        return self._write('PUT', key, value, headers)

    def delete(self, key, version):
        """Delete the object at `version`; raises the same errors as `put`."""
        self._write('DELETE', key, b'', {'If-Version': str(version)})

    def _write(self, method, key, body, headers):
        self._metrics.count('store.writes')
        try:
            resp, _ = self._call(
                self._write_client, method, f'/objects/{key}', body, headers
            )
        except ConnectionRefusedError as exc:
            raise StoreUnavailable(f'store: {exc!r}') from exc
        except _TRANSPORT_ERRORS as exc:
            raise OutcomeUnknown(f'store: {exc!r}') from exc
        if resp.status_code == 409:
            raise Conflict(
                f'{key} is no longer at version {headers["If-Version"]}'
            )
        if resp.status_code == 413:
            raise TooLarge(f'{key}: {len(body)} bytes exceed the limit')
        if resp.status_code in (429, 503):
            raise StoreUnavailable(f'store: status {resp.status_code}')
        if resp.status_code != 200:
            raise OutcomeUnknown(f'store: status {resp.status_code}')
        return int(resp['Version'] or 0)


def _decode_listing(body):
    try:
        return decoding.decode_json(body, Listing)
    except decoding.Unreadable as exc:
        raise StoreUnavailable(f'store: unreadable list: {exc}') from exc


_TRANSPORT_ERRORS = (
    OSError,
    TimeoutError,
    ghc_response.HTTPConnectionClosed,
    ghc_response.HTTPParseError,
)
