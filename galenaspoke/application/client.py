"""Client of an application service: one call, one answer."""

import msgspec

from galenaspoke.utils import bounded_http
from galenaspoke.utils import decoding
from galenaspoke.utils import http

ANSWER_LIMITS = bounded_http.Limits(body_bytes=4_194_304)


class _Answer(msgspec.Struct):
    answer: str


def call(url, req, dispatch, timeout_s):
    """Return the answer.

    Raises TargetFailed, with `sent` set if the call may have run.
    """
    body = msgspec.json.encode(
        {'id': dispatch, 'key': req.key, 'prompt': req.prompt}
    )
    with http.exchange(url, '/call', body, timeout_s, ANSWER_LIMITS) as resp:
        return decoding.decode_json(resp.read(), _Answer).answer
