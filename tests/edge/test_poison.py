"""A request that crashes each target that runs it, sent again and again."""

import unittest

import msgspec

from galenaspoke.edge import poison
from galenaspoke.http import messages
from galenaspoke.store import base as store_base
from tests.edge import base

BAD = 'bad'
FIRST = ('i-1', 1)
SECOND = ('i-2', 1)


class ContainmentTest(unittest.TestCase):
    """What one router concludes."""

    def setUp(self):
        self.clock = base.make_manual_clock()
        self.poison = poison.PoisonDetector(self.clock)

    def crash(self, target, *requests):
        """Let a target go down under some requests."""
        for request in requests:
            self.poison.record_cut_off(request, target)
        self.poison.record_target_down(target)

    def test_refused_after_two_crashes(self):
        self.crash(FIRST, BAD, 'other')
        self.assertFalse(self.poison.refused(BAD))
        self.crash(SECOND, BAD, 'third')
        self.assertTrue(self.poison.refused(BAD))
        self.assertFalse(self.poison.refused('other'))

    def test_one_crash_counts_once(self):
        self.crash(FIRST, BAD)
        self.crash(FIRST, BAD)
        self.assertFalse(self.poison.refused(BAD))

    def test_broken_connection_is_no_crash(self):
        for target in (FIRST, SECOND):
            self.poison.record_cut_off(BAD, target)
        self.assertFalse(self.poison.refused(BAD))

    def test_answer_clears(self):
        self.crash(FIRST, BAD)
        self.poison.record_completed(BAD)
        self.crash(SECOND, BAD)
        self.assertFalse(self.poison.refused(BAD))

    def test_target_that_went_down_much_later(self):
        self.crash(FIRST, BAD)
        self.poison.record_cut_off(BAD, SECOND)
        self.clock.advance(poison.DOWN_WITHIN_MS)
        self.poison.record_target_down(SECOND)
        self.assertFalse(self.poison.refused(BAD))

    def test_forgotten_in_time(self):
        self.crash(FIRST, BAD)
        self.crash(SECOND, BAD)
        self.clock.advance(poison.MEMORY_MS)
        self.assertFalse(self.poison.refused(BAD))
        self.poison.forget_old()
        self.assertEqual({}, dict(self.poison._crashes))

    def test_heard_from_another_router(self):
        self.crash(FIRST, BAD)
        other = poison.PoisonDetector(self.clock)
        raw = msgspec.json.encode(list(self.poison.fresh))
        poison.merge_suspects(
            other, store_base.Item('suspects/a', 1, msgspec.Raw(raw))
        )
        other.record_cut_off(BAD, SECOND)
        other.record_target_down(SECOND)
        self.assertTrue(other.refused(BAD))

    def test_garbage_is_left_alone(self):
        item = store_base.Item('suspects/a', 1, msgspec.Raw(b'{"a":1}'))
        poison.merge_suspects(self.poison, item)
        self.assertFalse(self.poison.refused(BAD))


class FingerprintTest(unittest.TestCase):
    """The same request again, under another id."""

    def test_path_account_and_body(self):
        req = messages.Request()
        req.method, req.url, req.body = b'POST', b'/a', bytearray(b'x')
        first = poison.compute_fingerprint(req, 'desk')
        req.headers = [(b'x-request-id', b'2')]
        self.assertEqual(first, poison.compute_fingerprint(req, 'desk'))
        self.assertNotEqual(first, poison.compute_fingerprint(req, 'other'))
        req.body = bytearray(b'y')
        self.assertNotEqual(first, poison.compute_fingerprint(req, 'desk'))
