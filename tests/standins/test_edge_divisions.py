"""How edge engines divide their output into events."""

import random
import unittest

from standins import edge_divisions

KEYS = [f'c1-{number}' for number in range(60)]
TOKENS = 40
STRIDE = 6


def divide(division, key, after=0, seed=1):
    """Return the pieces of a stream of some tokens."""
    rng = random.Random(seed)
    return edge_divisions.divide(division, key, TOKENS, after, rng)


def describe(pieces):
    """Return what can be compared of pieces."""
    return [(piece.number, piece.first, piece.last) for piece in pieces]


class DivisionTest(unittest.TestCase):
    """What events hold, and what their ids are."""

    def assert_joined(self, pieces, first=1):
        """Each token from the first one on comes once, in order."""
        for piece in pieces:
            self.assertEqual(first, piece.first)
            self.assertLessEqual(piece.first, piece.last)
            first = piece.last + 1
        self.assertEqual(first, TOKENS + 1)

    def test_one_token_an_event(self):
        """It is what is drawn unless another division is asked for."""
        for ids in edge_divisions.IDS:
            division = edge_divisions.Division(ids=ids)
            expected = [(n, n, n) for n in range(1, TOKENS + 1)]
            self.assertEqual(expected, describe(divide(division, 'k')))
            after = describe(divide(division, 'k', after=7))
            self.assertEqual(expected[7:], after)

    def test_full_events(self):
        """All events but the last hold the most."""
        division = edge_divisions.Division(STRIDE)
        counts = [piece.tokens for piece in divide(division, 'k')]
        self.assertEqual([6, 6, 6, 6, 6, 6, 4], counts)

    def test_share_of_uneven_events(self):
        """Others hold fewer; with a share of all no event is full."""
        division = edge_divisions.Division(STRIDE, uneven=1)
        counts = set()
        for key in KEYS:
            pieces = divide(division, key)
            self.assert_joined(pieces)
            counts |= {piece.tokens for piece in pieces}
        self.assertEqual(set(range(1, STRIDE)), counts)

    def test_ids_of_events(self):
        """Each engine divides in the same way, so another one can go on."""
        division = edge_divisions.Division(
            STRIDE, 0.5, preempted=0.5, weights=0.5
        )
        for key in KEYS:
            whole = divide(division, key, seed=1)
            self.assert_joined(whole)
            numbers = [piece.number for piece in whole]
            self.assertEqual(list(range(1, len(whole) + 1)), numbers)
            for after in range(len(whole) + 1):
                rest = divide(division, key, after, seed=2)
                self.assertEqual(describe(whole[after:]), describe(rest))

    def test_ids_of_tokens(self):
        """A run goes on after the token, and divides the rest anew."""
        division = edge_divisions.Division(STRIDE, 0.5, edge_divisions.TOKENS)
        divisions = set()
        for seed in range(20):
            pieces = divide(division, 'k', after=7, seed=seed)
            self.assert_joined(pieces, first=8)
            self.assertEqual(
                [piece.last for piece in pieces],
                [piece.number for piece in pieces],
            )
            divisions.add(tuple(describe(pieces)))
        self.assertGreater(len(divisions), 10)

    def test_preempted_runs(self):
        """A pause in the middle, and a small event after it."""
        division = edge_divisions.Division(STRIDE, preempted=1)
        count = 0
        for key in KEYS:
            pieces = divide(division, key)
            self.assert_joined(pieces)
            paused = [piece for piece in pieces if piece.pause_s]
            self.assertLessEqual(len(paused), 1)
            count += len(paused)
            for piece in paused:
                self.assertGreater(piece.first, 1)
                self.assertLessEqual(piece.tokens, STRIDE // 2)
                self.assertGreaterEqual(piece.pause_s, 0.3)
                self.assertLessEqual(piece.pause_s, 1.2)
        self.assertGreater(count, len(KEYS) // 2)

    def test_share_of_preempted_runs(self):
        """None pauses unless it is asked for."""
        division = edge_divisions.Division(STRIDE)
        for key in KEYS:
            pieces = divide(division, key)
            self.assertFalse(any(piece.pause_s for piece in pieces))
            self.assertFalse(any(piece.changes_weights for piece in pieces))

    def test_pieces_without_end(self):
        """They go on after the last one, with ids of the same kind."""
        for ids, number in ((edge_divisions.EVENTS, 8), ('tokens', 41)):
            division = edge_divisions.Division(STRIDE, ids=ids)
            for after in (0, number - 1):
                pieces = edge_divisions.divide_endlessly(
                    division, 'k', TOKENS, after, random.Random(1)
                )
                more = (piece for piece in pieces if piece.first > TOKENS)
                first, second = next(more), next(more)
                self.assertEqual(
                    [(number, 41, 41), (number + 1, 42, 42)],
                    describe([first, second]),
                )
