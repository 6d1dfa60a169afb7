"""Stand-in for a model engine: batches, streams, cancels, resumes.

The answer to a prompt is `word0 word1 ...`, each word a token named after the
prompt, so that a checker can tell whose answer it is and whether it is whole.
A prompt that contains POISON brings the engine down for a while: it drops
every connection and forgets its cache.
"""

import collections
import hashlib

import click
import gevent
from gevent import lock
import msgspec

from standins import common

CRASH_MARKER = 'POISON'
PREFIX_CHARS = 256
# What a prompt costs that is not cached, in token times.
PREFILL_TOKENS = 8


class EngineCrashed(Exception):
    """The engine went down during a request."""


def generate_tokens(prompt, count):
    """Return the answer to a prompt, as a list of `count` tokens."""
    mark = hashlib.blake2b(prompt.encode(), digest_size=4).hexdigest()
    return [f'{mark}-{number} ' for number in range(count)]


class Engine:
    """The WSGI application."""

    def __init__(self, log, slots, token_ms, down_ms, fencing, cache):
        self._cache_entries = cache
        self._log = log
        self._slots = slots
        self._batch_slots = lock.BoundedSemaphore(slots)
        self._token_s = token_ms / 1000
        self._down_s = down_ms / 1000
        self._fencing = fencing
        self._waiting = 0
        self._running = 0
        self._incarnation = 0
        self._is_down = False
        self._cancelled = set()
        self._cache = collections.OrderedDict()
        self._order = {'fence': 0}

    def __call__(self, environ, start_response):
        path = environ['PATH_INFO']
        if self._is_down:
            raise ConnectionResetError('engine is down')
        if path == '/load':
            load = {
                'running': self._running,
                'waiting': self._waiting,
                'life': self._incarnation,
                'order': self._order,
            }
            body = msgspec.json.encode(load)
            return common.reply(start_response, 200, body)
        if path == '/orders':
            return self._apply_order(common.read_json(environ), start_response)
        if path == '/cancel':
            self._cancelled.add(common.read_json(environ)['id'])
            return common.reply(start_response, 200)
        req = common.read_json(environ)
        start_response('200 OK', [('Content-Type', 'application/x-ndjson')])
        return self._generate(req)

    def _apply_order(self, order, start_response):
        if self._fencing and order['fence'] < self._order['fence']:
            return common.reply(start_response, 409)
        self._log.write(what='order', **order)
        self._order = order
        return common.reply(start_response, 200)

    def _generate(self, req):
        life = self._incarnation
        whole = False
        self._log.write(what='start', **req)
        self._waiting += 1
        self._batch_slots.acquire()
        self._waiting -= 1
        self._running += 1
        made = len(req['resume'])
        try:
            if self._add_to_cache(req['prompt']):
                gevent.sleep(PREFILL_TOKENS * self._token_s)
            if CRASH_MARKER in req['prompt']:
                self._crash()
            words = generate_tokens(req['prompt'], req['max_tokens'])
            for word in words[made:]:
                gevent.sleep(self._token_s)
                if life != self._incarnation:
                    raise EngineCrashed
                if req['id'] in self._cancelled:
                    break
                made += 1
                yield msgspec.json.encode({'piece': word}) + b'\n'
            whole = True
            yield msgspec.json.encode({'done': made}) + b'\n'
        finally:
            self._running -= 1
            self._batch_slots.release()
            self._cancelled.discard(req['id'])
            self._log.write(
                what='stop',
                id=req['id'],
                key=req.get('key'),
                budget=req.get('budget'),
                tokens=made - len(req['resume']),
                made=made,
                whole=whole,
            )

    def _add_to_cache(self, prompt):
        """Note a prompt in the cache; return True if it wasn't there."""
        prefix = prompt[:PREFIX_CHARS]
        missing = prefix not in self._cache
        self._cache[prefix] = True
        self._cache.move_to_end(prefix)
        if len(self._cache) > self._cache_entries:
            self._cache.popitem(last=False)
        return missing

    def _crash(self):
        self._log.write(what='crash', life=self._incarnation)
        self._incarnation += 1
        self._is_down = True
        self._cache.clear()
        gevent.spawn_later(self._down_s, self._restart)
        raise EngineCrashed

    def _restart(self):
        self._is_down = False


@click.command()
@click.option('--listen', required=True)
@click.option('--log', default='')
@click.option('--slots', default=8)
@click.option('--token-ms', default=10)
@click.option('--down-ms', default=2000)
@click.option('--fencing/--no-fencing', default=True)
@click.option('--cache', default=64, help='Prefixes that are kept.')
def main(listen, log, slots, token_ms, down_ms, fencing, cache):
    """Serve a model engine on LISTEN."""
    truth = common.EventLog(log)
    common.serve(
        listen, Engine(truth, slots, token_ms, down_ms, fencing, cache)
    )
