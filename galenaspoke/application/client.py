"""Client of an application service: one call, one answer."""

import msgspec

from galenaspoke.utils import http


class _Answer(msgspec.Struct):
    answer: str


_ANSWER = msgspec.json.Decoder(_Answer)


def call(url, req, dispatch, timeout_s):
    """Return the answer.

    Raises TargetFailed, with `sent` set if the call may have run.
    """
    body = msgspec.json.encode(
        {'id': dispatch, 'key': req.key, 'prompt': req.prompt}
    )
    with http.exchange(url, '/call', body, timeout_s) as resp:
        return _ANSWER.decode(bytes(resp.read())).answer
