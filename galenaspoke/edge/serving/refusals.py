"""The router's own responses to requests that it could not serve.

Each refusal says whether the request may have run, and when to retry.

Example::

    refusals.from_deadline(context).status    # 504: it may have run
"""

from galenaspoke.edge.money import reservations
from galenaspoke.edge import outcomes

# Bounds of the random retry-after time: for a budget with too few tokens, and
# for one that needs an operator.
BUDGET_RETRY_AFTER_MS = (800, 1_600)
OPERATOR_RETRY_AFTER_MS = (30_000, 60_000)
# The callers that are told when the targets want requests again are spread out
# over this share of the wait, in addition to `outcomes.RETRY_AFTER_MS`.
PAUSE_SPREAD_SHARE = 0.25


def from_reservation_failure(failure):
    """Return the Refusal for a ReservationFailure."""
    if failure.shortage is reservations.Shortage.EXHAUSTED:
        return outcomes.Refusal(
            402, outcomes.Reason.BUDGET_EXHAUSTED, failure.detail
        )
    if failure.shortage is reservations.Shortage.IN_DOUBT:
        return outcomes.Refusal(
            503,
            outcomes.Reason.BUDGET_IN_DOUBT,
            failure.detail,
            outcomes.random_delay_ms(OPERATOR_RETRY_AFTER_MS),
        )
    # HELD_ELSEWHERE or UNREACHABLE: tokens may be available soon.
    return outcomes.Refusal(
        503,
        outcomes.Reason.BUDGET_ELSEWHERE,
        failure.detail,
        outcomes.random_delay_ms(BUDGET_RETRY_AFTER_MS),
    )


def from_last_outcome(context, outcome, pause_ms):
    """Return what to send when no further target may be tried.

    `outcome` is that of the last attempt, or None if there was none.
    `pause_ms` is how long all targets of the service want no more requests, 0
    if any wants some.  Returns a Refusal, or the Failure that carries the
    target's response.
    """
    if isinstance(outcome, outcomes.Failure):
        return outcome
    if isinstance(outcome, outcomes.Unknown):
        return outcomes.Refusal(
            504 if outcome.timed_out else 502,
            outcomes.Reason.TARGET_FAILED,
            outcome.why,
        )
    if isinstance(outcome, outcomes.Closed):
        return outcomes.Refusal(
            502, outcomes.Reason.TARGET_FAILED, outcome.why
        )
    if context.may_have_run:
        return outcomes.Refusal(502, outcomes.Reason.TARGET_FAILED)
    retry_after_ms = pause_ms + outcomes.random_delay_ms(
        outcomes.RETRY_AFTER_MS
    )
    if pause_ms:
        retry_after_ms += outcomes.random_delay_ms(
            (0, PAUSE_SPREAD_SHARE * pause_ms)
        )
    if outcome is None and not pause_ms:
        return outcomes.Refusal(
            503, outcomes.Reason.NO_TARGET, retry_after_ms=retry_after_ms
        )
    return outcomes.Refusal(
        503,
        outcomes.Reason.OVERLOAD,
        (
            outcome.why
            if outcome
            else 'all targets asked for a pause or limit their rate'
        ),
        retry_after_ms,
    )


def from_deadline(context):
    """Return the Refusal for a request whose deadline has passed."""
    if context.may_have_run:
        return outcomes.Refusal(504, outcomes.Reason.DEADLINE)
    return outcomes.Refusal(
        503,
        outcomes.Reason.DEADLINE,
        retry_after_ms=outcomes.random_delay_ms(outcomes.RETRY_AFTER_MS),
    )


def from_shutdown(context):
    """Return the Refusal for a request that the process must abandon.

    `context` is None if the request was not accepted yet.
    """
    if context is not None and context.may_have_run:
        return outcomes.Refusal(504, outcomes.Reason.LEAVING)
    return outcomes.Refusal(
        503,
        outcomes.Reason.LEAVING,
        retry_after_ms=outcomes.random_delay_ms(outcomes.RETRY_AFTER_MS),
    )


def from_memory_shortage(context, detail):
    """Return the Refusal for a request that the process can't hold any more.

    `context` is None if the request was not accepted yet.
    """
    if context is not None and context.may_have_run:
        return outcomes.Refusal(502, outcomes.Reason.OVERLOAD, detail)
    return outcomes.Refusal(
        503,
        outcomes.Reason.OVERLOAD,
        detail,
        outcomes.random_delay_ms(outcomes.RETRY_AFTER_MS),
    )
