"""Handles requests: admission, budget reservation, attempts, response.

Every request gets one final response as soon as it is known: either the
target's complete response or one that the router makes itself, which states
whether the request may have run and when to retry.  If a response has begun
and can't be completed, the connection is closed.
"""

import gevent

from galenaspoke.core import catalog
from galenaspoke.edge import outcomes
from galenaspoke.edge.serving import admission
from galenaspoke.edge.serving import attempt_recorder
from galenaspoke.edge.serving import attempts
from galenaspoke.edge.serving import caller_connections
from galenaspoke.edge.serving import charges
from galenaspoke.edge.serving import interruptions
from galenaspoke.edge.serving import refusals
from galenaspoke.edge.serving import request_context
from galenaspoke.edge.serving import responses
from galenaspoke.edge.serving import second_runs
from galenaspoke.edge.serving import stream_ends
from galenaspoke.edge.serving import target_choice
from galenaspoke.edge.streams import event_steps
from galenaspoke.edge.streams import resumption as resumptions
from galenaspoke.edge.targets import close_history
from galenaspoke.edge.targets import end_checks
from galenaspoke.edge.targets import incarnations
from galenaspoke.http import messages

# The read timeout of an attempt that another one may follow: this share of the
# remaining time, or this many times the route's latency target, whichever is
# shorter.  The last attempt, and any attempt of a request that isn't
# repeatable, may take all of the remaining time.
READ_TIMEOUT_SHARE = 0.4
READ_TIMEOUT_LATENCY_FACTOR = 2.5
# The read timeout of an attempt at a resumable stream that another one may
# follow: this long, or this many times the route's desired time between
# events, whichever is longer.
STREAM_READ_TIMEOUT_MS = 1_500
STREAM_READ_TIMEOUT_GAPS = 4


