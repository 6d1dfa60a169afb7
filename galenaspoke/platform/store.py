"""Client for the platform's store, with the project's own client interface.

An object's key consists of its kind and its name, as in `ledger/0003`.  A
write succeeds only if the object still has the version that the write states.
If the response to a write is lost, `OutcomeUnknown` is raised: the write may
have happened, or may still happen seconds later.
"""

import msgspec

from galenaspoke.store import base
from galenaspoke.store import paths

CALL_TIMEOUT_S = 0.8
# A watch has failed if it takes this much longer than the requested wait.
WATCH_SLACK_S = 0.7


class _Metadata(msgspec.Struct, rename='pascal'):
    # `rev` is the store's revision at the object's last change.
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
    # The object after the change, or its last state if it was deleted.
    object: _Object = msgspec.field(name='Object')
    deleted: bool = msgspec.field(name='Deleted', default=False)


class _Events(msgspec.Struct):
    events: list[_Event]
    revision: int = msgspec.field(name='StoreRevision', default=0)


class Change(msgspec.Struct, frozen=True):
    """One object that was written or deleted."""

    item: base.Item
    deleted: bool


class HistoryGone(base.StoreError):
    """The changes since a revision are no longer available; list again."""


_object_decoder = msgspec.json.Decoder(_Object)
_listing_decoder = msgspec.json.Decoder(_Listing)
_events_decoder = msgspec.json.Decoder(_Events)


class Client:
    """A process's client for the platform's store.

    Example::

        item = client.get('ledger/0003')
        client.put('ledger/0003', item.version, b'{"entries": {}}')
    """

    __slots__ = ('_paths', '_metrics')

    def __init__(self, paths, metrics):
        # The StorePaths that make the calls.
        self._paths = paths
        self._metrics = metrics

    def get(self, key):
        """Return the Item at `key`, with version 0 if there is none."""
        response = self._read(f'/objects/{key}')
        if response.status == 404:
            return base.Item(key, 0, msgspec.Raw(b''))
        kind = key.split('/', 1)[0]
        return _make_item(kind, _decode(_object_decoder, response))

    def list(self, kind, stale=False):
        """Return the Listing of all objects of a kind.

        A `stale` listing is cheaper for the store and may be seconds old.
        """
        items = []
        after = ''
        while True:
            query = [f'After={after}'] if after else []
            if stale:
                query.append('AllowStale=1')
            response = self._read(f'/objects/{kind}?{"&".join(query)}')
            page = _decode(_listing_decoder, response)
            items += [_make_item(kind, obj) for obj in page.items]
            if not page.has_more or not page.items:
                return base.Listing(page.store_revision, items)
            after = page.items[-1].metadata.name

    def watch(self, kind, since, wait_ms, retry=True):
        """Wait for changes after revision `since`.

        If no response arrives the call is retried over another network path;
        with `retry=False` OutcomeUnknown is raised instead.  A call that
        certainly did nothing is always tried over another path.

        Returns the revision to continue from and a list of Change, which is
        empty if nothing changed.  Raises HistoryGone if the store no longer
        has the changes since that revision.
        """
        url_path = f'/objects/{kind}?Watch={since}&WaitMs={wait_ms}'
        timeout_s = wait_ms / 1000 + WATCH_SLACK_S
        response = self._call('GET', url_path, b'', timeout_s, retry)
        if response.status == 410:
            raise HistoryGone(
                f'{kind}: changes since revision {since} are gone'
            )
        if response.status != 200:
            raise base.StoreUnavailable(f'watch: status {response.status}')
        events = _decode(_events_decoder, response)
        changes = [
            Change(_make_item(kind, event.object), event.deleted)
            for event in events.events
        ]
        return events.revision or since, changes

    def put(self, key, version, value):
        """Write the object if it has `version`, 0 for a new one.

        Returns the new version.  Raises Conflict if the version differs.
        """
        kind, name = key.split('/', 1)
        metadata = b'{"Name":%s' % msgspec.json.encode(name)
        if version:
            metadata += b',"Rev":%d' % version
        body = b'{"Metadata":%s},"Spec":%s}' % (metadata, value)
        if version:
            response = self._write('PUT', f'/objects/{key}', body)
        else:
            response = self._write('POST', f'/objects/{kind}', body)
        return _decode(_object_decoder, response).metadata.rev

    def delete(self, key, version):
        """Delete the object if it has `version`."""
        self._write('DELETE', f'/objects/{key}?Rev={version}', b'')

    def _read(self, url_path):
        try:
            response = self._call('GET', url_path, b'', CALL_TIMEOUT_S)
        except base.OutcomeUnknown as exc:
            raise base.StoreUnavailable(str(exc)) from exc
        if response.status not in (200, 404):
            raise base.StoreUnavailable(f'store: status {response.status}')
        return response

    def _write(self, method, url_path, body):
        response = self._call(method, url_path, body, CALL_TIMEOUT_S)
        if response.status == 409:
            raise base.Conflict(
                f'{url_path} has changed',
                _conflicting_item(url_path, response),
            )
        if response.status == 413:
            raise base.TooLarge(
                f'{url_path}: {len(body)} bytes exceed the limit'
            )
        if response.status in (404, *paths.NOT_APPLIED_STATUSES):
            raise base.StoreUnavailable(f'store: status {response.status}')
        if response.status not in (200, 201):
            raise base.OutcomeUnknown(f'store: status {response.status}')
        return response

    def _call(self, method, url_path, body, timeout_s, retry=True):
        """Make one call; return the response.

        Raises StoreUnavailable if it certainly did nothing, OutcomeUnknown if
        it may have been carried out.
        """
        self._metrics.count(f'store.{method.lower()}')
        return self._paths.call(method, url_path, body, timeout_s, retry)


def probe_url_path(kind):
    """Return the URL path of a cheap call that probes the store.

    Its success shows that the whole path to the store works.
    """
    return f'/objects/{kind}?AllowStale=1'


def _make_item(kind, obj):
    key = f'{kind}/{obj.metadata.name}'
    return base.Item(key, obj.metadata.rev, obj.spec)


def _conflicting_item(url_path, response):
    """Return the Item in the response to a conflict, or None."""
    try:
        obj = _object_decoder.decode(bytes(response.body))
    except msgspec.DecodeError:
        return None
    return (
        _make_item(url_path.split('/')[2], obj) if obj.metadata.rev else None
    )


def _decode(decoder, response):
    try:
        return decoder.decode(bytes(response.body))
    except msgspec.DecodeError as exc:
        raise base.StoreUnavailable(
            f'store: unreadable response: {exc}'
        ) from exc
