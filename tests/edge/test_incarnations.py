"""Engines that start again under their id and address at another version.

A router that hasn't read the new entry takes the new process for the old one.
Streams that it begins or resumes there would be of the wrong version.
"""

import unittest
from unittest import mock

import gevent
from gevent import event

from galenaspoke.core import catalog
from galenaspoke.edge.views import target_view
from tests.edge import base
from tests.edge import handlers
from tests.edge import version_fleets

STREAM_COUNT = 24
VERSIONS = {'a': 'v1', 'b': 'v1', 'c': 'v2', 'd': 'v1'}
# A report of an engine that doesn't state when it started.
UNSUPPORTED = b'HTTP/1.1 400 -\r\nX-Not-Run: 1\r\nContent-Length: 2\r\n\r\nid'
BUSY_REPORT = b'HTTP/1.1 503 -\r\nContent-Length: 0\r\n\r\n'
LAST_REPORT = (
    b'HTTP/1.1 200 -\r\nConnection: close\r\nContent-Length: 10\r\n\r\n'
    b'{"born":1}'
)
RESPONSE = handlers.encode_response()
STREAM = (
    b'HTTP/1.1 200 -\r\nX-Request-Id: %s\r\nX-Response-Stamp: s\r\n'
    b'Content-Type: text/event-stream\r\nContent-Length: 15\r\n\r\n'
    b'id: 1\ndata: a\n\n' % handlers.REQUEST_ID
)


class FleetTestCase(unittest.TestCase):
    """A base class with a fleet whose routers differ in what they know."""

    def make_fleet(self, versions=None):
        """Return a fleet of two routers that are in step."""
        fleet = version_fleets.VersionFleet(2, versions or VERSIONS)
        self.addCleanup(fleet.close)
        fleet.clock.advance(target_view.RECOVERY_WINDOW_MS)
        fleet.read_targets()
        return fleet

    def restart_unseen(self, fleet, name, version):
        """Restart an engine; only front-1 reads its new entry."""
        fleet.engines[name].restart(version)
        fleet.write_entry(name)
        fleet.read_targets('front-1')

    def cut_off(self, fleet, router='front-0'):
        """Make a router lose the store."""
        watcher = fleet.desks[router].target_view.watcher
        watcher.failing_since = fleet.clock.now()

    def forget_reports(self, target):
        """Let the open connections to a target count as not asked yet."""
        for conn in target._idle:
            conn.is_identified = False

    def count_reports(self, fleet):
        """Return how many reports all engines were asked for."""
        return sum(engine.report_count for engine in fleet.engines.values())

    def find_notes(self, fleet, event, router='front-0'):
        """Return the fields of all log lines of one kind."""
        lines = fleet.desks[router].journal.lines
        return [fields for name, fields in lines if name == event]


