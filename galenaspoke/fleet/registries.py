"""Shared steps on the registries: handing records over, lifting losses."""

from absl import logging

from galenaspoke.core import registry
from galenaspoke.rpc import transport
from galenaspoke.rpc import messages
from galenaspoke.rpc import methods
from galenaspoke.store import client as store_client

HAND_OVER_TIMEOUT_MS = 2000
HAND_OVER_BATCH = 200


def hand_over(reg, leaver, records):
    """Send records to their homes in `reg`; return True if all were taken.

    `leaver` is the agent whose runs come along with its records, or empty.
    """
    rest = registry.exclude_agents(reg, {leaver})
    batches = {}
    for handed in records:
        for entry in registry.rank_agents(rest, handed.place)[:1]:
            key = (entry.address, entry.incarnation)
            batches.setdefault(key, []).append(handed)
    taken = True
    for (address, incarnation), batch in batches.items():
        channel = transport.Channel(address)
        try:
            for start in range(0, len(batch), HAND_OVER_BATCH):
                part = batch[start : start + HAND_OVER_BATCH]
                reply = channel.unary(
                    methods.HAND_OVER,
                    messages.HandOver(incarnation, leaver, part),
                    HAND_OVER_TIMEOUT_MS,
                )
                taken = taken and not reply.rejected
        except transport.PeerUnreachable as exc:
            logging.warning('%d records not handed over: %s', len(batch), exc)
            taken = False
        finally:
            channel.close()
    return taken


def update(store, service, change):
    """Change a service's registry in the store; return (result, registry)."""
    return store_client.update(
        store, registry.registry_key(service), registry.Registry, change
    )


def holders(store):
    """Return the records of all holders."""
    return [
        store_client.decode(item, registry.HolderRecord)
        for item in store.list(registry.HOLDER_PREFIX).items
    ]


def forget_vouched(store, reg):
    """Let each lost agent be forgotten for which all routers vouched.

    Returns the registry as it is then.
    """
    lost = [e for e in reg.entries if e.phase is registry.Phase.LOST]
    if not lost:
        return reg
    # Read before the registry is written: a holder that goes meanwhile
    # changes the registry first, and so makes the write fail.
    records = holders(store)

    def change(latest):
        lifted = [
            registry.forget(latest, entry.name, entry.incarnation, records)
            for entry in list(latest.entries)
            if registry.is_vouched_for(latest, entry, records)
        ]
        return any(lifted) or store_client.UNCHANGED

    _, latest = update(store, reg.service, change)
    return latest
