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
# A key that no configuration has.
UNKNOWN_KEY = 'nobodys-key'
MEMORY_TOKENS = 100_000
DEFAULT_TIMEOUT_MS = 8_000
# Within that time a new configuration holds everywhere.
CONFIG_APPLY_MS = 2_000
# For so long after a disruption what it touched is not judged.
STABLE_WINDOW_MS = 3_000
_BOUNDS = {
    'StableWindowMs': STABLE_WINDOW_MS,
    'DrainMs': 2000,
    'GraceS': GRACE_S,
    'ConfigApplyMs': CONFIG_APPLY_MS,
    'RetryRatio': 0.2,
    'RetryWindowS': 10,
    'RetrySlack': 58,
    'RecoverS': 12,
}


class Route:
    """A route of the configuration, and how long it lets callers wait.

    `target_ms` is for the first event or the whole body, and `gap_ms` the
    longest pause between events.  Requests for a public one carry no key.
    """

    __slots__ = (
        'prefix',
        'kind',
        'service',
        'is_resumable',
        'attempts',
        'timeout_ms',
        'target_ms',
        'gap_ms',
        'is_public',
    )

    def __init__(
        self,
        prefix,
        kind,
        service,
        is_resumable,
        attempts,
        timeout_ms=DEFAULT_TIMEOUT_MS,
        target_ms=400,
        gap_ms=400,
        is_public=True,
    ):
        self.prefix = prefix
        self.kind = kind
        self.service = service
        self.is_resumable = is_resumable
        self.attempts = attempts
        self.timeout_ms = timeout_ms
        self.target_ms = target_ms
        self.gap_ms = gap_ms
        self.is_public = is_public


class Tenant:
    """A tenant with its keys and what it may consume.

    `prepaid` is None for any number of tokens.
    """

    __slots__ = ('name', 'keys', 'prepaid')

    def __init__(self, name, keys, prepaid=None):
        self.name = name
        self.keys = list(keys)
        self.prepaid = prepaid

    def to_document(self):
        """Return it as a configuration has it."""
        document = {'Name': self.name, 'ApiKeys': list(self.keys)}
        if self.prepaid is not None:
            document['Prepaid'] = self.prepaid
        return document


class Engines:
    """What a configuration says of the model engines."""

    __slots__ = ('slots', 'memory_tokens', 'stride')

    def __init__(self, slots, memory_tokens=MEMORY_TOKENS, stride=1):
        self.slots = slots
        self.memory_tokens = memory_tokens
        self.stride = stride

    def to_document(self):
        """Return it as a service of a configuration has it."""
        return {
            'Slots': self.slots,
            'KvCapacity': self.memory_tokens,
            'Stride': self.stride,
        }


def list_routes():
    """Return the Routes of ROUTES."""
    return [Route(prefix, *fields) for prefix, fields in ROUTES.items()]


def make_settings(
    name,
    ip,
    zone,
    store,
    retry_slack=None,
    is_router=True,
    memory_mb=MEMORY_MB,
):
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
        'Limits': {'MemoryMb': memory_mb},
        'Platform': {
            'Addr': store,
            'form': 'objects',
            'WritesPerS': 400,
            'ReadsPerS': 2000,
            'HistoryS': platform_store.HISTORY_MS // 1000,
            'ValueBytes': 1_048_576,
        },
    }


def make_config(version, slots, timeout_ms=DEFAULT_TIMEOUT_MS, extra_routes=0):
    """Return a configuration.  Extra routes lead to the application."""
    routes = list_routes()
    for route in routes:
        route.timeout_ms = timeout_ms
    routes += make_other_routes(timeout_ms, extra_routes)
    return make_full_config(version, routes, Engines(slots))


def make_other_routes(timeout_ms, extra_routes):
    """Return the routes of engines that flood, and some that nobody uses."""
    faulty = [
        Route(prefix, *fields, timeout_ms, is_public=prefix != FAULTY_KEYED)
        for prefix, fields in FAULTY_ROUTES.items()
    ]
    extra = ('idempotent', APPLICATION_SERVICE, False, 1, timeout_ms)
    return faulty + [
        Route(f'/extra{number}/', *extra) for number in range(extra_routes)
    ]


def make_full_config(version, routes, engines, tenants=()):
    """Return a configuration with these Routes, Engines and Tenants."""
    model = engines.to_document()
    faulty_model = {**model, 'Slots': FAULTY_SLOTS}
    return {
        'Version': version,
        'Routes': [_make_route(route) for route in routes],
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
        'Tenants': [
            tenant.to_document()
            for tenant in [Tenant('keyed', [KEY]), *tenants]
        ],
        'Limits': {
            'MaxHeaderBytes': 16_384,
            'MaxBodyBytes': 4_194_304,
            'HeaderTimeoutMs': 3_000,
            'IdleTimeoutMs': 15_000,
        },
    }


def make_request_headers(request_id, left_ms, key=None):
    """Return the headers of all requests, with a tenant's key if there is."""
    headers = [
        ('Host', HOST),
        ('X-Request-Id', request_id),
        ('X-Deadline-Ms', str(left_ms)),
    ]
    return headers if key is None else [*headers, ('Api-Key', key)]


def make_model_headers(key, output_tokens, input_tokens=INPUT_TOKENS):
    """Return the headers that say what a model engine is to do."""
    part = f'{zlib.crc32(key.encode()):08x}'
    return [
        ('X-Model', 'm'),
        ('X-Token-Usage', f'{input_tokens},{output_tokens}'),
        ('X-Prompt-Prefix', f'{part}:{input_tokens}'),
    ]


def make_resuming_headers(last_id, began_id):
    """Return the headers of a request that resumes a stream.

    `last_id` is the id of the last event that its caller has, `began_id` that
    of the request that began it, or empty.
    """
    headers = [('Last-Event-Id', str(last_id))]
    return [*headers, ('Resumes', began_id)] if began_id else headers


def _make_route(route):
    return {
        'Name': f'r{route.prefix.replace("/", "-")}',
        'Host': HOST,
        'PathPrefix': route.prefix,
        'Kind': route.kind,
        'TimeoutMs': route.timeout_ms,
        'LatencyTargetMs': route.target_ms,
        'Priority': 1,
        'Service': route.service,
        'MaxAttempts': route.attempts,
        'Public': route.is_public,
        'Sticky': route.kind == 'stream',
        'Resumable': route.is_resumable,
        'GapTargetMs': route.gap_ms,
    }


def _make_service(name, **fields):
    return {
        'Name': name,
        'HealthPath': '/health',
        'MaxConns': 64,
        **fields,
    }
