"""Vouching for lost agents: what was sent there, so that all else was not.

A lost agent takes its records along.  Every request that reached it came
through some router, though.  So each router remembers for a while which keys
it sent where; when an agent is lost it hands these to their new homes and
says so in the registry.  Once every router has, whatever nobody sent is known
not to have run, and the loss no longer stands in the way of any request.

A router that stops passes its memory to another.  For one that crashed the
agents tell what it had sent them, to whoever recovers its grants; only if an
agent was lost at the same time can nobody tell, which is noted in the
registries until those keys are too old to be sent again.
"""

from absl import logging
import gevent

from galenaspoke.core import registry
from galenaspoke.fleet import registries
from galenaspoke.rpc import transport
from galenaspoke.rpc import messages
from galenaspoke.rpc import methods
from galenaspoke.store import client as store_client

TAKE_OVER_TIMEOUT_MS = 3000
RETRY_S = 0.3


class SentKeys:
    """Which keys were sent to which agent, and when."""

    __slots__ = ('_clock', '_sent')

    def __init__(self, clock):
        self._clock = clock
        self._sent = {}

    def add(self, agent_id, handed):
        """Note that a request was sent; return True if that is news."""
        keys = self._sent.setdefault(agent_id, {})
        news = handed.key not in keys
        keys[handed.key] = (self._clock.now(), handed)
        return news

    def remove(self, agent_id, key):
        """Take back that a request was sent, since it never arrived."""
        self._sent.get(agent_id, {}).pop(key, None)

    def of(self, agent_id):
        """Return the records of what was sent to an agent."""
        return [handed for _, handed in self._sent.get(agent_id, {}).values()]

    def every(self):
        """Return all records by agent."""
        return {agent_id: self.of(agent_id) for agent_id in self._sent}

    def __len__(self):
        return sum(len(keys) for keys in self._sent.values())

    def expire(self, older_than_ms):
        """Forget what was sent more than `older_than_ms` ago."""
        limit = self._clock.now() - older_than_ms
        for agent_id in list(self._sent):
            keys = self._sent[agent_id]
            for key in [k for k, (at, _) in keys.items() if at < limit]:
                del keys[key]
            if not keys:
                del self._sent[agent_id]


class Vouching:
    """One router's part in it."""

    __slots__ = (
        'sent',
        '_store',
        '_members',
        '_holders',
        '_busy',
        '_pending',
    )

    def __init__(self, sent, store, members, holders):
        self.sent = sent
        self._store = store
        self._members = members
        self._holders = holders
        self._busy = set()
        self._pending = 0

    def note_registry(self, reg):
        """Vouch for each agent that a newer registry says is lost."""
        for entry in reg.entries:
            agent_id = entry.agent_id()
            if (
                entry.phase is not registry.Phase.LOST
                or agent_id in self._busy
            ):
                continue
            self._busy.add(agent_id)
            self._pending += 1
            gevent.spawn(self._vouch, reg.service, entry)

    def idle(self):
        """Tell whether all vouching is done."""
        return not self._pending

    def _vouch(self, service, entry):
        while True:
            try:
                if self._try(service, entry):
                    self._pending -= 1
                    return
            except (store_client.StoreError, store_client.OutcomeUnknown):
                pass
            gevent.sleep(RETRY_S)

    def _try(self, service, entry):
        """Hand over and vouch; return True once that is done."""
        # The members have dropped the agent: nothing more is sent there.
        reg = self._members.registries[service]
        if not registries.hand_over(reg, '', self.sent.of(entry.agent_id())):
            return False
        names = self._holders.names()

        def change(latest):
            found = latest.find(entry.name, entry.incarnation)
            if found is None or set(names) <= set(found.vouched):
                return store_client.UNCHANGED
            found.vouched = sorted(set(found.vouched) | set(names))
            latest.version += 1
            return None

        _, latest = registries.update(self._store, service, change)
        registries.forget_vouched(self._store, latest)
        logging.info('vouched for %s', entry.agent_id())
        return True

    def take_over(self, message):
        """Take what a stopping router sent; return True if all is safe.

        What it had sent to an agent that is lost is handed over at once.
        """
        self.adopt(message.sent)
        for service, reg in self._members.registries.items():
            for entry in reg.entries:
                records = message.sent.get(entry.agent_id())
                if entry.is_serving() or not records:
                    continue
                if not registries.hand_over(reg, '', records):
                    return False
        return True

    def adopt(self, sent):
        """Vouch from now on for what another router sent, by agent."""
        for agent_id, records in sent.items():
            for handed in records:
                self.sent.add(agent_id, handed)

    def pass_on(self):
        """Give what was sent to another router; return True if one took it.

        With nothing remembered there is nothing to pass on.
        """
        message = messages.TakeOver(self.sent.every())
        if not len(self.sent):
            return True
        for peer in self._members.live_routers():
            try:
                reply = peer.channel.unary(
                    methods.TAKE_OVER, message, TAKE_OVER_TIMEOUT_MS
                )
            except transport.PeerUnreachable:
                continue
            if reply.taken:
                return True
        return False


def note_unvouched(store, service, holder):
    """Note in a registry that a holder went without vouching."""

    def change(reg):
        if holder in reg.unvouched:
            return store_client.UNCHANGED
        reg.unvouched.append(holder)
        reg.version += 1
        return None

    registries.update(store, service, change)
