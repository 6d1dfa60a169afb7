"""Reports: what a target says of itself when it is asked.

Model engines state when they started, and some what they work on.  Other
targets refuse the request, since it has no id.
"""

from typing import Annotated
from typing import Any

import msgspec

from galenaspoke.edge import metadata
from galenaspoke.http import messages

_REQUEST_LINE = b'GET /report HTTP/1.1'
# The host of all requests for reports; targets don't look at it.
_HOST = (b'Host', b'target')
_OK = 200
_MISDIRECTED_STATUS = 421
# The statuses with which a target responds that has no reports.
_UNSUPPORTED_STATUSES = (400, 404, 405)
# The statuses with which a gateway says that it got no response.
_GATEWAY_STATUSES = (502, 504)
# The state of a target that leaves.
_LEAVING = 'draining'
# Headers that only responses to callers' requests carry.
_CALLER_HEADERS = (b'x-request-id', b'x-response-stamp')


class _Report(msgspec.Struct):
    # When the target started, in ms since 1970.
    born: Annotated[int, msgspec.Meta(ge=0)] = 0
    # What it works on: a list for each request, which begins with its id.
    Runs: Any = ()
    # Whether it is ready, and in how many ms it leaves if it is known to.
    State: Any = None
    leaves_ms: Any = None


_decoder = msgspec.json.Decoder(_Report)


def encode_request(target_id=''):
    """Return the request for a report.

    Any other target than `target_id` refuses it, if there is one.
    """
    fields = [_HOST]
    if target_id:
        fields.append((b'X-Expect-Instance', target_id.encode()))
    return messages.encode_head(_REQUEST_LINE, fields)


def is_report(response):
    """Return whether a response may be one to a request for a report."""
    return not any(name in _CALLER_HEADERS for name, _ in response.headers)


def decode_born(status, body):
    """Return the `born` that a target reports, 0 if it states none.

    Raises ValueError if the response can't be read.
    """
    if status in _UNSUPPORTED_STATUSES:
        return 0
    return _decode(status, body).born


def decode(status, body):
    """Return the TargetReport in a response, whatever that is."""
    if status == _MISDIRECTED_STATUS:
        return metadata.TargetReport(is_misdirected=True)
    if status in _UNSUPPORTED_STATUSES:
        return metadata.TargetReport()
    if status in _GATEWAY_STATUSES:
        return metadata.TargetReport(is_readable=False, is_relayed=True)
    try:
        report = _decode(status, body)
    except ValueError:
        return metadata.TargetReport(is_readable=False)
    return metadata.TargetReport(
        report.born,
        _list_run_ids(report.Runs),
        is_leaving=_is_leaving(report),
    )


def _decode(status, body):
    if status != _OK:
        raise ValueError(f'status {status}')
    try:
        return _decoder.decode(bytes(body))
    except (msgspec.DecodeError, RecursionError) as exc:
        raise ValueError(str(exc)) from exc


def _is_leaving(report):
    """Return whether a report says that its target leaves."""
    if isinstance(report.State, str):
        return report.State == _LEAVING
    return isinstance(report.leaves_ms, int | float)


def _list_run_ids(runs):
    """Return the ids in a list of runs, without what is no id."""
    if not isinstance(runs, list):
        return ()
    firsts = [run[0] for run in runs if isinstance(run, list) and run]
    return tuple(first for first in firsts if isinstance(first, str))
