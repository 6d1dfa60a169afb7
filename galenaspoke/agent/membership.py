"""An agent's place in the registry: joining, settling in, leaving.

An agent writes itself into the registry before it takes work.  When it leaves
it hands its records to their next homes, and leaves in the registry what each
holder used here.
"""

from absl import logging
import gevent

from galenaspoke.core import registry
from galenaspoke.rpc import bridge
from galenaspoke.rpc import messages
from galenaspoke.rpc import methods
from galenaspoke.store import client as store_client

# Written once, by the first router that ever served from this store.
STARTED_KEY = 'fleet/started'
RETRY_S = 0.3
HAND_OVER_TIMEOUT_MS = 2000
HAND_OVER_BATCH = 200


class Membership:
    """One agent's entry in its service's registry."""

    __slots__ = (
        'incarnation',
        'ident',
        'registry',
        '_cfg',
        '_store',
        '_clock',
        '_seen_gone',
    )

    def __init__(self, cfg, incarnation, store, clock):
        self._cfg = cfg
        self.incarnation = incarnation
        self.ident = f'{cfg.name}.{incarnation}'
        self.registry = None
        self._store = store
        self._clock = clock
        self._seen_gone = {}

    def _update(self, change):
        key = registry.registry_key(self._cfg.service)
        result, reg = store_client.update(
            self._store, key, registry.Registry, change
        )
        self.offer(reg)
        return result

    def offer(self, reg):
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
            self._until_done(self.settle_in, 'settling in')

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

    def notify_others(self):
        """Tell every serving agent that this one has joined.

        Returns True once all have heard of it: from then on none of them
        takes a new request whose home is here.
        """
        reg = self.registry
        for entry in reg.serving():
            if entry.ident() == self.ident:
                continue
            channel = bridge.Channel(entry.address)
            try:
                channel.unary(
                    methods.NOTICE,
                    messages.RegistryBox(reg),
                    HAND_OVER_TIMEOUT_MS,
                )
            except bridge.PeerUnreachable:
                return False
            finally:
                channel.close()
        return True

    def settle_in(self):
        """Clear the joining mark; return False if this was replaced."""
        return self._update(
            lambda reg: registry.settle_in(
                reg, self._cfg.name, self.incarnation
            )
        )

    def replaced(self):
        """Tell whether the registry says that this incarnation is gone."""
        item = self._store.get(registry.registry_key(self._cfg.service))
        reg = store_client.decode(item, registry.Registry)
        self.offer(reg)
        self._note_gone(reg)
        entry = reg.find(self._cfg.name, self.incarnation)
        return entry is None or not entry.serves()

    def _note_gone(self, reg):
        """Forget entries that this agent has seen gone long enough.

        A lost agent whose address now belongs to its replacement is known
        to be dead.  Any other might be alive behind a partition, and only an
        operator can say that it is not.
        """
        now = self._clock.now()
        serving = {(entry.name, entry.address) for entry in reg.serving()}
        for entry in reg.entries:
            name = (entry.name, entry.incarnation)
            dead = (entry.name, entry.address) in serving
            if entry.serves() or (
                entry.phase is registry.Phase.LOST and not dead
            ):
                continue
            since = self._seen_gone.setdefault(name, now)
            if now - since >= self._cfg.record_ttl_ms:
                self._forget(entry)
                self._seen_gone[name] = now

    def _forget(self, entry):
        listing = self._store.list(registry.HOLDER_PREFIX)
        holders = [
            store_client.decode(item, registry.HolderRecord)
            for item in listing.items
        ]

        def change(reg):
            changed = registry.forget(
                reg, entry.name, entry.incarnation, holders
            )
            return changed or store_client.UNCHANGED

        self._update(change)

    def leave(self, claims, runs, usage):
        """Hand the records over and close the entry."""
        item = self._store.get(registry.registry_key(self._cfg.service))
        reg = store_client.decode(item, registry.Registry)
        hand_over(reg, self.ident, claims, runs)
        self._update(
            lambda latest: registry.close(
                latest, self._cfg.name, self.incarnation, usage
            )
        )


def hand_over(reg, leaver, claims, runs):
    """Send every record of an agent that leaves to its next home."""
    rest = registry.without(reg, {leaver})
    batches = {}
    for handed in _records(leaver, claims, runs):
        for entry in registry.order(rest, handed.place)[:1]:
            batches.setdefault(entry.address, []).append(handed)
    for address, batch in batches.items():
        channel = bridge.Channel(address)
        for start in range(0, len(batch), HAND_OVER_BATCH):
            part = batch[start : start + HAND_OVER_BATCH]
            try:
                channel.unary(
                    methods.HAND_OVER,
                    messages.HandOver(leaver, part),
                    HAND_OVER_TIMEOUT_MS,
                )
            except bridge.PeerUnreachable as exc:
                logging.warning(
                    '%d records not handed over: %s', len(part), exc
                )
        channel.close()


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
