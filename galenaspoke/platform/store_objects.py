"""Decodes the objects in the responses of the platform's store.

The store hands out what others have written, and one object that can't be
decoded must not take the others of its list with it.  If a response can't be
decoded as a whole, its objects are told apart by their brackets and each is
decoded by itself.  One without a readable name is left out.  One of which
another part can't be read keeps its name, so that it isn't taken for one that
has been removed: either its value or, where the value could be handed out, its
metadata is unreadable, and then `UNREADABLE_VALUE` stands for the value.

Example::

    def note(name, why):
        print(f'{name} is unreadable: {why}')

    listing = decode_listing(body, note)
    listing.objects[0].metadata.name        # 'i-7f'
"""

import typing
import zlib

import msgspec

from galenaspoke.utils import decoding
from galenaspoke.utils import json_splitting

# It is no JSON, so that whoever decodes it finds it unreadable.
UNREADABLE_VALUE = msgspec.Raw(b'?')
_NULL = b'null'

Revision = typing.Annotated[int, msgspec.Meta(ge=0, le=decoding.MAX_INT64)]


class Metadata(msgspec.Struct, rename='pascal'):
    """An object's name, and the store's revision at its last change."""

    name: str
    rev: Revision = 0


class Object(msgspec.Struct, rename='pascal'):
    """An object as the store hands it out."""

    metadata: Metadata
    spec: msgspec.Raw = msgspec.Raw(_NULL)


class Event(msgspec.Struct, rename='pascal'):
    """An object after a change, or its last state if it was deleted."""

    object: Object
    deleted: bool = False


class Listing(msgspec.Struct):
    """One page of a list."""

    objects: list[Object] = msgspec.field(name='Items')
    has_more: bool = msgspec.field(name='HasMore', default=False)
    revision: int = msgspec.field(name='StoreRevision', default=0)


class Events(msgspec.Struct):
    """The changes that a watch returned, and where to continue."""

    events: list[Event]
    revision: int = msgspec.field(name='StoreRevision', default=0)


class _Nameless(decoding.Unreadable):
    """An object's name can't be read; `digest` stands for it."""

    def __init__(self, raw, why):
        super().__init__(why)
        self.digest = f'?{zlib.crc32(raw):08x}'


def decode_object(body):
    """Return the Object in a response; raise decoding.Unreadable."""
    try:
        return decoding.decode_json(body, Object)
    except decoding.Unreadable:
        obj = _salvage_object(body)
    if obj.spec is UNREADABLE_VALUE:
        raise decoding.Unreadable(f'{obj.metadata.name}: invalid metadata')
    return obj


def decode_listing(body, note):
    """Return the Listing in a response; raise decoding.Unreadable.

    `note(name, why)` is called for each object that isn't handed out as the
    store has it.
    """
    try:
        return decoding.decode_json(body, Listing)
    except decoding.Unreadable:
        members = _split(json_splitting.split_object, body)
    objects = _salvage_all(members.get('Items'), _salvage_object, note)
    has_more = _decode_member(members, 'HasMore', bool, False)
    if has_more and not objects:
        raise decoding.Unreadable('no name on a page after which to go on')
    revision = _decode_member(members, 'StoreRevision', int, 0)
    return Listing(objects, has_more, revision)


def decode_events(body, note):
    """Return the Events in a response; see `decode_listing`."""
    try:
        return decoding.decode_json(body, Events)
    except decoding.Unreadable:
        members = _split(json_splitting.split_object, body)
    events = _salvage_all(members.get('events'), _salvage_event, note)
    return Events(events, _decode_member(members, 'StoreRevision', int, 0))


def _salvage_all(raw, salvage, note):
    """Return what `salvage` makes of the elements of an array."""
    if raw is None:
        raise decoding.Unreadable('there is no list of objects')
    found = []
    for part in _split(json_splitting.split_array, raw):
        try:
            entry = salvage(part)
        except _Nameless as exc:
            note(exc.digest, str(exc))
            continue
        obj = entry.object if isinstance(entry, Event) else entry
        if obj.spec is UNREADABLE_VALUE:
            note(obj.metadata.name, 'invalid metadata')
        found.append(entry)
    return found


def _salvage_event(raw):
    try:
        members = _split(json_splitting.split_object, raw)
        deleted = _decode_member(members, 'Deleted', bool, False)
    except decoding.Unreadable as exc:
        raise _Nameless(raw, str(exc)) from exc
    return Event(_salvage_object(members.get('Object', b'')), deleted)


def _salvage_object(raw):
    """Return an Object of which a part may be unreadable, but not the name."""
    try:
        return decoding.decode_json(raw, Object)
    except decoding.Unreadable:
        pass
    try:
        members = _split(json_splitting.split_object, raw)
        metadata = members.get('Metadata', b'')
        fields = _split(json_splitting.split_object, metadata)
        name = decoding.decode_json(fields.get('Name', b''), str)
    except decoding.Unreadable as exc:
        raise _Nameless(raw, str(exc)) from exc
    try:
        revision = _decode_member(fields, 'Rev', Revision, 0)
    except decoding.Unreadable:
        return Object(Metadata(name), UNREADABLE_VALUE)
    spec = msgspec.Raw(members.get('Spec', _NULL))
    return Object(Metadata(name, revision), spec)


def _decode_member(members, key, type_, default):
    if key not in members:
        return default
    return decoding.decode_json(members[key], type_)


def _split(split, data):
    try:
        return split(data)
    except json_splitting.NotSplittable as exc:
        raise decoding.Unreadable(str(exc)) from exc
