"""Translates the headers of requests and answers."""

from galenaspoke.edge import metadata
from galenaspoke.http import messages

# Set by the router only, whatever the caller sent.
_OURS = frozenset(
    (
        b'api-key',
        b'x-tenant',
        b'x-deadline-ms',
        b'x-expect-instance',
        b'x-request-priority',
        b'x-pin-ms',
        b'x-kv-hold',
        b'x-kv-backup',
        b'kv-from',
        b'kv-fetch',
        b'last-event-id',
    )
)
_MISDIRECTED = 421
_FIRST_PRIORITY = 0
_LAST_PRIORITY = 9


def parse_request(req):
    """Return the Call that a caller's request makes.

    Raises BadRequest where a header can't be understood.
    """
    found = {}
    for name, value in req.headers:
        found.setdefault(name, value.decode('latin-1').strip())
    tokens = _numbers(found.get(b'x-token-usage', ''), 'X-Token-Usage')
    deadline = _numbers(found.get(b'x-deadline-ms', ''), 'X-Deadline-Ms')
    return metadata.RequestMetadata(
        request_id=found.get(b'x-request-id', ''),
        deadline_ms=deadline[0] if deadline else None,
        api_key=found.get(b'api-key', ''),
        input_tokens=tokens[0] if tokens else 0,
        output_tokens=sum(tokens[1:]),
        prompt_parts=_parts(found.get(b'x-prompt-prefix', '')),
        last_event_id=found.get(b'last-event-id', ''),
    )


def request_id(req):
    """Return the id that a request carries, for a line about it."""
    return req.header(b'x-request-id')


def _numbers(text, header):
    if not text:
        return ()
    try:
        values = [int(float(part)) for part in text.split(',')]
    except (ValueError, OverflowError):
        raise messages.BadRequest(
            400, f'{header}: {text!r} is not a list of numbers'
        ) from None
    if min(values) < 0:
        raise messages.BadRequest(400, f'{header}: {text!r} is below 0')
    return values


def _parts(text):
    parts = []
    for entry in text.split(','):
        name, _, tokens = entry.strip().partition(':')
        if name:
            parts.append((name, int(tokens) if tokens.isdecimal() else 0))
    return tuple(parts)


def forwarded(req, account, instance, left_ms, priority, last_event_id):
    """Return the headers under which a target gets a request.

    `instance` is the id of the target that is meant; any other refuses.
    """
    headers = [
        pair
        for pair in messages.drop_hop_by_hop(req.headers)
        if pair[0] not in _OURS
    ]
    headers.append((b'X-Deadline-Ms', b'%d' % max(1, left_ms)))
    headers.append((b'X-Expect-Instance', instance.encode()))
    if account:
        headers.append((b'X-Tenant', account.encode()))
    if priority is not None:
        rank = min(_LAST_PRIORITY, max(_FIRST_PRIORITY, priority))
        headers.append((b'X-Request-Priority', b'%d' % rank))
    if last_event_id:
        headers.append((b'Last-Event-Id', last_event_id.encode('latin-1')))
    return headers


def parse_response(response):
    """Return the Facts that an answer's head states."""
    found = dict(response.headers)
    return metadata.ResponseMetadata(
        request_id=found.get(b'x-request-id', b'').decode('latin-1'),
        not_run=b'x-not-run' in found or response.status == _MISDIRECTED,
        misdirected=response.status == _MISDIRECTED,
        genuine=b'x-response-stamp' in found,
        encoded=found.get(b'content-encoding', b'identity') != b'identity',
        retry_after_ms=_seconds(found.get(b'retry-after', b'')),
        idle_ms=_idle_ms(found.get(b'keep-alive', b'')),
    )


def _seconds(value):
    try:
        return int(float(value) * 1000)
    except (ValueError, OverflowError):
        return None


def _idle_ms(value):
    for part in value.split(b','):
        name, _, number = part.strip().partition(b'=')
        if name.lower() == b'timeout':
            return _seconds(number)
    return None


def returned(response):
    """Return the headers under which a caller gets a target's answer."""
    return messages.drop_hop_by_hop(response.headers)
