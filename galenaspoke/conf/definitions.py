"""Every setting of every program, with its default and its bounds.

This is the one place where defaults stand.  The reference page is made from
it by `galenaspoke-ctl settings`.
"""

import dataclasses
import re

_REQUIRED = object()
_ADDRESS = re.compile(r'[0-9.]+:\d{1,5}\Z')
_URL = re.compile(r'http://[0-9.]+:\d{1,5}\Z')
_NAME = re.compile(r'[a-z0-9][a-z0-9-]{0,62}\Z')


@dataclasses.dataclass(slots=True, frozen=True)
class Check:
    """What a setting may be: `allowed` says it in words."""

    allowed: str
    accepts: object


def _matching(pattern, allowed):
    return Check(allowed, lambda value: bool(pattern.match(value)))


def _between(low, high, unit):
    allowed = f'a whole number from {low} to {high}, in {unit}'
    return Check(allowed, lambda value: low <= value <= high)


def _one_of(*values):
    allowed = 'one of ' + ', '.join(values)
    return Check(allowed, lambda value: value in values)


_AN_ADDRESS = _matching(_ADDRESS, 'IP:PORT')
_A_URL = _matching(_URL, 'http://IP:PORT')
_A_NAME = _matching(_NAME, 'lower-case letters, digits and hyphens')
_OPTIONAL_ADDRESS = Check(
    'IP:PORT, or empty for none',
    lambda value: not value or bool(_ADDRESS.match(value)),
)
_OPTIONAL_URL = Check(
    'http://IP:PORT, or empty for none',
    lambda value: not value or bool(_URL.match(value)),
)


def _option(check, text, default=_REQUIRED):
    metadata = {'check': check, 'help': text}
    if default is _REQUIRED:
        return dataclasses.field(metadata=metadata)
    return dataclasses.field(default=default, metadata=metadata)


