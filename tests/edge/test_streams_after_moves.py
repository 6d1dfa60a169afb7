"""Streams that clients resume after a configuration has moved their route.

Each service has one version of its own.  Guards against streams that begin at
one service and go on at another one, where no router remembers them.
"""

import dataclasses
import unittest

from galenaspoke.core import catalog
from galenaspoke.edge.streams import resumption
from galenaspoke.edge.streams import stream_versions
from tests.edge import version_fleets

STREAM_COUNT = 20
ROUTER_COUNT = 3
SERVICES = {'pool': 'v1', 'other': 'v2'}
SETTLED_MS = 60_000
PAUSE_MS = 500
# So long a router may be cut off.
LATE_MS = version_fleets.TIMEOUT_MS + 3_000
# After that no caller waits for a stream that began before, also at a router
# that learnt late of the configuration.
OVER_MS = stream_versions.MAX_STREAM_AGE_MS + resumption.CONFIG_LAG_MS + 1


class MoveTest(unittest.TestCase):
    """A fleet with two services, and a route that leads to them in turn."""

    def make_fleet(self, *splits):
        """Return a fleet whose route has been the same for long."""
        fleet = version_fleets.VersionFleet(ROUTER_COUNT, {})
        self.addCleanup(fleet.close)
        self.generation = 1
        self.configure(fleet, *splits)
        for service, version in SERVICES.items():
            for name in 'ab':
                fleet.add_engine(f'{service}-{name}', version, service=service)
        for desk in fleet.desks.values():
            desk.versions.record.update('other', {'v2'}, {'v2': 2})
        fleet.clock.advance(SETTLED_MS)
        return fleet

    def configure(self, fleet, *splits):
        """Let the route lead to services with these shares."""
        self.generation += 1
        services = [catalog.Service(name, '/health', 100) for name in SERVICES]
        for desk in fleet.desks.values():
            route = desk.config_view.catalog.match('desk', '/a/')
            desk.config_view.catalog = catalog.Catalog(
                self.generation,
                [dataclasses.replace(route, splits=splits)],
                services,
                [],
                {},
                catalog.Limits(),
            )

    def begin_streams(self, fleet):
        """Begin streams at all routers, none of which is whole yet."""
        return [
            fleet.begin(f'front-{number % ROUTER_COUNT}')
            for number in range(STREAM_COUNT)
        ]

    def resume_all(self, fleet, streams):
        """Resume streams that nobody remembers; return how many go on."""
        for number, stream in enumerate(streams):
            stream.first_id = b''
            fleet.resume(stream, f'front-{(number + 1) % ROUTER_COUNT}')
        self.assertEqual(0, fleet.count_mixed())
        return sum(stream.is_whole() for stream in streams)

    def test_route_moves_to_another_service(self):
        fleet = self.make_fleet(('pool', 1.0))
        streams = self.begin_streams(fleet)
        self.configure(fleet, ('other', 1.0))
        fleet.clock.advance(PAUSE_MS)
        self.assertEqual(0, self.resume_all(fleet, streams))
        # Once no older stream can be resumed, all go on.
        fleet.clock.advance(OVER_MS)
        streams = self.begin_streams(fleet)
        self.assertEqual(STREAM_COUNT, self.resume_all(fleet, streams))

    def test_route_is_split(self):
        fleet = self.make_fleet(('pool', 1.0))
        streams = self.begin_streams(fleet)
        self.configure(fleet, ('pool', 0.5), ('other', 0.5))
        fleet.clock.advance(PAUSE_MS)
        whole = self.resume_all(fleet, streams)
        self.assertGreater(whole, 0)
        self.assertLess(whole, STREAM_COUNT)

    # Nothing tells at which of its services a stream without a prompt began.
    def test_split_route_without_a_prompt(self):
        fleet = self.make_fleet(('pool', 0.5), ('other', 0.5))
        streams = []
        for number in range(STREAM_COUNT):
            stream = version_fleets.Stream(
                fleet._make_id(), fleet.clock.now(), b''
            )
            router = f'front-{number % ROUTER_COUNT}'
            fleet._request(stream, router, stream.first_id, (), 2)
            fleet.streams.append(stream)
            streams.append(stream)
        self.resume_all(fleet, streams)

    # Guards against a stream that a router which is cut off begins at the old
    # service, long after the others have learned of the move.
    def test_router_that_does_not_learn_of_the_move(self):
        self.check_router_that_is_behind(OVER_MS)

    # Guards against the same while the router is cut off for some seconds.
    def test_router_that_learns_late_of_the_move(self):
        self.check_router_that_is_behind(LATE_MS)

    def check_router_that_is_behind(self, behind_ms):
        """Check streams of a router that has not seen the move for so long."""
        fleet = self.make_fleet(('pool', 1.0))
        behind = fleet.desks['front-0'].config_view.catalog
        fleet.network.cut_off('front-0')
        self.configure(fleet, ('other', 1.0))
        fleet.desks['front-0'].config_view.catalog = behind
        # The others learn of the move, and for how long callers wait.
        fleet.begin('front-1')
        fleet.begin('front-2')
        fleet.clock.advance(behind_ms)
        fleet.exchange()
        streams = [fleet.begin('front-0') for _ in range(STREAM_COUNT)]
        self.assertTrue(all(stream.events for stream in streams))
        self.resume_all(fleet, streams)
