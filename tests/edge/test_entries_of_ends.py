"""Bodies of engines that state their start in their entries alone.

Such an engine may be killed and back under its id in no time, and answer for
the process before.
"""

import unittest

import gevent
import msgspec

from galenaspoke.edge.views import entry_reader
from galenaspoke.platform import target_entries
from galenaspoke.store import base as store_base
from tests.edge import base
from tests.edge import test_delayed_ends
from tests.edge import test_endings
from tests.edge import test_proofs_of_bodies
from tests import fakes

KEY = 'servers/i-0'
# How long a router stands still; its engine is back sooner.
STALL_S = 0.5


def encode_entry(born, state='ready'):
    """Return the value of an engine's entry in the store."""
    return msgspec.json.encode(
        {
            'Service': 'pool',
            'Addr': '127.0.0.1:1',
            'Zone': 'a',
            'Slots': 6,
            'State': state,
            'Seq': 1,
            'born': born,
        }
    )


class EntryTestCase(test_proofs_of_bodies.TimedTestCase):
    """A base class for engines without reports, whose entries are stored."""

    def setUp(self):
        super().setUp()
        self.store = fakes.FakeStore()
        self.desk, (self.engine,) = self.make_desk(store=self.store)
        self.engine.report = test_endings.UNSUPPORTED
        self.write(encode_entry(self.engine.born))
        self.engine.cut_at = test_endings.CUT_AFTER

    def write(self, value):
        """Write the engine's entry."""
        version, _ = self.store.objects.get(KEY, (0, b''))
        self.store.put(KEY, version, value)

    def replace(self):
        """Be killed, and back at once with another entry."""
        self.engine.restart()
        self.write(encode_entry(self.engine.born))


class QuickReplacementTest(EntryTestCase):
    """Engines that are back within a second."""

    # Guards against a new process that proves the end of a body of the one
    # before, since less than a second has passed (review/6; MIXED).
    def test_body_is_not_whole(self):
        self.engine.cut = self.replace
        self.assertFalse(self.ask(self.desk)[1])

    # The same where the router stands still meanwhile.
    def test_router_stands_still(self):
        self.engine.cut = self._replace_unseen
        self.assertFalse(self.ask(self.desk)[1])

    # The same where the engine is too busy to report.
    def test_busy_engine(self):
        self.engine.report = test_endings.BUSY
        self.engine.cut = self.replace
        self.assertFalse(self.ask(self.desk)[1])

    # Guards against an entry that can't be read and counts as unchanged.
    def test_unreadable_entry(self):
        self.write(encode_entry(1, state='odd'))
        self.engine.cut = self.engine.restart
        self.assertFalse(self.ask(self.desk)[1])

    # The same for a store that can't be reached.
    def test_store_is_down(self):
        self.store.down = True
        self.engine.cut = self.engine.restart
        self.assertFalse(self.ask(self.desk)[1])

    # Guards against a process that was asked twice, and was replaced between
    # the answers: the first one says that it still works on the request.
    def test_replaced_between_two_answers(self):
        self.engine.report = None
        self.engine.runs = [test_endings.handlers.REQUEST_ID]
        send_report = self.engine._send_report

        def send_and_end(sock):
            send_report(sock)
            socks = self.engine._socks
            self.engine._socks = [sock for sock in socks if not sock.closed]
            self.engine._send_report = send_report
            self.engine.report = test_endings.UNSUPPORTED
            self.replace()

        self.engine._send_report = send_and_end
        self.engine.cut = lambda: None
        self.assertFalse(self.ask(self.desk)[1])
        self.assertGreater(self.engine.report_count, 1)

    def _replace_unseen(self):
        self.replace()
        base.stall(STALL_S)


class SlowReplacedEngine(test_delayed_ends.ReplacedEngine):
    """An engine that is replaced while its response is on the way for long.

    Neither process has reports.
    """

    report = test_endings.UNSUPPORTED
    on_replaced = staticmethod(lambda: None)

    def _run(self, sock, head):
        super()._run(sock, head)
        self.on_replaced()
        gevent.sleep(test_proofs_of_bodies.LONG_S)


class DelayedEndTest(test_proofs_of_bodies.TimedTestCase):
    """Bodies that are held up until their target is asked early."""

    engine_class = SlowReplacedEngine

    # Guards against a new process that answers early and after the end, while
    # the entry that it has written isn't looked at.
    def test_body_is_not_whole(self):
        desk, (engine,) = self.make_desk()
        engine.on_replaced = lambda: self._put_entry(desk, engine)
        self.assertFalse(self.ask(desk)[1])
        self.assertGreater(engine.report_count, 1)

    def _put_entry(self, desk, engine):
        entry = base.make_target_entry('i-0', engine.port, born=engine.born)
        desk.target_view.directory.put(entry, desk.clock.now())


class WholeBodyTest(EntryTestCase):
    """Engines that live, whose bodies are whole."""

    def setUp(self):
        super().setUp()
        self.engine.cut_at = None

    # Guards against whole bodies that are cut since the entry is asked.
    def test_same_entry(self):
        self.assertTrue(self.ask(self.desk)[1])
        self.assertEqual(1, self.engine.report_count)

    # The same where the entry has gone, as that of an engine that leaves.
    def test_removed_entry(self):
        del self.store.objects[KEY]
        self.assertTrue(self.ask(self.desk)[1])

    # Guards against whole bodies that need the store though their engine
    # says itself when it started.
    def test_engine_with_reports_needs_no_entry(self):
        self.engine.report = None
        self.store.down = True
        self.assertTrue(self.ask(self.desk)[1])


class SlowStore(fakes.FakeStore):
    """A store that takes its time, and counts what is read."""

    read_count = 0

    def get(self, key):
        """Return the Item at `key` as it was at the call."""
        self.read_count += 1
        item = super().get(key)
        gevent.sleep(0.05)
        return item


class EntryReaderTest(unittest.TestCase):
    """Entries that several requests ask for at once."""

    def setUp(self):
        self.store = SlowStore()
        self.store.put(KEY, 0, encode_entry(1))
        self.reader = entry_reader.EntryReader(
            self.store, target_entries, lambda: {'pool': None}
        )

    # Guards against an entry that was read before it was asked for.
    def test_read_begins_after_the_call(self):
        first = gevent.spawn(self.reader.read, 'i-0', 1)
        gevent.sleep(0.02)
        self.store.put(KEY, 1, encode_entry(2))
        later = [gevent.spawn(self.reader.read, 'i-0', 1) for _ in range(5)]
        self.assertEqual(1, first.get().born)
        self.assertEqual({2}, {task.get().born for task in later})
        self.assertEqual(2, self.store.read_count)
        self.assertEqual(
            ({}, {}), (self.reader._running, self.reader._waiting)
        )

    # Guards against a wait beyond the time that is left.
    def test_read_in_time(self):
        with self.assertRaises(store_base.StoreUnavailable):
            self.reader.read('i-0', 0.01)
