"""An in-memory store that can inject faults, and an account of buffers."""

from unittest import mock

import msgspec

from galenaspoke.http import buffers
from galenaspoke.store import client as store_client


class FakeStore:
    """Stores versioned objects like the platform's object API.

    `faults` lists the faults of the next writes: None (no fault), 'lost' (the
    write takes effect, its response is lost), 'dropped' (the write has no
    effect, its response is lost), 'late' (the write takes effect just before
    the next write) or 'down' (the store is unavailable).  `late` holds the
    write that was delayed by the fault of that name.  While `down` is true,
    every operation except `delete` fails.  It does not state its era.
    """

    era = 0
    has_eras = False
    confirmed_at = None

    def __init__(self):
        self.objects = {}
        self.revision = 0
        self.faults = []
        self.writes = 0
        self.down = False
        self.late = None

    def scope(self, kind, era=None):
        """Return a kind's name, which is the same in all eras."""
        return kind

    def add_era_listener(self, listener):
        """Ignore a listener: the era never changes."""

    def get(self, key):
        """Return the Item at `key`, with version 0 if there is none."""
        if self.down:
            raise store_client.StoreUnavailable('down')
        version, value = self.objects.get(key, (0, b''))
        return store_client.Item(key, version, msgspec.Raw(value))

    def list(self, prefix, stale=False):
        """Return the Listing of all items under `prefix`."""
        if self.down:
            raise store_client.StoreUnavailable('down')
        items = [self.get(k) for k in self.objects if k.startswith(prefix)]
        return store_client.Listing(self.revision, items, self.era)

    def put(self, key, version, value):
        """Write if `version` is current; return the new revision."""
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
        """Delete if `version` is current."""
        if self.objects.get(key, (0, b''))[0] != version:
            raise store_client.Conflict(key)
        self.objects.pop(key, None)


def use_own_account(test_case, limit_bytes=buffers.DEFAULT_LIMIT_BYTES):
    """Replace the process's account while a test runs; return its account.

    Fakes of other tests leave connections open, which count in the process's.
    """
    account = buffers.BufferAccount(limit_bytes)
    patcher = mock.patch.object(buffers, 'process_account', account)
    patcher.start()
    test_case.addCleanup(patcher.stop)
    return account
