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
from galenaspoke.utils import addresses
from galenaspoke.utils import decoding

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


def list_relays(client, unreadable):
    """Return the relays in the list, as it was at most some seconds ago.

    `client` is a `galenaspoke.platform.store.Client`.  Slots that can't be
    read are left out; `unreadable`, the UnreadableObjects, names them.
    """
    relays = []
    for item in client.list(client.scope(KIND), stale=True).items:
        relay = _decode(item)
        if relay is None:
            unreadable.note(item.key, 'no relay')
        else:
            unreadable.forget(item.key)
            relays.append(relay)
    return relays


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
    """Return the Relay in a slot, None if it can't be read or reached."""
    try:
        relay = decoding.decode_json(item.value, Relay)
    except decoding.Unreadable:
        return None
    return relay if addresses.parse(relay.address) else None
