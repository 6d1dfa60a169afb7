"""The list, kept in the store, of processes that relay calls to it.

Each process writes its address into a slot chosen by a hash of its name,
possibly over that of another process.  This bounds the list whatever the size
of the fleet; a process that is cut off from the store needs only one working
relay.

Example::

    register(client, Relay('side-a-1', '10.1.0.42:7340', 'a', True))
    order_by_preference(list_relays(client), 'a', '10.1.0.40:7340')
"""

import random
import zlib

import msgspec

from galenaspoke.store import base

# Kind of the store objects, one for each slot, in each era of the store.
KIND = 'relays'
SLOT_COUNT = 32


class Relay(msgspec.Struct, frozen=True):
    """A process that relays calls to the store.

    `apart` is set if it serves no callers, and so seldom shares the failures
    of processes that do.
    """

    name: str
    address: str
    domain: str
    apart: bool


def slot_name(name):
    """Return the name of the object that is a process's slot."""
    return str(zlib.crc32(name.encode()) % SLOT_COUNT)


def register(client, relay):
    """Write a process into its slot, unless the slot has it already.

    Raises StoreError or OutcomeUnknown.
    """
    item = client.get(f'{client.scope(KIND)}/{slot_name(relay.name)}')
    if item.version and _decode(item) == relay:
        return
    try:
        client.put(item.key, item.version, msgspec.json.encode(relay))
    except base.Conflict:
        # Another process wrote the slot at the same time; one is enough.
        pass


def list_relays(client):
    """Return the relays in the list, as it was at most some seconds ago.

    `client` is a `galenaspoke.platform.store.Client`.
    """
    items = client.list(client.scope(KIND), stale=True).items
    decoded = [_decode(item) for item in items]
    return [relay for relay in decoded if relay is not None]


def order_by_preference(relays, domain, own_address):
    """Return the relays' addresses in the order in which to try them.

    Relays that serve no callers come first, then those in the same failure
    domain; equal ones are shuffled.  The process itself is left out.
    """

    def sort_key(relay):
        return (not relay.apart, relay.domain != domain, random.random())

    others = [relay for relay in relays if relay.address != own_address]
    return [relay.address for relay in sorted(others, key=sort_key)]


def _decode(item):
    try:
        return msgspec.json.decode(item.value, type=Relay)
    except msgspec.DecodeError:
        return None
