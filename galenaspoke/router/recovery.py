"""Finding the holders whose router is gone, to recover their grants.

Silence only triggers a recovery; it proves nothing.  `holder_recovery` does
what can be relied on.
"""

from absl import logging
import gevent

from galenaspoke.core import ledger
from galenaspoke.core import registry
from galenaspoke.fleet import registries
from galenaspoke.router import holder_recovery
from galenaspoke.store import client as store_client

# Each further router waits this much longer before it recovers a holder, up to
# the maximum.
STAGGER_MS = 500
MAX_STAGGER_MS = 10_000
# Minimum time from the end of a failed recovery on demand to the next one.
RETRY_PAUSE_MS = 500


class GrantRecovery:
    """Finds holders whose router is gone, and recovers their grants."""

    __slots__ = (
        '_cfg',
        '_store',
        '_clock',
        '_peers',
        '_holders',
        '_metrics',
        '_holder_recovery',
        '_silent_since',
        '_recovering',
        '_failed_at',
    )

    def __init__(
        self, cfg, store, clock, peers, holders, own_vouching, metrics
    ):
        self._cfg = cfg.router
        self._store = store
        self._clock = clock
        self._peers = peers
        self._holders = holders
        self._metrics = metrics
        self._holder_recovery = holder_recovery.HolderRecovery(
            cfg.store, store, peers, holders, own_vouching, metrics
        )
        self._silent_since = {}
        self._recovering = {}
        self._failed_at = {}

    def declare_lost_agents(self):
        """Declare lost all agents that every live router reports as silent."""
        for entry in self._peers.list_agents_silent_everywhere():

            def change(reg, entry=entry):
                declared = registry.declare_lost(
                    reg, entry.name, entry.incarnation
                )
                return declared or store_client.UNCHANGED

            try:
                registries.update(self._store, entry.service, change)
            except store_client.StoreError:
                return
            self._metrics.count('agents.declared_lost')
            logging.warning('declared agent %s lost', entry.agent_id())

    def recover_silent_holders(self):
        """Recover each holder whose silence has exceeded the limit.

        The limit is zero for a holder whose record has this router's address:
        it belonged to an earlier process.
        """
        own = self._holders.get_holder_names()
        if self._holders.current is None:
            return
        now = self._clock.now()
        records = dict(self._peers.holder_records)
        for name in [n for n in self._silent_since if n not in records]:
            del self._silent_since[name]
        for name, record in records.items():
            if name in own or self._peers.find_router(name):
                self._silent_since.pop(name, None)
                continue
            since = self._silent_since.setdefault(name, now)
            is_predecessor = record.address == self._cfg.peer_listen
            silence_limit_ms = (
                0 if is_predecessor else self._compute_silence_limit_ms()
            )
            if now - since >= silence_limit_ms:
                self._try_recover(name)

    def _compute_silence_limit_ms(self):
        """Return the milliseconds of silence after which to recover a holder.

        The limit grows with the number of live routers whose address sorts
        before this router's.  Several routers may safely recover the same
        holder, but one is enough.
        """
        routers_before = sum(
            peer.address < self._cfg.peer_listen
            for peer in self._peers.list_live_routers()
        )
        delay_ms = min(routers_before * STAGGER_MS, MAX_STAGGER_MS)
        return self._cfg.reclaim_after_ms + delay_ms

    def recover_on_demand(self, name):
        """Recover a holder whose tokens are needed; return True on success.

        Concurrent callers wait for the same recovery.  After a failure it is
        not tried again until RETRY_PAUSE_MS after the end of that attempt.
        """
        failed_at = self._failed_at.get(name)
        if (
            failed_at is not None
            and self._clock.now() - failed_at < RETRY_PAUSE_MS
        ):
            return False
        task = self._recovering.get(name)
        if task is None:
            task = self._recovering[name] = gevent.spawn(
                self._try_recover, name
            )
            task.link(lambda _: self._recovering.pop(name, None))
        task.join()
        if task.value:
            self._failed_at.pop(name, None)
            return True
        self._failed_at[name] = self._clock.now()
        return False

    def _try_recover(self, name):
        """Recover a holder; return True on success."""
        try:
            self._holder_recovery.recover(name)
            return True
        except (
            holder_recovery.RecoveryIncomplete,
            store_client.StoreError,
            store_client.OutcomeUnknown,
        ) as exc:
            self._metrics.count('recoveries.waiting')
            logging.log_every_n_seconds(
                logging.WARNING,
                'recovery of holder %s is incomplete: %s',
                10,
                name,
                exc,
            )
            return False

    def recover_orphaned_grants(self):
        """Recover grants of holders that have no record.

        Such a grant remains if a sealed holder's router resumes, draws on a
        page that it has never used, and crashes before it has withdrawn that
        draw.
        """
        try:
            holder_names = set()
            for item in self._store.list(ledger.PAGE_PREFIX).items:
                page = store_client.decode(item, ledger.Page)
                for entry in page.entries.values():
                    holder_names.update(entry.grants)
            # Read after the pages: a record is written before any grant, so
            # it can't just be missing yet.
            known = registries.list_holder_names(self._store)
            for name in holder_names - known:
                self._holder_recovery.book_all_pages(
                    registry.HolderRecord(name)
                )
                logging.info(
                    'recovered the grants of %s, which has no record', name
                )
        except (
            holder_recovery.RecoveryIncomplete,
            store_client.StoreError,
            store_client.OutcomeUnknown,
        ) as exc:
            logging.log_every_n_seconds(
                logging.WARNING,
                'recovery of grants without a record is incomplete: %s',
                60,
                exc,
            )
