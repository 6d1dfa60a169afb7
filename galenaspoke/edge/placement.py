"""Which target gets a request.

Requests that share the front of a prompt go to the same target, in an order
that all routers work out alike from the names alone, so that a part is read
once and not once a target.  A target that has clearly more than its share is
passed over.  Other requests go to the least loaded.
"""

import hashlib
import random

# How much more than the mean a target may have before it is passed over.
BOUND_FACTOR = 1.5
BOUND_REQUESTS = 2


def order(key, targets):
    """Return targets in the order in which a shared prompt prefers them."""
    raw = key.encode()

    def rank(target):
        name = target.entry.id.encode()
        return hashlib.blake2b(raw + name, digest_size=8).digest()

    return sorted(targets, key=rank)


def usable(targets, now):
    """Return the targets in health, or all where none is."""
    sound = [target for target in targets if target.health.usable(now)]
    return sound or list(targets)


def choose(call, targets, now, domain):
    """Return the target for a call, None where there is none."""
    candidates = usable(targets, now)
    if not candidates:
        return None
    key = call.affinity()
    if not key:
        return least_loaded(candidates, domain)
    mean = sum(target.in_flight for target in candidates) / len(candidates)
    bound = BOUND_FACTOR * mean + BOUND_REQUESTS
    for target in order(key, candidates):
        if target.in_flight <= bound:
            return target
    return least_loaded(candidates, domain)


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
