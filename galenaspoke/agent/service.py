"""What an agent does for routers: claim, run, tell, seal.

Between looking at the tables and changing them no function here waits, so
each decision is taken as a whole.
"""

import gevent
from grpclib import const
from grpclib import exceptions

from galenaspoke.core import schema
from galenaspoke.core import records
from galenaspoke.core import registry
from galenaspoke.core import runs as run_table
from galenaspoke.core import verdicts
from galenaspoke.rpc import messages
from galenaspoke.rpc import methods
from galenaspoke.store import client as store_client

_RETRY_LEAVING_MS = 1


class WrongIncarnation(exceptions.GRPCError):
    """A call was meant for another incarnation of this agent."""

    def __init__(self):
        super().__init__(const.Status.FAILED_PRECONDITION)


class AgentService:
    """The handlers of one agent's calls."""

    __slots__ = (
        '_leaving',
        '_cfg',
        '_incarnation',
        '_config_manager',
        '_membership',
        '_metrics',
        '_claims',
        '_durable',
        '_runs',
        '_holders',
        '_runner',
        '_clock',
    )

    def __init__(
        self, cfg, membership, config_manager, metrics, clock, tables
    ):
        self._cfg = cfg
        self._membership = membership
        self._incarnation = membership.incarnation
        self._config_manager = config_manager
        self._metrics = metrics
        self._clock = clock
        self._claims, self._durable, self._runs, *others = tables
        self._holders, self._runner = others
        self._leaving = False

    @property
    def leaving(self):
        """Whether no new work is taken: stopping, replaced or drained."""
        target = self._config_manager.config.targets.get(self._cfg.name)
        return self._leaving or (target is not None and target.drained)

    def leaving_for_good(self):
        """Tell whether this agent is stopping, rather than drained."""
        return self._leaving

    def leave(self):
        """Take no new work from now on."""
        self._leaving = True

    def get_handlers(self):
        """Return the calls served, each with its function."""
        return [
            (methods.SUBMIT, self.submit),
            (methods.ASK, self.ask),
            (methods.OUTCOME, self.outcome),
            (methods.SEAL, self.seal),
            (methods.STATUS, self.status),
            (methods.HAND_OVER, self.hand_over),
            (methods.INSTALL, self.install),
            (methods.NOTICE, self.notice),
        ]

    def submit(self, submit):
        """Claim, start or follow a request; yields messages.Event."""
        self._metrics.count('submits')
        if not self._meant(submit):
            yield verdicts.not_run(
                verdicts.Reason.REPLACED, 'another incarnation was meant', 1
            )
            return
        if not submit.look:
            refusal = self._admit(submit)
            if refusal:
                yield refusal
                return
        if submit.attempt == 0:
            yield from self._as_home(submit)
        elif submit.new:
            yield from self._as_runner(submit)
        else:
            run = self._runs.find_or_fence(submit.request.key, submit.attempt)
            yield from self._follow(run, submit)

    def _admit(self, submit):
        """Return why a holder may not spend here, or None if it may."""
        if submit.reserve:
            try:
                self._membership.mark_charging()
            except store_client.StoreError as exc:
                return verdicts.not_run(
                    verdicts.Reason.UNREACHABLE,
                    f'nothing was charged here before: {exc}',
                    1000,
                )
        return self._holders.admit(submit.holder)

    def _meant(self, message):
        joined = self._membership.registry is not None
        return joined and message.to == self._incarnation

    def _check_meant(self, message):
        if not self._meant(message):
            raise WrongIncarnation

    def _policy(self):
        config = self._config_manager.config
        service = config.services.get(self._cfg.service)
        return config.get_policy(service) if service else schema.DEFAULTS

    def _as_home(self, submit):
        req = submit.request
        policy = self._policy()
        refusal = self._refuse_new(submit, policy)
        if refusal is None and self._needs_durable(submit, policy):
            refusal = self._durable.claim(req.key)
            # The holder may have been sealed while the store was asked.
            refusal = refusal or self._holders.admit(submit.holder)
        if refusal:
            yield refusal
            return
        answer = self._claims.claim(
            req.key,
            req.digest,
            req.place,
            submit.propose,
            None if submit.look else submit.failure,
            req.repeatable,
            policy.poison_limit,
            submit.billable,
        )
        here = (
            isinstance(answer, records.Claimed)
            and answer.runner == self._membership.agent_id
        )
        claim = self._claims.find(req.key)
        if claim is not None and not req.fresh:
            claim.holders.add(submit.holder)
        run = None
        if here and answer.new:
            run = self._start(submit, answer.attempt, answer)
        elif here:
            run = self._runs.find_or_fence(req.key, answer.attempt)
        yield answer
        if run:
            yield from self._follow(run, submit)

    def _needs_durable(self, submit, policy):
        req = submit.request
        new = self._claims.find(req.key) is None
        return policy.durable_claims and new and not req.repeatable

    def _refuse_new(self, submit, policy):
        """Refuse a request that is new here and can't be taken now."""
        key = submit.request.key
        if self._claims.find(key) or self._claims.is_fenced(key):
            return None
        if not (submit.request.fresh or self._is_home(submit)):
            return verdicts.not_run(
                verdicts.Reason.MOVED, 'the request has another home', 1
            )
        if submit.look:
            return verdicts.not_run(
                verdicts.Reason.UNKNOWN_KEY, 'there is no such request here'
            )
        if self.leaving:
            self._claims.ask(key)
            return verdicts.not_run(
                verdicts.Reason.LEAVING,
                'the target is leaving',
                _RETRY_LEAVING_MS,
            )
        if submit.propose == self._membership.agent_id:
            return self._runner.refusal(submit.request, policy, False)
        return None

    def _is_home(self, submit):
        """Tell whether this agent is the home, by its own registry."""
        reg = registry.exclude_agents(
            self._membership.registry, submit.skipped
        )
        home = registry.placement(reg, submit.request.place).home
        return (
            home is not None and home.agent_id() == self._membership.agent_id
        )

    def _as_runner(self, submit):
        refusal = None
        if self.leaving:
            refusal = verdicts.not_run(
                verdicts.Reason.LEAVING, 'the target is leaving', 1
            )
        else:
            refusal = self._runner.refusal(
                submit.request, self._policy(), submit.suspect
            )
        if refusal:
            # What is refused must not start later either.
            self._runs.find_or_fence(submit.request.key, submit.attempt)
            yield refusal
            return
        run = self._start(submit, submit.attempt, submit)
        yield from self._follow(run, submit)

    def _start(self, submit, attempt, terms):
        key = submit.request.key
        run = self._runs.start(key, attempt, submit.dispatch)
        if run is None:
            return self._runs.find_or_fence(key, attempt)
        run.billable = terms.billable
        self._runner.start(run, submit)
        return run

    def _follow(self, run, submit):
        """Yield a run's pieces after those that were delivered, and its end.

        What was delivered may come from another attempt.  It is only gone on
        from if this one began with the very same pieces: an answer is never
        put together from two.
        """
        delivered = list(submit.resume)
        for pieces in run.follow(0):
            count = min(len(delivered), len(pieces))
            if pieces[:count] != delivered[:count]:
                break
            delivered = delivered[count:]
            if pieces[count:]:
                yield messages.Pieces(pieces[count:])
        else:
            if not delivered or run.state is not run_table.RunState.DONE:
                yield _end_of(run)
                return
        yield messages.End(
            False,
            len(run.pieces),
            '',
            0,
            0,
            refusal=verdicts.may_have_run(
                verdicts.Reason.DIVERGED,
                'another answer has taken its place; ask for it anew',
                1,
            ),
        )

    def ask(self, ask):
        """Tell a new home whether this agent keeps a key's record."""
        self._check_meant(ask)
        return messages.AskReply(self._claims.ask(ask.key) is not None)

    def outcome(self, ask):
        """Tell what a dispatch cost; one that never came is fenced."""
        self._check_meant(ask)
        run = self._runs.find_dispatch_or_fence(ask.dispatch)
        running = run.state is run_table.RunState.RUNNING
        return messages.OutcomeReply(running, run.spent, run.doubt)

    def seal(self, seal):
        """Take nothing more from a holder, and tell what it used."""
        self._check_meant(seal)
        self._metrics.count('seals')
        usage = self._holders.seal(seal.holder)
        return messages.SealReply(usage, self._sent_by_others(set(seal.live)))

    def _sent_by_others(self, live):
        """Return the records of all that holders not in `live` sent here."""
        agent_id = self._membership.agent_id
        sent = [
            messages.Handed(
                claim.key,
                claim.digest,
                claim.place,
                claim.attempt,
                claim.runner,
                False,
            )
            for claim in self._claims.every()
            if claim.holders - live
        ]
        known = {handed.key for handed in sent}
        sent += [
            messages.Handed(
                run.key, run.digest, run.place, run.attempt, agent_id, False
            )
            for run in self._runs.every()
            if run.has_caller_key
            and run.holder not in live
            and run.key not in known
            and run.state is not run_table.RunState.FENCED
        ]
        return sent

    def status(self, greeting):
        """Answer a heartbeat."""
        for holder in greeting.holders:
            if not self._holders.has_met(holder):
                gevent.spawn(self._holders.admit, holder)
        if greeting.version > self._membership.version():
            gevent.spawn(self._membership.refresh)
        return messages.AgentStatus(
            self._cfg.name,
            self._incarnation,
            self._config_manager.config.generation,
            self.leaving,
            self._runner.up,
            self._runner.load(),
        )

    def hand_over(self, hand_over):
        """Take over records whose home this agent is from now on."""
        self._check_meant(hand_over)
        rejected = 0
        for handed in hand_over.records:
            if self._claims.is_fenced(handed.key):
                rejected += 1
                continue
            self._claims.adopt(
                handed, hand_over.leaver, self._membership.agent_id
            )
            if handed.state is None:
                continue
            run = run_table.Run(handed.key, handed.attempt, handed.state)
            run.add(handed.pieces)
            run.refusal = handed.refusal
            run.finish(self._clock.now())
            self._runs.adopt(run)
        return messages.HandOverReply(rejected)

    def notice(self, box):
        """Take note of a newer registry."""
        self._membership.update_if_newer(box.registry)
        return messages.Empty()

    def install(self, box):
        """Take a configuration that a router pushes."""
        self._config_manager.update_if_newer(box.generation, box.raw)
        return messages.Empty()


def _end_of(run):
    """Return what is said when a run has ended."""
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
