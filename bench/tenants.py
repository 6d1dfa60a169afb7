"""The tenants of a soak, whose keys and prepaid tokens change as it goes on.

Example::

    tenants = Tenants(profile.tenants)
    tenants.top_up(tenant, 5_000)
    documents = tenants.begin_version()    # from now on they hold
    tenants.get_prepaid('t0', time.time())
"""

import copy
import time

# Up to so many times the least is scarce, too.
SCARCE_TIMES = 10


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

    __slots__ = ('all', 'revoked', '_versions', '_key_count')

    def __init__(self, tenants):
        self.all = [copy.deepcopy(tenant) for tenant in tenants]
        self.revoked = set()
        self._versions = []
        self._key_count = 0

    def begin_version(self):
        """Return the tenants of a configuration that is published now."""
        prepaid = {tenant.name: tenant.prepaid for tenant in self.all}
        self._versions.append(Version(time.time(), prepaid))
        return self.all

    def top_up(self, tenant, tokens):
        """Raise what a tenant may consume, from the next version on."""
        tenant.prepaid += tokens

    def list_scarce(self):
        """Return the tenants that may consume the least."""
        limited = [t for t in self.all if t.prepaid is not None]
        least = min((t.prepaid for t in limited), default=0)
        return [t for t in limited if t.prepaid <= SCARCE_TIMES * least]

    def revoke(self, tenant):
        """Replace the oldest key of a tenant, from the next version on."""
        self._key_count += 1
        self.revoked.add(tenant.keys.pop(0))
        tenant.keys.append(f'key-{tenant.name}-{self._key_count}')

    def get_prepaid(self, name, at):
        """Return what a tenant might consume until a time, None if no end.

        It never falls, so the newest version until then holds.
        """
        prepaid = 0
        for version in self._versions:
            if version.at <= at:
                prepaid = version.prepaid[name]
        return prepaid
