"""A router's money: drawing grants, reserving from them, giving back.

A router spends under a *holder* identity that the store knows.  When others
have sealed it, because they took this router for dead, the router goes on
under a new one; what it had is accounted for by whoever sealed it.
"""

import random

from absl import logging
import gevent
from gevent import event
import msgspec

from galenaspoke.core import grants
from galenaspoke.core import ledger
from galenaspoke.core import registry
from galenaspoke.core import verdicts
from galenaspoke.router import pages
from galenaspoke.store import client as store_client
from galenaspoke.utils import programs

DRAW_TIMEOUT_S = 1.0
RETRY_S = 0.3
# A draw that found too little is not repeated before this time.
SCARCE_PAUSE_MS = 20
# How long a request waits for the next holder when one was sealed.
NEXT_HOLDER_S = 0.3
# Why a holder in order has doubts: see docs/howto/in-doubt.md.
NOT_PROVED = 'target lost, or an earlier run may have been billed'
# Less than this share of a grant is not worth a write to give back.
RETURN_SHARE = 4
MOST_DRAWS = 8


class Holder:
    """One identity under which money is held."""

    __slots__ = (
        'name',
        'book',
        'writers',
        'drawing',
        'returning',
        'births',
        'sealed',
        'replaced',
    )

    def __init__(self, name, book, births):
        self.name = name
        self.births = births
        self.book = book
        self.writers = {}
        # The last draw of each budget.
        self.drawing = {}
        # The last giving back of each budget.
        self.returning = {}
        self.sealed = False
        self.replaced = False


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
    free: int
    others: tuple[str, ...]


