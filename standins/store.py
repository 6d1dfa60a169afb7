"""Stand-in for the platform's object API.

It has versions, conditional writes, lists, watches and rate limits.  `POST
/control` sets the faults of the real API: `outage`, `slow_ms`, and
`lose_answers`, the number of writes whose response is lost after the write has
taken effect.  `GET /counts` returns the numbers of reads, writes, version
conflicts and rate-limited requests.
"""

from urllib import parse

import click
import gevent
from gevent import event
import msgspec

from galenaspoke.core import clock as clocks
from galenaspoke.core import limits
from standins import common

MAX_VALUE_BYTES = 1_000_000


class ObjectTable:
    """All objects by key, with a revision that counts the writes.

    `deletions` has the revision of each deletion, by key, of the objects that
    do not exist now.
    """

    def __init__(self):
        self.revision = 0
        self.items = {}
        self.deletions = {}
        self.change_event = event.Event()

    def write(self, key, expected, value):
        """Write if the current version of the object is `expected`.

        Return the new version, or None on a conflict.  A value of None
        deletes the object; the version of an object that does not exist is 0.
        """
        version = self.items.get(key, (0, b''))[0]
        if version != expected:
            return None
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
            self.deletions[key] = self.revision
        else:
            self.deletions.pop(key, None)
            self.items[key] = (self.revision, value)
        change_event, self.change_event = self.change_event, event.Event()
        change_event.set()
        return self.revision

    def encode_listing(self, prefix):
        """Return all objects under a prefix, encoded as JSON."""
        items = [
            {'key': key, 'version': version, 'value': msgspec.Raw(value)}
            for key, (version, value) in self.items.items()
            if key.startswith(prefix)
        ]
        listing = {'revision': self.revision, 'items': items}
        return msgspec.json.encode(listing)

    def get_last_change(self, prefix):
        """Return the revision of the last change under a prefix, or 0.

        A change is a write or a deletion.
        """
        versions = [
            version
            for key, (version, _) in self.items.items()
            if key.startswith(prefix)
        ]
        deletions = [
            revision
            for key, revision in self.deletions.items()
            if key.startswith(prefix)
        ]
        return max(versions + deletions, default=0)


class Store:
    """WSGI application of the object API."""

    def __init__(self, log, writes_per_s, reads_per_s):
        self._objects = ObjectTable()
        self._log = log
        self._clock = clocks.Clock()
        now = self._clock.now()
        self._write_limiter = limits.TokenBucket(
            writes_per_s, writes_per_s, now
        )
        self._read_limiter = limits.TokenBucket(reads_per_s, reads_per_s, now)
        self._faults = {'outage': False, 'slow_ms': 0, 'lose_answers': 0}
        self._counts = {'reads': 0, 'writes': 0, 'conflicts': 0, 'limited': 0}

    def __call__(self, environ, start_response):
        method = environ['REQUEST_METHOD']
        path = parse.unquote(environ['PATH_INFO'])
        if path == '/control':
            self._faults.update(common.read_json(environ))
            return common.reply(start_response, 200)
        if path == '/counts':
            body = msgspec.json.encode(self._counts)
            return common.reply(start_response, 200, body)
        if self._faults['slow_ms']:
            gevent.sleep(self._faults['slow_ms'] / 1000)
        if self._faults['outage']:
            return common.reply(start_response, 503)
        kind, _, key = path.lstrip('/').partition('/')
        if method == 'GET':
            return self._read(kind, key, environ, start_response)
        return self._write(method, key, environ, start_response)

    def _read(self, kind, key, environ, start_response):
        if not self._read_limiter.take(self._clock.now()):
            self._counts['limited'] += 1
            return common.reply(start_response, 429)
        self._counts['reads'] += 1
        if kind == 'list':
            body = self._objects.encode_listing(key)
            return common.reply(start_response, 200, body)
        if kind == 'watch':
            query = parse.parse_qs(environ['QUERY_STRING'])
            self._wait_for_change(
                key, int(query['since'][0]), int(query['wait_ms'][0])
            )
            if self._faults['outage']:
                return common.reply(start_response, 503)
            body = self._objects.encode_listing(key)
            return common.reply(start_response, 200, body)
        if key not in self._objects.items:
            return common.reply(start_response, 404)
        version, value = self._objects.items[key]
        headers = [('Version', str(version))]
        return common.reply(start_response, 200, value, headers)

    def _wait_for_change(self, prefix, since, wait_ms):
        deadline = self._clock.now() + wait_ms
        while self._objects.get_last_change(prefix) <= since:
            left_ms = deadline - self._clock.now()
            if left_ms <= 0 or self._faults['outage']:
                return
            self._objects.change_event.wait(min(left_ms, 200) / 1000)

    def _write(self, method, key, environ, start_response):
        if not self._write_limiter.take(self._clock.now()):
            self._counts['limited'] += 1
            return common.reply(start_response, 429)
        value = common.read_body(environ) if method == 'PUT' else None
        if value and len(value) > MAX_VALUE_BYTES:
            return common.reply(start_response, 413)
        expected = int(environ['HTTP_IF_VERSION'])
        version = self._objects.write(key, expected, value)
        if version is None:
            self._counts['conflicts'] += 1
            return common.reply(start_response, 409)
        self._counts['writes'] += 1
        raw_value = None if value is None else msgspec.Raw(value)
        self._log.write(key=key, version=version, value=raw_value)
        if self._faults['lose_answers'] > 0:
            self._faults['lose_answers'] -= 1
            environ['wsgi.input'].socket.close()
            raise ConnectionResetError('response dropped: lose_answers is set')
        headers = [('Version', str(version))]
        return common.reply(start_response, 200, b'', headers)


@click.command()
@click.option('--listen', required=True)
@click.option('--log', default='')
@click.option('--writes-per-s', default=400)
@click.option('--reads-per-s', default=2000)
def main(listen, log, writes_per_s, reads_per_s):
    """Serve the object API on LISTEN."""
    store = Store(common.EventLog(log), writes_per_s, reads_per_s)
    common.serve(listen, store)
