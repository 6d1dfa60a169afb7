"""Everything that a router does about the software versions of streams.

Example::

    tracking = VersionTracking(cfg, store, members, target_view, send, clock,
                               journal)
    tracking.start(lambda: catalog.resumable_services)
    tracking.resumption.resolve(context)
    tracking.handle(data, '10.2.0.29:7340')     # a datagram
"""

import random

import gevent

from galenaspoke.edge.streams import origin_pages
from galenaspoke.edge.streams import plan_agreement
from galenaspoke.edge.streams import resumption
from galenaspoke.edge.streams import stream_versions
from galenaspoke.edge.streams import version_notes
from galenaspoke.edge.streams import version_record
from galenaspoke.store import base

UPDATE_INTERVAL_S = 0.1
# Added for each router, so that they don't all write at the same time.
UPDATE_SPREAD_S = 0.002


class VersionTracking:
    """One router's record, notes, pages and plans of versions.

    `cfg` are the EdgeSettings, `members` the Members of the fleet,
    `target_view` is the TargetView, and `send(address, data)` sends a
    datagram.
    """

    __slots__ = (
        'record',
        'notes',
        'pages',
        'agreement',
        'resumption',
        '_routers',
        '_target_view',
        '_journal',
        '_failing',
        '_logged_plans',
    )

    def __init__(self, cfg, store, members, target_view, send, clock, journal):
        self._routers = members.routers
        self._target_view = target_view
        self._journal = journal
        # The services whose record could not be updated, and the plan by
        # service that was logged last.
        self._failing = set()
        self._logged_plans = {}
        streams = stream_versions.StreamVersions(clock)
        self.record = version_record.VersionRecord(
            store, clock, members.is_registered, members.name
        )
        self.notes = version_notes.VersionNotes(
            streams,
            members.routers,
            send,
            clock,
            target_view.is_stale,
        )
        self.pages = origin_pages.OriginPages(
            cfg,
            store,
            streams,
            self.notes,
            self.record,
            members.routers,
            clock,
            journal,
        )
        self.agreement = plan_agreement.PlanAgreement(
            self.record,
            store,
            members.list_others,
            members.routers,
            send,
            clock,
            journal,
        )
        self.resumption = resumption.Resumption(
            self.record,
            streams,
            self.notes,
            self.pages,
            target_view.directory,
            clock,
            journal,
        )

    def start(self, list_services):
        """Keep the record of versions up to date.

        `list_services()` returns the services whose streams may be resumed.
        """
        gevent.spawn(self._run_updates, list_services)

    def start_exchange(self):
        """Begin to talk to other routers; datagrams can be sent now."""
        gevent.spawn(self.notes.run)
        gevent.spawn(self.pages.run)
        gevent.spawn(self.agreement.run)

    def handle(self, data, address):
        """Handle a datagram of another router; ignore other kinds."""
        self.notes.handle(data, address)
        self.agreement.handle(data, address)

    def _run_updates(self, list_services):
        while True:
            spread_s = UPDATE_SPREAD_S * self._routers.get_count()
            gevent.sleep(UPDATE_INTERVAL_S + random.uniform(0, spread_s))
            for service in list_services():
                self._try_update(service)

    def _try_update(self, service):
        """Update the record of a service; log the first of several failures.

        The records of other services don't depend on it.
        """
        try:
            self.update(service)
        except (base.StoreError, base.OutcomeUnknown) as exc:
            if service not in self._failing:
                self._journal.note(
                    'versions.unrecorded', service=service, why=str(exc)
                )
            self._failing.add(service)
            return
        self._failing.discard(service)
        self._log_plan(service)

    def update(self, service):
        """Record what the entries of a service's targets say now.

        A router that can't follow the targets changes no plan.  Raises the
        store's errors.
        """
        counts = None
        if not self._target_view.is_stale():
            counts = self._target_view.count_versions(service)
        known = self._target_view.directory.list_versions(service)
        self.record.update(
            service,
            known | set(counts or ()),
            counts,
            self._target_view.watcher.revision,
        )

    def _log_plan(self, service):
        """Log a plan that this router follows from now on."""
        plan = self.record.get_plan(service)
        if plan is None or plan == self._logged_plans.get(service):
            return
        self._logged_plans[service] = plan
        self._journal.note(
            'versions.plan',
            service=service,
            number=plan.number,
            shares=plan.shares,
            since_ms=plan.since_ms,
            plan_revision=plan.view_revision,
            view_revision=self._target_view.watcher.revision,
            view_confirmed_at=self._target_view.watcher.confirmed_at,
        )
