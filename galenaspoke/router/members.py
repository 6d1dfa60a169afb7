"""Whom a router knows: agents, other routers, and how they are.

Agents come from the registries, other routers from the holders' records and
the platform's list.  One greenlet for each peer asks for its status again and
again; whoever is behind on the configuration is sent it.
"""

from absl import logging
import gevent
import msgspec

from galenaspoke.core import registry
from galenaspoke.core import routing
from galenaspoke.roster import client as roster
from galenaspoke.rpc import transport
from galenaspoke.rpc import messages
from galenaspoke.rpc import methods
from galenaspoke.store import client as store_client

STATUS_TIMEOUT_MS = 1000
INSTALL_TIMEOUT_MS = 3000
WATCH_RETRY_S = 0.5
ROSTER_MS = 1000


class AgentPeer:
    """One incarnation of an agent, as this router knows it."""

    __slots__ = ('entry', 'channel', 'load', 'silent_since', 'task')

    def __init__(self, entry):
        self.silent_since = None
        self.entry = entry
        self.channel = transport.Channel(entry.address)
        self.load = routing.Load()
        self.task = None

    def name(self):
        """Return the name under which `Members.agents` has it."""
        return self.entry.name, self.entry.incarnation


class RouterPeer:
    """Another router."""

    __slots__ = ('address', 'channel', 'status', 'seen_at', 'task')

    def __init__(self, address, now):
        self.address = address
        self.channel = transport.Channel(address)
        self.status = None
        self.seen_at = now
        self.task = None


