"""Rendezvous hashing: a choice among names on which all processes agree.

Example::

    weigh('0017', 'front-a-1')     # the name with the lowest is preferred
"""

import hashlib

_DIGEST_BYTES = 8


def weigh(key, name):
    """Return the weight of a name for a key, as bytes."""
    raw = key.encode() + name.encode()
    return hashlib.blake2b(raw, digest_size=_DIGEST_BYTES).digest()
