"""Translates what operators publish into a `catalog.Catalog`."""

import msgspec

from galenaspoke.core import catalog

KIND = 'config'
NAME = 'main'

_KINDS = {
    'idempotent': catalog.RequestKind.IDEMPOTENT,
    'non_idempotent': catalog.RequestKind.ONCE,
    'stream': catalog.RequestKind.STREAM,
}


def decode(value):
    """Return the Catalog that an object's value describes.

    Raises ValueError where it describes none.
    """
    try:
        return _catalog(msgspec.json.decode(value))
    except (msgspec.DecodeError, KeyError, TypeError, AttributeError) as exc:
        raise ValueError(f'not a configuration: {exc!r}') from exc


def _catalog(spec):
    accounts, keys = _accounts(spec.get('Tenants') or ())
    return catalog.Catalog(
        generation=spec['Version'],
        routes=[_route(entry) for entry in spec.get('Routes') or ()],
        services=[_service(entry) for entry in spec.get('Services') or ()],
        accounts=accounts,
        keys=keys,
        limits=_limits(spec.get('Limits') or {}),
    )


def _route(entry):
    return catalog.Route(
        name=entry.get('Name', ''),
        host=entry['Host'].lower(),
        prefix=entry['PathPrefix'],
        # A kind that isn't known is treated as the strictest.
        kind=_KINDS.get(entry.get('Kind'), catalog.RequestKind.ONCE),
        splits=_splits(entry),
        timeout_ms=entry.get('TimeoutMs') or 60_000,
        latency_target_ms=entry.get('LatencyTargetMs') or 1_000,
        max_attempts=max(1, entry.get('MaxAttempts') or 1),
        priority=entry.get('Priority') or 0,
        public=bool(entry.get('Public')),
        resumable=bool(entry.get('Resumable')),
        gap_target_ms=entry.get('GapTargetMs') or 0,
    )


def _splits(entry):
    if not entry.get('Split'):
        return ((entry['Service'], 1.0),)
    weights = [(part['Service'], part['Weight']) for part in entry['Split']]
    total = sum(weight for _, weight in weights) or 1
    return tuple((name, weight / total) for name, weight in weights)


def _service(entry):
    # `Engine` is there only for services whose targets are model engines.
    engine = entry.get('Engine') or {}
    return catalog.Service(
        name=entry['Name'],
        health_path=entry.get('HealthPath') or '/health',
        max_conns=entry.get('MaxConns') or 0,
        slots=engine.get('Slots') or 0,
        memory_tokens=engine.get('KvCapacity') or 0,
        event_tokens=engine.get('Stride') or 1,
    )


def _accounts(entries):
    accounts = []
    keys = {}
    for entry in entries:
        account = catalog.Account(
            entry['Name'], entry.get('Priority'), entry.get('Prepaid')
        )
        accounts.append(account)
        for key in entry.get('ApiKeys') or ():
            keys[key] = account.name
    return accounts, keys


def _limits(entry):
    defaults = catalog.Limits()
    return catalog.Limits(
        entry.get('MaxHeaderBytes') or defaults.header_bytes,
        entry.get('MaxBodyBytes') or defaults.body_bytes,
        entry.get('HeaderTimeoutMs') or defaults.header_timeout_ms,
        entry.get('IdleTimeoutMs') or defaults.idle_timeout_ms,
    )
