"""A client for the platform's list of instances.

The list may be outdated, so it is only a hint: it may be used to find peers,
but never to conclude that a peer is dead.
"""

import msgspec

from galenaspoke.utils import decoding
from galenaspoke.utils import http

ROUTER_ROLE = 'router'
TIMEOUT_S = 1.0


class Instance(msgspec.Struct, frozen=True):
    """One instance in the platform's list."""

    name: str
    role: str
    address: str
    state: str = 'live'


def fetch_instances(url):
    """Return the listed instances, or an empty list if that fails."""
    try:
        with http.exchange(url, '/instances', timeout_s=TIMEOUT_S) as resp:
            return decoding.decode_json(resp.read(), list[Instance])
    except http.TargetFailed:
        return []
