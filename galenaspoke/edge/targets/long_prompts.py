"""Isolation of long prompts on targets of their own.

While a model engine reads a prompt, the responses that it is generating pause.
A very long prompt delays all of them, so long prompts are confined to a share
of the targets, the same for all routers, and short prompts use the others.

Example::

    isolation = LongPromptIsolation()
    isolation.select_targets(metadata, targets, now)
"""

from galenaspoke.edge import rendezvous
from galenaspoke.edge.targets import wait_estimates

# A prompt is long if its prefill takes longer than this.  Two such prompts
# pause a response for longer than callers tolerate.
LONG_PREFILL_MS = 220
# Share of the targets that long prompts use.
ISOLATED_SHARE = 0.25
# With fewer targets, none is set apart.
MIN_TARGETS = 4
# All targets serve all prompts when no long one has come for this time.
ISOLATION_TTL_MS = 10_000
# Key of the ranking, the same in all routers, so that they agree on the share.
_RANKING_KEY = 'long prompts'


class LongPromptIsolation:
    """Separates the long prompts of one service from its short ones."""

    __slots__ = ('_last_long_at',)

    def __init__(self):
        self._last_long_at = None

    def select_targets(self, metadata, targets, now):
        """Return the targets that may serve a request.

        Records the time of the request if its prompt is long.
        """
        is_long = is_long_prompt(metadata)
        if is_long:
            self._last_long_at = now
        if self._last_long_at is None or len(targets) < MIN_TARGETS:
            return targets
        if now - self._last_long_at > ISOLATION_TTL_MS:
            return targets
        count = round(ISOLATED_SHARE * len(targets))
        ranked = rendezvous.rank_targets(_RANKING_KEY, targets)
        return ranked[:count] if is_long else ranked[count:]


def is_long_prompt(metadata):
    """Return whether the prefill exceeds LONG_PREFILL_MS, nothing cached."""
    return (
        metadata.input_tokens
        > LONG_PREFILL_MS * wait_estimates.PREFILL_TOKENS_PER_MS
    )
