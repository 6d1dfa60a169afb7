"""Reads the platform's list of instances.

The list lags, so it is a hint: it tells where to look for peers and never
that one is dead.
"""

import geventhttpclient
import msgspec

ROUTER = 'router'
TIMEOUT_S = 1.0


class Instance(msgspec.Struct, frozen=True):
    """One instance as the platform lists it."""

    name: str
    role: str
    address: str
    state: str = 'live'


def fetch(url):
    """Return the list; empty when it can't be had."""
    http = geventhttpclient.HTTPClient.from_url(
        url, connection_timeout=TIMEOUT_S, network_timeout=TIMEOUT_S
    )
    try:
        body = bytes(http.get('/instances').read())
        return msgspec.json.decode(body, type=list[Instance])
    except (OSError, ValueError, geventhttpclient.response.HTTPParseError):
        return []
    finally:
        http.close()
