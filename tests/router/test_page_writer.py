"""Writes to a ledger page on behalf of a holder that is sealed."""

import unittest

import msgspec

from galenaspoke.core import ledger
from galenaspoke.router import page_writer
from tests import fakes

KEY = 'ledger/0000'
HOLDER = 'r1.a'
# Longer than any wait on a busy machine: it must not decide the outcome.
LONG_WAIT_S = 60


class HolderSealedTest(unittest.TestCase):
    """The error says what happened, not only the holder's name."""

    def test_sealed_since_the_last_write(self):
        """A holder that is missing from the page's writers was sealed.

        The text of the error was the name of the holder alone, and became the
        reason of a refusal.
        """
        store = fakes.FakeStore()
        writer = page_writer.PageWriter(store, KEY, HOLDER, lambda: None)
        writer.submit(lambda page: True).result.get(timeout=LONG_WAIT_S)
        version = store.get(KEY).version
        store.put(KEY, version, msgspec.json.encode(ledger.Page()))
        change = writer.submit(lambda page: True)
        with self.assertRaisesRegex(
            page_writer.HolderSealed, f'the holder {HOLDER} is sealed'
        ):
            change.result.get(timeout=LONG_WAIT_S)
