"""Targets that start again while nothing of it reaches the router."""

from tests.edge import test_incarnations
from tests.edge import version_fleets


class SilentEndTest(test_incarnations.FleetTestCase):
    """An engine whose process ends while its link is cut."""

    # Guards against a stream that begins at the next incarnation, because a
    # connection to the one before still seems to be open: that it was closed
    # is sent again later than the link is back.
    def test_connection_that_only_seems_open(self):
        fleet = self.make_fleet({'a': 'v1'})
        self.cut_off(fleet)
        target = fleet.desks['front-0'].targets['a']
        engine = fleet.engines['a']
        fleet.begin('front-0', version_fleets.STREAM_EVENTS + 1)
        (kept,) = target._idle
        self.assertEqual(1, engine.report_count)
        target._idle.clear()
        # The close of the old connections is lost.
        engine.remotes.clear()
        engine.restart('v2')
        fleet.write_entry('a')
        self.assertTrue(kept.is_open_and_empty())
        stream = fleet.begin('front-0')
        self.assertEqual(set(), stream.versions)
