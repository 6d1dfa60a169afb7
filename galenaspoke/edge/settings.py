"""The settings of the edge router, independent of the file format."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class EdgeSettings:
    """The settings of one edge router.

    Addresses are IP:PORT.  `grace_ms` is how long the process may take to shut
    down.  In any `retry_window_ms` all routers together may send as many
    retries for a service as `retry_ratio` times its requests plus
    `retry_slack`.  Budgets are spread over `ledger_pages` objects of the
    store, of which only those in use exist; the number can't be changed while
    any is in use.  At `peer_listen` the router lends prepaid tokens to other
    routers and relays their calls to the store; if it is empty, it does
    neither.  `evacuation_ms` is how soon an evacuation of a failure domain
    must be obeyed, 0 if operators evacuate none.  `memory_mb` is how much
    memory the process may use, 0 if that isn't known; `store_writes_per_s` is
    the same of the write calls that the store takes from all routers.  A
    stream without a length that its target closes is whole if the target lives
    and nothing speaks against it; with `accept_closed_streams` if the target
    lives, with `doubt_closed_streams` only if something shows that it was the
    end.
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
    evacuation_ms: float = 0
    memory_mb: float = 0
    store_writes_per_s: float = 0
    accept_closed_streams: bool = False
    doubt_closed_streams: bool = False


def split_address(address):
    """Split IP:PORT; return the host and the port as a number."""
    host, _, port = address.rpartition(':')
    return host, int(port)
