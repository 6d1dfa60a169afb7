"""Dispatches whose fate this router doesn't know.

Their reservations stay until the agent has said what happened.  An agent that
is lost can't say it any more: the reservation is then in doubt.
"""

from galenaspoke.core import registry
from galenaspoke.rpc import transport
from galenaspoke.rpc import messages
from galenaspoke.rpc import methods

ASK_TIMEOUT_MS = 1000


class Unsettled:
    """All such dispatches, and the asking."""

    __slots__ = ('_members', '_metrics', '_waiting')

    def __init__(self, members, metrics):
        self._members = members
        self._metrics = metrics
        self._waiting = []

    def __len__(self):
        return len(self._waiting)

    def add(self, entry, dispatch, reservation):
        """Take over a reservation that was sent to an agent."""
        self._waiting.append((entry, dispatch, reservation))
        self._metrics.count('dispatches.unsettled')

    def settle(self):
        """Ask once about each; those that are certain end."""
        waiting, self._waiting = self._waiting, []
        try:
            while waiting:
                if not self._settle_one(*waiting[0]):
                    self._waiting.append(waiting[0])
                waiting.pop(0)
        finally:
            self._waiting.extend(waiting)

    def _settle_one(self, entry, dispatch, reservation):
        if reservation.holder.sealed:
            # Whoever sealed the holder accounts for it.
            return True
        peer = self._members.agents.get((entry.name, entry.incarnation))
        if peer is None:
            return self._settle_gone(entry, reservation)
        try:
            outcome = peer.channel.unary(
                methods.OUTCOME,
                messages.OutcomeRequest(entry.incarnation, dispatch),
                ASK_TIMEOUT_MS,
            )
        except transport.PeerUnreachable:
            return False
        if outcome.running:
            return False
        reservation.settle(outcome.spent, outcome.doubt)
        return True

    def _settle_gone(self, entry, reservation):
        reg = self._members.registries.get(entry.service)
        known = reg.find(entry.name, entry.incarnation) if reg else None
        if known is not None and known.phase is registry.Phase.JOINING:
            return False
        self._metrics.count('dispatches.in_doubt')
        reservation.settle(0, reservation.amount)
        return True
