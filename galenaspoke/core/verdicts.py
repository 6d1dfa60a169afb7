"""Verdicts and refusals: what a caller can rely on about its request.

Every refusal states whether the request may have run.  `NOT_RUN` is a
guarantee.  It is given only if it is proved that nothing has reached a target
and that nothing in flight can still reach one.  In all other cases the
verdict is `MAY_HAVE_RUN`.
"""

import enum

import msgspec


class Verdict(enum.Enum):
    """Whether a request may have run."""

    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'
    RAN = 'ran'


class Reason(enum.Enum):
    """Why a request was refused.

    `DIVERGED`: the output of a new attempt differs from what the caller has
    already received.  `LEAVING`: the target is stopping, replaced or drained.
    `MOVED`: the agent is not the request's home, or the attempt never started
    there.  `RECORD_LOST`: the agent that may have run the request can't be
    asked, or another agent has claimed the request in the store.  `REPLACED`:
    the request was addressed to another incarnation of the agent.  `SEALED`:
    the router's holder has been sealed.
    """

    BUDGET_EXHAUSTED = 'budget_exhausted'
    BUDGET_UNREACHABLE = 'budget_unreachable'
    ACCOUNT_LIMIT = 'account_limit'
    BAD_REQUEST = 'bad_request'
    DEADLINE = 'deadline'
    DIVERGED = 'diverged'
    KEY_CONFLICT = 'key_conflict'
    LEAVING = 'leaving'
    MOVED = 'moved'
    NO_TARGET = 'no_target'
    OVERLOAD = 'overload'
    POISON = 'poison'
    RECORD_LOST = 'record_lost'
    REPLACED = 'replaced'
    SEALED = 'sealed'
    TARGET_FAILED = 'target_failed'
    UNKNOWN_KEY = 'unknown_key'
    UNREACHABLE = 'unreachable'


class Refusal(msgspec.Struct, frozen=True, tag='refused'):
    """A final response that carries no result.

    `retry_after_ms` is the delay after which the caller may retry.  Zero
    means that a retry is pointless.
    """

    verdict: Verdict
    reason: Reason
    detail: str = ''
    retry_after_ms: int = 0


def not_run(reason, detail='', retry_after_ms=0):
    """Return a refusal that guarantees that the request did not run."""
    return Refusal(Verdict.NOT_RUN, reason, detail, retry_after_ms)


def may_have_run(reason, detail='', retry_after_ms=0):
    """Return a refusal for a request whose outcome is not known."""
    return Refusal(Verdict.MAY_HAVE_RUN, reason, detail, retry_after_ms)


HTTP_STATUS = {
    Reason.BUDGET_EXHAUSTED: 402,
    Reason.BUDGET_UNREACHABLE: 503,
    Reason.ACCOUNT_LIMIT: 429,
    Reason.BAD_REQUEST: 400,
    Reason.DEADLINE: 504,
    Reason.DIVERGED: 409,
    Reason.KEY_CONFLICT: 409,
    Reason.LEAVING: 503,
    Reason.MOVED: 503,
    Reason.NO_TARGET: 503,
    Reason.OVERLOAD: 503,
    Reason.POISON: 422,
    Reason.RECORD_LOST: 409,
    Reason.REPLACED: 503,
    Reason.SEALED: 503,
    Reason.TARGET_FAILED: 502,
    Reason.UNKNOWN_KEY: 404,
    Reason.UNREACHABLE: 503,
}
