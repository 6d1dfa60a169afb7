"""Decodes the entries that targets write about themselves.

An entry that is incomplete, or in which any value has a wrong type or is out
of range, is taken to come from another writer and describes no target.
"""

import re

from galenaspoke.core import target_entry
from galenaspoke.utils import addresses
from galenaspoke.utils import decoding

KIND = 'servers'
# No target is cold for longer.
MAX_COLD_LEFT_MS = 86_400_000

# A target's id is sent to it in a header.
_ID = re.compile(r'[!-~]+')
_LEAVING_BY_STATE = {'ready': False, 'draining': True}


def decode(name, value, services):
    """Return the TargetEntry of the object `name`.

    Returns None if it is invalid or its service is not in `services`, which
    holds the names of the configured services.  The result depends on nothing
    else, so that all routers have the same entries.
    """
    try:
        spec = decoding.decode_shallow_json(value)
    except decoding.Unreadable:
        return None
    if not isinstance(spec, dict) or not _ID.fullmatch(name):
        return None
    address = addresses.parse(_get_text(spec, 'Addr'))
    if address is None:
        return None
    if _get_text(spec, 'Service') not in services:
        return None
    if _get_text(spec, 'State') not in _LEAVING_BY_STATE or not _get_text(
        spec, 'Zone'
    ):
        return None
    if not _has_valid_numbers(spec):
        return None
    if not isinstance(spec.get('Version', ''), str):
        return None
    return target_entry.TargetEntry(
        id=name,
        born=spec.get('born', 0),
        host=address[0],
        port=address[1],
        service=spec['Service'],
        domain=spec['Zone'],
        slots=spec['Slots'],
        leaving=_LEAVING_BY_STATE[spec['State']],
        version=spec.get('Version', ''),
        cold_left_ms=spec.get('ColdLeftMs', 0),
    )


def _get_text(spec, field):
    value = spec.get(field)
    return value if isinstance(value, str) else ''


def _has_valid_numbers(spec):
    return (
        decoding.is_whole_number(spec.get('Slots'), decoding.MAX_INT32)
        and decoding.is_whole_number(spec.get('Seq'))
        and decoding.is_whole_number(spec.get('born', 0))
        and decoding.is_number(spec.get('ColdLeftMs', 0), MAX_COLD_LEFT_MS)
    )
