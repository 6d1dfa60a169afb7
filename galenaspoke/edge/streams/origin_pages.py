"""Pages in the store that state what began the streams of several versions.

What routers remember of streams is lost if all of them end at once.  So while
a service has several versions on record each router writes what it remembers
to a page of its own: the streams that it has begun, and those of which others
have told it.  A router that is started again reads its page and tells the
others.  Until then one that doesn't know a stream reads the pages of the
routers that were told of it.

A page that lacks a stream says nothing about it: it may have begun after the
last write.

Example::

    pages = OriginPages(cfg, store, streams, notes, record, routers, clock,
                        journal)
    gevent.spawn(pages.run)
    pages.find(StreamKey('9c41', '5c1e'))     # {Origin('pool', 'v1')}
"""

import collections

import gevent
from gevent import lock
import msgspec

from galenaspoke.edge.streams import stream_versions
from galenaspoke.store import base

# The kind of the store objects, one for each router.
KIND = 'streamorigins'
# For how long a stream that was remembered stays on the page.
PAGE_AGE_MS = 20_000
# The latest ones are on it: the store bounds the size of an object.
MAX_PAGE_STREAMS = 8_000
MIN_INTERVAL_S = 0.25
# Until a new process has read its page.
RESTORE_INTERVAL_S = 0.05
# All routers together make at most this share of the store's write calls.
WRITES_SHARE = 0.2
# What the store bears if the settings don't say.
DEFAULT_WRITES_PER_S = 400
# How many pages are searched for a stream, and for how long that may take.
SEARCHED_COUNT = 3
SEARCH_TIMEOUT_S = 0.4
# A page that was read serves for other streams for so long.
REUSE_MS = 250


class VersionStreams(msgspec.Struct):
    """The streams that one version began.

    Each key is the digest of a request, followed by that of the content.
    """

    service: str
    version: str
    keys: list[str]


class OriginPage(msgspec.Struct):
    """What one router remembers."""

    versions: list[VersionStreams] = []

    def list_origins(self):
        """Return pairs of a StreamKey and an Origin."""
        length = stream_versions.DIGEST_LENGTH
        return [
            (
                stream_versions.StreamKey(key[:length], key[length:]),
                stream_versions.Origin(group.service, group.version),
            )
            for group in self.versions
            for key in group.keys
        ]


def make_page(records):
    """Return the OriginPage of Records."""
    keys = collections.defaultdict(list)
    for record in records:
        for origin in record.origins:
            keys[origin].append(record.key.request + record.key.content)
    return OriginPage(
        [
            VersionStreams(origin.service, origin.version, found)
            for origin, found in keys.items()
        ]
    )


class _ReadPage:
    """A page as it was read: Origins by request and by content."""

    __slots__ = ('read_at', '_by_request', '_by_content')

    def __init__(self, page, read_at):
        self.read_at = read_at
        self._by_request = collections.defaultdict(set)
        self._by_content = collections.defaultdict(set)
        for key, origin in page.list_origins():
            self._by_request[key.request].add(origin)
            self._by_content[key.content].add(origin)

    def find(self, key):
        """Return the Origins that a stream may have."""
        if not key.request:
            return self._by_content.get(key.content, set())
        return self._by_request.get(key.request, set())


