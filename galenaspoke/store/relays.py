"""Which processes relay calls to the store: a short list in the store.

Each process enters itself into a slot that follows from its name, and so
replaces another one now and then.  The list stays short however large the
fleet is, and a process that is cut off needs only one that works.

Example::

    enter(client, Relay('side-a-1', '10.1.0.42:7340', 'a', True))
    best_first(known(client, 'a', '10.1.0.40:7340'))
"""

import random
import zlib

import msgspec

from galenaspoke.store import base

KIND = 'relays'
SLOTS = 32


class Relay(msgspec.Struct, frozen=True):
    """One process that relays.

    `apart` tells that it serves no callers, and so is seldom hit by what hits
    those that do.
    """

    name: str
    address: str
    domain: str
    apart: bool


def slot_key(name):
    """Return the key of the slot that a process enters itself into."""
    return f'{KIND}/{zlib.crc32(name.encode()) % SLOTS}'


def register(client, relay):
    """Write a process into its slot; raises the client's errors."""
    item = client.get(slot_key(relay.name))
    if item.version and _decode(item) == relay:
        return
    try:
        client.put(item.key, item.version, msgspec.json.encode(relay))
    except base.Conflict:
        # Another one took the slot just now; it will do.
        pass


def list_relays(client):
    """Return the relays in the list, as it was some seconds ago at most."""
    found = [_decode(item) for item in client.list(KIND, stale=True).items]
    return [relay for relay in found if relay is not None]


def order_by_preference(relays, domain, own_address):
    """Return the addresses of relays in the order in which to try them."""

    def rank(relay):
        return (not relay.apart, relay.domain != domain, random.random())

    others = [relay for relay in relays if relay.address != own_address]
    return [relay.address for relay in sorted(others, key=rank)]


def _decode(item):
    try:
        return msgspec.json.decode(item.value, type=Relay)
    except msgspec.DecodeError:
        return None
