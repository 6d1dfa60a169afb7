"""Streams without a length that a target closes early, and lives on."""

from galenaspoke.core import catalog
from galenaspoke.edge import outcomes
from tests.edge import handlers
from tests.edge import test_endings

# The output that a request for all pieces allows, one token each.
WHOLE_USAGE = b'9,%d' % test_endings.EVENT_COUNT


class ClosedStreamTestCase(test_endings.EndingTestCase):
    """A base class whose requests state how much output they allow."""

    def ask(self, desk, caller=None, usage=WHOLE_USAGE, pairs=()):
        """Make a request; return the Caller, and if its response is whole."""
        caller = caller or handlers.Caller()
        headers = [*pairs, (b'x-token-usage', usage)]
        real_request = desk.request
        desk.request = lambda caller: real_request(caller, headers)
        try:
            return super().ask(desk, caller)
        finally:
            desk.request = real_request


class ProofCountTest(ClosedStreamTestCase):
    """What the router logs of a response without a length."""

    # Guards against logs that say that there was a proof, but not which.
    def test_most_output_is_counted(self):
        desk, _ = self.make_desk(resumable=False)
        self.assertTrue(self.ask(desk)[1])
        self.assertIn('ends.proved.most', desk.journal.events())


class BodyProofTest(ClosedStreamTestCase):
    """The same for other responses."""

    kind = catalog.RequestKind.IDEMPOTENT
    content_type = b'text/plain'

    def test_living_target_is_counted(self):
        desk, _ = self.make_desk()
        self.assertTrue(self.ask(desk)[1])
        name = f'ends.proved.{outcomes.Proof.ALIVE.value}'
        self.assertIn(name, desk.journal.events())
