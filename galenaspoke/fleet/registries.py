"""Registry operations that routers and agents share."""

from absl import logging

from galenaspoke.core import registry
from galenaspoke.rpc import messages
from galenaspoke.rpc import methods
from galenaspoke.rpc import transport
from galenaspoke.store import client as store_client

HAND_OVER_TIMEOUT_MS = 2000
HAND_OVER_BATCH = 200
# The text of a batch; as UTF-8 it has at most four times as many bytes.
HAND_OVER_BATCH_CHARS = 4_000_000


class HolderUnreadable(store_client.StoreError):
    """A holder's record can't be decoded, so not all holders are known."""


def hand_over(reg, leaving_agent_id, records):
    """Hand records over to their homes in `reg`.

    `leaving_agent_id` is the id of the agent that hands over its own records
    and runs, or empty.  Returns True unless a record was rejected, an agent
    could not be reached, or records have no home because no other agent
    serves.
    """
    rest = registry.exclude_agents(reg, {leaving_agent_id})
    batches = {}
    unplaced = 0
    for record in records:
        ranked = registry.rank_agents(rest, record.place)
        if not ranked:
            unplaced += 1
            continue
        key = (ranked[0].address, ranked[0].incarnation)
        batches.setdefault(key, []).append(record)
    if unplaced:
        logging.log_every_n_seconds(
            logging.WARNING,
            'could not hand over %d records: no other agent of %s serves',
            10,
            unplaced,
            reg.service,
        )
    taken = not unplaced
    for (address, incarnation), batch in batches.items():
        channel = transport.Channel(address)
        try:
            for part in _split(batch):
                reply = channel.unary(
                    methods.HAND_OVER,
                    messages.HandOver(incarnation, leaving_agent_id, part),
                    HAND_OVER_TIMEOUT_MS,
                )
                taken = taken and not reply.rejected
        except transport.PeerUnreachable as exc:
            logging.warning(
                'could not hand over all of %d records: %s', len(batch), exc
            )
            taken = False
        finally:
            channel.close()
    return taken


def _split(batch):
    """Yield the records in parts that fit into a message each."""
    part, chars = [], 0
    for record in batch:
        record_chars = sum(map(len, record.pieces))
        is_full = chars + record_chars > HAND_OVER_BATCH_CHARS
        if part and (is_full or len(part) == HAND_OVER_BATCH):
            yield part
            part, chars = [], 0
        part.append(record)
        chars += record_chars
    if part:
        yield part


def update(store, service, change):
    """Update a service's registry in the store.

    `change` is called as for store_client.update.  Returns its result and the
    registry as written.
    """
    return store_client.update(
        store, registry.registry_key(service), registry.Registry, change
    )


def list_holders(store):
    """Return the HolderRecords of all holders; raises HolderUnreadable."""
    return [
        _decode_holder(item)
        for item in store.list(registry.HOLDER_PREFIX).items
    ]


def _decode_holder(item):
    try:
        return store_client.decode(item, registry.HolderRecord)
    except store_client.Unreadable as exc:
        raise HolderUnreadable(f'{item.key} is unreadable: {exc}') from exc


def list_holder_names(store):
    """Return the names of all holders that have a record."""
    return {
        item.key.removeprefix(registry.HOLDER_PREFIX)
        for item in store.list(registry.HOLDER_PREFIX).items
    }


def forget_vouched(store, reg):
    """Forget the lost agents for which all holders have vouched.

    Returns the resulting registry.  Raises HolderUnreadable.
    """
    lost = [e for e in reg.entries if e.phase is registry.Phase.LOST]
    if not lost:
        return reg
    # Read before the registry is written.  A holder that ends in the meantime
    # changes the registry first, so that this write conflicts and is retried.
    records = list_holders(store)

    def change(latest):
        forgotten = [
            registry.forget(latest, entry.name, entry.incarnation, records)
            for entry in list(latest.entries)
            if registry.is_vouched_for(latest, entry, records)
        ]
        return any(forgotten) or store_client.UNCHANGED

    _, latest = update(store, reg.service, change)
    return latest
