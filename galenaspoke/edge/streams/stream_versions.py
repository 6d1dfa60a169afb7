"""Which software version began each stream, as far as this router knows.

That is each stream that this router began or resumed, and those that other
routers told it.

Example::

    streams = StreamVersions(clock)
    key = StreamKey(request='9c41', content='5c1e')
    streams.remember(key, Origin('pool', 'v1'))
    streams.find(key)     # {Origin(service='pool', version='v1')}
    streams.find(StreamKey('', '5c1e'))     # the same
"""

import base64
import collections
import dataclasses
import hashlib

# Streams older than this aren't resumed any more.
MAX_STREAM_AGE_MS = 60_000
# When there are more, the oldest are forgotten, which bounds the memory.
MAX_STREAMS = 20_000
# Characters of each part of a key, which is a digest.
DIGEST_LENGTH = 12
_DIGEST_BYTES = 9


@dataclasses.dataclass(slots=True, frozen=True)
class Origin:
    """The service and the software version that began a stream."""

    service: str
    version: str


@dataclasses.dataclass(slots=True, frozen=True)
class StreamKey:
    """What tells a stream from others, as digests.

    `request` is of the id of the request that began it, empty for a caller
    that doesn't name it; `content` of all that its caller repeats.
    """

    request: str
    content: str


@dataclasses.dataclass(slots=True, frozen=True)
class Record:
    """A stream that is remembered; `at` is when that was said first.

    It has several Origins if that was said: then none is certain.
    """

    key: StreamKey
    origins: frozenset
    at: int


def make_key(context, request_id):
    """Return the StreamKey of a request's stream.

    `request_id` is the id of the request that began it, which callers choose,
    or empty.
    """
    account = context.account.name if context.account else ''
    parts = ','.join(part_id for part_id, _ in context.metadata.prompt_parts)
    content = (
        *(text.encode(errors='surrogatepass') for text in (account, parts)),
        context.req.url,
        context.req.body,
    )
    named = request_id and _digest([request_id.encode('latin-1')])
    return StreamKey(named, _digest(content))


def _digest(fields):
    """Return a short digest of some bytes, as text."""
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for field in fields:
        digest.update(b'%d:' % len(field))
        digest.update(field)
    return base64.urlsafe_b64encode(digest.digest()).decode()


class StreamVersions:
    """Remembers the origins of streams by their keys."""

    __slots__ = ('remembered_count', '_clock', '_records', '_contents')

    def __init__(self, clock):
        # How many streams have ever been remembered.
        self.remembered_count = 0
        self._clock = clock
        # The Records by the digest of the request, the oldest first.
        self._records = {}
        # How many of them there are by the digest of the content and Origin.
        self._contents = {}

    def remember(self, key, origin):
        """Record that a stream may have this Origin."""
        if not key.request:
            return
        now = self._clock.now()
        record = self._records.get(key.request)
        if record is None:
            record = Record(key, frozenset(), now)
        if origin in record.origins:
            return
        self._records[key.request] = dataclasses.replace(
            record, origins=record.origins | {origin}
        )
        counts = self._contents.setdefault(
            record.key.content, collections.Counter()
        )
        counts[origin] += 1
        self.remembered_count += 1
        self._forget_oldest(now)

    def find(self, key):
        """Return the Origins that a stream may have, none if it isn't known.

        Those are of all streams with its content if its request isn't named.
        """
        if not key.request:
            return set(self._contents.get(key.content, ()))
        record = self._records.get(key.request)
        return set(record.origins) if record else set()

    def list_since(self, at):
        """Return the Records of what was said at some time or later."""
        records = []
        for record in reversed(self._records.values()):
            if record.at < at:
                break
            records.append(record)
        return records

    def _forget_oldest(self, now):
        while self._records:
            oldest = next(iter(self._records.values()))
            is_expired = now - oldest.at > MAX_STREAM_AGE_MS
            if not is_expired and len(self._records) <= MAX_STREAMS:
                return
            self._forget(oldest)

    def _forget(self, record):
        del self._records[record.key.request]
        counts = self._contents[record.key.content]
        counts.subtract(record.origins)
        for origin in record.origins:
            if not counts[origin]:
                del counts[origin]
        if not counts:
            del self._contents[record.key.content]
