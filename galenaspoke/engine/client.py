"""Calls to a model engine: generate, cancel, load, orders.

An answer is a stream of lines, each `{"piece": TEXT}`, ended by
`{"done": COUNT}`; a stream without that end is no answer.
"""

import msgspec

from galenaspoke.utils import http


class _Line(msgspec.Struct):
    piece: str | None = None
    done: int | None = None


class Load(msgspec.Struct):
    """What a target reports of itself; it lags."""

    running: int
    waiting: int


_LINE = msgspec.json.Decoder(_Line)
_LOAD = msgspec.json.Decoder(Load)


def generate(url, req, run_id, limit, resume, idle_s):
    """Yield the pieces after those of `resume`, at most `limit` in all.

    Raises TargetFailed when the engine breaks off or is silent for `idle_s`
    seconds.
    """
    body = msgspec.json.encode(
        {
            'id': run_id,
            'key': req.key,
            'budget': req.budget,
            'prompt': req.prompt,
            'max_tokens': limit,
            'priority': req.priority,
            'resume': resume,
        }
    )
    with http.exchange(url, '/generate', body, idle_s) as resp:
        while True:
            line = resp.readline(b'\n')
            if not line:
                raise http.TargetFailed('the stream has no end', True)
            item = _LINE.decode(line)
            if item.done is not None:
                return
            yield item.piece


def cancel(url, run_id):
    """Stop generating; does nothing when the engine has gone."""
    body = msgspec.json.encode({'id': run_id})
    try:
        with http.exchange(url, '/cancel', body):
            pass
    except http.TargetFailed:
        pass


def load(url):
    """Return the Load of any target; raises TargetFailed."""
    with http.exchange(url, '/load', timeout_s=1.0) as resp:
        return _LOAD.decode(bytes(resp.read()))


def give_order(url, order):
    """Tell the engine what to run; raises TargetFailed if it refuses."""
    with http.exchange(url, '/orders', msgspec.json.encode(order)):
        pass
