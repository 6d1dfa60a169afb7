"""The course of one request: from its reservation to its final answer.

Each attempt asks the request's home, which says where the request runs, and
follows the run there.  What ends an attempt decides whether there is another;
what is known of the attempts decides what the caller is told.
"""

import itertools

import msgspec

from galenaspoke.core import records
from galenaspoke.core import registry
from galenaspoke.core import verdicts
from galenaspoke.rpc import bridge
from galenaspoke.rpc import messages
from galenaspoke.rpc import methods
from galenaspoke.utils import programs

Reason = verdicts.Reason
ASK_TIMEOUT_MS = 500
# What a refused request waits before the next attempt.
PAUSE_MS = 50


class Course:
    """One request's progress at this router."""

    __slots__ = (
        'req',
        'until',
        'reservation',
        'holder',
        'dispatch',
        'delivered',
        'failure',
        'home',
        'billable',
        'maybe_ran',
        'gone',
        'avoid',
        'look',
        'breaks',
        'pause_ms',
        'durable',
        'skipped',
        'sent_to',
        'noted',
    )

    def __init__(self, req, until):
        self.req = req
        self.until = until
        self.reservation = None
        # The identity under which it was last sent.
        self.holder = None
        self.dispatch = ''
        self.delivered = []
        self.failure = None
        # The home that was last sent the request, unless it said that it
        # has no record of it.
        self.home = None
        self.billable = True
        # Something was sent of which nobody said that it didn't run.
        self.maybe_ran = False
        # Homes that said that they will never have the record.
        self.gone = set()
        self.avoid = set()
        # A refusal to give if the home has no record of the request.
        self.look = None
        self.breaks = 0
        self.pause_ms = 0
        # The home claims the request in the store before it runs it.
        self.durable = False
        self.skipped = set()
        # The agent that has the dispatch, while its fate is open.
        self.sent_to = None
        # The agent that it was noted as sent to, if this was the first time.
        self.noted = ''

    def refuse(self, refusal):
        """Return a refusal that promises no more than is known."""
        if refusal.verdict is verdicts.Verdict.NOT_RUN and self.maybe_ran:
            return verdicts.may_have_run(
                refusal.reason, refusal.detail, refusal.retry_after_ms
            )
        return refusal


class Again(Exception):
    """An attempt came to nothing; there may be another."""

    def __init__(self, refusal, counts=True):
        super().__init__(refusal.detail)
        self.refusal = refusal
        self.counts = counts


