"""The faults of sites' troubles, at machines made up here."""

import random
import signal
import types
import unittest
from unittest import mock

from bench import edge_faults
from bench import site_faults
from bench import tenants
from standins import platform_documents
from tests.bench import fakes

# The kinds of the three sites of incident 46.
KINDS = set(site_faults.FAULTS_BY_TROUBLE)


class FakeFleet:
    """A fleet whose processes only take signals."""

    def __init__(self):
        self.models = [fakes.make_machine(f'model-{n}') for n in range(2)]
        self.engines = self.models
        self.routers = [fakes.make_machine(f'router-{n}') for n in range(4)]
        self.relays = [fakes.make_machine('relay-0')]
        self.tenants = tenants.Tenants(
            [
                platform_documents.Tenant('t0', ['a'], 100),
                platform_documents.Tenant('t1', ['b'], 100_000),
            ]
        )
        self.published = 0
        self.strides = []
        self.turned_away = []
        self.log = types.SimpleNamespace(write=lambda **fields: None)

    def publish(self, extra_routes=None, stride=None):
        """Count a configuration, and keep the events that it states."""
        self.published += 1
        self.strides.append(stride)

    def turn_away(self, machine, how):
        """Keep whom the store refuses."""
        self.turned_away.append((machine.name, how))


class SiteFaultsTest(unittest.TestCase):
    """What faults do."""

    def setUp(self):
        self.fleet = FakeFleet()
        self.noted = []
        self.faults = site_faults.SiteFaults(self.fleet, self.note)
        self.rng = random.Random(3)
        patch = mock.patch.object(site_faults.gevent, 'sleep')
        patch.start()
        self.addCleanup(patch.stop)

    def note(self, fault, name, **fields):
        """Keep a line of the log."""
        self.noted.append((fault, name))

    def list_signals(self, machines):
        """Return the signals that machines got."""
        return [n for machine in machines for n in machine.process.numbers]

    def test_herd(self):
        """Several routers are killed."""
        self.faults.kill_herd(self.rng)
        numbers = self.list_signals(self.fleet.routers)
        self.assertIn(len(numbers), (2, 3))
        self.assertEqual(set(numbers), {signal.SIGKILL})

    def test_short_notice(self):
        """An engine drains, is killed soon and stays away for a while."""
        self.faults.scale_in(self.rng)
        (machine,) = [m for m in self.fleet.models if m.process.numbers]
        self.assertEqual(machine.process.numbers, [signal.SIGTERM])
        self.assertIsNotNone(machine.kill_at)
        self.assertGreaterEqual(machine.restart_after_s, 3)

    def test_flapping(self):
        """An engine isn't ended again before it is back."""
        self.faults.flap_engine(self.rng)
        self.assertEqual(
            self.list_signals(self.fleet.engines), [signal.SIGKILL]
        )

    def test_store_turns_away(self):
        """Some machines are refused, and served again after it."""
        self.faults.turn_away(self.rng)
        refused = {n for n, how in self.fleet.turned_away if how is not None}
        served = {n for n, how in self.fleet.turned_away if how is None}
        self.assertEqual(refused, served)
        self.assertEqual(len(refused), 2)

    def test_top_up(self):
        """Only tenants with little get more, by a new configuration."""
        self.faults.top_up(self.rng)
        scarce, ample = self.fleet.tenants.all
        self.assertGreater(scarce.prepaid, 100)
        self.assertEqual(ample.prepaid, 100_000)
        self.assertEqual(self.fleet.published, 1)

    def test_change_sizes(self):
        """Events are stated as smaller, and then as they are."""
        with mock.patch.object(site_faults, 'SMALLER_EVENTS_S', (0, 0)):
            self.faults.change_sizes(self.rng)
        self.assertEqual(self.fleet.strides, [1, None])

    def test_faults_drawn_by_name_only(self):
        """They are drawn neither from all nor for a site's troubles."""
        for troubles in (None, KINDS):
            faults = edge_faults.Faults(self.fleet, 1, troubles=troubles)
            self.assertNotIn('change_sizes', faults.list_names())
        faults = edge_faults.Faults(self.fleet, 1, ('change_sizes',))
        self.assertEqual(faults.list_names(), {'change_sizes'})

    def test_revoke(self):
        """Keys are replaced by new ones."""
        self.faults.revoke(self.rng)
        self.assertEqual(self.fleet.tenants.revoked, {'a', 'b'})
        keys = [tenant.keys for tenant in self.fleet.tenants.all]
        self.assertTrue(all(len(own) == 1 for own in keys))

    def test_names(self):
        """Each kind of trouble names faults that there are."""
        own = edge_faults.Faults(self.fleet, 1)
        there_are = own.list_names()
        self.assertLessEqual(site_faults.list_names(KINDS), there_are)
        some = edge_faults.Faults(self.fleet, 1, (), ['herd_kill'])
        self.assertEqual(
            some.list_names(), {'kill_herd', *site_faults.USUAL_FAULTS}
        )
