"""Machines whose processes only take signals."""

from bench import edge_machines


class FakeProcess:
    """Keeps the signals that it gets."""

    def __init__(self):
        self.numbers = []

    def signal(self, number):
        """Take a signal."""
        self.numbers.append(number)


def make_machine(name, service=''):
    """Return a machine with such a process."""
    machine = edge_machines.Machine(name, '127.0.0.1', 'zone-a', None, service)
    machine.process = FakeProcess()
    return machine
