"""A router's grants: drawing them, reserving tokens, returning a surplus.

A holder draws a grant from the ledger before it spends, and requests reserve
tokens from the grant without another write to the store.
"""

import random

import gevent
import msgspec

from galenaspoke.core import grants
from galenaspoke.core import ledger
from galenaspoke.core import verdicts
from galenaspoke.router import page_writer
from galenaspoke.store import client as store_client

DRAW_TIMEOUT_S = 1.0
# Minimum pause of a budget's draws after one that found too few free tokens.
SHORTAGE_PAUSE_MS = 20
# A surplus of at most 1/RETURN_DIVISOR of a grant is not worth a write, unless
# the grant is idle.
RETURN_DIVISOR = 4
# After a shortage, a budget is not drawn ahead for this long.
DRAW_AHEAD_PAUSE_MS = 2000
# How many draws one reservation may wait for.
MAX_DRAWS = 8
# A draw that granted less than this share of the demand counts as a shortage.
MIN_DRAW_SHARE = 0.1


class Reservation:
    """Tokens set aside for one request under one holder."""

    __slots__ = ('holder', 'budget', 'amount', '_is_open')

    def __init__(self, holder, budget, amount):
        self.holder = holder
        self.budget = budget
        self.amount = amount
        self._is_open = True

    def settle(self, spent, doubt=0):
        """Settle the reservation; do nothing if it has been settled."""
        if self._is_open:
            self._is_open = False
            self.holder.book.settle(self.budget, self.amount, spent, doubt)

    def release(self):
        """Settle the reservation with nothing spent."""
        self.settle(0)


class ReservationFailure:
    """Why a reservation failed, and the holders that may have tokens left."""

    __slots__ = ('refusal', 'holder_names')

    def __init__(self, refusal, holder_names=()):
        self.refusal = refusal
        self.holder_names = holder_names


class DrawResult(msgspec.Struct, frozen=True):
    """The result of a draw.

    `amount` tokens were granted, of `free_tokens` that were free before.
    `others` are other holders with tokens left, set only if nothing was
    granted.
    """

    amount: int
    free_tokens: int
    others: tuple[str, ...]