class Treasury:
    """Reserves tokens of any budget for one router.

    `release_at` is a function that asks other holders, by name, to give back
    what they don't need, and returns what they gave.  `vouched` tells whether
    this router has vouched for all lost agents; until then no holder ends.
    """

    __slots__ = (
        'holder',
        'release_at',
        'routers',
        'vouched',
        '_cfg',
        '_store_cfg',
        '_store',
        '_clock',
        '_metrics',
        '_ending',
        '_reopening',
        '_opened',
        '_stopping',
    )

    def __init__(self, cfg, store, clock, metrics):
        self._cfg = cfg.router
        self._store_cfg = cfg.store
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._ending = []
        self._reopening = False
        self._opened = event.Event()
        self._stopping = False
        self.holder = None
        self.release_at = lambda budget, holders: 0
        self.routers = lambda: 1
        self.vouched = lambda: True

    # Identity.

    def open(self):
        """Create a holder, waiting for the store as long as it takes."""
        while not self._stopping:
            name = f'{self._cfg.name}.{programs.new_incarnation()}'
            record = registry.HolderRecord(
                name, self._cfg.peer_listen, self._cfg.domain
            )
            try:
                self._register(record)
            except (store_client.StoreError, store_client.OutcomeUnknown):
                gevent.sleep(RETRY_S)
                continue
            book = grants.GrantBook(self._clock)
            self.holder = Holder(name, book, record.births)
            self._reopening = False
            self._opened.set()
            logging.info('holding money as %s', name)
            return

    def replace(self):
        """Go on under a new holder; end the old one's grants in order.

        Done when an agent was lost: what this router knows of it would be
        lost too if the router died, and the whole grant would be in doubt.
        """
        old = self.holder
        if old is None or old.replaced:
            return
        old.replaced = True
        self._ending.append(old)
        self.open()
        while not self.vouched():
            gevent.sleep(RETRY_S)
        while not old.sealed and not self._end(old):
            gevent.sleep(RETRY_S)
        self._ending.remove(old)

    def holders(self):
        """Return the names of the holders that this router stands for."""
        current = [self.holder] if self.holder else []
        return [holder.name for holder in current + self._ending]

    def _register(self, record):
        """Write a holder's record, then what it can't have used before."""
        key = registry.holder_key(record.holder)

        def create(_found):
            return record

        self._write_record(key, create)
        listing = self._store.list(registry.REGISTRY_PREFIX)
        for item in listing.items:
            reg = store_client.decode(item, registry.Registry)
            record.births[reg.service] = reg.version
        self._write_record(key, create)

    def _write_record(self, key, make):
        item = self._store.get(key)
        value = msgspec.json.encode(make(item))
        try:
            self._store.put(key, item.version, value)
        except store_client.OutcomeUnknown:
            if bytes(self._store.get(key).value) != value:
                raise

    def sealed(self, holder):
        """Note that a holder was sealed, and go on under another."""
        if holder.sealed:
            return
        holder.sealed = True
        self._metrics.count('holder.sealed')
        logging.warning('%s was sealed by others', holder.name)
        if self.holder is holder:
            self.holder = None
            self._reopening = True
            self._opened.clear()
            gevent.spawn(self.open)

    def _verify(self, holder):
        """Make sure, after a page was first written, that it may be used."""
        while True:
            try:
                item = self._store.get(registry.holder_key(holder.name))
            except store_client.StoreError:
                gevent.sleep(RETRY_S)
                continue
            record = store_client.decode(item, registry.HolderRecord)
            if item.version == 0 or record.sealed_by:
                raise pages.HolderSealed(holder.name)
            return

    def _writer(self, holder, budget):
        key = ledger.page_key(budget, self._store_cfg.ledger_pages)
        writer = holder.writers.get(key)
        if writer is None:
            writer = holder.writers[key] = pages.PageWriter(
                self._store, key, holder.name, lambda: self._verify(holder)
            )
        return writer

    def note_registry(self, reg):
        """Replace the holder if an agent that it may have used is lost."""
        holder = self.holder
        if holder is None or holder.replaced:
            return
        birth = holder.births.get(reg.service, 0)
        if any(
            entry.phase is registry.Phase.LOST and entry.gone_at > birth
            for entry in reg.entries
        ):
            gevent.spawn(self.replace)

    # Reserving.

    def reserve(self, budget, amount, wait_ms, ask_others=True):
        """Return a Reservation, or a NoMoney that says why there is none.

        With `ask_others` false the other holders keep what they have.
        """
        until = self._clock.now() + wait_ms
        drawn = None
        for turn in range(MOST_DRAWS):
            holder = self._await_holder()
            if holder is None:
                return self._unreachable(budget, 'no holder yet')
            if turn == 0:
                holder.book.note_demand(budget, amount)
            if holder.book.reserve(budget, amount):
                return Reservation(holder, budget, amount)
            left_s = min(DRAW_TIMEOUT_S, (until - self._clock.now()) / 1000)
            try:
                drawn = self._draw(holder, budget, amount, max(0, left_s))
            except pages.HolderSealed:
                self.sealed(holder)
                continue
            except (store_client.StoreError, gevent.Timeout) as exc:
                return self._unreachable(budget, str(exc))
            if isinstance(drawn, ledger.LedgerError):
                return self._exhausted(str(drawn), ())
            short = amount - holder.book.available(budget)
            if drawn.amount == 0 and drawn.free < short:
                others = drawn.others if ask_others else ()
                if not others or not self.release_at(budget, others):
                    break
        holder = self.holder
        if holder and holder.book.reserve(budget, amount):
            return Reservation(holder, budget, amount)
        if drawn is None:
            return self._unreachable(budget, 'sealed again and again')
        return self._exhausted(f'{drawn.free} tokens left', drawn.others)

    def _await_holder(self):
        """Return the holder; wait a moment if the last one was sealed."""
        if self.holder is None and self._reopening:
            self._opened.wait(NEXT_HOLDER_S)
        return self.holder

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
        holder = self.holder
        page = self._writer(holder, budget).page() if holder else None
        if page is None or budget not in page.entries:
            return ()
        held = page.entries[budget].grants
        if self._cfg.grant_policy != 'demand':
            return ()
        names = [name for name in held if name != holder.name]
        names.sort(key=lambda name: held[name].spent - held[name].granted)
        return tuple(names)

    def _draw(self, holder, budget, need, timeout_s):
        """Draw once for all that wait; return Drawn or a LedgerError."""
        held = holder.book.held(budget)
        held.waiting += need
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
            held.waiting -= need

    def _pause_when_scarce(self, held):
        """Keep draws that find too little apart, to spare the store."""
        since = self._clock.now() - held.scarce_at
        if since < SCARCE_PAUSE_MS:
            gevent.sleep((SCARCE_PAUSE_MS - since) / 1000)

    def _start_draw(self, holder, budget, held, need):
        demand = holder.book.demand_in(budget, self._cfg.grant_horizon_ms)

        def function(page):
            short = max(1, need - held.available())
            waiting = max(short, held.waiting - held.available())
            entry = page.entries.get(budget)
            free = entry.free() if entry else 0
            want = self._want(entry, held, waiting, demand, free)
            amount = ledger.draw(page, budget, holder.name, short, want)
            if amount:
                return Drawn(amount, free, ())
            others = self._others(entry, holder)
            return pages.Unchanged(Drawn(0, free, others))

        def done(outcome):
            if not isinstance(outcome, Drawn):
                return
            if not outcome.amount:
                held.scarce_at = self._clock.now()
                return
            holder.book.granted(budget, outcome.amount)
            self._metrics.count('grants.drawn')

        change = self._writer(holder, budget).submit(function, done)
        holder.drawing[budget] = change
        return change

    def _others(self, entry, holder):
        """Return the other holders that have something left, shuffled."""
        if self._cfg.grant_policy != 'demand':
            return ()
        others = [
            name
            for name, grant in entry.grants.items()
            if name != holder.name
            and grant.granted > grant.spent + grant.doubt
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
            return short if held.granted + short <= share else 0
        return grants.draw_size(short, demand, free, self.routers())

    # Giving back.

    def give_back_idle(self):
        """Return what is held and not needed, budget by budget."""
        holder = self.holder
        if holder is None or self._cfg.grant_policy == 'equal':
            return
        for budget in holder.book.budgets():
            held = holder.book.held(budget)
            idle = self._clock.now() - held.used_at > self._cfg.grant_idle_ms
            demand = 2 * holder.book.demand_in(
                budget, self._cfg.grant_horizon_ms
            )
            keep = grants.give_back(held, idle, demand)
            surplus = held.granted - keep
            if surplus * RETURN_SHARE > held.granted or (idle and surplus):
                self._return(holder, budget, surplus)

    def release(self, budget):
        """Give back all that is not reserved; return how much.

        What is on its way back already counts too: whoever asks will find it
        in the store.
        """
        holder = self.holder
        if holder is None or budget not in holder.book.budgets():
            return 0
        if self._cfg.grant_policy == 'equal':
            return 0
        surplus = holder.book.available(budget)
        if surplus > 0:
            self._return(holder, budget, surplus)
        change = holder.returning.get(budget)
        if change is None or (surplus <= 0 and change.result.ready()):
            return 0
        try:
            change.result.get(timeout=DRAW_TIMEOUT_S)
        except (store_client.StoreError, gevent.Timeout):
            return 0
        except pages.HolderSealed:
            self.sealed(holder)
            return 0
        return max(1, surplus)

    def _return(self, holder, budget, surplus):
        held = holder.book.held(budget)
        # Taken out first, so that it isn't spent while it is on its way.
        held.granted -= surplus

        def function(page):
            kept = ledger.shrink_grant(
                page, budget, holder.name, surplus, held.spent, held.doubt
            )
            return kept or pages.Unchanged(False)

        def done(outcome):
            if outcome is True:
                self._metrics.count('grants.returned')
            elif isinstance(outcome, ledger.LedgerError):
                held.granted += surplus

        change = self._writer(holder, budget).submit(function, done)
        holder.returning[budget] = change
        gevent.spawn(self._watch_return, holder, held, surplus, change)

    def _watch_return(self, holder, held, surplus, change):
        try:
            change.result.get()
        except pages.HolderSealed:
            self.sealed(holder)
        except store_client.StoreError:
            held.granted += surplus

    def close(self):
        """End all grants in order, and remove the holder's record.

        What is still reserved keeps its grant and the record, for others to
        settle with the agents.
        """
        self._stopping = True
        holder, self.holder = self.holder, None
        if holder is not None and not self._end(holder):
            logging.warning('grants of %s are left to others', holder.name)

    def _end(self, holder):
        """Close a holder's grants; return True if all is booked."""
        changes = []
        whole = True
        for budget in holder.book.budgets():
            held = holder.book.held(budget)
            if held.reserved:
                whole = False
            elif held.granted:
                changes.append(self._close(holder, budget, held))
        try:
            for change in changes:
                change.result.get(timeout=DRAW_TIMEOUT_S)
            if whole:
                self._remove_record(holder)
        except pages.HolderSealed:
            self.sealed(holder)
        except (
            store_client.StoreError,
            store_client.OutcomeUnknown,
            gevent.Timeout,
        ):
            return False
        return whole

    def _close(self, holder, budget, held):
        def function(page):
            closed = ledger.close_grant(
                page,
                budget,
                holder.name,
                held.spent,
                held.doubt,
                NOT_PROVED,
            )
            return closed or pages.Unchanged(False)

        return self._writer(holder, budget).submit(
            function, lambda outcome: None
        )

    def _remove_record(self, holder):
        key = registry.holder_key(holder.name)
        item = self._store.get(key)
        if item.version:
            self._store.delete(key, item.version)

    def dump(self):
        """Return the state for people and tools."""
        holder = self.holder
        if holder is None:
            return {'holder': None}
        budgets = {}
        for budget in holder.book.budgets():
            held = holder.book.held(budget)
            budgets[budget] = {
                'granted': held.granted,
                'reserved': held.reserved,
                'spent': held.spent,
                'in_doubt': held.doubt,
                'available': held.available(),
            }
        return {'holder': holder.name, 'budgets': budgets}