class RequestHandler:
    """Handles the requests that one router receives."""

    __slots__ = (
        'open_request_count',
        'end_checker',
        'close_history',
        'charges',
        '_cfg',
        '_admission',
        '_target_view',
        '_retry_budget',
        '_header_codec',
        '_clock',
        '_metrics',
        '_journal',
        '_responder',
        '_recorder',
        '_resumption',
        '_incarnation_checker',
        '_end_judge',
        '_second_runs',
        '_chooser',
        '_event_steps',
        '_undecided_tasks',
    )

    def __init__(
        self,
        cfg,
        admission,
        config_view,
        target_view,
        budget_manager,
        retry_budget,
        poison_detector,
        resumption,
        header_codec,
        report_codec,
        clock,
        metrics,
        journal,
    ):
        # How many requests are being handled.
        self.open_request_count = 0
        self._cfg = cfg
        self._admission = admission
        self._target_view = target_view
        self.charges = charges.Charges(
            config_view,
            budget_manager,
            admission.event_sizes,
            clock,
            metrics,
        )
        self._retry_budget = retry_budget
        self._header_codec = header_codec
        self._clock = clock
        self._metrics = metrics
        self._journal = journal
        self._responder = responses.Responder(
            config_view, header_codec, clock, metrics, journal
        )
        self._recorder = attempt_recorder.AttemptRecorder(
            target_view, poison_detector, clock, journal
        )
        self._resumption = resumption
        self._incarnation_checker = incarnations.IncarnationChecker(
            report_codec,
            target_view.record_replaced,
            clock,
            metrics,
        )
        self.end_checker = end_checks.EndChecker(
            report_codec, target_view.entry_reader.read, clock, metrics
        )
        self.close_history = close_history.CloseHistory(clock)
        self._end_judge = stream_ends.EndJudge(cfg, self.close_history, clock)
        self._chooser = target_choice.TargetChooser(
            cfg, target_view, resumption, clock, journal
        )
        self._second_runs = second_runs.SecondRuns(
            self.close_history,
            admission,
            self._chooser,
            self._take_retry,
            self._run_attempt,
            metrics,
            journal,
        )
        self._event_steps = event_steps.EventSteps()
        # The tasks of the requests whose result isn't known yet.
        self._undecided_tasks = set()

    def handle(self, req, caller):
        """Handle one request until it is answered or abandoned.

        Raises CallerDisconnected if the caller can't get a complete response.
        """
        self.open_request_count += 1
        caller.has_active_request = True
        caller.keep_alive = req.keep_alive and not self._must_close(caller)
        try:
            with caller.cancel_on_disconnect():
                self._handle(req, caller)
        finally:
            caller.has_active_request = False
            self.open_request_count -= 1

    def _handle(self, req, caller):
        context = None
        task = gevent.getcurrent()
        self._undecided_tasks.add(task)
        try:
            result = self._admit(req, caller)
            if isinstance(result, request_context.RequestContext):
                context = result
                result = self._resolve_version(context)
                if result is None:
                    result = self._reserve_and_run(context, caller)
        except interruptions.Abandoned:
            result = self._finish_at_shutdown(context)
        except caller_connections.OutOfMemory as exc:
            caller.keep_alive = False
            # The response must not wait for what it is to release.
            req.body = bytearray()
            result = refusals.from_memory_shortage(context, str(exc))
        except messages.BadRequest as exc:
            result = outcomes.Refusal(
                exc.status, outcomes.Reason.BAD_REQUEST, str(exc)
            )
        except caller_connections.CallerDisconnected as exc:
            self._responder.log_disconnect(req, context, str(exc))
            raise
        finally:
            self._undecided_tasks.discard(task)
        if self._must_close(caller) or not req.is_complete:
            caller.keep_alive = False
        self._responder.finish(req, context, caller, result)

    def _finish_at_shutdown(self, context):
        """Return the result of a request that the process must abandon."""
        if context is not None and context.watched_end is not None:
            return context.watched_end.finish(outcomes.Proof.UNDOUBTED)
        return refusals.from_shutdown(context)

    def _admit(self, req, caller):
        """Return the RequestContext of an accepted request, or a Refusal.

        The body isn't read if the head is refused.  After it was read the
        configuration in force may be another one.
        """
        if not req.is_complete:
            refusal = self._admission.refuse_head(req)
            if refusal is not None:
                return refusal
            caller.read_body(req)
        return self._admission.admit(req)

    def abandon_open_requests(self):
        """Make all requests whose result isn't known yet end with a refusal.

        Tasks can only be interrupted from the event loop, so that happens
        once the calling task waits.
        """
        gevent.get_hub().loop.run_callback(self._interrupt_undecided)

    def _interrupt_undecided(self):
        for task in list(self._undecided_tasks):
            task.throw(interruptions.Abandoned())

    def _must_close(self, caller):
        """Return whether the connection ends with the current response.

        It stays open for requests that have been read already.
        """
        return self._admission.is_stopping and not caller.has_queued_request()

    def _limit_time(self, context):
        """Return a context manager that ends at the request's deadline.

        It raises interruptions.DeadlineExceeded then.
        """
        remaining_ms = context.remaining_ms(self._clock.now())
        return gevent.Timeout(
            max(0.001, remaining_ms / 1000), interruptions.DeadlineExceeded()
        )

    def _resolve_version(self, context):
        """Return a Refusal if a stream can't be resumed, else None."""
        try:
            with self._limit_time(context):
                return self._resumption.resolve(context)
        except interruptions.DeadlineExceeded:
            return refusals.from_deadline(context)

    def _reserve_and_run(self, context, caller):
        """Reserve tokens, run attempts, settle; return the result."""
        refusal = self.charges.reserve(context)
        if refusal is not None:
            return refusal
        self._retry_budget.record_request(context.service)
        try:
            with self._limit_time(context):
                return self._run_attempts(context, caller)
        except interruptions.DeadlineExceeded:
            return refusals.from_deadline(context)
        finally:
            self.charges.settle(context)

    # Attempts.

    def _run_attempts(self, context, caller):
        """Try targets until one succeeds or no further one may be tried."""
        outcome = None
        while True:
            target = self._chooser.choose(context, outcome)
            if target is None:
                break
            # It may be known to crash targets only since it was admitted.
            culprit = self._admission.find_poison(context)
            if culprit is not None:
                self._metrics.count('attempts.poison')
                if not context.may_have_run:
                    return admission.refuse_poison(culprit)
                break
            if outcome is not None and not self._take_retry(context, outcome):
                break
            # A failure's body has no share of the account, and isn't needed.
            outcome = None
            outcome = self._run_attempt(context, target, caller)
            if isinstance(outcome, outcomes.Ended):
                outcome = self._second_runs.check(
                    context, target, caller, outcome
                )
            if isinstance(outcome, outcomes.Served):
                self._count_proof(outcome)
                return outcome
        return refusals.from_last_outcome(
            context, outcome, self._chooser.compute_pause_ms(context)
        )

    def _take_retry(self, context, outcome):
        """Return whether another target may be tried after `outcome`.

        If the last target was reached, this takes a retry from the retry
        budget.  A target that could not be reached costs none.
        """
        if isinstance(outcome, outcomes.NotRun):
            if not outcome.reached:
                return True
            if outcome.misdirected:
                return self._retry_budget.take_retry(context.service)
        elif not context.is_repeatable():
            return False
        elif isinstance(outcome, (outcomes.Closed, outcomes.Ended)):
            if not context.event_order.can_go_on():
                return False
        if context.sent_count >= context.route.max_attempts:
            return False
        if not self._retry_budget.take_retry(context.service):
            self._metrics.count('retries.refused')
            return False
        self._metrics.count('retries.taken')
        return True

    def _run_attempt(self, context, target, caller, on_events=None):
        """Run an attempt at one target and record its outcome.

        `on_events` is called when events come, if it isn't None.
        """
        context.tried_ids.append(target.entry.id)
        context.event_times.clear()
        context.has_survived = False
        context.read_tokens = 0
        target.in_flight += 1
        started_at = self._clock.now()
        target.record_sent(started_at)
        events_before = context.event_count
        if context.metadata.prompt_parts:
            target.wait_estimator.record_sent(
                context, started_at, context.metadata
            )
        order = context.event_order
        order.service_step = self._event_steps.find_largest(context.service)
        attempt = attempts.Attempt(
            self._cfg,
            context,
            target,
            caller,
            self._header_codec,
            self._clock,
            self._target_view.record_response,
            self._resumption.record_begin,
            self._make_event_recorder(on_events),
            lambda: self._may_retry(context),
            lambda timeout_ms: self._acquire(context, target, timeout_ms),
            self.end_checker,
            self._end_judge,
        )
        try:
            # That this attempt did not run says nothing about earlier ones.
            may_have_run_before = context.may_have_run
            outcome = attempt.run(self._read_timeout_ms(context))
            if isinstance(outcome, outcomes.NotRun):
                context.may_have_run = may_have_run_before
        except interruptions.DeadlineExceeded:
            # A caller that reads slowly says nothing about the target.
            if not caller.response_started:
                self._target_view.record_lost(target)
            raise
        finally:
            target.in_flight -= 1
            target.wait_estimator.record_end(context)
            self._chooser.record_attempt(context, target)
        if isinstance(outcome, (outcomes.Served, outcomes.Ended)):
            self._event_steps.record(context.service, order)
        is_refused = isinstance(outcome, outcomes.Unknown) and not (
            outcome.cut_off or outcome.flooded
        )
        # Whoever can't say whether a stream goes on has not failed.
        if on_events is None or not is_refused:
            self._recorder.record(
                context,
                target,
                outcome,
                self._clock.now() - started_at,
                context.event_count - events_before,
            )
        if isinstance(outcome, outcomes.Closed):
            self._metrics.count(
                'streams.unfit' if outcome.is_unfit else 'ends.closed'
            )
        return outcome

    def _make_event_recorder(self, on_events):
        """Return what is called with the context and target on events."""
        if on_events is None:
            return self._recorder.record_events

        def record_events(context, target):
            on_events()
            self._recorder.record_events(context, target)

        return record_events

    def _count_proof(self, served):
        """Count what showed that a response without a length has ended."""
        if served.proof is not None:
            self._metrics.count(f'ends.proved.{served.proof.value}')

    def _acquire(self, context, target, timeout_ms):
        """Return a connection to a target; raise NotSent on failure.

        A stream whose version matters must reach the target's incarnation.
        """
        request_id = context.metadata.request_id
        if resumptions.is_bound_to_version(context):
            return self._incarnation_checker.acquire(
                target, request_id, timeout_ms
            )
        return target.acquire_connection(self._clock.now(), request_id)

    def _may_retry(self, context):
        """Return whether a request may be sent to one more target now."""
        return (
            context.is_repeatable()
            and context.sent_count < context.route.max_attempts
            and self._retry_budget.has_retry(context.service)
            and self._chooser.has_untried(context)
        )

    def _read_timeout_ms(self, context):
        """Return how long an attempt waits for data from its target, in ms."""
        remaining_ms = context.remaining_ms(self._clock.now())
        is_last = context.sent_count + 1 >= context.route.max_attempts
        if is_last or not context.is_repeatable():
            return max(1, remaining_ms)
        if context.route.kind is catalog.RequestKind.STREAM:
            timeout_ms = max(
                STREAM_READ_TIMEOUT_MS,
                STREAM_READ_TIMEOUT_GAPS * context.route.gap_target_ms,
            )
            return min(timeout_ms, remaining_ms)
        timeout_ms = (
            READ_TIMEOUT_LATENCY_FACTOR * context.route.latency_target_ms
        )
        return max(1, min(timeout_ms, READ_TIMEOUT_SHARE * remaining_ms))