class GrantManager:
    """Reserves tokens of any budget for one router.

    `request_release` is called with a budget and the names of other holders;
    it asks them to return what they don't need, and returns 0 if no tokens
    were freed, else a positive number.  `count_routers` returns the number of
    live routers, this one included.
    """

    __slots__ = (
        'request_release',
        'count_routers',
        '_cfg',
        '_holders',
        '_clock',
        '_metrics',
    )

    def __init__(self, cfg, holders, clock, metrics):
        self._cfg = cfg.router
        self._holders = holders
        self._clock = clock
        self._metrics = metrics
        self.request_release = lambda budget, holder_names: 0
        self.count_routers = lambda: 1

    def reserve(self, budget, amount, wait_ms, ask_others=True):
        """Return a Reservation, or a ReservationFailure with the reason.

        Waits for draws until `wait_ms` have passed; requests to other holders
        are not bounded by it.  With `ask_others` false no other holder is
        asked to return tokens.
        """
        deadline = self._clock.now() + wait_ms
        drawn = None
        for draw_number in range(MAX_DRAWS):
            holder = self._holders.wait_for_holder()
            if holder is None:
                return self._refuse_unreachable(
                    budget,
                    'this router has not registered a holder in the store',
                )
            if draw_number == 0:
                holder.book.record_demand(budget, amount)
            if holder.book.reserve(budget, amount):
                return Reservation(holder, budget, amount)
            timeout_s = min(
                DRAW_TIMEOUT_S, (deadline - self._clock.now()) / 1000
            )
            try:
                drawn = self._draw(holder, budget, amount, max(0, timeout_s))
            except page_writer.HolderSealed:
                self._holders.handle_sealed(holder)
                continue
            except (
                store_client.StoreError,
                page_writer.WritePending,
                gevent.Timeout,
            ) as exc:
                return self._refuse_unreachable(budget, str(exc))
            if isinstance(drawn, ledger.LedgerError):
                return self._refuse_exhausted(str(drawn), ())
            missing = amount - holder.book.available(budget)
            if drawn.amount == 0 and drawn.free_tokens < missing:
                others = drawn.others if ask_others else ()
                if not others or not self.request_release(budget, others):
                    break
        holder = self._holders.current
        if holder and holder.book.reserve(budget, amount):
            return Reservation(holder, budget, amount)
        if drawn is None:
            return self._refuse_unreachable(
                budget, 'the holder was sealed on every attempt to draw'
            )
        return self._refuse_exhausted(
            f'{drawn.free_tokens} tokens left', drawn.others
        )

    def _refuse_exhausted(self, detail, others):
        self._metrics.count('refused.budget')
        return ReservationFailure(
            verdicts.not_run(verdicts.Reason.BUDGET_EXHAUSTED, detail, 1000),
            others,
        )

    def _refuse_unreachable(self, budget, detail):
        self._metrics.count('refused.unreachable')
        return ReservationFailure(
            verdicts.not_run(verdicts.Reason.BUDGET_UNREACHABLE, detail, 1000),
            self._list_likely_holders(budget),
        )

    def _list_likely_holders(self, budget):
        """Return other routers' holders, by unspent tokens, most first.

        Uses the budget's page as last read, which may be stale.
        """
        holder = self._holders.current
        page = (
            self._holders.get_writer(holder, budget).get_last_page()
            if holder
            else None
        )
        if page is None or budget not in page.entries:
            return ()
        if self._cfg.grant_policy != 'demand':
            return ()
        held = page.entries[budget].grants
        own = self._holders.get_holder_names()
        names = [name for name in held if name not in own]
        names.sort(key=lambda name: held[name].spent - held[name].granted)
        return tuple(names)

    def _draw(self, holder, budget, need, timeout_s):
        """Wait for a draw; return its DrawResult or a LedgerError.

        Requests that wait at the same time share one draw.
        """
        balance = holder.book.get_balance(budget)
        balance.waiting_tokens += need
        try:
            change = holder.last_draws.get(budget)
            # The result of a finished draw may be out of date.
            if change is None or change.result.ready():
                self._pause_after_shortage(balance)
                change = holder.last_draws.get(budget)
            if change is None or change.result.ready():
                change = self._start_draw(holder, budget, balance, need)
            return change.result.get(timeout=timeout_s)
        finally:
            balance.waiting_tokens -= need

    def _pause_after_shortage(self, balance):
        """Sleep until SHORTAGE_PAUSE_MS after the last shortage.

        This limits the load on the store while a budget is short.
        """
        since = self._clock.now() - balance.last_shortage_at
        if since < SHORTAGE_PAUSE_MS:
            gevent.sleep((SHORTAGE_PAUSE_MS - since) / 1000)

    def _start_draw(self, holder, budget, balance, need):
        demand = holder.book.forecast_demand(
            budget, self._cfg.grant_horizon_ms
        )

        def apply(page):
            if holder.is_closing:
                # Reported as no shortage: the request draws again, under the
                # holder that has replaced this one.
                return page_writer.Unchanged(
                    DrawResult(0, ledger.MAX_TOKENS, ())
                )
            missing = max(1, need - balance.available())
            waiting = max(
                missing, balance.waiting_tokens - balance.available()
            )
            entry = page.entries.get(budget)
            free = entry.free_tokens() if entry else 0
            want = self._compute_draw_amount(
                entry, balance, waiting, demand, free
            )
            amount = ledger.draw(page, budget, holder.name, missing, want)
            if amount:
                return DrawResult(amount, free, ())
            others = self._list_other_holders(entry)
            return page_writer.Unchanged(DrawResult(0, free, others))

        def on_done(outcome):
            if not isinstance(outcome, DrawResult):
                return
            if outcome.amount < MIN_DRAW_SHARE * demand:
                balance.last_shortage_at = self._clock.now()
            if not outcome.amount:
                return
            holder.book.record_grant(budget, outcome.amount)
            self._metrics.count('grants.drawn')

        change = self._holders.get_writer(holder, budget).submit(
            apply, on_done
        )
        holder.last_draws[budget] = change
        return change

    def _list_other_holders(self, entry):
        """Return the other holders with unspent tokens, in random order."""
        if self._cfg.grant_policy != 'demand':
            return ()
        own = self._holders.get_holder_names()
        others = [
            name
            for name, grant in entry.grants.items()
            if name not in own and grant.granted > grant.spent + grant.doubt
        ]
        random.shuffle(others)
        return tuple(others)

    def _compute_draw_amount(self, entry, balance, waiting, demand, free):
        """Return the tokens to ask for under the configured grant policy."""
        policy = self._cfg.grant_policy
        if policy == 'request':
            return waiting
        if policy == 'fixed':
            return max(waiting, min(self._cfg.grant_fixed, free))
        if policy == 'equal':
            share = entry.limit // self.count_routers() if entry else 0
            return max(0, share - balance.granted)
        return grants.compute_draw_size(
            waiting, demand, free, self.count_routers()
        )

    def draw_ahead(self):
        """Draw for budgets with less than half of the forecast available.

        At least half of the demand within the grant horizon is then available
        when the store fails.  Does nothing unless the policy is `demand`.
        """
        holder = self._holders.current
        if holder is None or self._cfg.grant_policy != 'demand':
            return
        for budget in holder.book.budgets():
            balance = holder.book.get_balance(budget)
            demand = holder.book.forecast_demand(
                budget, self._cfg.grant_horizon_ms
            )
            missing = demand - balance.available()
            had_recent_shortage = (
                self._clock.now() - balance.last_shortage_at
                < DRAW_AHEAD_PAUSE_MS
            )
            change = holder.last_draws.get(budget)
            is_drawing = change is not None and not change.result.ready()
            if (
                missing * 2 > demand
                and not had_recent_shortage
                and not is_drawing
            ):
                self._start_draw(
                    holder, budget, balance, balance.available() + 1
                )

    def return_surplus(self):
        """Return the tokens of each budget that are not needed here."""
        holder = self._holders.current
        if holder is None or self._cfg.grant_policy == 'equal':
            return
        for budget in holder.book.budgets():
            balance = holder.book.get_balance(budget)
            is_idle = (
                self._clock.now() - balance.last_used_at
                > self._cfg.grant_idle_ms
            )
            demand = 2 * holder.book.forecast_demand(
                budget, self._cfg.grant_horizon_ms
            )
            keep = grants.compute_grant_to_keep(balance, is_idle, demand)
            surplus = balance.granted - keep
            if surplus * RETURN_DIVISOR > balance.granted or (
                is_idle and surplus
            ):
                self._holders.return_tokens(holder, budget, surplus)

    def release(self, budget):
        """Return all unreserved tokens of a budget to the ledger.

        Returns their number, or at least 1 if an earlier return was still
        being written: its tokens are in the store when this call ends, so
        that others can draw them.  A write that fails or is late counts as 0.
        """
        holder = self._holders.current
        if holder is None or budget not in holder.book.budgets():
            return 0
        if self._cfg.grant_policy == 'equal':
            return 0
        draw = holder.last_draws.get(budget)
        if draw is not None:
            # The draw may bring more tokens than are needed here.
            draw.result.wait(timeout=DRAW_TIMEOUT_S)
        surplus = holder.book.available(budget)
        if surplus > 0:
            self._holders.return_tokens(holder, budget, surplus)
        change = holder.last_returns.get(budget)
        if change is None or (surplus <= 0 and change.result.ready()):
            return 0
        try:
            change.result.get(timeout=DRAW_TIMEOUT_S)
        except (
            store_client.StoreError,
            page_writer.WritePending,
            gevent.Timeout,
        ):
            return 0
        except page_writer.HolderSealed:
            self._holders.handle_sealed(holder)
            return 0
        return max(1, surplus)

    def dump_state(self):
        """Return the holder and its budgets for the state dump."""
        holder = self._holders.current
        if holder is None:
            return {'holder': None}
        budgets = {}
        for budget in holder.book.budgets():
            balance = holder.book.get_balance(budget)
            budgets[budget] = {
                'granted': balance.granted,
                'reserved': balance.reserved,
                'spent': balance.spent,
                'in_doubt': balance.doubt,
                'available': balance.available(),
            }
        return {'holder': holder.name, 'budgets': budgets}
