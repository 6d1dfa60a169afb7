"""The configuration of the edge router.

`platform.configuration` decodes it.  `core.schema` is the configuration of the
router with agents.  The two have no types in common.

A `Catalog` is one generation of the configuration: routes, services, client
accounts and limits.  It is not modified after it has been built.

Example::

    catalog.match('desk.example', '/chat/2f').choose_service(0.3)
    catalog.find_account('the-key').name
"""

import dataclasses
import enum


class RequestKind(enum.Enum):
    """Whether a request of a route may be sent again.

    An `IDEMPOTENT` request may run more than once, a `ONCE` request may not.
    A `STREAM` may run more than once only if its route is resumable.
    """

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    STREAM = 'stream'


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """How requests with one host and path prefix are routed.

    `splits` lists pairs of a service's name and its share of the requests.
    The shares add up to 1.  `max_attempts` is the maximum number of targets
    to which one request is sent.  The timeout for a target's response is
    derived from `latency_target_ms`, the desired latency.  Requests of a
    `public` route need no API key.  A stream of a `resumable` route can be
    continued by another attempt after the last event delivered.
    `gap_target_ms` is the desired time between events.
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
        """Return the name of the service at `point`, a number from 0 to 1.

        Each service covers an interval as wide as its share.
        """
        return choose_service(self.splits, point)

    def is_repeatable(self):
        """Return True if a request may run more than once."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


# More than any request may generate: one event may hold all of its output.
UNKNOWN_EVENT_TOKENS = 2**53


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """A service, that is a group of equivalent targets.

    `slots` is the number of requests that each target processes at a time, 0
    if not stated.  `memory_tokens` is the capacity of a target's KV cache, 0
    if the targets are not model engines.  `event_tokens` is the maximum
    number of output tokens in one event, UNKNOWN_EVENT_TOKENS if not stated.
    A target is cold for `cold_start_ms` after its start; while cold it takes
    `cold_rate_per_s` requests a second from all routers together, 0 if that
    isn't limited.
    """

    name: str
    health_path: str
    max_conns: int
    slots: int = 0
    memory_tokens: int = 0
    event_tokens: int = 1
    cold_start_ms: int = 0
    cold_rate_per_s: float = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Account:
    """A client account.

    `prepaid` is its prepaid limit in tokens, or None if it has no limit.
    """

    name: str
    priority: int | None = None
    prepaid: int | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """Limits on what a caller may send, and how long it may take.

    `idle_timeout_ms` bounds the wait for a request to begin.
    `header_timeout_ms` bounds the time to receive the headers and each pause
    within the body.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


def choose_service(splits, point):
    """Return the name of the service at `point`, see Route."""
    for service, share in splits:
        point -= share
        if point < 0:
            return service
    return splits[-1][0]


def list_prefixes(path):
    """Yield the prefixes of a path up to a slash, the longest first."""
    end = path.rfind('/')
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind('/', 0, end)


class Catalog:
    """One generation of the configuration."""

    __slots__ = (
        'generation',
        'services',
        'accounts',
        'limits',
        'requires_key',
        'resumable_services',
        '_routes',
        '_accounts_by_api_key',
    )

    def __init__(self, generation, routes, services, accounts, keys, limits):
        self.generation = generation
        self.services = {service.name: service for service in services}
        self.accounts = {account.name: account for account in accounts}
        self.limits = limits
        # Requests need an API key as soon as there is a client account.
        self.requires_key = bool(accounts)
        self._accounts_by_api_key = keys
        # The services whose streams a caller may resume.
        self.resumable_services = {
            service
            for route in routes
            if route.resumable
            for service, _ in route.splits
        }
        self._routes = {}
        for route in routes:
            by_prefix = self._routes.setdefault(route.host, {})
            by_prefix[route.prefix] = route

    def match(self, host, path):
        """Return the route with the longest matching prefix, or None."""
        by_prefix = self._routes.get(host)
        if by_prefix is None:
            return None
        for prefix in list_prefixes(path):
            route = by_prefix.get(prefix)
            if route is not None:
                return route
        return None

    def get_splits(self, host, prefix):
        """Return the splits of the route with just this prefix, or None."""
        route = self._routes.get(host, {}).get(prefix)
        return None if route is None else route.splits

    def list_moved(self, newer):
        """Return where routes led that lead elsewhere in a newer Catalog.

        That is their splits by host and prefix, None for a route that only
        the newer one has.  It holds no other part of either Catalog.
        """
        moved = {}
        known = {}
        for host, prefix, splits in self._list_splits():
            if newer.get_splits(host, prefix) != splits:
                moved[host, prefix] = known.setdefault(splits, splits)
        for host, prefix, _ in newer._list_splits():
            if self.get_splits(host, prefix) is None:
                moved[host, prefix] = None
        return moved

    def _list_splits(self):
        for host, by_prefix in self._routes.items():
            for prefix, route in by_prefix.items():
                yield host, prefix, route.splits

    def find_account(self, api_key):
        """Return the account to which an API key belongs, or None."""
        name = self._accounts_by_api_key.get(api_key)
        return self.accounts[name] if name is not None else None


EMPTY = Catalog(0, (), (), (), {}, Limits())
