"""The agent's RPC service for routers.

Routers claim and run requests here, ask what a dispatch cost, and seal the
holders of routers that are gone.  A dispatch is one submission of a request by
a router.

Between reading the tables and changing them, no function yields to another
greenlet, so each decision is atomic.  The exception is a new request that
needs a durable claim: the store call comes between, and its holder is checked
again afterwards.
"""

import gevent
from grpclib import const
from grpclib import exceptions

from galenaspoke.agent import handed_records
from galenaspoke.agent import run_streams
from galenaspoke.core import records
from galenaspoke.core import registry
from galenaspoke.core import runs as run_table
from galenaspoke.core import schema
from galenaspoke.core import verdicts
from galenaspoke.rpc import messages
from galenaspoke.rpc import methods
from galenaspoke.store import client as store_client


class WrongIncarnation(exceptions.GRPCError):
    """A call was addressed to another incarnation of this agent."""

    def __init__(self):
        super().__init__(const.Status.FAILED_PRECONDITION)


class AgentService:
    """The RPC handlers of one agent.

    An agent is leaving while it refuses new work: it is stopping (also after
    it was replaced), or its target is drained.
    """

    __slots__ = (
        '_is_stopping',
        '_cfg',
        '_incarnation',
        '_config_manager',
        '_membership',
        '_metrics',
        '_claims',
        '_durable_claims',
        '_runs',
        '_holders',
        '_runner',
        '_clock',
    )

    def __init__(
        self, cfg, membership, config_manager, metrics, clock, components
    ):
        self._cfg = cfg
        self._membership = membership
        self._incarnation = membership.incarnation
        self._config_manager = config_manager
        self._metrics = metrics
        self._clock = clock
        self._claims, self._durable_claims, self._runs, *rest = components
        self._holders, self._runner = rest
        self._is_stopping = False

    @property
    def is_leaving(self):
        """Whether new work is refused (see the class)."""
        target = self._config_manager.config.targets.get(self._cfg.name)
        return self._is_stopping or (target is not None and target.drained)

    def is_stopping(self):
        """Return whether this agent has begun to stop; not if only drained."""
        return self._is_stopping

    def begin_stop(self):
        """Refuse new work from now on."""
        self._is_stopping = True

    def get_handlers(self):
        """Return (method, handler) pairs for the RPC server."""
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
        """Claim, start or follow a request; yield messages.Event."""
        self._metrics.count('submits')
        if not self._is_addressed(submit):
            yield verdicts.not_run(
                verdicts.Reason.REPLACED, 'addressed to another incarnation', 1
            )
            return
        if not submit.look:
            refusal = self._check_holder(submit)
            if refusal:
                yield refusal
                return
        if submit.attempt == 0:
            yield from self._submit_as_home(submit)
        elif submit.new:
            yield from self._submit_as_runner(submit)
        else:
            run = self._runs.find_or_fence(submit.request.key, submit.attempt)
            yield from run_streams.follow(run, submit.resume)

    def _check_holder(self, submit):
        """Return a Refusal if the holder may not spend here, else None."""
        if submit.reserve:
            try:
                self._membership.ensure_charging()
            except store_client.StoreError as exc:
                return verdicts.not_run(
                    verdicts.Reason.UNREACHABLE,
                    f'this agent could not be marked as charging: {exc}',
                    1000,
                )
        return self._holders.check_admission(submit.holder)

    def _is_addressed(self, message):
        has_joined = self._membership.registry is not None
        return has_joined and message.to == self._incarnation

    def _check_addressed(self, message):
        if not self._is_addressed(message):
            raise WrongIncarnation

    def _get_policy(self):
        config = self._config_manager.config
        service = config.services.get(self._cfg.service)
        return config.get_policy(service) if service else schema.DEFAULTS

    def _submit_as_home(self, submit):
        req = submit.request
        policy = self._get_policy()
        refusal = self._check_new(submit, policy)
        if refusal is None and self._needs_durable_claim(submit, policy):
            refusal = self._claim_durably(submit, policy)
        if refusal:
            yield refusal
            return
        claim_reply = self._claims.claim(
            req.key,
            req.digest,
            req.place,
            submit.propose,
            None if submit.look else submit.failure,
            req.repeatable,
            policy.poison_limit,
            submit.billable,
        )
        runs_here = (
            isinstance(claim_reply, records.Claimed)
            and claim_reply.runner == self._membership.agent_id
        )
        claim = self._claims.find(req.key)
        if claim is not None and not req.fresh:
            claim.holders.add(submit.holder)
        run = None
        if runs_here and claim_reply.new:
            run = self._start_run(submit, claim_reply.attempt, claim_reply)
        elif runs_here:
            run = self._runs.find_or_fence(req.key, claim_reply.attempt)
        yield claim_reply
        if run:
            yield from run_streams.follow(run, submit.resume)

    def _claim_durably(self, submit, policy):
        """Claim a new request in the store; return a Refusal or None.

        During the store call the holder may have been sealed, and this agent
        may have begun to stop.
        """
        key = submit.request.key
        refusal = self._durable_claims.claim(key)
        if refusal:
            return refusal
        if self.is_leaving and self._claims.find(key) is None:
            refusal = self._refuse_as_leaving(key)
            # The fence keeps the key from ever being run here.
            self._durable_claims.expire([key])
            return refusal
        return self._holders.check_admission(submit.holder)

    def _needs_durable_claim(self, submit, policy):
        req = submit.request
        is_new = self._claims.find(req.key) is None
        return policy.durable_claims and is_new and not req.repeatable

    def _check_new(self, submit, policy):
        """Return a Refusal if a request new to this home can't be claimed.

        Returns None if it can, and for a request that is not new.
        """
        key = submit.request.key
        if self._claims.find(key) or self._claims.is_fenced(key):
            return None
        if not (submit.request.fresh or self._is_home(submit)):
            return verdicts.not_run(
                verdicts.Reason.MOVED, 'the request has another home', 1
            )
        if submit.look:
            return verdicts.not_run(
                verdicts.Reason.UNKNOWN_KEY, 'no record of this request'
            )
        if self.is_leaving:
            return self._refuse_as_leaving(key)
        if submit.propose == self._membership.agent_id:
            return self._runner.check_admission(submit.request, policy, False)
        return None

    def _refuse_as_leaving(self, key):
        """Fence a key; return the Refusal of its request."""
        self._claims.find_or_fence(key)
        return verdicts.not_run(
            verdicts.Reason.LEAVING,
            'the target is stopping or drained',
            handed_records.LEAVING_RETRY_MS,
        )

    def _is_home(self, submit):
        """Return whether this agent is the home according to its registry."""
        reg = registry.exclude_agents(
            self._membership.registry, submit.skipped
        )
        home = registry.placement(reg, submit.request.place).home
        return (
            home is not None and home.agent_id() == self._membership.agent_id
        )

    def _submit_as_runner(self, submit):
        refusal = None
        if self.is_leaving:
            refusal = verdicts.not_run(
                verdicts.Reason.LEAVING, 'the target is stopping or drained', 1
            )
        else:
            refusal = self._runner.check_admission(
                submit.request, self._get_policy(), submit.suspect
            )
        if refusal:
            # Fence the attempt, so that a refused one can't start later.
            self._runs.find_or_fence(submit.request.key, submit.attempt)
            yield refusal
            return
        run = self._start_run(submit, submit.attempt, submit)
        yield from run_streams.follow(run, submit.resume)

    def _start_run(self, submit, attempt, claim_or_submit):
        """Start a run, or return the one that was started or fenced before.

        `claim_or_submit` is the Claimed or Submit whose `billable` applies.
        """
        key = submit.request.key
        run = self._runs.start(key, attempt, submit.dispatch)
        if run is None:
            return self._runs.find_or_fence(key, attempt)
        run.billable = claim_or_submit.billable
        self._runner.start(run, submit)
        return run

    def ask(self, ask):
        """Return whether this agent has a key's record; fence the key if not.

        Routers call this on former homes before a new home claims the key.
        """
        self._check_addressed(ask)
        return messages.AskReply(
            self._claims.find_or_fence(ask.key) is not None
        )

    def outcome(self, req):
        """Return what a dispatch cost; fence it if it never arrived."""
        self._check_addressed(req)
        run = self._runs.find_dispatch_or_fence(req.dispatch)
        is_running = run.state is run_table.RunState.RUNNING
        return messages.OutcomeReply(is_running, run.spent, run.doubt)

    def seal(self, seal):
        """Refuse further requests from a holder; return its usage.

        The reply also contains the records of requests from holders that are
        not in `seal.live`.
        """
        self._check_addressed(seal)
        self._metrics.count('seals')
        usage = self._holders.seal(seal.holder)
        records_of_gone_holders = handed_records.list_of_gone_holders(
            self._membership.agent_id,
            self._claims.list_all(),
            self._runs.list_all(),
            set(seal.live),
        )
        return messages.SealReply(usage, records_of_gone_holders)

    def status(self, heartbeat):
        """Answer a heartbeat; look up new holders and a newer registry."""
        for holder in heartbeat.holders:
            if not self._holders.is_known(holder):
                gevent.spawn(self._holders.check_admission, holder)
        if heartbeat.version > self._membership.get_registry_version():
            gevent.spawn(self._membership.refresh)
        return messages.AgentStatus(
            self._cfg.name,
            self._incarnation,
            self._config_manager.config.generation,
            self.is_leaving,
            self._runner.is_up,
            self._runner.get_load(),
        )

    def hand_over(self, hand_over):
        """Adopt records of which this agent is the new home.

        Records of fenced keys are rejected and counted in the reply.
        """
        self._check_addressed(hand_over)
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
            run = handed_records.make_run(handed)
            run.finish(self._clock.now())
            self._runs.adopt(run)
        return messages.HandOverReply(rejected)

    def notice(self, snapshot):
        """Accept a registry, if it is newer.

        It is sent by `Membership.notify_others` of another agent or by a
        router.
        """
        self._membership.accept_registry(snapshot.registry)
        return messages.Empty()

    def install(self, snapshot):
        """Install a configuration pushed by a router, if it is newer."""
        self._config_manager.update_if_newer(snapshot.generation, snapshot.raw)
        return messages.Empty()
