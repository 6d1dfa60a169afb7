"""How many tokens the configuration says that an event holds."""

import json
import unittest

from galenaspoke.core import catalog
from galenaspoke.platform import configuration


class EventTokensTest(unittest.TestCase):
    """A service of model engines, and one of an application."""

    def decode(self, **fields):
        """Return the event tokens of a service."""
        spec = {'Version': 1, 'Services': [{'Name': 'pool', **fields}]}
        decoded = configuration.decode(json.dumps(spec).encode())
        return decoded.services['pool'].event_tokens

    def test_stated(self):
        self.assertEqual(6, self.decode(Engine={'Slots': 1, 'Stride': 6}))

    # Guards against an account that gets more than its budget: an event of
    # engines that don't state its size was charged as one token.
    def test_not_stated(self):
        self.assertEqual(
            catalog.UNKNOWN_EVENT_TOKENS, self.decode(Engine={'Slots': 1})
        )

    def test_application(self):
        self.assertEqual(1, self.decode())