class Navigator:
    """Makes attempts: finds the home, claims, follows the run."""

    __slots__ = (
        '_cfg',
        '_clock',
        '_members',
        '_choose',
        '_unsettled',
        '_generation',
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
        choose,
        unsettled,
        generation,
        metrics,
        sent,
        holder,
    ):
        self._cfg = cfg
        self._clock = clock
        self._members = members
        self._choose = choose
        self._unsettled = unsettled
        self._generation = generation
        self._metrics = metrics
        self._name = f'{cfg.name}.{programs.new_incarnation()}'
        self._numbers = itertools.count(1)
        self._sent = sent
        self._holder = holder

    def attempt(self, course):
        """Make one attempt; yields Pieces and in the end End or Refusal.

        Raises Again when there may be another.
        """
        home = self._find_home(course)
        propose = self._propose(course, home)
        submit = self._submit(course, home, propose)
        stream = self._open(course, home, submit)
        course.home = home.entry.ident()
        answer = self._first(course, home, stream)
        if isinstance(answer, verdicts.Refusal):
            yield self._refused_by_home(course, home, propose, answer)
            return
        if answer.runner == home.entry.ident():
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

    # Finding the home.

    def _find_home(self, course):
        req = course.req
        reg = self._members.registries.get(req.service)
        peers = self._members.agents_of(req.service)
        skipped = set(course.gone)
        reg = registry.without(reg or registry.Registry(), skipped)
        plan = registry.placement(reg, req.place)
        silent = plan.lost
        former = list(plan.former)
        home = peers.get(plan.home.ident()) if plan.home else None
        while home is not None and home.load.failed:
            # Its target may be down while it keeps its records.
            if self._answers(home):
                break
            silent = silent or home.entry.ident()
            skipped.add(home.entry.ident())
            reg = registry.without(reg, skipped)
            plan = registry.placement(reg, req.place)
            former += plan.former
            home = peers.get(plan.home.ident()) if plan.home else None
        if home is None:
            raise Again(
                self._unproved(
                    course, Reason.NO_TARGET, 'no target is to be reached'
                )
            )
        course.skipped = skipped
        if course.home == home.entry.ident():
            return home
        if course.home is None and req.fresh and not course.maybe_ran:
            return home
        # What is known of attempts is known to the home that they were
        # claimed at, and to no other.
        course.failure = None
        if course.durable:
            # Whoever has run it left a claim in the store.
            return home
        home, unasked = self._ask_former(req, home, former, peers)
        silent = silent or unasked
        if silent:
            self._without_record(course, silent)
        return home

    def _answers(self, peer):
        try:
            peer.channel.unary(
                methods.STATUS, messages.Greeting([]), ASK_TIMEOUT_MS
            )
        except bridge.PeerUnreachable:
            return False
        return True

    def _ask_former(self, req, home, former, peers):
        """Return the home, or the former one that keeps the record."""
        unasked = ''
        for entry in former:
            peer = peers.get(entry.ident())
            if peer is home:
                continue
            try:
                if peer is None:
                    raise bridge.PeerUnreachable('not known yet', False)
                known = peer.channel.unary(
                    methods.ASK,
                    messages.Ask(entry.incarnation, req.key),
                    ASK_TIMEOUT_MS,
                )
            except bridge.PeerUnreachable:
                unasked = unasked or entry.ident()
                continue
            if known.known:
                return peer, ''
        return home, unasked

    def _without_record(self, course, silent):
        """Go on although a former home's record can't be had, or not."""
        if not course.req.repeatable:
            refusal = verdicts.may_have_run(
                Reason.RECORD_LOST,
                f'{silent}, which may have run it, can not be asked',
                1000,
            )
            raise Again(refusal, counts=True)
        course.billable = False

    def _propose(self, course, home):
        """Return the name of the agent to run at."""
        peers = self._members.agents_of(course.req.service)
        loads = {
            name: peer.load
            for name, peer in peers.items()
            if name not in course.avoid
        }
        name = self._choose(home.entry.ident(), loads)
        if name is None and course.look is None:
            course.avoid.clear()
            raise Again(
                self._unproved(
                    course, Reason.OVERLOAD, 'no target takes requests now'
                )
            )
        return name or home.entry.ident()

    def _unproved(self, course, reason, detail):
        """Return a refusal for a request that no home was asked about."""
        make = verdicts.not_run
        if course.maybe_ran or not course.req.fresh:
            make = verdicts.may_have_run
        return make(reason, detail, 500)

    # Sending.

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
            generation=self._generation(),
            billable=course.billable,
            look=course.look is not None,
            skipped=sorted(course.skipped),
            failure=course.failure,
            skip=len(course.delivered),
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
            raise Again(
                self._unproved(
                    course, Reason.UNREACHABLE, f'{peer.entry.name} has gone'
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
        ident = peer.entry.ident()
        handed = messages.Handed(
            req.key, req.digest, req.place, attempt, runner or ident, False
        )
        news = self._sent.add(ident, handed)
        course.noted = ident if news else ''

    def _never_arrived(self, course):
        """Take back the note of a submission that is proved not to count."""
        if course.noted:
            self._sent.remove(course.noted, course.req.key)
            course.noted = ''

    def _first(self, course, home, stream):
        """Return the home's answer: Claimed or a Refusal."""
        try:
            return next(stream)
        except bridge.PeerUnreachable as exc:
            home.load.failed = True
            if exc.sent:
                self._lost_track(course, home)
            else:
                course.home = None
                self._never_arrived(course)
            raise Again(
                self._unproved(
                    course, Reason.UNREACHABLE, f'the home is silent: {exc}'
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
                return course.look
            return verdicts.may_have_run(
                course.look.reason,
                course.look.detail,
                course.look.retry_after_ms,
            )
        course.home = None
        if refusal.verdict is verdicts.Verdict.NOT_RUN:
            self._never_arrived(course)
        if refusal.reason is Reason.LEAVING:
            course.gone.add(home.entry.ident())
            raise Again(refusal, counts=False)
        if refusal.reason is Reason.SEALED:
            raise Again(refusal, counts=False)
        if refusal.reason in (Reason.OVERLOAD, Reason.NO_TARGET):
            course.avoid.add(propose)
            raise Again(refusal)
        if refusal.reason in (
            Reason.MOVED,
            Reason.REPLACED,
            Reason.UNREACHABLE,
        ):
            course.pause_ms = PAUSE_MS
            raise Again(
                self._unproved(course, refusal.reason, refusal.detail),
                counts=refusal.reason is Reason.UNREACHABLE,
            )
        return course.refuse(refusal)

    def _runner(self, course, claimed):
        peer = self._members.agents_of(course.req.service).get(claimed.runner)
        if peer is not None and not peer.load.failed:
            return peer
        if peer is not None and self._answers(peer):
            return peer
        # Only the runner could have proved that it billed nothing, unless
        # this very claim was to start it.
        course.failure = records.Failure(claimed.attempt, claimed.new)
        if not claimed.new:
            course.maybe_ran = True
        course.avoid.add(claimed.runner)
        make = verdicts.not_run if claimed.new else verdicts.may_have_run
        raise Again(
            make(Reason.UNREACHABLE, f'{claimed.runner} is silent', 500)
        )

    # Following.

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
            raise bridge.PeerUnreachable('the stream has no end', True)
        except bridge.PeerUnreachable as exc:
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
        if course.breaks > 1 or not self._answers(runner):
            runner.load.failed = True
            proved = not exc.sent and claimed.new
            course.failure = records.Failure(claimed.attempt, proved)
            if proved:
                self._never_arrived(course)
            course.avoid.add(runner.entry.ident())
        refusal = verdicts.may_have_run(
            Reason.UNREACHABLE, f'the target is silent: {exc}', 500
        )
        raise Again(course.refuse(refusal)) from exc

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
        if refusal.reason is Reason.DEADLINE or not course.req.repeatable:
            return refusal
        course.maybe_ran = True
        course.failure = records.Failure(claimed.attempt, True, item.crash)
        course.avoid.add(runner.entry.ident())
        raise Again(refusal)

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
            course.avoid.add(runner.entry.ident())
        if refusal.reason is Reason.OVERLOAD:
            course.pause_ms = PAUSE_MS
        raise Again(refusal)
