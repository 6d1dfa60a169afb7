"""Kernels that tell less of a connection than the one that runs the tests.

Example::

    kernels.pretend(self, kernels.TELLS_NO_INFO)
"""

import dataclasses
from unittest import mock

from galenaspoke.http import sockets
from galenaspoke.http import tcp_info

# What the kernel that runs the tests tells.
read_all = tcp_info.read


def _read_nothing(sock):
    return None


def _read_without_unsent_bytes(sock):
    """Read as from a kernel before 4.6."""
    info = read_all(sock)
    return info and dataclasses.replace(info, unsent_bytes=0)


def _read_zeros(sock):
    """Read as from a kernel that fills in the state alone."""
    info = read_all(sock)
    return info and dataclasses.replace(
        info,
        data_age_ms=0,
        acknowledgement_age_ms=0,
        unanswered=0,
        unacknowledged_packets=0,
        unsent_bytes=0,
    )


# Pairs of what replaces `tcp_info.read` and whether the bytes that are under
# way are told otherwise; None for what the kernel tells.
TELLS_ALL = (None, True)
TELLS_NO_UNSENT_BYTES = (_read_without_unsent_bytes, True)
TELLS_ZEROS = (_read_zeros, True)
TELLS_NO_INFO = (_read_nothing, True)
TELLS_NOTHING = (_read_nothing, False)
TELLS_ZEROS_ALONE = (_read_zeros, False)


def pretend(case, kernel):
    """Let a test case run on another kernel."""
    read, tells_bytes = kernel
    if read is not None:
        _replace(case, tcp_info, 'read', read)
    if not tells_bytes:
        _replace(case, sockets, 'count_unacknowledged_bytes', _read_nothing)


def pretend_no_probe_limit(case):
    """Let a test case run on a kernel before 6.15."""

    def ignore(sock, pause_ms=0):
        """Do nothing."""

    _replace(case, sockets, 'set_max_probe_pause', ignore)


def _replace(case, module, name, function):
    patcher = mock.patch.object(module, name, function, create=True)
    patcher.start()
    case.addCleanup(patcher.stop)
