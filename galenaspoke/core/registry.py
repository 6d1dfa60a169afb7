"""The registry of agents, and the placement of request records on them.

Each service has one registry object in the store.  An agent adds itself to
the registry before it accepts work.  A process that has to reach every agent
writes its own mark to the store (for example, `HolderRecord.sealed_by`) before
it reads the registry, so that an agent that is not listed yet finds the mark.
An entry is never silently replaced: the previous incarnation is kept as
`LOST`, or as `CLOSED` if it shut down cleanly and handed over its records.

The *home* of a request is the agent that keeps its record.  It is selected by
rendezvous hashing, so that an agent that joins or leaves moves only the keys
of which it becomes or was the home.  If the home changed recently, the record
may still be at a former home; `placement` therefore also returns the agents
that must be asked first.

A holder *vouches* for a lost agent when it has handed over the records of all
requests that it had sent to that agent.  When all holders have vouched, the
agent no longer prevents its keys from being run elsewhere.

To *seal* a holder is to make every agent refuse its requests and report its
usage.  The holder's grants can be closed afterwards.

Clocks of different processes are never compared.  An agent clears its own
`joining` mark only after it has been registered for the retention time of
records, or if no router had used the store when it joined.  A process removes
a closed or forgotten entry only after it has seen the entry for that time.
Each measures the time by its own clock.
"""

import enum
import hashlib

import msgspec

REGISTRY_PREFIX = 'agents/'


class Phase(enum.Enum):
    """The phase of an agent's incarnation.

    Records of keys may still be at a former home while an agent is
    `JOINING`.  The records of a `LOST` agent are not available.  `FORGOTTEN`
    agents no longer matter for placement, but may have usage that is not
    accounted for.
    """

    JOINING = 'joining'
    ACTIVE = 'active'
    CLOSED = 'closed'
    LOST = 'lost'
    FORGOTTEN = 'forgotten'


class Usage(msgspec.Struct):
    """The tokens used from one budget by one holder's requests at one agent.

    `running` is the number of tokens reserved for requests that still run.
    """

    spent: int = 0
    doubt: int = 0
    running: int = 0


class AgentEntry(msgspec.Struct):
    """One incarnation of an agent.

    `usage` is the usage by holder and budget, recorded when the agent closed,
    and None until then.  A lost agent's usage stays None unless the agent is
    closed later.  `vouched` lists the holders that have handed over the
    records of all requests that they had sent to it.  An agent for which
    `charges` is false has never run a request that costs tokens.  `gone_at`
    is the registry version at which the agent was closed or declared lost.
    """

    service: str
    name: str
    incarnation: str
    address: str
    domain: str
    phase: Phase
    gone_at: int = 0
    usage: dict[str, dict[str, Usage]] | None = None
    vouched: list[str] = []
    charges: bool = True

    def agent_id(self):
        """Return the id, which is unique to this incarnation."""
        return f'{self.name}.{self.incarnation}'

    def is_serving(self):
        """Return True if the incarnation may still accept requests."""
        return self.phase in (Phase.JOINING, Phase.ACTIVE)


class Registry(msgspec.Struct):
    """All agents of one service; `version` counts the changes.

    `unvouched` lists holders that are gone and did not hand over the records
    of what they had sent.
    """

    service: str = ''
    version: int = 0
    entries: list[AgentEntry] = []
    unvouched: list[str] = []

    def serving_entries(self):
        """Return the entries that may accept requests."""
        return [entry for entry in self.entries if entry.is_serving()]

    def find(self, name, incarnation):
        """Return the entry of an incarnation, or None."""
        for entry in self.entries:
            if (entry.name, entry.incarnation) == (name, incarnation):
                return entry
        return None


class Placement(msgspec.Struct, frozen=True):
    """The agents that keep, or may keep, a key's record.

    `home` is the agent that keeps the record.  `former` lists agents that may
    have it instead and must be asked first.  `lost` is the id of an agent
    that may have had the record and whose records are lost, or empty.
    """

    home: AgentEntry | None
    former: tuple[AgentEntry, ...] = ()
    lost: str = ''


def registry_key(service):
    """Return the store key of a service's registry."""
    return f'{REGISTRY_PREFIX}{service}'


def join(registry, entry):
    """Add an incarnation; declare older ones of the same name lost."""
    if registry.find(entry.name, entry.incarnation):
        return
    registry.version += 1
    for other in registry.entries:
        if other.name == entry.name and other.is_serving():
            declare_lost(registry, other.name, other.incarnation)
    registry.entries.append(entry)


def activate(registry, name, incarnation):
    """Clear the joining mark; return False if the agent is not serving."""
    entry = registry.find(name, incarnation)
    if entry is None or not entry.is_serving():
        return False
    registry.version += 1
    entry.phase = Phase.ACTIVE
    return True


