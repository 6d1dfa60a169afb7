"""Whole responses that are refused or cut since something isn't shown.

Beside each test stands, or is named, the one that a response that was cut is
not told whole.
"""

from unittest import mock

from galenaspoke.edge.targets import directory
from galenaspoke.http import connections
from tests.edge import test_endings
from tests.edge import test_proofs_of_bodies


class UnreachedEngineTest(test_proofs_of_bodies.TimedTestCase):
    """Engines to which a connection isn't made in time, once."""

    def ask_unreached(self, desk, error, count):
        """Return whether a response is whole whose check gets an error.

        The first `count` connections after that of the request fail.
        """
        real = directory.Target.connect
        calls = []

        def connect(target):
            calls.append(1)
            if 1 < len(calls) <= 1 + count:
                raise error('connect: timed out')
            return real(target)

        with mock.patch.object(directory.Target, 'connect', connect):
            is_whole = self.ask(desk)[1]
        self.assertGreater(len(calls), 2)
        return is_whole

    # Guards against whole bodies that are cut off, as those of a crashed
    # engine, since a connection could not be made in time.  Beside it:
    # test_endings.CutBodyTest.test_body_of_a_killed_engine_is_not_whole.
    def test_body_is_whole(self):
        for born in (None, 0):
            desk, _ = self.make_desk(born=born)
            error = connections.NotSent
            self.assertTrue(self.ask_unreached(desk, error, 2))
            self.assertNotIn('target.crashed', desk.journal.events())

    # Guards against a new process that proves the end of a body of the one
    # before, once it is reached.
    def test_body_of_a_replaced_engine_is_not_whole(self):
        desk, (engine,) = self.make_desk()
        engine.cut_at = test_endings.CUT_AFTER
        engine.cut = engine.restart
        self.assertFalse(self.ask_unreached(desk, connections.NotSent, 2))

    # Guards against a refusal that doesn't count as a crash any more.
    def test_refused_connection_ends_the_check(self):
        desk, (engine,) = self.make_desk()
        error = connections.Refused
        self.assertFalse(self.ask_unreached(desk, error, 2))
        self.assertEqual(0, engine.report_count)
