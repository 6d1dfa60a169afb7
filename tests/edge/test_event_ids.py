"""The ids of events, where several engines serve one response."""

import re
import unittest

from galenaspoke.edge.streams import event_order
from galenaspoke.edge.streams import event_steps
from galenaspoke.edge.streams import sse
from galenaspoke.http import messages
from tests.edge import handlers
from tests.edge import test_closed_review
from tests.edge import test_endings

CHUNKED_HEAD = test_endings.HEAD.replace(
    b'\r\n\r\n', b'\r\nTransfer-Encoding: chunked\r\n\r\n'
)
USAGE = test_closed_review.MORE_USAGE


def encode_events(*numbers):
    """Return events with these ids."""
    return b''.join(test_endings.encode_event(number) for number in numbers)


class EventIdsTestCase(test_endings.EndingTestCase):
    """A base class with engines that send scripted runs in chunks."""

    def setUp(self):
        self.desk, self.engines = self.make_desk(4, max_attempts=4)
        self.runs = []
        self.heads = []
        for engine in self.engines:
            engine.head = CHUNKED_HEAD
            test_closed_review.replace_run(engine, self._play_run)

    def _play_run(self, engine, _, sock, head):
        self.heads.append(head.lower())
        run = self.runs.pop(0) if self.runs else b''
        is_last = not self.runs
        events = messages.encode_chunk(run) if run else b''
        end = messages.LAST_CHUNK if is_last and run else b''
        test_closed_review.send_head(engine, sock, events + end)

    def close_first(self):
        """Let the first run end with its connection, which shows no end."""
        head = self.engines[0].head

        def play(engine, _, sock, request):
            is_first = not self.heads
            engine.head = test_endings.HEAD if is_first else head
            if is_first:
                self.heads.append(request.lower())
                test_closed_review.send_head(engine, sock, self.runs.pop(0))
            else:
                self._play_run(engine, _, sock, request)

        for engine in self.engines:
            test_closed_review.replace_run(engine, play)

    def list_asked(self):
        """Return the id after which each run was asked to go on, or None."""
        found = [re.search(rb'last-event-id: (\d+)', h) for h in self.heads]
        return [match and match[1] for match in found]

    def play(self, *runs, **options):
        """Make a request whose runs send this; all but the last break off.

        Returns the ids that the caller got, and whether it was told that the
        stream is whole.
        """
        self.runs = list(runs)
        caller, is_whole = self.ask(self.desk, usage=USAGE, **options)
        return self.list_ids(caller), is_whole

    def list_ids(self, caller):
        """Return the ids of the events that a caller got, in order."""
        return [int(n) for n in re.findall(rb'id: (\d+)\n', caller.body)]

    def play_resumed(self, last_id, *runs):
        """Do the same for a caller that resumes its stream."""
        pairs = [
            (test_closed_review.LAST_EVENT_ID, b'%d' % last_id),
            (b'resumes', handlers.REQUEST_ID),
        ]
        return self.play(*runs, pairs=pairs)


class LogTest(EventIdsTestCase):
    """What the log and the counters say of the ids."""

    def last_line(self):
        """Return the fields of the last line about a response."""
        lines = self.desk.journal.lines
        return [
            fields
            for event, fields in lines
            if event in ('answered', 'refused')
        ][-1]

    def check_line(self, id_step, join_step, repeated):
        """Check what the last line says of the ids."""
        line = self.last_line()
        found = (line['id_step'], line['join_step'], line['repeated'])
        self.assertEqual((id_step, join_step, repeated), found)

    # Guards against a log that doesn't tell whether a stream lacks an event
    # where it went on at another engine.
    def test_joins_are_logged(self):
        ids, is_whole = self.play(
            encode_events(1, 2, 5), encode_events(2, 5, 8, 9)
        )
        self.assertEqual(([1, 2, 5, 8, 9], True), (ids, is_whole))
        self.check_line(3, 3, 2)
        lines = self.desk.journal.lines
        self.assertIn(('events.repeated', {'amount': 2}), lines)
        self.assertIn(('streams.wide_joins', {'amount': 1}), lines)
        self.assertIn(('streams.wide_steps', {'amount': 1}), lines)

    def test_streams_of_one_engine_are_logged(self):
        self.play(encode_events(1, 2, 3))
        self.check_line(1, 0, 0)
        self.assertNotIn('streams.wide_joins', self.desk.journal.events())
        self.assertNotIn('streams.wide_steps', self.desk.journal.events())

    def test_resumed_streams_are_logged(self):
        self.play_resumed(4, encode_events(7, 8))
        self.check_line(1, 3, 0)

    # The same for a stream that isn't told whole.
    def test_broken_streams_are_logged(self):
        self.play(encode_events(1, 2), *[encode_events(9)] * 3)
        self.check_line(1, 7, 0)


