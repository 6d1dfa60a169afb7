"""What the store's record says of the software versions of one service.

Example::

    versions = ServiceVersions({'v1': 1})
    versions.add_plan({'v1': 16}, view_revision=530, wall_ms=1000)
    versions.settle(1, wall_ms=1200)
    versions.find_version('pool|5c1e', since_ms=1500)     # 'v1'
"""

import msgspec

from galenaspoke.edge.streams import version_plans

# Plans that ended longer ago are removed.  No stream that began by one of them
# can be resumed.
PLAN_TTL_MS = 120_000
# Bounds the record's size if versions alternate quickly.
MAX_PLANS = 48
# A router that hasn't read the record for this long begins no more streams
# that may be resumed, see `version_record`.
MAX_UNREAD_MS = 1_800_000
# A plan that was replaced this long ago has ended, even if a router has never
# said that it follows a later one.
PLAN_EXPIRY_MS = MAX_UNREAD_MS + 600_000
# A router that reads the record and has been on record as silent for so long
# says that it isn't.  It is far less than PLAN_EXPIRY_MS - MAX_UNREAD_MS.
MAX_SILENCE_MS = 300_000


class ServiceVersions(msgspec.Struct):
    """The record of one service.

    `appearances` counts by version how often it has come back, so that nobody
    removes a version that is there again.  `plans` are in order of time, and
    all by which streams have begun since `complete_since_ms` are there; None
    if streams may still begin by others.  `plan_count` is how many plans there
    have been.  `silent` says since when routers have not answered, by name.
    """

    appearances: dict[str, int] = {}
    plans: list[version_plans.Plan] = []
    complete_since_ms: int | None = None
    plan_count: int = 0
    silent: dict[str, int] = {}

    def get_plan(self):
        """Return the plan in force, None if there is none."""
        return self.plans[-1] if self.plans else None

    def add_plan(self, shares, view_revision, wall_ms):
        """Put a plan in force; return whether that changes anything.

        A plan by an older view of the targets than that of the present one
        is ignored, and so is one with the same shares.
        """
        current = self.get_plan()
        if not shares:
            return False
        if current is not None:
            if current.shares == shares:
                return False
            if current.view_revision >= view_revision:
                return False
            # Clocks may differ; the order of the plans must not.
            wall_ms = max(wall_ms, current.since_ms)
        self.plan_count += 1
        self.plans.append(
            version_plans.Plan(shares, wall_ms, self.plan_count, view_revision)
        )
        self.remove_expired(wall_ms)
        return True

    def mark_silent(self, names, wall_ms):
        """Record which routers don't answer; return whether that is news."""
        before = len(self.silent)
        for name in names:
            self.silent.setdefault(name, wall_ms)
        return len(self.silent) > before

    def end_silence(self, name, wall_ms):
        """Record that a router reads the record; return whether that is news.

        Without that, one which answers again would stay on record as silent
        while another one keeps the plan open.
        """
        since_ms = self.silent.get(name)
        if since_ms is None or wall_ms - since_ms <= MAX_SILENCE_MS:
            return False
        del self.silent[name]
        return True

    def list_unused(self, wall_ms):
        """Return the routers that certainly begin no streams.

        They have been silent for so long that they must read the record first.
        """
        return {
            name
            for name, since_ms in self.silent.items()
            if wall_ms - since_ms > PLAN_EXPIRY_MS
        }

    def settle(self, number, wall_ms, answered=()):
        """Record that all routers follow the plan `number` or a later one.

        `answered` are the routers that say so.  Returns whether that changes
        anything.
        """
        is_changed = False
        for name in set(answered) & set(self.silent):
            del self.silent[name]
            is_changed = True
        # A router may follow a plan that was removed before it had ended.
        covers_removed = not self.plans or number >= self.plans[0].number
        if self.complete_since_ms is None and covers_removed:
            self.complete_since_ms = wall_ms
            is_changed = True
        for index, plan in enumerate(self.plans):
            if plan.number < number and plan.ended_ms is None:
                self._end(index, wall_ms)
                is_changed = True
        self.remove_expired(wall_ms)
        return is_changed

    def is_settled(self):
        """Return whether streams begin by the last plan alone."""
        if self.complete_since_ms is None:
            return not self.plans
        return all(plan.ended_ms is not None for plan in self.plans[:-1])

    def may_remove(self, version):
        """Return whether no stream of a version without targets can begin."""
        if not self.plans:
            return True
        return self.complete_since_ms is not None and not any(
            version in plan.shares for plan in self.plans
        )

    def find_version(self, key, since_ms):
        """Return the version of a stream that began at `since_ms` or later.

        Returns None if that isn't certain.
        """
        complete_ms = self.complete_since_ms
        if complete_ms is None or since_ms < complete_ms:
            return None
        if len(self.appearances) == 1:
            return next(iter(self.appearances))
        return version_plans.find_certain_version(self.plans, key, since_ms)

    def remove_expired(self, wall_ms):
        """Remove the plans that no longer matter, and those too many."""
        self._end_expired(wall_ms)
        while len(self.plans) > 1:
            first = self.plans[0]
            is_old = (
                first.ended_ms is not None
                and wall_ms - first.ended_ms > PLAN_TTL_MS
            )
            if not is_old and len(self.plans) <= MAX_PLANS:
                return
            del self.plans[0]
            if first.ended_ms is None:
                self.complete_since_ms = None
            elif self.complete_since_ms is not None:
                self.complete_since_ms = max(
                    self.complete_since_ms, first.ended_ms
                )

    def _end_expired(self, wall_ms):
        if self.complete_since_ms is None and self.plans:
            # Whoever began streams without a plan on record has read it since.
            end_ms = self.plans[0].since_ms + PLAN_EXPIRY_MS
            if end_ms <= wall_ms:
                self.complete_since_ms = end_ms
        for index, plan in enumerate(self.plans[:-1]):
            end_ms = self.plans[index + 1].since_ms + PLAN_EXPIRY_MS
            if plan.ended_ms is None and end_ms <= wall_ms:
                self._end(index, end_ms)

    def _end(self, index, wall_ms):
        self.plans[index] = msgspec.structs.replace(
            self.plans[index], ended_ms=wall_ms
        )
