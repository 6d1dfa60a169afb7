"""The faults that a soak draws from, at machines made up here."""

import signal
import types
import unittest

import gevent

from bench import edge_faults
from bench import fault_history
from standins import platform_documents
from tests.bench import fakes

MODEL = platform_documents.MODEL_SERVICE
APPLICATION = platform_documents.APPLICATION_SERVICE


class FakeFleet:
    """A model engine, an application and a router."""

    def __init__(self):
        self.models = [fakes.make_machine('model-0', MODEL)]
        self.applications = [fakes.make_machine('application-0', APPLICATION)]
        self.routers = [fakes.make_machine('router-0', '')]
        self.machines = self.models + self.applications + self.routers
        self.store = types.SimpleNamespace(is_down=False)
        self.control_path = None
        self.faults = []
        self.spans = []
        self.log = self

    def write(self, **fields):
        """Take a line of the log; a span has what a fault noted before."""
        if fields['what'] == 'span':
            self.spans.append(fields['fault'])
        else:
            self.faults.append(fields['fault'])


class FaultsTest(unittest.TestCase):
    """What faults do to machines."""

    def setUp(self):
        self.fleet = FakeFleet()

    def play(self, name):
        """Draw one fault from those of one name, until it is over."""
        faults = edge_faults.Faults(self.fleet, 1, (name,))
        faults.start()
        gevent.sleep(0.01)
        faults.stop()

    def test_address_that_another_service_takes(self):
        """Two engines swap their services, each once its end is past."""
        self.play('hand_over')
        model, application = self.fleet.models[0], self.fleet.applications[0]
        self.assertEqual(model.next_service, APPLICATION)
        self.assertEqual(application.next_service, MODEL)
        # The series found them about to end and left them alone.
        self.assertEqual(self.fleet.faults, ['hand_over'] * 2)
        for machine in (model, application):
            self.assertGreaterEqual(machine.restart_after_s, 2)
            self.assertEqual(len(machine.process.numbers), 1)

    def test_loss_of_power(self):
        """All processes are killed, the store is silent for a while."""
        faults = edge_faults.Faults(self.fleet, 1, ('lose_power',))
        faults.start()
        gevent.sleep(0.01)
        self.assertTrue(self.fleet.store.is_down)
        faults.stop()
        self.assertFalse(self.fleet.store.is_down)
        for machine in self.fleet.machines:
            self.assertEqual(set(machine.process.numbers), {signal.SIGKILL})
            self.assertTrue(machine.may_end)

    def test_span(self):
        """It is logged for how long a fault went on, once it is over."""
        faults = edge_faults.Faults(self.fleet, 1, ('lose_power',))
        faults.start()
        gevent.sleep(0.01)
        self.assertEqual(self.fleet.spans, [])
        faults.stop()
        self.assertEqual(set(self.fleet.spans), {'lose_power'})

    def test_planned_work(self):
        """One name stands for all planned work, and for nothing else."""
        fleet = self.fleet
        names = edge_faults.Faults(fleet, 1, ('planned',)).list_names()
        self.assertEqual(names, set(fault_history.PLANNED))

    def test_no_fault(self):
        """A name that is none of theirs leaves all out."""
        self.play('none')
        self.assertEqual(self.fleet.faults, [])
