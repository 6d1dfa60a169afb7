"""The platform's store behind the product's own client interface.

An object's key is its kind and its name, as in `ledger/0003`.  Each write
carries the version that must still stand.  Where the answer to a write is
lost, `OutcomeUnknown` says so: it may be done, or be done seconds later.
"""

import gevent
import msgspec

from galenaspoke.http import links
from galenaspoke.http import messages
from galenaspoke.store import base

CONNECT_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 1.0
IDLE_LINKS = 4
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

    __slots__ = ('_host', '_port', '_metrics', '_idle', '_watches')

    def __init__(self, host, port, metrics):
        self._host = host
        self._port = port
        self._metrics = metrics
        self._idle = []
        # The connection of each kind's watch.
        self._watches = {}

    def get(self, key):
        """Return the Item at `key`, version 0 if there is none."""
        answer = self._read(f'/objects/{key}')
        if answer.status == 404:
            return base.Item(key, 0, msgspec.Raw(b''))
        kind = key.split('/', 1)[0]
        return _item(kind, _decode(_object, answer))

    def list(self, kind):
        """Return the Listing of all objects of a kind."""
        items = []
        after = ''
        while True:
            query = f'?After={after}' if after else ''
            answer = self._read(f'/objects/{kind}{query}')
            page = _decode(_listing, answer)
            items += [_item(kind, found) for found in page.items]
            if not page.has_more or not page.items:
                return base.Listing(page.store_revision, items)
            after = page.items[-1].metadata.name

    def watch(self, kind, since, wait_ms):
        """Wait for changes after revision `since`.

        Returns the revision to go on from and a list of Change, empty when
        nothing happened.  Raises HistoryGone where the store has forgotten.
        """
        path = f'/objects/{kind}?Watch={since}&WaitMs={wait_ms}'
        link = self._watches.pop(kind, None)
        link, answer = self._call(
            link, 'GET', path, b'', wait_ms / 1000 + WATCH_SLACK_S
        )
        if answer.status == 410:
            self._put_back(link, answer)
            raise HistoryGone(f'{kind}: nothing is known since {since}')
        if answer.status != 200:
            link.close()
            raise base.StoreUnavailable(f'watch: status {answer.status}')
        if link.spare(answer):
            self._watches[kind] = link
        else:
            link.close()
        found = _decode(_events, answer)
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
            answer = self._write('PUT', f'/objects/{key}', body)
        else:
            answer = self._write('POST', f'/objects/{kind}', body)
        return _decode(_object, answer).metadata.rev

    def delete(self, key, version):
        """Remove the object at `version`."""
        self._write('DELETE', f'/objects/{key}?Rev={version}', b'')

    def _read(self, path):
        self._metrics.count('store.reads')
        try:
            link, answer = self._call(
                self._take(), 'GET', path, b'', CALL_TIMEOUT_S
            )
        except base.OutcomeUnknown as exc:
            raise base.StoreUnavailable(str(exc)) from exc
        self._put_back(link, answer)
        if answer.status not in (200, 404):
            raise base.StoreUnavailable(f'store: status {answer.status}')
        return answer

    def _write(self, method, path, body):
        self._metrics.count('store.writes')
        link, answer = self._call(
            self._take(), method, path, body, CALL_TIMEOUT_S
        )
        self._put_back(link, answer)
        if answer.status == 409:
            raise base.Conflict(f'{path} has changed', _found(path, answer))
        if answer.status == 413:
            raise base.TooLarge(f'{path}: {len(body)} bytes are too many')
        if answer.status in (404, 429, 503):
            raise base.StoreUnavailable(f'store: status {answer.status}')
        if answer.status not in (200, 201):
            raise base.OutcomeUnknown(f'store: status {answer.status}')
        return answer

    def _call(self, link, method, path, body, timeout_s):
        """Make one call; return the link and the whole answer.

        Raises StoreUnavailable if nothing was sent, else OutcomeUnknown.
        """
        if link is None or not link.quiet():
            if link is not None:
                link.close()
            try:
                link = links.connect(
                    self._host, self._port, CONNECT_TIMEOUT_S
                )
            except links.NotSent as exc:
                raise base.StoreUnavailable(f'store: {exc}') from exc
        head = messages.encode_head(
            f'{method} {path} HTTP/1.1'.encode(),
            [
                (b'Host', f'{self._host}:{self._port}'.encode()),
                (b'Content-Type', b'application/json'),
                (b'Content-Length', b'%d' % len(body)),
            ],
        )
        try:
            with gevent.Timeout(timeout_s, links.Broken('no answer in time')):
                link.send(head + body)
                return link, link.answer()
        except links.Broken as exc:
            link.close()
            raise base.OutcomeUnknown(f'store: {exc}') from exc
        except BaseException:
            link.close()
            raise

    def _take(self):
        return self._idle.pop() if self._idle else None

    def _put_back(self, link, answer):
        if link.spare(answer) and len(self._idle) < IDLE_LINKS:
            self._idle.append(link)
        else:
            link.close()


def _item(kind, found):
    key = f'{kind}/{found.metadata.name}'
    return base.Item(key, found.metadata.rev, found.spec)


def _found(path, answer):
    """Return the Item that a conflict comes with, or None."""
    try:
        found = _object.decode(bytes(answer.body))
    except msgspec.DecodeError:
        return None
    return _item(path.split('/')[2], found) if found.metadata.rev else None


def _decode(decoder, answer):
    try:
        return decoder.decode(bytes(answer.body))
    except msgspec.DecodeError as exc:
        raise base.StoreUnavailable(f'store: unreadable answer: {exc}') from exc
