"""What the kernel knows of a TCP connection.

Example::

    info = read(sock)
    info.data_age_ms     # 12: the peer's last data came 12 ms ago
"""

import dataclasses
import socket
import struct

# The first fields of the kernel's structure: eight of a byte, words, four of
# two words, and words.
_FORMAT = struct.Struct('=8B24I4Q3I')
# An older kernel gives no more than these.
_MIN_BYTES = 56
_STATE = 0
_RETRANSMITS = 2
_PROBES = 3
_UNACKNOWLEDGED = 12
_LAST_DATA_RECEIVED = 19
_LAST_ACKNOWLEDGEMENT_RECEIVED = 20
_UNSENT = 38
# Neither side has closed or reset the connection.
_ESTABLISHED = 1


@dataclasses.dataclass(slots=True, frozen=True)
class TcpInfo:
    """The state of a connection.

    `is_closed_by_peer` holds as soon as the kernel has heard of it, also of a
    reset, and for good, unless this side closes it.  `data_age_ms` is how long
    ago the peer's last data came, read or not, `acknowledgement_age_ms` its
    last packet of any kind.  `unanswered` counts the retransmissions and
    probes since it last answered one, `unacknowledged_packets` what is under
    way, and `unsent_bytes` what waits for room in the peer's window; 0 if the
    kernel doesn't tell.
    """

    is_closed_by_peer: bool
    data_age_ms: int
    acknowledgement_age_ms: int
    unanswered: int
    unacknowledged_packets: int
    unsent_bytes: int


def read(sock):
    """Return the TcpInfo of a socket, None if it has none."""
    try:
        raw = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _FORMAT.size
        )
    except OSError:
        return None
    if len(raw) < _MIN_BYTES:
        return None
    fields = _FORMAT.unpack(raw.ljust(_FORMAT.size, b'\0'))
    return TcpInfo(
        is_closed_by_peer=fields[_STATE] != _ESTABLISHED,
        data_age_ms=fields[_LAST_DATA_RECEIVED],
        acknowledgement_age_ms=fields[_LAST_ACKNOWLEDGEMENT_RECEIVED],
        unanswered=fields[_RETRANSMITS] + fields[_PROBES],
        unacknowledged_packets=fields[_UNACKNOWLEDGED],
        unsent_bytes=fields[_UNSENT],
    )
