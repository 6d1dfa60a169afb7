"""Client for the platform's store, with the project's own client interface.

An object's key consists of its kind and its name, as in `ledger/0003`.  A
write succeeds only if the object still has the version that the write states.
If the response to a write is lost, `OutcomeUnknown` is raised: the write may
have happened, or may still happen seconds later.

The store may come back from a copy that is some seconds old, with a higher
*era*.  Versions are then given out again, so a version says nothing about an
object of another era.  The system's own kinds therefore have the era in their
name, see `Client.scope`: a delayed write of a former era can only change
objects that nobody reads any more.
"""

import re
from urllib import parse

import msgspec

from galenaspoke.platform import store_objects
from galenaspoke.store import base
from galenaspoke.store import feeds
from galenaspoke.store import paths
from galenaspoke.store import unreadable
from galenaspoke.utils import decoding

# The header that holds the era, in every response of the store itself.
ERA_HEADER = b'store-era'
_STALE_QUERY = 'AllowStale=1'
CALL_TIMEOUT_S = 0.8
# A watch has failed if it takes this much longer than the requested wait.
WATCH_SLACK_S = 0.7
# How long a watch waits that reads what changed while a list was read.
CATCH_UP_WAIT_MS = 1
# A kind whose list has a response of this size is read through relays, which
# compress it.
LARGE_RESPONSE_BYTES = 65_536
# Statuses that only the store itself sends; a relay has some others.
_STORE_STATUSES = (200, 201, 404, 409, 410, 413)
_SCOPED_KIND = re.compile(r'[a-z]+?(\d*)\Z')


class Change(msgspec.Struct, frozen=True):
    """One object that was written or deleted."""

    item: base.Item
    deleted: bool


class HistoryGone(base.StoreError):
    """The changes since a revision are no longer available; list again."""


