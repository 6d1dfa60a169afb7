"""What one router last read of the record of a service's versions.

Example::

    view = RecordView(0, versions, (clock.now(), clock.wall()))
    view.get_number()     # that of the plan in force
"""

import math


class RecordView:
    """What this router last read of the record of one service."""

    __slots__ = (
        'era',
        'plans',
        'appearances',
        'plan',
        'is_settled',
        'read_at',
        'open_since',
        'ended_at',
    )

    def __init__(self, era, versions, read_at, before=None):
        # The era of the store in which it was read.
        self.era = era
        self.plans = versions.plans
        # How often each version has appeared.
        self.appearances = dict(versions.appearances)
        # The plan in force, None if there is none.
        self.plan = versions.get_plan()
        self.is_settled = versions.is_settled()
        # When, by the monotonic and by the wall clock.
        self.read_at = read_at
        # When this router first knew, by number, of the plans that were
        # replaced and haven't ended, and of those that have ended.
        self.open_since = {}
        self.ended_at = {}
        for plan in versions.plans[:-1]:
            times = self.ended_at if plan.has_ended() else self.open_since
            times[plan.number] = read_at[0]
        if before is not None and before.era == era:
            _keep_earlier(self.open_since, before.open_since)
            _keep_earlier(self.ended_at, before.ended_at)

    def settle(self, now):
        """Take another router's word that all follow the plan in force."""
        self.is_settled = True
        for number in self.open_since:
            self.ended_at[number] = now
        self.open_since = {}

    def list_over(self, ended_before):
        """Return the plans that are known to have ended before a time."""
        return {
            number for number, at in self.ended_at.items() if at < ended_before
        }

    def list_open(self, since):
        """Return the replaced plans that may be followed still.

        It has been known since some time, or later, that they were replaced.
        """
        return [
            plan
            for plan in self.plans
            if self.open_since.get(plan.number, -math.inf) >= since
        ]

    def get_number(self):
        """Return the number of the plan in force, 0 if there is none."""
        return self.plan.number if self.plan else 0


def _keep_earlier(times, before):
    """Replace times by those of the same keys in another dict."""
    times.update((key, before[key]) for key in times.keys() & before.keys())
