"""A router's money: drawing grants, reserving from them, giving back."""

import random

import gevent
import msgspec

from galenaspoke.core import grants
from galenaspoke.core import ledger
from galenaspoke.core import verdicts
from galenaspoke.router import page_writer
from galenaspoke.store import client as store_client

DRAW_TIMEOUT_S = 1.0
# A draw that found too little is not repeated before this time.
SCARCE_PAUSE_MS = 20
# Less than this share of a grant is not worth a write to give back.
RETURN_SHARE = 4
# A budget that had too little is not drawn ahead from before this time.
REFILL_PAUSE_MS = 2000
MOST_DRAWS = 8
# A draw that gave less than this part of the demand found too little.
MEAGRE_SHARE = 0.1


class Reservation:
    """Tokens set aside for one request under one holder."""

    __slots__ = ('holder', 'budget', 'amount', '_open')

    def __init__(self, holder, budget, amount):
        self.holder = holder
        self.budget = budget
        self.amount = amount
        self._open = True

    def settle(self, spent, doubt=0):
        """End the reservation; does nothing the second time."""
        if self._open:
            self._open = False
            self.holder.book.settle(self.budget, self.amount, spent, doubt)

    def release(self):
        """End the reservation with nothing spent."""
        self.settle(0)


class NoMoney:
    """Why a reservation failed, and which holders have some left."""

    __slots__ = ('refusal', 'holders')

    def __init__(self, refusal, holders=()):
        self.refusal = refusal
        self.holders = holders


class Drawn(msgspec.Struct, frozen=True):
    """What a draw gave, and what it saw."""

    amount: int
    free_tokens: int
    others: tuple[str, ...]


