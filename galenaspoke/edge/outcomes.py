"""How a request, or one attempt at it, ended.

A `Refusal` is the router's own response to the caller.  The other classes say
how one attempt at a target ended; only `NotRun` proves that the request did
not run.
"""

import dataclasses
import enum
import random

# Bounds of the random retry-after time of a refusal.
RETRY_AFTER_MS = (150, 450)


class Reason(enum.Enum):
    """Why the router refuses a request."""

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
    VERSION_UNKNOWN = 'version_unknown'
    VIEW_STALE = 'view_stale'


@dataclasses.dataclass(slots=True, frozen=True)
class Refusal:
    """The router's own response, sent in place of a target's.

    Status 408, 421, 429 and 503 promise that the request has not run and
    never will; 502 and 504 promise nothing.  `retry_after_ms` says when a
    retry makes sense; None leaves it out of the response.
    """

    status: int
    reason: Reason
    detail: str = ''
    retry_after_ms: int | None = None


class Proof(enum.Enum):
    """What shows that a response without a length has ended.

    Its target lives and doesn't work on the request any more.  MOST: all
    output that the request allows has come.  UNDOUBTED: nothing speaks against
    the end, and CHECKED: nor did another target that was asked to go on.
    ALIVE: nothing else.
    """

    MOST = 'most'
    UNDOUBTED = 'undoubted'
    CHECKED = 'checked'
    ALIVE = 'alive'


@dataclasses.dataclass(slots=True, frozen=True)
class Served:
    """The caller has received the target's complete response.

    `is_framed` is false if only the end of the connection ended it; `proof`
    then says what shows that it had.
    """

    status: int
    is_framed: bool = True
    proof: Proof | None = dataclasses.field(default=None, compare=False)


@dataclasses.dataclass(slots=True, frozen=True)
class NotRun:
    """The target provably did not run the request.

    `reached` is false if nothing was sent to the target; `refused` is true if
    that is because nothing listens at its address.  `misdirected` is true if
    another target has the address now, `unidentified` if it didn't say in time
    which one it is.
    """

    why: str
    reached: bool = True
    misdirected: bool = False
    refused: bool = False
    unidentified: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Failure:
    """The target ran the request and responded with a server error."""

    response: object


@dataclasses.dataclass(slots=True, frozen=True)
class Unknown:
    """The request was sent but got no valid response: it may have run.

    `timed_out` is true if the target was silent for too long, `cut_off` if
    its end closed or reset the connection, `flooded` if it sent more than any
    sound target does.
    """

    why: str
    timed_out: bool = False
    cut_off: bool = False
    flooded: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Closed:
    """The target lives, and its stream is no end of what the caller has.

    It has closed a stream, and something speaks against its end.  If
    `is_unfit` is true, its events don't begin where those that the caller has
    end.
    """

    why: str
    is_unfit: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Ended:
    """The target lives and has closed a stream, as it may at its end.

    Nothing speaks against it, and another target may be asked whether the
    stream goes on.  `finish` takes the Proof that holds then, tells the caller
    that its response is complete, and returns the Served.  If `may_leave` is
    true, the target may leave.
    """

    finish: object
    may_leave: bool = False


def random_delay_ms(bounds_ms):
    """Return a random time in ms between two bounds.

    It spreads out the retries of callers that were refused together.
    """
    return int(random.uniform(*bounds_ms))
