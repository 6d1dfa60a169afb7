"""Serves one request after the other: admit, reserve, place, answer.

Every request gets one final answer as soon as it is known: the target's,
whole, or the router's own, which says honestly whether the request may have
run and when to come back.
"""

import collections

import gevent
import msgspec

from galenaspoke.core import catalog
from galenaspoke.edge import caller_connections
from galenaspoke.edge import request_context as request_context
from galenaspoke.edge import long_prompts
from galenaspoke.edge import outcomes
from galenaspoke.edge import placement
from galenaspoke.edge import refusals
from galenaspoke.edge import attempts
from galenaspoke.edge import reservations
from galenaspoke.http import messages

# How long a request may wait for money to be drawn, and which part of its
# time at most.
DRAW_WAIT_MS = 1_000
DRAW_WAIT_SHARE = 0.25
# Less than this is no time in which a target could answer.
LEAST_LEFT_MS = 5
# A repeatable request leaves a silent target after this share of its time,
# or after so many times its latency target, whichever comes first.
PATIENCE_SHARE = 0.4
PATIENCE_TARGETS = 2.5
# A stream that may be resumed leaves a target that is silent for so long.
STREAM_PATIENCE_MS = 1_500


class _TimeUp(Exception):
    """The time for an answer is over."""


class Service:
    """Answers the callers of one router."""

    __slots__ = (
        'open',
        '_cfg',
        '_admission',
        '_config',
        '_targets',
        '_budget_manager',
        '_retries',
        '_poison_detector',
        '_header_codec',
        '_clock',
        '_metrics',
        '_journal',
        '_isolations',
    )

    def __init__(
        self,
        cfg,
        admitting,
        config,
        targets,
        budget_manager,
        retries,
        poison_detector,
        header_codec,
        clock,
        metrics,
        journal,
    ):
        # How many requests are being served.
        self.open = 0
        self._cfg = cfg
        self._admission = admitting
        self._config = config
        self._targets = targets
        self._budget_manager = budget_manager
        self._retries = retries
        self._poison_detector = poison_detector
        self._header_codec = header_codec
        self._clock = clock
        self._metrics = metrics
        self._journal = journal
        # By service.
        self._isolations = collections.defaultdict(
            long_prompts.LongPromptIsolation
        )

    def serve(self, req, caller):
        """Answer one request; return only when it is answered or given up."""
        self.open += 1
        caller.serving = True
        caller.keep = req.keep_alive and not self._admission.is_stopping
        try:
            with caller.attended():
                self._serve(req, caller)
        finally:
            caller.serving = False
            self.open -= 1

    def _serve(self, req, caller):
        context = None
        try:
            found = self._admission.admit(req)
            if isinstance(found, request_context.RequestContext):
                context = found
                found = self._run(context, caller)
        except messages.BadRequest as exc:
            found = outcomes.Refusal(
                exc.status, outcomes.Reason.BAD_REQUEST, str(exc)
            )
        except caller_connections.CallerDisconnected:
            self._note_gone(req, context)
            raise
        if self._admission.is_stopping:
            caller.keep = False
        self._conclude(req, context, caller, found)

    # Money.

    def _run(self, context, caller):
        """Reserve money, serve, and settle; return how it ended."""
        held = self._reserve(context)
        if isinstance(held, outcomes.Refusal):
            return held
        self._retries.record_request(context.service)
        left_ms = context.left_ms(self._clock.now())
        try:
            with gevent.Timeout(max(0.001, left_ms / 1000), _TimeUp()):
                return self._attempts(context, caller)
        except _TimeUp:
            return refusals.from_deadline(context)
        finally:
            if held is not None:
                tokens = self._event_tokens(context)
                context.charged = min(held.amount, context.consumed(tokens))
                held.settle(context.charged)

    def _reserve(self, context):
        """Return a Reservation, None where none is needed, or a Refusal."""
        account = context.account
        amount = context.metadata.max_tokens()
        if account is None or account.prepaid is None or not amount:
            return None
        left_ms = context.left_ms(self._clock.now())
        wait_ms = min(DRAW_WAIT_MS, DRAW_WAIT_SHARE * left_ms)
        held = self._budget_manager.reserve(account.name, amount, wait_ms)
        if not isinstance(held, reservations.ReservationFailure):
            return held
        self._metrics.count(f'refused.{held.shortage.value}')
        return refusals.from_reservation_failure(held)

    def _event_tokens(self, context):
        service = self._config.catalog.services.get(context.service)
        return service.event_tokens if service else 1

    # Attempts.

    def _attempts(self, context, caller):
        """Try targets until one answers or no other may be tried."""
        outcome = None
        while True:
            target = self._choose(context)
            if target is None:
                break
            if outcome is not None and not self._may_go_on(context, outcome):
                break
            outcome = self._attempt(context, target, caller)
            if isinstance(outcome, outcomes.Served):
                return outcome
        return refusals.from_last_outcome(context, outcome)

    def _choose(self, context):
        now = self._clock.now()
        if context.left_ms(now) < LEAST_LEFT_MS:
            return None
        known = self._targets.directory.of(context.service)
        others = [
            target for target in known if target.entry.id not in context.tried
        ]
        isolation = self._isolations[context.service]
        return placement.choose_target(
            context.metadata, others, now, self._cfg.domain, isolation
        )

    def _may_go_on(self, context, outcome):
        """Tell whether another target may be tried after an outcome."""
        if isinstance(outcome, outcomes.NotRun):
            if not outcome.reached:
                return True
            if outcome.misdirected:
                return self._retries.take(context.service)
        elif not context.is_repeatable():
            return False
        if context.sent >= context.route.max_attempts:
            return False
        if not self._retries.take(context.service):
            self._metrics.count('retries.refused')
            return False
        self._metrics.count('retries.taken')
        return True

    def _attempt(self, context, target, caller):
        """Try one target, and learn from how it went."""
        context.tried.append(target.entry.id)
        target.in_flight += 1
        began = self._clock.now()
        if context.metadata.prompt_parts:
            target.wait_estimator.record_sent(context, began, context.metadata)
        attempt = attempts.Attempt(
            context, target, caller, self._header_codec, self._clock
        )
        try:
            before = context.may_have_run
            outcome = attempt.run(self._patience(context))
            if isinstance(outcome, outcomes.NotRun):
                context.may_have_run = before
        finally:
            target.in_flight -= 1
            target.wait_estimator.record_end(context)
        self._learn(context, target, outcome, self._clock.now() - began)
        return outcome

    def _patience(self, context):
        """Return how long to bear a target's silence, in ms."""
        left_ms = context.left_ms(self._clock.now())
        last = context.sent + 1 >= context.route.max_attempts
        if last or not context.is_repeatable():
            return max(1, left_ms)
        if context.route.kind is catalog.RequestKind.STREAM:
            return min(STREAM_PATIENCE_MS, left_ms)
        patience = PATIENCE_TARGETS * context.route.latency_target_ms
        return max(1, min(patience, PATIENCE_SHARE * left_ms))

    def _learn(self, context, target, outcome, took_ms):
        """Judge a target by how an attempt ended there."""
        now = self._clock.now()
        rests = False
        if isinstance(outcome, outcomes.Served):
            target.health.record_success()
            if self._poison_detector.has_suspects():
                self._poison_detector.record_completed(
                    context.compute_fingerprint()
                )
            return
        if isinstance(outcome, outcomes.NotRun):
            if outcome.misdirected:
                self._targets.misdirected(target)
            elif not outcome.reached:
                rests = target.health.record_failure(now, True)
                self._poison_detector.record_target_down(
                    target.entry.identity()
                )
            why = outcome.why
        elif isinstance(outcome, outcomes.Unknown):
            rests = target.health.record_failure(now)
            why = outcome.why
            if not outcome.timed_out:
                self._poison_detector.record_cut_off(
                    context.compute_fingerprint(), target.entry.identity()
                )
        else:
            target.health.record_success()
            why = f'status {outcome.answer.status}'
        self._journal.note(
            'attempt.failed',
            id=context.metadata.request_id,
            target=target.entry.id,
            outcome=type(outcome).__name__,
            why=why,
            ms=took_ms,
            in_flight=target.in_flight,
            rests=rests,
        )

    # Ends.

    def _conclude(self, req, context, caller, found):
        """Give the final answer, where it hasn't been given, and note it."""
        if isinstance(found, outcomes.Served):
            self._note(req, context, found.status, None)
            return
        if caller.begun:
            # What the caller has is no whole answer, and must not look so.
            self._note(req, context, 0, found)
            raise caller_connections.CallerDisconnected(
                'the answer could not be finished'
            )
        if isinstance(found, outcomes.Failure):
            answer = found.answer
            caller.answer(
                answer.status,
                self._header_codec.returned(answer),
                answer.take(),
            )
            self._note(req, context, answer.status, found)
            return
        self._refuse(caller, found)
        self._note(req, context, found.status, found)

    def _refuse(self, caller, refusal):
        headers = [(b'Content-Type', b'application/json')]
        if refusal.retry_after_ms:
            seconds = b'%.2f' % (refusal.retry_after_ms / 1000)
            headers.append((b'Retry-After', seconds))
        if refusal.reason is outcomes.Reason.BAD_REQUEST:
            caller.keep = False
        body = msgspec.json.encode(
            {'refused': refusal.reason.value, 'detail': refusal.detail}
        )
        caller.answer(refusal.status, headers, body)

    def _note(self, req, context, status, found):
        now = self._clock.now()
        self._metrics.count(f'answers.{status}')
        fields = {'status': status, 'ms': now - req.arrived_at}
        if context is not None:
            kind = context.route.kind.value
            if context.first_byte_ms is not None:
                self._metrics.timing(
                    f'first_byte.{kind}', context.first_byte_ms
                )
            fields |= {
                'id': context.metadata.request_id,
                'route': context.route.name,
                'account': context.account and context.account.name,
                'targets': context.tried,
                'first_ms': context.first_byte_ms,
                'events': context.events,
                'gap_ms': context.longest_gap_ms,
                'sent_ms': context.sent_at
                and context.sent_at - req.arrived_at,
                'charged': context.charged,
                'generation': self._config.catalog.generation,
            }
        else:
            fields['id'] = self._header_codec.request_id(req)
        if found is None:
            self._journal.plain('answered', **fields)
            return
        if isinstance(found, outcomes.Refusal):
            fields['reason'] = found.reason.value
            fields['detail'] = found.detail
            fields['retry_after_ms'] = found.retry_after_ms
        self._journal.note('refused', **fields)

    def _note_gone(self, req, context):
        self._metrics.count('callers.gone')
        self._journal.note(
            'caller.gone',
            id=context.metadata.request_id if context else '',
            targets=context.tried if context else [],
            charged=context.charged if context else 0,
            account=(
                context.account.name if context and context.account else None
            ),
            ms=self._clock.now() - req.arrived_at,
        )
