"""Routers tell each other which software version began a stream.

A caller may resume a stream at another router, after the one that began it
has died.  So each router notes its streams at a few others, which consistent
hashing of the request's id names.  Notes are datagrams and may be lost: what
nobody knows is refused, see `resumption`.  While a service has a single
version there is nothing to tell, and no notes are sent.

Example::

    notes = VersionNotes(streams, record, routers, send, clock, is_stale)
    gevent.spawn(notes.run)
    notes.add('9c41', Origin('pool', 'v1'))
    notes.ask('9c42')     # Origin('pool', 'v2'), told by another router
"""

import collections
import itertools

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
# An unanswered question is sent this often, so long after each other.
ASK_ATTEMPTS = 2
ASK_TIMEOUT_S = 0.06
# Few enough that a datagram isn't fragmented.
NOTES_PER_DATAGRAM = 12


class Note(msgspec.Struct, tag='note', array_like=True):
    """Origins of streams: triples of key, service and version."""

    streams: list[tuple[str, str, str]]


class Question(msgspec.Struct, tag='ask', array_like=True):
    """Asks for the origin of a stream."""

    number: int
    key: str


class Answer(msgspec.Struct, tag='tell', array_like=True):
    """The answer to a question: service and version, None if unknown."""

    number: int
    origin: tuple[str, str] | None


Message = Note | Question | Answer


class _Inquiry:
    """A question that waits for its answers."""

    __slots__ = ('answers', 'expected', 'is_done')

    def __init__(self, expected):
        # The origin, or None, by the address of the router.
        self.answers = {}
        self.expected = expected
        self.is_done = event.Event()


class VersionNotes:
    """Tells other routers of streams, and asks them.

    `streams` are this router's StreamVersions and `record` the VersionRecord,
    `routers` the RouterList; `send(address, data)` sends a datagram, and
    `is_stale()` says whether the store can't be followed at the moment.
    """

    __slots__ = (
        '_streams',
        '_record',
        '_routers',
        '_send',
        '_clock',
        '_is_stale',
        '_unsent',
        '_inquiries',
        '_numbers',
    )

    def __init__(self, streams, record, routers, send, clock, is_stale):
        self._streams = streams
        self._record = record
        self._routers = routers
        self._send = send
        self._clock = clock
        self._is_stale = is_stale
        # By service: triples of key, version and when it was added, of
        # the streams of which no note was sent, the oldest first.
        self._unsent = collections.defaultdict(
            lambda: collections.deque(maxlen=stream_versions.MAX_STREAMS)
        )
        self._inquiries = {}
        self._numbers = itertools.count()

    def add(self, key, origin):
        """Remember a stream that has begun here; note it elsewhere soon."""
        self._streams.remember(key, origin)
        self._unsent[origin.service].append(
            (key, origin.version, self._clock.now())
        )

    def run(self):
        """Send notes at intervals; never returns."""
        while True:
            gevent.sleep(NOTE_INTERVAL_S)
            self.send_notes()

    def send_notes(self):
        """Send the notes that other routers may need."""
        now = self._clock.now()
        notes = collections.defaultdict(list)
        for service, unsent in self._unsent.items():
            self._remove_expired(unsent, now)
            if not unsent or not self._is_needed(service):
                continue
            for key, version, _ in unsent:
                for address in self._routers.list_holders(key, HOLDER_COUNT):
                    notes[address].append((key, service, version))
            unsent.clear()
        for address, streams in notes.items():
            for begin in range(0, len(streams), NOTES_PER_DATAGRAM):
                note = Note(streams[begin : begin + NOTES_PER_DATAGRAM])
                self._send(address, msgspec.msgpack.encode(note))

    def _remove_expired(self, unsent, now):
        begin = now - stream_versions.MAX_STREAM_AGE_MS
        while unsent and unsent[0][2] < begin:
            unsent.popleft()

    def _is_needed(self, service):
        """Return whether a router may not know a version by itself."""
        return len(self._record.list_known(service)) != 1 or self._is_stale()

    def ask(self, key):
        """Return the Origin of a stream if another router knows it, or None.

        Waits until one knows its origin or all have answered, for
        ASK_ATTEMPTS times ASK_TIMEOUT_S at most.
        """
        addresses = self._routers.list_holders(key, ASKED_COUNT)
        if not addresses:
            return None
        number = next(self._numbers)
        inquiry = self._inquiries[number] = _Inquiry(set(addresses))
        data = msgspec.msgpack.encode(Question(number, key))
        try:
            for _ in range(ASK_ATTEMPTS):
                for address in inquiry.expected - set(inquiry.answers):
                    self._send(address, data)
                if inquiry.is_done.wait(ASK_TIMEOUT_S):
                    break
        finally:
            del self._inquiries[number]
        for origin in inquiry.answers.values():
            if origin is not None:
                return stream_versions.Origin(*origin)
        return None

    def handle(self, data, address):
        """Handle a datagram from another router."""
        try:
            message = decoding.decode_msgpack(data, Message)
        except decoding.Unreadable:
            return
        if isinstance(message, Note):
            for key, service, version in message.streams:
                self._streams.remember(
                    key, stream_versions.Origin(service, version)
                )
        elif isinstance(message, Question):
            self._answer(message, address)
        else:
            self._handle_answer(message, address)

    def _answer(self, question, address):
        origin = self._streams.find(question.key)
        answer = Answer(
            question.number, origin and (origin.service, origin.version)
        )
        self._send(address, msgspec.msgpack.encode(answer))

    def _handle_answer(self, answer, address):
        inquiry = self._inquiries.get(answer.number)
        if inquiry is None or address not in inquiry.expected:
            return
        inquiry.answers[address] = answer.origin
        if answer.origin or set(inquiry.answers) == inquiry.expected:
            inquiry.is_done.set()
