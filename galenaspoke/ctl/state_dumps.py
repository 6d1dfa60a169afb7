"""State dumps of routers and agents, as they give them to operators."""

from galenaspoke.utils import bounded_http
from galenaspoke.utils import decoding
from galenaspoke.utils import http

STATE_TIMEOUT_S = 2.0
STATE_LIMITS = bounded_http.Limits(body_bytes=16_777_216)


def fetch(address):
    """Return the state dump of the process at `address` (IP:PORT).

    If the call fails, or the dump is cut off, return a dict with `error`.
    """
    try:
        with http.exchange(
            f'http://{address}',
            '/state',
            timeout_s=STATE_TIMEOUT_S,
            limits=STATE_LIMITS,
        ) as resp:
            return decoding.decode_json(resp.read())
    except http.TargetFailed as exc:
        return {'error': f'{address}: {exc}'}
