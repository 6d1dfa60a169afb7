"""Streams of a release that go on at what began them, by facts alone.

Guards against pieces of two versions in one stream (ORDER): who let it go on
had worked out when it began, by clocks of several machines or by the wait that
its caller states, in place of asking who knew.
"""

import unittest

from tests.edge import version_fleets

STREAM_COUNT = 40
ROUTER_COUNT = 3
OLD = {'a': 'v1', 'b': 'v1', 'c': 'v1', 'd': 'v1'}
SETTLED_MS = 60_000
# How long ago the release was when streams are resumed.
WAITED_MS = 4_500
# How far the routers' wall clocks are apart.
ERRORS_MS = (0, 2_400, -2_400)
TIME_OFF_MS = 500


class ReleaseTest(unittest.TestCase):
    """Streams that begin before half of the engines are replaced."""

    def make_fleet(self, errors_ms=(0, 0, 0)):
        """Return a fleet whose routers' clocks are so far ahead."""
        self.errors_ms = errors_ms
        fleet = version_fleets.VersionFleet(0, OLD)
        self.addCleanup(fleet.close)
        self.start_all(fleet)
        fleet.exchange()
        fleet.clock.advance(SETTLED_MS)
        return fleet

    def start_all(self, fleet):
        """Start all routers, each with its own clock."""
        for number in range(ROUTER_COUNT):
            fleet.start(f'front-{number}', self.errors_ms[number])
        fleet.read_lists()
        fleet.read_targets()

    def kill_all(self, fleet):
        """Kill all routers at once, and start them again."""
        for name in list(fleet.desks):
            fleet.kill(name)
        fleet.clock.advance(TIME_OFF_MS)
        self.start_all(fleet)

    def begin_streams(self, fleet):
        """Begin streams at all routers, none of which is whole yet."""
        return [
            fleet.begin(f'front-{number % ROUTER_COUNT}')
            for number in range(STREAM_COUNT)
        ]

    def release_half(self, fleet):
        """Replace half of the engines by others of another version."""
        fleet.release_half()
        fleet.exchange()

    def resume_all(self, fleet, streams, names_request, left_ms=None):
        """Resume streams at other routers; return how many are whole.

        `left_ms` is the wait that their callers state, None for what is left.
        """
        timeout_ms = fleet.timeout_ms
        for number, stream in enumerate(streams):
            if not names_request:
                stream.first_id = b''
            if left_ms is not None:
                age_ms = fleet.clock.now() - stream.began_at
                fleet.timeout_ms = age_ms + left_ms
            fleet.resume(stream, f'front-{(number + 1) % ROUTER_COUNT}')
        fleet.timeout_ms = timeout_ms
        self.assertEqual(0, fleet.count_mixed())
        return sum(stream.is_whole() for stream in streams)

    # No router has lost anything; callers need not name what they resume, and
    # the routers' wall clocks differ.
    def test_clocks_apart_and_no_name(self):
        for errors_ms in (ERRORS_MS, ERRORS_MS[::-1]):
            fleet = self.make_fleet(errors_ms)
            streams = self.begin_streams(fleet)
            self.release_half(fleet)
            fleet.clock.advance(WAITED_MS)
            whole = self.resume_all(fleet, streams, names_request=False)
            self.assertEqual(STREAM_COUNT, whole)

    # The same where callers state the same wait on each try.
    def test_wait_that_is_stated_anew(self):
        for names_request in (False, True):
            fleet = self.make_fleet()
            streams = self.begin_streams(fleet)
            self.release_half(fleet)
            fleet.clock.advance(WAITED_MS)
            whole = self.resume_all(
                fleet, streams, names_request, version_fleets.TIMEOUT_MS
            )
            self.assertEqual(STREAM_COUNT, whole)

    # The same after all routers were killed at once: the store has what began
    # the streams.
    def test_all_routers_are_killed(self):
        for names_request in (False, True):
            for left_ms in (None, version_fleets.TIMEOUT_MS):
                fleet = self.make_fleet(ERRORS_MS)
                streams = self.begin_streams(fleet)
                self.release_half(fleet)
                fleet.clock.advance(WAITED_MS)
                self.kill_all(fleet)
                whole = self.resume_all(fleet, streams, names_request, left_ms)
                self.assertEqual(STREAM_COUNT, whole)

    # The same where the routers die before they have written what began the
    # streams: those whose key has moved are refused.
    def test_all_routers_are_killed_before_they_write(self):
        for names_request in (False, True):
            fleet = self.make_fleet(ERRORS_MS)
            fleet.write_pages = lambda: None
            streams = self.begin_streams(fleet)
            self.release_half(fleet)
            fleet.clock.advance(WAITED_MS)
            self.kill_all(fleet)
            whole = self.resume_all(
                fleet, streams, names_request, version_fleets.TIMEOUT_MS
            )
            self.assertGreater(whole, 0)
            self.assertLess(whole, STREAM_COUNT)

    # The same where the routers that were told of a stream stay away.
    def test_page_of_a_router_that_is_away(self):
        fleet = self.make_fleet()
        streams = self.begin_streams(fleet)
        self.release_half(fleet)
        for name in list(fleet.desks):
            fleet.kill(name)
        fleet.start('front-0')
        fleet.read_lists()
        for stream in streams:
            fleet.resume(stream, 'front-0')
        self.assertEqual(0, fleet.count_mixed())
        self.assertEqual(STREAM_COUNT, fleet.count_whole())

    # A request that is sent again, as its caller had got nothing, may have
    # begun at either version: nothing tells which of both is resumed.
    def test_same_request_at_two_versions(self):
        fleet = self.make_fleet()
        streams = self.begin_streams(fleet)
        self.release_half(fleet)
        again = [
            fleet.begin_again(stream, f'front-{number % ROUTER_COUNT}')
            for number, stream in enumerate(streams)
        ]
        moved = sum(stream.versions == {'v2'} for stream in again)
        self.assertGreater(moved, 0)
        whole = self.resume_all(fleet, again, names_request=False)
        self.assertEqual(STREAM_COUNT - moved, whole)
