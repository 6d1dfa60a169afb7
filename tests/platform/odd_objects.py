"""Objects that another writer may leave in the store, in the wire format.

Example::

    objects = ScriptedObjects(list_body([make_object('i-1')]))
    make_client(objects, clock, journal).list('servers')
"""

from galenaspoke.http import messages
from galenaspoke.platform import store as platform_store

DEPTH = 1_500
DEEP = b'[' * DEPTH + b']' * DEPTH
HALF_PAIR = b'"\\udcff"'
# Values of a `Spec` that can't be decoded, though its end can be found.
ODD_SPECS = {
    'nested': b'{"Zone":%s}' % DEEP,
    'half a surrogate pair': b'{"Zone":%s}' % HALF_PAIR,
    'half a pair in a key': b'{"\\ud800":1}',
    'bytes that are no text': b'{"Zone":"\xff"}',
    'exponent too large': b'{"Slots":1e999}',
    'number too long': b'{"Slots":%s}' % (b'9' * 5_000),
    'brackets in strings': b'{"Zone":"]}[{\\"]","Slots":%s}' % HALF_PAIR,
}
# Metadata of which the name can be read.
ODD_METADATA = {
    'revision out of range': b'{"Name":"i-odd","Rev":%d}' % 2**70,
    'revision too long': b'{"Name":"i-odd","Rev":%s}' % (b'9' * 5_000),
    'negative revision': b'{"Name":"i-odd","Rev":-1}',
    'exponent in the revision': b'{"Name":"i-odd","Rev":1e999}',
    'revision that is text': b'{"Name":"i-odd","Rev":"7"}',
    'nested finalizers': b'{"Name":"i-odd","Rev":7,"Finalizers":%s}' % DEEP,
    'odd finalizer': b'{"Name":"i-odd","Rev":7,"Finalizers":[%s]}' % HALF_PAIR,
}
# Objects whose name can't be read.
NAMELESS = {
    'half a surrogate pair': b'{"Metadata":{"Name":%s},"Spec":1}' % HALF_PAIR,
    'bytes that are no text': b'{"Metadata":{"Name":"\xff"},"Spec":1}',
    'number': b'{"Metadata":{"Name":7},"Spec":1}',
    'nested': b'{"Metadata":{"Name":%s},"Spec":1}' % DEEP,
    'no name': b'{"Metadata":{},"Spec":1}',
    'no metadata': b'{"Spec":1}',
    'metadata that is text': b'{"Metadata":"i-odd"}',
    'array': b'[]',
    'nothing': b'null',
}


def make_object(name, spec=b'{}', revision=7):
    """Return an object."""
    metadata = b'{"Name":"%s","Rev":%d}' % (name.encode(), revision)
    return make_odd_object(metadata, spec)


def make_odd_object(metadata, spec=b'{}'):
    """Return an object with the given metadata."""
    return b'{"Metadata":%s,"Spec":%s,"Status":null}' % (metadata, spec)


def list_body(objects, has_more=False, revision=9):
    """Return the body of a list."""
    return b'{"Items":[%s],"HasMore":%s,"StoreRevision":%d}' % (
        b','.join(objects),
        b'true' if has_more else b'false',
        revision,
    )


def watch_body(objects, deleted=False, revision=10):
    """Return the body of a watch with an event for each object."""
    is_deleted = b'true' if deleted else b'false'
    events = [
        b'{"Object":%s,"Deleted":%s}' % (obj, is_deleted) for obj in objects
    ]
    return b'{"events":[%s],"StoreRevision":%d}' % (
        b','.join(events),
        revision,
    )


class ScriptedPaths:
    """Takes the place of `StorePaths`: responds with bodies in turn."""

    def __init__(self, *bodies):
        self.bodies = list(bodies)
        self.url_paths = []

    def call(self, method, url_path, *_):
        """Return the next response."""
        self.url_paths.append(url_path)
        response = messages.Response()
        response.status = 200
        response.body += self.bodies.pop(0)
        return response


def make_client(paths, clock, journal):
    """Return a client whose calls take these paths."""
    return platform_store.Client(paths, journal, clock, journal)
