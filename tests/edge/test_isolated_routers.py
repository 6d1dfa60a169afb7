"""Streams that are resumed at a router that was cut off during a release.

Guards against pieces of two versions in one stream (ORDER): the router takes
what it remembers of a content for all that there is of it, though nobody could
tell it of the streams that other routers have begun since.
"""

import unittest
from unittest import mock

from galenaspoke.edge.streams import version_notes
from galenaspoke.edge.streams import version_record
from tests.edge import test_stated_origins

CUT_OFF = 'front-0'
OTHER = 'front-1'
# Answers come within this time, or never.
ASK_TIMEOUT_S = 0.005


class IsolatedRouterTest(unittest.TestCase):
    """Requests whose first try brought their caller nothing.

    They are begun again elsewhere, at another version, while the router that
    knows of the first try is cut off; then they are resumed there.
    """

    make_fleet = test_stated_origins.ReleaseTest.make_fleet
    start_all = test_stated_origins.ReleaseTest.start_all
    release_half = test_stated_origins.ReleaseTest.release_half

    def setUp(self):
        patch = mock.patch.object(
            version_notes, 'ASK_TIMEOUT_S', ASK_TIMEOUT_S
        )
        patch.start()
        self.addCleanup(patch.stop)

    def begin_twice(self, first):
        """Return a fleet and streams that were begun at `first` and again."""
        fleet = self.make_fleet()
        streams = [
            fleet.begin(first) for _ in range(test_stated_origins.STREAM_COUNT)
        ]
        fleet.network.cut_off(CUT_OFF)
        self.release_half(fleet)
        return fleet, [fleet.begin_again(s, OTHER) for s in streams]

    def resume_all(self, fleet, streams, names_request=False):
        """Resume streams where others are out of reach; return the whole."""
        for stream in streams:
            if not names_request:
                stream.first_id = b''
            fleet.resume(stream, CUT_OFF)
        self.assertEqual(0, sum(len(s.versions) > 1 for s in streams))
        return sum(stream.is_whole() for stream in streams)

    def count_first_version(self, streams):
        """Return how many streams have begun at the version of before."""
        return sum(stream.versions == {'v1'} for stream in streams)

    # The router remembers the first try, or was told of it.  What all plans
    # begin at one version goes on.
    def test_first_try_is_remembered(self):
        for first in (CUT_OFF, 'front-2'):
            fleet, streams = self.begin_twice(first)
            settled = self.count_first_version(streams)
            whole = self.resume_all(fleet, streams)
            self.assertEqual(settled, whole)
            self.assertGreater(whole, 0)

    # The same where the router doesn't reach the store either.
    def test_first_try_is_remembered_and_the_store_is_away(self):
        for first in (CUT_OFF, 'front-2'):
            fleet, streams = self.begin_twice(first)
            fleet.store.down = True
            self.assertEqual(0, self.resume_all(fleet, streams))

    # The same where it is the pages in the store that lack the second try.
    def test_second_try_is_on_no_page_yet(self):
        fleet = self.make_fleet()
        streams = [
            fleet.begin('front-2')
            for _ in range(test_stated_origins.STREAM_COUNT)
        ]
        self.release_half(fleet)
        fleet.kill(CUT_OFF)
        fleet.network.cut_off(CUT_OFF)
        fleet.write_pages = lambda: None
        again = [fleet.begin_again(s, OTHER) for s in streams]
        page = fleet.store.get(f'streamorigins/{CUT_OFF}')
        fleet.store.delete(f'streamorigins/{CUT_OFF}', page.version)
        fleet.start(CUT_OFF)
        settled = self.count_first_version(again)
        self.assertEqual(settled, self.resume_all(fleet, again))

    # Callers that name what they resume need no other router.
    def test_named_streams_go_on(self):
        fleet, streams = self.begin_twice(CUT_OFF)
        whole = self.resume_all(fleet, streams, names_request=True)
        self.assertEqual(len(streams), whole)

    # Guards against false refusals: once the router is in touch again, it asks
    # the others, and follows their plan.
    def test_router_is_in_touch_again(self):
        fleet = self.make_fleet()
        fleet.network.cut_off(CUT_OFF)
        self.release_half(fleet)
        streams = [
            fleet.begin(OTHER) for _ in range(test_stated_origins.STREAM_COUNT)
        ]
        fleet.network.heal()
        fleet.read_targets(CUT_OFF)
        fleet.exchange()
        self.assertEqual(len(streams), self.resume_all(fleet, streams))

    # Guards against false refusals while there is a single version.
    def test_single_version(self):
        fleet = self.make_fleet()
        fleet.network.cut_off(CUT_OFF)
        streams = [
            fleet.begin(OTHER) for _ in range(test_stated_origins.STREAM_COUNT)
        ]
        self.assertEqual(len(streams), self.resume_all(fleet, streams))


class UnheardRouterTest(unittest.TestCase):
    """Streams that a router begins by an earlier plan while nobody hears it.

    Guards against the mirror of the above: what others remember of a content
    is another try of the request, or another request.
    """

    make_fleet = test_stated_origins.ReleaseTest.make_fleet
    start_all = test_stated_origins.ReleaseTest.start_all
    setUp = IsolatedRouterTest.setUp

    def test_begun_by_an_earlier_plan(self):
        fleet = self.make_fleet()
        fleet.network.cut_off(CUT_OFF)
        fleet.release_half(('front-1', 'front-2'))
        fleet.exchange()
        streams = [
            fleet.begin(OTHER) for _ in range(test_stated_origins.STREAM_COUNT)
        ]
        fleet.write_pages = lambda: None
        again = [fleet.begin_again(stream, CUT_OFF) for stream in streams]
        for number, stream in enumerate(again):
            stream.first_id = b''
            fleet.resume(stream, f'front-{1 + number % 2}')
        self.assertEqual(0, sum(len(s.versions) > 1 for s in again))
        whole = sum(stream.is_whole() for stream in again)
        settled = sum(stream.versions == {'v1'} for stream in streams)
        self.assertEqual(settled, whole)

    # Guards against false refusals for as long as a router is away, which may
    # be for good.
    def test_router_that_stays_away(self):
        fleet = self.make_fleet()
        fleet.network.cut_off(CUT_OFF)
        fleet.release_half(('front-1', 'front-2'))
        fleet.exchange()
        fleet.clock.advance(version_record.UNHEARD_MS + 1)
        streams = [
            fleet.begin(OTHER) for _ in range(test_stated_origins.STREAM_COUNT)
        ]
        for stream in streams:
            stream.first_id = b''
            fleet.resume(stream, 'front-2')
        self.assertEqual(len(streams), fleet.count_whole())
