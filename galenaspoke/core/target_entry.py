"""The store entry of one target instance.

Example::

    entry = TargetEntry('i-7f', 1, '10.0.0.9', 8080, 'desk', 'a', 6, False)
    entry.identity()    # ('i-7f', 1)
"""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class TargetEntry:
    """The registration that a target published for itself.

    `born` identifies the incarnation and is 0 if the target doesn't state it.
    The same id with another `born` is another incarnation, which has no
    knowledge of the requests sent to the previous one.  `version` is that of
    its software, empty if the target doesn't state it.  `cold_left_ms` is for
    how much longer it was slow after its start when it wrote the entry.
    """

    id: str
    born: int
    host: str
    port: int
    service: str
    domain: str
    slots: int
    leaving: bool
    version: str = ''
    cold_left_ms: float = dataclasses.field(default=0, compare=False)

    def identity(self):
        """Return a tuple that is unique to this incarnation."""
        return self.id, self.born
