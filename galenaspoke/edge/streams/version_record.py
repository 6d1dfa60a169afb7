"""The store's record of the software versions of each service.

A router begins streams that may be resumed only at versions that are in the
record.  So whoever reads it knows every version that may have begun a stream,
no matter how long it has been running and which routers have died.  A version
stays in the record until no stream of it can be resumed any more.  The record
also holds the plans by which streams begin at one of several versions, see
`version_plans`.

Example::

    record = VersionRecord(store, clock)
    record.update('pool', {'v1'}, {'v1': 5})
    record.list_usable('pool')          # {'v1'}
    record.read('pool').appearances     # {'v1': 1}, from the store
"""

import random

import gevent
import msgspec

from galenaspoke.edge.streams import stream_versions
from galenaspoke.edge.streams import version_plans
from galenaspoke.store import base

# The kind of the store objects, one for each service.
KIND = 'softwareversions'
UPDATE_INTERVAL_S = 0.1
# Added for each router, so that they don't all write at the same time.
UPDATE_SPREAD_S = 0.002
# A version without targets is removed after this long.  It is longer than
# streams can be resumed, because others may notice later that it has ended.
KEEP_MS = 2 * stream_versions.MAX_STREAM_AGE_MS
# The removal is put off by up to this share, so that one router does it.
KEEP_SPREAD = 0.5
# How long a request waits for the record.
READ_TIMEOUT_S = 0.4


class ServiceVersions(msgspec.Struct):
    """The record of one service.

    `appearances` counts by version how often it has come back, so that nobody
    removes a version that is there again.  `plans` are in order of time, and
    all that were in force since `complete_since_ms` are there.
    """

    appearances: dict[str, int] = {}
    plans: list[version_plans.Plan] = []
    complete_since_ms: int = 0

    def get_plan(self):
        """Return the plan in force, None if there is none."""
        return self.plans[-1] if self.plans else None

    def add_plan(self, shares, wall_ms):
        """Put a plan in force; return whether it differs from the last one."""
        current = self.get_plan()
        if not shares or (current and current.shares == shares):
            return False
        if current is None:
            # Streams may have begun by plans that are lost.
            self.complete_since_ms = wall_ms
        else:
            # Clocks may differ; the order of the plans must not.
            wall_ms = max(wall_ms, current.since_ms)
        self.plans.append(version_plans.Plan(shares, wall_ms))
        while len(self.plans) > 1 and self._may_remove_first(wall_ms):
            del self.plans[0]
            self.complete_since_ms = self.plans[0].since_ms
        return True

    def _may_remove_first(self, wall_ms):
        age_ms = wall_ms - self.plans[1].since_ms
        is_expired = age_ms > version_plans.PLAN_TTL_MS
        return is_expired or len(self.plans) > version_plans.MAX_PLANS

    def find_version(self, key, since_ms):
        """Return the version of a stream that began at `since_ms` or later.

        Returns None if that isn't certain.
        """
        if since_ms < self.complete_since_ms:
            return None
        return version_plans.find_certain_version(self.plans, key, since_ms)


