"""The holder identities under which a router holds grants.

A router spends under a *holder* identity that is registered in the store.
Other routers seal a holder when they consider its router dead.  A router whose
holder was sealed continues under a new one, and the router that sealed the
old one accounts for its grants.  When an agent is lost, a router replaces and
closes its holder by itself.
"""

from absl import logging
import gevent
from gevent import event
import msgspec

from galenaspoke.core import grants
from galenaspoke.core import ledger
from galenaspoke.core import registry
from galenaspoke.router import page_writer
from galenaspoke.store import client as store_client
from galenaspoke.utils import daemon

CLOSE_TIMEOUT_S = 1.0
RETRY_PAUSE_S = 0.3
# How long a request waits for a new holder after the last one was sealed.
NEXT_HOLDER_WAIT_S = 0.3
# The reason stored with tokens in doubt when a router closes its own holder:
# see docs/howto/in-doubt.md.
DOUBT_REASON = 'target lost, or an earlier run may have been billed'


class Holder:
    """One identity under which grants are held.

    `registry_versions` maps each service to the registry version that was
    read after the holder was registered.  It is stored as
    `HolderRecord.births`.
    """

    __slots__ = (
        'name',
        'book',
        'writers',
        'last_draws',
        'last_returns',
        'registry_versions',
        'is_sealed',
        'is_closing',
    )

    def __init__(self, name, book, registry_versions):
        self.name = name
        self.registry_versions = registry_versions
        self.book = book
        self.writers = {}
        # The last draw of each budget, a page_writer.Change.
        self.last_draws = {}
        # The last return of tokens of each budget, a page_writer.Change.
        self.last_returns = {}
        self.is_sealed = False
        # Set once the holder is being closed; it draws no more.
        self.is_closing = False

    def has_reservations(self):
        """Return whether some reservation has not been settled."""
        return any(
            self.book.get_balance(budget).reserved
            for budget in self.book.budgets()
        )


