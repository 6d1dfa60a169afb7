"""Recovery of the grants of holders whose router is gone.

Silence only triggers a recovery; it proves nothing.  The holder's record is
first marked as sealed with a conditional update.  Then every agent in the
registries is asked to seal the holder, that is to refuse its requests from
then on and to report its usage there.  Tokens are booked or freed only once
all agents have reported; while requests still run, only the tokens that they
can't use are freed.  If an agent is lost, the usage there is unknown: the rest
of the grant is in doubt until an operator settles it.
"""

from absl import logging
import gevent

from galenaspoke.core import ledger
from galenaspoke.core import registry
from galenaspoke.fleet import registries
from galenaspoke.router import vouching
from galenaspoke.rpc import messages
from galenaspoke.rpc import methods
from galenaspoke.rpc import transport
from galenaspoke.store import client as store_client

SEAL_TIMEOUT_MS = 2000
# Each further router waits this much longer before it recovers a holder, up to
# the maximum.
STAGGER_MS = 500
MAX_STAGGER_MS = 10_000
# Minimum time from the end of a failed recovery on demand to the next one.
RETRY_PAUSE_MS = 500


class RecoveryIncomplete(Exception):
    """Not all agents have reported, or requests still run.

    Tokens that no agent has accounted for must not be freed yet.
    """


