"""Client of a model engine: generate, cancel, load, orders.

An answer is a stream of lines, each `{"piece": TEXT}`, terminated by
`{"done": COUNT}`.  A stream without the terminator is incomplete.
"""

import msgspec

from galenaspoke.utils import bounded_http
from galenaspoke.utils import decoding
from galenaspoke.utils import http

# A line and, on average, the lines of a stream: a token and its JSON.
LINE_BYTES = 16_384
MEAN_LINE_BYTES = 1024
STATUS_LIMITS = bounded_http.Limits(body_bytes=16_384)


class _Line(msgspec.Struct):
    piece: str | None = None
    done: int | None = None


class Load(msgspec.Struct):
    """The load that a target reports, with some delay."""

    running: int
    waiting: int


def generate(url, req, dispatch, limit, resume, timeout_s):
    """Yield the pieces that follow those in `resume`.

    The answer has at most `limit` pieces, including those in `resume`.  Raises
    TargetFailed when the stream breaks, has more pieces, or takes longer than
    `timeout_s` seconds.
    """
    body = msgspec.json.encode(
        {
            'id': dispatch,
            'key': req.key,
            'budget': req.budget,
            'prompt': req.prompt,
            'max_tokens': limit,
            'priority': req.priority,
            'resume': resume,
        }
    )
    missing = limit - len(resume)
    limits = bounded_http.Limits(
        body_bytes=LINE_BYTES + missing * MEAN_LINE_BYTES,
        line_bytes=LINE_BYTES,
    )
    with http.exchange(url, '/generate', body, timeout_s, limits) as resp:
        for _ in range(missing):
            line = _read_line(resp)
            if line.done is not None:
                return
            yield line.piece
        if _read_line(resp).done is None:
            raise http.TargetFailed(f'more than {limit} pieces', True)


def _read_line(resp):
    """Return the next _Line of a stream, a piece or its end."""
    data = resp.read_line()
    if not data:
        raise http.TargetFailed(
            'the stream ended before its {"done": COUNT} line', True
        )
    line = decoding.decode_json(data, _Line)
    if line.piece is None and line.done is None:
        raise http.TargetFailed('a line without a piece', True)
    return line


def cancel(url, dispatch):
    """Cancel a run; do nothing if the call fails."""
    body = msgspec.json.encode({'id': dispatch})
    try:
        with http.exchange(url, '/cancel', body, limits=STATUS_LIMITS):
            pass
    except http.TargetFailed:
        pass


def get_load(url):
    """Return the Load of a target of any kind; raises TargetFailed."""
    with http.exchange(
        url, '/load', timeout_s=1.0, limits=STATUS_LIMITS
    ) as resp:
        return decoding.decode_json(resp.read(), Load)


def send_order(url, order):
    """Send the engine an order; raises TargetFailed if the call fails."""
    body = msgspec.json.encode(order)
    with http.exchange(url, '/orders', body, limits=STATUS_LIMITS):
        pass
