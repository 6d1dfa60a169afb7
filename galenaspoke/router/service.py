"""What a router does for other routers."""

import gevent

from galenaspoke.rpc import transport
from galenaspoke.rpc import messages
from galenaspoke.rpc import methods

RELEASE_TIMEOUT_MS = 1500


class RouterService:
    """The handlers of one router's calls."""

    __slots__ = (
        '_cfg',
        '_config_manager',
        '_members',
        '_treasury',
        '_holders',
        '_dispatcher',
        '_vouching',
    )

    def __init__(
        self,
        cfg,
        config_manager,
        members,
        treasury,
        holders,
        dispatcher,
        vouching,
    ):
        self._holders = holders
        self._vouching = vouching
        self._cfg = cfg
        self._config_manager = config_manager
        self._members = members
        self._treasury = treasury
        self._dispatcher = dispatcher

    def get_handlers(self):
        """Return the calls served, each with its function."""
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
        registries = self._members.registries
        return messages.RouterStatus(
            self._cfg.name,
            self._holders.names(),
            self._config_manager.config.generation,
            self._dispatcher.leaving,
            {name: reg.version for name, reg in registries.items()},
            self._members.silent(),
        )

    def config(self, _empty):
        """Give the configuration in force."""
        config = self._config_manager.config
        return messages.ConfigSnapshot(config.generation, config.raw)

    def registry(self, ask):
        """Give this router's copy of a registry."""
        return messages.RegistrySnapshot(
            self._members.registries.get(ask.service)
        )

    def offer(self, offer):
        """Serve a request that another router has no money for."""
        yield from self._dispatcher.serve(offer.request, offered=True)

    def take_over(self, message):
        """Vouch from now on for what a stopping router has sent."""
        leaving = self._dispatcher.leaving
        taken = not leaving and self._vouching.take_over(message)
        return messages.TakeOverReply(taken)

    def release(self, release):
        """Give back what is not needed of a budget."""
        return messages.ReleaseReply(self._treasury.release(release.budget))


def release_at(members, recover):
    """Return a function that gets a budget's money back from holders.

    It asks those that can be reached to give back what they don't need, and
    recovers the others' grants: that is safe at any time, and better than to
    refuse a request while money is stuck with a router that has crashed.
    `recover` takes a holder's name and tells whether anything was freed.
    """

    def ask(holder, budget):
        peer = members.router_of(holder)
        if peer is None:
            return int(recover(holder))
        try:
            reply = peer.channel.unary(
                methods.RELEASE, messages.Release(budget), RELEASE_TIMEOUT_MS
            )
        except transport.PeerUnreachable:
            return int(recover(holder))
        return reply.amount

    def release(budget, holders):
        tasks = [gevent.spawn(ask, holder, budget) for holder in holders]
        gevent.joinall(tasks)
        return sum(task.value or 0 for task in tasks)

    return release
