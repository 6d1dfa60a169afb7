"""Recovering the grants of holders that have gone.

Silence only says when to look.  A holder's record is first marked sealed by a
conditional update; then every agent in the registries is told to take nothing
more from the holder and says what it took.  Only what all of them account for
is booked or freed.  If an agent is lost, so that nobody knows what it took,
the rest of the grant is in doubt, for an operator to settle.
"""

from absl import logging
import gevent

from galenaspoke.core import ledger
from galenaspoke.core import registry
from galenaspoke.fleet import registries
from galenaspoke.router import vouching
from galenaspoke.rpc import transport
from galenaspoke.rpc import messages
from galenaspoke.rpc import methods
from galenaspoke.store import client as store_client

SEAL_TIMEOUT_MS = 2000
# How much later each next router begins to recover a holder, and at most.
TURN_MS = 500
MOST_TURNS_MS = 10_000
# A recovery that failed is not begun again on demand before this time.
FAILED_PAUSE_MS = 500


class Incomplete(Exception):
    """Not all agents have answered yet; nothing may be freed."""


class Recovery:
    """Looks for holders that have gone, and recovers what they held."""

    __slots__ = (
        '_cfg',
        '_store_cfg',
        '_store',
        '_clock',
        '_members',
        '_holders',
        '_vouching',
        '_metrics',
        '_silent_since',
        '_recovering',
        '_failed_at',
    )

    def __init__(self, cfg, store, clock, members, holders, vouch, metrics):
        self._vouching = vouch
        self._cfg = cfg.router
        self._store_cfg = cfg.store
        self._store = store
        self._clock = clock
        self._members = members
        self._holders = holders
        self._metrics = metrics
        self._silent_since = {}
        self._recovering = {}
        self._failed_at = {}

    def declare_lost(self):
        """Declare the agents lost that no router hears any more."""
        for entry in self._members.silent_everywhere():

            def change(reg, entry=entry):
                done = registry.declare_lost(
                    reg, entry.name, entry.incarnation
                )
                return done or store_client.UNCHANGED

            try:
                registries.update(self._store, entry.service, change)
            except store_client.StoreError:
                return
            self._metrics.count('agents.declared_lost')
            logging.warning('%s is declared lost', entry.agent_id())

    def turn(self):
        """Recover each holder that has been silent for long."""
        own = self._holders.names()
        if self._holders.current is None:
            return
        now = self._clock.now()
        records = dict(self._members.holders)
        for name in [n for n in self._silent_since if n not in records]:
            del self._silent_since[name]
        for name, record in records.items():
            if name in own or self._members.router_of(name):
                self._silent_since.pop(name, None)
                continue
            since = self._silent_since.setdefault(name, now)
            predecessor = record.address == self._cfg.peer_listen
            patience = 0 if predecessor else self._patience()
            if now - since >= patience:
                self._try(name)

    def _patience(self):
        """Return how long to wait, longer the more routers come before.

        Any number may recover the same holder; one is enough.
        """
        before = sum(
            peer.address < self._cfg.peer_listen
            for peer in self._members.live_routers()
        )
        wait = min(before * TURN_MS, MOST_TURNS_MS)
        return self._cfg.reclaim_after_ms + wait

    def recover_now(self, name):
        """Recover a holder whose money is needed; return True if it went.

        Several that need it wait for one recovery; a failed one isn't tried
        again at once.
        """
        now = self._clock.now()
        if now - self._failed_at.get(name, -FAILED_PAUSE_MS) < FAILED_PAUSE_MS:
            return False
        task = self._recovering.get(name)
        if task is None:
            task = self._recovering[name] = gevent.spawn(self._try, name)
            task.link(lambda _: self._recovering.pop(name, None))
        task.join()
        if not task.value:
            self._failed_at[name] = now
        return bool(task.value)

    def _try(self, name):
        """Recover a holder; return True if it has been."""
        try:
            self.recover(name)
            return True
        except (
            Incomplete,
            store_client.StoreError,
            store_client.OutcomeUnknown,
        ) as exc:
            self._metrics.count('recoveries.waiting')
            logging.log_every_n_seconds(
                logging.WARNING, 'recovery of %s waits: %s', 10, name, exc
            )
            return False

    def recover(self, name):
        """Seal a holder and book what it held; raises Incomplete."""
        record = self._seal_record(name)
        if record is None:
            return
        sent, hidden = self._book_all(record)
        self._vouching.adopt(sent)
        for service in hidden:
            vouching.note_unvouched(self._store, service, name)
        self._remove_record(name)
        self._metrics.count('recoveries.done')
        logging.info('recovered the grants of %s', name)

    def sweep(self):
        """Recover grants of holders that have no record.

        A holder that was sealed, woke, drew on a page that it had never used
        and died before it could take that back leaves such a grant.
        """
        try:
            named = set()
            for item in self._store.list(ledger.PAGE_PREFIX).items:
                page = store_client.decode(item, ledger.Page)
                for entry in page.entries.values():
                    named.update(entry.grants)
            # Read after the pages: a record is there before any grant.
            known = {r.holder for r in registries.holders(self._store)}
            for name in named - known:
                self._book_all(registry.HolderRecord(name))
                logging.info('recovered the grants of %s, unknown', name)
        except (
            Incomplete,
            store_client.StoreError,
            store_client.OutcomeUnknown,
        ) as exc:
            logging.log_every_n_seconds(
                logging.WARNING, 'sweep waits: %s', 60, exc
            )

    def _book_all(self, record):
        """Book what a holder has on every page; raises Incomplete.

        Returns what it had sent, and the services of which nobody can tell.
        """
        usage, lost, sent, hidden = self._collect(record)
        running = False
        for number in range(self._store_cfg.ledger_pages):
            key = f'{ledger.PAGE_PREFIX}{number:04d}'
            booked = self._book(key, record.holder, usage, lost)
            running = running or booked
        if running:
            raise Incomplete('requests are still running')
        return sent, hidden

    def _seal_record(self, name):
        """Mark the holder's record; return it, or None if it has gone."""
        key = registry.holder_key(name)

        def change(record):
            if not record.holder or record.sealed_by:
                return store_client.UNCHANGED
            record.sealed_by = self._holders.current.name
            logging.warning('sealing %s', name)
            return None

        _, record = store_client.update(
            self._store, key, registry.HolderRecord, change
        )
        return record if record.holder else None

    def _collect(self, record):
        """Seal a holder at all agents.

        Returns its usage, the agents that are lost, what it had sent to each
        agent, and the services of which nobody can tell that.
        """
        # Read after the mark was written: an agent that isn't in it yet will
        # see the mark.
        listing = self._store.list(registry.REGISTRY_PREFIX)
        live = [
            known.holder
            for known in registries.holders(self._store)
            if not known.sealed_by
        ]
        usage = {}
        lost = []
        sent = {}
        hidden = []
        for item in listing.items:
            reg = store_client.decode(item, registry.Registry)
            tasks = [
                (entry, gevent.spawn(self._seal_at, entry, record, live))
                for entry in reg.serving_entries()
            ]
            for entry, task in tasks:
                reply = task.get()
                if reply is None:
                    raise Incomplete(f'{entry.name} does not answer')
                _add(usage, reply.usage)
                sent[entry.agent_id()] = reply.records
            if registry.may_have_hidden_keys(reg, record):
                hidden.append(reg.service)
            for entry in registry.unaccounted_agents(reg, record):
                if entry.usage is None:
                    lost.append(f'{entry.name}.{entry.incarnation}')
                else:
                    _add(usage, entry.usage.get(record.holder, {}))
        return usage, lost, sent, hidden

    def _seal_at(self, entry, record, live):
        """Seal at one agent; return its reply, or None."""
        peer = self._members.agents.get((entry.name, entry.incarnation))
        channel = peer.channel if peer else transport.Channel(entry.address)
        try:
            reply = channel.unary(
                methods.SEAL,
                messages.Seal(entry.incarnation, record.holder, live),
                SEAL_TIMEOUT_MS,
            )
        except transport.PeerUnreachable:
            return None
        finally:
            if peer is None:
                channel.close()
        return reply

    def _book(self, key, name, usage, lost):
        """Book one page; return True if something is still running."""

        def change(page):
            held = [
                (budget, entry.grants[name])
                for budget, entry in page.entries.items()
                if name in entry.grants
            ]
            if not held and name not in page.writers:
                return store_client.UNCHANGED
            page.writers.pop(name, None)
            running = False
            for budget, grant in held:
                used = usage.get(budget, registry.Usage())
                if book(page, budget, name, grant, used, lost):
                    running = True
            ledger.check_invariants(page)
            return running

        result, _ = store_client.update(self._store, key, ledger.Page, change)
        return result is True

    def _remove_record(self, name):
        key = registry.holder_key(name)
        item = self._store.get(key)
        if item.version:
            try:
                self._store.delete(key, item.version)
            except (store_client.Conflict, store_client.OutcomeUnknown):
                pass


def book(page, budget, holder, grant, used, lost):
    """Book one grant of a sealed holder; return True if some of it runs.

    What the holder reported itself counts if the agents say less, since an
    agent it had heard from may be lost.
    """
    spent = max(used.spent, grant.spent)
    doubt = max(used.doubt, grant.doubt)
    if used.running:
        keep = spent + doubt + used.running
        if not lost and keep < grant.granted:
            returned = grant.granted - keep
            ledger.shrink_grant(page, budget, holder, returned, spent, doubt)
        return True
    if lost:
        doubt = grant.granted - spent
    why = 'lost: ' + ', '.join(lost) if lost else 'outcome unknown'
    ledger.close_grant(page, budget, holder, spent, doubt, why)
    return False


def _add(total, usage):
    for budget, used in usage.items():
        sums = total.setdefault(budget, registry.Usage())
        sums.spent += used.spent
        sums.doubt += used.doubt
        sums.running += used.running
