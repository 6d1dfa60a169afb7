"""How long a request would wait at a model engine, as far as one router sees.

A router knows what it sent itself and how long that has been waiting, and how
late the last first events came.  The latter also tells of the load that other
routers cause.

Example::

    pressure = Pressure()
    pressure.begin('9c41', 1000, call)
    pressure.wait_ms(1400)     # the first event is late by most of 400 ms
    pressure.first_event('9c41', 1500)
"""

# About how fast prompts are read, in tokens a ms.
TOKENS_PER_MS = 100
# An idle engine's first event comes after this and the reading.
FIRST_EVENT_MS = 90
# An observed delay counts half after this time.
DELAY_HALF_LIFE_MS = 400
# Parts that were used longer ago may have been dropped by the engine.
PART_LIFE_MS = 30_000
MOST_PARTS = 4_000


class _Pending:
    """One request whose first event hasn't come."""

    __slots__ = ('sent_at', 'expected_ms')

    def __init__(self, sent_at, expected_ms):
        self.sent_at = sent_at
        self.expected_ms = expected_ms


class WaitEstimator:
    """What one router knows of the wait at one target."""

    __slots__ = ('_pending', '_delay', '_delay_at', '_parts')

    def __init__(self):
        self._pending = {}
        # By how much the last first events were late, and when that was.
        self._delay = 0.0
        self._delay_at = 0
        # When each shared part was last sent there.
        self._parts = {}

    def unread(self, metadata, now):
        """Return the tokens of a prompt that would have to be read."""
        known = 0
        for name, tokens in metadata.prompt_parts[:-1]:
            if now - self._parts.get(name, -PART_LIFE_MS) >= PART_LIFE_MS:
                break
            known += tokens
        return max(0, metadata.input_tokens - known)

    def record_sent(self, key, now, metadata):
        """Note a request that is sent there."""
        expected_ms = (
            FIRST_EVENT_MS + self.unread(metadata, now) / TOKENS_PER_MS
        )
        self._pending[key] = _Pending(now, expected_ms)
        if len(self._parts) > MOST_PARTS:
            self._parts.clear()
        for name, _ in metadata.prompt_parts[:-1]:
            self._parts[name] = now

    def record_first_event(self, key, now):
        """Note that a request's first event came."""
        pending = self._pending.pop(key, None)
        if pending is not None:
            late = max(0, now - pending.sent_at - pending.expected_ms)
            self._delay = (self._decayed(now) + late) / 2
            self._delay_at = now

    def record_end(self, key):
        """Note that a request ended, whether or not it had an event."""
        self._pending.pop(key, None)

    def wait_ms(self, now):
        """Return how long a new request would wait before it is read."""
        reading = late = 0
        for pending in self._pending.values():
            reading += pending.expected_ms - FIRST_EVENT_MS
            late = max(late, now - pending.sent_at - pending.expected_ms)
        return max(late, self._decayed(now)) + reading

    def _decayed(self, now):
        age = now - self._delay_at
        return self._delay * 0.5 ** (age / DELAY_HALF_LIFE_MS)
