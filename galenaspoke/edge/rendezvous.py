"""Rendezvous hashing: rankings on which all routers agree."""

import hashlib
import math

_DIGEST_BYTES = 8


def rank_targets(key, targets, weights=None):
    """Return targets in the order in which `key` prefers them.

    The order depends on the key, the target ids and the weights only, so
    routers need not communicate.  Adding or removing a target moves only the
    keys that prefer that target.  `weights` maps targets to their share of the
    keys relative to the others; without it all are equal.
    """
    raw_key = key.encode()
    if weights is None:
        return sorted(
            targets, key=lambda target: _weigh(raw_key, target.entry.id)
        )

    def score(target):
        digest = _weigh(raw_key, target.entry.id)
        point = int.from_bytes(digest) / 256**_DIGEST_BYTES
        return -math.log1p(-point) / weights[target]

    return sorted(targets, key=score)


def choose_name(key, names):
    """Return the name that `key` prefers."""
    raw_key = key.encode()
    return min(names, key=lambda name: _weigh(raw_key, name))


def _weigh(raw_key, name):
    return hashlib.blake2b(
        raw_key + name.encode(), digest_size=_DIGEST_BYTES
    ).digest()
