"""How an engine divides the tokens of a stream's output into events.

Ids that count events need a division that is the same at each engine, or one
that goes on with a stream wouldn't know where: it is drawn from the request's
key.  Ids that are the number of an event's last token say where to go on, so
each run may divide the rest in a way of its own.

Example::

    division = Division(stride=6, uneven=0.5, ids=TOKENS)
    # The pieces of tokens 13 to 40.
    divide(division, 'c1-7', 40, after=12, rng=random.Random())
"""

import itertools
import random

EVENTS = 'events'
TOKENS = 'tokens'
# What the ids of events are.
IDS = (EVENTS, TOKENS)
PREEMPTED_S = (0.3, 1.2)


class Division:
    """The settings by which an engine divides its output.

    `stride` is the most tokens of an event, `uneven` the share of events that
    hold fewer, `ids` one of IDS, `preempted` the share of runs that pause in
    the middle, with a small event after it, and `weights` the share of runs in
    which the version of the weights changes.
    """

    __slots__ = ('stride', 'uneven', 'ids', 'preempted', 'weights')

    def __init__(
        self, stride=1, uneven=0.0, ids=EVENTS, preempted=0.0, weights=0.0
    ):
        self.stride = stride
        self.uneven = uneven
        self.ids = ids
        self.preempted = preempted
        self.weights = weights


class Piece:
    """What one event of a stream holds: the tokens `first` to `last`.

    `number` is the event's id, and `pause_s` how long the run pauses before
    it.  With `changes_weights` the version of the weights changes there.
    """

    __slots__ = ('number', 'first', 'last', 'pause_s', 'changes_weights')

    def __init__(self, number, first, last, pause_s, changes_weights):
        self.number = number
        self.first = first
        self.last = last
        self.pause_s = pause_s
        self.changes_weights = changes_weights

    @property
    def tokens(self):
        """Return the number of tokens."""
        return self.last - self.first + 1


def divide(division, key, tokens, after, rng):
    """Return the Pieces of `tokens` tokens that follow the event `after`.

    `after` is the id of an event, 0 for all of them.  `rng` is the engine's.
    """
    if division.ids == TOKENS:
        return _cut(division, after + 1, tokens, rng)
    return _cut(division, 1, tokens, random.Random(key))[after:]


def divide_endlessly(division, key, tokens, after, rng):
    """Yield what `divide` returns, and Pieces of one token without end."""
    pieces = divide(division, key, tokens, after, rng)
    yield from pieces
    number = pieces[-1].number if pieces else after
    for more in itertools.count(1):
        token = tokens + more
        yield Piece(number + more, token, token, 0.0, False)


def _cut(division, first, last, rng):
    """Return the Pieces of the tokens `first` to `last`."""
    preempted_at = _draw_token(rng, division.preempted, first, last)
    changed_at = _draw_token(rng, division.weights, first, last)
    pieces = []
    begin = first
    while begin <= last:
        is_preempted = preempted_at is not None and begin >= preempted_at
        has_changed = changed_at is not None and begin >= changed_at
        size = _draw_size(rng, division, is_preempted)
        end = min(begin + size - 1, last)
        number = end if division.ids == TOKENS else len(pieces) + 1
        pause_s = rng.uniform(*PREEMPTED_S) if is_preempted else 0.0
        pieces.append(Piece(number, begin, end, pause_s, has_changed))
        preempted_at = None if is_preempted else preempted_at
        changed_at = None if has_changed else changed_at
        begin = end + 1
    return pieces


def _draw_token(rng, share, first, last):
    """Return a token after the first one, None for runs out of the share."""
    if rng.random() >= share or first >= last:
        return None
    return rng.randint(first + 1, last)


def _draw_size(rng, division, is_small):
    """Return how many tokens an event holds if so many are left."""
    if division.stride == 1:
        return 1
    if is_small:
        return rng.randint(1, division.stride // 2)
    if rng.random() < division.uneven:
        return rng.randint(1, division.stride - 1)
    return division.stride
