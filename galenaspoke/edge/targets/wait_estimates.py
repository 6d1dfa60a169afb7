"""Estimates how long a request would wait at a target, a model engine.

A router knows the requests that it sent itself and how long they have been
waiting, and by how much recent first events were delayed.  The delay also
reflects the load that other routers cause.

Example::

    estimator = WaitEstimator()
    estimator.record_sent('9c41', 1000, metadata)
    # 400 ms less the 90 ms that an idle engine takes after the prefill.
    estimator.estimate_wait_ms(1400)     # 310.0
    estimator.record_first_event('9c41', 1500)
"""

# The rate at which an engine reads prompts, as long as it isn't known better.
PREFILL_TOKENS_PER_MS = 100
# An idle engine sends its first event this long after the prefill.
IDLE_FIRST_EVENT_MS = 90
# The weight of an observed delay halves in this time.
DELAY_HALF_LIFE_MS = 400
# An engine may have evicted prompt parts that were last used longer ago.
CACHED_PART_TTL_MS = 30_000
# When more parts are remembered, all are forgotten, which bounds the memory.
MAX_CACHED_PARTS = 4_000


class _Pending:
    """A request whose first event has not come yet.

    `expected_ms` is the time from sending to the first event at an idle
    engine, which reads `tokens` first.
    """

    __slots__ = ('sent_at', 'expected_ms', 'tokens')

    def __init__(self, sent_at, expected_ms, tokens):
        self.sent_at = sent_at
        self.expected_ms = expected_ms
        self.tokens = tokens


class WaitEstimator:
    """Estimates the wait at one target from what one router observed.

    `key` identifies a request; it may be any hashable object.  All times are
    in ms of the clock.
    """

    __slots__ = (
        'tokens_per_ms',
        '_pending',
        '_delay_ms',
        '_delay_at',
        '_part_sent_at',
    )

    def __init__(self):
        # How fast the target reads prompts.
        self.tokens_per_ms = PREFILL_TOKENS_PER_MS
        self._pending = {}
        # Decaying average of the delay of first events, and when it was last
        # updated.
        self._delay_ms = 0.0
        self._delay_at = 0
        # Prompt part to the time when it was last sent to the target.
        self._part_sent_at = {}

    def forget_speed(self):
        """Go by the usual reading speed again."""
        self.tokens_per_ms = PREFILL_TOKENS_PER_MS

    def count_uncached_tokens(self, metadata, now):
        """Return how many prompt tokens the target has to read.

        Its prefix cache is assumed to hold the parts that were sent to it
        within CACHED_PART_TTL_MS.
        """
        cached = 0
        for name, tokens in metadata.prompt_parts[:-1]:
            if (
                now - self._part_sent_at.get(name, -CACHED_PART_TTL_MS)
                >= CACHED_PART_TTL_MS
            ):
                break
            cached += tokens
        return max(0, metadata.input_tokens - cached)

    def record_sent(self, key, now, metadata):
        """Record that a request is sent to the target."""
        tokens = self.count_uncached_tokens(metadata, now)
        expected_ms = IDLE_FIRST_EVENT_MS + tokens / self.tokens_per_ms
        self._pending[key] = _Pending(now, expected_ms, tokens)
        if len(self._part_sent_at) > MAX_CACHED_PARTS:
            self._part_sent_at.clear()
        for name, _ in metadata.prompt_parts[:-1]:
            self._part_sent_at[name] = now

    def record_first_event(self, key, now):
        """Record that a request's first event came; later ones are ignored.

        Returns the tokens that were read and the time that it took, or None.
        """
        pending = self._pending.pop(key, None)
        if pending is None:
            return None
        took_ms = now - pending.sent_at
        delay_ms = max(0, took_ms - pending.expected_ms)
        self._delay_ms = (self._decayed_delay_ms(now) + delay_ms) / 2
        self._delay_at = now
        return pending.tokens, took_ms

    def record_end(self, key):
        """Record that a request ended, whether or not an event came."""
        self._pending.pop(key, None)

    def estimate_wait_ms(self, now):
        """Return how long a new request would wait before its prefill."""
        prefill_ms = delay_ms = 0
        for pending in self._pending.values():
            prefill_ms += pending.expected_ms - IDLE_FIRST_EVENT_MS
            delay_ms = max(
                delay_ms, now - pending.sent_at - pending.expected_ms
            )
        return max(delay_ms, self._decayed_delay_ms(now)) + prefill_ms

    def _decayed_delay_ms(self, now):
        age_ms = now - self._delay_at
        return self._delay_ms * 0.5 ** (age_ms / DELAY_HALF_LIFE_MS)
