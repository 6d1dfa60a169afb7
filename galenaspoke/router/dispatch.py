"""Serving one request: limits, money, attempts, and the final answer."""

import gevent

from galenaspoke.core import limits
from galenaspoke.core import schema
from galenaspoke.core import verdicts
from galenaspoke.router import course as courses
from galenaspoke.router import treasury as treasuries
from galenaspoke.rpc import transport
from galenaspoke.rpc import messages
from galenaspoke.rpc import methods

Reason = verdicts.Reason
# How many peers are asked to serve what this router has no money for.
MOST_OFFERS = 3
# How often one request goes round, attempts that don't count included.
MOST_TURNS = 20


class Dispatcher:
    """Serves requests for one router."""

    __slots__ = (
        'open',
        'leaving',
        '_cfg',
        '_clock',
        '_config_manager',
        '_metrics',
        '_treasury',
        '_holders',
        '_members',
        '_navigator',
        '_unsettled',
        '_limits',
        '_retries',
    )

    def __init__(
        self,
        cfg,
        clock,
        config_manager,
        metrics,
        treasury,
        holders,
        members,
        navigator,
        unsettled,
    ):
        self._cfg = cfg
        self._clock = clock
        self._config_manager = config_manager
        self._metrics = metrics
        self._treasury = treasury
        self._holders = holders
        self._members = members
        self._navigator = navigator
        self._unsettled = unsettled
        self._limits = {}
        self._retries = {}
        self.open = 0
        self.leaving = False

    def serve(self, req, offered=False):
        """Yield the events of one request: Pieces, then End or a Refusal.

        With `offered` the request comes from another router that had no
        money for it; it is served from what this one has, or refused.
        """
        self._metrics.count('requests')
        course = courses.Course(req, self._clock.now() + req.deadline_ms)
        self.open += 1
        limit = None
        try:
            refusal = self._refuse(req)
            if refusal is None and not offered:
                limit = self._limit_of(req.account)
                wait_ms = limit.admit(self._clock.now())
                if wait_ms:
                    limit = None
                    refusal = verdicts.not_run(
                        Reason.ACCOUNT_LIMIT,
                        f'account {req.account} is over its limit',
                        wait_ms,
                    )
            if refusal is None:
                course.cost = self._cost(req)
                course.durable = not req.repeatable and self._durable(req)
                yield from self._attempts(course, offered)
            elif req.fresh:
                yield refusal
            elif req.service not in self._config_manager.config.services:
                course.maybe_ran = True
                yield course.refuse(refusal)
            else:
                # An earlier try of the caller may have been answered.
                course.look = refusal
                yield from self._attempts(course, offered)
        finally:
            self.open -= 1
            if limit is not None:
                limit.release()
            self._abandon(course)

    def _abandon(self, course):
        """Let go of what a course that ended early still has reserved."""
        reservation, course.reservation = course.reservation, None
        if reservation is None:
            return
        if course.sent_to is None:
            reservation.release()
        else:
            self._unsettled.add(course.sent_to, course.dispatch, reservation)

    def _refuse(self, req):
        config = self._config_manager.config
        if not config.generation:
            return verdicts.not_run(
                Reason.NO_TARGET, 'no configuration is in force yet', 500
            )
        if req.service not in config.services:
            return _bad(f'there is no service {req.service!r}')
        if req.account not in config.accounts:
            return _bad(f'there is no account {req.account!r}')
        if self._cost(req):
            budget = config.budgets.get(req.budget)
            if budget is None:
                return _bad(f'there is no budget {req.budget!r}')
            if budget.account != req.account:
                return _bad(
                    f'budget {req.budget} is not of account {req.account}'
                )
        policy = config.get_policy(config.accounts[req.account])
        model = config.services[req.service].kind == schema.MODEL
        if model and not 0 < req.max_tokens <= policy.max_tokens:
            return _bad(
                f'max_tokens {req.max_tokens} is not between 1 and'
                f' {policy.max_tokens}'
            )
        if self.open > self._cfg.most_requests:
            return verdicts.not_run(
                Reason.OVERLOAD, 'too many open requests', 500
            )
        return None

    def _durable(self, req):
        config = self._config_manager.config
        policy = config.get_policy(config.services[req.service])
        return policy.durable_claims

    def _cost(self, req):
        """Return the most a request can cost, in tokens."""
        service = self._config_manager.config.services[req.service]
        if service.kind == schema.MODEL:
            return req.max_tokens
        return service.call_cost

    def _limit_of(self, account):
        config = self._config_manager.config
        policy = config.get_policy(config.accounts[account])
        limit = self._limits.get(account)
        if limit is None or limit.policy != policy:
            limit = limits.AccountLimit(policy, self._clock.now())
            limit.open = getattr(self._limits.get(account), 'open', 0)
            self._limits[account] = limit
        return limit

    def _retries_of(self, account):
        percent = self._limit_of(account).policy.retry_percent
        budget = self._retries.get((account, percent))
        if budget is None:
            budget = limits.RetryBudget(percent)
            self._retries[account, percent] = budget
        return budget

    def _attempts(self, course, offered):
        last = None
        tries = 0
        retries = None
        if course.look is None:
            retries = self._retries_of(course.req.account)
            retries.record_request()
        for _ in range(MOST_TURNS):
            if self._navigator.left_ms(course) <= 0:
                yield course.refuse(_late(course))
                return
            if course.look is None and course.reservation is None:
                offers = self._get_money(course, not offered)
                if offers:
                    events = self._offer(course, offers)
                    if events is not None:
                        yield from events
                        return
                if course.look is not None and course.req.fresh:
                    yield course.refuse(course.look)
                    return
            try:
                yield from self._navigator.attempt(course)
                return
            except courses.Again as again:
                last = again.refusal
                tries += again.counts
                if last.reason is Reason.SEALED and course.holder:
                    self._sealed(course)
            if tries >= self._cfg.tries:
                break
            if retries and _is_fault(last) and not retries.take_retry():
                self._metrics.count('retries.denied')
                break
            gevent.sleep(course.pause_ms / 1000)
            course.pause_ms = 0
        self._metrics.count('refused.tries')
        yield course.refuse(last)

    def _sealed(self, course):
        self._holders.sealed(course.holder)
        if course.reservation:
            course.reservation.release()
            course.reservation = None

    def _get_money(self, course, ask_others):
        """Reserve; on failure set `course.look`, return likely helpers."""
        req = course.req
        cost = course.cost
        if not cost and self._holders.current:
            return ()
        left_ms = self._navigator.left_ms(course)
        got = self._treasury.reserve(req.budget, cost, left_ms, ask_others)
        if isinstance(got, treasuries.Reservation):
            course.reservation = got
            course.sent_to = None
            return ()
        course.look = got.refusal
        if not ask_others:
            return ()
        return self._helpers(got)

    def _helpers(self, no_money):
        """Return the routers to ask to serve the request instead."""
        if (
            self._cfg.grant_policy != 'demand'
            or no_money.refusal.reason is not Reason.BUDGET_UNREACHABLE
        ):
            return []
        peers = [
            self._members.router_of(holder) for holder in no_money.holders
        ]
        peers = [peer for peer in peers if peer is not None]
        others = [p for p in self._members.live_routers() if p not in peers]
        return (peers + others)[:MOST_OFFERS]

    def _offer(self, course, peers):
        """Let another router serve; return its events, or None."""
        for peer in peers:
            left_ms = max(1, self._navigator.left_ms(course))
            events = peer.channel.stream(
                methods.OFFER,
                messages.Offer(course.req),
                self._cfg.idle_ms,
                left_ms,
                self._cfg.first_answer_ms * 2,
            )
            try:
                first = next(events)
            except transport.PeerUnreachable as exc:
                if exc.sent:
                    course.maybe_ran = True
                continue
            except StopIteration:
                continue
            if isinstance(first, verdicts.Refusal) and first.reason in (
                Reason.BUDGET_EXHAUSTED,
                Reason.BUDGET_UNREACHABLE,
                Reason.LEAVING,
            ):
                continue
            self._metrics.count('offers.taken')
            return _relay(first, events)
        return None


def _is_fault(refusal):
    """Tell whether another attempt counts against the retry budget."""
    return refusal.reason in (Reason.TARGET_FAILED, Reason.UNREACHABLE)


def _relay(first, events):
    yield first
    try:
        yield from events
    except transport.PeerUnreachable as exc:
        yield verdicts.may_have_run(
            Reason.UNREACHABLE, f'the helping router is silent: {exc}', 500
        )


def _bad(detail):
    return verdicts.not_run(Reason.BAD_REQUEST, detail)


def _late(course):
    make = verdicts.not_run
    if course.maybe_ran or not course.req.fresh:
        make = verdicts.may_have_run
    return make(Reason.DEADLINE, 'the deadline passed', 0)
