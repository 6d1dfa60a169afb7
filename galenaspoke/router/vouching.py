"""Vouching for lost agents, so that requests they never got can still run.

The records of a lost agent are lost with it.  But every request that reached
the agent was sent by some router, so each router remembers for
`record_ttl_ms` which keys it sent to which agent.  When an agent is lost, each
router hands those keys over to their new homes and then *vouches* for the
agent in the registry: it has sent the agent nothing else.  Once all routers
have vouched, a key that none of them handed over is proved not to have run,
and the loss no longer blocks any request.

A router that stops transfers its sent keys to another router.  If a router
crashes, the router that recovers its grants learns from the agents what it had
sent them.  Only if an agent is lost at the same time are those keys unknown.
The registries then list the holder as unvouched until the keys are too old to
be sent again.
"""

from absl import logging
import gevent

from galenaspoke.core import registry
from galenaspoke.fleet import registries
from galenaspoke.rpc import messages
from galenaspoke.rpc import methods
from galenaspoke.rpc import transport
from galenaspoke.store import client as store_client

TAKE_OVER_TIMEOUT_MS = 3000
RETRY_PAUSE_S = 0.3


class SentKeys:
    """The keys that were sent to each agent, and when."""

    __slots__ = ('_clock', '_sent')

    def __init__(self, clock):
        self._clock = clock
        self._sent = {}

    def add(self, agent_id, record):
        """Add a sent request; return True if it was not recorded before.

        `record` is a messages.Handed.
        """
        keys = self._sent.setdefault(agent_id, {})
        is_new = record.key not in keys
        keys[record.key] = (self._clock.now(), record)
        return is_new

    def remove(self, agent_id, key):
        """Remove a request that is proved not to have arrived."""
        self._sent.get(agent_id, {}).pop(key, None)

    def records_for(self, agent_id):
        """Return the records of the requests sent to an agent."""
        return [record for _, record in self._sent.get(agent_id, {}).values()]

    def all_records(self):
        """Return the records of all sent requests, by agent id."""
        return {
            agent_id: self.records_for(agent_id) for agent_id in self._sent
        }

    def __len__(self):
        return sum(len(keys) for keys in self._sent.values())

    def expire(self, older_than_ms):
        """Remove the requests sent more than `older_than_ms` ago."""
        cutoff = self._clock.now() - older_than_ms
        for agent_id in list(self._sent):
            keys = self._sent[agent_id]
            for key in [k for k, (at, _) in keys.items() if at < cutoff]:
                del keys[key]
            if not keys:
                del self._sent[agent_id]


class Vouching:
    """Vouches for lost agents on behalf of one router."""

    __slots__ = (
        'sent_keys',
        '_store',
        '_peers',
        '_holders',
        '_started_for',
        '_pending_count',
    )

    def __init__(self, sent_keys, store, peers, holders):
        self.sent_keys = sent_keys
        self._store = store
        self._peers = peers
        self._holders = holders
        # Ids of the agents for which vouching has begun.
        self._started_for = set()
        self._pending_count = 0

    def on_registry_change(self, reg):
        """Start to vouch for each agent that is lost in a newer registry."""
        for entry in reg.entries:
            agent_id = entry.agent_id()
            if (
                entry.phase is not registry.Phase.LOST
                or agent_id in self._started_for
            ):
                continue
            self._started_for.add(agent_id)
            self._pending_count += 1
            gevent.spawn(self._vouch, reg.service, entry)

    def is_idle(self):
        """Return whether no vouching is in progress."""
        return not self._pending_count

    def _vouch(self, service, entry):
        while True:
            try:
                if self._try_vouch(service, entry):
                    self._pending_count -= 1
                    return
            except (store_client.StoreError, store_client.OutcomeUnknown):
                pass
            gevent.sleep(RETRY_PAUSE_S)

    def _try_vouch(self, service, entry):
        """Hand the sent keys over and vouch; return True if both succeeded."""
        # Nothing more is sent to the agent: `PeerDirectory.update_registry`
        # removes it after `on_registry_change`, but without yielding, so that
        # is done before this greenlet starts.
        reg = self._peers.registries[service]
        if not registries.hand_over(
            reg, '', self.sent_keys.records_for(entry.agent_id())
        ):
            return False
        names = self._holders.get_holder_names()

        def change(latest):
            stored = latest.find(entry.name, entry.incarnation)
            if stored is None or set(names) <= set(stored.vouched):
                return store_client.UNCHANGED
            stored.vouched = sorted(set(stored.vouched) | set(names))
            latest.version += 1
            return None

        _, latest = registries.update(self._store, service, change)
        try:
            registries.forget_vouched(self._store, latest)
        except registries.HolderUnreadable as exc:
            # Agents try again periodically.
            logging.warning('no lost agent can be forgotten: %s', exc)
        logging.info('vouched for lost agent %s', entry.agent_id())
        return True

    def take_over(self, message):
        """Take over the sent keys of a stopping router.

        Keys sent to an agent that no longer serves are handed over to their
        new homes at once.  Returns True if all of that succeeded.
        """
        self.adopt(message.sent)
        for service, reg in self._peers.registries.items():
            for entry in reg.entries:
                records = message.sent.get(entry.agent_id())
                if entry.is_serving() or not records:
                    continue
                if not registries.hand_over(reg, '', records):
                    return False
        return True

    def adopt(self, sent):
        """Add what another router sent, records by agent id, to the sent keys.

        This router vouches for them from now on.
        """
        for agent_id, records in sent.items():
            for record in records:
                self.sent_keys.add(agent_id, record)

    def transfer_to_peer(self):
        """Transfer the sent keys to another router.

        Returns True if some router took them over, or if there are none.
        """
        message = messages.TakeOver(self.sent_keys.all_records())
        if not len(self.sent_keys):
            return True
        for peer in self._peers.list_live_routers():
            try:
                reply = peer.channel.unary(
                    methods.TAKE_OVER, message, TAKE_OVER_TIMEOUT_MS
                )
            except transport.PeerUnreachable:
                continue
            if reply.taken:
                return True
        return False


def record_unvouched(store, service, holder_name):
    """Record in a registry that a holder has ended without vouching."""

    def change(reg):
        if holder_name in reg.unvouched:
            return store_client.UNCHANGED
        reg.unvouched.append(holder_name)
        reg.version += 1
        return None

    registries.update(store, service, change)
