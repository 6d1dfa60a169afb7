"""What a router does for the other routers, at its address for them.

It relays their calls to the store, exchanges datagrams and serves the
application that lends prepaid tokens.

Example::

    peer_server = PeerServer(cfg, store, paths, feeds, journal)
    peer_server.datagrams.send('10.2.0.29:7340', b'...')
    peer_server.start(lending_app, versions, pace_sharing)
    peer_server.relayed_calls.wait_for_writes(0.2)
"""

import gevent

from galenaspoke.edge.membership import datagrams
from galenaspoke.edge.membership import relay_discovery
from galenaspoke.edge import status_pages
from galenaspoke.platform import store as platform_store
from galenaspoke.store import paths as store_paths
from galenaspoke.store import relaying


class PeerServer:
    """Serves the other routers on behalf of one router.

    `paths` are the router's StorePaths and `feeds` its Feeds of the store.
    `relayed_calls` are the calls that it relays.
    """

    __slots__ = (
        'datagrams',
        'relayed_calls',
        '_cfg',
        '_store',
        '_paths',
        '_feeds',
        '_journal',
    )

    def __init__(self, cfg, store, paths, feeds, journal):
        # Bound by `start`.
        self.datagrams = datagrams.Datagrams()
        self.relayed_calls = relaying.RelayedCalls()
        self._cfg = cfg
        self._store = store
        self._paths = paths
        self._feeds = feeds
        self._journal = journal

    def start(self, lending_app, versions, pace_sharing):
        """Listen, exchange datagrams and register as a relay.

        `lending_app` is the WSGI application for all that is not relayed.
        """
        application = self._make_application(lending_app)
        status_pages.serve(self._cfg.peer_listen, application)
        self.datagrams.bind(self._cfg.peer_listen)

        def handle_datagram(data, address):
            versions.handle(data, address)
            pace_sharing.handle(data, address)

        gevent.spawn(self.datagrams.run, handle_datagram)
        versions.start_exchange()
        gevent.spawn(pace_sharing.run)
        gevent.spawn(
            relay_discovery.run,
            self._cfg,
            self._store,
            self._paths,
            self._journal,
            self._feeds,
        )

    def _make_application(self, lending_app):
        """Return the WSGI application that relays and lends."""
        relay_app = relaying.make_relay_app(
            self._paths, (platform_store.ERA_HEADER,), self.relayed_calls
        )

        def application(environ, start_response):
            is_relayed = environ['PATH_INFO'].startswith(
                store_paths.RELAY_PREFIX
            )
            return (relay_app if is_relayed else lending_app)(
                environ, start_response
            )

        return application
