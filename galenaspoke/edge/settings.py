"""The settings of the edge router, whatever file they came from."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class EdgeSettings:
    """One edge router's settings.

    Addresses are IP:PORT.  `grace_ms` is how long this process has to stop.
    All routers together may send `retry_ratio` times the requests of
    `retry_window_ms`, plus `retry_slack`, once more.  Budgets are spread over
    `ledger_pages` objects of the store, of which only those in use exist; the
    figure can't be changed while any is in use.  Routers lend money to each
    other at `peer_listen`, or don't if it's empty.
    """

    name: str
    domain: str
    listen: str
    ready_listen: str
    store: str
    grace_ms: int
    retry_ratio: float
    retry_window_ms: int
    retry_slack: int
    ledger_pages: int = 4096
    peer_listen: str = ''


def split_address(address):
    """Return the host and the port number of IP:PORT."""
    host, _, port = address.rpartition(':')
    return host, int(port)
