"""What an engine behind the edge fleet does with a request.

A plan is drawn for each run: how the response is framed, whether and how it
ends early, and which bytes come that belong to no response.
"""

import json

from standins import edge_bodies

FRAMINGS = ('length', 'chunked', 'none')
FRAMING_WEIGHTS = (0.2, 0.35, 0.45)
ENDINGS = ('reset', 'closed', 'left', 'exit')
ENDING_WEIGHTS = (0.4, 0.3, 0.2, 0.1)
WHOLE = 'whole'
# Bytes that are no response in place of one, and within a chunked one.
GARBAGE = 'garbage'
BAD_CHUNK = 'bad-chunk'
# Bytes, and the same response once more, after a whole one; the same where
# the next response on the connection is due.
SURPLUS = 'surplus'
AGAIN = 'again'
LATE = 'late'
GARBLED_ENDS = (GARBAGE, BAD_CHUNK)
GARBLES = (*GARBLED_ENDS, SURPLUS, AGAIN, LATE)


class Shares:
    """The shares of responses that end early, and that are garbled."""

    __slots__ = ('early', 'garbled')

    def __init__(self, early=0.08, garbled=0.0):
        self.early = early
        self.garbled = garbled


class Plan:
    """How a run's response is framed and how it ends.

    `ending` is 'whole', or what comes before piece `at`: one of ENDINGS or of
    GARBLED_ENDS.  `extra` is what follows a whole response, None for nothing.
    """

    __slots__ = ('framing', 'ending', 'at', 'extra')

    def __init__(self, rng, first, last, shares):
        self.framing = rng.choices(FRAMINGS, FRAMING_WEIGHTS)[0]
        self.ending = WHOLE
        self.extra = None
        if rng.random() < shares.early:
            self.ending = rng.choices(ENDINGS, ENDING_WEIGHTS)[0]
        elif rng.random() < shares.garbled:
            self._garble(rng)
        self.at = rng.randint(first, max(first, last))

    def _garble(self, rng):
        how = rng.choice(GARBLES)
        if how in GARBLED_ENDS:
            self.ending = how
        else:
            self.extra = how
        # In other framings the bytes would belong to the body.
        if how != GARBAGE:
            self.framing = 'chunked'


class Run:
    """A request that the engine works on."""

    __slots__ = ('id', 'key', 'first', 'last', 'plan', 'is_stream', 'sent')

    def __init__(self, message, body, rng, shares, is_stream):
        document = json.loads(body)
        self.id = message.get('x-request-id')
        self.key = document['key']
        self.first = int(message.get('last-event-id') or 0) + 1
        self.last = document['pieces']
        self.plan = Plan(rng, self.first, self.last, shares)
        self.is_stream = is_stream
        self.sent = 0

    def list_pieces(self, version):
        """Return the pieces of the response."""
        make = (
            edge_bodies.make_event if self.is_stream else edge_bodies.make_line
        )
        numbers = range(self.first, self.last + 1)
        pieces = [make(self.key, version, number) for number in numbers]
        return pieces if self.is_stream else [*pieces, edge_bodies.END_LINE]
