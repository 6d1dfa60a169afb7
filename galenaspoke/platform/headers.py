"""Parses and builds the platform's headers of requests and responses."""

import math
import re

from galenaspoke.edge import metadata
from galenaspoke.http import messages

# Headers of a caller's request that are not forwarded: the router sets them
# itself or withholds them from targets.
_DROPPED_CALLER_HEADERS = frozenset(
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
_MISDIRECTED_STATUS = 421
_RATE_LIMIT = b'server-limit'
_DECIMAL_NUMBER = re.compile(rb'\d+(\.\d*)?|\.\d+')
# The platform's range of priorities; values outside of it are clamped.
_HIGHEST_PRIORITY = 0
_LOWEST_PRIORITY = 9


def parse_request(req):
    """Return the RequestMetadata of a caller's request.

    Raises BadRequest if the value of a header is invalid.
    """
    fields = {}
    for name, value in req.headers:
        fields.setdefault(name, value.decode('latin-1').strip())
    tokens = _parse_numbers(fields.get(b'x-token-usage', ''), 'X-Token-Usage')
    timeout = _parse_numbers(fields.get(b'x-deadline-ms', ''), 'X-Deadline-Ms')
    return metadata.RequestMetadata(
        request_id=fields.get(b'x-request-id', ''),
        timeout_ms=timeout[0] if timeout else None,
        api_key=fields.get(b'api-key', ''),
        input_tokens=tokens[0] if tokens else 0,
        output_tokens=sum(tokens[1:]),
        prompt_parts=_parse_prompt_parts(fields.get(b'x-prompt-prefix', '')),
        last_event_id=fields.get(b'last-event-id', ''),
        resumed_id=fields.get(b'resumes', ''),
    )


def request_id(req):
    """Return a request's id, for log lines about it."""
    return req.header(b'x-request-id')


def _parse_numbers(text, header):
    if not text:
        return ()
    try:
        values = [int(float(part)) for part in text.split(',')]
    except (ValueError, OverflowError):
        raise messages.BadRequest(
            400, f'{header}: {text!r} is not a list of numbers'
        ) from None
    if min(values) < 0:
        raise messages.BadRequest(
            400, f'{header}: {text!r} contains a negative number'
        )
    return values


def _parse_prompt_parts(text):
    parts = []
    for entry in text.split(','):
        name, _, tokens = entry.strip().partition(':')
        if name:
            parts.append((name, int(tokens) if tokens.isdecimal() else 0))
    return tuple(parts)


def build_target_headers(
    req, account_name, target_id, remaining_ms, priority, last_event_id
):
    """Return the headers of a request that is sent to a target.

    Any other target than `target_id` refuses the request.
    """
    headers = [
        pair
        for pair in messages.drop_hop_by_hop(req.headers)
        if pair[0] not in _DROPPED_CALLER_HEADERS
    ]
    headers.append((b'X-Deadline-Ms', b'%d' % max(1, remaining_ms)))
    headers.append((b'X-Expect-Instance', target_id.encode()))
    if account_name:
        headers.append((b'X-Tenant', account_name.encode()))
    if priority is not None:
        clamped = min(_LOWEST_PRIORITY, max(_HIGHEST_PRIORITY, priority))
        headers.append((b'X-Request-Priority', b'%d' % clamped))
    if last_event_id:
        headers.append((b'Last-Event-Id', last_event_id.encode('latin-1')))
    return headers


def parse_response(response):
    """Return the ResponseMetadata of a target's response."""
    fields = dict(response.headers)
    return metadata.ResponseMetadata(
        request_id=fields.get(b'x-request-id', b'').decode('latin-1'),
        not_run=b'x-not-run' in fields
        or response.status == _MISDIRECTED_STATUS,
        misdirected=response.status == _MISDIRECTED_STATUS,
        has_stamp=b'x-response-stamp' in fields,
        has_content_encoding=fields.get(b'content-encoding', b'identity')
        != b'identity',
        retry_after_ms=_parse_seconds_as_ms(fields.get(b'retry-after', b'')),
        idle_timeout_ms=_parse_idle_timeout_ms(fields.get(b'keep-alive', b'')),
        is_leaving=fields.get(b'server-leaving', b'').strip() == b'1',
        names_rate_limit=_RATE_LIMIT in fields,
        rate_limit_per_s=_parse_decimal(fields.get(_RATE_LIMIT, b'')),
    )


def _parse_decimal(value):
    """Return a decimal number without a sign; None if it is anything else."""
    value = value.strip()
    if not _DECIMAL_NUMBER.fullmatch(value):
        return None
    number = float(value)
    return number if math.isfinite(number) else None


def _parse_seconds_as_ms(value):
    try:
        return int(float(value) * 1000)
    except (ValueError, OverflowError):
        return None


def _parse_idle_timeout_ms(value):
    for part in value.split(b','):
        name, _, number = part.strip().partition(b'=')
        if name.lower() == b'timeout':
            return _parse_seconds_as_ms(number)
    return None


def build_caller_headers(response):
    """Return the headers of a target's response for the caller."""
    return messages.drop_hop_by_hop(response.headers)
