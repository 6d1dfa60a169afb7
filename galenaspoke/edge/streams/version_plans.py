"""Plans that divide the new streams of a service among software versions.

While a service has several versions, each stream begins at the version that
the plan in force names for its key.  The key is made of what a caller repeats
when it resumes the stream, and the latest plans are in the store.  So a router
that remembers nothing can tell at which version a stream began, unless the
plans by which it may have begun disagree about its key.  No clock tells which
these are: they are all that the store still has, see `service_versions`.

Example::

    plan = Plan({'v1': 12, 'v2': 4}, since_ms=1000)
    choose_version(plan, 'pool|5c1e')     # 'v1', for about 3 keys in 4
    find_certain_version([plan], 'pool|5c1e')     # 'v1'
"""

import hashlib

import msgspec

from galenaspoke.utils import rendezvous

# A plan states shares in units of 1/SHARE_UNITS.  Few units mean that a
# release that replaces many targets changes the plan only so many times.
SHARE_UNITS = 16
_KEY_BYTES = 12


class Plan(msgspec.Struct, frozen=True):
    """The share of each version, in units, and when it was in force.

    Each plan of a service has a higher `number` than the one before.
    `view_revision` is the store's revision at which its author had seen the
    targets.  `since_ms` and `ended_ms` are by the wall clocks of the routers
    that wrote them; `ended_ms` is None as long as any router may still begin
    streams by the plan.  Without shares it stands for plans that were lost,
    by which streams began at any version.
    """

    shares: dict[str, int]
    since_ms: int
    number: int = 0
    view_revision: int = 0
    ended_ms: int | None = None

    def is_lost(self):
        """Return whether it stands for plans that were lost."""
        return not self.shares

    def has_ended(self):
        """Return whether no router begins streams by it any more."""
        return self.ended_ms is not None


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


def find_certain_version(plans, key):
    """Return the version of a stream that began by one of the plans.

    Returns None if two of them disagree.
    """
    if any(plan.is_lost() for plan in plans):
        return None
    versions = {choose_version(plan, key) for plan in plans}
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
