"""Publishing configurations: one operator wins, the other is told."""

import uuid

import msgspec

from galenaspoke.core import schema
from galenaspoke.store import client as store_client

EMPTY = b'{}'


class Lost(Exception):
    """Another operator published first."""

    def __init__(self, head, names):
        self.head = head
        self.names = names
        what = ', '.join(names) or 'the same objects as you'
        super().__init__(
            f'generation {head.generation} was published by {head.publisher}'
            f' meanwhile and changed {what}; look at it, then publish again'
        )


def current(store):
    """Return (store item, Head) in force; generation 0 if there is none."""
    item = store.get(schema.HEAD_KEY)
    if item.version == 0:
        return item, schema.Head(0, '', '', msgspec.Raw(EMPTY))
    return item, msgspec.json.decode(item.value, type=schema.Head)


def publish(store, raw, publisher, expected=None):
    """Publish a checked document; return the new Head.

    `expected` is the generation that the change was made from; without it,
    the one in force now.  Raises DocumentInvalid, Lost or StoreError; raises
    OutcomeUnknown when the store can't be asked after a lost answer.
    """
    schema.parse(raw)
    item, head = current(store)
    if expected is not None and head.generation != expected:
        raise _lost(head, raw)
    new = schema.Head(
        head.generation + 1,
        uuid.uuid4().hex,
        publisher,
        msgspec.Raw(msgspec.json.encode(msgspec.json.decode(raw))),
    )
    try:
        store.put(schema.HEAD_KEY, item.version, msgspec.json.encode(new))
    except (store_client.Conflict, store_client.OutcomeUnknown):
        _check_published(store, new, head)
    except store_client.TooLarge as exc:
        problem = schema.Problem('document', 'size', str(exc))
        raise schema.DocumentInvalid([problem]) from exc
    return new


def _check_published(store, new, before):
    """Raise unless our publication took effect although we weren't told."""
    _, found = current(store)
    if found.publication == new.publication:
        return
    if found.generation > new.generation:
        # Somebody went on from ours, or from another's in our place.
        raise store_client.OutcomeUnknown(
            f'generation {found.generation} is in force; it is not known'
            f' whether generation {new.generation} was yours'
        )
    if found.generation == before.generation:
        raise store_client.StoreUnavailable('the store did not take it')
    raise _lost(found, before.document)


def _lost(head, base):
    return Lost(head, schema.list_changes(bytes(base), bytes(head.document)))


def edit(store, publisher, change):
    """Publish `change` applied to the document in force."""
    _, head = current(store)
    doc = msgspec.json.decode(head.document, type=schema.Document)
    raw = msgspec.json.encode(change(doc))
    return publish(store, raw, publisher, head.generation)
