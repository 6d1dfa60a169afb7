"""Streams that clients resume after all routers have lost power.

No router remembers anything, and the service has two versions on record.
Guards against resumed streams that are all refused for as long as a release
lasts, and against streams whose parts come from two versions.
"""

import dataclasses
import unittest
from unittest import mock

from galenaspoke.core import catalog
from galenaspoke.core import clock
from tests.edge import version_fleets

STREAM_COUNT = 40
ROUTER_COUNT = 3
# Long enough that no stream that is resumed may have begun before.
SETTLED_MS = 60_000
TIME_OFF_MS = 1_000
# A router may learn of a release so late, and clocks may differ by so much.
LATE_MS = 1_999
CLOCK_ERROR_MS = 1_000
# For longer than the time-out of the route.
LONG_WAIT_MS = 30_000
OLD = {'a': 'v1', 'b': 'v1', 'c': 'v1', 'd': 'v1'}
MIXED = {'a': 'v1', 'b': 'v1', 'c': 'v2', 'd': 'v2'}
# Resumed streams are served at this share of the rate of new ones or better.
MIN_RATE_SHARE = 0.5


class PowerLossTest(unittest.TestCase):
    """A fleet of routers that all lose power at the same moment."""

    def make_fleet(self, versions):
        """Return a fleet whose versions have been the same for long."""
        fleet = version_fleets.VersionFleet(ROUTER_COUNT, versions)
        self.addCleanup(fleet.close)
        fleet.exchange()
        fleet.clock.advance(SETTLED_MS)
        return fleet

    def begin_streams(self, fleet):
        """Begin streams at all routers, none of which is whole yet."""
        return [
            fleet.begin(f'front-{number % ROUTER_COUNT}')
            for number in range(STREAM_COUNT)
        ]

    def lose_power(self, fleet):
        """Restart all routers at the same moment."""
        for name in list(fleet.desks):
            fleet.kill(name)
        fleet.clock.advance(TIME_OFF_MS)
        for number in range(ROUTER_COUNT):
            fleet.start(f'front-{number}')

    def resume_all(self, fleet, streams, names_request):
        """Resume streams at other routers; return the share that go on."""
        for number, stream in enumerate(streams):
            if not names_request:
                stream.first_id = b''
            fleet.resume(stream, f'front-{(number + 1) % ROUTER_COUNT}')
        self.assertEqual(0, fleet.count_mixed())
        return sum(stream.is_whole() for stream in streams) / len(streams)

    def test_two_versions_serve(self):
        for names_request in (False, True):
            fleet = self.make_fleet(MIXED)
            streams = self.begin_streams(fleet)
            versions = {v for stream in streams for v in stream.versions}
            self.assertEqual({'v1', 'v2'}, versions)
            self.lose_power(fleet)
            share = self.resume_all(fleet, streams, names_request)
            self.assertEqual(1, share)

    def test_release_halfway_a_moment_ago(self):
        for names_request in (False, True):
            fleet = self.make_fleet(OLD)
            for number, name in enumerate('ab'):
                fleet.add_engine(f'new{number}', 'v2')
                fleet.remove_engine(name)
                fleet.exchange()
                fleet.clock.advance(400)
            fleet.clock.advance(2_000)
            streams = self.begin_streams(fleet)
            self.lose_power(fleet)
            share = self.resume_all(fleet, streams, names_request)
            self.assertGreaterEqual(share, MIN_RATE_SHARE)

    # The report of text joined from two versions: those that had begun before
    # the release went on at the new version.
    def test_old_version_has_just_left(self):
        for names_request in (False, True):
            fleet = self.make_fleet(OLD)
            streams = self.begin_streams(fleet)
            for name in OLD:
                fleet.add_engine(f'new-{name}', 'v2')
                fleet.remove_engine(name)
            self.lose_power(fleet)
            share = self.resume_all(fleet, streams, names_request)
            self.assertEqual(0, share)
            for stream in streams:
                self.assertEqual({'v1'}, stream.versions)

    def check_late_routers(self, fleet):
        """Check streams that late routers begin just after a release."""
        fleet.clock.advance(LATE_MS)
        streams = self.begin_streams(fleet)
        self.lose_power(fleet)
        self.resume_all(fleet, streams, names_request=False)

    # Guards against plans that count as out of use too soon.
    def test_router_that_learns_late_of_the_new_version(self):
        fleet = self.make_fleet(OLD)
        fleet.release_half(('front-0',))
        self.check_late_routers(fleet)

    def test_late_router_and_clocks_that_differ(self):
        for error_ms in (-CLOCK_ERROR_MS, CLOCK_ERROR_MS):
            with mock.patch.object(
                clock.ManualClock, 'wall', lambda self: self.now() + error_ms
            ):
                fleet = self.make_fleet(OLD)
                fleet.release_half(('front-0',))
            self.check_late_routers(fleet)

    def test_clock_that_steps(self):
        for step_ms in (-5_000, 5_000):
            fleet = self.make_fleet(OLD)
            streams = self.begin_streams(fleet)
            fleet.release_half()
            self.lose_power(fleet)
            fleet.clock.advance(version_fleets.TIMEOUT_MS - TIME_OFF_MS - 1)
            with mock.patch.object(
                clock.ManualClock, 'wall', lambda self: self.now() + step_ms
            ):
                self.resume_all(fleet, streams, names_request=False)

    def begin_before_release(self, waited_ms):
        """Return a fleet and its streams, after a release and a power loss.

        The streams began before the release, so long ago, and their callers
        wait for longer than the route's time-out.
        """
        fleet = self.make_fleet(OLD)
        fleet.timeout_ms = LONG_WAIT_MS
        streams = self.begin_streams(fleet)
        fleet.release_half()
        fleet.exchange()
        fleet.clock.advance(waited_ms)
        self.lose_power(fleet)
        return fleet, streams

    # Guards against a route's time-out that counts as the time for which its
    # callers wait, while the router has heard of none.
    def test_callers_wait_for_longer_than_the_time_out(self):
        for waited_ms in (6_000, 15_000, 25_000):
            fleet, streams = self.begin_before_release(waited_ms)
            share = self.resume_all(fleet, streams, names_request=False)
            self.assertEqual(1, share)

    # The same where no page states what began the streams.
    def test_callers_wait_for_long_and_there_are_no_pages(self):
        for waited_ms in (6_000, 15_000, 25_000):
            with self.without_pages():
                fleet, streams = self.begin_before_release(waited_ms)
            share = self.resume_all(fleet, streams, names_request=False)
            self.assertGreaterEqual(share, MIN_RATE_SHARE / 2)
            self.assertLess(share, 1)

    def without_pages(self):
        """Return a context in which no router writes a page."""
        return mock.patch.object(
            version_fleets.VersionFleet, 'write_pages', lambda self: None
        )

    # Guards against callers that are forgotten when a configuration splits or
    # renames their route.
    def test_route_has_another_name(self):
        fleet = self.make_fleet(OLD)
        fleet.timeout_ms = LONG_WAIT_MS
        streams = self.begin_streams(fleet)
        fleet.release_half()
        fleet.exchange()
        fleet.clock.advance(25_000)
        for desk in fleet.desks.values():
            route = desk.config_view.catalog.match('desk', '/a/')
            desk.config_view.catalog = catalog.Catalog(
                2,
                [dataclasses.replace(route, name='renamed')],
                desk.config_view.catalog.services.values(),
                [],
                {},
                catalog.Limits(),
            )
        share = self.resume_all(fleet, streams, names_request=False)
        self.assertEqual(1, share)

    # Guards against one caller with little time whose wait counts for all.
    def test_one_caller_waits_for_less_than_others(self):
        fleet, streams = self.begin_before_release(6_000)
        fleet.timeout_ms = version_fleets.TIMEOUT_MS
        self.begin_streams(fleet)
        fleet.timeout_ms = LONG_WAIT_MS
        self.resume_all(fleet, streams, names_request=False)

    # Guards against the same where the others have less time left by then than
    # that caller had.
    def test_one_caller_waits_for_less_than_others_have_left(self):
        fleet, streams = self.begin_before_release(LONG_WAIT_MS - 10_000)
        fleet.timeout_ms = version_fleets.TIMEOUT_MS
        self.begin_streams(fleet)
        fleet.timeout_ms = LONG_WAIT_MS
        self.resume_all(fleet, streams, names_request=False)

    def test_callers_were_heard_of(self):
        fleet, streams = self.begin_before_release(15_000)
        later = self.begin_streams(fleet)
        share = self.resume_all(fleet, streams, names_request=False)
        self.assertEqual(1, share)
        # They began by the latest plan alone.
        fleet.clock.advance(LATE_MS)
        self.resume_all(fleet, later, names_request=False)
        self.assertTrue(all(stream.is_whole() for stream in later))

    def test_new_streams_wait_for_the_next_plan(self):
        fleet = self.make_fleet(OLD)
        for name in OLD:
            fleet.add_engine(f'new-{name}', 'v2')
        for name in OLD:
            fleet.remove_engine(name)
        for stream in self.begin_streams(fleet):
            self.assertEqual({'v2'}, stream.versions)
