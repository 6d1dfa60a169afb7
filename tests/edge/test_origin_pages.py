"""Pages in the store that state what began streams."""

import unittest
from unittest import mock

import gevent

from galenaspoke.edge.membership import router_list
from galenaspoke.edge.streams import origin_pages
from galenaspoke.edge.streams import stream_versions
from galenaspoke.edge.streams import version_notes
from galenaspoke.edge.streams import version_record
from galenaspoke.store import base as store_base
from tests.edge import base
from tests import fakes

V1 = stream_versions.Origin('pool', 'v1')
V2 = stream_versions.Origin('pool', 'v2')
NAMES = ('front-0', 'front-1', 'front-2')


def make_key(number, content=0):
    """Return the key of a stream."""
    return stream_versions.StreamKey(f'{number:012x}', f'{content:012x}')


class Router:
    """What one router remembers, and its page."""

    def __init__(self, name, store, clock, names=NAMES):
        self.journal = base.Recorder()
        self.streams = stream_versions.StreamVersions(clock)
        self.routers = router_list.RouterList(name)
        self.routers.replace({other: other for other in names})
        self.record = version_record.VersionRecord(store, clock)
        self.notes = version_notes.VersionNotes(
            self.streams,
            self.routers,
            lambda address, data: None,
            clock,
            lambda: False,
        )
        self.pages = origin_pages.OriginPages(
            base.make_edge_settings(name, store_writes_per_s=400),
            store,
            self.streams,
            self.notes,
            self.record,
            self.routers,
            clock,
            self.journal,
        )

    def see_versions(self, *versions):
        """Let the router record the versions of the service."""
        self.record.update('pool', set(versions), {versions[-1]: 1}, 1)


