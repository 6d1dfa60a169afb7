"""Attempts at a request: claim it at its home, follow the run, handle its end.

Each attempt submits the request to its home, which decides on the agent that
runs it, and follows the run at that agent.  How an attempt ends decides
whether another one follows.  What is known about all attempts decides what a
refusal may promise the caller.
"""

import itertools

import msgspec

from galenaspoke.core import records
from galenaspoke.core import verdicts
from galenaspoke.router import request_state
from galenaspoke.rpc import messages
from galenaspoke.rpc import methods
from galenaspoke.rpc import transport
from galenaspoke.utils import daemon

Reason = verdicts.Reason
# Pause before the next attempt of a request that was refused.
RETRY_PAUSE_MS = 50


class AttemptExecutor:
    """Executes attempts for one router.

    `get_holder` returns the router's current Holder, or None.
    """

    __slots__ = (
        '_cfg',
        '_clock',
        '_peers',
        '_home_locator',
        '_unsettled',
        '_metrics',
        '_dispatch_prefix',
        '_dispatch_numbers',
        '_sent_keys',
        '_get_holder',
    )

    def __init__(
        self,
        cfg,
        clock,
        peers,
        home_locator,
        unsettled,
        metrics,
        sent_keys,
        get_holder,
    ):
        self._cfg = cfg
        self._clock = clock
        self._peers = peers
        self._home_locator = home_locator
        self._unsettled = unsettled
        self._metrics = metrics
        self._dispatch_prefix = f'{cfg.name}.{daemon.new_incarnation()}'
        self._dispatch_numbers = itertools.count(1)
        self._sent_keys = sent_keys
        self._get_holder = get_holder

    def execute(self, state):
        """Execute one attempt; yield Pieces, then an End or a Refusal.

        Raises AttemptFailed if there may be another attempt.
        """
        home = self._home_locator.find(state)
        proposed_runner = self._home_locator.propose_runner(state, home)
        submit = self._build_submit(state, home, proposed_runner)
        stream = self._open_stream(state, home, submit)
        state.asked_home = home.entry.agent_id()
        reply = self._read_home_reply(state, home, stream)
        if isinstance(reply, verdicts.Refusal):
            yield self._handle_home_refusal(
                state, home, proposed_runner, reply
            )
            return
        if reply.runner == home.entry.agent_id():
            runner = home
        else:
            stream.close()
            if not state.req.fresh:
                self._record_sent(
                    state, home, submit, reply.attempt, reply.runner
                )
            runner = self._find_runner(state, reply)
            stream = self._open_stream(
                state,
                runner,
                self._build_runner_submit(runner, submit, reply),
            )
        if not reply.new:
            self._release_reservation(state)
        if reply.attempt > 1 or not reply.new:
            state.may_have_run = True
        yield from self._follow_run(state, runner, reply, stream)

    def remaining_ms(self, state):
        """Return the milliseconds until the request's deadline."""
        return state.deadline - self._clock.now()

    def _build_submit(self, state, home, proposed_runner):
        reservation = state.reservation
        state.holder = (
            reservation.holder if reservation else self._get_holder()
        )
        # Each attempt is a new dispatch.  Only the reservation is reused, if
        # the attempt that it was made for is proved not to have run.
        state.dispatch = (
            f'{self._dispatch_prefix}.{next(self._dispatch_numbers)}'
        )
        remaining_ms = max(1, self.remaining_ms(state))
        req = msgspec.structs.replace(state.req, deadline_ms=remaining_ms)
        return messages.Submit(
            to=home.entry.incarnation,
            request=req,
            dispatch=state.dispatch,
            holder=state.holder.name if state.holder else '',
            reserve=reservation.amount if reservation else 0,
            propose=proposed_runner,
            billable=state.billable,
            look=state.lookup_refusal is not None,
            skipped=sorted(state.skipped),
            failure=state.failure,
            resume=state.delivered_pieces,
        )

    def _build_runner_submit(self, runner, submit, claimed):
        return msgspec.structs.replace(
            submit,
            to=runner.entry.incarnation,
            attempt=claimed.attempt,
            new=claimed.new,
            billable=claimed.billable,
            suspect=claimed.suspect,
        )

    def _open_stream(self, state, peer, submit):
        if self._peers.agents.get(peer.key()) is not peer:
            # The agent has just been lost.  This router may already have
            # vouched for it, so nothing more may be sent there.
            raise request_state.AttemptFailed(
                state.make_refusal(
                    Reason.UNREACHABLE,
                    f'agent {peer.entry.name} no longer serves',
                )
            )
        state.sent_to = peer.entry
        if not (submit.look or submit.request.fresh):
            self._record_sent(state, peer, submit, max(1, submit.attempt))
        return peer.channel.stream(
            methods.SUBMIT,
            submit,
            self._cfg.idle_ms,
            max(1, self.remaining_ms(state)),
            self._cfg.first_answer_ms,
        )

    def _record_sent(self, state, peer, submit, attempt=1, runner=None):
        """Record that the request was sent to an agent.

        The record is handed over when the router vouches for a lost agent.
        """
        req = submit.request
        agent_id = peer.entry.agent_id()
        record = messages.Handed(
            req.key, req.digest, req.place, attempt, runner or agent_id, False
        )
        is_new = self._sent_keys.add(agent_id, record)
        state.recorded_agent = agent_id if is_new else ''

    def _discard_sent_record(self, state):
        """Remove the record of a submission that provably had no effect."""
        if state.recorded_agent:
            self._sent_keys.remove(state.recorded_agent, state.req.key)
            state.recorded_agent = ''

    def _read_home_reply(self, state, home, stream):
        """Return the home's reply, a Claimed or a Refusal."""
        try:
            return next(stream)
        except transport.PeerUnreachable as exc:
            home.load.failed = True
            if exc.sent:
                self._mark_unsettled(state, home)
            else:
                state.asked_home = None
                self._discard_sent_record(state)
            raise request_state.AttemptFailed(
                state.make_refusal(
                    Reason.UNREACHABLE, f'the agent does not answer: {exc}'
                )
            ) from exc

    def _mark_unsettled(self, state, peer):
        """Hand a dispatch of unknown outcome to UnsettledDispatches."""
        state.may_have_run = True
        if state.reservation:
            self._unsettled.add(peer.entry, state.dispatch, state.reservation)
            state.reservation = None

    def _release_reservation(self, state):
        if state.reservation:
            state.reservation.release()
            state.reservation = None

    def _handle_home_refusal(self, state, home, proposed_runner, refusal):
        """Return a final refusal, or raise AttemptFailed."""
        if state.lookup_refusal is not None:
            if refusal.reason is Reason.UNKNOWN_KEY:
                return state.weaken_verdict(state.lookup_refusal)
            return verdicts.may_have_run(
                state.lookup_refusal.reason,
                state.lookup_refusal.detail,
                state.lookup_refusal.retry_after_ms,
            )
        state.asked_home = None
        if refusal.verdict is verdicts.Verdict.NOT_RUN:
            self._discard_sent_record(state)
        if refusal.reason is Reason.LEAVING:
            state.excluded_homes.add(home.entry.agent_id())
            raise request_state.AttemptFailed(refusal, counts_as_try=False)
        if refusal.reason is Reason.SEALED:
            raise request_state.AttemptFailed(refusal, counts_as_try=False)
        if refusal.reason in (Reason.OVERLOAD, Reason.NO_TARGET):
            state.avoided_runners.add(proposed_runner)
            raise request_state.AttemptFailed(refusal)
        if refusal.reason in (
            Reason.MOVED,
            Reason.REPLACED,
            Reason.UNREACHABLE,
        ):
            state.pause_ms = RETRY_PAUSE_MS
            raise request_state.AttemptFailed(
                state.make_refusal(refusal.reason, refusal.detail),
                counts_as_try=refusal.reason is Reason.UNREACHABLE,
            )
        return state.weaken_verdict(refusal)

    def _find_runner(self, state, claimed):
        peer = self._peers.get_agents(state.req.service).get(claimed.runner)
        if peer is not None and not peer.load.failed:
            return peer
        if peer is not None and self._home_locator.is_reachable(peer):
            return peer
        # Unless this claim was to start the attempt, only the runner could
        # prove that it billed nothing.
        state.failure = records.Failure(claimed.attempt, claimed.new)
        if not claimed.new:
            state.may_have_run = True
        state.avoided_runners.add(claimed.runner)
        make = verdicts.not_run if claimed.new else verdicts.may_have_run
        raise request_state.AttemptFailed(
            make(
                Reason.UNREACHABLE,
                f'agent {claimed.runner} does not answer',
                500,
            )
        )

    def _follow_run(self, state, runner, claimed, stream):
        load = runner.load
        load.in_flight += 1
        try:
            for item in stream:
                if isinstance(item, messages.Pieces):
                    state.delivered_pieces.extend(item.pieces)
                    yield item
                else:
                    yield self._handle_end(state, runner, claimed, item)
                    return
            raise transport.PeerUnreachable(
                'the stream ended without an End message', True
            )
        except transport.PeerUnreachable as exc:
            self._handle_broken_stream(state, runner, claimed, exc)
        finally:
            load.in_flight -= 1
            stream.close()

    def _handle_broken_stream(self, state, runner, claimed, exc):
        """Raise AttemptFailed for a stream that broke off.

        The run is followed again after the first break if the runner is
        reachable; otherwise the attempt counts as failed.
        """
        self._metrics.count('streams.broken')
        if exc.sent:
            self._mark_unsettled(state, runner)
        state.broken_streams += 1
        if state.broken_streams > 1 or not self._home_locator.is_reachable(
            runner
        ):
            runner.load.failed = True
            is_proved = not exc.sent and claimed.new
            state.failure = records.Failure(claimed.attempt, is_proved)
            if is_proved:
                self._discard_sent_record(state)
            state.avoided_runners.add(runner.entry.agent_id())
        refusal = verdicts.may_have_run(
            Reason.UNREACHABLE, f'the agent does not answer: {exc}', 500
        )
        raise request_state.AttemptFailed(
            state.weaken_verdict(refusal)
        ) from exc

    def _handle_end(self, state, runner, claimed, end):
        """Return the final response, or raise AttemptFailed."""
        if isinstance(end, verdicts.Refusal):
            return self._handle_runner_refusal(state, runner, claimed, end)
        if state.reservation and end.dispatch == state.dispatch:
            state.reservation.settle(end.spent, end.doubt)
            state.reservation = None
        if end.whole:
            return end
        refusal = end.refusal or verdicts.may_have_run(
            Reason.TARGET_FAILED, 'the run failed', 500
        )
        is_final = refusal.reason in (Reason.DEADLINE, Reason.DIVERGED)
        if is_final or not state.req.repeatable:
            return refusal
        state.may_have_run = True
        state.failure = records.Failure(claimed.attempt, True, end.crash)
        state.avoided_runners.add(runner.entry.agent_id())
        raise request_state.AttemptFailed(refusal)

    def _handle_runner_refusal(self, state, runner, claimed, refusal):
        """Raise AttemptFailed for an attempt that the runner has refused.

        The refusal proves that the attempt never ran there and never will.
        Another incarnation in the runner's place can't prove that, unless
        this claim was to start the attempt.
        """
        if refusal.reason is not Reason.SEALED:
            is_proved = claimed.new or refusal.reason is not Reason.REPLACED
            state.failure = records.Failure(claimed.attempt, is_proved)
            if claimed.new:
                self._discard_sent_record(state)
            state.avoided_runners.add(runner.entry.agent_id())
        if refusal.reason is Reason.OVERLOAD:
            state.pause_ms = RETRY_PAUSE_MS
        raise request_state.AttemptFailed(refusal)
