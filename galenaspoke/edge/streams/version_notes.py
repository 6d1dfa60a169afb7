"""Routers tell each other which software version began a stream.

A caller may resume a stream at another router, after the one that began it
has died.  So each router notes its streams at a few others, which consistent
hashing names of what a caller repeats: it may not name the request that it
resumes.  Notes are datagrams and may be lost: what nobody knows is refused,
see `resumption`.  They leave before the first event does, and while a service
has a single version too: the next may come just as the router dies.

Example::

    notes = VersionNotes(streams, routers, send, clock, is_stale)
    gevent.spawn(notes.run)
    notes.add(StreamKey('9c41', '5c1e'), Origin('pool', 'v1'))
    notes.ask(StreamKey('', '5c1f')).origins     # {Origin('pool', 'v2')}
"""

import collections
import dataclasses
import itertools
import random

import gevent
from gevent import event
import msgspec

from galenaspoke.edge.streams import stream_versions
from galenaspoke.utils import decoding

# How many routers are told of a stream, and how many are asked.  The lists of
# routers may differ by a few, so more are asked.
HOLDER_COUNT = 2
ASKED_COUNT = 4
NOTE_INTERVAL_S = 0.05
# How late a router notices that it can't follow the store.
STALE_LAG_MS = 2_000
# An unanswered question is sent this often, so long after each other.
ASK_ATTEMPTS = 2
ASK_TIMEOUT_S = 0.06
NUMBER_BITS = 48
# Few enough that a datagram isn't fragmented.
NOTES_PER_DATAGRAM = 12


class Note(msgspec.Struct, tag='note', array_like=True):
    """Origins of streams, each with the two parts of the stream's key."""

    streams: list[tuple[str, str, str, str]]


class Question(msgspec.Struct, tag='ask', array_like=True):
    """Asks for the origins that a stream may have, by its key."""

    number: int
    request: str
    content: str


class Answer(msgspec.Struct, tag='tell', array_like=True):
    """The answer to a question: pairs of service and version."""

    number: int
    origins: list[tuple[str, str]]


Message = Note | Question | Answer


@dataclasses.dataclass(slots=True, frozen=True)
class Told:
    """The Origins that other routers know a stream may have.

    `is_complete` states that a router has answered which every other one
    tells of streams with its content, and `is_heard` that any has: silence
    says nothing of a stream.
    """

    origins: set
    is_complete: bool
    is_heard: bool


class _Inquiry:
    """A question that waits for its answers."""

    __slots__ = ('answers', 'expected', 'is_named', 'is_done')

    def __init__(self, expected, is_named):
        # The Origins by the address of the router.
        self.answers = {}
        self.expected = expected
        # Whether a single answer that knows the stream is enough.
        self.is_named = is_named
        self.is_done = event.Event()

    def get_origins(self):
        """Return all Origins that were told."""
        return set().union(*self.answers.values())

    def record(self, address, origins):
        """Record the answer of the router at an address."""
        self.answers[address] = origins
        is_enough = self.is_named and origins
        if is_enough or set(self.answers) == self.expected:
            self.is_done.set()


