"""Responses without a length, where the kernel has no TCP_INFO."""

from tests.edge import test_endings
from tests.http import kernels


class LostConnectionTest(test_endings.LostConnectionTest):
    """The same as where the kernel tells the state of a connection.

    Guards against a check that takes each first connection for closed, so that
    it doesn't see what happens to its own one.
    """

    def setUp(self):
        super().setUp()
        kernels.pretend(self, kernels.TELLS_NO_INFO)
