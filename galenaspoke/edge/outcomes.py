"""What became of a request, or of one attempt at it.

`Refusal` is an answer of the router's own.  The other classes say how one
attempt at a target ended; only `NotRun` proves that nothing ran.
"""

import dataclasses
import enum
import random


class Reason(enum.Enum):
    """Why the router answers by itself."""

    BAD_REQUEST = 'bad_request'
    BUDGET_EXHAUSTED = 'budget_exhausted'
    BUDGET_ELSEWHERE = 'budget_elsewhere'
    BUDGET_IN_DOUBT = 'budget_in_doubt'
    DEADLINE = 'deadline'
    LEAVING = 'leaving'
    NO_CONFIGURATION = 'no_configuration'
    NO_TARGET = 'no_target'
    OVERLOAD = 'overload'
    POISON = 'poison'
    TARGET_FAILED = 'target_failed'
    UNKNOWN_KEY = 'unknown_key'
    UNKNOWN_ROUTE = 'unknown_route'
    VIEW_STALE = 'view_stale'


@dataclasses.dataclass(slots=True, frozen=True)
class Refusal:
    """An answer of the router's own.

    408, 421, 429 and 503 promise that the request has not run and never
    will; 502 and 504 promise nothing.  `retry_after_ms` tells when asking
    again makes sense, None that the answer doesn't say.
    """

    status: int
    reason: Reason
    detail: str = ''
    retry_after_ms: int | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Served:
    """The caller has the target's whole answer."""

    status: int


@dataclasses.dataclass(slots=True, frozen=True)
class NotRun:
    """The target proved that it did not run the request.

    `reached` is false where nothing was sent at all, `misdirected` true where
    another target has the address now.
    """

    why: str
    reached: bool = True
    misdirected: bool = False
    retry_after_ms: int | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Failure:
    """The target ran the request and answered with a failure of its own."""

    response: object


@dataclasses.dataclass(slots=True, frozen=True)
class Unknown:
    """The request was sent and its answer is lost: it may have run."""

    why: str
    timed_out: bool = False


def spread(bounds_ms):
    """Return a time in ms between two, so that callers return apart."""
    return int(random.uniform(*bounds_ms))
