"""Which software versions the targets of each service had, and when.

Example::

    history = VersionHistory()
    history.begin(1000)
    history.add('pool', 'v1')
    history.add('pool', 'v2')
    history.remove('pool', 'v1', now=5000)
    history.list_since('pool', 4000)     # {'v1', 'v2'}
    history.list_since('pool', 6000)     # {'v2'}
    history.list_since('pool', 0)        # None: it isn't known
"""

import collections


class VersionHistory:
    """Counts the targets of each service and version.

    Times are in ms of the clock.
    """

    __slots__ = ('_known_since', '_counts', '_ended_at')

    def __init__(self):
        # Since when all targets are known, None while they aren't.
        self._known_since = None
        self._counts = collections.Counter()
        # When the last target of a service and version was removed.
        self._ended_at = {}

    def begin(self, now):
        """Record that all targets are known from now on, if they weren't."""
        if self._known_since is None:
            self._known_since = now

    def add(self, service, version):
        """Record that a target is there."""
        self._counts[service, version] += 1

    def remove(self, service, version, now):
        """Record that a target isn't there any more."""
        self._counts[service, version] -= 1
        if not self._counts[service, version]:
            del self._counts[service, version]
            self._ended_at[service, version] = now

    def list_since(self, service, since):
        """Return the versions that a service had at any time from `since` on.

        Returns None if that isn't known.
        """
        if self._known_since is None or self._known_since > since:
            return None
        ended = {
            version
            for (name, version), at in self._ended_at.items()
            if name == service and at >= since
        }
        return self.list_present(service) | ended

    def list_present(self, service):
        """Return the versions that a service has now."""
        return {version for name, version in self._counts if name == service}

    def forget_before(self, at):
        """Forget versions that ended before a time."""
        self._ended_at = {
            key: ended_at
            for key, ended_at in self._ended_at.items()
            if ended_at >= at
        }