class GrantRecovery:
    """Finds holders whose router is gone, and recovers their grants."""

    __slots__ = (
        '_cfg',
        '_store_cfg',
        '_store',
        '_clock',
        '_peers',
        '_holders',
        '_vouching',
        '_metrics',
        '_silent_since',
        '_recovering',
        '_failed_at',
    )

    def __init__(
        self, cfg, store, clock, peers, holders, own_vouching, metrics
    ):
        self._vouching = own_vouching
        self._cfg = cfg.router
        self._store_cfg = cfg.store
        self._store = store
        self._clock = clock
        self._peers = peers
        self._holders = holders
        self._metrics = metrics
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
            self.recover(name)
            return True
        except (
            RecoveryIncomplete,
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

    def recover(self, name):
        """Seal a holder and book its grants; raises RecoveryIncomplete."""
        record = self._seal_record(name)
        if record is None:
            return
        sent, services_with_unknown_keys = self._book_all_pages(record)
        self._vouching.adopt(sent)
        for service in services_with_unknown_keys:
            vouching.record_unvouched(self._store, service, name)
        self._remove_record(name)
        self._metrics.count('recoveries.done')
        logging.info('recovered the grants of %s', name)

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
                self._book_all_pages(registry.HolderRecord(name))
                logging.info(
                    'recovered the grants of %s, which has no record', name
                )
        except (
            RecoveryIncomplete,
            store_client.StoreError,
            store_client.OutcomeUnknown,
        ) as exc:
            logging.log_every_n_seconds(
                logging.WARNING,
                'recovery of grants without a record is incomplete: %s',
                60,
                exc,
            )

    def _book_all_pages(self, record):
        """Book a holder's grants on every page; raises RecoveryIncomplete.

        Returns the records of what the holder sent, by agent id, and the
        services for which they are not all known.
        """
        usage, lost_agents, sent, services_with_unknown_keys = (
            self._seal_at_agents(record)
        )
        running = False
        for number in range(self._store_cfg.ledger_pages):
            key = f'{ledger.PAGE_PREFIX}{number:04d}'
            is_running = self._book_page(
                key, record.holder, usage, lost_agents
            )
            running = running or is_running
        if running:
            raise RecoveryIncomplete('requests are still running')
        return sent, services_with_unknown_keys

    def _seal_record(self, name):
        """Mark a holder's record as sealed; return it, or None if missing."""
        key = registry.holder_key(name)

        def change(record):
            if not record.holder or record.sealed_by:
                return store_client.UNCHANGED
            record.sealed_by = self._holders.current.name
            logging.warning('sealing holder %s', name)
            return None

        _, record = store_client.update(
            self._store, key, registry.HolderRecord, change
        )
        return record if record.holder else None

    def _seal_at_agents(self, record):
        """Seal a holder at all agents.

        Returns its usage by budget, the ids of lost agents, the records of
        what it sent by agent id, and the services for which those records are
        not all known.  Raises RecoveryIncomplete if an agent does not answer.
        """
        # Read after the record was marked: an agent that is not listed yet
        # will see the mark when it looks the holder up.
        listing = self._store.list(registry.REGISTRY_PREFIX)
        live_holders = self._list_live_holders()
        usage = {}
        lost_agents = []
        sent = {}
        services_with_unknown_keys = []
        for item in listing.items:
            reg = store_client.decode(item, registry.Registry)
            tasks = [
                (
                    entry,
                    gevent.spawn(
                        self._seal_at_agent, entry, record, live_holders
                    ),
                )
                for entry in reg.serving_entries()
            ]
            for entry, task in tasks:
                reply = task.get()
                if reply is None:
                    raise RecoveryIncomplete(f'{entry.name} does not answer')
                _add_usage(usage, reply.usage)
                sent[entry.agent_id()] = reply.records
            if registry.may_have_unknown_keys(reg, record):
                services_with_unknown_keys.append(reg.service)
            for entry in registry.unaccounted_agents(reg, record):
                if entry.usage is None:
                    lost_agents.append(f'{entry.name}.{entry.incarnation}')
                else:
                    _add_usage(usage, entry.usage.get(record.holder, {}))
        return usage, lost_agents, sent, services_with_unknown_keys

    def _list_live_holders(self):
        """Return the names of the holders that are not sealed.

        Leaves out a holder whose record can't be decoded.  This is safe:
        agents then also report what that holder sent.
        """
        live_holders = []
        for item in self._store.list(registry.HOLDER_PREFIX).items:
            try:
                record = store_client.decode(item, registry.HolderRecord)
            except store_client.Unreadable as exc:
                self._metrics.count('store.unreadable')
                logging.log_every_n_seconds(
                    logging.ERROR,
                    'skipped unreadable object %s: %s',
                    10,
                    item.key,
                    exc,
                )
                continue
            if not record.sealed_by:
                live_holders.append(record.holder)
        return live_holders

    def _seal_at_agent(self, entry, record, live_holders):
        """Seal a holder at one agent; return the reply, or None."""
        peer = self._peers.agents.get((entry.name, entry.incarnation))
        channel = peer.channel if peer else transport.Channel(entry.address)
        try:
            reply = channel.unary(
                methods.SEAL,
                messages.Seal(entry.incarnation, record.holder, live_holders),
                SEAL_TIMEOUT_MS,
            )
        except transport.PeerUnreachable:
            return None
        finally:
            if peer is None:
                channel.close()
        return reply

    def _book_page(self, key, name, usage, lost_agents):
        """Book a holder's grants on one page.

        Returns True if some of its requests are still running.
        """

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
                if book_grant(page, budget, name, grant, used, lost_agents):
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


def book_grant(page, budget, holder_name, grant, used, lost_agents):
    """Book one grant of a sealed holder.

    Returns True if requests under it are still running.  The holder's own
    report counts where the agents report less, because an agent that had
    reported to the holder may have been lost since.
    """
    spent = max(used.spent, grant.spent)
    doubt = max(used.doubt, grant.doubt)
    if used.running:
        keep = spent + doubt + used.running
        if not lost_agents and keep < grant.granted:
            returned = grant.granted - keep
            ledger.shrink_grant(
                page, budget, holder_name, returned, spent, doubt
            )
        return True
    if lost_agents:
        doubt = grant.granted - spent
    why = (
        'lost: ' + ', '.join(lost_agents) if lost_agents else 'outcome unknown'
    )
    ledger.close_grant(page, budget, holder_name, spent, doubt, why)
    return False


def _add_usage(total, usage):
    for budget, used in usage.items():
        total_used = total.setdefault(budget, registry.Usage())
        total_used.spent += used.spent
        total_used.doubt += used.doubt
        total_used.running += used.running
