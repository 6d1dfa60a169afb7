"""The specifications are safe, and each of their guards matters."""

import unittest

import minicheck

from spec import joining
from spec import money
from spec import restarts
from spec import topups
from spec import vouching

MODULES = (joining, money, restarts, topups, vouching)


def _broken(protocol):
    """Return the invariants that are broken, and if all was searched."""
    found = minicheck.check_safety(protocol, max_states=2_000_000)
    holds = [known['holds'] for known in found['properties'].values()]
    return holds


class SpecTest(unittest.TestCase):
    """Every specification, with all guards and with each one removed."""

    def test_safe_with_all_guards(self):
        for module in MODULES:
            with self.subTest(module.__name__):
                holds = _broken(module.protocol())
                self.assertEqual([True] * len(holds), holds)

    def test_each_guard_matters(self):
        for module in MODULES:
            for guard in module.GUARDS:
                with self.subTest(f'{module.__name__} without {guard}'):
                    rest = frozenset(module.GUARDS) - {guard}
                    holds = _broken(module.protocol(rest))
                    self.assertIn(False, holds)
