"""Registry operations that routers and agents share."""

import socket
import unittest
from unittest import mock

import msgspec

from galenaspoke.core import registry
from galenaspoke.fleet import registries
from galenaspoke.rpc import messages
from galenaspoke.rpc import methods
from galenaspoke.rpc import transport
from tests.router import test_vouching


class HandOverTest(unittest.TestCase):
    """Records that are handed over while no other agent serves."""

    def setUp(self):
        self.reg = registry.Registry('pool', 1)
        self.reg.entries.append(
            registry.AgentEntry(
                'pool', 'pool-0', 'a', 'x', 'd', registry.Phase.ACTIVE
            )
        )

    def test_records_without_a_home(self):
        """A record that has no home is not handed over.

        `hand_over` skipped it and returned True, so a router vouched for a
        lost agent whose keys no agent knew, and they could run a second time.
        """
        records = iter([test_vouching.make_record('k')])
        self.assertFalse(registries.hand_over(self.reg, 'pool-0.a', records))
        registry.declare_lost(self.reg, 'pool-0', 'a')
        records = [test_vouching.make_record('k')]
        self.assertFalse(registries.hand_over(self.reg, '', records))

    def test_no_records(self):
        self.assertTrue(registries.hand_over(self.reg, 'pool-0.a', iter([])))

    # Guards against a hand-over that is refused since its message, with the
    # answers of all its records, is too large.
    def test_large_records(self):
        with socket.create_server(('127.0.0.1', 0)) as sock:
            address = f'127.0.0.1:{sock.getsockname()[1]}'
        counts = []

        def take(hand_over):
            counts.append(len(hand_over.records))
            return messages.HandOverReply(0)

        rpc_server = transport.Server([(methods.HAND_OVER, take)])
        rpc_server.start(address)
        self.addCleanup(rpc_server.stop)
        self.reg.entries[0].address = address
        records = [test_vouching.make_record(f'k{i}') for i in range(450)]
        for i, record in enumerate(records[:3]):
            records[i] = msgspec.structs.replace(
                record, pieces=['x' * 3_000_000]
            )
        with mock.patch.object(transport, 'MAX_MESSAGE_BYTES', 4_500_000):
            self.assertTrue(registries.hand_over(self.reg, '', iter(records)))
        self.assertEqual([1, 1, 200, 200, 48], counts)
