"""An order of targets on which all routers agree without messages."""

import hashlib


def rank_targets(key, targets):
    """Return targets in the order in which `key` prefers them.

    It follows from the names alone.  A target more or less moves only the
    keys that prefer that one.
    """
    raw = key.encode()

    def rank(target):
        name = target.entry.id.encode()
        return hashlib.blake2b(raw + name, digest_size=8).digest()

    return sorted(targets, key=rank)
