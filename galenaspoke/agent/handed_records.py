"""The records of requests that an agent passes to another process.

An agent that leaves hands over all records to their next homes; one that seals
a holder reports the records of those that are gone.

Example::

    list(iter_all('pool-0.abc', claims, runs))      # [messages.Handed(...)]
    make_run(handed)                                # at their next home
"""

from galenaspoke.core import runs as run_table
from galenaspoke.core import verdicts
from galenaspoke.rpc import messages

LEAVING_RETRY_MS = 1


def iter_all(leaver, claims, runs):
    """Yield the claims kept here, and the runs for claims kept elsewhere."""
    by_attempt = {(run.key, run.attempt): run for run in runs}
    for claim in claims:
        run = None
        if claim.runner == leaver:
            run = by_attempt.pop((claim.key, claim.attempt), None)
        yield _make_record(
            claim, claim.attempt, claim.runner, claim.closed, run
        )
    for run in by_attempt.values():
        if run.place:
            yield _make_record(run, run.attempt, leaver, None, run)


def _make_record(source, attempt, runner, closed, run):
    return messages.Handed(
        source.key,
        source.digest,
        source.place,
        attempt,
        runner,
        source.billable,
        closed,
        run.state if run else None,
        run.pieces if run else [],
        run.refusal if run else None,
    )


def list_of_gone_holders(agent_id, claims, runs, live):
    """Return the records of requests from holders not in `live`.

    `claims` and `runs` are all of those at the agent with `agent_id`.
    """
    sent = [
        messages.Handed(
            claim.key,
            claim.digest,
            claim.place,
            claim.attempt,
            claim.runner,
            False,
        )
        for claim in claims
        if claim.holders - live
    ]
    claimed_keys = {handed.key for handed in sent}
    sent += [
        messages.Handed(
            run.key, run.digest, run.place, run.attempt, agent_id, False
        )
        for run in runs
        if run.has_caller_key
        and run.holder not in live
        and run.key not in claimed_keys
        and run.state is not run_table.RunState.FENCED
    ]
    return sent


def make_run(handed):
    """Return the run of a record that another agent hands over.

    A run that goes on is cut off by the end of that agent's process.
    """
    run = run_table.Run(handed.key, handed.attempt, handed.state)
    run.add(handed.pieces)
    run.refusal = handed.refusal
    if run.state is run_table.RunState.RUNNING:
        run.state = run_table.RunState.UNKNOWN
        run.refusal = verdicts.may_have_run(
            verdicts.Reason.LEAVING,
            'the agent stopped before the end of the run',
            LEAVING_RETRY_MS,
        )
    return run
