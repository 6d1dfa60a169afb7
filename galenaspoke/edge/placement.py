"""Which target gets a request.

Requests that share the front of a prompt go to the same target, in an order
that all routers work out alike from the names alone, so that a part is read
once and not once a target.  A target at which the request would wait too long
is passed over, if another one is enough better to make up for the reading.
Other requests go to the least loaded.
"""

import random

from galenaspoke.edge import long_prompts
from galenaspoke.edge import wait_estimates
from galenaspoke.edge import ranking

# A wait that is borne before a shared part is read once more elsewhere.
BORNE_WAIT_MS = 300
# How much better another target must be.
LEAST_GAIN_MS = 50


def usable(targets, now):
    """Return the targets in health, or all where none is."""
    sound = [target for target in targets if target.health.usable(now)]
    return sound or list(targets)


def choose_target(metadata, targets, now, domain, isolation):
    """Return the target for a call, None where there is none.

    `isolation` holds the service's Lanes.
    """
    candidates = usable(targets, now)
    if not candidates:
        return None
    if not metadata.affinity_key():
        return least_loaded(candidates, domain)
    candidates = isolation.of(metadata, candidates, now)
    if long_prompts.is_long(metadata):
        return soonest(metadata, candidates, now)
    return shared_prompt(metadata, candidates, now)


def soonest(metadata, targets, now):
    """Return the target at which the first event would come first."""
    ranked = ranking.order(metadata.affinity_key(), targets)
    return min(
        ranked, key=lambda target: first_event_ms(target, metadata, now)
    )


def shared_prompt(metadata, targets, now):
    """Return the target at which a prompt's first event would come first.

    The target that the prompt prefers is kept unless that takes too long.
    """
    home, *others = ranking.order(metadata.affinity_key(), targets)
    if not others:
        return home
    wait_ms = home.wait_estimator.wait_ms(now)
    if wait_ms <= BORNE_WAIT_MS:
        return home
    # The home has the shared parts: only the last one is read there.
    own = metadata.prompt_parts[-1][1] if metadata.prompt_parts else 0
    home_ms = wait_ms + own / wait_estimates.TOKENS_PER_MS
    waits = [(first_event_ms(other, metadata, now), other) for other in others]
    best_ms, best = min(waits, key=lambda pair: pair[0])
    return best if home_ms - best_ms > LEAST_GAIN_MS else home


def first_event_ms(target, metadata, now):
    """Return when a request's first event would come at a target."""
    reading_ms = (
        target.wait_estimator.unread(metadata, now)
        / wait_estimates.TOKENS_PER_MS
    )
    return target.wait_estimator.wait_ms(now) + reading_ms


def least_loaded(targets, domain):
    """Return the target with least in flight for each of its slots.

    Among equals, one in this router's failure domain is taken.
    """

    def rank(target):
        entry = target.entry
        load = target.in_flight / max(1, entry.slots)
        return (
            load + target.health.failure_share,
            entry.domain != domain,
            random.random(),
        )

    return min(targets, key=rank)
