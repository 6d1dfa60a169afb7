"""Answers that a drill opens at a router, and what their callers were told.

Example::

    answers = end_answers.make_answers('calm', routes, count=72, scale=1.0)
    tasks = [gevent.spawn(answer.read, router) for answer in answers]
    gevent.joinall(tasks)
    end_answers.count(answers)['talk'].whole_told_broken
"""

import collections
import json

from gevent import socket

from bench import edge_callers
from bench import edge_events
from standins import edge_bodies
from standins import edge_responses
from standins import platform_documents
from standins import raw_http

LEAST_S = 0.3
# How much longer than that the longest answer takes, by a scale of 1.
SPREAD_S = 5.5
STRIDE = 6
# How many more tokens than they get requests allow.
SPARE_TOKENS = 30
VERSION = 'v1'
CONNECT_TIMEOUT_S = 2.0
SILENCE_S = 12.0
DEADLINE_MS = 15_000
BODY_CHUNK_BYTES = 16


class Counts:
    """How many answers were complete, by what their callers were told."""

    __slots__ = (
        'whole_told_whole',
        'whole_told_broken',
        'short_told_whole',
        'short_told_broken',
    )

    def __init__(self):
        for name in self.__slots__:
            setattr(self, name, 0)

    @property
    def answers(self):
        """Return the number of all answers."""
        return sum(getattr(self, name) for name in self.__slots__)

    def add(self, answer):
        """Count an answer that has ended."""
        has = 'whole' if answer.is_complete() else 'short'
        told = 'whole' if answer.attempt.outcome == 'whole' else 'broken'
        name = f'{has}_told_{told}'
        setattr(self, name, getattr(self, name) + 1)

    def to_document(self):
        """Return the counts as a dict."""
        counts = {name: getattr(self, name) for name in self.__slots__}
        return {'answers': self.answers, **counts}


class Answer:
    """The answer to a request with a body in chunks or with a length."""

    __slots__ = ('req', 'attempt', '_is_chunked')

    def __init__(self, req, is_chunked):
        self.req = req
        self.attempt = None
        self._is_chunked = is_chunked

    def read(self, router):
        """Ask a router, and read until the answer ends."""
        attempt = edge_callers.Attempt(f'{self.req.name}.0', router, 1)
        self.attempt = attempt
        try:
            self._converse(attempt)
        except (OSError, raw_http.Disconnected) as exc:
            attempt.outcome, attempt.why = 'cut', repr(exc)

    def _converse(self, attempt):
        front = (attempt.router.ip, platform_documents.FRONT_PORT)
        with socket.create_connection(front, CONNECT_TIMEOUT_S) as sock:
            sock.settimeout(SILENCE_S)
            sock.sendall(self._encode(attempt))
            conn = raw_http.Connection(sock)
            message = conn.read_head()
            if message is None:
                raise raw_http.Disconnected('before a response')
            attempt.status = message.status
            for data in conn.iter_body(message, ends_with_connection=True):
                attempt.body += data
                if self.req.kind == 'stream' and attempt.status == 200:
                    edge_events.take_events(attempt)
        attempt.outcome = edge_callers.classify(attempt.status)

    def _encode(self, attempt):
        req = self.req
        headers = platform_documents.make_request_headers(
            attempt.id, DEADLINE_MS
        )
        if req.kind == 'stream':
            headers += platform_documents.make_model_headers(
                req.name, req.max_tokens
            )
        body = json.dumps({'key': req.key, 'pieces': req.pieces}).encode()
        first = f'POST {req.prefix}{req.name} HTTP/1.1'
        if not self._is_chunked:
            return raw_http.encode(first, headers, body)
        headers.append(('Transfer-Encoding', 'chunked'))
        return raw_http.encode(first, headers) + _encode_chunks(body)

    def is_complete(self):
        """Return whether all that the engine was asked for has come."""
        req = self.req
        if req.kind == 'stream':
            return self.attempt.count_tokens() == req.pieces
        whole = edge_bodies.make_body(req.key, VERSION, req.pieces)
        return self.attempt.body == whole


def _encode_chunks(body):
    parts = [
        body[at : at + BODY_CHUNK_BYTES]
        for at in range(0, len(body), BODY_CHUNK_BYTES)
    ]
    chunks = [b'%x\r\n%s\r\n' % (len(part), part) for part in parts]
    return b''.join([*chunks, b'0\r\n\r\n'])


def get_longest_s(scale):
    """Return how long the longest answer takes."""
    return LEAST_S + scale * SPREAD_S


def make_answers(name, routes, count, scale):
    """Return Answers to requests for each route in turn.

    `routes` are Routes by their names.  The answers to each route take from
    LEAST_S to the longest time, in equal steps.
    """
    return [
        _make_answer(f'{name}-{number}', routes, number, count, scale)
        for number in range(count)
    ]


def _make_answer(name, routes, number, count, scale):
    turn, index = divmod(number, len(routes))
    route = list(routes.values())[index]
    last_turn = (count - 1) // len(routes)
    share = turn / last_turn if last_turn else 0
    seconds = LEAST_S + share * scale * SPREAD_S
    pieces = max(1, round(seconds / edge_responses.PIECE_INTERVAL_S))
    if route.kind == 'stream':
        pieces *= STRIDE
    req = edge_callers.Request(name, route.prefix, pieces, route)
    req.max_tokens = pieces + SPARE_TOKENS
    return Answer(req, is_chunked=bool(turn % 2))


def count(answers, routes):
    """Return the Counts of answers by the name of their route."""
    names = {route.prefix: name for name, route in routes.items()}
    counts = collections.defaultdict(Counts)
    for answer in answers:
        counts[names[answer.req.prefix]].add(answer)
    return counts
