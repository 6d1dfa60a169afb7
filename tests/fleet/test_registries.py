"""Registry operations that routers and agents share."""

import unittest

from galenaspoke.core import registry
from galenaspoke.fleet import registries
from tests.router import test_vouching


class HandOverTest(unittest.TestCase):
    """Records that are handed over while no other agent serves."""

    def setUp(self):
        self.reg = registry.Registry('pool', 1)
        self.reg.entries.append(
            registry.AgentEntry(
                'pool', 'pool-0', 'a', 'x', 'd', registry.Phase.ACTIVE
            )
        )

    def test_records_without_a_home(self):
        """A record that has no home is not handed over.

        `hand_over` skipped it and returned True, so a router vouched for a
        lost agent whose keys no agent knew, and they could run a second time.
        """
        records = iter([test_vouching.make_record('k')])
        self.assertFalse(registries.hand_over(self.reg, 'pool-0.a', records))
        registry.declare_lost(self.reg, 'pool-0', 'a')
        records = [test_vouching.make_record('k')]
        self.assertFalse(registries.hand_over(self.reg, '', records))

    def test_no_records(self):
        self.assertTrue(registries.hand_over(self.reg, 'pool-0.a', iter([])))
