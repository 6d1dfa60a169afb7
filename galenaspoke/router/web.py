"""The callers' side: HTTP in, whole or streamed answers out.

`POST /v1/services/NAME` with a JSON body and these headers: `Idempotency-Key`
names the request across retries, `Request-Timeout-Ms` is the time the caller
will wait, `Priority` goes from 0, the most urgent, to 9.
"""

import hashlib
import math
import uuid

import msgspec

from galenaspoke.core import schema
from galenaspoke.core import verdicts
from galenaspoke.rpc import messages
from galenaspoke.utils import state

MAX_BODY_BYTES = 1_000_000
MAX_KEY_CHARS = 200
# The part of a prompt that engines are likely to have cached.
PREFIX_CHARS = 256
SERVICES_PATH = '/v1/services/'
_STATUS = {
    200: '200 OK',
    400: '400 Bad Request',
    402: '402 Payment Required',
    404: '404 Not Found',
    409: '409 Conflict',
    422: '422 Unprocessable Content',
    429: '429 Too Many Requests',
    502: '502 Bad Gateway',
    503: '503 Service Unavailable',
    504: '504 Gateway Timeout',
}


class Body(msgspec.Struct, forbid_unknown_fields=True):
    """What a caller sends.

    `repeatable` tells that an application call may run twice; a model
    request always may.
    """

    account: str
    prompt: str
    budget: str = ''
    max_tokens: int = 256
    stream: bool = False
    repeatable: bool = False


class BadRequest(Exception):
    """The request can't be understood."""


_BODY = msgspec.json.Decoder(Body)


class Web:
    """The WSGI application of one router."""

    __slots__ = ('_cfg', '_config_manager', '_dispatcher', '_ready', '_dump')

    def __init__(self, cfg, config_manager, dispatcher, ready, dump):
        self._cfg = cfg
        self._config_manager = config_manager
        self._dispatcher = dispatcher
        self._ready = ready
        self._dump = dump

    def __call__(self, environ, start_response):
        path = environ['PATH_INFO']
        if path == '/live':
            return _reply(start_response, 200, {'live': True})
        if path == '/ready':
            ready = self._ready()
            status = 200 if ready else 503
            return _reply(start_response, status, {'ready': ready})
        if path == '/state':
            start_response(_STATUS[200], [])
            return [state.encode(self._dump())]
        if not path.startswith(SERVICES_PATH):
            return _reply(start_response, 404, {'error': 'no such page'})
        if environ['REQUEST_METHOD'] != 'POST':
            return _reply(start_response, 400, {'error': 'use POST'})
        try:
            req = self._request(environ, path[len(SERVICES_PATH) :])
        except BadRequest as exc:
            refusal = verdicts.not_run(verdicts.Reason.BAD_REQUEST, str(exc))
            return _refuse(start_response, refusal, '')
        return self._serve(req, start_response)

    def _request(self, environ, service):
        length = environ.get('CONTENT_LENGTH') or '0'
        if int(length) > MAX_BODY_BYTES:
            raise BadRequest(f'the body exceeds {MAX_BODY_BYTES} bytes')
        try:
            body = _BODY.decode(environ['wsgi.input'].read(MAX_BODY_BYTES))
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            raise BadRequest(f'body: {exc}') from exc
        key = environ.get('HTTP_IDEMPOTENCY_KEY', '')
        if len(key) > MAX_KEY_CHARS:
            raise BadRequest('Idempotency-Key: too long')
        known = self._config_manager.config.services.get(service)
        model = known is not None and known.kind == schema.MODEL
        fresh = not key
        # Keys of different accounts never meet.
        key = f'{body.account}/{key}' if key else uuid.uuid4().hex
        return messages.Request(
            key=key,
            fresh=fresh,
            place=body.prompt[:PREFIX_CHARS] if model else key,
            service=service,
            account=body.account,
            budget=body.budget,
            prompt=body.prompt,
            digest=_digest(service, body),
            max_tokens=body.max_tokens,
            repeatable=model or body.repeatable,
            stream=body.stream,
            priority=_header(
                environ, 'HTTP_PRIORITY', self._priority(body.account), 0, 9
            ),
            deadline_ms=_header(
                environ,
                'HTTP_REQUEST_TIMEOUT_MS',
                self._cfg.default_deadline_ms,
                1,
                3_600_000,
            ),
        )

    def _priority(self, account):
        """Return the priority of an account's requests that name none."""
        config = self._config_manager.config
        known = config.accounts.get(account)
        policy = config.get_policy(known) if known else schema.DEFAULTS
        return policy.priority

    def _serve(self, req, start_response):
        events = self._dispatcher.serve(req)
        first = next(events)
        if isinstance(first, verdicts.Refusal):
            events.close()
            return _refuse(start_response, first, req.key)
        if req.stream:
            headers = [('Content-Type', 'application/x-ndjson')]
            start_response(_STATUS[200], headers)
            return _lines(first, events)
        return _whole(start_response, req, first, events)


def _digest(service, body):
    text = msgspec.json.encode([service, body])
    return hashlib.blake2b(text, digest_size=16).hexdigest()


def _header(environ, name, default, low, high):
    text = environ.get(name)
    if text is None:
        return default
    if not text.isdecimal() or not low <= int(text) <= high:
        header = name[len('HTTP_') :].replace('_', '-').title()
        raise BadRequest(
            f'{header}: {text!r} is not a number from {low} to {high}'
        )
    return int(text)


def _reply(start_response, status, document, headers=()):
    body = msgspec.json.encode(document)
    start_response(
        _STATUS[status],
        [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
            *headers,
        ],
    )
    return [body]


def _refuse(start_response, refusal, key):
    headers = []
    if refusal.retry_after_ms:
        seconds = math.ceil(refusal.retry_after_ms / 1000)
        headers.append(('Retry-After', str(seconds)))
    status = verdicts.HTTP_STATUS[refusal.reason]
    document = {'refused': refusal, 'key': key}
    return _reply(start_response, status, document, headers)


def _lines(first, events):
    try:
        for item in _chain(first, events):
            yield msgspec.json.encode(_line(item)) + b'\n'
    finally:
        events.close()


def _chain(first, events):
    yield first
    yield from events


def _line(item):
    if isinstance(item, messages.Pieces):
        return {'pieces': item.pieces}
    if isinstance(item, messages.End) and item.whole:
        return {
            'end': True,
            'pieces': item.pieces,
            'billed': item.spent,
            'in_doubt': item.doubt,
        }
    return {'refused': _refusal_of(item)}


def _refusal_of(item):
    if isinstance(item, verdicts.Refusal):
        return item
    return item.refusal


def _whole(start_response, req, first, events):
    pieces = []
    for item in _chain(first, events):
        if isinstance(item, messages.Pieces):
            pieces.extend(item.pieces)
        else:
            last = item
    if not (isinstance(last, messages.End) and last.whole):
        return _refuse(start_response, _refusal_of(last), req.key)
    document = {
        'answer': ''.join(pieces),
        'pieces': last.pieces,
        'billed': last.spent,
        'in_doubt': last.doubt,
        'key': req.key,
    }
    return _reply(start_response, 200, document)