class VersionRecord:
    """Keeps the record up to date, and reads it.

    Times are in ms of the clock.
    """

    __slots__ = (
        '_store',
        '_clock',
        '_eras',
        '_known',
        '_missing',
        '_plans',
        '_wall_offset_ms',
    )

    def __init__(self, store, clock):
        self._store = store
        self._clock = clock
        # The wall clock may step and the monotonic one stops while the machine
        # is suspended; both together bound the time.
        self._wall_offset_ms = clock.wall() - clock.now()
        # By service the era of the store in which its record was last read.
        self._eras = {}
        # By service what the record says: appearances by version.
        self._known = {}
        # By service the plan in force, by the last read or write.
        self._plans = {}
        # By service and version, of those in the record without targets: when
        # to remove it, and its appearances so far.
        self._missing = {}

    def list_usable(self, service):
        """Return the versions that are in the record and have targets."""
        if not self._is_current(service):
            return set()
        return {
            version
            for version in self._known.get(service, ())
            if (service, version) not in self._missing
        }

    def list_known(self, service):
        """Return the versions in the record when it was last read."""
        return set(self._known.get(service, ()))

    def get_plan(self, service):
        """Return the plan in force as far as known, None if there is none."""
        return self._plans.get(service)

    def find_version(self, versions, key, max_age_ms):
        """Return the version of a stream that is at most so old.

        `versions` is what `read` returned, and `key` that of the stream, see
        `version_plans`.  Returns None if the version isn't certain.
        """
        earliest_ms, _ = self._bound_wall_ms()
        allowance_ms = version_plans.PLAN_LAG_MS + version_plans.CLOCK_ERROR_MS
        return versions.find_version(
            key, earliest_ms - max_age_ms - allowance_ms
        )

    def _bound_wall_ms(self):
        """Return the earliest and the latest time that it may be now."""
        wall_ms = self._clock.wall()
        steady_ms = self._clock.now() + self._wall_offset_ms
        return min(wall_ms, steady_ms), max(wall_ms, steady_ms)

    def dump(self):
        """Return the versions on record and their shares, by service."""
        return {
            service: {
                'known': sorted(known),
                'shares': self._get_shares(service),
            }
            for service, known in self._known.items()
        }

    def _get_shares(self, service):
        """Return the shares of the plan in force, {} if there is none."""
        plan = self._plans.get(service)
        return plan.shares if plan else {}

    def read(self, service):
        """Return the ServiceVersions that the store has now.

        Returns None if the service isn't recorded, or if the store doesn't
        respond within READ_TIMEOUT_S.
        """
        try:
            with gevent.Timeout(READ_TIMEOUT_S):
                item = self._store.get(self._make_key(service))
        except (base.StoreError, base.OutcomeUnknown, gevent.Timeout):
            return None
        versions = base.decode(item, ServiceVersions)
        return versions if versions.appearances else None

    def update(self, service, present, counts=None):
        """Record the versions that a service's targets have now.

        `present` are those of all targets, and `counts` says how many targets
        of each accept requests, None to keep the plan.  Writes only if a
        version has come, come back, or been gone for long, or if another plan
        is due.  Raises the store's errors.
        """
        now = self._clock.now()
        known = self._known.get(service, {})
        is_current = self._is_current(service)
        added = present - set(known) if is_current else present
        returned = {v for v in present if (service, v) in self._missing}
        for version in set(known) - present:
            remove_at = now + KEEP_MS * random.uniform(1, 1 + KEEP_SPREAD)
            self._missing.setdefault(
                (service, version), (remove_at, known[version])
            )
        ended = {
            version
            for (name, version), (remove_at, _) in self._missing.items()
            if name == service and now >= remove_at
        } - returned
        usable = {v: n for v, n in (counts or {}).items() if v in present}
        shares = version_plans.compute_shares(usable)
        is_plan_due = bool(shares) and shares != self._get_shares(service)
        if not added and not returned and not ended and not is_plan_due:
            return
        if not is_current:
            # In a new era of the store the record begins empty.
            added = added | (set(known) - ended)
        self._write(service, added, returned, ended, shares)

    def _write(self, service, added, returned, ended, shares):
        era = None

        def make_key():
            nonlocal era
            era = self._store.era
            return self._make_key(service)

        def change(record):
            before = dict(record.appearances)
            for version in added:
                record.appearances.setdefault(version, 1)
            for version in returned:
                _, seen = self._missing[service, version]
                count = record.appearances.get(version, 0)
                record.appearances[version] = max(count, seen + 1)
            for version in ended:
                _, seen = self._missing[service, version]
                if record.appearances.get(version) == seen:
                    del record.appearances[version]
            # Only a version on record may begin streams.
            known_shares = {
                version: units
                for version, units in shares.items()
                if version in record.appearances
            }
            _, latest_ms = self._bound_wall_ms()
            is_new_plan = record.add_plan(known_shares, latest_ms)
            is_changed = is_new_plan or record.appearances != before
            return True if is_changed else base.UNCHANGED

        _, record = base.update(self._store, make_key, ServiceVersions, change)
        self._eras[service] = era
        self._known[service] = dict(record.appearances)
        self._plans[service] = record.get_plan()
        for version in returned | ended:
            del self._missing[service, version]

    def _is_current(self, service):
        """Return whether the record was read in the present era."""
        return self._eras.get(service) == self._store.era

    def _make_key(self, service):
        return f'{self._store.scope(KIND)}/{service}'


def run_updates(record, list_services, target_view, get_router_count, journal):
    """Keep the record up to date; never returns.

    `list_services()` returns the services whose streams may be resumed, and
    `target_view` is the TargetView.  A router that can't follow the targets
    changes no plan.
    """
    is_failing = False
    logged_plans = {}
    while True:
        spread_s = UPDATE_SPREAD_S * get_router_count()
        gevent.sleep(UPDATE_INTERVAL_S + random.uniform(0, spread_s))
        try:
            for service in list_services():
                record.update(
                    service,
                    target_view.directory.list_versions(service),
                    (
                        None
                        if target_view.is_stale()
                        else target_view.count_versions(service)
                    ),
                )
                plan = record.get_plan(service)
                if plan != logged_plans.get(service):
                    logged_plans[service] = plan
                    _log_plan(journal, service, plan, target_view.watcher)
            is_failing = False
        except (base.StoreError, base.OutcomeUnknown) as exc:
            if not is_failing:
                journal.note('versions.unrecorded', why=str(exc))
            is_failing = True


def _log_plan(journal, service, plan, watcher):
    """Log a plan that this router follows from now on."""
    journal.note(
        'versions.plan',
        service=service,
        shares=plan.shares,
        since_ms=plan.since_ms,
        view_revision=watcher.revision,
        view_confirmed_at=watcher.confirmed_at,
    )