def mark_charging(registry, name, incarnation):
    """Record that an agent runs requests that cost tokens.

    Return False if the agent is not serving.
    """
    entry = registry.find(name, incarnation)
    if entry is None or not entry.is_serving():
        return False
    registry.version += 1
    entry.charges = True
    return True


def declare_lost(registry, name, incarnation):
    """Declare an agent lost; return False if it is not serving.

    This is safe at any time, even if the agent is alive: requests that it may
    have run are not run elsewhere until every router has vouched.
    """
    entry = registry.find(name, incarnation)
    if entry is None or not entry.is_serving():
        return False
    registry.version += 1
    entry.phase = Phase.LOST
    entry.gone_at = registry.version
    return True


def close(registry, name, incarnation, usage):
    """Mark an agent as shut down cleanly, and record its usage.

    An agent that was declared lost while it was alive can still be closed,
    and its usage is then accounted for.  Return False unless the agent is
    serving or lost.
    """
    entry = registry.find(name, incarnation)
    if entry is None or not (entry.is_serving() or entry.phase is Phase.LOST):
        return False
    registry.version += 1
    entry.phase = Phase.CLOSED
    entry.gone_at = registry.version
    entry.usage = usage
    return True


def forget(registry, name, incarnation, holder_records):
    """Exclude an agent that is gone from the placement of keys.

    `holder_records` are the records of all holders.  The entry is kept as
    FORGOTTEN while one of them may have used the agent, and removed
    otherwise.  Return True if the registry changed.
    """
    entry = registry.find(name, incarnation)
    if entry is None or entry.is_serving():
        return False
    needed = any(
        entry.gone_at > record.births.get(registry.service, 0)
        for record in holder_records
    )
    if needed and entry.phase is Phase.FORGOTTEN:
        return False
    registry.version += 1
    if needed:
        entry.phase = Phase.FORGOTTEN
    else:
        registry.entries.remove(entry)
    return True


def is_vouched_for(registry, entry, holder_records):
    """Return True if all requests sent to a lost agent were handed over.

    `holder_records` are the records of all holders.  Holders created after
    the loss have sent nothing to the agent.
    """
    if entry.phase is not Phase.LOST or registry.unvouched:
        return False
    return all(
        record.holder in entry.vouched
        or record.births.get(registry.service, 0) >= entry.gone_at
        for record in holder_records
    )


def rendezvous_weight(entry, key):
    """Return the rendezvous weight of an agent for a key."""
    text = f'{entry.name}\0{key}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def placement(registry, key):
    """Return the Placement of `key`."""
    ranked = sorted(
        registry.entries,
        key=lambda entry: rendezvous_weight(entry, key),
        reverse=True,
    )
    home = None
    former = []
    lost = ''
    for entry in ranked:
        if entry.phase is Phase.LOST:
            lost = lost or entry.agent_id()
        elif entry.is_serving() and home is None:
            home = entry
        elif entry.is_serving():
            former.append(entry)
        # The records made before an ACTIVE agent joined have expired, so no
        # agent with a lower weight can still have a record of the key.
        if entry.phase is Phase.ACTIVE:
            break
    return Placement(home, tuple(former), lost)


def rank_agents(registry, key):
    """Return the serving agents by descending weight for `key`."""
    return sorted(
        registry.serving_entries(),
        key=lambda entry: rendezvous_weight(entry, key),
        reverse=True,
    )


def exclude_agents(registry, agent_ids):
    """Return a copy of the registry without the given agents."""
    entries = [
        entry
        for entry in registry.entries
        if entry.agent_id() not in agent_ids
    ]
    return Registry(
        registry.service, registry.version, entries, registry.unvouched
    )


class HolderRecord(msgspec.Struct):
    """The record of one holder, that is one incarnation of a router.

    `births` maps each service to the registry version that the holder read
    after it was created.  Agents that had gone by then never served it.
    `sealed_by` is the holder name of the router that sealed this holder, or
    empty.
    """

    holder: str = ''
    address: str = ''
    domain: str = ''
    births: dict[str, int] = {}
    sealed_by: str = ''


HOLDER_PREFIX = 'holders/'


def holder_key(holder):
    """Return the store key of a holder's record."""
    return f'{HOLDER_PREFIX}{holder}'


def may_have_unknown_keys(registry, record):
    """Return True if a holder may have sent keys of which no record is left.

    That is the case if an agent was lost in the holder's lifetime, and the
    holder has not vouched for that agent.
    """
    birth = record.births.get(registry.service, 0)
    return any(
        entry.phase is Phase.LOST
        and entry.gone_at > birth
        and record.holder not in entry.vouched
        for entry in registry.entries
    )


def unaccounted_agents(registry, record):
    """Return the agents that have gone and may have charged a holder.

    The usage at closed agents is in the registry; that at lost agents is
    unknown.
    """
    birth = record.births.get(registry.service, 0)
    return [
        entry
        for entry in registry.entries
        if not entry.is_serving() and entry.charges and entry.gone_at > birth
    ]