class OtherDivisionTest(EventIdsTestCase):
    """Ids that count tokens, and engines that divide the output otherwise."""

    # Guards against output that a caller gets twice, as part of an event of a
    # second engine that begins anew and divides the output otherwise (ORDER).
    def test_engine_begins_anew(self):
        ids, is_whole = self.play(
            encode_events(5, 10, 13), *[encode_events(4, 8, 12, 16)] * 3
        )
        self.assertEqual(([5, 10, 13], False), (ids, is_whole))

    # The same for a caller that resumes its stream.
    def test_engine_begins_anew_for_a_caller(self):
        ids, is_whole = self.play_resumed(
            13, *[encode_events(4, 8, 12, 16)] * 4
        )
        self.assertEqual(([], False), (ids, is_whole))

    # Guards against sound engines whose streams are broken off: they begin
    # anew, with the last event, or after it.
    def test_engine_has_the_same_division(self):
        for second in ((5, 10, 13, 16), (10, 13, 16), (13, 16), (16,)):
            ids, is_whole = self.play(
                encode_events(5, 10, 13), encode_events(*second)
            )
            self.assertEqual(([5, 10, 13, 16], True), (ids, is_whole))

    # Guards against output that a caller gets twice: an engine that goes on
    # after another one has closed the stream is asked for no earlier event.
    def test_engine_goes_on_after_a_close(self):
        self.close_first()
        ids, is_whole = self.play(encode_events(5, 10, 13), encode_events(16))
        self.assertEqual(([5, 10, 13, 16], True), (ids, is_whole))
        self.assertEqual([None, b'13'], self.list_asked())

    # Guards against a sound second engine whose run is broken off: it sends
    # the last event again.
    def test_last_event_is_sent_again(self):
        self.close_first()
        ids, is_whole = self.play(
            encode_events(5, 10, 13), encode_events(13, 16)
        )
        self.assertEqual(([5, 10, 13, 16], True), (ids, is_whole))

    # Guards against a stream that is whole since a second engine begins anew
    # and ends before it reaches what the caller has (ORDER).
    def test_engine_ends_before_the_last_event(self):
        ids, is_whole = self.play(
            encode_events(1, 2, 3, 4), *[encode_events(1, 2)] * 3
        )
        self.assertEqual(([1, 2, 3, 4], False), (ids, is_whole))

    # Guards against an end that counts though the engine was asked for what
    # the caller has: it says that nothing comes after the last event.
    def test_engine_has_nothing_left(self):
        self.close_first()
        ids, is_whole = self.play(
            encode_events(1, 2, 3, 4), test_closed_review.COMMENT
        )
        self.assertEqual(([1, 2, 3, 4], True), (ids, is_whole))
        self.assertEqual([None, b'4'], self.list_asked())

    # Guards against whole streams that are broken off: the second engine ends
    # with what the caller has.
    def test_engine_ends_with_the_last_event(self):
        for second in (
            encode_events(1, 2, 3, 4),
            encode_events(4),
            test_closed_review.COMMENT,
        ):
            ids, is_whole = self.play(encode_events(1, 2, 3, 4), second)
            self.assertEqual(([1, 2, 3, 4], True), (ids, is_whole))


class OtherTextTest(EventIdsTestCase):
    """Engines that make the text of a stream anew."""

    def encode_others(self, *numbers):
        """Return events with these ids and another text."""
        return encode_events(*numbers).replace(b'data: x', b'data: other')

    # Guards against a text that goes on where another one ended: a second
    # engine sends the last event again, and makes it otherwise (ORDER).
    def test_last_event_has_another_text(self):
        self.close_first()
        ids, is_whole = self.play(
            encode_events(1, 2, 3),
            self.encode_others(3, 4, 5),
            self.encode_others(4, 5, 6),
        )
        self.assertEqual(([1, 2, 3, 4, 5, 6], True), (ids, is_whole))
        self.assertEqual([None, b'3', b'3'], self.list_asked())

    # The same where an engine begins anew by itself.
    def test_engine_begins_anew_with_another_text(self):
        ids, is_whole = self.play(
            encode_events(1, 2, 3),
            self.encode_others(1, 2, 3, 4, 5),
            self.encode_others(4, 5),
        )
        self.assertEqual(([1, 2, 3, 4, 5], True), (ids, is_whole))
        self.assertEqual([None, b'3', b'3'], self.list_asked())

    # Guards against streams that are broken off though the engine says that
    # nothing comes after the last event, whatever that is there.
    def test_end_counts_whatever_the_text(self):
        ids, is_whole = self.play(
            encode_events(1, 2, 3), self.encode_others(3)
        )
        self.assertEqual(([1, 2, 3], True), (ids, is_whole))

    # Guards against sound streams that are broken off: events without an id
    # came after the last one.
    def test_same_text_after_a_ping(self):
        ids, is_whole = self.play(
            encode_events(1, 2) + b'data: ping\n\n', encode_events(2, 3)
        )
        self.assertEqual(([1, 2, 3], True), (ids, is_whole))

    # Guards against a sound engine that is blamed, and not asked once more,
    # since it made the event anew that it was asked for.
    def test_engine_is_not_blamed(self):
        self.desk, self.engines = self.make_desk(2, max_attempts=4)
        for engine in self.engines:
            engine.head = CHUNKED_HEAD
        self.close_first()
        ids, is_whole = self.play(
            encode_events(1, 2, 3),
            self.encode_others(3, 4),
            self.encode_others(4, 5),
        )
        self.assertEqual(([1, 2, 3, 4, 5], True), (ids, is_whole))
        directory = self.desk.target_view.directory
        for name in directory.list_ids():
            self.assertEqual(0, directory.get(name).health.failure_share)
        counted = self.desk.journal.events()
        self.assertEqual(1, counted.count('ends.closed'))
        self.assertEqual(1, counted.count('streams.unfit'))

    # Guards against memory that grows with the events that are compared.
    def test_long_events_are_not_kept(self):
        order = event_order.EventOrder('')
        order.begin_run()
        raw = b'id: 1\ndata: %s\n\n' % (b'x' * 100_000)
        order.select(sse.EventSplitter().feed(raw))
        self.assertIsNone(order._last_raw)


