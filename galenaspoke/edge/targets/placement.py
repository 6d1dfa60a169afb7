"""Placement: chooses the target of a request.

Requests that share a prompt prefix prefer the same target, so that the prefix
is read once and not once on each target.  All routers rank the targets alike,
by the prefix and the target ids alone, and by their speeds where these differ
much.  If the request would wait too long at the preferred target, another one
is chosen, provided that it saves more time than reading the prefix again
costs.  A long prompt goes to the target that would send the first event
soonest, and a request without a prompt to the least loaded target.
"""

import random

from galenaspoke.edge import rendezvous
from galenaspoke.edge.targets import long_prompts

# Longest wait at the preferred target before a shared prefix is read again
# elsewhere.
MAX_AFFINITY_WAIT_MS = 300
# How much sooner another target must send the first event to be chosen.
MIN_GAIN_MS = 50


def filter_usable(targets, now):
    """Return the available targets, or all if none is available.

    Targets that asked for a pause, or whose rate limit is used up, are left
    out in any case.
    """
    willing = [target for target in targets if target.is_willing(now)]
    available = [
        target for target in willing if target.health.is_available(now)
    ]
    return available or willing


def compute_pause_ms(targets, now):
    """Return how long all targets want no requests; 0 if one wants some."""
    waits = (target.unwilling_ms(now) for target in targets)
    return max(0, min(waits, default=0))


def choose_target(metadata, targets, now, domain, isolation, speeds):
    """Return the target for a request, or None if none may get it.

    `domain` is the router's failure domain, `isolation` the service's
    LongPromptIsolation and `speeds` its ServiceSpeeds.
    """
    candidates = filter_usable(targets, now)
    if not candidates:
        return None
    if not metadata.affinity_key():
        return choose_least_loaded(candidates, domain)
    speeds.update(targets, now)
    if speeds.differ:
        return choose_by_speed(metadata, candidates, now, speeds)
    candidates = isolation.select_targets(metadata, candidates, now)
    if long_prompts.is_long_prompt(metadata):
        return choose_soonest(metadata, candidates, now)
    ranked = rendezvous.rank_targets(metadata.affinity_key(), candidates)
    return choose_by_affinity(metadata, ranked, now)


def choose_by_speed(metadata, targets, now, speeds):
    """Return the target for a prompt where targets differ in speed."""
    for target in targets:
        tokens_per_ms = speeds.get_tokens_per_ms(target.entry.id)
        if tokens_per_ms is not None:
            target.wait_estimator.tokens_per_ms = tokens_per_ms
    if long_prompts.is_long_prompt(metadata):
        fast = [t for t in targets if speeds.is_fast(t.entry.id)]
        return choose_soonest(metadata, fast or targets, now)
    ranked = speeds.rank(
        metadata.affinity_key(), metadata.count_shared_tokens(), targets
    )
    return choose_by_affinity(metadata, ranked, now)


def choose_soonest(metadata, targets, now):
    """Return the target that would send the first event soonest."""
    ranked = rendezvous.rank_targets(metadata.affinity_key(), targets)
    return min(
        ranked,
        key=lambda target: estimate_first_event_ms(target, metadata, now),
    )


def choose_by_affinity(metadata, ranked, now):
    """Return the target that the prompt prefers, or one that is much sooner.

    `ranked` are the targets in the order in which the prompt prefers them.
    The preferred target is left only if its wait is too long and another
    target would send the first event clearly sooner.
    """
    preferred, *others = ranked
    if not others:
        return preferred
    wait_ms = preferred.wait_estimator.estimate_wait_ms(now)
    if wait_ms <= MAX_AFFINITY_WAIT_MS:
        return preferred
    # The preferred target is assumed to have cached the shared parts: only
    # the last part has to be read.
    last_part_tokens = (
        metadata.prompt_parts[-1][1] if metadata.prompt_parts else 0
    )
    preferred_ms = (
        wait_ms + last_part_tokens / preferred.wait_estimator.tokens_per_ms
    )
    estimates = [
        (estimate_first_event_ms(other, metadata, now), other)
        for other in others
    ]
    best_ms, best = min(estimates, key=lambda pair: pair[0])
    return best if preferred_ms - best_ms > MIN_GAIN_MS else preferred


def estimate_first_event_ms(target, metadata, now):
    """Return how long a target would take to read the prompt, in ms.

    This includes the wait.  The time from there to the first event is the
    same at all targets.
    """
    prefill_ms = (
        target.wait_estimator.count_uncached_tokens(metadata, now)
        / target.wait_estimator.tokens_per_ms
    )
    return target.wait_estimator.estimate_wait_ms(now) + prefill_ms


def choose_least_loaded(targets, domain):
    """Return the target with the fewest requests in flight per slot.

    A target's recent share of failures adds to its load.  Ties are broken in
    favour of the failure domain `domain`, then at random.
    """

    def sort_key(target):
        entry = target.entry
        load = target.in_flight / max(1, entry.slots)
        return (
            load + target.health.failure_share,
            entry.domain != domain,
            random.random(),
        )

    return min(targets, key=sort_key)
