"""Holders that may spend at this agent, and their usage.

A holder is one incarnation of a router.  It is looked up in the store the
first time the agent sees it.  The agent is in the registry before the lookup,
and a process that seals a holder first marks the holder's record and then
reads the registry.  So either the agent sees the mark, or it receives the call
to seal.
"""

import msgspec

from galenaspoke.core import registry
from galenaspoke.core import runs as run_table
from galenaspoke.core import verdicts
from galenaspoke.store import client as store_client


class Holders:
    """All holders known to this agent, with their usage."""

    __slots__ = ('_store', '_state_by_holder')

    def __init__(self, store):
        self._store = store
        self._state_by_holder = {}

    def check_admission(self, holder):
        """Return a Refusal if the holder may not spend here, else None."""
        holder_state = self._state_by_holder.get(holder)
        if holder_state is None:
            try:
                sealed = self._is_sealed_in_store(holder)
            except store_client.StoreError as exc:
                return verdicts.not_run(
                    verdicts.Reason.UNREACHABLE,
                    f'the holder {holder} could not be looked up: {exc}',
                    1000,
                )
            # The holder may have been sealed during the store call.
            holder_state = self._state_by_holder.setdefault(
                holder, run_table.HolderState()
            )
            holder_state.sealed = holder_state.sealed or sealed
        if holder_state.sealed:
            return verdicts.not_run(
                verdicts.Reason.SEALED, f'the holder {holder} is sealed', 1
            )
        return None

    def is_known(self, holder):
        """Return whether a holder has been looked up or sealed."""
        return holder in self._state_by_holder

    def _is_sealed_in_store(self, holder):
        """Return whether a holder is sealed, or has no record."""
        item = self._store.get(registry.holder_key(holder))
        if item.version == 0:
            return True
        record = msgspec.json.decode(item.value, type=registry.HolderRecord)
        return bool(record.sealed_by)

    def seal(self, holder):
        """Refuse further requests from a holder; return {budget: Usage}."""
        holder_state = self._state_by_holder.setdefault(
            holder, run_table.HolderState()
        )
        holder_state.sealed = True
        return holder_state.usage

    def record_start(self, run):
        """Add a run's reserve to its holder's running usage."""
        if run.holder:
            self._get_usage_of_run(run).running += run.reserve

    def record_end(self, run):
        """Replace a run's reserve by what it spent or left in doubt."""
        if run.holder:
            usage = self._get_usage_of_run(run)
            usage.running -= run.reserve
            usage.spent += run.spent
            usage.doubt += run.doubt

    def _get_usage_of_run(self, run):
        holder_state = self._state_by_holder[run.holder]
        return holder_state.usage.setdefault(run.budget, registry.Usage())

    def get_usage(self):
        """Return {holder: {budget: Usage}} for all known holders."""
        return {
            holder: holder_state.usage
            for holder, holder_state in self._state_by_holder.items()
        }
