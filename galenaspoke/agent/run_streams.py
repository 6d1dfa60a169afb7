"""The events that a router gets of a run, while it goes on and at its end.

Example::

    for event in follow(run, delivered=['a']):
        ...      # messages.Pieces(['b', 'c']), then messages.End(True, ...)
"""

from galenaspoke.core import runs as run_table
from galenaspoke.core import verdicts
from galenaspoke.rpc import messages


def follow(run, delivered):
    """Yield the pieces of a run not yet delivered, then its final event.

    The delivered pieces may come from another attempt.  The stream only
    resumes if this run begins with exactly the same pieces, since an
    answer must never mix two attempts.
    """
    delivered = list(delivered)
    for pieces in run.follow(0):
        count = min(len(delivered), len(pieces))
        if pieces[:count] != delivered[:count]:
            break
        delivered = delivered[count:]
        if pieces[count:]:
            yield messages.Pieces(pieces[count:])
    else:
        if not delivered or run.state is not run_table.RunState.DONE:
            yield _make_final_event(run)
            return
    yield messages.End(
        False,
        len(run.pieces),
        '',
        0,
        0,
        refusal=verdicts.may_have_run(
            verdicts.Reason.DIVERGED,
            'another attempt gave a different answer; start over',
            1,
        ),
    )


def _make_final_event(run):
    """Return the event that ends the stream of a finished run."""
    if run.state is run_table.RunState.FENCED:
        return run.refusal or verdicts.not_run(
            verdicts.Reason.MOVED, 'this attempt never started here', 1
        )
    return messages.End(
        run.state is run_table.RunState.DONE,
        len(run.pieces),
        run.dispatch,
        run.spent,
        run.doubt,
        run.crash,
        run.refusal,
    )
