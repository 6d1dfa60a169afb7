"""Tests of finding the home of a request, without a network."""

import types
import unittest
from unittest import mock

from galenaspoke.core import registry
from galenaspoke.core import routing
from galenaspoke.router import home_locator
from galenaspoke.router import peers
from galenaspoke.router import request_state
from tests.router import test_dispatch


class SilentHomeTest(unittest.TestCase):
    """Two agents, of which the request's home has missed a heartbeat."""

    def setUp(self):
        reg = registry.Registry('pool', 1)
        for name in ('pool-0', 'pool-1'):
            reg.entries.append(
                registry.AgentEntry(
                    'pool',
                    name,
                    'a',
                    '127.0.0.1:1',
                    'a',
                    registry.Phase.ACTIVE,
                )
            )
        agents = {
            entry.agent_id(): peers.AgentPeer(entry) for entry in reg.entries
        }
        for peer in agents.values():
            peer.channel = mock.Mock()
        home_id = registry.placement(reg, 'k').home.agent_id()
        self.home = agents.pop(home_id)
        (self.other,) = agents.values()
        agents[home_id] = self.home
        self.home.silent_since = 1
        self.home.load.failed = True
        directory = types.SimpleNamespace(
            registries={'pool': reg}, get_agents=lambda service: agents
        )
        self.locator = home_locator.HomeLocator(directory, routing.prefer_home)

    def find(self, fresh):
        """Return the home found, and whether the request is billable."""
        req = test_dispatch.make_request(fresh)
        state = request_state.RequestState(req, 1000)
        return self.locator.find(state), state.billable

    # Guards against a key that is billed a second time: its home may have
    # billed it, and can't be asked.
    def test_key_of_the_caller_is_not_billable(self):
        self.assertEqual((self.other, False), self.find(fresh=False))

    # Guards against tokens in doubt for a key that nobody has used before.
    def test_own_key_is_billable(self):
        self.assertEqual((self.other, True), self.find(fresh=True))

    # Guards against tokens in doubt after the home has answered again.
    def test_home_that_answers_again_bills(self):
        self.home.silent_since = None
        self.assertEqual((self.home, True), self.find(fresh=False))
