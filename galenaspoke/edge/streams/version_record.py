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

from galenaspoke.edge.streams import record_view
from galenaspoke.edge.streams import service_versions
from galenaspoke.edge.streams import stream_versions
from galenaspoke.edge.streams import version_plans
from galenaspoke.store import base

# The kind of the store objects, one for each service.
KIND = 'softwareversions'
# A version without targets is removed after this long.  It is longer than
# streams can be resumed, because others may notice later that it has ended.
KEEP_MS = 2 * stream_versions.MAX_STREAM_AGE_MS
# A router that has known for so long that a plan has ended removes it.  What
# began by it is older, whatever the clocks of others say.
PLAN_KEEP_MS = KEEP_MS
# Removals are put off by up to this share, so that one router does them.
KEEP_SPREAD = 0.5
# How long a request waits for the record.
READ_TIMEOUT_S = 0.4
# For how long a router that doesn't say that it follows the plan in force may
# have begun streams that others know otherwise.
UNHEARD_MS = stream_versions.MAX_STREAM_AGE_MS
# A router reads the record again after this long, to learn that it can.
REREAD_MS = 60_000


class VersionRecord:
    """Keeps the record up to date, and reads it.

    `is_registered()` returns whether this router is in the list of routers.
    Until then it doesn't read the record, because nobody would ask it which
    plan it follows.  `name` is the router's in that list.  Times are in ms of
    the clock.
    """

    __slots__ = (
        '_store',
        '_clock',
        '_is_registered',
        '_name',
        '_views',
        '_missing',
        '_wanted',
        '_own_numbers',
        '_plan_keep_ms',
        '_wall_offset_ms',
    )

    def __init__(self, store, clock, is_registered=lambda: True, name=''):
        self._store = store
        self._clock = clock
        self._is_registered = is_registered
        self._name = name
        # The wall clock may step and the monotonic one stops while the machine
        # is suspended; both together bound the time.
        self._wall_offset_ms = clock.wall() - clock.now()
        # The last RecordView by service.
        self._views = {}
        # By service and version, of those in the record without targets: when
        # to remove it, and its appearances so far.
        self._missing = {}
        # By service the number of a later plan than the one that was read.
        self._wanted = {}
        # By service the number of the last plan that this router wrote.
        self._own_numbers = {}
        self._plan_keep_ms = PLAN_KEEP_MS * random.uniform(1, 1 + KEEP_SPREAD)

    def list_usable(self, service):
        """Return the versions that are in the record and have targets.

        There is none if the record was read too long ago.
        """
        view = self._views.get(service)
        if not self._is_current(service) or self._is_outdated(view):
            return set()
        return {
            version
            for version in view.appearances
            if (service, version) not in self._missing
        }

    def list_services(self):
        """Return the services whose record was read in the present era."""
        return [name for name in self._views if self._is_current(name)]

    def list_mixed(self):
        """Return the services with several versions on record."""
        return {
            name
            for name in self.list_services()
            if len(self._views[name].appearances) > 1
        }

    def get_plan(self, service):
        """Return the plan in force as far as known, None if there is none."""
        view = self._views.get(service)
        return view and view.plan

    def get_plan_number(self, service):
        """Return the number of the plan that this router follows.

        0 if there is none, or none in the present era.
        """
        if not self._is_current(service):
            return 0
        return self._views[service].get_number()

    def is_settled(self, service):
        """Return whether all routers are known to follow the last plan."""
        return self._views[service].is_settled

    def list_open_versions(self, service, key):
        """Return at which versions a router may begin streams, unheard.

        They are those of plans that were replaced within UNHEARD_MS, and that
        not all routers are known to have left; None stands for a plan that
        was lost.
        """
        view = self._views.get(service)
        if view is None:
            return set()
        since = self._clock.now() - UNHEARD_MS
        return {
            None if plan.is_lost() else version_plans.choose_version(plan, key)
            for plan in view.list_open(since)
        }

    def is_author(self, service):
        """Return whether this router wrote the plan in force."""
        number = self.get_plan_number(service)
        return number > 0 and self._own_numbers.get(service) == number

    def want(self, service, number):
        """Read the record at the next update if its plan is earlier."""
        if number > self.get_plan_number(service):
            self._wanted[service] = number

    def mark_settled(self, service, number):
        """Take another router's word that all follow a plan."""
        if number > 0 and number == self.get_plan_number(service):
            self._views[service].settle(self._clock.now())

    def find_version(self, versions, key):
        """Return the version of a stream, None if it isn't certain.

        `versions` is what `read` returned, and `key` that of the stream, see
        `version_plans`.
        """
        if len(versions.appearances) == 1 and not self._store.era:
            # No record was lost, so no stream began at a version without one.
            return next(iter(versions.appearances))
        return versions.find_version(key)

    def _bound_wall_ms(self):
        """Return the earliest and the latest time that it may be now."""
        wall_ms = self._clock.wall()
        steady_ms = self._clock.now() + self._wall_offset_ms
        return min(wall_ms, steady_ms), max(wall_ms, steady_ms)

    def dump(self):
        """Return the versions on record and the plan in force, by service."""
        return {
            service: {
                'known': sorted(view.appearances),
                'shares': self._get_shares(service),
                'plan': view.get_number(),
                'is_settled': view.is_settled,
            }
            for service, view in self._views.items()
        }

    def _get_shares(self, service):
        """Return the shares of the plan in force, {} if there is none."""
        plan = self.get_plan(service)
        return plan.shares if plan else {}

    def _get_appearances(self, service):
        view = self._views.get(service)
        return view.appearances if view else {}

    def read(self, service):
        """Return the ServiceVersions that the store has now.

        Returns None if the service isn't recorded, if the store doesn't
        respond within READ_TIMEOUT_S, or if the record can't be read.
        """
        try:
            with gevent.Timeout(READ_TIMEOUT_S):
                item = self._store.get(self._make_key(service))
            versions = base.decode(item, service_versions.ServiceVersions)
        except (base.StoreError, base.OutcomeUnknown, gevent.Timeout):
            return None
        return versions if versions.appearances else None

    def refresh(self, service):
        """Read the record again; raises the store's errors."""
        self._change(service, lambda _: base.UNCHANGED)

    def settle(self, service, number, answered=()):
        """Record that all routers follow a plan; raises the store's errors.

        `answered` are the names of those that said so.
        """
        _, latest_ms = self._bound_wall_ms()

        def change(versions):
            is_changed = versions.settle(number, latest_ms, answered)
            return True if is_changed else base.UNCHANGED

        self._change(service, change)

    def mark_silent(self, service, names):
        """Record that routers don't answer; raises the store's errors.

        Returns the names of those that need not be waited for.
        """
        earliest_ms, latest_ms = self._bound_wall_ms()

        def change(versions):
            is_changed = versions.mark_silent(names, latest_ms)
            return True if is_changed else base.UNCHANGED

        return self._change(service, change).list_unused(earliest_ms)

    def update(self, service, present, counts=None, view_revision=0):
        """Record the versions that a service's targets have now.

        `present` are those of all targets, and `counts` says how many targets
        of each accept requests, None to keep the plan.  They were seen at
        `view_revision` of the store.  Writes only if a version has come, come
        back, or been gone for long, or if another plan is due.  Raises the
        store's errors.
        """
        if not self._is_registered():
            return
        now = self._clock.now()
        known = self._get_appearances(service)
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
        is_changed = bool(
            added or returned or ended or self._list_over(service)
        )
        if not is_changed and not self._is_plan_due(
            service, shares, view_revision
        ):
            if self._is_read_due(service):
                self.refresh(service)
            return
        if not is_current:
            # In a new era of the store the record begins empty.
            added = added | (set(known) - ended)
        self._write(service, added, returned, ended, shares, view_revision)

    def _list_over(self, service):
        """Return the numbers of the plans that are to be removed."""
        view = self._views.get(service)
        if not self._is_current(service):
            return set()
        return view.list_over(self._clock.now() - self._plan_keep_ms)

    def _is_plan_due(self, service, shares, view_revision):
        plan = self.get_plan(service)
        if plan is None or not shares:
            return bool(shares)
        return shares != plan.shares and view_revision > plan.view_revision

    def _is_read_due(self, service):
        """Return whether there is a later plan, or the last read is old."""
        if not self._is_current(service):
            return False
        wanted = self._wanted.get(service, 0)
        age_ms = self._get_age_ms(self._views[service])
        return wanted > self.get_plan_number(service) or age_ms > REREAD_MS

    def _write(self, service, added, returned, ended, shares, view_revision):
        _, latest_ms = self._bound_wall_ms()
        seen = {
            version: self._missing[service, version][1]
            for version in returned | ended
        }
        over = self._list_over(service)
        plans_before = {}

        def change(versions):
            before = dict(versions.appearances)
            is_first = not versions.plan_count
            if is_first and (self._store.era or not shares):
                # Streams began by plans of another era, or without one.
                versions.add_lost_plans(latest_ms)
            plans_before['count'] = versions.plan_count
            for version in added:
                versions.appearances.setdefault(version, 1)
            for version in returned:
                count = versions.appearances.get(version, 0)
                versions.appearances[version] = max(count, seen[version] + 1)
            versions.end_expired(latest_ms)
            is_shorter = versions.remove_plans(over)
            for version in ended:
                is_seen = versions.appearances.get(version) == seen[version]
                if is_seen and versions.may_remove(version):
                    del versions.appearances[version]
            # Only a version on record may begin streams.
            known_shares = {
                version: units
                for version, units in shares.items()
                if version in versions.appearances
            }
            is_new_plan = versions.add_plan(
                known_shares, view_revision, latest_ms
            )
            is_other = versions.appearances != before
            is_changed = is_new_plan or is_shorter or is_other
            return True if is_changed else base.UNCHANGED

        versions = self._change(service, change)
        count_before = plans_before.get('count', versions.plan_count)
        if versions.plan_count > count_before:
            self._own_numbers[service] = versions.plan_count
        for version in returned | ended:
            self._missing.pop((service, version), None)

    def _change(self, service, change):
        """Change the record, and take over what it says then; return it.

        What was meant for an era that has ended changes nothing.
        """
        era = None
        # None until the store has stated one.
        began_in = self._store.era if self._store.has_eras else None
        read_at = (self._clock.now(), self._clock.wall())

        def make_key():
            nonlocal era
            era = self._store.era
            return self._make_key(service)

        def change_and_speak(versions):
            if began_in not in (None, era):
                return base.UNCHANGED
            _, latest_ms = self._bound_wall_ms()
            is_news = versions.end_silence(self._name, latest_ms)
            result = change(versions)
            return True if is_news else result

        _, versions = base.update(
            self._store,
            make_key,
            service_versions.ServiceVersions,
            change_and_speak,
        )
        self._wanted.pop(service, None)
        view = record_view.RecordView(
            era, versions, read_at, self._views.get(service)
        )
        # Another task may have read a later plan meanwhile.
        is_later = view.get_number() >= self.get_plan_number(service)
        is_same_era = began_in in (None, era) and era == self._store.era
        if is_same_era and is_later:
            self._views[service] = view
        return versions

    def _is_current(self, service):
        """Return whether the record was read in the present era."""
        view = self._views.get(service)
        return view is not None and view.era == self._store.era

    def _is_outdated(self, view):
        return self._get_age_ms(view) > service_versions.MAX_UNREAD_MS

    def _get_age_ms(self, view):
        """Return how long ago a view was read, at most."""
        now, wall = view.read_at
        return max(self._clock.now() - now, self._clock.wall() - wall)

    def _make_key(self, service):
        return f'{self._store.scope(KIND)}/{service}'
