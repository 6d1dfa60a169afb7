"""Routers tell each other the paces of targets that they have seen.

A router with few requests sees too few streams to know all targets.  So each
router sends what it has seen to a few others now and then, chosen at random.
Nothing is sent while the targets that it knows are alike.  Datagrams may be
lost: the next one says the same.

Example::

    sharing = PaceSharing(directory, routers, datagrams.send)
    gevent.spawn(sharing.run)
    sharing.handle(data, '10.2.0.29:7340')
"""

import collections
import random

import gevent
import msgspec

from galenaspoke.edge.targets import speeds
from galenaspoke.utils import decoding

# To how many routers, and how often, the paces are sent.
FANOUT = 3
INTERVAL_S = (1.5, 2.5)
# So many that a datagram isn't fragmented.
MAX_PACES = 40
# A pace beyond this can't be right.
MAX_EVENT_MS = 60_000


class Paces(msgspec.Struct, tag='paces', array_like=True):
    """The time between events in ms, by target id."""

    event_ms: dict[str, float]


class PaceSharing:
    """Sends the paces of the targets of one router, and receives others'.

    `directory` is the Directory of targets, `routers` the RouterList, and
    `send(address, data)` sends a datagram.
    """

    __slots__ = ('_directory', '_routers', '_send')

    def __init__(self, directory, routers, send):
        self._directory = directory
        self._routers = routers
        self._send = send

    def run(self):
        """Send paces at intervals; never returns."""
        while True:
            gevent.sleep(random.uniform(*INTERVAL_S))
            self.send_paces()

    def send_paces(self):
        """Send the paces that this router has seen, if targets differ."""
        seen = self._list_seen()
        if not any(map(speeds.compute_relative_speeds, seen.values())):
            return
        known = {
            name: ms for paces in seen.values() for name, ms in paces.items()
        }
        names = random.sample(sorted(known), min(MAX_PACES, len(known)))
        paces = Paces({name: round(known[name], 1) for name in names})
        data = msgspec.msgpack.encode(paces)
        key = f'{random.getrandbits(64):x}'
        for address in self._routers.list_holders(key, FANOUT):
            self._send(address, data)

    def _list_seen(self):
        """Return the paces seen here: dicts by target id, by service."""
        seen = collections.defaultdict(dict)
        for target_id in self._directory.list_ids():
            target = self._directory.get(target_id)
            if target.pace.own_ms is not None:
                seen[target.entry.service][target_id] = target.pace.own_ms
        return seen

    def handle(self, data, address):
        """Handle a datagram of another router; ignore what isn't paces."""
        try:
            message = decoding.decode_msgpack(data, Paces)
        except decoding.Unreadable:
            return
        for target_id, event_ms in message.event_ms.items():
            target = self._directory.get(target_id)
            if target is not None and 0 < event_ms < MAX_EVENT_MS:
                target.pace.record_shared(event_ms)
