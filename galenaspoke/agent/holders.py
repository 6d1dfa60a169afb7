"""Which holders may spend at this agent, and what they have used.

A holder that is met for the first time is looked up in the store: the agent
is in the registry before it looks, and whoever seals a holder reads the
registry after having marked the holder.  So either the agent sees the mark,
or it is asked to seal.
"""

import msgspec

from galenaspoke.core import registry
from galenaspoke.core import runs as run_table
from galenaspoke.core import verdicts
from galenaspoke.store import client as store_client


class Holders:
    """All holders that this agent has met."""

    __slots__ = ('_store', '_met')

    def __init__(self, store):
        self._store = store
        self._met = {}

    def admit(self, holder):
        """Return None if the holder may spend here, else a Refusal."""
        known = self._met.get(holder)
        if known is None:
            try:
                sealed = self._sealed_in_store(holder)
            except store_client.StoreError as exc:
                return verdicts.not_run(
                    verdicts.Reason.UNREACHABLE,
                    f'the holder {holder} is new here: {exc}',
                    1000,
                )
            # A seal may have come in while the store was asked.
            known = self._met.setdefault(holder, run_table.HolderState())
            known.sealed = known.sealed or sealed
        if known.sealed:
            return verdicts.not_run(
                verdicts.Reason.SEALED, f'the holder {holder} is sealed', 1
            )
        return None

    def has_met(self, holder):
        """Tell whether a holder has been looked up."""
        return holder in self._met

    def _sealed_in_store(self, holder):
        item = self._store.get(registry.holder_key(holder))
        if item.version == 0:
            return True
        record = msgspec.json.decode(item.value, type=registry.HolderRecord)
        return bool(record.sealed_by)

    def seal(self, holder):
        """Take nothing more from a holder; return what it used."""
        known = self._met.setdefault(holder, run_table.HolderState())
        known.sealed = True
        return known.usage

    def begin(self, run):
        """Count a run's reserve as running."""
        if run.holder:
            self._usage(run).running += run.reserve

    def end(self, run):
        """Count what a run used, and its reserve no longer."""
        if run.holder:
            usage = self._usage(run)
            usage.running -= run.reserve
            usage.spent += run.spent
            usage.doubt += run.doubt

    def _usage(self, run):
        known = self._met[run.holder]
        return known.usage.setdefault(run.budget, registry.Usage())

    def every(self):
        """Return the usage of all holders, for each holder and budget."""
        return {holder: met.usage for holder, met in self._met.items()}
