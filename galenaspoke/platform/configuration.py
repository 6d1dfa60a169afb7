"""Decodes the configuration that operators publish into a `Catalog`.

A configuration in which any value has a wrong type or is out of range is
refused as a whole: the one before stays in force.
"""

import math

from galenaspoke.core import catalog
from galenaspoke.utils import decoding

KIND = 'config'
NAME = 'main'

_ROUTE_KINDS = {
    'idempotent': catalog.RequestKind.IDEMPOTENT,
    'non_idempotent': catalog.RequestKind.ONCE,
    'stream': catalog.RequestKind.STREAM,
}
# The longest time in ms, and the largest rate and number of attempts.
_MAX_NUMBER = decoding.MAX_INT32


def decode(value):
    """Return the Catalog for the value of a configuration object.

    Raises ValueError if the value is not a valid configuration.
    """
    try:
        return _decode_catalog(decoding.decode_shallow_json(value))
    except (KeyError, TypeError, AttributeError, OverflowError) as exc:
        raise ValueError(f'invalid configuration: {exc!r}') from exc


def _decode_catalog(spec):
    accounts, account_names_by_key = _decode_accounts(
        _get_list(spec, 'Tenants')
    )
    return catalog.Catalog(
        generation=_check(
            'Version', spec['Version'], decoding.is_whole_number
        ),
        routes=[_decode_route(entry) for entry in _get_list(spec, 'Routes')],
        services=[
            _decode_service(entry) for entry in _get_list(spec, 'Services')
        ],
        accounts=accounts,
        keys=account_names_by_key,
        limits=_decode_limits(spec.get('Limits') or {}),
    )


def _is_text(value):
    return isinstance(value, str)


def _is_list(value):
    return isinstance(value, list)


def _is_number(value):
    return decoding.is_number(value, _MAX_NUMBER)


def _check(field, value, is_valid):
    """Return a field's value; raise TypeError if it isn't valid."""
    if not is_valid(value):
        raise TypeError(f'{field}: {str(value)[:40]!r}')
    return value


def _get_list(entry, field):
    """Return a list, which may be missing."""
    value = entry.get(field) or []
    return _check(field, value, _is_list)


def _get_text(entry, field, default=''):
    """Return a text, `default` if it is missing or empty."""
    value = entry.get(field) or default
    return _check(field, value, _is_text)


def _get_number(entry, field, default=0):
    """Return a number, `default` if it is missing or 0."""
    value = entry.get(field) or default
    return _check(field, value, _is_number)


def _get_whole_number(entry, field, default=0):
    """Return a whole number of 64 bits, `default` if it is missing or 0."""
    value = entry.get(field) or default
    return _check(field, value, decoding.is_whole_number)


def _get_optional_whole_number(entry, field):
    """Return a whole number of 64 bits, None if it is missing."""
    if entry.get(field) is None:
        return None
    return _check(field, entry[field], decoding.is_whole_number)


def _decode_route(entry):
    return catalog.Route(
        name=_get_text(entry, 'Name'),
        host=_check('Host', entry['Host'], _is_text).lower(),
        prefix=_check('PathPrefix', entry['PathPrefix'], _is_text),
        # An unknown kind is treated like the most restrictive one.
        kind=_ROUTE_KINDS.get(entry.get('Kind'), catalog.RequestKind.ONCE),
        splits=_decode_splits(entry),
        timeout_ms=_get_number(entry, 'TimeoutMs', 60_000),
        latency_target_ms=_get_number(entry, 'LatencyTargetMs', 1_000),
        max_attempts=max(1, _get_number(entry, 'MaxAttempts', 1)),
        priority=_get_number(entry, 'Priority'),
        public=bool(entry.get('Public')),
        resumable=bool(entry.get('Resumable')),
        gap_target_ms=_get_number(entry, 'GapTargetMs'),
    )


def _decode_splits(entry):
    if not entry.get('Split'):
        return ((_check('Service', entry['Service'], _is_text), 1.0),)
    weights = [
        (
            _check('Service', part['Service'], _is_text),
            _check('Weight', part['Weight'], _is_number),
        )
        for part in _get_list(entry, 'Split')
    ]
    total = sum(weight for _, weight in weights) or 1
    return tuple((name, weight / total) for name, weight in weights)


def _decode_service(entry):
    # `Engine` is present only if the service's targets are model engines.
    engine = entry.get('Engine') or {}
    return catalog.Service(
        name=_check('Name', entry['Name'], _is_text),
        health_path=_get_text(entry, 'HealthPath', '/health'),
        max_conns=_get_number(entry, 'MaxConns'),
        slots=_get_number(engine, 'Slots'),
        memory_tokens=_get_number(engine, 'KvCapacity'),
        event_tokens=_decode_event_tokens(engine),
        cold_start_ms=int(1000 * _get_number(entry, 'ColdStartS')),
        cold_rate_per_s=_get_number(entry, 'ColdPerS'),
    )


def _decode_event_tokens(engine):
    """Return how many tokens an event may hold; 1 if it is no model engine.

    An engine that doesn't state it may put all output into one event.
    """
    if not engine:
        return 1
    tokens = math.ceil(_get_number(engine, 'Stride'))
    return tokens if tokens > 0 else catalog.UNKNOWN_EVENT_TOKENS


def _decode_accounts(entries):
    accounts = []
    account_names_by_key = {}
    for entry in entries:
        account = catalog.Account(
            _check('Name', entry['Name'], _is_text),
            _get_optional_whole_number(entry, 'Priority'),
            _get_optional_whole_number(entry, 'Prepaid'),
        )
        accounts.append(account)
        for key in _get_list(entry, 'ApiKeys'):
            account_names_by_key[_check('ApiKeys', key, _is_text)] = (
                account.name
            )
    return accounts, account_names_by_key


def _decode_limits(entry):
    defaults = catalog.Limits()
    return catalog.Limits(
        _get_whole_number(entry, 'MaxHeaderBytes', defaults.header_bytes),
        _get_whole_number(entry, 'MaxBodyBytes', defaults.body_bytes),
        _get_number(entry, 'HeaderTimeoutMs', defaults.header_timeout_ms),
        _get_number(entry, 'IdleTimeoutMs', defaults.idle_timeout_ms),
    )
