"""Dispatches whose outcome this router doesn't know.

The reservation of such a dispatch is kept until the agent has reported the
outcome.  If the agent is lost or has left, it can't report any more: the
reserved tokens are then in doubt.
"""

from galenaspoke.core import registry
from galenaspoke.rpc import messages
from galenaspoke.rpc import methods
from galenaspoke.rpc import transport

OUTCOME_TIMEOUT_MS = 1000


class UnsettledDispatches:
    """The dispatches of unknown outcome, and the queries that settle them."""

    __slots__ = ('_peers', '_metrics', '_pending')

    def __init__(self, peers, metrics):
        self._peers = peers
        self._metrics = metrics
        self._pending = []

    def __len__(self):
        return len(self._pending)

    def add(self, entry, dispatch, reservation):
        """Take over the reservation of a dispatch that was sent to an agent.

        `entry` is the agent's registry entry.
        """
        self._pending.append((entry, dispatch, reservation))
        self._metrics.count('dispatches.unsettled')

    def settle(self):
        """Query each dispatch once, and settle those that have ended.

        Nothing is lost if a query raises: the rest stays for the next call.
        """
        pending, self._pending = self._pending, []
        try:
            while pending:
                if not self._settle_one(*pending[0]):
                    self._pending.append(pending[0])
                pending.pop(0)
        finally:
            self._pending.extend(pending)

    def _settle_one(self, entry, dispatch, reservation):
        if reservation.holder.is_sealed:
            # The router that sealed the holder accounts for it.
            return True
        peer = self._peers.agents.get((entry.name, entry.incarnation))
        if peer is None:
            return self._settle_removed(entry, reservation)
        try:
            outcome = peer.channel.unary(
                methods.OUTCOME,
                messages.OutcomeRequest(entry.incarnation, dispatch),
                OUTCOME_TIMEOUT_MS,
            )
        except transport.PeerUnreachable:
            return False
        if outcome.running:
            return False
        reservation.settle(outcome.spent, outcome.doubt)
        return True

    def _settle_removed(self, entry, reservation):
        reg = self._peers.registries.get(entry.service)
        known = reg.find(entry.name, entry.incarnation) if reg else None
        if known is not None and known.phase is registry.Phase.JOINING:
            return False
        self._metrics.count('dispatches.in_doubt')
        reservation.settle(0, reservation.amount)
        return True