@dataclasses.dataclass(slots=True, kw_only=True)
class StoreSettings:
    """Section [store]: how to reach the platform's object API."""

    url: str = _option(_A_URL, 'the object API')
    timeout_ms: int = _option(
        _between(10, 60_000, 'milliseconds'),
        'how long one call may take',
        1000,
    )
    watch_ms: int = _option(
        _between(100, 60_000, 'milliseconds'),
        'how long one watch waits for a change',
        10_000,
    )
    ledger_pages: int = _option(
        _between(1, 4096, 'pages'),
        'into how many objects the ledger is split; the same everywhere',
        4,
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class MetricsSettings:
    """Section [metrics]: where counters go."""

    statsd: str = _option(_OPTIONAL_ADDRESS, 'the statsd daemon', '')


@dataclasses.dataclass(slots=True, kw_only=True)
class LoggingSettings:
    """Section [logging]: what log lines look like."""

    format: str = _option(
        _one_of('text', 'json'), 'for people, or one object a line', 'text'
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class RouterSettings:
    """Section [router]."""

    name: str = _option(_A_NAME, 'the name of this router')
    domain: str = _option(_A_NAME, 'the failure domain of this instance')
    listen: str = _option(_AN_ADDRESS, 'where callers connect (HTTP)')
    peer_listen: str = _option(_AN_ADDRESS, 'where other routers connect')
    roster: str = _option(
        _OPTIONAL_URL, "the platform's list of instances, a hint only", ''
    )
    heartbeat_ms: int = _option(
        _between(50, 10_000, 'milliseconds'),
        'how often each agent and peer is asked for its status',
        500,
    )
    first_answer_ms: int = _option(
        _between(50, 60_000, 'milliseconds'),
        'how long an agent may take to accept a request',
        1500,
    )
    idle_ms: int = _option(
        _between(50, 600_000, 'milliseconds'),
        'how long a stream may be silent before it is given up',
        10_000,
    )
    default_deadline_ms: int = _option(
        _between(50, 600_000, 'milliseconds'),
        'the deadline of a request that names none',
        30_000,
    )
    most_requests: int = _option(
        _between(1, 100_000, 'requests'),
        'open requests before new ones are refused as overload',
        2000,
    )
    tries: int = _option(
        _between(1, 10, 'attempts'),
        'how often one request is attempted at most',
        4,
    )
    grant_horizon_ms: int = _option(
        _between(100, 3_600_000, 'milliseconds'),
        'how much of the present demand to draw and hold',
        60_000,
    )
    grant_idle_ms: int = _option(
        _between(100, 3_600_000, 'milliseconds'),
        'how long an unused grant is held',
        30_000,
    )
    grant_policy: str = _option(
        _one_of('demand', 'fixed', 'equal', 'request'),
        'how grants are sized; all but demand are baselines',
        'demand',
    )
    grant_fixed: int = _option(
        _between(1, 10**9, 'tokens'),
        'the size of a grant under the policy fixed',
        1000,
    )
    placement: str = _option(
        _one_of('affinity', 'least-loaded', 'round-robin', 'random'),
        'how a target is chosen; all but affinity are baselines',
        'affinity',
    )
    reclaim_after_ms: int = _option(
        _between(200, 3_600_000, 'milliseconds'),
        "how long a peer is silent before its grants are reclaimed",
        5_000,
    )
    record_ttl_ms: int = _option(
        _between(1000, 86_400_000, 'milliseconds'),
        'how long it is remembered what was sent where; as at the agents',
        600_000,
    )
    agent_lost_ms: int = _option(
        _between(200, 3_600_000, 'milliseconds'),
        'how long all routers must find an agent silent to declare it lost',
        10_000,
    )
    stop_ms: int = _option(
        _between(100, 3_600_000, 'milliseconds'),
        'how long a graceful stop waits for open requests',
        60_000,
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class AgentSettings:
    """Section [agent]."""

    name: str = _option(_A_NAME, "the target's name, as published")
    domain: str = _option(_A_NAME, 'the failure domain of this instance')
    service: str = _option(_A_NAME, 'the service of the target')
    kind: str = _option(
        _one_of('model', 'application'), 'what the target is', 'model'
    )
    listen: str = _option(_AN_ADDRESS, 'where routers connect')
    advertise: str = _option(
        _OPTIONAL_ADDRESS,
        'the address to publish, if routers reach this agent by another',
        '',
    )
    target: str = _option(_A_URL, 'the target on this instance')
    state_listen: str = _option(
        _OPTIONAL_ADDRESS, 'where the state dump is served (HTTP)', ''
    )
    record_ttl_ms: int = _option(
        _between(1000, 86_400_000, 'milliseconds'),
        'how long records are kept after the last question about them',
        600_000,
    )
    probe_ms: int = _option(
        _between(50, 60_000, 'milliseconds'),
        'how often the target is asked for its load',
        250,
    )
    leave_ms: int = _option(
        _between(0, 60_000, 'milliseconds'),
        'how long a leaving agent goes on telling routers so',
        1500,
    )
    stop_ms: int = _option(
        _between(100, 3_600_000, 'milliseconds'),
        'how long a graceful stop waits for runs to end',
        60_000,
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class ControlSettings:
    """Section [ctl]."""

    operator: str = _option(_A_NAME, 'who publishes', 'operator')
    routers: str = _option(
        Check('IP:PORT addresses separated by commas', lambda value: True),
        'the HTTP addresses of routers, for status and dumps',
        '',
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class RouterConfig:
    """The settings of galenaspoke-router."""

    router: RouterSettings
    store: StoreSettings
    metrics: MetricsSettings
    logging: LoggingSettings


@dataclasses.dataclass(slots=True, kw_only=True)
class AgentConfig:
    """The settings of galenaspoke-agent."""

    agent: AgentSettings
    store: StoreSettings
    metrics: MetricsSettings
    logging: LoggingSettings


@dataclasses.dataclass(slots=True, kw_only=True)
class ControlConfig:
    """The settings of galenaspoke-ctl."""

    ctl: ControlSettings
    store: StoreSettings


PROGRAMS = {
    'galenaspoke-router': RouterConfig,
    'galenaspoke-agent': AgentConfig,
    'galenaspoke-ctl': ControlConfig,
}
