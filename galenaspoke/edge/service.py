"""Serves one request after the other: admit, reserve, place, answer.

Every request gets one final answer as soon as it is known: the target's,
whole, or the router's own, which says honestly whether the request may have
run and when to come back.
"""

import collections

import gevent
import msgspec

from galenaspoke.core import catalog
from galenaspoke.edge import callers
from galenaspoke.edge import course as courses
from galenaspoke.edge import long_prompts
from galenaspoke.edge import outcomes
from galenaspoke.edge import placement
from galenaspoke.edge import refusals
from galenaspoke.edge import relay
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
        '_dialect',
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
        dialect,
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
        self._dialect = dialect
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
        course = None
        try:
            found = self._admission.admit(req)
            if isinstance(found, courses.Course):
                course = found
                found = self._run(course, caller)
        except messages.BadRequest as exc:
            found = outcomes.Refusal(
                exc.status, outcomes.Reason.BAD_REQUEST, str(exc)
            )
        except callers.CallerGone:
            self._note_gone(req, course)
            raise
        if self._admission.is_stopping:
            caller.keep = False
        self._conclude(req, course, caller, found)

    # Money.

    def _run(self, course, caller):
        """Reserve money, serve, and settle; return how it ended."""
        held = self._reserve(course)
        if isinstance(held, outcomes.Refusal):
            return held
        self._retries.record_request(course.service)
        left_ms = course.left_ms(self._clock.now())
        try:
            with gevent.Timeout(max(0.001, left_ms / 1000), _TimeUp()):
                return self._attempts(course, caller)
        except _TimeUp:
            return refusals.from_deadline(course)
        finally:
            if held is not None:
                tokens = self._event_tokens(course)
                course.charged = min(held.amount, course.consumed(tokens))
                held.settle(course.charged)

    def _reserve(self, course):
        """Return a Reservation, None where none is needed, or a Refusal."""
        account = course.account
        amount = course.call.most_tokens()
        if account is None or account.prepaid is None or not amount:
            return None
        left_ms = course.left_ms(self._clock.now())
        wait_ms = min(DRAW_WAIT_MS, DRAW_WAIT_SHARE * left_ms)
        held = self._budget_manager.reserve(account.name, amount, wait_ms)
        if not isinstance(held, reservations.ReservationFailure):
            return held
        self._metrics.count(f'refused.{held.shortage.value}')
        return refusals.from_reservation_failure(held)

    def _event_tokens(self, course):
        service = self._config.catalog.services.get(course.service)
        return service.event_tokens if service else 1

    # Attempts.

    def _attempts(self, course, caller):
        """Try targets until one answers or no other may be tried."""
        outcome = None
        while True:
            target = self._choose(course)
            if target is None:
                break
            if outcome is not None and not self._may_go_on(course, outcome):
                break
            outcome = self._attempt(course, target, caller)
            if isinstance(outcome, outcomes.Served):
                return outcome
        return refusals.from_last_outcome(course, outcome)

    def _choose(self, course):
        now = self._clock.now()
        if course.left_ms(now) < LEAST_LEFT_MS:
            return None
        known = self._targets.directory.of(course.service)
        others = [
            target for target in known if target.entry.id not in course.tried
        ]
        isolation = self._isolations[course.service]
        return placement.choose_target(
            course.call, others, now, self._cfg.domain, isolation
        )

    def _may_go_on(self, course, outcome):
        """Tell whether another target may be tried after an outcome."""
        if isinstance(outcome, outcomes.NotRun):
            if not outcome.reached:
                return True
            if outcome.misdirected:
                return self._retries.take(course.service)
        elif not course.is_repeatable():
            return False
        if course.sent >= course.route.max_attempts:
            return False
        if not self._retries.take(course.service):
            self._metrics.count('retries.refused')
            return False
        self._metrics.count('retries.taken')
        return True

    def _attempt(self, course, target, caller):
        """Try one target, and learn from how it went."""
        course.tried.append(target.entry.id)
        target.in_flight += 1
        began = self._clock.now()
        if course.call.parts:
            target.wait_estimator.record_sent(course, began, course.call)
        attempt = relay.Attempt(
            course, target, caller, self._dialect, self._clock
        )
        try:
            before = course.may_have_run
            outcome = attempt.run(self._patience(course))
            if isinstance(outcome, outcomes.NotRun):
                course.may_have_run = before
        finally:
            target.in_flight -= 1
            target.wait_estimator.record_end(course)
        self._learn(course, target, outcome, self._clock.now() - began)
        return outcome

    def _patience(self, course):
        """Return how long to bear a target's silence, in ms."""
        left_ms = course.left_ms(self._clock.now())
        last = course.sent + 1 >= course.route.max_attempts
        if last or not course.is_repeatable():
            return max(1, left_ms)
        if course.route.kind is catalog.Kind.STREAM:
            return min(STREAM_PATIENCE_MS, left_ms)
        patience = PATIENCE_TARGETS * course.route.latency_target_ms
        return max(1, min(patience, PATIENCE_SHARE * left_ms))

    def _learn(self, course, target, outcome, took_ms):
        """Judge a target by how an attempt ended there."""
        now = self._clock.now()
        rests = False
        if isinstance(outcome, outcomes.Served):
            target.health.record_success()
            if self._poison_detector.has_suspects():
                self._poison_detector.record_answered(course.fingerprint())
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
                    course.fingerprint(), target.entry.identity()
                )
        else:
            target.health.record_success()
            why = f'status {outcome.answer.status}'
        self._journal.note(
            'attempt.failed',
            id=course.call.request_id,
            target=target.entry.id,
            outcome=type(outcome).__name__,
            why=why,
            ms=took_ms,
            in_flight=target.in_flight,
            rests=rests,
        )

    # Ends.

    def _conclude(self, req, course, caller, found):
        """Give the final answer, where it hasn't been given, and note it."""
        if isinstance(found, outcomes.Served):
            self._note(req, course, found.status, None)
            return
        if caller.begun:
            # What the caller has is no whole answer, and must not look so.
            self._note(req, course, 0, found)
            raise callers.CallerGone('the answer could not be finished')
        if isinstance(found, outcomes.Failure):
            answer = found.answer
            caller.answer(
                answer.status, self._dialect.returned(answer), answer.take()
            )
            self._note(req, course, answer.status, found)
            return
        self._refuse(caller, found)
        self._note(req, course, found.status, found)

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

    def _note(self, req, course, status, found):
        now = self._clock.now()
        self._metrics.count(f'answers.{status}')
        fields = {'status': status, 'ms': now - req.arrived}
        if course is not None:
            kind = course.route.kind.value
            if course.first_byte_ms is not None:
                self._metrics.timing(
                    f'first_byte.{kind}', course.first_byte_ms
                )
            fields |= {
                'id': course.call.request_id,
                'route': course.route.name,
                'account': course.account and course.account.name,
                'targets': course.tried,
                'first_ms': course.first_byte_ms,
                'events': course.events,
                'gap_ms': course.longest_gap_ms,
                'sent_ms': course.sent_at and course.sent_at - req.arrived,
                'charged': course.charged,
                'generation': self._config.catalog.generation,
            }
        else:
            fields['id'] = self._dialect.request_id(req)
        if found is None:
            self._journal.plain('answered', **fields)
            return
        if isinstance(found, outcomes.Refusal):
            fields['reason'] = found.reason.value
            fields['detail'] = found.detail
            fields['retry_after_ms'] = found.retry_after_ms
        self._journal.note('refused', **fields)

    def _note_gone(self, req, course):
        self._metrics.count('callers.gone')
        self._journal.note(
            'caller.gone',
            id=course.call.request_id if course else '',
            targets=course.tried if course else [],
            charged=course.charged if course else 0,
            account=course.account.name if course and course.account else None,
            ms=self._clock.now() - req.arrived,
        )
