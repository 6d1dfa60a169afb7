"""Making attempts: claim at the home, follow the run, judge how it ended.

Each attempt asks the request's home, which says where the request runs, and
follows the run there.  What ends an attempt decides whether there is another;
what is known of the attempts decides what the caller is told.
"""

import itertools

import msgspec

from galenaspoke.core import records
from galenaspoke.core import verdicts
from galenaspoke.router import course as courses
from galenaspoke.rpc import transport
from galenaspoke.rpc import messages
from galenaspoke.rpc import methods
from galenaspoke.utils import daemon

Reason = verdicts.Reason
# What a refused request waits before the next attempt.
PAUSE_MS = 50


class Navigator:
    """Makes attempts for one router."""

    __slots__ = (
        '_cfg',
        '_clock',
        '_members',
        '_homes',
        '_unsettled',
        '_metrics',
        '_name',
        '_numbers',
        '_sent',
        '_holder',
    )

    def __init__(
        self,
        cfg,
        clock,
        members,
        homes,
        unsettled,
        metrics,
        sent,
        holder,
    ):
        self._cfg = cfg
        self._clock = clock
        self._members = members
        self._homes = homes
        self._unsettled = unsettled
        self._metrics = metrics
        self._name = f'{cfg.name}.{daemon.new_incarnation()}'
        self._numbers = itertools.count(1)
        self._sent = sent
        self._holder = holder

    def attempt(self, course):
        """Make one attempt; yields Pieces and in the end End or Refusal.

        Raises Again when there may be another.
        """
        home = self._homes.find(course)
        propose = self._homes.propose(course, home)
        submit = self._submit(course, home, propose)
        stream = self._open(course, home, submit)
        course.home = home.entry.agent_id()
        answer = self._first(course, home, stream)
        if isinstance(answer, verdicts.Refusal):
            yield self._refused_by_home(course, home, propose, answer)
            return
        if answer.runner == home.entry.agent_id():
            runner = home
        else:
            stream.close()
            if not course.req.fresh:
                self._remember(
                    course, home, submit, answer.attempt, answer.runner
                )
            runner = self._runner(course, answer)
            stream = self._open(
                course, runner, self._to_runner(runner, submit, answer)
            )
        if not answer.new:
            self._release(course)
        if answer.attempt > 1 or not answer.new:
            course.maybe_ran = True
        yield from self._follow(course, runner, answer, stream)

    def left_ms(self, course):
        """Return the milliseconds until the deadline."""
        return course.until - self._clock.now()

    def _submit(self, course, home, propose):
        reservation = course.reservation
        course.holder = reservation.holder if reservation else self._holder()
        # A new name each time: what is kept from an attempt that is proved
        # not to have run is only the reservation.
        course.dispatch = f'{self._name}.{next(self._numbers)}'
        left_ms = max(1, self.left_ms(course))
        req = msgspec.structs.replace(course.req, deadline_ms=left_ms)
        return messages.Submit(
            to=home.entry.incarnation,
            request=req,
            dispatch=course.dispatch,
            holder=course.holder.name if course.holder else '',
            reserve=reservation.amount if reservation else 0,
            propose=propose,
            billable=course.billable,
            look=course.look is not None,
            skipped=sorted(course.skipped),
            failure=course.failure,
            resume=course.delivered,
        )

    def _to_runner(self, runner, submit, claimed):
        return msgspec.structs.replace(
            submit,
            to=runner.entry.incarnation,
            attempt=claimed.attempt,
            new=claimed.new,
            billable=claimed.billable,
            suspect=claimed.suspect,
        )

    def _open(self, course, peer, submit):
        if self._members.agents.get(peer.name()) is not peer:
            # It was lost a moment ago, and may have been vouched for.
            raise courses.Again(
                course.unproved(
                    Reason.UNREACHABLE, f'{peer.entry.name} has gone'
                )
            )
        course.sent_to = peer.entry
        if not (submit.look or submit.request.fresh):
            self._remember(course, peer, submit, max(1, submit.attempt))
        return peer.channel.stream(
            methods.SUBMIT,
            submit,
            self._cfg.idle_ms,
            max(1, self.left_ms(course)),
            self._cfg.first_answer_ms,
        )

    def _remember(self, course, peer, submit, attempt=1, runner=None):
        """Note that the request was sent there, to vouch if it is lost."""
        req = submit.request
        agent_id = peer.entry.agent_id()
        handed = messages.Handed(
            req.key, req.digest, req.place, attempt, runner or agent_id, False
        )
        news = self._sent.add(agent_id, handed)
        course.noted = agent_id if news else ''

    def _never_arrived(self, course):
        """Take back the note of a submission that is proved not to count."""
        if course.noted:
            self._sent.remove(course.noted, course.req.key)
            course.noted = ''

    def _first(self, course, home, stream):
        """Return the home's answer: Claimed or a Refusal."""
        try:
            return next(stream)
        except transport.PeerUnreachable as exc:
            home.load.failed = True
            if exc.sent:
                self._lost_track(course, home)
            else:
                course.home = None
                self._never_arrived(course)
            raise courses.Again(
                course.unproved(
                    Reason.UNREACHABLE, f'the home is silent: {exc}'
                )
            ) from exc

    def _lost_track(self, course, peer):
        """Leave a dispatch whose fate is unknown to the settling task."""
        course.maybe_ran = True
        if course.reservation:
            self._unsettled.add(
                peer.entry, course.dispatch, course.reservation
            )
            course.reservation = None

    def _release(self, course):
        if course.reservation:
            course.reservation.release()
            course.reservation = None

    def _refused_by_home(self, course, home, propose, refusal):
        """Return a final refusal, or raise Again."""
        if course.look is not None:
            if refusal.reason is Reason.UNKNOWN_KEY:
                return course.refuse(course.look)
            return verdicts.may_have_run(
                course.look.reason,
                course.look.detail,
                course.look.retry_after_ms,
            )
        course.home = None
        if refusal.verdict is verdicts.Verdict.NOT_RUN:
            self._never_arrived(course)
        if refusal.reason is Reason.LEAVING:
            course.gone.add(home.entry.agent_id())
            raise courses.Again(refusal, counts=False)
        if refusal.reason is Reason.SEALED:
            raise courses.Again(refusal, counts=False)
        if refusal.reason in (Reason.OVERLOAD, Reason.NO_TARGET):
            course.avoid.add(propose)
            raise courses.Again(refusal)
        if refusal.reason in (
            Reason.MOVED,
            Reason.REPLACED,
            Reason.UNREACHABLE,
        ):
            course.pause_ms = PAUSE_MS
            raise courses.Again(
                course.unproved(refusal.reason, refusal.detail),
                counts=refusal.reason is Reason.UNREACHABLE,
            )
        return course.refuse(refusal)

    def _runner(self, course, claimed):
        peer = self._members.agents_of(course.req.service).get(claimed.runner)
        if peer is not None and not peer.load.failed:
            return peer
        if peer is not None and self._homes.answers(peer):
            return peer
        # Only the runner could have proved that it billed nothing, unless
        # this very claim was to start it.
        course.failure = records.Failure(claimed.attempt, claimed.new)
        if not claimed.new:
            course.maybe_ran = True
        course.avoid.add(claimed.runner)
        make = verdicts.not_run if claimed.new else verdicts.may_have_run
        raise courses.Again(
            make(Reason.UNREACHABLE, f'{claimed.runner} is silent', 500)
        )

    def _follow(self, course, runner, claimed, stream):
        load = runner.load
        load.in_flight += 1
        try:
            for item in stream:
                if isinstance(item, messages.Pieces):
                    course.delivered.extend(item.pieces)
                    yield item
                else:
                    yield self._ended(course, runner, claimed, item)
                    return
            raise transport.PeerUnreachable('the stream has no end', True)
        except transport.PeerUnreachable as exc:
            self._broken(course, runner, claimed, exc)
        finally:
            load.in_flight -= 1
            stream.close()

    def _broken(self, course, runner, claimed, exc):
        """Decide what a stream that broke off means; raises Again."""
        self._metrics.count('streams.broken')
        if exc.sent:
            self._lost_track(course, runner)
        course.breaks += 1
        if course.breaks > 1 or not self._homes.answers(runner):
            runner.load.failed = True
            proved = not exc.sent and claimed.new
            course.failure = records.Failure(claimed.attempt, proved)
            if proved:
                self._never_arrived(course)
            course.avoid.add(runner.entry.agent_id())
        refusal = verdicts.may_have_run(
            Reason.UNREACHABLE, f'the target is silent: {exc}', 500
        )
        raise courses.Again(course.refuse(refusal)) from exc

    def _ended(self, course, runner, claimed, item):
        """Return the final answer, or raise Again."""
        if isinstance(item, verdicts.Refusal):
            return self._refused_by_runner(course, runner, claimed, item)
        if course.reservation and item.dispatch == course.dispatch:
            course.reservation.settle(item.spent, item.doubt)
            course.reservation = None
        if item.whole:
            return item
        refusal = item.refusal or verdicts.may_have_run(
            Reason.TARGET_FAILED, 'the run failed', 500
        )
        final = refusal.reason in (Reason.DEADLINE, Reason.DIVERGED)
        if final or not course.req.repeatable:
            return refusal
        course.maybe_ran = True
        course.failure = records.Failure(claimed.attempt, True, item.crash)
        course.avoid.add(runner.entry.agent_id())
        raise courses.Again(refusal)

    def _refused_by_runner(self, course, runner, claimed, refusal):
        """The runner says that this attempt never ran and never will.

        Another incarnation in its place can't say that, unless this very
        claim was to start it.
        """
        if refusal.reason is not Reason.SEALED:
            proved = claimed.new or refusal.reason is not Reason.REPLACED
            course.failure = records.Failure(claimed.attempt, proved)
            if claimed.new:
                self._never_arrived(course)
            course.avoid.add(runner.entry.agent_id())
        if refusal.reason is Reason.OVERLOAD:
            course.pause_ms = PAUSE_MS
        raise courses.Again(refusal)
