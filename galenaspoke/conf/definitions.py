"""All settings of the router, the agent and galenaspoke-ctl.

Their defaults and constraints are defined only here.  `galenaspoke-ctl
settings` generates the reference page from this module.
"""

import dataclasses
import re

_REQUIRED = object()
_ADDRESS_PATTERN = re.compile(r'[0-9.]+:\d{1,5}\Z')
_URL_PATTERN = re.compile(r'http://[0-9.]+:\d{1,5}\Z')
_NAME_PATTERN = re.compile(r'[a-z0-9][a-z0-9-]{0,62}\Z')


@dataclasses.dataclass(slots=True, frozen=True)
class Check:
    """A constraint on a setting's value.

    `accepts` returns whether a value is valid; `allowed` describes the valid
    values in words.
    """

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


_ADDRESS_CHECK = _matching(_ADDRESS_PATTERN, 'IP:PORT')
_URL_CHECK = _matching(_URL_PATTERN, 'http://IP:PORT')
_NAME_CHECK = _matching(
    _NAME_PATTERN, 'lower-case letters, digits and hyphens'
)
_OPTIONAL_ADDRESS_CHECK = Check(
    'IP:PORT, or empty for none',
    lambda value: not value or bool(_ADDRESS_PATTERN.match(value)),
)
_OPTIONAL_URL_CHECK = Check(
    'http://IP:PORT, or empty for none',
    lambda value: not value or bool(_URL_PATTERN.match(value)),
)


_MEMORY_CHECK = _between(0, 1_000_000, 'megabytes; 0 if it is not known')
_MEMORY_HELP = (
    'the memory of this process; what peers may make it hold is a quarter of'
    ' it, 33 MB if it is not known'
)


def _option(check, help_text, default=_REQUIRED):
    metadata = {'check': check, 'help': help_text}
    if default is _REQUIRED:
        return dataclasses.field(metadata=metadata)
    return dataclasses.field(default=default, metadata=metadata)


