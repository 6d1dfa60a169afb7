"""What operators published, in the form in which routers use it.

A `Catalog` is one generation of the configuration: routes, services, client
accounts and limits.  It is built once and only read afterwards.

Example::

    catalog.match('desk.example', '/chat/2f').service_for(0.3)
    catalog.account_of('the-key').name
"""

import dataclasses
import enum


class RequestKind(enum.Enum):
    """What may be repeated of a request."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    STREAM = 'stream'


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Where requests of one host and path prefix go, and how.

    `splits` holds pairs of a service's name and its share, which add up to 1.
    `max_attempts` is to how many targets one request may be sent.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    splits: tuple
    timeout_ms: int
    latency_target_ms: int
    max_attempts: int
    priority: int
    public: bool
    resumable: bool
    gap_target_ms: int

    def choose_service(self, point):
        """Return the service at `point`, a number from 0 to 1."""
        for service, share in self.splits:
            point -= share
            if point < 0:
                return service
        return self.splits[-1][0]

    def is_repeatable(self):
        """Tell whether a request may run more than once."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """Targets of one kind.

    `slots` is 0 where the service doesn't say how many requests its targets
    process at once; `memory_tokens` is 0 where its targets aren't model
    engines.  `event_tokens` is the most output tokens in one event.
    """

    name: str
    health_path: str
    max_conns: int
    slots: int = 0
    memory_tokens: int = 0
    event_tokens: int = 1


@dataclasses.dataclass(slots=True, frozen=True)
class Account:
    """A client account; `prepaid` is its limit in tokens, None for none."""

    name: str
    priority: int | None = None
    prepaid: int | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class Catalog:
    """One generation of the configuration."""

    __slots__ = (
        'generation',
        'services',
        'accounts',
        'limits',
        'requires_key',
        '_routes',
        '_keys',
    )

    def __init__(self, generation, routes, services, accounts, keys, limits):
        self.generation = generation
        self.services = {service.name: service for service in services}
        self.accounts = {account.name: account for account in accounts}
        self.limits = limits
        # Whether requests must carry a key at all.
        self.requires_key = bool(accounts)
        self._keys = keys
        self._routes = {}
        for route in routes:
            by_prefix = self._routes.setdefault(route.host, {})
            by_prefix[route.prefix] = route

    def match(self, host, path):
        """Return the route with the longest prefix of `path`, or None."""
        by_prefix = self._routes.get(host)
        if by_prefix is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None

    def find_account(self, key):
        """Return the account that holds `key`, or None."""
        name = self._keys.get(key)
        return self.accounts[name] if name is not None else None


EMPTY = Catalog(0, (), (), (), {}, Limits())
