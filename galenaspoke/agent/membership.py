"""An agent's membership in the registry: joining, activation, leaving.

An agent adds itself to the registry before it accepts work.  When it leaves,
it hands its records over to their new homes and stores in the registry what
each holder used here.
"""

from absl import logging
import gevent

from galenaspoke.agent import handed_records
from galenaspoke.core import registry
from galenaspoke.core import schema
from galenaspoke.fleet import registries
from galenaspoke.rpc import messages
from galenaspoke.rpc import methods
from galenaspoke.rpc import transport
from galenaspoke.store import client as store_client

# Written once, by the first router that ever serves from this store.
STARTED_KEY = 'fleet/started'
RETRY_INTERVAL_S = 0.3
NOTICE_TIMEOUT_MS = 2000


class Membership:
    """One agent's entry in its service's registry."""

    __slots__ = (
        'incarnation',
        'agent_id',
        'registry',
        '_cfg',
        '_store',
        '_clock',
        '_gone_since',
    )

    def __init__(self, cfg, incarnation, store, clock):
        self._cfg = cfg
        self.incarnation = incarnation
        self.agent_id = f'{cfg.name}.{incarnation}'
        self.registry = None
        self._store = store
        self._clock = clock
        self._gone_since = {}

    def _update(self, change):
        result, reg = registries.update(self._store, self._cfg.service, change)
        self.accept_registry(reg)
        return result

    def accept_registry(self, reg):
        """Keep `reg` if it is newer than the registry known so far."""
        if self.registry is None or reg.version > self.registry.version:
            self.registry = reg

    def join(self):
        """Add this incarnation to the registry, retrying until it is done."""
        entry = registry.AgentEntry(
            self._cfg.service,
            self._cfg.name,
            self.incarnation,
            self._cfg.advertise or self._cfg.listen,
            self._cfg.domain,
            registry.Phase.JOINING,
            charges=self._cfg.kind == schema.MODEL,
        )

        def change(reg):
            reg.service = self._cfg.service
            registry.join(reg, entry)

        self._retry_until_done(
            lambda: self._update(change), 'joining the registry'
        )
        started = self._retry_until_done(
            lambda: self._store.get(STARTED_KEY), 'reading fleet/started'
        )
        if started.version == 0:
            # No request was ever served, so no other agent has a record.
            self._retry_until_done(self.activate, 'activating this agent')

    def _retry_until_done(self, operation, description):
        has_failed = False
        while True:
            try:
                return operation()
            except store_client.StoreError as exc:
                if not has_failed:
                    logging.warning(
                        '%s is waiting for the store: %s', description, exc
                    )
                has_failed = True
                gevent.sleep(RETRY_INTERVAL_S)

    def ensure_charging(self):
        """Make sure that the registry marks this agent as charging.

        Called before the first request that costs tokens, so that what this
        agent charged to any budget is accounted for if it is lost.  Raises
        StoreError.
        """
        entry = self.get_own_entry()
        if entry is not None and entry.charges:
            return
        self._update(
            lambda reg: registry.mark_charging(
                reg, self._cfg.name, self.incarnation
            )
        )

    def notify_others(self):
        """Send all other serving agents the registry that lists this agent.

        Return True if all of them have received it: from then on none of them
        accepts a new request whose home is here.
        """
        reg = self.registry
        for entry in reg.serving_entries():
            if entry.agent_id() == self.agent_id:
                continue
            channel = transport.Channel(entry.address)
            try:
                channel.unary(
                    methods.NOTICE,
                    messages.RegistrySnapshot(reg),
                    NOTICE_TIMEOUT_MS,
                )
            except transport.PeerUnreachable:
                return False
            finally:
                channel.close()
        return True

    def activate(self):
        """Change the phase from JOINING to ACTIVE.

        Return False if this agent was replaced.
        """
        return self._update(
            lambda reg: registry.activate(
                reg, self._cfg.name, self.incarnation
            )
        )

    def get_own_entry(self):
        """Return this incarnation's entry as last read, or None."""
        return self.registry.find(self._cfg.name, self.incarnation)

    def is_replaced(self):
        """Return whether this incarnation was replaced, as last read.

        That is the case if its entry is missing or no longer serving.
        """
        entry = self.get_own_entry()
        return entry is None or not entry.is_serving()

    def get_registry_version(self):
        """Return the version of the known registry, 0 if there is none."""
        return self.registry.version if self.registry else 0

    def refresh(self):
        """Read the registry again, and remove obsolete entries from it.

        On failure the next periodic call does.
        """
        try:
            self._clean_up(self._read_registry())
        except registries.HolderUnreadable as exc:
            logging.log_every_n_seconds(
                logging.WARNING, 'no agent can be forgotten: %s', 60, exc
            )
        except store_client.StoreError:
            pass

    def is_replaced_in_store(self):
        """Read the registry; return whether this incarnation was replaced.

        Does nothing else, so that the result is as new as it can be.  Raises
        StoreError.
        """
        self._read_registry()
        return self.is_replaced()

    def _read_registry(self):
        """Read the registry, accept it if it is newer, and return it."""
        item = self._store.get(registry.registry_key(self._cfg.service))
        reg = store_client.decode(item, registry.Registry)
        self.accept_registry(reg)
        return reg

    def _clean_up(self, reg):
        """Remove obsolete entries from the registry.

        Entries that have been CLOSED or FORGOTTEN for `record_ttl_ms`, as
        observed by this process, are passed to `registry.forget`.  A router
        that left without vouching is removed from `unvouched` after the same
        time, when its keys are too old to be sent again.  A lost agent is
        forgotten when every holder (router incarnation) has vouched for it.
        """
        now = self._clock.now()
        gone_agent_ids = [
            entry.agent_id()
            for entry in reg.entries
            if entry.phase in (registry.Phase.CLOSED, registry.Phase.FORGOTTEN)
        ]
        expired_names = []
        for name in gone_agent_ids + reg.unvouched:
            since = self._gone_since.setdefault(name, now)
            if now - since >= self._cfg.record_ttl_ms:
                expired_names.append(name)
                # If it cannot be forgotten yet, try again after the same time.
                self._gone_since[name] = now
        if expired_names:
            self._forget_names(expired_names)
        registries.forget_vouched(self._store, reg)

    def _forget_names(self, expired_names):
        holder_records = registries.list_holders(self._store)

        def change(reg):
            before = reg.version
            for entry in list(reg.entries):
                if entry.agent_id() in expired_names:
                    registry.forget(
                        reg, entry.name, entry.incarnation, holder_records
                    )
            kept = [
                name for name in reg.unvouched if name not in expired_names
            ]
            if kept != reg.unvouched:
                reg.unvouched = kept
                reg.version += 1
            return store_client.UNCHANGED if reg.version == before else None

        self._update(change)

    def leave(self, claims, runs, usage):
        """Hand the records over and close the registry entry.

        `usage` maps each holder to its usage here by budget.  Raises
        StoreError.
        """
        reg = self._read_registry()
        registries.hand_over(
            reg,
            self.agent_id,
            handed_records.iter_all(self.agent_id, claims, runs),
        )
        self._update(
            lambda latest: registry.close(
                latest, self._cfg.name, self.incarnation, usage
            )
        )
