"""Plans that divide the new streams of a service among software versions.

While a service has several versions, each stream begins at the version that
the plan in force names for its key.  The key is made of what a caller repeats
when it resumes the stream, and the latest plans are in the store.  So a router
that remembers nothing can tell at which version a stream began, unless the
plans that may have been in force then disagree about its key.

Example::

    plan = Plan({'v1': 12, 'v2': 4}, since_ms=1000)
    choose_version(plan, 'pool|5c1e')     # 'v1', for about 3 keys in 4
    find_certain_version([plan], 'pool|5c1e', since_ms=5000)     # 'v1'
"""

import hashlib

import msgspec

from galenaspoke.utils import rendezvous

# A plan states shares in units of 1/SHARE_UNITS.  Few units mean that a
# release that replaces many targets changes the plan only so many times.
SHARE_UNITS = 16
# How much the wall clocks of two routers may differ, also if one of them
# stepped before its router started.
CLOCK_ERROR_MS = 3_000
_KEY_BYTES = 12


class Plan(msgspec.Struct, frozen=True):
    """The share of each version, in units, and when it was in force.

    Each plan of a service has a higher `number` than the one before.
    `view_revision` is the store's revision at which its author had seen the
    targets.  `since_ms` is by the wall clock of the router that wrote it.
    Routers may have begun streams by it until `ended_ms`, which is None as
    long as any router may still do so.
    """

    shares: dict[str, int]
    since_ms: int
    number: int = 0
    view_revision: int = 0
    ended_ms: int | None = None

    def may_apply_since(self, wall_ms):
        """Return whether streams may have begun by it at that time or later.

        The last plan always may.
        """
        return self.ended_ms is None or self.ended_ms >= wall_ms


def compute_shares(counts):
    """Return the shares of versions with so many targets each.

    A version with a very small part of the targets has no share: a single
    target could not serve the least share of a large service.  If all parts
    are that small, the version with most targets has it all.
    """
    total = sum(counts.values())
    shares = {
        version: round(SHARE_UNITS * count / total)
        for version, count in counts.items()
        if count
    }
    shares = {version: units for version, units in shares.items() if units}
    if not shares and total:
        shares[max(counts, key=counts.get)] = SHARE_UNITS
    return shares


def choose_version(plan, key):
    """Return the version at which a stream with this key begins.

    If a version's share changes, only keys that it gains or loses move.
    """
    if len(plan.shares) == 1:
        return next(iter(plan.shares))
    return min(
        (
            (rendezvous.weigh(key, f'|{version}|{unit}'), version)
            for version, units in plan.shares.items()
            for unit in range(units)
        ),
    )[1]


def find_certain_version(plans, key, since_ms):
    """Return the version of a stream that began at `since_ms` or later.

    Returns None if two of the plans by which it may have begun disagree.
    """
    versions = {
        choose_version(plan, key)
        for plan in plans
        if plan.may_apply_since(since_ms)
    }
    return versions.pop() if len(versions) == 1 else None


def make_key(service, metadata, req):
    """Return the key of a stream, from what a caller repeats.

    Streams with a common prompt prefix have the same key, so that each prefix
    is cached at the targets of one version.
    """
    prefix = metadata.affinity_key()
    if prefix:
        return f'{service}|{prefix}'
    digest = hashlib.blake2b(req.url, digest_size=_KEY_BYTES)
    digest.update(req.body)
    return f'{service}|{digest.hexdigest()}'
