"""Records how attempts ended: health, crashes of targets, log lines.

Example::

    recorder = AttemptRecorder(target_view, detector, clock, journal)
    recorder.record(context, target, outcomes.Served(200), took_ms=90)
"""

from galenaspoke.core import catalog
from galenaspoke.edge.crashes import crash_checks
from galenaspoke.edge.crashes import poison
from galenaspoke.edge import outcomes

HTTP_OK = 200


class AttemptRecorder:
    """Tells the rest of the router what an attempt says about its target.

    `target_view` is the TargetView, `poison_detector` the PoisonDetector.
    """

    __slots__ = (
        '_target_view',
        '_poison_detector',
        '_crash_checker',
        '_clock',
        '_journal',
    )

    def __init__(self, target_view, poison_detector, clock, journal):
        self._target_view = target_view
        self._poison_detector = poison_detector
        self._crash_checker = crash_checks.CrashChecker(
            clock, self._handle_target_down
        )
        self._clock = clock
        self._journal = journal

    def record(self, context, target, outcome, took_ms, events=0):
        """Record the outcome of an attempt.

        `events` is how many events of a stream the target had sent.  If it cut
        off the request, this waits a moment for the check whether it is down.
        """
        is_ejected = False
        if isinstance(outcome, outcomes.Served):
            is_ok = outcome.status == HTTP_OK
            self._record_served(
                context, target, events, is_ok, outcome.is_framed
            )
            return
        if isinstance(outcome, outcomes.Ended):
            self._record_served(context, target, events, True, False)
            return
        if isinstance(outcome, outcomes.NotRun):
            is_ejected = self._record_not_run(target, outcome)
            why = outcome.why
        elif isinstance(outcome, outcomes.Unknown):
            is_ejected = self._record_unknown(context, target, outcome, events)
            why = outcome.why
        elif isinstance(outcome, outcomes.Closed):
            # It lives, and nothing says that it has failed.
            target.health.record_success()
            why = outcome.why
        else:
            target.health.record_success()
            why = f'status {outcome.response.status}'
        self._journal.note(
            'attempt.failed',
            id=context.metadata.request_id,
            target=target.entry.id,
            version=target.entry.version,
            outcome=type(outcome).__name__,
            why=why,
            ms=took_ms,
            events=events,
            parts=context.metadata.shared_part_ids(),
            in_flight=target.in_flight,
            rests=is_ejected,
        )

    def record_events(self, context, target):
        """Record that an attempt has got events: its target survived it."""
        self._target_view.record_sign_of_life(target)
        count = len(context.event_times)
        if count > poison.MAX_SUSPECT_EVENTS and not context.has_survived:
            context.has_survived = True
            self._poison_detector.record_survived(
                context.crash_keys(), context.service
            )

    def _record_served(self, context, target, events, is_ok, is_framed):
        """Clear a request of the crashes that it is suspected of."""
        target.health.record_success()
        is_stream = context.route.kind is catalog.RequestKind.STREAM
        # Where a stream without a length goes on, its end proves little.
        has_run = (
            is_framed or not is_stream or events > poison.MAX_SUSPECT_EVENTS
        )
        if is_ok and has_run:
            self._poison_detector.record_survived(
                context.crash_keys(), context.service
            )

    def _record_not_run(self, target, outcome):
        """Return whether the target is ejected."""
        if outcome.misdirected:
            self._target_view.remove_misdirected(target)
            return False
        if outcome.reached:
            return False
        self._target_view.record_lost(target)
        # Other requests may be served where a report is slow.
        is_certain = not outcome.unidentified
        is_ejected = target.health.record_failure(
            self._clock.now(), is_certain
        )
        if outcome.refused:
            self._target_view.record_down(target)
            self._poison_detector.record_target_down(target.entry.identity())
        return is_ejected

    def _record_unknown(self, context, target, outcome, events):
        """Return whether the target is ejected."""
        self._target_view.record_lost(target)
        is_ejected = target.health.record_failure(
            self._clock.now(), is_certain=outcome.flooded
        )
        if outcome.flooded:
            # It is not sent requests even if no other target is available.
            target.pause(target.health.ejected_until)
        if outcome.cut_off and events <= poison.MAX_SUSPECT_EVENTS:
            self._poison_detector.record_cut_off(
                context.crash_keys(),
                target.entry.identity(),
                context.service,
            )
            self._crash_checker.check(target)
        return is_ejected

    def _handle_target_down(self, target):
        """Send nothing for a while to a target that went down."""
        target.health.record_failure(self._clock.now(), True)
        self._target_view.record_down(target)
        self._poison_detector.record_target_down(target.entry.identity())
