"""Addresses that other processes state, as IP:PORT.

Example::

    parse('10.1.0.40:7340')      # ('10.1.0.40', 7340)
    parse('10.1.0.040:7340')     # None: some read that as octal
"""

import re

_OCTET = r'(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])'
_ADDRESS = re.compile(rf'({_OCTET}(?:\.{_OCTET}){{3}}):([1-9][0-9]{{0,4}})')
_MAX_PORT = 65_535


def parse(address):
    """Return the host and the port of an IPv4 address, None if invalid."""
    match = _ADDRESS.fullmatch(address)
    if match is None or int(match[2]) > _MAX_PORT:
        return None
    return match[1], int(match[2])
