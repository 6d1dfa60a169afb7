"""The platform's store behind the product's own client interface.

An object's key is its kind and its name, as in `ledger/0003`.  Each write
carries the version that must still stand.  Where the answer to a write is
lost, `OutcomeUnknown` says so: it may be done, or be done seconds later.
"""

import msgspec

from galenaspoke.store import base
from galenaspoke.store import paths

CALL_TIMEOUT_S = 0.8
# How much longer than its wait a watch may take before it counts as lost.
WATCH_SLACK_S = 0.7


class _Metadata(msgspec.Struct, rename='pascal'):
    # `Rev` is the store's revision at the object's last change.
    name: str
    rev: int = 0


class _Object(msgspec.Struct):
    metadata: _Metadata = msgspec.field(name='Metadata')
    spec: msgspec.Raw = msgspec.field(
        name='Spec', default=msgspec.Raw(b'null')
    )


class _Listing(msgspec.Struct, rename='pascal'):
    items: list[_Object]
    has_more: bool = False
    store_revision: int = 0


class _Event(msgspec.Struct):
    # `Deleted` tells that the object went; `Object` is as it was last.
    object: _Object = msgspec.field(name='Object')
    gone: bool = msgspec.field(name='Deleted', default=False)


class _Events(msgspec.Struct):
    events: list[_Event]
    revision: int = msgspec.field(name='StoreRevision', default=0)


class Change(msgspec.Struct, frozen=True):
    """One object that changed, or went."""

    item: base.Item
    gone: bool


class HistoryGone(base.StoreError):
    """The store no longer knows what happened since: list again."""


_object = msgspec.json.Decoder(_Object)
_listing = msgspec.json.Decoder(_Listing)
_events = msgspec.json.Decoder(_Events)


class Client:
    """One process's access to the platform's store.

    Example::

        item = client.get('ledger/0003')
        client.put('ledger/0003', item.version, b'{"entries": {}}')
    """

    __slots__ = ('_paths', '_metrics')

    def __init__(self, paths, metrics):
        # Makes calls, over whatever path to the store works.
        self._paths = paths
        self._metrics = metrics

    def get(self, key):
        """Return the Item at `key`, version 0 if there is none."""
        response = self._read(f'/objects/{key}')
        if response.status == 404:
            return base.Item(key, 0, msgspec.Raw(b''))
        kind = key.split('/', 1)[0]
        return _item(kind, _decode(_object, response))

    def list(self, kind, stale=False):
        """Return the Listing of all objects of a kind.

        A `stale` one costs less and may be seconds old.
        """
        items = []
        after = ''
        while True:
            query = [f'After={after}'] if after else []
            if stale:
                query.append('AllowStale=1')
            response = self._read(f'/objects/{kind}?{"&".join(query)}')
            page = _decode(_listing, response)
            items += [_item(kind, found) for found in page.items]
            if not page.has_more or not page.items:
                return base.Listing(page.store_revision, items)
            after = page.items[-1].metadata.name

    def watch(self, kind, since, wait_ms, retry=True):
        """Wait for changes after revision `since`.

        One that is cut is asked again on another path, or raises if `retry`
        is False.

        Returns the revision to go on from and a list of Change, empty when
        nothing happened.  Raises HistoryGone where the store has forgotten.
        """
        path = f'/objects/{kind}?Watch={since}&WaitMs={wait_ms}'
        timeout_s = wait_ms / 1000 + WATCH_SLACK_S
        response = self._call('GET', path, b'', timeout_s, retry)
        if response.status == 410:
            raise HistoryGone(f'{kind}: nothing is known since {since}')
        if response.status != 200:
            raise base.StoreUnavailable(f'watch: status {response.status}')
        found = _decode(_events, response)
        changes = [
            Change(_item(kind, event.object), event.gone)
            for event in found.events
        ]
        return found.revision or since, changes

    def put(self, key, version, value):
        """Replace the object at `version`; return its new version."""
        kind, name = key.split('/', 1)
        metadata = b'{"Name":%s' % msgspec.json.encode(name)
        if version:
            metadata += b',"Rev":%d' % version
        body = b'{"Metadata":%s},"Spec":%s}' % (metadata, value)
        if version:
            response = self._write('PUT', f'/objects/{key}', body)
        else:
            response = self._write('POST', f'/objects/{kind}', body)
        return _decode(_object, response).metadata.rev

    def delete(self, key, version):
        """Remove the object at `version`."""
        self._write('DELETE', f'/objects/{key}?Rev={version}', b'')

    def _read(self, path):
        try:
            response = self._call('GET', path, b'', CALL_TIMEOUT_S)
        except base.OutcomeUnknown as exc:
            raise base.StoreUnavailable(str(exc)) from exc
        if response.status not in (200, 404):
            raise base.StoreUnavailable(f'store: status {response.status}')
        return response

    def _write(self, method, path, body):
        response = self._call(method, path, body, CALL_TIMEOUT_S)
        if response.status == 409:
            raise base.Conflict(f'{path} has changed', _found(path, response))
        if response.status == 413:
            raise base.TooLarge(f'{path}: {len(body)} bytes are too many')
        if response.status in (404, *paths.NOT_APPLIED_STATUSES):
            raise base.StoreUnavailable(f'store: status {response.status}')
        if response.status not in (200, 201):
            raise base.OutcomeUnknown(f'store: status {response.status}')
        return response

    def _call(self, method, path, body, timeout_s, retry=True):
        """Make one call; return the whole answer.

        Raises StoreUnavailable if nothing was sent, else OutcomeUnknown.
        """
        self._metrics.count(f'store.{method.lower()}')
        return self._paths.call(method, path, body, timeout_s, retry)


def cheap_path(kind):
    """Return the path of a call that costs little and tells that all works."""
    return f'/objects/{kind}?AllowStale=1'


def _item(kind, found):
    key = f'{kind}/{found.metadata.name}'
    return base.Item(key, found.metadata.rev, found.spec)


def _found(path, response):
    """Return the Item that a conflict comes with, or None."""
    try:
        found = _object.decode(bytes(response.body))
    except msgspec.DecodeError:
        return None
    return _item(path.split('/')[2], found) if found.metadata.rev else None


def _decode(decoder, response):
    try:
        return decoder.decode(bytes(response.body))
    except msgspec.DecodeError as exc:
        raise base.StoreUnavailable(
            f'store: unreadable answer: {exc}'
        ) from exc