class Treasury:
    """Reserves tokens of any budget for one router.

    `release_at` is a function that asks other holders, by name, to give back
    what they don't need, and returns what they gave.
    """

    __slots__ = (
        'release_at',
        'routers',
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
        self.release_at = lambda budget, holders: 0
        self.routers = lambda: 1

    def reserve(self, budget, amount, wait_ms, ask_others=True):
        """Return a Reservation, or a NoMoney that says why there is none.

        With `ask_others` false the other holders keep what they have.
        """
        until = self._clock.now() + wait_ms
        drawn = None
        for turn in range(MOST_DRAWS):
            holder = self._holders.wait()
            if holder is None:
                return self._unreachable(budget, 'no holder yet')
            if turn == 0:
                holder.book.record_demand(budget, amount)
            if holder.book.reserve(budget, amount):
                return Reservation(holder, budget, amount)
            left_s = min(DRAW_TIMEOUT_S, (until - self._clock.now()) / 1000)
            try:
                drawn = self._draw(holder, budget, amount, max(0, left_s))
            except page_writer.HolderSealed:
                self._holders.sealed(holder)
                continue
            except (
                store_client.StoreError,
                page_writer.WritePending,
                gevent.Timeout,
            ) as exc:
                return self._unreachable(budget, str(exc))
            if isinstance(drawn, ledger.LedgerError):
                return self._exhausted(str(drawn), ())
            short = amount - holder.book.available(budget)
            if drawn.amount == 0 and drawn.free_tokens < short:
                others = drawn.others if ask_others else ()
                if not others or not self.release_at(budget, others):
                    break
        holder = self._holders.current
        if holder and holder.book.reserve(budget, amount):
            return Reservation(holder, budget, amount)
        if drawn is None:
            return self._unreachable(budget, 'sealed again and again')
        return self._exhausted(
            f'{drawn.free_tokens} tokens left', drawn.others
        )

    def _exhausted(self, detail, others):
        self._metrics.count('refused.budget')
        return NoMoney(
            verdicts.not_run(verdicts.Reason.BUDGET_EXHAUSTED, detail, 1000),
            others,
        )

    def _unreachable(self, budget, detail):
        self._metrics.count('refused.unreachable')
        return NoMoney(
            verdicts.not_run(verdicts.Reason.BUDGET_UNREACHABLE, detail, 1000),
            self._likely_holders(budget),
        )

    def _likely_holders(self, budget):
        """Return who held most of a budget when its page was last seen."""
        holder = self._holders.current
        page = self._holders.writer(holder, budget).page() if holder else None
        if page is None or budget not in page.entries:
            return ()
        if self._cfg.grant_policy != 'demand':
            return ()
        held = page.entries[budget].grants
        own = self._holders.names()
        names = [name for name in held if name not in own]
        names.sort(key=lambda name: held[name].spent - held[name].granted)
        return tuple(names)

    def _draw(self, holder, budget, need, timeout_s):
        """Draw once for all that wait; return Drawn or a LedgerError."""
        held = holder.book.get_balance(budget)
        held.waiting_tokens += need
        try:
            change = holder.drawing.get(budget)
            # One that has ended tells nothing of the budget as it is now.
            if change is None or change.result.ready():
                self._pause_when_scarce(held)
                change = holder.drawing.get(budget)
            if change is None or change.result.ready():
                change = self._start_draw(holder, budget, held, need)
            return change.result.get(timeout=timeout_s)
        finally:
            held.waiting_tokens -= need

    def _pause_when_scarce(self, held):
        """Keep draws that find too little apart, to spare the store."""
        since = self._clock.now() - held.last_shortage_at
        if since < SCARCE_PAUSE_MS:
            gevent.sleep((SCARCE_PAUSE_MS - since) / 1000)

    def _start_draw(self, holder, budget, held, need):
        demand = holder.book.forecast_demand(
            budget, self._cfg.grant_horizon_ms
        )

        def function(page):
            if holder.ending:
                return page_writer.Unchanged(Drawn(0, ledger.MAX_TOKENS, ()))
            short = max(1, need - held.available())
            waiting = max(short, held.waiting_tokens - held.available())
            entry = page.entries.get(budget)
            free = entry.free_tokens() if entry else 0
            want = self._want(entry, held, waiting, demand, free)
            amount = ledger.draw(page, budget, holder.name, short, want)
            if amount:
                return Drawn(amount, free, ())
            others = self._others(entry)
            return page_writer.Unchanged(Drawn(0, free, others))

        def done(outcome):
            if not isinstance(outcome, Drawn):
                return
            if outcome.amount < MEAGRE_SHARE * demand:
                held.last_shortage_at = self._clock.now()
            if not outcome.amount:
                return
            holder.book.granted(budget, outcome.amount)
            self._metrics.count('grants.drawn')

        change = self._holders.writer(holder, budget).submit(function, done)
        holder.drawing[budget] = change
        return change

    def _others(self, entry):
        """Return the other holders that have something left, shuffled."""
        if self._cfg.grant_policy != 'demand':
            return ()
        own = self._holders.names()
        others = [
            name
            for name, grant in entry.grants.items()
            if name not in own and grant.granted > grant.spent + grant.doubt
        ]
        random.shuffle(others)
        return tuple(others)

    def _want(self, entry, held, short, demand, free):
        """Return how much to draw under the chosen policy."""
        policy = self._cfg.grant_policy
        if policy == 'request':
            return short
        if policy == 'fixed':
            return max(short, min(self._cfg.grant_fixed, free))
        if policy == 'equal':
            share = entry.limit // self.routers() if entry else 0
            return max(0, share - held.granted)
        return grants.compute_draw_size(short, demand, free, self.routers())

    def refill(self):
        """Draw ahead for budgets of which less than half is held.

        So there is always half of the horizon's demand at hand when the store
        fails.  Only the demand policy does it.
        """
        holder = self._holders.current
        if holder is None or self._cfg.grant_policy != 'demand':
            return
        for budget in holder.book.budgets():
            held = holder.book.get_balance(budget)
            demand = holder.book.forecast_demand(
                budget, self._cfg.grant_horizon_ms
            )
            short = demand - held.available()
            recent = (
                self._clock.now() - held.last_shortage_at < REFILL_PAUSE_MS
            )
            change = holder.drawing.get(budget)
            busy = change is not None and not change.result.ready()
            if short * 2 > demand and not recent and not busy:
                self._start_draw(holder, budget, held, held.available() + 1)

    def give_back_idle(self):
        """Return what is held and not needed, budget by budget."""
        holder = self._holders.current
        if holder is None or self._cfg.grant_policy == 'equal':
            return
        for budget in holder.book.budgets():
            held = holder.book.get_balance(budget)
            idle = (
                self._clock.now() - held.last_used_at > self._cfg.grant_idle_ms
            )
            demand = 2 * holder.book.forecast_demand(
                budget, self._cfg.grant_horizon_ms
            )
            keep = grants.give_back(held, idle, demand)
            surplus = held.granted - keep
            if surplus * RETURN_SHARE > held.granted or (idle and surplus):
                self._holders.give_back(holder, budget, surplus)

    def release(self, budget):
        """Give back all that is not reserved; return how much.

        What is on its way back already counts too: whoever asks will find it
        in the store.
        """
        holder = self._holders.current
        if holder is None or budget not in holder.book.budgets():
            return 0
        if self._cfg.grant_policy == 'equal':
            return 0
        drawing = holder.drawing.get(budget)
        if drawing is not None:
            # What it brings may be more than is needed here.
            drawing.result.wait(timeout=DRAW_TIMEOUT_S)
        surplus = holder.book.available(budget)
        if surplus > 0:
            self._holders.give_back(holder, budget, surplus)
        change = holder.returning.get(budget)
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
            self._holders.sealed(holder)
            return 0
        return max(1, surplus)

    def dump(self):
        """Return the state for people and tools."""
        holder = self._holders.current
        if holder is None:
            return {'holder': None}
        budgets = {}
        for budget in holder.book.budgets():
            held = holder.book.get_balance(budget)
            budgets[budget] = {
                'granted': held.granted,
                'reserved': held.reserved,
                'spent': held.spent,
                'in_doubt': held.doubt,
                'available': held.available(),
            }
        return {'holder': holder.name, 'budgets': budgets}
