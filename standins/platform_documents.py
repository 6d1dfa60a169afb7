"""What the users' platform says to the edge fleet.

Settings of processes, configurations, and the headers of requests.
"""

import zlib

from standins import platform_store

HOST = 'soak.example'
MODEL_SERVICE = 'model-chat'
APPLICATION_SERVICE = 'desk'
ZONES = ('zone-a', 'zone-b')
GRACE_S = 8
INPUT_TOKENS = 100
# What a router's or relay's process may take at most.
MEMORY_MB = 160
FRONT_PORT = 8227
READY_PORT = 8220
CONTROL_PORT = 8229
METRICS_PORT = 7999
PEER_PORT = 7340
CONFIG_KIND = 'config'
CONFIG_NAME = 'main'
# Headers of responses.
REQUEST_ID = 'x-request-id'
STAMP = 'x-response-stamp'
# The routes by their prefix: the kind, the service, whether streams may be
# resumed, and how many engines one request may be sent to.
ROUTES = {
    '/stream/talk/': ('stream', MODEL_SERVICE, True, 3),
    '/stream/tell/': ('stream', MODEL_SERVICE, False, 2),
    '/plain/ask/': ('idempotent', APPLICATION_SERVICE, False, 3),
    '/plain/book/': ('non_idempotent', APPLICATION_SERVICE, False, 2),
}
# The services of engines that flood, and their routes.
FAULTY_MODEL_SERVICE = 'model-faulty'
FAULTY_SERVICE = 'faulty'
FAULTY_SERVICES = (FAULTY_MODEL_SERVICE, FAULTY_SERVICE)
FAULTY_STREAM = '/stream/faulty/'
FAULTY_PLAIN = '/faulty/'
# A route that takes a key.
FAULTY_KEYED = '/keyed/'
FAULTY_ROUTES = {
    FAULTY_STREAM: ('stream', FAULTY_MODEL_SERVICE, True, 3),
    FAULTY_PLAIN: ('idempotent', FAULTY_SERVICE, False, 3),
    FAULTY_KEYED: ('idempotent', FAULTY_SERVICE, False, 3),
}
# So many that all callers of a flood reach one engine.
FAULTY_SLOTS = 128
FAULTY_CONNECTIONS = 370
KEY = 'a-known-key'
_BOUNDS = {
    'StableWindowMs': 3000,
    'DrainMs': 2000,
    'GraceS': GRACE_S,
    'ConfigApplyMs': 2000,
    'RetryRatio': 0.2,
    'RetryWindowS': 10,
    'RetrySlack': 58,
    'RecoverS': 12,
}


def make_settings(name, ip, zone, store, retry_slack=None, is_router=True):
    """Return the settings of a router or relay."""
    listen = {
        'Front': f'{ip}:{FRONT_PORT}',
        'Ready': f'{ip}:{READY_PORT}',
        'Control': f'{ip}:{CONTROL_PORT}',
    }
    bounds = dict(_BOUNDS)
    if retry_slack is not None:
        bounds['RetrySlack'] = retry_slack
    return {
        'Node': name,
        'Role': 'edge' if is_router else 'relay',
        'MachineClass': 'front' if is_router else 'side',
        'Serves': ['front'] if is_router else [],
        'BindIp': ip,
        'Zone': zone,
        'Region': 'region',
        'Zones': dict.fromkeys(ZONES, 'region'),
        'Listen': listen if is_router else {},
        'PortRange': [PEER_PORT, PEER_PORT],
        'SeedAddrs': [],
        'FirstStart': True,
        'Discovery': 'platform',
        'Entry': 'vip',
        'HeartbeatMs': platform_store.HEARTBEAT_MS,
        'Bounds': bounds,
        'Limits': {'MemoryMb': MEMORY_MB},
        'Platform': {
            'Addr': store,
            'form': 'objects',
            'WritesPerS': 400,
            'ReadsPerS': 2000,
            'HistoryS': platform_store.HISTORY_MS // 1000,
            'ValueBytes': 1_048_576,
        },
    }


def make_config(version, slots, timeout_ms=8_000, extra_routes=0):
    """Return a configuration.  Extra routes lead to the application."""
    routes = [
        _make_route(prefix, *fields, timeout_ms)
        for prefix, fields in {**ROUTES, **FAULTY_ROUTES}.items()
    ]
    for number in range(extra_routes):
        extra = ('idempotent', APPLICATION_SERVICE, False, 1)
        routes.append(_make_route(f'/extra{number}/', *extra, timeout_ms))
    model = {'Slots': slots, 'KvCapacity': 100_000, 'Stride': 1}
    faulty_model = {**model, 'Slots': FAULTY_SLOTS}
    return {
        'Version': version,
        'Routes': routes,
        'Services': [
            _make_service(MODEL_SERVICE, Engine=model),
            _make_service(APPLICATION_SERVICE),
            _make_service(
                FAULTY_MODEL_SERVICE,
                Engine=faulty_model,
                MaxConns=FAULTY_CONNECTIONS,
            ),
            _make_service(FAULTY_SERVICE, MaxConns=FAULTY_CONNECTIONS),
        ],
        'Tenants': [{'Name': 'keyed', 'ApiKeys': [KEY]}],
        'Limits': {
            'MaxHeaderBytes': 16_384,
            'MaxBodyBytes': 4_194_304,
            'HeaderTimeoutMs': 3_000,
            'IdleTimeoutMs': 15_000,
        },
    }


def make_request_headers(request_id, left_ms):
    """Return the headers of all requests."""
    return [
        ('Host', HOST),
        ('X-Request-Id', request_id),
        ('X-Deadline-Ms', str(left_ms)),
    ]


def make_model_headers(key, output_tokens):
    """Return the headers that say what a model engine is to do."""
    part = f'{zlib.crc32(key.encode()):08x}'
    return [
        ('X-Model', 'm'),
        ('X-Token-Usage', f'{INPUT_TOKENS},{output_tokens}'),
        ('X-Prompt-Prefix', f'{part}:{INPUT_TOKENS}'),
    ]


def make_resuming_headers(last_number, began_id):
    """Return the headers of a request that resumes a stream.

    `began_id` is the id of the request that began it, or empty.
    """
    headers = [('Last-Event-Id', str(last_number))]
    return [*headers, ('Resumes', began_id)] if began_id else headers


def _make_route(prefix, kind, service, is_resumable, attempts, timeout_ms):
    return {
        'Name': f'r{prefix.replace("/", "-")}',
        'Host': HOST,
        'PathPrefix': prefix,
        'Kind': kind,
        'TimeoutMs': timeout_ms,
        'LatencyTargetMs': 400,
        'Priority': 1,
        'Service': service,
        'MaxAttempts': attempts,
        'Public': prefix != FAULTY_KEYED,
        'Sticky': kind == 'stream',
        'Resumable': is_resumable,
        'GapTargetMs': 400,
    }


def _make_service(name, **fields):
    return {
        'Name': name,
        'HealthPath': '/health',
        'MaxConns': 64,
        **fields,
    }
