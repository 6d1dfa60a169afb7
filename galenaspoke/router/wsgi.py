"""The HTTP interface for callers, with full or streamed responses.

Callers send `POST /v1/services/NAME` with a JSON body and these optional
headers:

- `Idempotency-Key` identifies the request across retries.
- `Request-Timeout-Ms` is how long the caller waits for the response.
- `Priority` is a number from 0, the most urgent, to 9.
"""

import hashlib
import math
import uuid

import msgspec

from galenaspoke.core import schema
from galenaspoke.core import verdicts
from galenaspoke.rpc import messages
from galenaspoke.utils import bounded_wsgi
from galenaspoke.utils import state

MAX_BODY_BYTES = 1_000_000
MAX_KEY_CHARS = 200
# Length of the prompt prefix by which model requests are placed: the part that
# engines are likely to have cached.
PROMPT_PREFIX_CHARS = 256
SERVICES_PATH = '/v1/services/'
_STATUS_LINES = {
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


class RequestBody(msgspec.Struct, forbid_unknown_fields=True):
    """The JSON body of a request.

    `repeatable` allows an application call to run twice; model requests are
    always repeatable.
    """

    account: str
    prompt: str
    budget: str = ''
    max_tokens: int = 256
    stream: bool = False
    repeatable: bool = False


class BadRequest(Exception):
    """The request can't be parsed; the message says why."""


_BODY_DECODER = msgspec.json.Decoder(RequestBody)


class WsgiApp:
    """The WSGI application of one router.

    `is_ready` returns whether the router is ready to serve, `get_state` the
    state dump.
    """

    __slots__ = (
        '_cfg',
        '_config_manager',
        '_dispatcher',
        '_is_ready',
        '_get_state',
    )

    def __init__(self, cfg, config_manager, dispatcher, is_ready, get_state):
        self._cfg = cfg
        self._config_manager = config_manager
        self._dispatcher = dispatcher
        self._is_ready = is_ready
        self._get_state = get_state

    def __call__(self, environ, start_response):
        path = environ['PATH_INFO']
        if path == '/live':
            return _reply(start_response, 200, {'live': True})
        if path == '/ready':
            ready = self._is_ready()
            status = 200 if ready else 503
            return _reply(start_response, status, {'ready': ready})
        if path == '/state':
            start_response(_STATUS_LINES[200], [])
            return [state.encode(self._get_state())]
        if not path.startswith(SERVICES_PATH):
            return _reply(start_response, 404, {'error': 'no such page'})
        if environ['REQUEST_METHOD'] != 'POST':
            return _reply(start_response, 400, {'error': 'use POST'})
        service = path[len(SERVICES_PATH) :]
        if self._is_unknown(service):
            return _refuse_unknown(start_response, environ, service)
        try:
            req = self._parse_request(environ, service)
        except BadRequest as exc:
            refusal = verdicts.not_run(verdicts.Reason.BAD_REQUEST, str(exc))
            return _refuse(start_response, refusal, '')
        return self._respond(req, start_response)

    def _is_unknown(self, service):
        """Return whether the configuration in force has no such service."""
        config = self._config_manager.config
        return bool(config.generation) and service not in config.services

    def _parse_request(self, environ, service):
        length = environ.get('CONTENT_LENGTH') or '0'
        if int(length) > MAX_BODY_BYTES:
            raise BadRequest(f'the body exceeds {MAX_BODY_BYTES} bytes')
        try:
            body = _BODY_DECODER.decode(_read_body(environ))
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            raise BadRequest(f'body: {exc}') from exc
        key = environ.get('HTTP_IDEMPOTENCY_KEY', '')
        if len(key) > MAX_KEY_CHARS:
            raise BadRequest('Idempotency-Key: too long')
        service_cfg = self._config_manager.config.services.get(service)
        is_model = service_cfg is not None and service_cfg.kind == schema.MODEL
        fresh = not key
        # The account is part of the key, so accounts can't share a key.
        key = f'{body.account}/{key}' if key else uuid.uuid4().hex
        return messages.Request(
            key=key,
            fresh=fresh,
            place=body.prompt[:PROMPT_PREFIX_CHARS] if is_model else key,
            service=service,
            account=body.account,
            budget=body.budget,
            prompt=body.prompt,
            digest=_compute_digest(service, body),
            max_tokens=body.max_tokens,
            repeatable=is_model or body.repeatable,
            stream=body.stream,
            priority=_parse_int_header(
                environ,
                'HTTP_PRIORITY',
                self._get_default_priority(body.account),
                0,
                9,
            ),
            deadline_ms=_parse_int_header(
                environ,
                'HTTP_REQUEST_TIMEOUT_MS',
                self._cfg.default_deadline_ms,
                1,
                3_600_000,
            ),
        )

    def _get_default_priority(self, account):
        """Return the default priority of an account's requests."""
        config = self._config_manager.config
        account_cfg = config.accounts.get(account)
        policy = (
            config.get_policy(account_cfg) if account_cfg else schema.DEFAULTS
        )
        return policy.priority

    def _respond(self, req, start_response):
        events = self._dispatcher.serve(req)
        first = next(events)
        if isinstance(first, verdicts.Refusal):
            events.close()
            return _refuse(start_response, first, req.key)
        if req.stream:
            headers = [('Content-Type', 'application/x-ndjson')]
            start_response(_STATUS_LINES[200], headers)
            return _stream_lines(first, events)
        return _send_full_response(start_response, req, first, events)


def _read_body(environ):
    """Return the body of a request; raises BadRequest."""
    try:
        return environ['wsgi.input'].read(MAX_BODY_BYTES)
    except (bounded_wsgi.RequestTooLarge, TimeoutError) as exc:
        raise BadRequest(f'body: {exc}') from exc
    finally:
        environ[bounded_wsgi.RELEASE_KEY]()


def _compute_digest(service, body):
    text = msgspec.json.encode([service, body])
    return hashlib.blake2b(text, digest_size=16).hexdigest()


def _parse_int_header(environ, name, default, low, high):
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
        _STATUS_LINES[status],
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


def _refuse_unknown(start_response, environ, service):
    """Refuse a request before its body is read.

    Without the service the home can't be found, so an earlier try with its key
    can't be looked up.
    """
    key = environ.get('HTTP_IDEMPOTENCY_KEY', '')
    make_refusal = verdicts.may_have_run if key else verdicts.not_run
    detail = f'there is no service {service!r}'
    refusal = make_refusal(verdicts.Reason.BAD_REQUEST, detail)
    return _refuse(start_response, refusal, key)


def _stream_lines(first, events):
    try:
        for item in _chain(first, events):
            yield msgspec.json.encode(_to_line(item)) + b'\n'
    finally:
        events.close()


def _chain(first, events):
    yield first
    yield from events


def _to_line(item):
    if isinstance(item, messages.Pieces):
        return {'pieces': item.pieces}
    if isinstance(item, messages.End) and item.whole:
        return {
            'end': True,
            'pieces': item.pieces,
            'billed': item.spent,
            'in_doubt': item.doubt,
        }
    return {'refused': _get_refusal(item)}


def _get_refusal(item):
    if isinstance(item, verdicts.Refusal):
        return item
    return item.refusal


def _send_full_response(start_response, req, first, events):
    pieces = []
    for item in _chain(first, events):
        if isinstance(item, messages.Pieces):
            pieces.extend(item.pieces)
        else:
            last = item
    if not (isinstance(last, messages.End) and last.whole):
        return _refuse(start_response, _get_refusal(last), req.key)
    document = {
        'answer': ''.join(pieces),
        'pieces': last.pieces,
        'billed': last.spent,
        'in_doubt': last.doubt,
        'key': req.key,
    }
    return _reply(start_response, 200, document)
