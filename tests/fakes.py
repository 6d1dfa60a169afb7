"""A store in memory, with the faults that a test asks for."""

import msgspec

from galenaspoke.store import client as store_client


class FakeStore:
    """Keeps objects as the platform's object API does.

    `faults` is a list of what the next writes do: None (nothing special),
    'lost' (takes effect, the answer is lost), 'dropped' (doesn't take effect,
    the answer is lost), 'late' (takes effect just before the next write) or
    'down'.
    """

    def __init__(self):
        self.objects = {}
        self.revision = 0
        self.faults = []
        self.writes = 0
        self.down = False
        self.late = None

    def get(self, key):
        """Return the item at a key."""
        if self.down:
            raise store_client.StoreUnavailable('down')
        version, value = self.objects.get(key, (0, b''))
        return store_client.Item(key, version, msgspec.Raw(value))

    def list(self, prefix, stale=False):
        """Return all items under a prefix."""
        if self.down:
            raise store_client.StoreUnavailable('down')
        items = [self.get(k) for k in self.objects if k.startswith(prefix)]
        return store_client.Listing(self.revision, items)

    def put(self, key, version, value):
        """Write if the version stands."""
        fault = self.faults.pop(0) if self.faults else None
        if self.down or fault == 'down':
            raise store_client.StoreUnavailable('down')
        if fault == 'late':
            self.late = (key, version, value)
            raise store_client.OutcomeUnknown('late')
        if self.late:
            late, self.late = self.late, None
            self.put(*late)
        if fault == 'dropped':
            raise store_client.OutcomeUnknown('dropped')
        if self.objects.get(key, (0, b''))[0] != version:
            raise store_client.Conflict(key)
        self.revision += 1
        self.writes += 1
        self.objects[key] = (self.revision, bytes(value))
        if fault == 'lost':
            raise store_client.OutcomeUnknown('lost')
        return self.revision

    def delete(self, key, version):
        """Remove if the version stands."""
        if self.objects.get(key, (0, b''))[0] != version:
            raise store_client.Conflict(key)
        self.objects.pop(key, None)
