"""A bound on the bytes that a process holds for all its peers together.

Each connection has a share of the account and states how much it holds.  Once
the sum exceeds the limit, the owner whose shares hold most loses its largest
one, so peers that hold little aren't harmed.

Example::

    account = BufferAccount(limit_bytes=1000)
    share = account.open('i-7f3a', on_cut=conn.close)
    share.resize(600)
    share.close()
"""

import collections

DEFAULT_LIMIT_BYTES = 33_554_432
# What is left of a process's memory is for its code, its state, copies of what
# it holds, and the kernel's buffers.
MEMORY_SHARE = 0.25
# While more than this share of the limit is held, what can wait isn't read.
ROOM_SHARE = 0.5


class Share:
    """What one connection holds.

    `is_cut` is set once it was taken away.  It counts for nothing then.
    """

    __slots__ = (
        'owner',
        'held_bytes',
        'is_cut',
        '_is_closed',
        '_account',
        '_on_cut',
    )

    def __init__(self, account, owner, on_cut):
        self.owner = owner
        self.held_bytes = 0
        self.is_cut = False
        self._is_closed = False
        self._account = account
        self._on_cut = on_cut

    def resize(self, held_bytes):
        """State how many bytes the connection holds now."""
        if self._is_closed or held_bytes == self.held_bytes:
            return
        difference = held_bytes - self.held_bytes
        self.held_bytes = held_bytes
        self._account.record(self, difference)

    def close(self):
        """End the share; it counts for nothing from now on."""
        self.resize(0)
        self._is_closed = True

    def cut(self):
        """Take the share away and tell its connection."""
        self.close()
        self.is_cut = True
        self._on_cut()


class BufferAccount:
    """The shares of all connections of a process.

    `held_bytes` is their sum, `cut_count` how many were taken away.
    """

    __slots__ = ('limit_bytes', 'held_bytes', 'cut_count', '_shares')

    def __init__(self, limit_bytes=DEFAULT_LIMIT_BYTES):
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.cut_count = 0
        # Those that hold anything, so that others are forgotten with their
        # connections.
        self._shares = set()

    def open(self, owner, on_cut):
        """Return a new Share.

        `owner` is a hashable name that all connections to one peer have in
        common.  `on_cut` is called, from whatever greenlet holds more, when
        the share is taken away; it must not switch greenlets.
        """
        return Share(self, owner, on_cut)

    def has_room(self):
        """Return whether to read what could wait in the kernel as well."""
        return self.held_bytes < ROOM_SHARE * self.limit_bytes

    def record(self, share, difference):
        """Record that a share has changed; cut some if the sum is too much."""
        self.held_bytes += difference
        if share.held_bytes:
            self._shares.add(share)
        else:
            self._shares.discard(share)
        self.enforce()

    def enforce(self):
        """Cut shares until the rest is within the limit."""
        while self.held_bytes > self.limit_bytes:
            share = self._find_largest()
            self.cut_count += 1
            share.cut()

    def _find_largest(self):
        """Return the largest share of the owner that holds most."""
        held = collections.Counter()
        for share in self._shares:
            held[share.owner] += share.held_bytes
        owner = max(held, key=held.get)
        return max(
            (share for share in self._shares if share.owner == owner),
            key=lambda share: share.held_bytes,
        )


def compute_limit_bytes(memory_mb):
    """Return the limit for a process with `memory_mb`, 0 if unknown."""
    if not memory_mb:
        return DEFAULT_LIMIT_BYTES
    return int(memory_mb * 1_000_000 * MEMORY_SHARE)


# The account of this process; its main module sets the limit.
process_account = BufferAccount()
