"""Detection of a request that crashes every target that runs it.

Guards against a caller that retries such a request until no target is left.
"""

import unittest

import msgspec

from galenaspoke.edge import poison
from galenaspoke.http import messages
from galenaspoke.store import base as store_base
from tests.edge import base

# The fingerprint of the request that crashes its targets, and the identities
# of two of them.
FINGERPRINT = 'bad'
FIRST_TARGET = ('i-1', 1)
SECOND_TARGET = ('i-2', 1)


class PoisonDetectorTest(unittest.TestCase):
    """What one router concludes from crashes."""

    def setUp(self):
        self.clock = base.make_manual_clock()
        self.detector = poison.PoisonDetector(self.clock, base.Recorder())

    def crash(self, identity, *fingerprints):
        """Let a target cut off some requests and go down."""
        for fingerprint in fingerprints:
            self.detector.record_cut_off(fingerprint, identity)
        self.detector.record_target_down(identity)

    def test_poison_after_two_crashes(self):
        self.crash(FIRST_TARGET, FINGERPRINT, 'other')
        self.assertFalse(self.detector.is_poison(FINGERPRINT))
        self.crash(SECOND_TARGET, FINGERPRINT, 'third')
        self.assertTrue(self.detector.is_poison(FINGERPRINT))
        self.assertFalse(self.detector.is_poison('other'))

    def test_one_crash_counts_once(self):
        self.crash(FIRST_TARGET, FINGERPRINT)
        self.crash(FIRST_TARGET, FINGERPRINT)
        self.assertFalse(self.detector.is_poison(FINGERPRINT))

    def test_broken_connection_is_not_a_crash(self):
        for identity in (FIRST_TARGET, SECOND_TARGET):
            self.detector.record_cut_off(FINGERPRINT, identity)
        self.assertFalse(self.detector.is_poison(FINGERPRINT))

    def test_completion_clears_a_suspect(self):
        self.crash(FIRST_TARGET, FINGERPRINT)
        self.detector.record_completed(FINGERPRINT)
        self.crash(SECOND_TARGET, FINGERPRINT)
        self.assertFalse(self.detector.is_poison(FINGERPRINT))

    def test_target_that_went_down_too_late(self):
        self.crash(FIRST_TARGET, FINGERPRINT)
        self.detector.record_cut_off(FINGERPRINT, SECOND_TARGET)
        self.clock.advance(poison.DOWN_WINDOW_MS)
        self.detector.record_target_down(SECOND_TARGET)
        self.assertFalse(self.detector.is_poison(FINGERPRINT))

    def test_crashes_expire(self):
        self.crash(FIRST_TARGET, FINGERPRINT)
        self.crash(SECOND_TARGET, FINGERPRINT)
        self.clock.advance(poison.CRASH_TTL_MS)
        self.assertFalse(self.detector.is_poison(FINGERPRINT))
        self.detector.remove_expired()
        self.assertEqual({}, dict(self.detector._crashes))

    def test_suspects_of_another_router(self):
        self.crash(FIRST_TARGET, FINGERPRINT)
        other = poison.PoisonDetector(self.clock, base.Recorder())
        raw = msgspec.json.encode(list(self.detector.unpublished))
        poison.merge_suspects(
            other, store_base.Item('suspects/a', 1, msgspec.Raw(raw))
        )
        other.record_cut_off(FINGERPRINT, SECOND_TARGET)
        other.record_target_down(SECOND_TARGET)
        self.assertTrue(other.is_poison(FINGERPRINT))

    def test_malformed_item_is_ignored(self):
        item = store_base.Item('suspects/a', 1, msgspec.Raw(b'{"a":1}'))
        poison.merge_suspects(self.detector, item)
        self.assertFalse(self.detector.is_poison(FINGERPRINT))


class FingerprintTest(unittest.TestCase):
    """A request keeps its fingerprint under another request id."""

    def test_depends_on_path_account_and_body(self):
        req = messages.Request()
        req.method, req.url, req.body = b'POST', b'/a', bytearray(b'x')
        first = poison.compute_fingerprint(req, 'desk')
        req.headers = [(b'x-request-id', b'2')]
        self.assertEqual(first, poison.compute_fingerprint(req, 'desk'))
        self.assertNotEqual(first, poison.compute_fingerprint(req, 'other'))
        req.body = bytearray(b'y')
        self.assertNotEqual(first, poison.compute_fingerprint(req, 'desk'))
