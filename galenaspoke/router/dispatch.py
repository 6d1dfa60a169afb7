"""Serving one request: admission, reservation, attempts, final response."""

import gevent

from galenaspoke.core import limits
from galenaspoke.core import schema
from galenaspoke.core import verdicts
from galenaspoke.router import grant_manager as grant_managers
from galenaspoke.router import request_state
from galenaspoke.rpc import messages
from galenaspoke.rpc import methods
from galenaspoke.rpc import transport

Reason = verdicts.Reason
# How many routers are asked to serve a request that this router has no tokens
# for.
MAX_OFFERS = 3
# Maximum number of attempts at one request, including those that don't count
# against the setting `tries`.
MAX_ATTEMPTS = 20
DRAIN_POLL_INTERVAL_S = 0.05


class Dispatcher:
    """Serves requests for one router.

    `open_requests` counts the requests being served.  `is_stopping` is set
    when the router begins to stop.
    """

    __slots__ = (
        'open_requests',
        'is_stopping',
        '_is_drained',
        '_cfg',
        '_clock',
        '_config_manager',
        '_metrics',
        '_grant_manager',
        '_holders',
        '_peers',
        '_attempt_executor',
        '_unsettled',
        '_limits',
        '_retry_budgets',
    )

    def __init__(
        self,
        cfg,
        clock,
        config_manager,
        metrics,
        grant_manager,
        holders,
        peers,
        attempt_executor,
        unsettled,
    ):
        self._cfg = cfg
        self._clock = clock
        self._config_manager = config_manager
        self._metrics = metrics
        self._grant_manager = grant_manager
        self._holders = holders
        self._peers = peers
        self._attempt_executor = attempt_executor
        self._unsettled = unsettled
        self._limits = {}
        self._retry_budgets = {}
        self.open_requests = 0
        self.is_stopping = False
        self._is_drained = False

    def drain(self, timeout_ms):
        """Wait until no request is open, then refuse all later ones.

        Requests that are still open after `timeout_ms` go on.
        """
        deadline = self._clock.now() + timeout_ms
        while self.open_requests and self._clock.now() < deadline:
            gevent.sleep(DRAIN_POLL_INTERVAL_S)
        self._is_drained = True

    def serve(self, req, offered=False):
        """Yield the events of one request: Pieces, then an End or a Refusal.

        With `offered` the request comes from another router that could not
        reserve tokens for it.  It is served from this router's grants or
        refused, without asking a third router.
        """
        self._metrics.count('requests')
        state = request_state.RequestState(
            req, self._clock.now() + req.deadline_ms
        )
        if self._is_drained:
            yield state.make_refusal(
                Reason.LEAVING, 'this router is about to end'
            )
            return
        self.open_requests += 1
        limit = None
        try:
            refusal = self._check_request(req)
            if refusal is None and not offered:
                limit = self._get_limit(req.account)
                wait_ms = limit.admit(self._clock.now())
                if wait_ms:
                    limit = None
                    refusal = verdicts.not_run(
                        Reason.ACCOUNT_LIMIT,
                        f'account {req.account} is over its limit',
                        wait_ms,
                    )
            if refusal is None:
                state.max_cost = self._compute_max_cost(req)
                state.uses_durable_claim = (
                    not req.repeatable and self._has_durable_claims(req)
                )
                yield from self._run_attempts(state, offered)
            elif req.fresh:
                yield refusal
            elif req.service not in self._config_manager.config.services:
                # Without the service the home can't be found, so an earlier
                # try with this key can't be looked up.
                state.may_have_run = True
                yield state.weaken_verdict(refusal)
            else:
                # The caller chose the key, so an earlier try with it may
                # have been answered.
                state.lookup_refusal = refusal
                yield from self._run_attempts(state, offered)
        finally:
            self.open_requests -= 1
            if limit is not None:
                limit.release()
            self._release_abandoned(state)

    def _release_abandoned(self, state):
        """End the reservation of a request that ended early.

        It is released if it was never sent to an agent, else it is settled
        when the agent reports the outcome.
        """
        reservation, state.reservation = state.reservation, None
        if reservation is None:
            return
        if state.sent_to is None:
            reservation.release()
        else:
            self._unsettled.add(state.sent_to, state.dispatch, reservation)

    def _check_request(self, req):
        config = self._config_manager.config
        if not config.generation:
            return verdicts.not_run(
                Reason.NO_TARGET, 'no configuration is in force yet', 500
            )
        if req.service not in config.services:
            return _make_bad_request(f'there is no service {req.service!r}')
        if req.account not in config.accounts:
            return _make_bad_request(f'there is no account {req.account!r}')
        if self._compute_max_cost(req):
            budget = config.budgets.get(req.budget)
            if budget is None:
                return _make_bad_request(f'there is no budget {req.budget!r}')
            if budget.account != req.account:
                return _make_bad_request(
                    f'budget {req.budget} does not belong to account'
                    f' {req.account}'
                )
        policy = config.get_policy(config.accounts[req.account])
        is_model = config.services[req.service].kind == schema.MODEL
        if is_model and not 0 < req.max_tokens <= policy.max_tokens:
            return _make_bad_request(
                f'max_tokens {req.max_tokens} is not between 1 and'
                f' {policy.max_tokens}'
            )
        if self.open_requests > self._cfg.most_requests:
            return verdicts.not_run(
                Reason.OVERLOAD, 'too many open requests', 500
            )
        return None

    def _has_durable_claims(self, req):
        config = self._config_manager.config
        policy = config.get_policy(config.services[req.service])
        return policy.durable_claims

    def _compute_max_cost(self, req):
        """Return the most tokens that a request can cost."""
        service = self._config_manager.config.services[req.service]
        if service.kind == schema.MODEL:
            return req.max_tokens
        return service.call_cost

    def _get_limit(self, account):
        config = self._config_manager.config
        policy = config.get_policy(config.accounts[account])
        limit = self._limits.get(account)
        if limit is None or limit.policy != policy:
            limit = limits.AccountLimit(policy, self._clock.now())
            limit.open = getattr(self._limits.get(account), 'open', 0)
            self._limits[account] = limit
        return limit

    def _get_retry_budget(self, account):
        percent = self._get_limit(account).policy.retry_percent
        budget = self._retry_budgets.get((account, percent))
        if budget is None:
            budget = limits.RetryBudget(percent)
            self._retry_budgets[account, percent] = budget
        return budget

    def _run_attempts(self, state, offered):
        last = None
        tries = 0
        retry_budget = None
        if state.lookup_refusal is None:
            retry_budget = self._get_retry_budget(state.req.account)
            retry_budget.record_request()
        for _ in range(MAX_ATTEMPTS):
            if self._attempt_executor.remaining_ms(state) <= 0:
                yield state.weaken_verdict(_make_deadline_refusal(state))
                return
            if state.lookup_refusal is None and state.reservation is None:
                helpers = self._reserve(state, not offered)
                if helpers:
                    events = self._offer(state, helpers)
                    if events is not None:
                        yield from events
                        return
                if state.lookup_refusal is not None and state.req.fresh:
                    yield state.weaken_verdict(state.lookup_refusal)
                    return
            try:
                yield from self._attempt_executor.execute(state)
                return
            except request_state.AttemptFailed as exc:
                last = exc.refusal
                tries += exc.counts_as_try
                if last.reason is Reason.SEALED and state.holder:
                    self._handle_sealed(state)
            if tries >= self._cfg.tries:
                break
            if (
                retry_budget
                and _uses_retry_budget(last)
                and not retry_budget.take_retry()
            ):
                self._metrics.count('retries.denied')
                break
            gevent.sleep(state.pause_ms / 1000)
            state.pause_ms = 0
        self._metrics.count('refused.tries')
        yield state.weaken_verdict(last)

    def _handle_sealed(self, state):
        self._holders.handle_sealed(state.holder)
        if state.reservation:
            state.reservation.release()
            state.reservation = None

    def _reserve(self, state, ask_others):
        """Reserve tokens for a request.

        On failure, sets `state.lookup_refusal` and returns the routers that
        may be able to serve the request instead.
        """
        req = state.req
        max_cost = state.max_cost
        # A request that costs nothing needs a holder, but no reservation.
        if not max_cost and self._holders.current:
            return ()
        remaining_ms = self._attempt_executor.remaining_ms(state)
        reserved = self._grant_manager.reserve(
            req.budget, max_cost, remaining_ms, ask_others
        )
        if isinstance(reserved, grant_managers.Reservation):
            state.reservation = reserved
            state.sent_to = None
            return ()
        state.lookup_refusal = reserved.refusal
        if not ask_others:
            return ()
        return self._choose_helpers(reserved)

    def _choose_helpers(self, failure):
        """Return the routers to ask to serve the request instead."""
        if (
            self._cfg.grant_policy != 'demand'
            or failure.refusal.reason is not Reason.BUDGET_UNREACHABLE
        ):
            return []
        peers = [
            self._peers.find_router(name) for name in failure.holder_names
        ]
        peers = [peer for peer in peers if peer is not None]
        others = [p for p in self._peers.list_live_routers() if p not in peers]
        return (peers + others)[:MAX_OFFERS]

    def _offer(self, state, peers):
        """Offer a request to other routers; return the events, or None.

        None means that no router has accepted the offer.
        """
        for peer in peers:
            remaining_ms = max(1, self._attempt_executor.remaining_ms(state))
            events = peer.channel.stream(
                methods.OFFER,
                messages.Offer(state.req),
                self._cfg.idle_ms,
                remaining_ms,
                self._cfg.first_answer_ms * 2,
            )
            try:
                first = next(events)
            except transport.PeerUnreachable as exc:
                if exc.sent:
                    state.may_have_run = True
                continue
            if isinstance(first, verdicts.Refusal) and first.reason in (
                Reason.BUDGET_EXHAUSTED,
                Reason.BUDGET_UNREACHABLE,
                Reason.LEAVING,
            ):
                continue
            self._metrics.count('offers.taken')
            return _relay_events(first, events)
        return None


def _uses_retry_budget(refusal):
    """Return whether another attempt counts against the retry budget."""
    return refusal.reason in (Reason.TARGET_FAILED, Reason.UNREACHABLE)


def _relay_events(first, events):
    last = first
    try:
        yield first
        for last in events:
            yield last
        if isinstance(last, messages.Pieces):
            raise transport.PeerUnreachable(
                'the stream ended without an End message', True
            )
    except transport.PeerUnreachable as exc:
        yield verdicts.may_have_run(
            Reason.UNREACHABLE,
            f'the router that took over the request does not answer: {exc}',
            500,
        )
    finally:
        events.close()


def _make_bad_request(detail):
    return verdicts.not_run(Reason.BAD_REQUEST, detail)


def _make_deadline_refusal(state):
    make = verdicts.not_run
    if state.may_have_run or not state.req.fresh:
        make = verdicts.may_have_run
    return make(Reason.DEADLINE, 'the deadline passed', 0)
