"""The peers of a router, agents and other routers, and their status.

Agents are found in the registries, other routers in the holder records and in
the platform's list of instances.  One greenlet for each peer polls its status.
An agent whose configuration is older is sent this router's.  If another router
has a newer configuration, it is fetched.
"""

from absl import logging
import gevent
import msgspec

from galenaspoke.core import registry
from galenaspoke.core import routing
from galenaspoke.roster import client as roster
from galenaspoke.rpc import messages
from galenaspoke.rpc import methods
from galenaspoke.rpc import transport
from galenaspoke.store import client as store_client

STATUS_TIMEOUT_MS = 1000
INSTALL_TIMEOUT_MS = 3000
WATCH_RETRY_S = 0.5
ROSTER_POLL_INTERVAL_MS = 1000


class AgentPeer:
    """One incarnation of an agent, as this router knows it.

    `silent_since` is when its heartbeats began to fail, or None while they
    are answered.
    """

    __slots__ = ('entry', 'channel', 'load', 'silent_since', 'task')

    def __init__(self, entry):
        self.silent_since = None
        self.entry = entry
        self.channel = transport.Channel(entry.address)
        self.load = routing.Load()
        self.task = None

    def key(self):
        """Return the agent's key in `PeerDirectory.agents`."""
        return self.entry.name, self.entry.incarnation


class RouterPeer:
    """Another router, with its last status and when that was received."""

    __slots__ = ('address', 'channel', 'status', 'seen_at', 'task')

    def __init__(self, address, now):
        self.address = address
        self.channel = transport.Channel(address)
        self.status = None
        self.seen_at = now
        self.task = None


