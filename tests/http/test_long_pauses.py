"""How long readers that are paced may have to wait."""

import time
import unittest

from galenaspoke.http import pacing


class LongPauseTest(unittest.TestCase):
    """A peer that kept a process busy that had nothing else to do."""

    # Guards against a debt that grows for as long as nobody else wants the
    # processor, and that all readers of the peer pay at once.
    def test_debt_is_bounded(self):
        pacer = pacing.Pacer()
        now_s = time.monotonic()
        for _ in range(100):
            now_s += 0.1
            pacer.record(0.1, 65_536, now_s)
        self.assertLessEqual(pacer._next_turn_at - now_s, pacing.MAX_PAUSE_S)
