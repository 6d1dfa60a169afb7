"""Responses of edge engines that are garbled, as their plan says."""

import random
import unittest

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


def make_run(seed, garbled=1.0):
    """Return a run of a stream with three events, and its plan."""
    message = raw_http.Message('POST /stream/talk/k', {'x-request-id': 'k.0'})
    shares = edge_plans.Shares(early=0, garbled=garbled)
    body = b'{"key":"k","pieces":3}'
    return edge_plans.Run(message, body, random.Random(seed), shares, True)


def find_run(how):
    """Return a run that is garbled in one way."""
    runs = (make_run(seed) for seed in range(TRIES))
    return next(r for r in runs if how in (r.plan.ending, r.plan.extra))


def write(run):
    """Write the response of a run; return the socket and the writer."""
    sock = FakeSocket()
    writer = edge_responses.Writer(sock, random.Random(1))
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
            plan = make_run(seed, garbled=0).plan
            self.assertEqual((plan.ending, plan.extra), ('whole', None))

    def test_framing(self):
        """Bytes that would belong to a body come beside chunks alone."""
        for seed in range(TRIES):
            plan = make_run(seed).plan
            if plan.ending != edge_plans.GARBAGE:
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
