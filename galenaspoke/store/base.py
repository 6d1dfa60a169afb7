"""Types, errors and helpers shared by all clients of the object API.

Each client has the methods `get`, `list`, `put` and `delete` (what `list`
selects by differs), works on versioned objects, and raises the errors of this
module.
"""

import msgspec

from galenaspoke.utils import decoding

# The kind of the objects that stand for the eras of the store, by number.  It
# is the only kind of the system that has the same name in all eras.
ERAS_KIND = 'eras'


class StoreError(Exception):
    """A call to the store failed without changing anything."""


class StoreUnavailable(StoreError):
    """The store can't be reached, is failing or is overloaded."""


class Unreadable(StoreError):
    """An object can't be decoded; others can."""


class WriteUnresolved(StoreUnavailable):
    """The store failed before it could tell whether a write took effect.

    An earlier write of the same change may stand.
    """


class Conflict(StoreError):
    """The object is no longer at the expected version.

    `item` is the current object, or None if the store didn't return it.
    """

    def __init__(self, detail, item=None):
        super().__init__(detail)
        self.item = item


class EraChanged(StoreError):
    """The store came back from a copy: what the call meant is gone.

    A write that raises this has changed nothing that anyone reads.
    """


class Rejected(StoreError):
    """The store rejects a call as such; it would do so again."""


class TooLarge(StoreError):
    """The value is larger than the store accepts."""


class OutcomeUnknown(Exception):
    """A write may or may not have taken effect.

    Its response was lost or unexpected.  This is not a StoreError, which means
    that the call changed nothing.  `StorePaths.call` also raises it for a read
    that it must not repeat.
    """


class Item(msgspec.Struct, frozen=True):
    """One object; version 0 means that it does not exist."""

    key: str
    version: int
    value: msgspec.Raw

    @property
    def name(self):
        """The object's name: its key without the kind."""
        return self.key.split('/', 1)[1]


class Listing(msgspec.Struct, frozen=True):
    """All objects under a prefix at one revision of the store.

    Revisions of different eras can't be compared.
    """

    revision: int
    items: list[Item]
    era: int = 0


def update(client, key, struct_type, change, is_applied=None):
    """Read, change and write an object; retry until the write succeeds.

    `key` may be a function that returns the key, which is then computed for
    each attempt.  `change` takes the decoded object (a new one if it does not
    exist), modifies it and returns a result.  If it raises or returns
    `UNCHANGED`, nothing more is written.

    `is_applied` takes the current object and returns whether it contains an
    earlier write by this call, whose response was lost.  Without it, `change`
    must be safe to apply twice.

    Return (result, object as it now is in the store).  Raises StoreError if
    the object can't be read, or if the store refuses the write for another
    reason than a conflict, and its subclass WriteUnresolved if an earlier
    write whose response was lost may have taken effect all the same.
    """
    is_retry = False
    is_unresolved = False
    result = None
    while True:
        try:
            item = client.get(key() if callable(key) else key)
            obj = decode(item, struct_type)
        except StoreError as exc:
            if is_unresolved:
                raise WriteUnresolved(str(exc)) from exc
            raise
        if is_retry and is_applied and is_applied(obj):
            return result, obj
        result = change(obj)
        if result is UNCHANGED:
            return result, obj
        try:
            client.put(item.key, item.version, msgspec.json.encode(obj))
            return result, obj
        except EraChanged:
            if not callable(key):
                raise
        except OutcomeUnknown:
            is_retry = is_unresolved = True
        except Conflict:
            is_retry = True
        except (StoreUnavailable, Rejected) as exc:
            if is_unresolved:
                raise WriteUnresolved(str(exc)) from exc
            raise


class _Unchanged:
    """Type of the sentinel `UNCHANGED`."""


UNCHANGED = _Unchanged()


def decode(item, struct_type):
    """Decode an item's value; return a new struct if there is none.

    An item that doesn't exist yet may have a value to create it with.  Raises
    Unreadable if the value can't be decoded.
    """
    if not bytes(item.value):
        return struct_type()
    try:
        return decoding.decode_json(item.value, struct_type)
    except decoding.Unreadable as exc:
        raise Unreadable(f'{item.key}: {exc}') from exc