class MissingEventsTest(EventIdsTestCase):
    """Engines that go on too late, where the response itself tells nothing."""

    def show_steps(self, *numbers, count=20):
        """Let the service's streams show these ids."""
        for _ in range(count):
            self.assertTrue(self.play(encode_events(*numbers))[1])

    # Guards against an event that a caller lacks, where the first engine sent
    # but one: only other streams show that the ids go up by one (ORDER).
    def test_stream_goes_on_after_one_event(self):
        self.show_steps(*range(1, 21))
        ids, is_whole = self.play(encode_events(1), *[encode_events(3, 4)] * 3)
        self.assertEqual(([1], False), (ids, is_whole))

    # The same for a caller that resumes its stream: another engine goes on.
    def test_stream_goes_on_for_a_caller(self):
        self.show_steps(*range(1, 21))
        ids, is_whole = self.play_resumed(
            5, encode_events(8, 9), encode_events(6, 7)
        )
        self.assertEqual(([6, 7], True), (ids, is_whole))

    # Guards against sound streams that are broken off, since the few events
    # that came before were small: other streams show wider steps.
    def test_small_events_come_first(self):
        self.show_steps(*range(6, 121, 6))
        ids, is_whole = self.play(
            encode_events(6, 7, 8), encode_events(14, 20)
        )
        self.assertEqual(([6, 7, 8, 14, 20], True), (ids, is_whole))

    # Guards against sound streams that are broken off, as their service has
    # shown too few events to tell.
    def test_few_events_tell_nothing(self):
        self.show_steps(1, 2, 3)
        ids, is_whole = self.play(encode_events(1), encode_events(7, 8))
        self.assertEqual(([1, 7, 8], True), (ids, is_whole))

    # Guards against streams that aren't whole and show a step.
    def test_broken_streams_show_nothing(self):
        self.show_steps(*range(1, 21))
        self.play(*[encode_events(1, 9)] * 4, b'')
        ids, is_whole = self.play(encode_events(1), *[encode_events(3, 4)] * 3)
        self.assertEqual(([1], False), (ids, is_whole))


class FakeOrder:
    """What an EventOrder tells of a run."""

    def __init__(self, run_step, run_step_count):
        self.run_step = run_step
        self.run_step_count = run_step_count


class EventStepsTest(unittest.TestCase):
    """What the ids of a service's streams have shown."""

    def test_largest_step(self):
        steps = event_steps.EventSteps()
        for run_step in (1, 6, 2):
            self.assertEqual(0, steps.find_largest('pool'))
            steps.record('pool', FakeOrder(run_step, 100))
        self.assertEqual(6, steps.find_largest('pool'))
        self.assertEqual(0, steps.find_largest('other'))

    # Guards against memory that grows with the names of services.
    def test_services_are_bounded(self):
        steps = event_steps.EventSteps()
        for number in range(2 * event_steps.MAX_SERVICES):
            steps.record(f'pool-{number}', FakeOrder(1, 300))
        self.assertEqual(event_steps.MAX_SERVICES, len(steps._steps))
        self.assertEqual(0, steps.find_largest('pool-0'))
        last = f'pool-{2 * event_steps.MAX_SERVICES - 1}'
        self.assertEqual(1, steps.find_largest(last))
