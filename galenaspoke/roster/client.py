"""A client for the platform's list of instances.

The list may be outdated, so it is only a hint: it may be used to find peers,
but never to conclude that a peer is dead.
"""

import geventhttpclient
import msgspec

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
