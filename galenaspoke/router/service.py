"""The RPC service that a router offers to other routers."""

import gevent

from galenaspoke.rpc import messages
from galenaspoke.rpc import methods
from galenaspoke.rpc import transport

RELEASE_TIMEOUT_MS = 1500


class RouterService:
    """The RPC handlers of one router."""

    __slots__ = (
        '_cfg',
        '_config_manager',
        '_peers',
        '_grant_manager',
        '_holders',
        '_dispatcher',
        '_vouching',
    )

    def __init__(
        self,
        cfg,
        config_manager,
        peers,
        grant_manager,
        holders,
        dispatcher,
        vouching,
    ):
        self._holders = holders
        self._vouching = vouching
        self._cfg = cfg
        self._config_manager = config_manager
        self._peers = peers
        self._grant_manager = grant_manager
        self._dispatcher = dispatcher

    def get_handlers(self):
        """Return pairs of RPC method and handler."""
        return [
            (methods.ROUTER_STATUS, self.status),
            (methods.CONFIG, self.config),
            (methods.REGISTRY, self.registry),
            (methods.OFFER, self.offer),
            (methods.RELEASE, self.release),
            (methods.TAKE_OVER, self.take_over),
        ]

    def status(self, _empty):
        """Answer a heartbeat."""
        registries = self._peers.registries
        return messages.RouterStatus(
            self._cfg.name,
            self._holders.get_holder_names(),
            self._config_manager.config.generation,
            self._dispatcher.is_stopping,
            {name: reg.version for name, reg in registries.items()},
            self._peers.list_silent_agents(),
        )

    def config(self, _empty):
        """Return the configuration in force."""
        config = self._config_manager.config
        return messages.ConfigSnapshot(config.generation, config.raw)

    def registry(self, request):
        """Return this router's copy of a service's registry."""
        return messages.RegistrySnapshot(
            self._peers.registries.get(request.service)
        )

    def offer(self, offer):
        """Serve a request for which another router has no tokens."""
        yield from self._dispatcher.serve(offer.request, offered=True)

    def take_over(self, message):
        """Take over the sent keys of a stopping router."""
        is_stopping = self._dispatcher.is_stopping
        taken = not is_stopping and self._vouching.take_over(message)
        return messages.TakeOverReply(taken)

    def release(self, release):
        """Return the unreserved tokens of a budget to the ledger."""
        return messages.ReleaseReply(
            self._grant_manager.release(release.budget)
        )


def make_release_requester(peers, recover):
    """Return a function that frees tokens of a budget held by other holders.

    The function asks the holders that can be reached to return tokens, and
    recovers the grants of the others.  Recovery is safe at any time, and
    better than to refuse a request while the tokens are stuck with a crashed
    router.  `recover` takes a holder's name and returns whether its grants
    have been recovered.
    """

    def release_one(holder_name, budget):
        peer = peers.find_router(holder_name)
        if peer is None:
            return int(recover(holder_name))
        try:
            reply = peer.channel.unary(
                methods.RELEASE, messages.Release(budget), RELEASE_TIMEOUT_MS
            )
        except transport.PeerUnreachable:
            return int(recover(holder_name))
        return reply.amount

    def release(budget, holder_names):
        tasks = [
            gevent.spawn(release_one, holder_name, budget)
            for holder_name in holder_names
        ]
        gevent.joinall(tasks)
        return sum(task.value or 0 for task in tasks)

    return release
