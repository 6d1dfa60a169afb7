"""Streams whose version or service a router gets wrong when it goes on.

Found by the review of the incident "proofs".
"""

import unittest
from unittest import mock

from galenaspoke.edge.serving import earlier_routes
from tests.edge import test_streams_after_moves
from tests.edge import version_fleets

STREAM_COUNT = 40
SETTLED_MS = 60_000
TIME_OFF_MS = 1_000
# By how much the clocks that find a plan are ahead of those that wrote it.
CLOCK_ERRORS_MS = (-6_000, 0, 2_000, 6_000, 12_000)


class ClockTest(unittest.TestCase):
    """Streams whose version is found by a plan, by clocks that differ."""

    def make_fleet(self):
        """Return a fleet of one version, and streams that have begun."""
        fleet = version_fleets.VersionFleet(3, dict.fromkeys('abcd', 'v1'))
        self.addCleanup(fleet.close)
        fleet.exchange()
        fleet.clock.advance(SETTLED_MS)
        return fleet

    def begin_streams(self, fleet, names):
        """Begin streams at routers in turn; return them."""
        return [
            fleet.begin(names[number % len(names)])
            for number in range(STREAM_COUNT)
        ]

    def release_half(self, fleet):
        """Replace half of the engines by others of another version."""
        fleet.release_half()
        fleet.exchange()

    def start(self, fleet, names, error_ms):
        """Start routers whose clocks differ by so much."""
        for name in names:
            fleet.start(name, error_ms)

    def count_after_power_loss(self, error_ms):
        """Return how many streams go on at another version.

        They began just before a release of half of the engines, and no router
        that knew them is left.
        """
        fleet = self.make_fleet()
        names = list(fleet.desks)
        streams = self.begin_streams(fleet, names)
        self.release_half(fleet)
        for name in names:
            fleet.kill(name)
        fleet.clock.advance(TIME_OFF_MS)
        self.start(fleet, names, error_ms)
        # From then on it is known for how long callers wait.
        for name in names:
            fleet.begin(name)
        for number, stream in enumerate(streams):
            fleet.resume(stream, names[(number + 1) % 3])
        return fleet.count_mixed()

    def count_after_kill(self, error_ms):
        """The same where one router is killed before it sends its notes."""
        fleet = self.make_fleet()
        self.start(fleet, ['front-2'], error_ms)
        fleet.read_lists()
        fleet.read_targets()
        for name in list(fleet.desks):
            fleet.begin(name)
        fleet.network.cut_off('front-0')
        with mock.patch.object(fleet, 'send_notes'):
            streams = self.begin_streams(fleet, ['front-0'])
        fleet.kill('front-0')
        fleet.network.heal()
        self.start(fleet, ['front-0'], 0)
        fleet.read_lists()
        self.release_half(fleet)
        fleet.clock.advance(TIME_OFF_MS)
        for stream in streams:
            fleet.resume(stream, 'front-2')
        return fleet.count_mixed()

    # Guards against pieces of two versions, since clocks are farther apart
    # than plans allow for (ORDER: pieces of two runs are joined).
    def test_power_loss(self):
        self.check_errors(self.count_after_power_loss)

    # The same where a single router is lost.
    def test_router_dies_before_its_notes(self):
        self.check_errors(self.count_after_kill)

    def check_errors(self, count):
        """Check that no stream is mixed however far clocks are apart."""
        mixed = {error_ms: count(error_ms) for error_ms in CLOCK_ERRORS_MS}
        self.assertEqual(dict.fromkeys(CLOCK_ERRORS_MS, 0), mixed)


class MovedRouteTest(unittest.TestCase):
    """Streams whose route has moved to another service."""

    make_fleet = test_streams_after_moves.MoveTest.make_fleet
    configure = test_streams_after_moves.MoveTest.configure
    begin_streams = test_streams_after_moves.MoveTest.begin_streams

    def count_mixed(self, names_request, lost):
        """Return how many streams go on at another service.

        The routers `lost` start again after the move, and know no other
        configuration.  Callers resume at the second one of the three.
        """
        fleet = self.make_fleet(('pool', 1.0))
        streams = self.begin_streams(fleet)
        for name in lost:
            fleet.kill(name)
        fleet.clock.advance(TIME_OFF_MS)
        for name in lost:
            fleet.start(name)
        self.configure(fleet, ('other', 1.0))
        fleet.read_lists()
        fleet.read_targets()
        for name in lost:
            # It has never had another configuration.
            desk = fleet.desks[name]
            desk.admission._earlier_routes = earlier_routes.EarlierRoutes(
                desk.config_view.catalog
            )
            desk.versions.record.update('other', {'v2'}, {'v2': 2})
        new = fleet.begin('front-1', version_fleets.STREAM_EVENTS + 1)
        self.assertEqual({'v2'}, new.versions)
        for stream in streams:
            if not names_request:
                stream.first_id = b''
            fleet.resume(stream, 'front-1')
        return fleet.count_mixed()

    # Guards against a router that has started since the move, and takes the
    # service of today for the one that began a stream (ORDER).
    def test_callers_that_name_no_request(self):
        self.assertEqual(0, self.count_mixed(False, ['front-1']))

    # The same where all routers that knew the streams are lost.
    def test_all_routers_start_again(self):
        routers = [f'front-{number}' for number in range(3)]
        self.assertEqual(0, self.count_mixed(True, routers))

    # Guards against a configuration that one router had and another one never
    # saw, as two changes came between two of its requests (ORDER).
    def test_configuration_that_was_not_seen(self):
        fleet = self.make_fleet(('pool', 1.0))
        fleet.begin('front-1')
        self.configure(fleet, ('other', 1.0))
        streams = [fleet.begin('front-0') for _ in range(STREAM_COUNT)]
        self.assertEqual({'v2'}, streams[0].versions)
        self.configure(fleet, ('pool', 1.0))
        fleet.clock.advance(TIME_OFF_MS)
        for stream in streams:
            stream.first_id = b''
            fleet.resume(stream, 'front-1')
        self.assertEqual(0, fleet.count_mixed())

    # The counterpart: another router remembers.
    def test_other_routers_remember(self):
        self.assertEqual(0, self.count_mixed(True, ['front-1']))
