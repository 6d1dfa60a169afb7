"""Translates what targets write about themselves into `TargetEntry`.

An entry that isn't whole, or is of a wrong type anywhere, comes from another
writer: it names no target.
"""

import re

import msgspec

from galenaspoke.core import target_entry

KIND = 'servers'

_ADDRESS = re.compile(r'(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})\Z')
_STATES = {'ready': False, 'draining': True}
_MAX_PORT = 65_535


def decode(name, value, services):
    """Return the TargetEntry of object `name`, or None if it names none.

    `services` holds the names that the configuration knows.
    """
    try:
        spec = msgspec.json.decode(value)
    except msgspec.DecodeError:
        return None
    if not isinstance(spec, dict):
        return None
    match = _text(spec, 'Addr') and _ADDRESS.match(spec['Addr'])
    if not match or not 0 < int(match[2]) <= _MAX_PORT:
        return None
    if any(int(part) > 255 for part in match[1].split('.')):
        return None
    if _text(spec, 'Service') not in services:
        return None
    if _text(spec, 'State') not in _STATES or not _text(spec, 'Zone'):
        return None
    if not _whole(spec.get('Slots')) or not _whole(spec.get('Seq')):
        return None
    if not _number(spec.get('ColdLeftMs', 0)):
        return None
    if not isinstance(spec.get('Version', ''), str):
        return None
    born = spec.get('born', 0)
    if not _whole(born):
        return None
    return target_entry.TargetEntry(
        id=name,
        born=born,
        host=match[1],
        port=int(match[2]),
        service=spec['Service'],
        domain=spec['Zone'],
        slots=spec['Slots'],
        leaving=_STATES[spec['State']],
    )


def _text(spec, field):
    value = spec.get(field)
    return value if isinstance(value, str) else ''


def _whole(value):
    plain = isinstance(value, int) and not isinstance(value, bool)
    return plain and value >= 0


def _number(value):
    plain = isinstance(value, int | float) and not isinstance(value, bool)
    return plain and value >= 0
