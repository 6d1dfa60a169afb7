"""Streams that routers begin by plans which the others no longer follow.

Guards against streams joined from two versions (ORDER) after a release that
one router didn't follow: it was cut off, it stood still, or it saw the targets
late.
"""

import unittest

from tests.edge import version_fleets

ROUTER_COUNT = 3
STREAM_COUNT = 30
# Long after the lag of a router that is in step.
OUT_OF_STEP_MS = 9_000
OLD = {'a': 'v1', 'b': 'v1', 'c': 'v1', 'd': 'v1'}
BEHIND = 'front-0'
IN_STEP = ('front-1', 'front-2')


class OutOfStepTest(unittest.TestCase):
    """A fleet in which one router doesn't see what the others see."""

    def setUp(self):
        self.fleet = version_fleets.VersionFleet(ROUTER_COUNT, OLD)
        self.addCleanup(self.fleet.close)
        self.fleet.clock.advance(60_000)
        self.fleet.exchange()

    def release_half(self, routers=IN_STEP):
        """Replace two of the four targets; only `routers` learn of it."""
        self.fleet.release_half(routers)
        self.fleet.exchange()

    def begin_streams(self, router):
        """Begin streams with different prompts at a router."""
        return [self.fleet.begin(router) for _ in range(STREAM_COUNT)]

    def resume_all(self, streams, router, names_request=True):
        """Resume streams at a router; return how many are whole."""
        for stream in streams:
            if not names_request:
                stream.first_id = b''
            self.fleet.resume(stream, router)
        self.assertEqual(0, self.fleet.count_mixed())
        return sum(stream.is_whole() for stream in streams)

    # Guards against a resumed stream that goes on at the version of the new
    # plan though a router that is cut off began it by the old one.
    def test_router_that_is_cut_off_begins_by_an_old_plan(self):
        self.fleet.network.cut_off(BEHIND)
        self.release_half()
        self.fleet.clock.advance(OUT_OF_STEP_MS)
        streams = self.begin_streams(BEHIND)
        self.resume_all(streams, IN_STEP[0])

    # Guards against the same where the router dies after that, and the fleet
    # takes its silence for the end of the old plan.
    def test_router_that_was_cut_off_is_killed(self):
        self.fleet.network.cut_off(BEHIND)
        self.release_half()
        self.fleet.clock.advance(OUT_OF_STEP_MS)
        streams = self.begin_streams(BEHIND)
        self.fleet.kill(BEHIND)
        self.fleet.clock.advance(1_000)
        self.fleet.network.heal()
        self.fleet.start(BEHIND)
        self.fleet.exchange()
        self.resume_all(streams, IN_STEP[0])

    # Guards against a router that sees targets late and writes the plan that
    # it works out from them over a newer one, which the others go on with.
    def test_late_router_does_not_bring_back_an_old_plan(self):
        self.fleet.network.cut_off(BEHIND)
        self.fleet.add_engine('new-c', 'v2', IN_STEP)
        late_listing = self.fleet.store.list('servers')
        self.release_half()
        self.fleet.deliver_listing(BEHIND, late_listing)
        self.fleet.exchange()
        self.fleet.clock.advance(OUT_OF_STEP_MS)
        streams = self.begin_streams(IN_STEP[1])
        self.assertTrue(all(stream.events for stream in streams))
        self.fleet.kill(IN_STEP[1])
        self.resume_all(streams, IN_STEP[0], names_request=False)

    # Guards against plans that stay in doubt: once all routers follow the new
    # one, streams of a router that has died go on.
    def test_streams_go_on_once_all_follow_the_plan(self):
        self.release_half(('front-0', *IN_STEP))
        self.fleet.clock.advance(OUT_OF_STEP_MS)
        # It tells how long callers of the route wait.
        self.fleet.begin(IN_STEP[0])
        self.fleet.network.cut_off(BEHIND)
        streams = self.begin_streams(BEHIND)
        versions = {v for stream in streams for v in stream.versions}
        self.assertEqual({'v1', 'v2'}, versions)
        self.fleet.kill(BEHIND)
        whole = self.resume_all(streams, IN_STEP[0], names_request=False)
        self.assertEqual(STREAM_COUNT, whole)