class OriginPages:
    """Writes this router's page, and reads those of others.

    `streams` are the StreamVersions, `notes` the VersionNotes, `record` the
    VersionRecord and `routers` the RouterList.
    """

    __slots__ = (
        '_cfg',
        '_store',
        '_streams',
        '_notes',
        '_record',
        '_routers',
        '_clock',
        '_journal',
        '_version',
        '_written',
        '_is_restored',
        '_is_failing',
        '_read_pages',
        '_read_lock',
    )

    def __init__(
        self, cfg, store, streams, notes, record, routers, clock, journal
    ):
        self._cfg = cfg
        self._store = store
        self._streams = streams
        self._notes = notes
        self._record = record
        self._routers = routers
        self._clock = clock
        self._journal = journal
        # The version of this router's page in the store, None if that isn't
        # known.
        self._version = None
        # What the page has: the services, and how many streams had been
        # remembered.
        self._written = (frozenset(), 0)
        self._is_restored = False
        self._is_failing = False
        # The _ReadPages of the last moments by name.
        self._read_pages = {}
        # Many streams may be looked for at once, on the same pages.
        self._read_lock = lock.Semaphore()
        store.add_era_listener(self._begin_era)

    def _begin_era(self):
        """Write the page again, in the new era."""
        self._version = None
        self._written = (frozenset(), 0)
        self._read_pages = {}

    def run(self):
        """Keep the page up to date; never returns."""
        while True:
            gevent.sleep(self._choose_interval_s())
            self.poll()

    def _choose_interval_s(self):
        if not (self._is_restored or self._is_failing):
            return RESTORE_INTERVAL_S
        writes_per_s = self._cfg.store_writes_per_s or DEFAULT_WRITES_PER_S
        share = self._routers.get_count() / (WRITES_SHARE * writes_per_s)
        return max(MIN_INTERVAL_S, share)

    def poll(self):
        """Restore what a predecessor wrote, then write what is new."""
        # Others are told what the page says, so they must be known.
        if not self._routers.get_count():
            return
        try:
            if not self._is_restored:
                self._restore()
            self._write_news()
            self._is_failing = False
        except (base.StoreError, base.OutcomeUnknown) as exc:
            self._version = None
            if not self._is_failing:
                self._journal.note('origins.unwritten', why=str(exc))
            self._is_failing = True

    def _restore(self):
        """Remember what the page says, and tell the other routers."""
        origins = self._read_own_page().list_origins()
        for key, origin in origins:
            self._notes.add(key, origin)
        self._is_restored = True
        if origins:
            self._journal.note('origins.restored', streams=len(origins))

    def _read_own_page(self):
        item = self._store.get(self._make_key(self._cfg.name))
        self._version = item.version
        return self._decode(item)

    def _write_news(self):
        services = frozenset(self._record.list_mixed())
        news = (services, self._streams.remembered_count)
        if not services or news == self._written:
            return
        since = self._clock.now() - PAGE_AGE_MS
        records = self._streams.list_since(since)[:MAX_PAGE_STREAMS]
        page = make_page(
            record
            for record in records
            if any(origin.service in services for origin in record.origins)
        )
        if page.versions:
            if self._version is None:
                self._read_own_page()
            self._version = self._store.put(
                self._make_key(self._cfg.name),
                self._version,
                msgspec.json.encode(page),
            )
        self._written = news

    def find(self, key):
        """Return the Origins that pages state for a stream.

        They are none if a page that matters can't be read.
        """
        names = self._routers.list_holder_names(key.content, SEARCHED_COUNT)
        found = set()
        try:
            with gevent.Timeout(SEARCH_TIMEOUT_S), self._read_lock:
                for name in names:
                    found |= self._read_page(name).find(key)
        except (base.StoreError, base.OutcomeUnknown, gevent.Timeout):
            return set()
        return found

    def _read_page(self, name):
        now = self._clock.now()
        self._read_pages = {
            other: page
            for other, page in self._read_pages.items()
            if now - page.read_at <= REUSE_MS
        }
        if name not in self._read_pages:
            item = self._store.get(self._make_key(name))
            page = _ReadPage(self._decode(item), now)
            self._read_pages[name] = page
        return self._read_pages[name]

    def _make_key(self, name):
        return f'{self._store.scope(KIND)}/{name}'

    def _decode(self, item):
        """Return the OriginPage of an item, an empty one if it can't be read.

        Its router writes it again; what it stated is lost.
        """
        try:
            return base.decode(item, OriginPage)
        except base.Unreadable as exc:
            self._journal.note('origins.unreadable', why=str(exc))
            return OriginPage()
