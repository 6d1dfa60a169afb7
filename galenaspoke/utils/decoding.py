"""Decodes what other processes have written.

Bytes of another process may be anything.  The decoders raise `Unreadable`
whatever is wrong with them, so that a caller has one error to handle: also if
values are nested so deeply that msgspec gives up with a RecursionError, which
isn't a DecodeError.

When that happens depends on the caller's stack.  So values that are nested
more than `json_splitting.MAX_NESTING` deep count as unreadable where the
result must be the same in all processes, see `decode_shallow_json`.

Example::

    decode_json(b'{"Slots": 6}')                     # {'Slots': 6}
    decode_json(b'"\\udcff"')                        # raises Unreadable
"""

import typing

import msgspec

from galenaspoke.utils import json_splitting

# Numbers beyond these belong to no field that anyone writes on purpose.
MAX_INT32 = 2**31 - 1
MAX_INT64 = 2**63 - 1


class Unreadable(ValueError):
    """Bytes can't be decoded, or not to the type that is expected."""


def decode_json(data, type_=typing.Any):
    """Return the value of a JSON document; raise Unreadable."""
    return _decode(msgspec.json.decode, data, type_)


def decode_shallow_json(data):
    """Return the value of a JSON document that isn't nested deeply.

    Raises Unreadable.
    """
    if not json_splitting.is_shallow(data):
        raise Unreadable(f'nested more than {json_splitting.MAX_NESTING} deep')
    return decode_json(data)


def decode_msgpack(data, type_=typing.Any):
    """Return the value of a MessagePack document; raise Unreadable."""
    return _decode(msgspec.msgpack.decode, data, type_)


def _decode(decode, data, type_):
    try:
        return decode(data, type=type_)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise Unreadable(str(exc)) from exc


def is_whole_number(value, maximum=MAX_INT64):
    """Return whether a decoded value is an int from 0 to `maximum`."""
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    return is_integer and 0 <= value <= maximum


def is_number(value, maximum):
    """Return whether a decoded value is a number from 0 to `maximum`."""
    is_float = isinstance(value, float)
    return (is_float or is_whole_number(value)) and 0 <= value <= maximum
