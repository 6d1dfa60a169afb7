"""What an operator is told of a change whose response is lost."""

import unittest

from galenaspoke.core import registry
from galenaspoke.ctl import updates
from tests import fakes

SERVICE = 'booking-desk'


class ForgetTest(unittest.TestCase):
    """A lost agent is forgotten, as by `galenaspoke-ctl agents forget`."""

    def setUp(self):
        self.store = fakes.FakeStore()
        entry = registry.AgentEntry(
            SERVICE, 'a1', 'i1', '127.0.0.1:1', 'd', registry.Phase.LOST
        )
        self.update(lambda reg: reg.entries.append(entry) or True)

    def update(self, change):
        """Change the registry; return the Outcome."""
        outcome, _ = updates.update(
            self.store,
            registry.registry_key(SERVICE),
            registry.Registry,
            change,
        )
        return outcome

    def forget(self):
        """Forget the agent, of which no holder knows."""
        return self.update(lambda reg: registry.forget(reg, 'a1', 'i1', []))

    def test_forgotten_once(self):
        self.assertIs(updates.Outcome.CHANGED, self.forget())
        self.assertIs(updates.Outcome.UNCHANGED, self.forget())

    def test_lost_response_is_not_a_refusal(self):
        """The command ended with 1, "nothing changed", after its own write."""
        self.store.faults = ['lost']
        self.assertIs(updates.Outcome.CHANGED_MEANWHILE, self.forget())

    def test_dropped_write_is_repeated(self):
        self.store.faults = ['dropped']
        self.assertIs(updates.Outcome.CHANGED, self.forget())
