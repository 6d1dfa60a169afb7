"""The tenants of a soak, whose keys and prepaid tokens change as it goes on.

Example::

    tenants = Tenants(profile.tenants)
    tenants.top_up(tenant, 0.5)    # half of what it had at first
    documents = tenants.begin_version()    # from now on they hold
    tenants.get_prepaid('t0', time.time())
"""

import copy
import time

from standins import platform_documents


class Version:
    """The tenants of a configuration and when it was published."""

    __slots__ = ('at', 'prepaid')

    def __init__(self, at, prepaid):
        self.at = at
        self.prepaid = prepaid


class Tenants:
    """Tenants as they are now, and what each version allowed them.

    `revoked` has the keys that a version took away.
    """

    __slots__ = ('all', 'revoked', '_first', '_known_since', '_versions')

    def __init__(self, tenants):
        self.all = [copy.deepcopy(tenant) for tenant in tenants]
        self.revoked = set()
        # What tenants may consume at first, by name.
        self._first = {tenant.name: tenant.prepaid for tenant in tenants}
        # When a configuration first had a key.
        self._known_since = {}
        self._versions = []

    def begin_version(self):
        """Return the tenants of a configuration that is published now."""
        now = time.time()
        prepaid = {tenant.name: tenant.prepaid for tenant in self.all}
        self._versions.append(Version(now, prepaid))
        for tenant in self.all:
            for key in tenant.keys:
                self._known_since.setdefault(key, now)
        return self.all

    def top_up(self, tenant, share):
        """Give a tenant a share of what it had at first, once more.

        It holds from the next version on.
        """
        tenant.prepaid += round(share * self._first[tenant.name])

    def list_scarce(self):
        """Return the tenants that could consume the least at first."""
        limited = [t for t in self.all if t.prepaid is not None]
        least = min((self._first[t.name] for t in limited), default=0)
        return [t for t in limited if self._first[t.name] == least]

    def revoke(self, tenant):
        """Replace the oldest key of a tenant, from the next version on."""
        self.revoked.add(tenant.keys.pop(0))
        tenant.keys.append(f'key-{tenant.name}-{len(self.revoked)}')

    def is_in_force(self, key, at):
        """Return whether routers have to know a key at a time."""
        known_since = self._known_since.get(key)
        if known_since is None or key in self.revoked:
            return False
        return at - known_since > platform_documents.CONFIG_APPLY_MS / 1000

    def get_prepaid(self, name, at):
        """Return what a tenant might consume until a time, None if no end.

        It never falls, so the newest version until then holds.
        """
        prepaid = 0
        for version in self._versions:
            if version.at <= at:
                prepaid = version.prepaid[name]
        return prepaid
