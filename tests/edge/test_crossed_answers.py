"""Answers that are crossed, late, doubled, cut, unframed or garbled."""

import unittest

from galenaspoke.http import links
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
        self.link, self.far = base.link_pair()
        self.link.wait_at_most(0.05)

    def tearDown(self):
        self.link.close()
        self.far.close()

    def test_late_answer_of_another_request_is_dropped(self):
        self.far.sendall(answer(b'1', b'other') + answer(b'2', b'mine'))
        found = self.link.head(to('2'))
        self.assertEqual(b'mine', self.link.whole(found))
        self.assertTrue(self.link.spare(found))

    def test_only_a_crossed_answer(self):
        self.far.sendall(answer(b'1'))
        with self.assertRaises(links.Silent):
            self.link.head(to('2'))

    def test_second_answer_makes_the_connection_unfit(self):
        self.far.sendall(answer(b'2') + answer(b'2'))
        found = self.link.head(to('2'))
        self.link.whole(found)
        self.assertFalse(self.link.spare(found))

    def test_bytes_on_an_idle_connection(self):
        self.assertTrue(self.link.quiet())
        self.far.sendall(b'x')
        self.assertFalse(self.link.quiet())

    def test_cut_answer(self):
        self.far.sendall(answer(b'2', b'whole')[:-1])
        self.far.close()
        found = self.link.head(to('2'))
        with self.assertRaises(links.Broken):
            self.link.whole(found)

    def test_unframed_answer_ends_with_its_connection(self):
        self.far.sendall(b'HTTP/1.1 200 OK\r\nX-Id: 2\r\n\r\nbody')
        found = self.link.head(to('2'))
        self.assertFalse(found.complete)
        self.far.close()
        self.assertEqual(b'body', self.link.whole(found))
        self.assertFalse(self.link.spare(found))

    def test_no_answer_at_all(self):
        self.far.sendall(b'\x00\x01garbage\r\n\r\n')
        with self.assertRaises(links.Broken):
            self.link.head(to('2'))

    def test_interim_answers_are_left_out(self):
        self.far.sendall(b'HTTP/1.1 100 Continue\r\n\r\n' + answer(b'2'))
        self.assertEqual(200, self.link.head(to('2')).status)


class RequestThatIsReadSlowlyTest(unittest.TestCase):
    """An answer may come before the whole request has been read."""

    def test_early_answer(self):
        link, far = base.link_pair()
        link.wait_at_most(1)
        link.send(b'x' * 4_000_000)
        far.sendall(answer(b'2'))
        found = link.head()
        self.assertEqual(b'ok', link.whole(found))
        self.assertFalse(link.sent_all())
        self.assertFalse(link.spare(found))
        link.close()
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
        self.assertEqual([(b'x-kept', b'1')], messages.end_to_end(pairs))