class Members:
    """All peers of one router."""

    __slots__ = (
        'registries',
        'agents',
        'routers',
        'holders',
        'lost_listener',
        'own_holders',
        '_cfg',
        '_store',
        '_clock',
        '_config_manager',
        '_metrics',
    )

    def __init__(self, cfg, store, clock, config_manager, metrics):
        self._cfg = cfg
        self._store = store
        self._clock = clock
        self._config_manager = config_manager
        self._metrics = metrics
        self.registries = {}
        self.agents = {}
        self.routers = {}
        self.holders = {}
        self.lost_listener = lambda reg: None
        self.own_holders = list

    def start(self):
        """Begin to watch the store and the platform's list."""
        gevent.spawn(self._watch, registry.REGISTRY_PREFIX, self._registries)
        gevent.spawn(self._watch, registry.HOLDER_PREFIX, self._holders)
        gevent.spawn(self._watch, 'config/', self._config)
        if self._cfg.roster:
            gevent.spawn(self._follow_roster)

    def _watch(self, prefix, found):
        """Follow a prefix of the store for good, whole at each change."""
        since = -1
        while True:
            try:
                if since < 0:
                    listing = self._store.list(prefix)
                else:
                    listing = self._store.watch(prefix, since)
            except store_client.StoreError:
                since = -1
                gevent.sleep(WATCH_RETRY_S)
                continue
            if listing.revision != since:
                self._take(prefix, found, listing.items)
            since = listing.revision

    def _take(self, prefix, found, items):
        """Hand on what was found; what can't be read changes nothing."""
        try:
            found(items)
        except msgspec.DecodeError as exc:
            self._metrics.count('store.unreadable')
            logging.error('unreadable objects under %s: %s', prefix, exc)

    def _config(self, items):
        for item in items:
            self._config_manager.update_from_store(item)

    def _registries(self, items):
        for item in items:
            self.offer_registry(store_client.decode(item, registry.Registry))

    def offer_registry(self, reg):
        """Take a registry if it is newer than the one known."""
        known = self.registries.get(reg.service)
        if known is not None and known.version >= reg.version:
            return
        self.registries[reg.service] = reg
        self.lost_listener(reg)
        serving = {
            (entry.name, entry.incarnation): entry
            for entry in reg.serving_entries()
        }
        for name in [
            n for n, a in self.agents.items() if a.entry.service == reg.service
        ]:
            if name not in serving:
                self._drop_agent(name)
        for name, entry in serving.items():
            if name not in self.agents:
                self._add_agent(name, entry)

    def _add_agent(self, name, entry):
        peer = self.agents[name] = AgentPeer(entry)
        peer.task = gevent.spawn(self._attend_agent, peer)
        logging.info('agent %s.%s is known', *name)

    def _drop_agent(self, name):
        peer = self.agents.pop(name)
        peer.task.kill(block=False)
        gevent.spawn(self._tell_gone, peer)
        # Streams in progress end by themselves; the channel closes later.
        gevent.spawn_later(
            self._cfg.default_deadline_ms / 1000, peer.channel.close
        )
        logging.info('agent %s.%s has gone', *name)

    def _tell_gone(self, peer):
        """Tell an agent that the registry has it as gone, if it lives."""
        reg = self.registries[peer.entry.service]
        try:
            peer.channel.unary(
                methods.NOTICE,
                messages.RegistrySnapshot(reg),
                STATUS_TIMEOUT_MS,
            )
        except transport.PeerUnreachable:
            pass

    def _attend_agent(self, peer):
        while True:
            try:
                status = peer.channel.unary(
                    methods.STATUS,
                    self._greeting(peer),
                    STATUS_TIMEOUT_MS,
                )
                self._note_agent(peer, status)
            except transport.PeerUnreachable as exc:
                self._note_silent(peer, exc)
            gevent.sleep(self._cfg.heartbeat_ms / 1000)

    def _greeting(self, peer):
        reg = self.registries[peer.entry.service]
        return messages.Heartbeat(self.own_holders(), reg.version)

    def _note_agent(self, peer, status):
        load = peer.load
        peer.silent_since = None
        same = status.incarnation == peer.entry.incarnation
        failed = not (status.target_up and same)
        if failed != load.failed:
            logging.info('agent %s usable: %s', peer.entry.name, not failed)
        load.failed = failed
        load.leaving = status.leaving
        load.add_report(status.load)
        if status.generation < self._config_manager.config.generation:
            config = self._config_manager.config
            peer.channel.unary(
                methods.INSTALL,
                messages.ConfigSnapshot(config.generation, config.raw),
                INSTALL_TIMEOUT_MS,
            )

    def _note_silent(self, peer, exc):
        if peer.silent_since is None:
            peer.silent_since = self._clock.now()
            logging.warning('agent %s is silent: %s', peer.entry.name, exc)
        peer.load.failed = True
        self._metrics.count('agents.silent')

    def _holders(self, items):
        self.holders = {}
        for item in items:
            record = store_client.decode(item, registry.HolderRecord)
            self.holders[record.holder] = record
            self._add_router(record.address)

    def _follow_roster(self):
        while True:
            for instance in roster.fetch(self._cfg.roster):
                if instance.role == roster.ROUTER:
                    self._add_router(instance.address)
            gevent.sleep(ROSTER_MS / 1000)

    def _add_router(self, address):
        if address in self.routers or address == self._cfg.peer_listen:
            return
        peer = RouterPeer(address, self._clock.now())
        self.routers[address] = peer
        peer.task = gevent.spawn(self._attend_router, peer)

    def _attend_router(self, peer):
        while True:
            try:
                peer.status = peer.channel.unary(
                    methods.ROUTER_STATUS, messages.Empty(), STATUS_TIMEOUT_MS
                )
                peer.seen_at = self._clock.now()
                self._catch_up(peer)
            except transport.PeerUnreachable:
                self._metrics.count('routers.silent')
            gevent.sleep(self._cfg.heartbeat_ms / 1000)

    def _catch_up(self, peer):
        """Take from a peer what it knows and this router doesn't."""
        if peer.status.generation > self._config_manager.config.generation:
            box = peer.channel.unary(
                methods.CONFIG, messages.Empty(), INSTALL_TIMEOUT_MS
            )
            self._config_manager.update_if_newer(box.generation, box.raw)
        for service, version in peer.status.registries.items():
            known = self.registries.get(service)
            if known is not None and known.version >= version:
                continue
            box = peer.channel.unary(
                methods.REGISTRY,
                messages.RegistryRequest(service),
                INSTALL_TIMEOUT_MS,
            )
            if box.registry is not None:
                self.offer_registry(box.registry)

    def silent(self):
        """Return the idents of agents that have been silent for long."""
        limit = self._clock.now() - self._cfg.agent_lost_ms
        return [
            peer.entry.agent_id()
            for peer in self.agents.values()
            if peer.silent_since is not None and peer.silent_since <= limit
        ]

    def silent_everywhere(self):
        """Return the entries of agents that no live router hears."""
        agent_ids = set(self.silent())
        for peer in self.live_routers():
            agent_ids &= set(peer.status.silent)
        return [
            peer.entry
            for peer in self.agents.values()
            if peer.entry.agent_id() in agent_ids
        ]

    def agents_of(self, service):
        """Return the AgentPeers of a service, each under its ident."""
        return {
            peer.entry.agent_id(): peer
            for peer in self.agents.values()
            if peer.entry.service == service
        }

    def live_routers(self):
        """Return the routers heard of lately."""
        limit = self._clock.now() - self._cfg.reclaim_after_ms
        return [
            peer
            for peer in self.routers.values()
            if peer.status is not None and peer.seen_at >= limit
        ]

    def router_of(self, holder):
        """Return the peer that holds money as `holder`, or None."""
        for peer in self.live_routers():
            if holder in peer.status.holders:
                return peer
        return None
