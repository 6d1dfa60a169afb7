"""Second runs: other targets are asked whether a stream goes on.

They show which targets close streams without a length before their end.

Example::

    outcome = second_runs.check(context, target, caller, ended)
"""

import gevent

from galenaspoke.edge import outcomes
from galenaspoke.edge.serving import interruptions

# How long one may take to show whether a stream goes on that seems to have
# ended; its caller waits for the end meanwhile.
TIMEOUT_MS = 1_000


class SecondRuns:
    """Makes second runs of streams that their targets have closed.

    `history` is the CloseHistory.  `take_retry` takes the context and the
    outcome before, and returns whether another run may be made; `run_attempt`
    runs one for a context, target and caller, calls what comes last when
    events come, and returns the outcome.
    """

    __slots__ = (
        '_history',
        '_admission',
        '_chooser',
        '_take_retry',
        '_run_attempt',
        '_metrics',
        '_journal',
    )

    def __init__(
        self,
        history,
        admission,
        chooser,
        take_retry,
        run_attempt,
        metrics,
        journal,
    ):
        self._history = history
        self._admission = admission
        self._chooser = chooser
        self._take_retry = take_retry
        self._run_attempt = run_attempt
        self._metrics = metrics
        self._journal = journal

    def check(self, context, closer, caller, ended):
        """Ask another target, at times, whether a stream goes on.

        Returns the Served if it has ended, and that nothing shows that it goes
        on; else the outcome of the other target's run.
        """
        self._record_confirmed(context, closer)
        target = self._choose_target(context, ended)
        if target is None:
            return ended.finish(outcomes.Proof.UNDOUBTED)
        context.checked_id = context.last_event_id
        outcome = self._run(context, target, caller)
        # An event without data is none that the caller lacks.
        has_ended = isinstance(outcome, outcomes.Ended)
        goes_on = context.was_closed_early and not has_ended
        if goes_on:
            self._history.record_early(context.service, closer.entry.id)
        self._metrics.count('ends.early' if goes_on else 'ends.checked')
        self._journal.note(
            'end.checked',
            id=context.metadata.request_id,
            closer=closer.entry.id,
            target=target.entry.id,
            goes_on=goes_on,
            outcome=type(outcome).__name__,
        )
        if goes_on or context.event_order.goes_on:
            self._metrics.count('ends.closed')
            return outcome
        if isinstance(outcome, outcomes.Served):
            return outcome
        if has_ended:
            self._record_confirmed(context, target)
            return ended.finish(outcomes.Proof.CHECKED)
        return ended.finish(outcomes.Proof.UNDOUBTED)

    def _record_confirmed(self, context, target):
        """Record that a target confirms where another one closed a stream."""
        closer_id = context.closed_by_id
        if closer_id not in ('', target.entry.id):
            self._history.record_confirmed(closer_id)

    def _choose_target(self, context, ended):
        """Return the target to ask whether a stream goes on, None for none."""
        may_ask = context.is_repeatable() and context.event_order.can_go_on()
        is_due = self._history.is_check_due(context.service)
        if not may_ask or not (is_due or ended.may_leave):
            return None
        target = self._chooser.choose(context, ended)
        if target is None or self._admission.find_poison(context):
            return None
        if not self._take_retry(context, ended):
            return None
        self._history.record_check(context.service)
        return target

    def _run(self, context, target, caller):
        """Return the outcome of a second run, None if it took too long."""
        timer = gevent.Timeout.start_new(
            TIMEOUT_MS / 1000, interruptions.SecondRunTimeout()
        )
        try:
            return self._run_attempt(context, target, caller, timer.close)
        except (
            interruptions.SecondRunTimeout,
            interruptions.DeadlineExceeded,
            interruptions.Abandoned,
        ):
            if context.was_closed_early:
                raise
            return None
        finally:
            timer.close()
