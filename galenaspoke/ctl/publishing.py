"""Publishing of configurations, with detection of concurrent changes."""

import uuid

import msgspec

from galenaspoke.core import schema
from galenaspoke.store import client as store_client

EMPTY_DOCUMENT = b'{}'


class PublishConflict(Exception):
    """Another operator published a configuration first.

    `differing_names` are the objects in which it differs from `base`, which
    says what it was compared with.
    """

    def __init__(self, head, base, differing_names):
        self.head = head
        self.differing_names = differing_names
        differing = ', '.join(differing_names) or 'none'
        super().__init__(
            f'generation {head.generation} was published by {head.publisher}'
            f' meanwhile; objects in which it differs from {base}:'
            f' {differing}; review it, then publish again'
        )


def read_head(store):
    """Return the (store item, Head) in force; generation 0 if none is."""
    item = store.get(schema.HEAD_KEY)
    if item.version == 0:
        return item, schema.Head(0, '', '', msgspec.Raw(EMPTY_DOCUMENT))
    return item, msgspec.json.decode(item.value, type=schema.Head)


def publish(store, raw, publisher, expected=None):
    """Validate and publish a document; return the new Head.

    `expected` is the generation that the change is based on, by default the
    one in force.  Raises DocumentInvalid, PublishConflict or StoreError.
    Raises OutcomeUnknown if the write conflicted or its response was lost, and
    either the store fails then or a later generation hides whether the write
    took effect.
    """
    schema.parse(raw)
    item, head = read_head(store)
    if expected is not None and head.generation != expected:
        # What the change was based on is gone, so its own changes show too.
        raise _make_conflict(head, 'your document', raw)
    new_head = schema.Head(
        head.generation + 1,
        uuid.uuid4().hex,
        publisher,
        msgspec.Raw(msgspec.json.encode(msgspec.json.decode(raw))),
    )
    try:
        _write_head(store, item, new_head, head)
    except store_client.TooLarge as exc:
        problem = schema.Problem('document', 'size', str(exc))
        raise schema.DocumentInvalid([problem]) from exc
    return new_head


def _write_head(store, item, new_head, previous_head):
    """Write `new_head` in place of `item`, until it is known to stand.

    A write whose response was lost may still be on its way, so it is repeated
    at the same version, which takes effect at most once.
    """
    raw = msgspec.json.encode(new_head)
    is_unresolved = False
    while True:
        try:
            store.put(schema.HEAD_KEY, item.version, raw)
            return
        except store_client.OutcomeUnknown:
            is_unresolved = True
        except store_client.Conflict:
            pass
        except store_client.StoreUnavailable as exc:
            if is_unresolved:
                raise store_client.OutcomeUnknown(
                    f'the write could not be repeated: {exc}'
                ) from exc
            raise
        if _is_published(store, new_head, previous_head):
            return


def _is_published(store, new_head, previous_head):
    """Return True if `new_head` is in force, False if the previous one is.

    Raises PublishConflict if another publication is, and OutcomeUnknown if
    that can't be told.
    """
    try:
        _, stored_head = read_head(store)
    except store_client.StoreError as exc:
        raise store_client.OutcomeUnknown(
            f'the store could not be read after the write: {exc}'
        ) from exc
    if stored_head.publication == new_head.publication:
        return True
    if stored_head.generation > new_head.generation:
        # The later generation was published on top of ours, or of another
        # operator's publication that took effect instead of ours.
        raise store_client.OutcomeUnknown(
            f'generation {stored_head.generation} is in force; it is not known'
            f' whether generation {new_head.generation} was yours'
        )
    if stored_head.generation == previous_head.generation:
        return False
    raise _make_conflict(
        stored_head,
        f'generation {previous_head.generation}',
        previous_head.document,
    )


def _make_conflict(head, base, compared_document):
    """Return a PublishConflict.

    It names the objects in which `head` differs from `compared_document`,
    which is called `base`.
    """
    return PublishConflict(
        head,
        base,
        schema.list_changes(bytes(compared_document), bytes(head.document)),
    )


def edit(store, publisher, change):
    """Apply `change` to the document in force and publish the result."""
    _, head = read_head(store)
    doc = msgspec.json.decode(head.document, type=schema.Document)
    raw = msgspec.json.encode(change(doc))
    return publish(store, raw, publisher, head.generation)