@dataclasses.dataclass(slots=True, kw_only=True)
class StoreSettings:
    """Section [store]: access to the platform's object API."""

    url: str = _option(_URL_CHECK, 'the URL of the object API')
    timeout_ms: int = _option(
        _between(10, 60_000, 'milliseconds'),
        'the timeout of one call',
        1000,
    )
    watch_ms: int = _option(
        _between(100, 60_000, 'milliseconds'),
        'how long one watch waits for a change',
        10_000,
    )
    ledger_pages: int = _option(
        _between(1, 4096, 'pages'),
        'the number of objects the ledger is split into; must be the same for'
        ' all programs',
        4,
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class MetricsSettings:
    """Section [metrics]: export of metrics."""

    statsd: str = _option(
        _OPTIONAL_ADDRESS_CHECK, 'the address of the statsd daemon', ''
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class LoggingSettings:
    """Section [logging]: the format of log lines."""

    format: str = _option(
        _one_of('text', 'json'),
        'plain text, or one JSON object per line',
        'text',
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class RouterSettings:
    """Section [router]: one router process."""

    name: str = _option(_NAME_CHECK, 'the name of this router')
    domain: str = _option(_NAME_CHECK, 'the failure domain of this instance')
    listen: str = _option(
        _ADDRESS_CHECK, 'the address that callers connect to (HTTP)'
    )
    peer_listen: str = _option(
        _ADDRESS_CHECK, 'the address that other routers connect to'
    )
    roster: str = _option(
        _OPTIONAL_URL_CHECK,
        "the URL of the platform's list of instances, used as a hint only",
        '',
    )
    heartbeat_ms: int = _option(
        _between(50, 10_000, 'milliseconds'),
        'the interval between status requests to each agent and other router',
        500,
    )
    first_answer_ms: int = _option(
        _between(50, 60_000, 'milliseconds'),
        'how long an agent may take to accept a request',
        1500,
    )
    idle_ms: int = _option(
        _between(50, 600_000, 'milliseconds'),
        'how long a stream may be silent before it is abandoned',
        10_000,
    )
    default_deadline_ms: int = _option(
        _between(50, 600_000, 'milliseconds'),
        'the deadline of a request that does not set one',
        30_000,
    )
    most_requests: int = _option(
        _between(1, 100_000, 'requests'),
        'the maximum number of open requests; further ones are refused as'
        ' overload',
        2000,
    )
    tries: int = _option(
        _between(1, 10, 'attempts'),
        'the maximum number of attempts of one request, not counting those'
        ' that the home refused with the reason leaving, sealed, moved or'
        ' replaced',
        4,
    )
    grant_horizon_ms: int = _option(
        _between(100, 3_600_000, 'milliseconds'),
        'the span of current demand that grants are sized to cover',
        60_000,
    )
    grant_idle_ms: int = _option(
        _between(100, 3_600_000, 'milliseconds'),
        'how long an unused grant is held before it is returned',
        30_000,
    )
    grant_policy: str = _option(
        _one_of('demand', 'fixed', 'equal', 'request'),
        'how grants are sized; all but demand are baselines for comparison',
        'demand',
    )
    grant_fixed: int = _option(
        _between(1, 10**9, 'tokens'),
        'the size of a grant under the grant policy fixed',
        1000,
    )
    placement: str = _option(
        _one_of('affinity', 'least-loaded', 'round-robin', 'random'),
        'how a target is chosen; all but affinity are baselines for'
        ' comparison',
        'affinity',
    )
    reclaim_after_ms: int = _option(
        _between(200, 3_600_000, 'milliseconds'),
        "how long a router is silent before its grants are reclaimed",
        5_000,
    )
    record_ttl_ms: int = _option(
        _between(1000, 86_400_000, 'milliseconds'),
        'how long it is remembered which key was sent to which agent; must'
        ' equal the value at the agents',
        600_000,
    )
    agent_lost_ms: int = _option(
        _between(200, 3_600_000, 'milliseconds'),
        'an agent is declared lost once all routers have had no answer from'
        ' it for this long',
        10_000,
    )
    stop_ms: int = _option(
        _between(100, 3_600_000, 'milliseconds'),
        'how long a graceful stop waits for open requests',
        60_000,
    )
    memory_mb: int = _option(_MEMORY_CHECK, _MEMORY_HELP, 0)


@dataclasses.dataclass(slots=True, kw_only=True)
class AgentSettings:
    """Section [agent]: one agent process."""

    name: str = _option(
        _NAME_CHECK, "the target's name in the published configuration"
    )
    domain: str = _option(_NAME_CHECK, 'the failure domain of this instance')
    service: str = _option(_NAME_CHECK, 'the service of the target')
    kind: str = _option(
        _one_of('model', 'application'), 'the kind of the target', 'model'
    )
    listen: str = _option(
        _ADDRESS_CHECK, 'the address that routers connect to'
    )
    advertise: str = _option(
        _OPTIONAL_ADDRESS_CHECK,
        'the address to publish, if it differs from the one to listen on',
        '',
    )
    target: str = _option(_URL_CHECK, 'the URL of the target on this instance')
    state_listen: str = _option(
        _OPTIONAL_ADDRESS_CHECK,
        'the address that serves the state dump (HTTP)',
        '',
    )
    record_ttl_ms: int = _option(
        _between(1000, 86_400_000, 'milliseconds'),
        'how long claims are kept after their last use, and runs after their'
        ' end',
        600_000,
    )
    probe_ms: int = _option(
        _between(50, 60_000, 'milliseconds'),
        "the interval between probes of the target's load",
        250,
    )
    leave_ms: int = _option(
        _between(0, 60_000, 'milliseconds'),
        'how long a leaving agent waits for routers to notice',
        1500,
    )
    stop_ms: int = _option(
        _between(100, 3_600_000, 'milliseconds'),
        'how long a graceful stop waits for runs to end',
        60_000,
    )
    memory_mb: int = _option(_MEMORY_CHECK, _MEMORY_HELP, 0)


@dataclasses.dataclass(slots=True, kw_only=True)
class ControlSettings:
    """Section [ctl]: the operators' command line."""

    operator: str = _option(
        _NAME_CHECK, 'the name recorded as publisher', 'operator'
    )
    routers: str = _option(
        Check('IP:PORT addresses separated by commas', lambda value: True),
        'the HTTP addresses of the routers shown by status',
        '',
    )
    command_timeout_ms: int = _option(
        _between(100, 3_600_000, 'milliseconds'),
        'how long a command keeps trying while the store does not respond',
        30_000,
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


CONFIG_CLASSES = {
    'galenaspoke-router': RouterConfig,
    'galenaspoke-agent': AgentConfig,
    'galenaspoke-ctl': ControlConfig,
}
