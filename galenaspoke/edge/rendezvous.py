"""Rendezvous hashing: a ranking of targets on which all routers agree."""

import hashlib


def rank_targets(key, targets):
    """Return targets in the order in which `key` prefers them.

    The order depends on the key and the target ids only, so routers need not
    communicate.  Adding or removing a target moves only the keys that prefer
    that target.
    """
    raw_key = key.encode()

    def weight(target):
        target_id = target.entry.id.encode()
        return hashlib.blake2b(raw_key + target_id, digest_size=8).digest()

    return sorted(targets, key=weight)
