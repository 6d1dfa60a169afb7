"""Serves calls to the store for other processes, as a relay or a feeder.

Large responses are compressed for those that accept it: routers on thin links
read a configuration in a fraction of the time, and share the link with their
callers meanwhile.  A relay whose own link is thin passes a response on while
it comes in, so that its transfer isn't silence to the router that waits.

Example::

    app = make_relay_app(store_paths, (b'store-era',))
    pywsgi.WSGIServer(address, app).start()
"""

import functools
import gzip
import zlib

import gevent

from galenaspoke.http import connections
from galenaspoke.http import wsgi_bodies
from galenaspoke.store import incoming
from galenaspoke.store import paths

# Must exceed the longest call that is relayed, a watch of
# `edge.watchers.WATCH_WAIT_MS`.
RELAYED_CALL_TIMEOUT_S = 31.0
STOP_POLL_INTERVAL_S = 0.02
# Smaller responses take too little time on any link.
MIN_COMPRESSED_BYTES = 16_384
# The fastest; objects are JSON and mostly repeat the names of fields.
COMPRESSION_LEVEL = 1
# Responses that are kept in their compressed form for those who ask next.
SHARED_RESPONSES = 2


class RelayedCalls:
    """The calls that a process relays for others."""

    __slots__ = ('_write_count',)

    def __init__(self):
        # How many writes are under way.
        self._write_count = 0

    def run(self, call, method, url_path, body):
        """Return what `call` returns for the other arguments."""
        if method == 'GET':
            return call(method, url_path, body)
        self._write_count += 1
        try:
            return call(method, url_path, body)
        finally:
            self._write_count -= 1

    def wait_for_writes(self, timeout_s):
        """Wait until no write is under way, before the process ends.

        Reads are not waited for, as those who sent them repeat them.  Calls
        that come meanwhile are not refused: a router would take the path for
        failed, and give up its own writes on it.
        """
        with gevent.Timeout(timeout_s, False):
            while self._write_count:
                gevent.sleep(STOP_POLL_INTERVAL_S)


def make_relay_app(store_paths, relayed_headers, calls=None):
    """Return a WSGI application that relays calls to the store.

    It answers 503 to a call that certainly had no effect, and 504 to one that
    may have taken effect.  Of the store's response headers it passes on those
    named in `relayed_headers`, in lower case.  `calls` are the RelayedCalls
    of the process.
    """
    calls = calls or RelayedCalls()

    def call_store(method, url_path, body, *on_receive):
        return store_paths.call_direct(
            method, url_path, body, RELAYED_CALL_TIMEOUT_S, *on_receive
        )

    def begin(environ, method, url_path, body):
        if method != 'GET' or not _may_send_parts(environ):
            return calls.run(call_store, method, url_path, body), None
        transfer = incoming.Transfer(
            functools.partial(call_store, method, url_path, body)
        )
        response = transfer.wait()
        return response, None if transfer.is_whole() else transfer

    return _make_app(paths.RELAY_PREFIX, begin, relayed_headers)


def make_call_app(prefix, call, relayed_headers):
    """Return a WSGI application that makes a call for each request.

    `call` takes the method, the URL path without `prefix` and the body, and
    returns the store's response or raises NotSent, ResponseLost or
    ReadTimeout.
    """

    def begin(_, *args):
        return call(*args), None

    return _make_app(prefix, begin, relayed_headers)


def _make_app(prefix, begin, relayed_headers):
    """Return a WSGI application, see `make_call_app`.

    `begin` returns the response, and its Transfer if it isn't whole.
    """

    def application(environ, start_response):
        url_path = environ['PATH_INFO'][len(prefix) :]
        query = environ['QUERY_STRING']
        if query:
            url_path = f'{url_path}?{query}'
        try:
            body = wsgi_bodies.read(environ)
        except wsgi_bodies.TooLong:
            return wsgi_bodies.refuse(start_response)
        content, headers, transfer = b'', [], None
        try:
            response, transfer = begin(
                environ, environ['REQUEST_METHOD'], url_path, body
            )
            status = response.status
            headers = [
                (name.decode('latin-1'), value.decode('latin-1'))
                for name, value in response.headers
                if name in relayed_headers
            ]
        except connections.NotSent:
            status = 503
        except (connections.ResponseLost, connections.ReadTimeout):
            status = paths.OUTCOME_UNKNOWN_STATUS
        else:
            content = bytes(response.body)
        headers.append(('Content-Type', 'application/json'))
        if transfer is not None:
            return _send_parts(
                environ, start_response, f'{status} -', headers, transfer
            )
        if _may_compress(environ, content):
            content = _compress(content)
            headers.append(('Content-Encoding', paths.COMPRESSED_ENCODING))
        headers.append(('Content-Length', str(len(content))))
        start_response(f'{status} -', headers)
        return [content]

    return application


def _may_send_parts(environ):
    """Return whether a response that breaks off can be told from a whole."""
    return environ.get('SERVER_PROTOCOL') == 'HTTP/1.1'


def _send_parts(environ, start_response, status, headers, transfer):
    """Send the head at once; yield the body as it comes in."""
    pieces = transfer.pieces()
    if _accepts_compressed(environ):
        headers = [*headers, ('Content-Encoding', paths.COMPRESSED_ENCODING)]
        pieces = _compress_pieces(pieces)
    write = start_response(status, headers)
    write(b'')
    yield from pieces


def _compress_pieces(pieces):
    compressor = zlib.compressobj(
        COMPRESSION_LEVEL,
        zlib.DEFLATED,
        zlib.MAX_WBITS | paths.GZIP_FORMAT,
    )
    for piece in pieces:
        yield compressor.compress(piece) + compressor.flush(zlib.Z_SYNC_FLUSH)
    yield compressor.flush()


def _accepts_compressed(environ):
    accepted = environ.get('HTTP_ACCEPT_ENCODING', '')
    return paths.COMPRESSED_ENCODING in accepted


def _may_compress(environ, content):
    return len(content) >= MIN_COMPRESSED_BYTES and _accepts_compressed(
        environ
    )


@functools.lru_cache(maxsize=SHARED_RESPONSES)
def _compress(content):
    """Return compressed bytes; routers that share a watch share the work."""
    return gzip.compress(content, COMPRESSION_LEVEL, mtime=0)