class VersionNotes:
    """Tells other routers of streams, and asks them.

    `streams` are this router's StreamVersions and `routers` the RouterList;
    `send(address, data)` sends a datagram, and `is_stale()` says whether the
    store can't be followed at the moment.  Then the others may be out of reach
    as well, so notes are sent again afterwards.
    """

    __slots__ = (
        '_streams',
        '_routers',
        '_send',
        '_clock',
        '_is_stale',
        '_was_stale',
        '_unsent',
        '_doubtful',
        '_inquiries',
        '_numbers',
    )

    def __init__(self, streams, routers, send, clock, is_stale):
        self._streams = streams
        self._routers = routers
        self._send = send
        self._clock = clock
        self._is_stale = is_stale
        self._was_stale = False
        # The streams of which no note was sent, and those of which it may have
        # been lost, the oldest first: key, Origin and when it began.
        self._unsent = collections.deque(maxlen=stream_versions.MAX_STREAMS)
        self._doubtful = collections.deque(maxlen=stream_versions.MAX_STREAMS)
        self._inquiries = {}
        # Answers to a predecessor at this address may come late.
        self._numbers = itertools.count(random.getrandbits(NUMBER_BITS))

    def add(self, key, origin):
        """Remember a stream that has begun; note it elsewhere soon."""
        self._streams.remember(key, origin)
        self._unsent.append((key, origin, self._clock.now()))

    def add_begun(self, key, origin):
        """Remember a stream that begins here; note it elsewhere at once."""
        self._streams.remember(key, origin)
        begun = (key, origin, self._clock.now())
        self._send_all([begun])
        self._doubtful.append(begun)

    def run(self):
        """Send notes at intervals; never returns."""
        while True:
            gevent.sleep(NOTE_INTERVAL_S)
            self.send_notes()

    def send_notes(self):
        """Send the notes that are due."""
        now = self._clock.now()
        is_stale = self._is_stale()
        due = list(self._unsent)
        self._unsent.clear()
        keep_ms = stream_versions.MAX_STREAM_AGE_MS
        if not is_stale and self._was_stale:
            _remove_older(self._doubtful, now - keep_ms)
            due = list(self._doubtful) + due
            self._doubtful.clear()
        if not is_stale:
            keep_ms = STALE_LAG_MS
        self._was_stale = is_stale
        self._doubtful.extend(due)
        _remove_older(self._doubtful, now - keep_ms)
        self._send_all(due)

    def _send_all(self, streams):
        notes = collections.defaultdict(list)
        for key, origin, _ in streams:
            note = (key.request, key.content, origin.service, origin.version)
            for address in self._routers.list_holders(
                key.content, HOLDER_COUNT
            ):
                notes[address].append(note)
        for address, listed in notes.items():
            for begin in range(0, len(listed), NOTES_PER_DATAGRAM):
                note = Note(listed[begin : begin + NOTES_PER_DATAGRAM])
                self._send(address, msgspec.msgpack.encode(note))

    def ask(self, key):
        """Return what is Told by other routers of a stream.

        Waits until one knows the request that began it, or all have answered,
        for ASK_ATTEMPTS times ASK_TIMEOUT_S at most.
        """
        addresses = self._routers.list_holders(key.content, ASKED_COUNT)
        if not addresses:
            is_alone = self._routers.is_alone()
            return Told(set(), is_complete=is_alone, is_heard=is_alone)
        number = next(self._numbers)
        inquiry = _Inquiry(set(addresses), bool(key.request))
        self._inquiries[number] = inquiry
        data = msgspec.msgpack.encode(
            Question(number, key.request, key.content)
        )
        try:
            for _ in range(ASK_ATTEMPTS):
                for address in inquiry.expected - set(inquiry.answers):
                    self._send(address, data)
                if inquiry.is_done.wait(ASK_TIMEOUT_S):
                    break
        finally:
            del self._inquiries[number]
        certain = self._routers.list_certain_holders(key.content, HOLDER_COUNT)
        return Told(
            inquiry.get_origins(),
            is_complete=any(router in inquiry.answers for router in certain),
            is_heard=bool(inquiry.answers),
        )

    def handle(self, data, address):
        """Handle a datagram from another router."""
        try:
            message = decoding.decode_msgpack(data, Message)
        except decoding.Unreadable:
            return
        if isinstance(message, Note):
            for request, content, service, version in message.streams:
                self._streams.remember(
                    stream_versions.StreamKey(request, content),
                    stream_versions.Origin(service, version),
                )
        elif isinstance(message, Question):
            self._answer(message, address)
        else:
            self._handle_answer(message, address)

    def _answer(self, question, address):
        key = stream_versions.StreamKey(question.request, question.content)
        origins = [
            (origin.service, origin.version)
            for origin in self._streams.find(key)
        ]
        answer = Answer(question.number, origins)
        self._send(address, msgspec.msgpack.encode(answer))

    def _handle_answer(self, answer, address):
        inquiry = self._inquiries.get(answer.number)
        if inquiry is None or address not in inquiry.expected:
            return
        inquiry.record(
            address,
            {stream_versions.Origin(*origin) for origin in answer.origins},
        )


def _remove_older(streams, begin):
    """Remove the streams that began before a time."""
    while streams and streams[0][2] < begin:
        streams.popleft()