class RestartTest(FleetTestCase):
    """Streams at an engine that started again at another version."""

    # Guards against streams that begin at the new version, are remembered as
    # of the old one and go on there.
    def test_streams_that_begin_there(self):
        fleet = self.make_fleet()
        self.cut_off(fleet)
        self.restart_unseen(fleet, 'a', 'v2')
        for _ in range(STREAM_COUNT):
            fleet.resume_elsewhere(fleet.begin('front-0'), 'front-1')
        self.assertEqual(0, fleet.count_mixed())
        self.assertGreater(fleet.count_whole(), STREAM_COUNT / 2)

    # Guards against streams of the old version that go on at the new one.
    def test_streams_that_go_on_there(self):
        fleet = self.make_fleet()
        self.cut_off(fleet)
        streams = [fleet.begin('front-1') for _ in range(STREAM_COUNT)]
        self.restart_unseen(fleet, 'a', 'v2')
        for stream in streams:
            fleet.resume_elsewhere(stream, 'front-0')
        self.assertEqual(0, fleet.count_mixed())

    # Guards against the same within one response, whose engine breaks off.
    def test_streams_that_go_on_there_within_one_response(self):
        fleet = self.make_fleet({'a': 'v1', 'b': 'v1'})
        self.cut_off(fleet)
        for name in ('a', 'b'):
            fleet.engines[name].breaks_after = 2
        for number in range(STREAM_COUNT):
            fleet.begin('front-0', version_fleets.STREAM_EVENTS)
            if not number:
                self.restart_unseen(fleet, 'a', 'v2')
        self.assertEqual(0, fleet.count_mixed())

    # Guards against a router that learns late, though the store answers it,
    # and has lost its own connections to the engine.
    def test_router_whose_connections_were_closed(self):
        fleet = self.make_fleet()
        while not fleet.engines['a'].request_count:
            fleet.begin('front-0', version_fleets.STREAM_EVENTS + 1)
        self.restart_unseen(fleet, 'a', 'v2')
        targets = fleet.desks['front-0'].target_view.directory
        for _ in range(STREAM_COUNT):
            fleet.resume_elsewhere(fleet.begin('front-0'), 'front-1')
            targets.close_expired_connections(fleet.clock.now())
        self.assertEqual(0, fleet.count_mixed())

    # Guards against an engine that starts again where it can't reach the
    # store, unseen by a router that follows the store.
    def test_engine_that_cannot_write_its_entry(self):
        fleet = self.make_fleet()
        fleet.engines['a'].restart('v2')
        for _ in range(STREAM_COUNT):
            fleet.read_targets()
            fleet.resume_elsewhere(fleet.begin('front-0'), 'front-1')
        self.assertEqual(0, fleet.count_mixed())

    # Guards against the wrong version that comes back with the old entry when
    # a new configuration makes the router decode all entries again.
    def test_old_entry_is_decoded_again(self):
        fleet = self.make_fleet()
        self.cut_off(fleet)
        self.restart_unseen(fleet, 'a', 'v2')
        for _ in range(STREAM_COUNT):
            fleet.begin('front-0')
            view = fleet.desks['front-0'].target_view
            view.redecode()
            fleet._connect_targets(fleet.desks['front-0'])
        (note,) = self.find_notes(fleet, 'target.replaced')
        self.assertEqual(
            ('a', 1, 1_001),
            (note['target'], note['expected_born'], note['found_born']),
        )
        for stream in fleet.streams:
            fleet.resume_elsewhere(stream, 'front-1')
        self.assertEqual(0, fleet.count_mixed())

    def test_new_entry_makes_it_a_target_again(self):
        fleet = self.make_fleet({'a': 'v1'})
        self.cut_off(fleet)
        self.restart_unseen(fleet, 'a', 'v2')
        fleet.begin('front-0')
        self.assertEqual(0, fleet.engines['a'].request_count)
        fleet.read_targets('front-0')
        self.assertEqual({'v2'}, fleet.begin('front-0').versions)

    def test_same_version_is_checked_alike(self):
        fleet = self.make_fleet({'a': 'v1', 'b': 'v1'})
        self.cut_off(fleet)
        self.restart_unseen(fleet, 'a', 'v1')
        for _ in range(STREAM_COUNT):
            self.assertEqual({'v1'}, fleet.begin('front-0').versions)
        self.assertEqual(1, len(self.find_notes(fleet, 'target.replaced')))


class ReportTest(FleetTestCase):
    """How many reports are asked for, and those that tell nothing."""

    # Reports are priced: none on a connection that was asked before.
    def test_none_on_kept_connections(self):
        fleet = self.make_fleet()
        for _ in range(STREAM_COUNT):
            fleet.begin('front-0', version_fleets.STREAM_EVENTS + 1)
        self.assertLessEqual(self.count_reports(fleet), len(VERSIONS))
        self.assertEqual(STREAM_COUNT, fleet.count_whole())

    def test_one_for_each_open_connection_while_out_of_step(self):
        fleet = self.make_fleet()
        self.cut_off(fleet)
        for _ in range(STREAM_COUNT):
            fleet.begin('front-0', version_fleets.STREAM_EVENTS + 1)
        self.assertLessEqual(self.count_reports(fleet), len(VERSIONS))
        self.assertEqual(STREAM_COUNT, fleet.count_whole())

    def test_each_connection_is_asked_once(self):
        fleet = self.make_fleet({'a': 'v1'})
        self.cut_off(fleet)
        for _ in range(2):
            gevent.joinall(
                [
                    gevent.spawn(fleet.begin, 'front-0', 7)
                    for _ in range(STREAM_COUNT)
                ]
            )
        self.assertEqual(STREAM_COUNT, self.count_reports(fleet))
        self.assertEqual(2 * STREAM_COUNT, fleet.count_whole())

    def test_engine_without_reports_serves(self):
        fleet = self.make_fleet({'a': 'v1'})
        fleet.engines['a'].report = UNSUPPORTED
        self.cut_off(fleet)
        for _ in range(STREAM_COUNT):
            fleet.begin('front-0')
        self.assertEqual({'v1'}, fleet.streams[0].versions)
        self.assertEqual(1, self.count_reports(fleet))

    # Guards against slow reports that keep all other requests from a target.
    def test_report_that_does_not_come_does_not_eject(self):
        fleet = self.make_fleet({'a': 'v1', 'b': 'v1'})
        fleet.engines['a'].report = BUSY_REPORT
        target = fleet.desks['front-0'].targets['a']
        while not fleet.engines['a'].report_count:
            fleet.begin('front-0')
        self.assertTrue(target.health.is_available(fleet.clock.now()))

    # A second response to the request before must not pass for a report.
    def test_late_response_is_no_report(self):
        fleet = self.make_fleet({'a': 'v1'})
        fleet.begin('front-0', version_fleets.STREAM_EVENTS + 1)
        target = fleet.desks['front-0'].targets['a']
        self.forget_reports(target)
        before = self.count_reports(fleet)
        fleet.engines['a'].report = UNSUPPORTED
        fleet.begin('front-0', version_fleets.STREAM_EVENTS + 1)
        # The one on the used connection doesn't count.
        self.assertEqual(before + 2, self.count_reports(fleet))

    # Guards against a second response to the report that passes for a refusal
    # of the request after it, which the engine runs.
    def test_late_report_is_no_response(self):
        desk = handlers.Desk(
            {'i-1': lambda remote, _: remote.sendall(UNSUPPORTED)},
            catalog.RequestKind.STREAM,
        )
        self.addCleanup(desk.close)
        self.assertEqual(502, desk.request().status)
        self.assertIn('incarnations.checked', desk.journal.events())

    def test_report_that_ends_its_connection(self):
        fleet = self.make_fleet({'a': 'v1'})
        fleet.engines['a'].report = LAST_REPORT
        self.cut_off(fleet)
        stream = fleet.begin('front-0')
        self.assertEqual(set(), stream.versions)
        fleet.engines['a'].report = None
        fleet.desks['front-0'].targets['a'].health.record_success()
        self.assertEqual({'v1'}, fleet.begin('front-0').versions)

    def test_report_that_cannot_be_read(self):
        for report in (
            BUSY_REPORT,
            b'HTTP/1.1 200 -\r\nContent-Length: 1\r\n\r\n{',
            b'HTTP/1.1 200 -\r\nContent-Length: 12\r\n\r\n{"born":1.5}',
            b'HTTP/1.1 200 -\r\nContent-Length: 3000\r\n\r\n' + b'[' * 3000,
            b'nothing of the kind\r\n\r\n',
        ):
            fleet = self.make_fleet({'a': 'v1', 'b': 'v1'})
            fleet.engines['a'].report = report
            self.cut_off(fleet)
            for _ in range(STREAM_COUNT):
                fleet.begin('front-0', version_fleets.STREAM_EVENTS + 1)
            self.assertEqual(STREAM_COUNT, fleet.count_whole(), report)
            self.assertEqual(0, fleet.engines['a'].request_count, report)

    def test_requests_that_are_no_streams_need_none(self):
        desk = handlers.Desk(
            {'i-1': lambda remote, _: remote.sendall(RESPONSE)},
            catalog.RequestKind.IDEMPOTENT,
        )
        self.addCleanup(desk.close)
        desk.target_view.watcher.failing_since = desk.clock.now()
        self.assertEqual(200, desk.request().status)
        self.assertNotIn('incarnations.checked', desk.journal.events())


