"""Under which names a router holds money.

A router spends under a *holder* identity that the store knows.  When others
have sealed it, because they took this router for dead, the router goes on
under a new one; what it had is accounted for by whoever sealed it.
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
RETRY_S = 0.3
# How long a request waits for the next holder when one was sealed.
NEXT_HOLDER_S = 0.3
# Why a holder in order has doubts: see docs/howto/in-doubt.md.
NOT_PROVED = 'target lost, or an earlier run may have been billed'


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
        'ending',
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
        # Another has taken its place: it draws no more.
        self.ending = False

    def reserved(self):
        """Tell whether any request of it has not been settled."""
        return any(
            self.book.get_balance(budget).reserved
            for budget in self.book.budgets()
        )


class Holders:
    """The holder of one router now, and those that are ending.

    `vouched` tells whether this router has vouched for all lost agents; until
    then no holder ends.
    """

    __slots__ = (
        'current',
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
        self.current = None
        self.vouched = lambda: True

    def names(self):
        """Return the names of the holders that this router stands for."""
        current = [self.current] if self.current else []
        return [holder.name for holder in current + self._ending]

    def wait(self):
        """Return the holder; wait a moment if the last one was sealed."""
        if self.current is None and self._reopening:
            self._opened.wait(NEXT_HOLDER_S)
        return self.current

    def open(self):
        """Create a holder, waiting for the store as long as it takes."""
        while not self._stopping:
            name = f'{self._cfg.name}.{daemon.new_incarnation()}'
            try:
                births = self._register(name)
            except (
                store_client.StoreError,
                store_client.OutcomeUnknown,
                page_writer.HolderSealed,
            ):
                gevent.sleep(RETRY_S)
                continue
            book = grants.GrantBook(self._clock)
            self.current = Holder(name, book, births)
            self._reopening = False
            self._opened.set()
            logging.info('holding money as %s', name)
            return

    def _register(self, name):
        """Write a holder's record, then what it can't have used before."""
        record = registry.HolderRecord(
            name, self._cfg.peer_listen, self._cfg.domain
        )
        key = registry.holder_key(name)
        self._store.put(key, 0, msgspec.json.encode(record))
        listing = self._store.list(registry.REGISTRY_PREFIX)
        births = {}
        for item in listing.items:
            reg = store_client.decode(item, registry.Registry)
            births[reg.service] = reg.version

        def change(found):
            if not found.holder or found.sealed_by:
                raise page_writer.HolderSealed(name)
            found.births = births

        store_client.update(self._store, key, registry.HolderRecord, change)
        return births

    def sealed(self, holder):
        """Note that a holder was sealed, and go on under another."""
        if holder.sealed:
            return
        holder.sealed = True
        self._metrics.count('holder.sealed')
        logging.warning('%s was sealed by others', holder.name)
        if self.current is holder:
            self.current = None
            self._reopening = True
            self._opened.clear()
            gevent.spawn(self.open)

    def note_registry(self, reg):
        """Replace the holder if an agent that it may have used is lost."""
        holder = self.current
        if holder is None or holder.ending:
            return
        birth = holder.births.get(reg.service, 0)
        if any(
            entry.phase is registry.Phase.LOST
            and entry.charges
            and entry.gone_at > birth
            for entry in reg.entries
        ):
            gevent.spawn(self.replace)

    def replace(self):
        """Go on under a new holder; end the old one's grants in order.

        Done when an agent was lost: what this router knows of it would be
        lost too if the router died, and the whole grant would be in doubt.
        """
        old = self.current
        if old is None or old.ending:
            return
        old.ending = True
        self._ending.append(old)
        self.open()
        for budget in old.book.budgets():
            self.give_back(old, budget, old.book.available(budget))
        while not self.vouched() or old.reserved():
            gevent.sleep(RETRY_S)
        while not old.sealed and not self._end(old):
            gevent.sleep(RETRY_S)
        self._ending.remove(old)

    def writer(self, holder, budget):
        """Return the PageWriter for a budget's page."""
        key = ledger.page_key(budget, self._store_cfg.ledger_pages)
        writer = holder.writers.get(key)
        if writer is None:
            writer = holder.writers[key] = page_writer.PageWriter(
                self._store, key, holder.name, lambda: self._verify(holder)
            )
        return writer

    def give_back(self, holder, budget, surplus):
        """Return `surplus` tokens that the holder has not reserved."""
        if surplus <= 0:
            return
        held = holder.book.get_balance(budget)
        # Taken out first, so that it isn't spent while it is on its way.
        held.granted -= surplus

        def function(page):
            kept = ledger.shrink_grant(
                page, budget, holder.name, surplus, held.spent, held.doubt
            )
            return kept or page_writer.Unchanged(False)

        def done(outcome):
            if outcome is True:
                self._metrics.count('grants.returned')
            elif isinstance(outcome, ledger.LedgerError):
                held.granted += surplus

        def failed(exc):
            if isinstance(exc, page_writer.HolderSealed):
                self.sealed(holder)
            else:
                held.granted += surplus

        writer = self.writer(holder, budget)
        holder.returning[budget] = writer.submit(function, done, failed)

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
                raise page_writer.HolderSealed(holder.name)
            return

    def close(self):
        """End all grants in order, and remove the holder's record.

        What is still reserved keeps its grant and the record, for others to
        settle with the agents.
        """
        self._stopping = True
        holder, self.current = self.current, None
        if holder is None:
            return
        holder.ending = True
        if not self._end(holder):
            logging.warning('grants of %s are left to others', holder.name)

    def _end(self, holder):
        """Close a holder's grants; return True if all is booked."""
        whole = not holder.reserved()
        changes = []
        for budget in holder.book.budgets():
            held = holder.book.get_balance(budget)
            writer = self.writer(holder, budget)
            if whole:
                writer.retire()
            if held.granted and not held.reserved:
                changes.append(_close(writer, holder, budget, held))
        try:
            for change in changes:
                change.result.get(timeout=CLOSE_TIMEOUT_S)
            if whole:
                self._remove_record(holder)
        except page_writer.HolderSealed:
            self.sealed(holder)
        except (
            store_client.StoreError,
            store_client.OutcomeUnknown,
            page_writer.WritePending,
            gevent.Timeout,
        ):
            return False
        return whole

    def _remove_record(self, holder):
        key = registry.holder_key(holder.name)
        item = self._store.get(key)
        if item.version:
            self._store.delete(key, item.version)


def _close(writer, holder, budget, held):
    def function(page):
        closed = ledger.close_grant(
            page, budget, holder.name, held.spent, held.doubt, NOT_PROVED
        )
        return closed or page_writer.Unchanged(False)

    return writer.submit(function)