class Client:
    """A process's client for the platform's store.

    Example::

        key = f'{client.scope("ledger")}/0003'
        item = client.get(key)
        client.put(key, item.version, b'{"entries": {}}')
    """

    __slots__ = (
        'confirmed_at',
        'confirmed_before',
        'has_eras',
        '_paths',
        '_feeds',
        '_metrics',
        '_clock',
        '_journal',
        '_unreadable',
        '_large_kinds',
        '_era',
        '_era_listeners',
    )

    def __init__(self, paths, metrics, clock, journal, store_feeds=None):
        # When the latest call that was answered in the present era was sent,
        # None if there was none.
        self.confirmed_at = None
        # The same of the era before.
        self.confirmed_before = None
        # Whether the store states its era, so that it may go back to a copy.
        self.has_eras = False
        # The StorePaths that make the calls.
        self._paths = paths
        # The Feeds that watches use where possible, or None.
        self._feeds = store_feeds
        self._metrics = metrics
        self._clock = clock
        self._journal = journal
        self._unreadable = unreadable.UnreadableObjects(
            'store.unreadable', journal
        )
        # Kinds whose list was large when it was last read.
        self._large_kinds = set()
        # None until the store's first response.
        self._era = None
        self._era_listeners = []

    @property
    def era(self):
        """The highest era seen; 0 if the store doesn't state one."""
        return self._era or 0

    def scope(self, kind, era=None):
        """Return the name of one of the system's own kinds in an era.

        The default is the present era.
        """
        era = self.era if era is None else era
        return f'{kind}{era}' if era else kind

    def add_era_listener(self, listener):
        """Call `listener()` when the era rises; it must not block."""
        self._era_listeners.append(listener)

    def get(self, key):
        """Return the Item at `key`, with version 0 if there is none.

        Raises Unreadable if the object's metadata can't be read.
        """
        response = self._read(f'/objects/{key}')
        if response.status == 404:
            return base.Item(key, 0, msgspec.Raw(b''))
        kind = key.split('/', 1)[0]
        try:
            obj = store_objects.decode_object(bytes(response.body))
        except decoding.Unreadable as exc:
            raise base.Unreadable(f'{key}: {exc}') from exc
        return _make_item(kind, obj)

    def list(self, kind, stale=False):
        """Return the Listing of all objects of a kind.

        A `stale` listing is cheaper for the store and may be seconds old.
        Objects without a readable name are left out, see `store_objects`.
        """
        items = []
        after = ''
        era = None
        first_revision = None
        while True:
            query = [f'After={parse.quote(after, safe="")}'] if after else []
            if stale:
                query.append(_STALE_QUERY)
            response = self._read(
                f'/objects/{kind}?{"&".join(query)}', kind in self._large_kinds
            )
            if len(response.body) >= LARGE_RESPONSE_BYTES:
                self._large_kinds.add(kind)
            if era not in (None, self.era):
                raise base.EraChanged(f'{kind}: the era rose while listing')
            era = self.era
            page = self._decode(store_objects.decode_listing, kind, response)
            items += [_make_item(kind, obj) for obj in page.objects]
            if first_revision is None:
                first_revision = page.revision
            if not page.has_more or not page.objects:
                break
            after = page.objects[-1].metadata.name
        listing = base.Listing(page.revision, items, era)
        if stale or first_revision == page.revision:
            return listing
        return self._catch_up(kind, listing, first_revision)

    def _catch_up(self, kind, listing, since):
        """Return a Listing with the changes since its first page was read.

        Each page is current at its own revision, so what changes between two
        pages is missing from the earlier one.
        """
        items = {item.name: item for item in listing.items}
        revision = since
        while revision < listing.revision:
            before = revision
            try:
                revision, changes = self.watch(
                    kind, before, CATCH_UP_WAIT_MS, listing.era
                )
            except HistoryGone as exc:
                raise base.StoreUnavailable(f'list: {exc}') from exc
            for change in changes:
                if change.deleted:
                    items.pop(change.item.name, None)
                else:
                    items[change.item.name] = change.item
            if revision > before:
                continue
            if changes:
                raise base.StoreUnavailable('list: changes that lead nowhere')
            # Nothing has changed until now, which is after the last page.
            revision = listing.revision
        return base.Listing(revision, list(items.values()), listing.era)

    def watch(self, kind, since, wait_ms, era=0, retry=True):
        """Wait for changes after revision `since` of an era.

        If no response arrives the call is retried over another network path;
        with `retry=False` OutcomeUnknown is raised instead.  A call that
        certainly did nothing is always tried over another path.

        Returns the revision to continue from and a list of Change, which is
        empty if nothing changed.  Raises HistoryGone if the store no longer
        has the changes since that revision, or is in another era.
        """
        response = None
        if self._feeds is not None and wait_ms >= feeds.FEED_WAIT_MS:
            response = self._call_feed(kind, since)
        if response is None:
            response = self._call(
                'GET',
                _watch_url_path(kind, since, wait_ms),
                b'',
                wait_ms / 1000 + WATCH_SLACK_S,
                retry,
            )
        if response.status == 410 or self.era != era:
            raise HistoryGone(
                f'{kind}: changes since revision {since} are gone'
            )
        if response.status != 200:
            raise base.StoreUnavailable(f'watch: status {response.status}')
        events = self._decode(store_objects.decode_events, kind, response)
        changes = [
            Change(_make_item(kind, event.object), event.deleted)
            for event in events.events
        ]
        return events.revision or since, changes

    def _decode(self, decode, kind, response):
        """Decode a response that holds objects of a kind."""

        def note(name, why):
            if self._unreadable.note(f'{kind}/{name}', why):
                self._metrics.count('store.unreadable')

        try:
            return decode(bytes(response.body), note)
        except decoding.Unreadable as exc:
            raise base.StoreUnavailable(
                f'store: unreadable response: {exc}'
            ) from exc

    def _call_feed(self, kind, since):
        """Watch through a feeder; return None if that fails."""
        sent_at = self._clock.now()
        response = self._feeds.call(
            _watch_url_path(kind, since, feeds.FEED_WAIT_MS)
        )
        name = kind.rstrip('0123456789')
        if response is None:
            self._metrics.count(f'feeds.failed.{name}')
        elif response.status in _STORE_STATUSES:
            self._metrics.count(f'feeds.{name}')
            self._record_era(response, sent_at - feeds.MAX_RESPONSE_AGE_MS)
        return response

    def put(self, key, version, value):
        """Write the object if it has `version`, 0 for a new one.

        Returns the new version.  Raises Conflict if the version differs, and
        EraChanged if the key belongs to a former era.
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
        try:
            obj = store_objects.decode_object(bytes(response.body))
        except decoding.Unreadable as exc:
            # The store has carried it out, but the version isn't known.
            raise base.OutcomeUnknown(f'{key}: {exc}') from exc
        return obj.metadata.rev

    def delete(self, key, version):
        """Delete the object if it has `version`; raise like `put`."""
        self._write('DELETE', f'/objects/{key}?Rev={version}', b'')

    def _read(self, url_path, is_large=False):
        try:
            response = self._call(
                'GET', url_path, b'', CALL_TIMEOUT_S, is_large=is_large
            )
        except base.OutcomeUnknown as exc:
            raise base.StoreUnavailable(str(exc)) from exc
        if response.status not in (200, 404):
            raise base.StoreUnavailable(f'store: status {response.status}')
        return response

    def _write(self, method, url_path, body):
        response = self._call(method, url_path, body, CALL_TIMEOUT_S)
        if not self._is_current(url_path.split('/')[2]):
            raise base.EraChanged(f'{url_path} belongs to a former era')
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
        if 400 <= response.status < 500:
            raise base.Rejected(f'{url_path}: status {response.status}')
        if response.status not in (200, 201):
            raise base.OutcomeUnknown(f'store: status {response.status}')
        return response

    def _call(
        self, method, url_path, body, timeout_s, retry=True, is_large=False
    ):
        """Make one call; return the response.

        Raises StoreUnavailable if it certainly did nothing, OutcomeUnknown if
        it may have been carried out.
        """
        kind = url_path.split('/')[2].partition('?')[0]
        self._metrics.count(
            f'store.{method.lower()}.{kind.rstrip("0123456789")}'
        )
        sent_at = self._clock.now()
        response = self._paths.call(
            method, url_path, body, timeout_s, retry, is_large
        )
        if response.status in _STORE_STATUSES:
            # A stale response says nothing about the time of the call.
            is_stale = _STALE_QUERY in url_path
            self._record_era(response, 0 if is_stale else sent_at)
        return response

    def _record_era(self, response, sent_at):
        """Note the era of the response to a call that was sent at `sent_at`.

        Raises StoreUnavailable if it is a former era.
        """
        text = response.header(ERA_HEADER)
        era = int(text) if text.isdecimal() else self.era
        self.has_eras = self.has_eras or text.isdecimal()
        if era < self.era:
            raise base.StoreUnavailable('store: response of a former era')
        if era == self._era:
            self.confirmed_at = max(self.confirmed_at or 0, sent_at)
            return
        before, self._era = self._era, era
        self.confirmed_before, self.confirmed_at = self.confirmed_at, sent_at
        if before is None:
            return
        self._journal.note('store.era', era=era, before=before)
        for listener in self._era_listeners:
            listener()

    def _is_current(self, kind):
        """Return whether a kind's name is the one that it has in this era."""
        if kind == base.ERAS_KIND:
            return True
        number = _SCOPED_KIND.match(kind)[1]
        return int(number or 0) == self.era


def _watch_url_path(kind, since, wait_ms):
    return f'/objects/{kind}?Watch={since}&WaitMs={wait_ms}'


def probe_url_path(kind):
    """Return the URL path of a cheap call that probes the store.

    Its success shows that the whole path to the store works.
    """
    return f'/objects/{kind}?{_STALE_QUERY}'


def _make_item(kind, obj):
    key = f'{kind}/{obj.metadata.name}'
    return base.Item(key, obj.metadata.rev, obj.spec)


def _conflicting_item(url_path, response):
    """Return the Item in the response to a conflict, or None."""
    try:
        obj = store_objects.decode_object(bytes(response.body))
    except decoding.Unreadable:
        return None
    return (
        _make_item(url_path.split('/')[2], obj) if obj.metadata.rev else None
    )
