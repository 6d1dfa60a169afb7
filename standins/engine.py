"""Stand-in for a model engine with batching, streaming, cancel and resume.

The response to a prompt is a list of tokens, each made of a hash of the prompt
and the position of the token.  A checker can thus tell which prompt a response
belongs to and whether it is complete.

A prompt that contains POISON crashes the engine for `down_ms`: all running
requests are cut off, new ones fail, and the prefix cache is cleared.
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
# Prefill time of a prompt that is not cached, in multiples of the token time.
PREFILL_TOKENS = 8


class EngineCrashed(Exception):
    """The engine crashed while a request was running."""


def generate_tokens(prompt, count):
    """Return the `count` tokens of the response to a prompt."""
    prompt_hash = hashlib.blake2b(prompt.encode(), digest_size=4).hexdigest()
    return [f'{prompt_hash}-{number} ' for number in range(count)]


class Engine:
    """WSGI application of the engine."""

    def __init__(self, log, slots, token_ms, down_ms, fencing, cache):
        self._cache_capacity = cache
        self._log = log
        self._slots = slots
        self._batch_slots = lock.BoundedSemaphore(slots)
        self._token_s = token_ms / 1000
        self._down_s = down_ms / 1000
        self._fencing = fencing
        self._waiting = 0
        self._running = 0
        self._crash_count = 0
        self._is_down = False
        self._cancelled = set()
        self._cache = collections.OrderedDict()
        self._order = {'fence': 0}

    def __call__(self, environ, start_response):
        path = environ['PATH_INFO']
        if self._is_down:
            raise ConnectionResetError('engine is down after a crash')
        if path == '/load':
            load = {
                'running': self._running,
                'waiting': self._waiting,
                'life': self._crash_count,
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
        """Apply an order, unless its fence is lower than that of the last one.

        Without fencing, every order is applied.
        """
        if self._fencing and order['fence'] < self._order['fence']:
            return common.reply(start_response, 409)
        self._log.write(what='order', **order)
        self._order = order
        return common.reply(start_response, 200)

    def _generate(self, req):
        crash_count = self._crash_count
        is_whole = is_cancelled = False
        self._log.write(what='start', **req)
        self._waiting += 1
        self._batch_slots.acquire()
        self._waiting -= 1
        self._running += 1
        position = len(req['resume'])
        try:
            if self._add_to_cache(req['prompt']):
                gevent.sleep(PREFILL_TOKENS * self._token_s)
            if CRASH_MARKER in req['prompt']:
                self._crash()
            tokens = generate_tokens(req['prompt'], req['max_tokens'])
            for token in tokens[position:]:
                gevent.sleep(self._token_s)
                if crash_count != self._crash_count:
                    raise EngineCrashed
                is_cancelled = req['id'] in self._cancelled
                if is_cancelled:
                    break
                position += 1
                yield msgspec.json.encode({'piece': token}) + b'\n'
            is_whole = not is_cancelled
            yield msgspec.json.encode({'done': position}) + b'\n'
        finally:
            self._running -= 1
            self._batch_slots.release()
            self._cancelled.discard(req['id'])
            self._log.write(
                what='stop',
                id=req['id'],
                key=req.get('key'),
                budget=req.get('budget'),
                tokens=position - len(req['resume']),
                made=position,
                whole=is_whole,
                cancelled=is_cancelled,
            )

    def _add_to_cache(self, prompt):
        """Cache the prefix of a prompt; return True if it was not cached."""
        prefix = prompt[:PREFIX_CHARS]
        is_new = prefix not in self._cache
        self._cache[prefix] = True
        self._cache.move_to_end(prefix)
        if len(self._cache) > self._cache_capacity:
            self._cache.popitem(last=False)
        return is_new

    def _crash(self):
        self._log.write(what='crash', life=self._crash_count)
        self._crash_count += 1
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
@click.option('--cache', default=64, help='Size of the prefix cache.')
def main(listen, log, slots, token_ms, down_ms, fencing, cache):
    """Serve the model engine on LISTEN."""
    event_log = common.EventLog(log)
    common.serve(
        listen, Engine(event_log, slots, token_ms, down_ms, fencing, cache)
    )
