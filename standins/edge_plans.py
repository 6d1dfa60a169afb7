"""What an engine behind the edge fleet does with a request.

A plan is drawn for each run: how the response is framed, whether and how it
ends early, and which bytes come that belong to no response.
"""

import json
import random

from standins import edge_bodies
from standins import edge_divisions

FRAMINGS = ('length', 'chunked', 'none')
FRAMING_WEIGHTS = (0.2, 0.35, 0.45)
WHOLE = 'whole'
# A response that ends early: its connection is reset, closed, or left without
# another word; or the process ends.
RESET = 'reset'
CLOSED = 'closed'
LEFT = 'left'
EXIT = 'exit'
ENDINGS = (RESET, CLOSED, LEFT, EXIT)
ENDING_WEIGHTS = (0.4, 0.3, 0.2, 0.1)
# Closed in the middle of an event or line; never drawn.
HALF = 'half'
# The share of them that ends before anything of the body.
AT_ONCE_SHARE = 0.15
# Bytes that are no response in place of one, and within a chunked one.
GARBAGE = 'garbage'
BAD_CHUNK = 'bad-chunk'
# Bytes, and the same response once more, after a whole one; the same where
# the next response on the connection is due.
SURPLUS = 'surplus'
AGAIN = 'again'
LATE = 'late'
# The same response once more at the end of a stream without a length, where
# its head shows that it belongs to no event.
WITHIN = 'within'
GARBLED_ENDS = (GARBAGE, BAD_CHUNK)
GARBLES = (*GARBLED_ENDS, SURPLUS, AGAIN, LATE)
STREAM_GARBLES = (*GARBLES, WITHIN)
# The run completes, and its connection is reset, or nothing comes.
LOST_RESET = 'lost-reset'
LOST = 'lost'
LOST_ENDS = (LOST_RESET, LOST)
# The run completes and is answered with an error.
ERROR = 'error'
# Nothing comes after the request.
HANG = 'hang'
# Endings in place of a whole response, not in the middle of one.
WITHOUT_RESPONSE = (GARBAGE, *LOST_ENDS, ERROR, HANG)
# An engine that is stopped, leaves or is frozen ends its runs so.
SPOT = 'spot'
LEAVING = 'leaving'
FROZEN = 'frozen'


class Shares:
    """The shares of responses that end early, are garbled, or are lost.

    `common` is that of requests whose streams all engines close at the same
    token.
    """

    __slots__ = ('early', 'garbled', 'lost', 'common')

    def __init__(self, early=0.08, garbled=0.0, lost=0.0, common=0.0):
        self.early = early
        self.garbled = garbled
        self.lost = lost
        self.common = common


class Plan:
    """How a run's response of `count` pieces is framed and how it ends.

    `ending` is 'whole', one of WITHOUT_RESPONSE, or what comes in place of the
    piece with the index `at`: one of ENDINGS or BAD_CHUNK.  `extra` is what
    follows a whole response, None for nothing.
    """

    __slots__ = ('framing', 'ending', 'at', 'extra')

    def __init__(self, rng, count, shares, is_stream, forced=None):
        """Draw a plan, with the ending `forced` if that isn't None."""
        self.framing = rng.choices(FRAMINGS, FRAMING_WEIGHTS)[0]
        self.ending = WHOLE
        self.extra = None
        if forced is not None:
            self.ending = forced
        elif rng.random() < shares.early:
            self.ending = rng.choices(ENDINGS, ENDING_WEIGHTS)[0]
        elif rng.random() < shares.garbled:
            self._garble(rng, is_stream)
        elif rng.random() < shares.lost:
            self.ending = rng.choice(LOST_ENDS)
        self.at = rng.randrange(count) if count else 0
        if rng.random() < AT_ONCE_SHARE:
            self.at = 0

    def close_at(self, index):
        """Close the connection in place of the piece with this index."""
        self.ending = CLOSED
        self.extra = None
        self.at = index

    def _garble(self, rng, is_stream):
        how = rng.choice(STREAM_GARBLES if is_stream else GARBLES)
        if how in GARBLED_ENDS:
            self.ending = how
        else:
            self.extra = how
        if how == WITHIN:
            self.framing = 'none'
        # In other framings the bytes would belong to the body.
        elif how != GARBAGE:
            self.framing = 'chunked'


class Part:
    """A part of a body: its bytes and tokens, and the pause before it."""

    __slots__ = ('data', 'tokens', 'pause_s')

    def __init__(self, data, tokens=0, pause_s=0.0):
        self.data = data
        self.tokens = tokens
        self.pause_s = pause_s


class Settings:
    """What an engine draws its runs from: Shares and a Division.

    A Manner of edge_manners has what isn't drawn, None for nothing.
    """

    __slots__ = ('shares', 'division', 'manner')

    def __init__(self, shares, division=None, manner=None):
        self.shares = shares
        self.division = division or edge_divisions.Division()
        self.manner = manner


class Run:
    """A request that the engine works on.

    `after` is the id of the event that it goes on after, 0 if it begins.  A
    body that is no stream has a line for each token.
    """

    __slots__ = (
        'id',
        'key',
        'after',
        'tokens',
        'pieces',
        'plan',
        'is_stream',
        'sent',
        'sent_tokens',
    )

    def __init__(self, message, body, rng, settings, is_stream, forced=None):
        document = json.loads(body)
        self.id = message.get('x-request-id')
        self.key = document['key']
        self.after = int(message.get('last-event-id') or 0)
        self.tokens = document['pieces']
        division = settings.division
        if not is_stream:
            division = edge_divisions.Division()
        self.pieces = edge_divisions.divide(
            division, self.key, self.tokens, self.after, rng
        )
        self.plan = Plan(
            rng, len(self.pieces), settings.shares, is_stream, forced
        )
        if is_stream and forced is None:
            self._draw_common_end(settings.shares)
        if settings.manner:
            settings.manner.change(self.plan)
        self.is_stream = is_stream
        self.sent = 0
        self.sent_tokens = 0

    def _draw_common_end(self, shares):
        """Close the stream where every engine does, by the request's key."""
        rng = random.Random(f'{self.key} end')
        if rng.random() >= shares.common:
            return
        token = rng.randint(1, self.tokens)
        for index, piece in enumerate(self.pieces):
            if piece.last >= token:
                self.plan.close_at(index)
                return

    @property
    def first(self):
        """Return the first token that it is to send."""
        return self.pieces[0].first if self.pieces else self.tokens + 1

    def list_parts(self, version, weights):
        """Return the Parts of the body.

        `weights` is the version of the weights as the run begins.
        """
        if self.is_stream:
            return [
                self._make_part(piece, version, weights)
                for piece in self.pieces
            ]
        lines = [
            edge_bodies.make_line(self.key, version, piece.number)
            for piece in self.pieces
        ]
        return [*(Part(line, 1) for line in lines), Part(edge_bodies.END_LINE)]

    def _make_part(self, piece, version, weights):
        event = edge_bodies.make_event(
            self.key,
            version,
            piece.number,
            piece.first,
            piece.last,
            weights + 1 if piece.changes_weights else None,
        )
        return Part(event, piece.tokens, piece.pause_s)
