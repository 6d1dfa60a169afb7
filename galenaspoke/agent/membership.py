"""An agent's place in the registry: joining, settling in, leaving.

An agent writes itself into the registry before it takes work.  When it leaves
it hands its records to their next homes, and leaves in the registry what each
holder used here.
"""

from absl import logging
import gevent

from galenaspoke.core import schema
from galenaspoke.core import registry
from galenaspoke.fleet import registries
from galenaspoke.rpc import transport
from galenaspoke.rpc import messages
from galenaspoke.rpc import methods
from galenaspoke.store import client as store_client

# Written once, by the first router that ever served from this store.
STARTED_KEY = 'fleet/started'
RETRY_S = 0.3
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
        '_seen_gone',
    )

    def __init__(self, cfg, incarnation, store, clock):
        self._cfg = cfg
        self.incarnation = incarnation
        self.agent_id = f'{cfg.name}.{incarnation}'
        self.registry = None
        self._store = store
        self._clock = clock
        self._seen_gone = {}

    def _update(self, change):
        result, reg = registries.update(self._store, self._cfg.service, change)
        self.update_if_newer(reg)
        return result

    def update_if_newer(self, reg):
        """Take a registry that is newer than the one known."""
        if self.registry is None or reg.version > self.registry.version:
            self.registry = reg

    def join(self):
        """Write this incarnation into the registry; wait for the store."""
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

        self._until_done(lambda: self._update(change), 'joining')
        started = self._until_done(
            lambda: self._store.get(STARTED_KEY), 'joining'
        )
        if started.version == 0:
            # No request was ever served, so there is no earlier record.
            self._until_done(self.activate, 'settling in')

    def _until_done(self, step, what):
        failed = False
        while True:
            try:
                return step()
            except store_client.StoreError as exc:
                if not failed:
                    logging.warning('%s waits for the store: %s', what, exc)
                failed = True
                gevent.sleep(RETRY_S)

    def mark_charging(self):
        """Make sure that the registry says that this agent charges.

        Done before the first request that costs anything: if this agent is
        lost, its part in any budget is then looked for.  Raises StoreError.
        """
        entry = self.own_entry()
        if entry is not None and entry.charges:
            return
        self._update(
            lambda reg: registry.mark_charging(
                reg, self._cfg.name, self.incarnation
            )
        )

    def notify_others(self):
        """Tell every serving agent that this one has joined.

        Returns True once all have heard of it: from then on none of them
        takes a new request whose home is here.
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
        """Clear the joining mark; return False if this was replaced."""
        return self._update(
            lambda reg: registry.activate(
                reg, self._cfg.name, self.incarnation
            )
        )

    def own_entry(self):
        """Return this incarnation's entry as last read, or None."""
        return self.registry.find(self._cfg.name, self.incarnation)

    def version(self):
        """Return the version of the registry that is known."""
        return self.registry.version if self.registry else 0

    def refresh(self):
        """Read the registry anew; the next regular look does if this fails."""
        try:
            self.replaced()
        except store_client.StoreError:
            pass

    def replaced(self):
        """Tell whether the registry says that this incarnation is gone."""
        item = self._store.get(registry.registry_key(self._cfg.service))
        reg = store_client.decode(item, registry.Registry)
        self.update_if_newer(reg)
        self._note_gone(reg)
        entry = reg.find(self._cfg.name, self.incarnation)
        return entry is None or not entry.is_serving()

    def _note_gone(self, reg):
        """Tidy the registry: what has gone for long, losses vouched for.

        A lost agent is forgotten when every router has vouched for it.  A
        router that went without vouching is forgotten when its keys are too
        old to be sent again.
        """
        now = self._clock.now()
        gone = [
            entry.agent_id()
            for entry in reg.entries
            if entry.phase in (registry.Phase.CLOSED, registry.Phase.FORGOTTEN)
        ]
        old = []
        for name in gone + reg.unvouched:
            since = self._seen_gone.setdefault(name, now)
            if now - since >= self._cfg.record_ttl_ms:
                old.append(name)
                self._seen_gone[name] = now
        if old:
            self._tidy(old)
        registries.forget_vouched(self._store, reg)

    def _tidy(self, old):
        holders = registries.list_holders(self._store)

        def change(reg):
            before = reg.version
            for entry in list(reg.entries):
                if entry.agent_id() in old:
                    registry.forget(
                        reg, entry.name, entry.incarnation, holders
                    )
            kept = [name for name in reg.unvouched if name not in old]
            if kept != reg.unvouched:
                reg.unvouched = kept
                reg.version += 1
            return store_client.UNCHANGED if reg.version == before else None

        self._update(change)

    def leave(self, claims, runs, usage):
        """Hand the records over and close the entry."""
        item = self._store.get(registry.registry_key(self._cfg.service))
        reg = store_client.decode(item, registry.Registry)
        registries.hand_over(
            reg, self.agent_id, _records(self.agent_id, claims, runs)
        )
        self._update(
            lambda latest: registry.close(
                latest, self._cfg.name, self.incarnation, usage
            )
        )


def _records(leaver, claims, runs):
    by_attempt = {(run.key, run.attempt): run for run in runs}
    for claim in claims:
        run = None
        if claim.runner == leaver:
            run = by_attempt.pop((claim.key, claim.attempt), None)
        yield _handed(claim, claim.attempt, claim.runner, claim.closed, run)
    for run in by_attempt.values():
        if run.place:
            yield _handed(run, run.attempt, leaver, None, run)


def _handed(source, attempt, runner, closed, run):
    return messages.Handed(
        source.key,
        source.digest,
        source.place,
        attempt,
        runner,
        source.billable,
        closed,
        run.state if run else None,
        run.pieces if run else [],
        run.refusal if run else None,
    )
