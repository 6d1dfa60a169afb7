"""Answers that are crossed, late, doubled, cut, unframed or garbled."""

import unittest

from galenaspoke.http import connections
from galenaspoke.http import messages
from tests.edge import base


def answer(name, body=b'ok'):
    """Return the bytes of an answer to request `name`."""
    return b'HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s' % (
        name,
        len(body),
        body,
    )


def to(name):
    """Return what accepts only answers to request `name`."""
    return lambda found: found.header(b'x-id') == name


class CrossedAnswersTest(unittest.TestCase):
    """A caller gets the answer to its own request, or none."""

    def setUp(self):
        self.conn, self.far = base.make_connection_pair()
        self.conn.set_read_timeout(0.05)

    def tearDown(self):
        self.conn.close()
        self.far.close()

    def test_late_answer_of_another_request_is_dropped(self):
        self.far.sendall(answer(b'1', b'other') + answer(b'2', b'mine'))
        found = self.conn.read_head(to('2'))
        self.assertEqual(b'mine', self.conn.read_body(found))
        self.assertTrue(self.conn.is_reusable(found))

    def test_only_a_crossed_answer(self):
        self.far.sendall(answer(b'1'))
        with self.assertRaises(connections.ReadTimeout):
            self.conn.read_head(to('2'))

    def test_second_answer_makes_the_connection_unfit(self):
        self.far.sendall(answer(b'2') + answer(b'2'))
        found = self.conn.read_head(to('2'))
        self.conn.read_body(found)
        self.assertFalse(self.conn.is_reusable(found))

    def test_bytes_on_an_idle_connection(self):
        self.assertTrue(self.conn.is_open_and_empty())
        self.far.sendall(b'x')
        self.assertFalse(self.conn.is_open_and_empty())

    def test_cut_answer(self):
        self.far.sendall(answer(b'2', b'whole')[:-1])
        self.far.close()
        found = self.conn.read_head(to('2'))
        with self.assertRaises(connections.ResponseLost):
            self.conn.read_body(found)

    def test_unframed_answer_ends_with_its_connection(self):
        self.far.sendall(b'HTTP/1.1 200 OK\r\nX-Id: 2\r\n\r\nbody')
        found = self.conn.read_head(to('2'))
        self.assertFalse(found.complete)
        self.far.close()
        self.assertEqual(b'body', self.conn.read_body(found))
        self.assertFalse(self.conn.is_reusable(found))

    def test_no_answer_at_all(self):
        self.far.sendall(b'\x00\x01garbage\r\n\r\n')
        with self.assertRaises(connections.ResponseLost):
            self.conn.read_head(to('2'))

    def test_interim_answers_are_left_out(self):
        self.far.sendall(b'HTTP/1.1 100 Continue\r\n\r\n' + answer(b'2'))
        self.assertEqual(200, self.conn.read_head(to('2')).status)


class RequestThatIsReadSlowlyTest(unittest.TestCase):
    """An answer may come before the whole request has been read."""

    def test_early_answer(self):
        conn, far = base.make_connection_pair()
        conn.set_read_timeout(1)
        conn.send(b'x' * 4_000_000)
        far.sendall(answer(b'2'))
        found = conn.read_head()
        self.assertEqual(b'ok', conn.read_body(found))
        self.assertFalse(conn.is_fully_sent())
        self.assertFalse(conn.is_reusable(found))
        conn.close()
        far.close()


class HeadersTest(unittest.TestCase):
    """Headers of one connection don't reach the next."""

    def test_named_and_known_ones(self):
        pairs = [
            (b'connection', b'close, X-Private'),
            (b'x-private', b'1'),
            (b'transfer-encoding', b'chunked'),
            (b'x-kept', b'1'),
        ]
        self.assertEqual([(b'x-kept', b'1')], messages.drop_hop_by_hop(pairs))
