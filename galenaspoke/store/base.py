"""What every form of the platform's object API has in common.

Each client offers `get`, `list`, `put` and `delete` on objects of which every
one has a version, and raises the errors of this module.
"""

import msgspec


class StoreError(Exception):
    """A call to the store failed and changed nothing."""


class StoreUnavailable(StoreError):
    """The store can't be reached, is out of order or overloaded."""


class Conflict(StoreError):
    """The object is no longer at the expected version.

    `item` is the object as it is, where the store tells.
    """

    def __init__(self, detail, item=None):
        super().__init__(detail)
        self.item = item


class TooLarge(StoreError):
    """The value is larger than the store takes."""


class OutcomeUnknown(Exception):
    """The answer to a write was lost: it may or may not have happened."""


class Item(msgspec.Struct, frozen=True):
    """One object; version 0 stands for no object."""

    key: str
    version: int
    value: msgspec.Raw


class Listing(msgspec.Struct, frozen=True):
    """Objects under a prefix at one revision of the store."""

    revision: int
    items: list[Item]


def update(client, key, kind, change, is_applied=None):
    """Read an object, change it, write it back, until that succeeds.

    `change` takes the decoded object (a new one if there is none), alters it
    and returns a result; raising leaves the store unchanged.  Returning
    `UNCHANGED` writes nothing.  `is_applied` takes the object as it is now and
    tells whether an earlier write of ours, whose answer was lost, is in it;
    without it `change` must be safe to apply twice.

    Returns (result, object as written).
    """
    tried = False
    result = None
    while True:
        item = client.get(key)
        obj = decode(item, kind)
        if tried and is_applied and is_applied(obj):
            return result, obj
        result = change(obj)
        if result is UNCHANGED:
            return result, obj
        try:
            client.put(key, item.version, msgspec.json.encode(obj))
            return result, obj
        except (Conflict, OutcomeUnknown):
            tried = True


class _Unchanged:
    """The mark of a change that writes nothing."""


UNCHANGED = _Unchanged()


def decode(item, kind):
    """Return an item's value as `kind`, a new one if there is no object."""
    if item.version == 0:
        return kind()
    return msgspec.json.decode(item.value, type=kind)
