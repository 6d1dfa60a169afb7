"""What the store's record says of the software versions of one service.

Example::

    versions = ServiceVersions({'v1': 1})
    versions.add_plan({'v1': 16}, view_revision=530, wall_ms=1000)
    versions.find_version('pool|5c1e')     # 'v1'
"""

import msgspec

from galenaspoke.edge.streams import version_plans

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
    removes a version that is there again.  `plans` are in order, and each
    stream that can be resumed began by one of them.  `plan_count` is how many
    plans there have been.  `silent` says since when routers have not answered,
    by name.
    """

    appearances: dict[str, int] = {}
    plans: list[version_plans.Plan] = []
    plan_count: int = 0
    silent: dict[str, int] = {}

    def get_plan(self):
        """Return the plan in force, None if there is none."""
        if not self.plans or self.plans[-1].is_lost():
            return None
        return self.plans[-1]

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
        self._append(shares, view_revision, wall_ms)
        return True

    def add_lost_plans(self, wall_ms):
        """Record that streams may have begun by plans that were lost."""
        self._append({}, 0, wall_ms)

    def _append(self, shares, view_revision, wall_ms):
        if self.plans:
            # Clocks may differ; the order of the plans must not.
            wall_ms = max(wall_ms, self.plans[-1].since_ms)
        self.plan_count += 1
        self.plans.append(
            version_plans.Plan(shares, wall_ms, self.plan_count, view_revision)
        )
        self._limit_plans()

    def _limit_plans(self):
        """Let one lost plan stand for the oldest ones if there are too many.

        It ends when the latest of them does.
        """
        while len(self.plans) > MAX_PLANS:
            del self.plans[0]
            self.plans[0] = msgspec.structs.replace(self.plans[0], shares={})

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
        for index, plan in enumerate(self.plans):
            if plan.number < number and not plan.has_ended():
                self._end(index, wall_ms)
                is_changed = True
        return is_changed

    def is_settled(self):
        """Return whether streams begin by the last plan alone."""
        return all(plan.has_ended() for plan in self.plans[:-1])

    def may_remove(self, version):
        """Return whether no stream of a version without targets can begin."""
        if self.get_plan() is None:
            return True
        return not any(
            plan.is_lost() or version in plan.shares for plan in self.plans
        )

    def find_version(self, key):
        """Return the version of a stream, None if that isn't certain."""
        is_complete = not any(plan.is_lost() for plan in self.plans)
        if is_complete and len(self.appearances) == 1:
            return next(iter(self.appearances))
        return version_plans.find_certain_version(self.plans, key)

    def remove_plans(self, numbers):
        """Remove the plans by which no stream began that can be resumed.

        Returns whether that changes anything.
        """
        kept = [
            plan
            for plan in self.plans[:-1]
            if not (plan.has_ended() and plan.number in numbers)
        ]
        is_changed = len(kept) + 1 < len(self.plans)
        self.plans[:-1] = kept
        return is_changed

    def end_expired(self, wall_ms):
        """End the plans that were replaced very long ago."""
        for index, plan in enumerate(self.plans[:-1]):
            end_ms = self.plans[index + 1].since_ms + PLAN_EXPIRY_MS
            if not plan.has_ended() and end_ms <= wall_ms:
                self._end(index, end_ms)

    def _end(self, index, wall_ms):
        self.plans[index] = msgspec.structs.replace(
            self.plans[index], ended_ms=wall_ms
        )