class ChangingEntryTest(unittest.TestCase):
    """An entry that changes while a stream is about to begin."""

    def setUp(self):
        self.may_respond = event.Event()
        self.desk = handlers.Desk({}, catalog.RequestKind.STREAM)
        self.addCleanup(self.desk.close)

    def respond(self, remote, number):
        """Send a stream of one event once the test lets it."""
        self.may_respond.wait()
        remote.sendall(STREAM)

    def put_entry(self, **options):
        """Let the router learn of a new entry."""
        entry = base.make_target_entry('i-1', **options)
        self.desk.target_view.directory.put(entry, self.desk.clock.now())

    def find_version(self):
        """Return the version that the router remembers of the stream."""
        pairs = [(b'resumes', handlers.REQUEST_ID), (b'last-event-id', b'1')]
        self.desk.request(pairs=pairs, request_id=b'9c42')
        (fields,) = [
            fields
            for name, fields in self.desk.journal.lines
            if name == 'stream.resumed'
        ]
        return fields['version']

    # Guards against a stream that began before its target's entry named
    # another version, and is remembered as of that one.
    def test_after_the_request_was_sent(self):
        self.check_sent_before(born=1, new_born=2)

    def test_after_the_request_was_sent_with_the_same_start(self):
        self.check_sent_before(born=1, new_born=1)

    def test_after_the_request_was_sent_without_a_start(self):
        self.check_sent_before(born=0, new_born=0)

    def check_sent_before(self, born, new_born):
        """Check the version of a stream that an entry at v2 overtakes."""
        self.desk.add_target('i-1', self.respond, born=born, version='v1')
        task = gevent.spawn(self.desk.request)
        base.wait_until(lambda: self.desk.count_requests() == [1])
        self.put_entry(born=new_born, version='v2')
        self.may_respond.set()
        self.assertEqual(200, task.get().status)
        self.assertEqual('v1', self.find_version())

    # Guards against a stream that begins at the new incarnation since its
    # target was replaced while the connection was being made.
    def test_before_the_request_is_sent(self):
        self.may_respond.set()
        self.desk.add_target('i-1', self.respond, version='v1')
        connect = handlers.ScriptedTarget.connect

        def be_replaced(target):
            self.put_entry(born=2, version='v2')
            return connect(target)

        with mock.patch.object(
            handlers.ScriptedTarget, 'connect', be_replaced
        ):
            self.assertEqual(503, self.desk.request().status)
        self.assertEqual([0], self.desk.count_requests())
