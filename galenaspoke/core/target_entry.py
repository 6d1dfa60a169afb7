"""What is published about one target.

Example::

    entry = TargetEntry('i-7f', 1, '10.0.0.9', 8080, 'desk', 'a', 6, False)
    entry.identity()    # ('i-7f', 1)
"""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class TargetEntry:
    """One target as it entered itself; `born` is 0 where it doesn't say.

    The same id with another `born` is another incarnation, which knows
    nothing of what the one before was sent.
    """

    id: str
    born: int
    host: str
    port: int
    service: str
    domain: str
    slots: int
    leaving: bool

    def identity(self):
        """Return what tells one incarnation from all others."""
        return self.id, self.born
