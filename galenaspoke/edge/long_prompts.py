"""Engines that are set apart for long prompts while there are any.

While an engine reads a prompt, the answers that it is writing pause.  A very
long one makes them all late, so long prompts share a part of the engines,
the same for all routers, and the others are left to short ones.

Example::

    lanes = Lanes()
    lanes.of(call, targets, now)    # the targets to choose among
"""

from galenaspoke.edge import wait_estimates
from galenaspoke.edge import ranking

# A prompt that takes longer to read is long: it and one more like it pause
# an answer for longer than callers bear.
LONG_READING_MS = 220
# The part of the engines that long prompts get.
LONG_SHARE = 0.25
# With fewer engines there is nothing to set apart.
LEAST_TARGETS = 4
# Without a long prompt for this time all engines are for all.
KEPT_MS = 10_000
_KEY = 'long prompts'


class LongPromptIsolation:
    """What one router knows of the long prompts of one service."""

    __slots__ = ('_last_long_at',)

    def __init__(self):
        self._last_long_at = None

    def of(self, metadata, targets, now):
        """Return the targets among which a call's is chosen."""
        long = is_long(metadata)
        if long:
            self._last_long_at = now
        if self._last_long_at is None or len(targets) < LEAST_TARGETS:
            return targets
        if now - self._last_long_at > KEPT_MS:
            return targets
        count = round(LONG_SHARE * len(targets))
        ranked = ranking.order(_KEY, targets)
        return ranked[:count] if long else ranked[count:]


def is_long(metadata):
    """Tell whether reading a call's prompt holds others up."""
    return (
        metadata.input_tokens > LONG_READING_MS * wait_estimates.TOKENS_PER_MS
    )
