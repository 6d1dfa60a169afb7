"""Routers that were silent when others agreed on a plan of versions."""

import unittest

from galenaspoke.edge.streams import plan_agreement
from galenaspoke.edge.streams import version_record
from tests.edge import version_fleets

ROUTER_COUNT = 4
# Longer than others wait for a router that is silent.
REREAD_COUNT = 45


class SilentRouterTest(unittest.TestCase):
    """A fleet in which one router is lost and another one cut off."""

    def setUp(self):
        self.fleet = version_fleets.VersionFleet(
            ROUTER_COUNT, {'a': 'v1', 'b': 'v1'}
        )
        self.addCleanup(self.fleet.close)
        self.fleet.exchange()

    # Guards against a plan that counts as ended though a router still begins
    # streams by it: it was silent once while another was lost for good.
    def test_router_that_was_silent_once_is_waited_for(self):
        others = ('front-0', 'front-3')
        self.fleet.kill('front-2')
        self.fleet.network.cut_off('front-1')
        self.fleet.add_engine('c', 'v2', routers=others)
        self.fleet.wait_for_silent(plan_agreement.RELIST_MS + 1)
        self.fleet.network.heal()
        for _ in range(45):
            self.fleet.read_targets()
            self.fleet.exchange()
            self.fleet.clock.advance(version_record.REREAD_MS + 1)
        self.fleet.exchange()
        self.assertTrue(self.fleet.read_record().is_settled())
        self.fleet.network.cut_off('front-1')
        self.fleet.add_engine('d', 'v2', routers=others)
        self.fleet.wait_for_silent(plan_agreement.RELIST_MS + 1)
        self.assertTrue(self.fleet.begin('front-1', 1).events)
        self.assertFalse(self.fleet.read_record().is_settled())