class PagesTest(unittest.TestCase):
    """The pages of three routers."""

    def setUp(self):
        self.clock = base.make_manual_clock()
        self.store = fakes.FakeStore()

    def make_router(self, name='front-0', versions=('v1', 'v2')):
        """Start a router that knows the service's versions."""
        router = Router(name, self.store, self.clock)
        router.see_versions(*versions)
        return router

    def read_page(self, name='front-0'):
        """Return the pairs of key and Origin on a router's page."""
        item = self.store.get(f'{origin_pages.KIND}/{name}')
        page = store_base.decode(item, origin_pages.OriginPage)
        return dict(page.list_origins())

    def test_states_what_it_remembers(self):
        router = self.make_router()
        router.streams.remember(make_key(1), V1)
        router.streams.remember(make_key(2, 5), V2)
        router.pages.poll()
        self.assertEqual(
            {make_key(1): V1, make_key(2, 5): V2}, self.read_page()
        )

    def test_nothing_is_written_for_a_single_version(self):
        router = self.make_router(versions=('v1',))
        before = self.store.writes
        router.streams.remember(make_key(1), V1)
        router.pages.poll()
        self.assertEqual(before, self.store.writes)
        # What is remembered counts once there is another version.
        router.see_versions('v1', 'v2')
        router.pages.poll()
        self.assertEqual({make_key(1): V1}, self.read_page())

    def test_nothing_new_costs_no_call(self):
        router = self.make_router()
        router.streams.remember(make_key(1), V1)
        router.pages.poll()
        self.store.down = True
        router.pages.poll()
        self.assertNotIn('origins.unwritten', router.journal.events())

    def test_old_streams_leave_the_page(self):
        router = self.make_router()
        router.streams.remember(make_key(1), V1)
        self.clock.advance(origin_pages.PAGE_AGE_MS + 1)
        router.streams.remember(make_key(2), V1)
        router.pages.poll()
        self.assertEqual({make_key(2): V1}, self.read_page())

    # Guards against a new process that writes over what its predecessor
    # stated, and against one that doesn't tell the others.
    def test_new_process_goes_on_with_the_page(self):
        first = self.make_router()
        first.streams.remember(make_key(1), V1)
        first.pages.poll()
        second = self.make_router()
        second.streams.remember(make_key(2), V2)
        second.pages.poll()
        self.assertEqual({V1}, second.streams.find(make_key(1)))
        self.assertEqual({make_key(1): V1, make_key(2): V2}, self.read_page())
        self.assertIn(make_key(1), [key for key, *_ in second.notes._unsent])

    def test_predecessor_writes_late(self):
        first = self.make_router()
        second = self.make_router()
        second.streams.remember(make_key(2), V2)
        second.pages.poll()
        first.streams.remember(make_key(1), V1)
        first.pages.poll()
        second.streams.remember(make_key(3), V2)
        # The write fails; the next one has what is there now.
        second.pages.poll()
        second.pages.poll()
        self.assertLessEqual({make_key(2), make_key(3)}, set(self.read_page()))

    def test_store_that_is_away(self):
        router = self.make_router()
        router.streams.remember(make_key(1), V1)
        self.store.down = True
        for _ in range(3):
            router.pages.poll()
        events = router.journal.events()
        self.assertEqual(1, events.count('origins.unwritten'))
        self.store.down = False
        router.pages.poll()
        self.assertEqual({make_key(1): V1}, self.read_page())

    def test_lost_response_of_a_write(self):
        router = self.make_router()
        router.pages.poll()
        router.streams.remember(make_key(1), V1)
        self.store.faults = ['lost']
        router.pages.poll()
        router.streams.remember(make_key(2), V1)
        router.pages.poll()
        self.assertEqual({make_key(1): V1, make_key(2): V1}, self.read_page())

    # Guards against an object of another writer that ends the task, or stands
    # in the way for good.
    def test_page_that_cannot_be_read(self):
        key = f'{origin_pages.KIND}/front-0'
        self.store.objects[key] = (7, b'{"versions": 5}')
        router = self.make_router()
        other = self.make_router('front-1')
        self.assertEqual(set(), other.pages.find(make_key(1)))
        router.streams.remember(make_key(1), V1)
        router.pages.poll()
        self.assertEqual({make_key(1): V1}, self.read_page())

    def find_elsewhere(self, key):
        """Return what a router finds that nobody told of the stream."""
        return self.make_router('front-2').pages.find(key)

    def test_find_by_request_or_content(self):
        router = self.make_router()
        router.streams.remember(make_key(1, 5), V1)
        router.streams.remember(make_key(2, 6), V1)
        router.streams.remember(make_key(3, 6), V2)
        router.pages.poll()
        self.assertEqual({V1}, self.find_elsewhere(make_key(1, 5)))
        self.assertEqual(set(), self.find_elsewhere(make_key(9, 5)))
        for content, origins in ((5, {V1}), (6, {V1, V2}), (7, set())):
            key = stream_versions.StreamKey('', f'{content:012x}')
            self.assertEqual(origins, self.find_elsewhere(key))

    def test_find_while_the_store_is_away(self):
        router = self.make_router()
        router.streams.remember(make_key(1), V1)
        router.pages.poll()
        other = self.make_router('front-2')
        self.store.down = True
        self.assertEqual(set(), other.pages.find(make_key(1)))

    def test_find_while_the_store_is_silent(self):
        other = self.make_router('front-2')
        with (
            mock.patch.object(self.store, 'get', lambda key: gevent.sleep(60)),
            mock.patch.object(origin_pages, 'SEARCH_TIMEOUT_S', 0.01),
        ):
            self.assertEqual(set(), other.pages.find(make_key(1)))

    def test_pages_are_read_once_for_many_streams(self):
        router = self.make_router('front-2')
        calls = []
        get = self.store.get
        with mock.patch.object(
            self.store, 'get', lambda key: calls.append(key) or get(key)
        ):
            for number in range(50):
                router.pages.find(make_key(number))
        self.assertEqual(len(NAMES) - 1, len(calls))

    # Guards against a process that begins to write before it knows whom to
    # tell what its predecessor stated.
    def test_nothing_is_done_until_the_routers_are_known(self):
        router = self.make_router()
        router.routers = router.pages._routers = router_list.RouterList('x')
        router.streams.remember(make_key(1), V1)
        router.pages.poll()
        self.assertEqual({}, self.read_page())

    # Guards against a large fleet that takes more of the store's writes than
    # its share.
    def test_large_fleets_write_less_often(self):
        router = self.make_router()
        router.pages.poll()
        least = origin_pages.MIN_INTERVAL_S
        self.assertEqual(least, router.pages._choose_interval_s())
        names = {f'front-{number}': 'a' for number in range(890)}
        router.routers.replace(names)
        writes_per_s = len(names) / router.pages._choose_interval_s()
        self.assertLessEqual(writes_per_s, 0.21 * 400)