class HolderManager:
    """The current holder of one router, and those that are being closed.

    `has_vouched` returns whether this router has vouched for all lost agents;
    a replaced holder is closed only then.
    """

    __slots__ = (
        'current',
        'has_vouched',
        '_cfg',
        '_store_cfg',
        '_store',
        '_clock',
        '_metrics',
        '_closing',
        '_is_reopening',
        '_opened',
        '_is_stopping',
    )

    def __init__(self, cfg, store, clock, metrics):
        self._cfg = cfg.router
        self._store_cfg = cfg.store
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._closing = []
        self._is_reopening = False
        self._opened = event.Event()
        self._is_stopping = False
        self.current = None
        self.has_vouched = lambda: True

    def get_holder_names(self):
        """Return the names of the router's holders, also those closing."""
        current = [self.current] if self.current else []
        return [holder.name for holder in current + self._closing]

    def wait_for_holder(self):
        """Return the current holder, or None.

        Waits up to NEXT_HOLDER_WAIT_S for a new one if the last was sealed.
        """
        if self.current is None and self._is_reopening:
            self._opened.wait(NEXT_HOLDER_WAIT_S)
        return self.current

    def open(self):
        """Register a new holder; retry until the store accepts it."""
        while not self._is_stopping:
            name = f'{self._cfg.name}.{daemon.new_incarnation()}'
            try:
                registry_versions = self._register(name)
            except (
                store_client.StoreError,
                store_client.OutcomeUnknown,
                page_writer.HolderSealed,
            ):
                gevent.sleep(RETRY_PAUSE_S)
                continue
            book = grants.GrantBook(self._clock)
            self.current = Holder(name, book, registry_versions)
            self._is_reopening = False
            self._opened.set()
            logging.info('registered as holder %s', name)
            return

    def _register(self, name):
        """Write a holder's record; add and return the registry versions.

        The registries are read after the record was written, so agents that
        are gone in those versions never served this holder.
        """
        record = registry.HolderRecord(
            name, self._cfg.peer_listen, self._cfg.domain
        )
        key = registry.holder_key(name)
        self._store.put(key, 0, msgspec.json.encode(record))
        listing = self._store.list(registry.REGISTRY_PREFIX)
        registry_versions = {}
        for item in listing.items:
            reg = store_client.decode(item, registry.Registry)
            registry_versions[reg.service] = reg.version

        def change(stored):
            if not stored.holder or stored.sealed_by:
                raise page_writer.HolderSealed(name)
            stored.births = registry_versions

        store_client.update(self._store, key, registry.HolderRecord, change)
        return registry_versions

    def handle_sealed(self, holder):
        """Mark a holder as sealed, and open a new one if it was current."""
        if holder.is_sealed:
            return
        holder.is_sealed = True
        self._metrics.count('holder.sealed')
        logging.warning(
            'holder %s was sealed by another router, which recovers'
            ' its grants',
            holder.name,
        )
        if self.current is holder:
            self.current = None
            self._is_reopening = True
            self._opened.clear()
            gevent.spawn(self.open)

    def on_registry_change(self, reg):
        """Replace the holder if an agent that it may have used is lost."""
        holder = self.current
        if holder is None or holder.is_closing:
            return
        seen_version = holder.registry_versions.get(reg.service, 0)
        if any(
            entry.phase is registry.Phase.LOST
            and entry.charges
            and entry.gone_at > seen_version
            for entry in reg.entries
        ):
            gevent.spawn(self.replace)

    def replace(self):
        """Open a new holder, and close the old one once it is settled.

        Called when an agent is lost.  Only this router knows what the old
        holder spent there: if it crashed too, the whole grant would be in
        doubt.  Unreserved tokens of the old holder are returned at once.
        """
        old = self.current
        if old is None or old.is_closing:
            return
        old.is_closing = True
        self._closing.append(old)
        self.open()
        for budget in old.book.budgets():
            self.return_tokens(old, budget, old.book.available(budget))
        while not self.has_vouched() or old.has_reservations():
            gevent.sleep(RETRY_PAUSE_S)
        while not old.is_sealed and not self._close_holder(old):
            gevent.sleep(RETRY_PAUSE_S)
        self._closing.remove(old)

    def get_writer(self, holder, budget):
        """Return the holder's PageWriter for a budget's page."""
        key = ledger.page_key(budget, self._store_cfg.ledger_pages)
        writer = holder.writers.get(key)
        if writer is None:
            writer = holder.writers[key] = page_writer.PageWriter(
                self._store,
                key,
                holder.name,
                lambda: self._check_not_sealed(holder),
            )
        return writer

    def return_tokens(self, holder, budget, surplus):
        """Return `surplus` unreserved tokens of a holder to the ledger."""
        if surplus <= 0:
            return
        balance = holder.book.get_balance(budget)
        # Deducted before the write, so that the tokens can't be spent while
        # it is in progress.
        balance.granted -= surplus

        def apply(page):
            kept = ledger.shrink_grant(
                page,
                budget,
                holder.name,
                surplus,
                balance.spent,
                balance.doubt,
            )
            return kept or page_writer.Unchanged(False)

        def on_done(outcome):
            if outcome is True:
                self._metrics.count('grants.returned')
            elif isinstance(outcome, ledger.LedgerError):
                balance.granted += surplus

        def on_failed(exc):
            if isinstance(exc, page_writer.HolderSealed):
                self.handle_sealed(holder)
            else:
                balance.granted += surplus

        writer = self.get_writer(holder, budget)
        holder.last_returns[budget] = writer.submit(apply, on_done, on_failed)

    def _check_not_sealed(self, holder):
        """Raise HolderSealed if the store says that the holder is sealed.

        Called after the holder's first write to a page.  Retries until the
        store answers.
        """
        while True:
            try:
                item = self._store.get(registry.holder_key(holder.name))
            except store_client.StoreError:
                gevent.sleep(RETRY_PAUSE_S)
                continue
            record = store_client.decode(item, registry.HolderRecord)
            if item.version == 0 or record.sealed_by:
                raise page_writer.HolderSealed(holder.name)
            return

    def close(self):
        """Close the current holder's grants and remove its record.

        A grant with open reservations is kept, and so is the record; another
        router then settles them with the agents.
        """
        self._is_stopping = True
        holder, self.current = self.current, None
        if holder is None:
            return
        holder.is_closing = True
        if not self._close_holder(holder):
            logging.warning(
                'grants of %s are left for other routers to recover',
                holder.name,
            )

    def _close_holder(self, holder):
        """Close a holder's grants; return True if all are booked."""
        is_settled = not holder.has_reservations()
        changes = []
        for budget in holder.book.budgets():
            balance = holder.book.get_balance(budget)
            writer = self.get_writer(holder, budget)
            if is_settled:
                writer.retire()
            if balance.granted and not balance.reserved:
                changes.append(_close_grant(writer, holder, budget, balance))
        try:
            for change in changes:
                change.result.get(timeout=CLOSE_TIMEOUT_S)
            if is_settled:
                self._remove_record(holder)
        except page_writer.HolderSealed:
            self.handle_sealed(holder)
        except (
            store_client.StoreError,
            store_client.OutcomeUnknown,
            page_writer.WritePending,
            gevent.Timeout,
        ):
            return False
        return is_settled

    def _remove_record(self, holder):
        key = registry.holder_key(holder.name)
        item = self._store.get(key)
        if item.version:
            self._store.delete(key, item.version)


def _close_grant(writer, holder, budget, balance):
    def apply(page):
        closed = ledger.close_grant(
            page,
            budget,
            holder.name,
            balance.spent,
            balance.doubt,
            DOUBT_REASON,
        )
        return closed or page_writer.Unchanged(False)

    return writer.submit(apply)
