"""Engines that are set apart for long prompts while there are any.

While an engine reads a prompt, the answers that it is writing pause.  A very
long one makes them all late, so long prompts share a part of the engines,
the same for all routers, and the others are left to short ones.

Example::

    lanes = Lanes()
    lanes.of(call, targets, now)    # the targets to choose among
"""

from galenaspoke.edge import wait_estimates
from galenaspoke.edge import rendezvous

# A prompt that takes longer to read is long: it and one more like it pause
# an answer for longer than callers bear.
LONG_PREFILL_MS = 220
# The part of the engines that long prompts get.
ISOLATED_SHARE = 0.25
# With fewer engines there is nothing to set apart.
MIN_TARGETS = 4
# Without a long prompt for this time all engines are for all.
ISOLATION_TTL_MS = 10_000
_RANKING_KEY = 'long prompts'


class LongPromptIsolation:
    """What one router knows of the long prompts of one service."""

    __slots__ = ('_last_long_at',)

    def __init__(self):
        self._last_long_at = None

    def eligible_targets(self, call, targets, now):
        """Return the targets among which a call's is chosen."""
        long = is_long_prompt(call)
        if long:
            self._last_long_at = now
        if self._last_long_at is None or len(targets) < MIN_TARGETS:
            return targets
        if now - self._last_long_at > ISOLATION_TTL_MS:
            return targets
        count = round(ISOLATED_SHARE * len(targets))
        ranked = rendezvous.rank_targets(_RANKING_KEY, targets)
        return ranked[:count] if long else ranked[count:]


def is_long_prompt(call):
    """Tell whether reading a call's prompt holds others up."""
    return (
        call.input_tokens
        > LONG_PREFILL_MS * wait_estimates.PREFILL_TOKENS_PER_MS
    )