class PeerDirectory:
    """The peers of one router.

    `registries` are kept by service, `agents` by name and incarnation,
    `routers` by address and `holder_records` by holder.

    `on_registry_change` is called with each newer registry.
    `get_own_holder_names` returns the names of this router's holders.
    """

    __slots__ = (
        'registries',
        'agents',
        'routers',
        'holder_records',
        'on_registry_change',
        'get_own_holder_names',
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
        self.holder_records = {}
        self.on_registry_change = lambda reg: None
        self.get_own_holder_names = list

    def start(self):
        """Start to watch the store and to poll the platform's list."""
        gevent.spawn(
            self._watch, registry.REGISTRY_PREFIX, self._on_registries
        )
        gevent.spawn(self._watch, registry.HOLDER_PREFIX, self._on_holders)
        gevent.spawn(self._watch, 'config/', self._on_config)
        if self._cfg.roster:
            gevent.spawn(self._poll_roster)

    def _watch(self, prefix, on_items):
        """Watch a prefix of the store for as long as the process runs.

        All items under the prefix are passed to `on_items` at each change.
        """
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
                on_items(listing.items)
            since = listing.revision

    def _use_each(self, items, use_item):
        """Call `use_item` with each item.

        An item that can't be decoded is logged and skipped; it must not hide
        the others.
        """
        for item in items:
            try:
                use_item(item)
            except (store_client.Unreadable, msgspec.DecodeError) as exc:
                self._metrics.count('store.unreadable')
                logging.error(
                    'skipped unreadable object %s: %s', item.key, exc
                )

    def _on_config(self, items):
        self._use_each(items, self._config_manager.update_from_store)

    def _on_registries(self, items):
        self._use_each(items, self._use_registry)

    def _use_registry(self, item):
        self.update_registry(store_client.decode(item, registry.Registry))

    def update_registry(self, reg):
        """Install a registry if it is newer than the known one."""
        known = self.registries.get(reg.service)
        if known is not None and known.version >= reg.version:
            return
        self.registries[reg.service] = reg
        # This must not yield before the removal below: vouching assumes that
        # nothing is sent to a lost agent any more.
        self.on_registry_change(reg)
        serving = {
            (entry.name, entry.incarnation): entry
            for entry in reg.serving_entries()
        }
        for key in [
            k for k, a in self.agents.items() if a.entry.service == reg.service
        ]:
            if key not in serving:
                self._remove_agent(key)
        for key, entry in serving.items():
            if key not in self.agents:
                self._add_agent(key, entry)

    def _add_agent(self, key, entry):
        peer = self.agents[key] = AgentPeer(entry)
        peer.task = gevent.spawn(self._poll_agent, peer)
        logging.info('added agent %s.%s', *key)

    def _remove_agent(self, key):
        peer = self.agents.pop(key)
        peer.task.kill(block=False)
        gevent.spawn(self._notify_removed, peer)
        # Streams in progress end on their own, so the channel is closed only
        # after the default deadline.
        gevent.spawn_later(
            self._cfg.default_deadline_ms / 1000, peer.channel.close
        )
        logging.info('removed agent %s.%s', *key)

    def _notify_removed(self, peer):
        """Send a removed agent the registry that no longer has it serving.

        An agent may be declared lost while it is alive.
        """
        reg = self.registries[peer.entry.service]
        try:
            peer.channel.unary(
                methods.NOTICE,
                messages.RegistrySnapshot(reg),
                STATUS_TIMEOUT_MS,
            )
        except transport.PeerUnreachable:
            pass

    def _poll_agent(self, peer):
        while True:
            try:
                status = peer.channel.unary(
                    methods.STATUS,
                    self._make_heartbeat(peer),
                    STATUS_TIMEOUT_MS,
                )
                self._update_agent(peer, status)
            except transport.PeerUnreachable as exc:
                self._mark_silent(peer, exc)
            gevent.sleep(self._cfg.heartbeat_ms / 1000)

    def _make_heartbeat(self, peer):
        reg = self.registries[peer.entry.service]
        return messages.Heartbeat(self.get_own_holder_names(), reg.version)

    def _update_agent(self, peer, status):
        load = peer.load
        peer.silent_since = None
        is_same_incarnation = status.incarnation == peer.entry.incarnation
        failed = not (status.target_up and is_same_incarnation)
        if failed != load.failed:
            logging.info(
                'usability of agent %s changed: usable=%s',
                peer.entry.name,
                not failed,
            )
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

    def _mark_silent(self, peer, exc):
        if peer.silent_since is None:
            peer.silent_since = self._clock.now()
            logging.warning(
                'agent %s does not answer: %s', peer.entry.name, exc
            )
        peer.load.failed = True
        self._metrics.count('agents.silent')

    def _on_holders(self, items):
        self.holder_records = {}
        self._use_each(items, self._use_holder_record)

    def _use_holder_record(self, item):
        record = store_client.decode(item, registry.HolderRecord)
        self.holder_records[record.holder] = record
        self._add_router(record.address)

    def _poll_roster(self):
        while True:
            for instance in roster.fetch_instances(self._cfg.roster):
                if instance.role == roster.ROUTER_ROLE:
                    self._add_router(instance.address)
            gevent.sleep(ROSTER_POLL_INTERVAL_MS / 1000)

    def _add_router(self, address):
        if address in self.routers or address == self._cfg.peer_listen:
            return
        peer = RouterPeer(address, self._clock.now())
        self.routers[address] = peer
        peer.task = gevent.spawn(self._poll_router, peer)

    def _poll_router(self, peer):
        while True:
            try:
                peer.status = peer.channel.unary(
                    methods.ROUTER_STATUS, messages.Empty(), STATUS_TIMEOUT_MS
                )
                peer.seen_at = self._clock.now()
                self._fetch_newer(peer)
            except transport.PeerUnreachable:
                self._metrics.count('routers.silent')
            gevent.sleep(self._cfg.heartbeat_ms / 1000)

    def _fetch_newer(self, peer):
        """Fetch the configuration and registries that are newer at a peer."""
        if peer.status.generation > self._config_manager.config.generation:
            snapshot = peer.channel.unary(
                methods.CONFIG, messages.Empty(), INSTALL_TIMEOUT_MS
            )
            self._config_manager.update_if_newer(
                snapshot.generation, snapshot.raw
            )
        for service, version in peer.status.registries.items():
            known = self.registries.get(service)
            if known is not None and known.version >= version:
                continue
            snapshot = peer.channel.unary(
                methods.REGISTRY,
                messages.RegistryRequest(service),
                INSTALL_TIMEOUT_MS,
            )
            if snapshot.registry is not None:
                self.update_registry(snapshot.registry)

    def list_silent_agents(self):
        """Return the ids of agents that were silent for `agent_lost_ms`."""
        cutoff = self._clock.now() - self._cfg.agent_lost_ms
        return [
            peer.entry.agent_id()
            for peer in self.agents.values()
            if peer.silent_since is not None and peer.silent_since <= cutoff
        ]

    def list_agents_silent_everywhere(self):
        """Return the entries of agents that all live routers find silent."""
        agent_ids = set(self.list_silent_agents())
        for peer in self.list_live_routers():
            agent_ids &= set(peer.status.silent)
        return [
            peer.entry
            for peer in self.agents.values()
            if peer.entry.agent_id() in agent_ids
        ]

    def get_agents(self, service):
        """Return the AgentPeers of a service by agent id."""
        return {
            peer.entry.agent_id(): peer
            for peer in self.agents.values()
            if peer.entry.service == service
        }

    def list_live_routers(self):
        """Return the routers that answered within `reclaim_after_ms`."""
        cutoff = self._clock.now() - self._cfg.reclaim_after_ms
        return [
            peer
            for peer in self.routers.values()
            if peer.status is not None and peer.seen_at >= cutoff
        ]

    def find_router(self, holder_name):
        """Return the live router that has a holder of this name, or None."""
        for peer in self.list_live_routers():
            if holder_name in peer.status.holders:
                return peer
        return None
