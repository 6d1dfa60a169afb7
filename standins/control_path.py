"""The path between routers, which can be cut one way.

Each router has a relay in front of its address for other routers, for both
datagrams and connections.  The others learn the relay's address, since links
to the store exchange the two on the way (`show_others`, `hide`).

Example::

    path = ControlPath(['127.1.2.3', '127.1.2.4'])
    path.start()
    path.relays['127.1.2.3'].drops_to = True      # it hears nobody
"""

import collections

import gevent
from gevent import socket

from standins import faulty_link
from standins import platform_documents

RELAY_PORT = 7341
RECEIVE_BYTES = 65_536


class ControlRelay:
    """The relay in front of a router.

    `drops_to` and `drops_from` drop what goes to the router and what comes
    from it: datagrams, and on connections to the router requests and answers.
    """

    __slots__ = ('ip', 'sock', 'link', '_drops_to', '_drops_from')

    def __init__(self, ip):
        self.ip = ip
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((ip, RELAY_PORT))
        self.link = faulty_link.FaultyLink(
            f'{ip}:{RELAY_PORT}', f'{ip}:{platform_documents.PEER_PORT}'
        )
        self._drops_to = False
        self._drops_from = False

    @property
    def drops_to(self):
        """Whether nothing reaches the router."""
        return self._drops_to

    @drops_to.setter
    def drops_to(self, is_dropping):
        self._drops_to = self.link.drops_to_far = is_dropping

    @property
    def drops_from(self):
        """Whether nothing comes from the router."""
        return self._drops_from

    @drops_from.setter
    def drops_from(self, is_dropping):
        self._drops_from = self.link.drops_to_near = is_dropping


class ControlPath:
    """The relays of all routers, by the routers' addresses.

    `counts` has how many datagrams were passed on and dropped.
    """

    def __init__(self, ips):
        self.counts = collections.Counter()
        self.relays = {ip: ControlRelay(ip) for ip in ips}

    def start(self):
        """Pass datagrams on from now on."""
        for relay in self.relays.values():
            gevent.spawn(self._pass_on, relay)

    def show_others(self, ip):
        """Return what has a machine see the relays of all others."""
        return _make_exchange(
            [
                (_encode(other), _encode(other, RELAY_PORT))
                for other in self.relays
                if other != ip
            ]
        )

    def hide(self):
        """Return what has the store see the routers and no relay."""
        return _make_exchange(
            [(_encode(ip, RELAY_PORT), _encode(ip)) for ip in self.relays]
        )

    def _pass_on(self, relay):
        """Pass datagrams on to a router, from the relay of their sender."""
        to = (relay.ip, platform_documents.PEER_PORT)
        while True:
            try:
                data, (ip, _) = relay.sock.recvfrom(RECEIVE_BYTES)
            except OSError:
                # An earlier one could not be delivered.
                continue
            sender = self.relays.get(ip)
            if sender is None or sender.drops_from or relay.drops_to:
                self.counts['dropped'] += 1
                continue
            self.counts['passed'] += 1
            try:
                sender.sock.sendto(data, to)
            except OSError:
                pass


def _encode(ip, port=platform_documents.PEER_PORT):
    return f'{ip}:{port}'.encode()


def _make_exchange(pairs):
    """Return a function that exchanges addresses in bytes.

    Both have the same length, so that lengths that were stated hold.
    """

    def exchange(data):
        for old, new in pairs:
            data = data.replace(old, new)
        return data

    return exchange
