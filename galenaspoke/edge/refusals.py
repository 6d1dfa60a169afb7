"""What the router answers by itself when a request can't be served.

Each refusal says whether the request may have run, and when to come back.

Example::

    refusals.time_up(course).status    # 504: it may have run
"""

from galenaspoke.edge import admission
from galenaspoke.edge import outcomes
from galenaspoke.edge import reservations

# Callers that find no money come back spread over this time; later where it
# takes an operator.
RETRY_MONEY_MS = (800, 1_600)
RETRY_OPERATOR_MS = (30_000, 60_000)


def from_reservation_failure(found):
    """Return the Refusal for a NoMoney."""
    if found.shortage is reservations.Shortage.EXHAUSTED:
        return outcomes.Refusal(
            402, outcomes.Reason.BUDGET_EXHAUSTED, found.detail
        )
    if found.shortage is reservations.Shortage.IN_DOUBT:
        return outcomes.Refusal(
            503,
            outcomes.Reason.BUDGET_IN_DOUBT,
            found.detail,
            outcomes.spread(RETRY_OPERATOR_MS),
        )
    return outcomes.Refusal(
        503,
        outcomes.Reason.BUDGET_ELSEWHERE,
        found.detail,
        outcomes.spread(RETRY_MONEY_MS),
    )


def from_last_outcome(context, outcome):
    """Return what to answer when no further target may be tried."""
    if isinstance(outcome, outcomes.Failure):
        return outcome
    if isinstance(outcome, outcomes.Unknown):
        return outcomes.Refusal(
            504 if outcome.timed_out else 502,
            outcomes.Reason.TARGET_FAILED,
            outcome.why,
        )
    if context.may_have_run:
        return outcomes.Refusal(502, outcomes.Reason.TARGET_FAILED)
    if outcome is None:
        return outcomes.Refusal(
            503,
            outcomes.Reason.NO_TARGET,
            retry_after_ms=outcomes.spread(admission.RETRY_SOON_MS),
        )
    return outcomes.Refusal(
        503,
        outcomes.Reason.OVERLOAD,
        outcome.why,
        outcome.retry_after_ms or outcomes.spread(admission.RETRY_SOON_MS),
    )


def from_deadline(context):
    """Return what to answer when the time for an answer is over."""
    if context.may_have_run:
        return outcomes.Refusal(504, outcomes.Reason.DEADLINE)
    return outcomes.Refusal(
        503,
        outcomes.Reason.DEADLINE,
        retry_after_ms=outcomes.spread(admission.RETRY_SOON_MS),
    )
