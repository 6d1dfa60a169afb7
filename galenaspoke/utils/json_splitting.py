r"""Splits JSON documents into their parts without decoding these.

A decoder that fails on any part of a document fails on all of it.  To decode
the other parts all the same, they are told apart here by strings and brackets
alone: how deep a part is nested doesn't matter, nor what its strings and
numbers hold.

Example::

    split_array(b'[1, {"a": "\udcff"}]')      # [b'1', b'{"a": "\\udcff"}']
    split_object(b'{"a": 1, "b": [2, 3]}')    # {'a': b'1', 'b': b'[2, 3]'}
"""

import re

import msgspec

# Values that are nested deeper are skipped bracket by bracket.
MAX_NESTING = 40

_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'


def _make_shallow_pattern(nesting):
    """Return a pattern of arrays and objects that are nested so deeply."""
    pattern = rb'(?!)'
    for _ in range(nesting):
        pattern = rb'[\[{](?:[^"\[\]{}]++|%s|%s)*+[\]}]' % (_STRING, pattern)
    return pattern


_SHALLOW = _make_shallow_pattern(MAX_NESTING)
_SHALLOW_DOCUMENT = re.compile(
    rb'(?:[^"\[\]{}]++|%s|%s)*+' % (_STRING, _SHALLOW), re.DOTALL
)
# What ends a value or a key, or begins one that is nested deeply.
_TOKEN = re.compile(
    rb'(?:[^"\[\]{},:]++|%s|%s)*+([\[{,:]|\Z)' % (_STRING, _SHALLOW), re.DOTALL
)
# Runs of equal brackets are one token, which makes deep nesting cheap.
_BRACKETS = re.compile(
    rb'(?:[^"\[\]{}]++|%s)*+(\[+|\{+|\]+|\}+)' % _STRING, re.DOTALL
)
_COLON = b':'
_OPENING = (b'[', b'{')


class NotSplittable(ValueError):
    """The data isn't an object or an array, or its brackets don't match."""


def split_array(data):
    """Return the elements of a JSON array, as bytes.

    Raises NotSplittable.
    """
    return [part for _, part in _split(data, b'[', b']')]


def split_object(data):
    """Return the values of a JSON object by their keys, as bytes.

    Members whose keys can't be decoded are left out.  Raises NotSplittable.
    """
    members = {}
    for raw_key, value in _split(data, b'{', b'}'):
        try:
            members[msgspec.json.decode(raw_key, type=str)] = value
        except msgspec.DecodeError:
            continue
    return members


def is_shallow(data):
    """Return whether a document is nested at most MAX_NESTING deep.

    If it isn't JSON it may be neither.
    """
    return _SHALLOW_DOCUMENT.fullmatch(bytes(data)) is not None


def _split(data, opening, closing):
    """Return pairs of a member's key, b'' in an array, and its value."""
    data = bytes(data).strip()
    if data[:1] != opening or data[-1:] != closing or len(data) < 2:
        raise NotSplittable(f'not enclosed in {opening} and {closing}')
    end = len(data) - 1
    parts = []
    key = b''
    begin = position = 1
    while True:
        token = _TOKEN.match(data, position, end)
        if position > end or token is None:
            raise NotSplittable('strings or brackets do not match')
        delimiter, position = token[1], token.end()
        if delimiter in _OPENING:
            position = _skip_brackets(data, token.start(1))
        elif delimiter == _COLON:
            key = data[begin : token.start(1)].strip()
            begin = position
        else:
            parts.append((key, data[begin : token.start(1)].strip()))
            key = b''
            begin = position
        if not delimiter:
            break
    is_empty = parts == [(b'', b'')]
    return [] if is_empty else parts


def _skip_brackets(data, begin):
    """Return where the brackets that open at `begin` are closed."""
    depth = 0
    position = begin
    while token := _BRACKETS.match(data, position):
        position = token.end()
        if token[1][:1] in _OPENING:
            depth += len(token[1])
            continue
        depth -= len(token[1])
        if depth <= 0:
            # The last ones of the run may close what encloses these.
            return position + depth
    raise NotSplittable('strings or brackets do not match')
