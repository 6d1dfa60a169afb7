"""Recovery of the grants of one holder whose router is gone.

The holder's record is first marked as sealed with a conditional update.  Then
every agent in the registries is asked to seal the holder, that is to refuse
its requests from then on and to report its usage there.  Tokens are booked or
freed only once all agents have reported; while requests still run, only the
tokens that they can't use are freed.  If an agent is lost, the usage there is
unknown: the rest of the grant is in doubt until an operator settles it.
"""

from absl import logging
import gevent

from galenaspoke.core import ledger
from galenaspoke.core import registry
from galenaspoke.router import vouching
from galenaspoke.rpc import messages
from galenaspoke.rpc import methods
from galenaspoke.rpc import transport
from galenaspoke.store import client as store_client

SEAL_TIMEOUT_MS = 2000


class RecoveryIncomplete(Exception):
    """Not all agents have reported, or requests still run.

    Tokens that no agent has accounted for must not be freed yet.
    """


class HolderRecovery:
    """Seals holders and books their grants, on behalf of one router."""

    __slots__ = (
        '_store_cfg',
        '_store',
        '_peers',
        '_holders',
        '_vouching',
        '_metrics',
    )

    def __init__(
        self, store_cfg, store, peers, holders, own_vouching, metrics
    ):
        self._store_cfg = store_cfg
        self._store = store
        self._peers = peers
        self._holders = holders
        self._vouching = own_vouching
        self._metrics = metrics

    def recover(self, name):
        """Seal a holder and book its grants; raises RecoveryIncomplete."""
        record = self._seal_record(name)
        if record is None:
            return
        sent, services_with_unknown_keys = self.book_all_pages(record)
        self._vouching.adopt(sent)
        for service in services_with_unknown_keys:
            vouching.record_unvouched(self._store, service, name)
        self._remove_record(name)
        self._metrics.count('recoveries.done')
        logging.info('recovered the grants of %s', name)

    def book_all_pages(self, record):
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
