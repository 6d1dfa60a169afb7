"""Rendezvous hashing: rankings on which all routers agree."""

import hashlib


def rank_targets(key, targets):
    """Return targets in the order in which `key` prefers them.

    The order depends on the key and the target ids only, so routers need not
    communicate.  Adding or removing a target moves only the keys that prefer
    that target.
    """
    raw_key = key.encode()
    return sorted(targets, key=lambda target: _weigh(raw_key, target.entry.id))


def choose_name(key, names):
    """Return the name that `key` prefers."""
    raw_key = key.encode()
    return min(names, key=lambda name: _weigh(raw_key, name))


def _weigh(raw_key, name):
    return hashlib.blake2b(raw_key + name.encode(), digest_size=8).digest()
