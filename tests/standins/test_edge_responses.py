"""Responses of edge engines that are garbled or lost, as their plan says."""

import random
import unittest
from unittest import mock

from standins import edge_divisions
from standins import edge_plans
from standins import edge_responses
from standins import raw_http

TRIES = 200


class FakeSocket:
    """Keeps what was sent."""

    def __init__(self):
        self.data = b''

    def sendall(self, data):
        """Keep some bytes."""
        self.data += data


def make_run(seed, shares=None, division=None, after=0, forced=None):
    """Return a run of a stream with three tokens, and its plan."""
    headers = {'x-request-id': 'k.0', 'last-event-id': str(after)}
    message = raw_http.Message('POST /stream/talk/k', headers)
    settings = edge_plans.Settings(
        shares or edge_plans.Shares(early=0, garbled=1), division
    )
    body = b'{"key":"k","pieces":3}'
    rng = random.Random(seed)
    return edge_plans.Run(message, body, rng, settings, True, forced)


def find_run(how):
    """Return a run that is garbled in one way."""
    runs = (make_run(seed) for seed in range(TRIES))
    return next(r for r in runs if how in (r.plan.ending, r.plan.extra))


def write(run, wait=lambda *_: None):
    """Write the response of a run; return the bytes sent and the writer's.

    `wait` is called where the engine waits for its peer.
    """
    sock = FakeSocket()
    writer = edge_responses.Writer(sock, random.Random(1))
    with mock.patch.object(edge_responses.select, 'select', wait):
        try:
            writer.write_response(run, 'v1', [('X-Request-Id', run.id)])
        except edge_responses.EarlyEnd:
            pass
    return sock.data, b''.join(writer.written)


class PlanTest(unittest.TestCase):
    """Which plans are drawn."""

    def test_share(self):
        """A share of none garbles nothing."""
        for seed in range(TRIES):
            plan = make_run(seed, edge_plans.Shares(early=0)).plan
            self.assertEqual((plan.ending, plan.extra), ('whole', None))

    def test_early_ends(self):
        """They come before each event, and before the first one."""
        shares = edge_plans.Shares(early=1)
        plans = [make_run(seed, shares).plan for seed in range(TRIES)]
        self.assertEqual({0, 1, 2}, {plan.at for plan in plans})
        self.assertEqual(
            set(edge_plans.ENDINGS), {plan.ending for plan in plans}
        )

    # Guards against a soak in which two engines never close a stream at the
    # same place.
    def test_engines_close_at_the_same_token(self):
        shares = edge_plans.Shares(early=0, common=1)
        runs = [make_run(seed, shares) for seed in range(20)]
        ends = {(run.plan.ending, run.plan.at) for run in runs}
        self.assertEqual(1, len(ends))
        self.assertEqual(edge_plans.CLOSED, ends.pop()[0])

    def test_lost_answers(self):
        """A share of all is lost, in both ways."""
        shares = edge_plans.Shares(early=0, lost=1)
        plans = [make_run(seed, shares).plan for seed in range(TRIES)]
        self.assertEqual(
            set(edge_plans.LOST_ENDS), {plan.ending for plan in plans}
        )

    def test_framing(self):
        """Bytes that would belong to a body come beside chunks alone.

        A second head shows within a stream that has no length, too.
        """
        for seed in range(TRIES):
            plan = make_run(seed).plan
            if plan.extra == edge_plans.WITHIN:
                self.assertEqual(plan.framing, 'none')
            elif plan.ending != edge_plans.GARBAGE:
                self.assertEqual(plan.framing, 'chunked')


class WriterTest(unittest.TestCase):
    """What is written."""

    def test_garbage(self):
        """No response comes at all."""
        data, _ = write(find_run(edge_plans.GARBAGE))
        self.assertNotIn(b'HTTP/1.1', data)

    def test_bad_chunk(self):
        """A chunk has no size, and the response no end."""
        data, response = write(find_run(edge_plans.BAD_CHUNK))
        self.assertTrue(data.startswith(response))
        self.assertGreater(len(data), len(response))
        self.assertFalse(response.endswith(b'0\r\n\r\n'))

    def test_bytes_after_a_whole_response(self):
        """Garbage, or the same response once more, follows the end."""
        data, response = write(find_run(edge_plans.SURPLUS))
        self.assertTrue(response.endswith(b'0\r\n\r\n'))
        self.assertTrue(data.startswith(response))
        self.assertNotIn(b'HTTP/1.1', data[len(response) :])
        data, response = write(find_run(edge_plans.AGAIN))
        self.assertEqual(data, 2 * response)

    def test_response_that_comes_late(self):
        """It is kept for the next response on the connection."""
        data, response = write(find_run(edge_plans.LATE))
        self.assertEqual(data, response)
        self.assertTrue(response.endswith(b'0\r\n\r\n'))

    def test_second_response_within_a_stream(self):
        """The same response, with its head, follows before the end."""
        data, response = write(find_run(edge_plans.WITHIN))
        self.assertEqual(data, 2 * response)
        self.assertNotIn(b'Transfer-Encoding', response)
        self.assertNotIn(b'Content-Length', response)

    def test_answers_that_are_lost(self):
        """Nothing is sent once the run is complete."""
        division = edge_divisions.Division(preempted=1)
        for ending in edge_plans.LOST_ENDS:
            run = make_run(1, division=division, forced=ending)
            waits = []
            with mock.patch.object(edge_responses.gevent, 'sleep') as sleep:
                data, _ = write(run, lambda *args: waits.append(args))
            self.assertEqual(data, b'')
            slept_s = sum(call.args[0] for call in sleep.mock_calls)
            pauses_s = sum(piece.pause_s for piece in run.pieces)
            self.assertGreater(slept_s, pauses_s)
            self.assertEqual(ending == edge_plans.LOST, bool(waits))

    def test_error(self):
        """A run that was complete is answered with an error of its own."""
        data, _ = write(make_run(1, forced=edge_plans.ERROR))
        self.assertTrue(data.startswith(b'HTTP/1.1 500 '))
        self.assertIn(b'X-Request-Id: k.0\r\n', data)

    def test_silence(self):
        """Nothing comes after a request, or from the middle on."""
        waits = []

        def wait(*args):
            waits.append(args)

        data, _ = write(make_run(1, forced=edge_plans.HANG), wait)
        self.assertEqual((data, len(waits)), (b'', 1))
        run = make_run(1, forced=edge_plans.LEFT)
        data, response = write(run, wait)
        self.assertEqual((data, len(waits)), (response, 2))
        self.assertEqual(data.count(b'data: '), run.plan.at)
        self.assertEqual((run.sent, run.sent_tokens), (run.plan.at,) * 2)

    def test_weights_that_change(self):
        """One event after the first one says the new version first."""
        division = edge_divisions.Division(weights=1)
        shares = edge_plans.Shares(early=0)
        for seed in range(TRIES // 10):
            run = make_run(seed, shares, division)
            events = [part.data for part in run.list_parts('v1', 4)]
            changes = [e.startswith(b'x-weight-versions: 5\n') for e in events]
            self.assertFalse(changes[0])
            self.assertEqual(changes.count(True), 1)
