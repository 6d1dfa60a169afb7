"""The other routers, as far as this one knows, and what they agree on.

Routers with the same list choose the same router for a key, or the same few,
without asking each other.

Example::

    routers = RouterList('front-a-1')
    routers.replace({'front-a-1': '', 'front-b-1': '10.2.0.29:7340'})
    routers.get_count()             # 2
    routers.get_home('0017')        # '10.2.0.29:7340'
    routers.get_share('i-7f', 5)    # Share(2, 2, True)
"""

import bisect
import dataclasses

from galenaspoke.edge import rendezvous


@dataclasses.dataclass(slots=True, frozen=True)
class Share:
    """How the routers divide something.

    `part_count` of `router_count` routers have an equal part of it, and
    `has_part` says whether this router is one of them.
    """

    router_count: int
    part_count: int
    has_part: bool


class RouterList:
    """The latest list of routers that was read from the store.

    `name` is that of this router, and `get_era` returns the store's era.
    """

    __slots__ = (
        '_name',
        '_get_era',
        '_count',
        '_addresses',
        '_names',
        '_sharing_names',
        '_ranks',
        '_ring',
        '_settled_era',
    )

    def __init__(self, name, get_era=lambda: 0):
        self._name = name
        self._get_era = get_era
        self._count = 0
        # The addresses of the other routers that have one, by name.
        self._addresses = {}
        # The names of the other routers.
        self._names = set()
        # Those of the last two lists, None before the first.  One list alone
        # may lack routers that register at the time.
        self._sharing_names = None
        # How many of those come before this router, by key: ranking many names
        # takes a while.
        self._ranks = {}
        # Pairs of the position of each other router and its name, in order.
        self._ring = []
        # The era in which the list was read after this router had registered,
        # None if it was read before.
        self._settled_era = None

    def replace(self, addresses, is_stale=False, is_registered=True):
        """Replace the list by a dict of addresses by name.

        An address may be empty.  A list that isn't `is_stale` may be one that
        fills up again in a new era; `is_registered` states that this router
        was in the list before it was read.
        """
        names = set(addresses) - {self._name}
        self._addresses = {
            name: addresses[name] for name in names if addresses[name]
        }
        self._ring = sorted(
            (rendezvous.locate(name), name) for name in self._addresses
        )
        earlier = self._names if is_registered else self._sharing_names
        self._sharing_names = names | (earlier or set())
        self._ranks = {}
        self._names = names
        self._settled_era = self._get_era() if is_registered else None
        count = len(names) + 1
        self._count = count if is_stale else max(count, self._count)

    def get_count(self):
        """Return the number of routers, 0 while it isn't known."""
        return self._count

    def get_home(self, key):
        """Return the address of the router that should own a page.

        All routers with the same list choose the same one.  The address is
        empty if that is this router, or if no router is known.
        """
        names = [*self._addresses, self._name]
        home = rendezvous.choose_name(key, names)
        return '' if home == self._name else self._addresses[home]

    def get_turn(self, key):
        """Return how many routers come before this one to try `key`.

        None while the list isn't known, which is until it was read after this
        router registered: others register at the same time.
        """
        if self._settled_era != self._get_era():
            return None
        return rendezvous.count_preferred(key, self._names, self._name)

    def get_share(self, key, max_count):
        """Return this router's Share of what `key` names.

        At most `max_count` routers have a part; all routers with the same list
        agree on which.  Returns None while the list isn't known.
        """
        if self._sharing_names is None:
            return None
        others = self._sharing_names
        router_count = len(others) + 1
        part_count = min(router_count, max_count)
        rank = self._ranks.get(key)
        if rank is None:
            rank = rendezvous.count_preferred(key, others, self._name)
            self._ranks[key] = rank
        return Share(router_count, part_count, rank < part_count)

    def is_alone(self):
        """Return whether there certainly is no other router.

        That is said of a list that was read after this router had registered.
        """
        return not self._names and self._settled_era == self._get_era()

    def list_certain_holders(self, key, count):
        """Return the other routers that keep `key`, whoever has told them.

        A router tells the `count` first ones but itself.  So those are certain
        that are among the first ones with this router counted; the very first
        of the others always is.
        """
        own = rendezvous.locate(self._name)
        begin = rendezvous.locate(key)
        addresses = self.list_holders(key, count)
        if len(addresses) < count:
            return addresses
        last = rendezvous.locate(self.list_holder_names(key, count)[-1])
        is_holder = _is_between(begin, own, last)
        return addresses[: count - 1] if is_holder else addresses

    def list_holders(self, key, count):
        """Return the addresses of the other routers that keep `key`."""
        names = self.list_holder_names(key, count)
        return [self._addresses[name] for name in names]

    def list_holder_names(self, key, count):
        """Return the names of the other routers that keep `key`.

        They are the next ones on a ring of all names, so that routers whose
        lists differ by a few names choose nearly the same.
        """
        position = (rendezvous.locate(key), '')
        begin = bisect.bisect(self._ring, position)
        ring = self._ring[begin:] + self._ring[:begin]
        return [name for _, name in ring[:count]]


def _is_between(begin, position, end):
    """Return whether a position is met on the ring before `end`."""
    if begin <= end:
        return begin <= position < end
    return position >= begin or position < end
