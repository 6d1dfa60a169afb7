"""The registry of agents, and which of them keeps a request's record.

Each service has one registry object in the store.  An agent writes itself
into it before it takes work, and whoever wants to be sure of having asked
every agent reads it after having written its own mark.  An entry is never
silently replaced: the incarnation before it is kept as `LOST`, or as `CLOSED`
when it left in order and handed its records over.

A request's *home* is the agent that keeps its record.  It is found by
rendezvous hashing, which moves a key only when its own home changes.  Keys
whose home changed a short while ago may have a record with the former home,
so `placement` also names the agents to be asked first.

No clock of one process is compared with another's: an agent clears its own
`joining` mark, and an entry that has gone is removed, only after the process
that does it has itself watched it for the time that records are kept.
"""

import enum
import hashlib

import msgspec

REGISTRY_PREFIX = 'agents/'


class Phase(enum.Enum):
    """Where an incarnation of an agent stands."""

    JOINING = 'joining'
    ACTIVE = 'active'
    CLOSED = 'closed'
    LOST = 'lost'
    FORGOTTEN = 'forgotten'


class Usage(msgspec.Struct):
    """What one holder's requests cost at one agent, in tokens."""

    spent: int = 0
    doubt: int = 0
    running: int = 0


class AgentEntry(msgspec.Struct):
    """One incarnation of an agent.

    `usage` is what it left behind when it closed: for each holder and
    budget.  One that was lost left None; `vouched` are the holders that have
    handed over what they had sent there.  One that doesn't `mark_charging` has never
    run anything that costs tokens.
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
        """Return the name that no other incarnation ever has."""
        return f'{self.name}.{self.incarnation}'

    def is_serving(self):
        """Tell whether the incarnation may still take requests."""
        return self.phase in (Phase.JOINING, Phase.ACTIVE)


class Registry(msgspec.Struct):
    """All agents of one service; `version` counts its changes.

    `unvouched` are holders that went without telling what they had sent.
    """

    service: str = ''
    version: int = 0
    entries: list[AgentEntry] = []
    unvouched: list[str] = []

    def serving_entries(self):
        """Return the entries that may take requests."""
        return [entry for entry in self.entries if entry.is_serving()]

    def find(self, name, incarnation):
        """Return the entry of an incarnation, or None."""
        for entry in self.entries:
            if (entry.name, entry.incarnation) == (name, incarnation):
                return entry
        return None


class Placement(msgspec.Struct, frozen=True):
    """Where a key's record is kept.

    `former` are agents that may hold it instead and must be asked first;
    `lost` names one whose records are gone, so that nobody can tell.
    """

    home: AgentEntry | None
    former: tuple[AgentEntry, ...] = ()
    lost: str = ''


def registry_key(service):
    """Return the store key of a service's registry."""
    return f'{REGISTRY_PREFIX}{service}'


def join(registry, entry):
    """Add a new incarnation; older ones of its name become LOST."""
    if registry.find(entry.name, entry.incarnation):
        return
    registry.version += 1
    for other in registry.entries:
        if other.name == entry.name and other.is_serving():
            declare_lost(registry, other.name, other.incarnation)
    registry.entries.append(entry)


def activate(registry, name, incarnation):
    """Clear the joining mark; return False if the entry is not serving."""
    entry = registry.find(name, incarnation)
    if entry is None or not entry.is_serving():
        return False
    registry.version += 1
    entry.phase = Phase.ACTIVE
    return True


def mark_charging(registry, name, incarnation):
    """Note that an incarnation charges; return False if it isn't serving."""
    entry = registry.find(name, incarnation)
    if entry is None or not entry.is_serving():
        return False
    registry.version += 1
    entry.charges = True
    return True


def declare_lost(registry, name, incarnation):
    """Declare an incarnation lost; return False if it isn't serving.

    Safe at any time, also when it is alive: nothing that it may have run is
    run again before every router has vouched.
    """
    entry = registry.find(name, incarnation)
    if entry is None or not entry.is_serving():
        return False
    registry.version += 1
    entry.phase = Phase.LOST
    entry.gone_at = registry.version
    return True


def close(registry, name, incarnation, usage):
    """Mark an incarnation as left in order.

    One that was declared lost while it was alive may still do so, and is then
    accounted for.  Returns False if it has been forgotten.
    """
    entry = registry.find(name, incarnation)
    if entry is None or not (entry.is_serving() or entry.phase is Phase.LOST):
        return False
    registry.version += 1
    entry.phase = Phase.CLOSED
    entry.gone_at = registry.version
    entry.usage = usage
    return True


def forget(registry, name, incarnation, holders):
    """Let an entry that has gone no longer stand in the way of its keys.

    It is kept as FORGOTTEN while one of `holders`, the records of all
    holders, may have used it; else it is removed.
    """
    entry = registry.find(name, incarnation)
    if entry is None or entry.is_serving():
        return False
    needed = any(
        entry.gone_at > record.births.get(registry.service, 0)
        for record in holders
    )
    if needed and entry.phase is Phase.FORGOTTEN:
        return False
    registry.version += 1
    if needed:
        entry.phase = Phase.FORGOTTEN
    else:
        registry.entries.remove(entry)
    return True


def is_vouched_for(registry, entry, holders):
    """Tell whether all that a lost agent was sent has been handed over.

    `holders` are the records of all holders.  Those born after the loss have
    sent it nothing.
    """
    if entry.phase is not Phase.LOST or registry.unvouched:
        return False
    return all(
        record.holder in entry.vouched
        or record.births.get(registry.service, 0) >= entry.gone_at
        for record in holders
    )


def score(entry, key):
    """Return the rendezvous weight of an agent for a key."""
    text = f'{entry.name}\0{key}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def placement(registry, key):
    """Return the Placement of `key`."""
    ranked = sorted(
        registry.entries,
        key=lambda entry: score(entry, key),
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
        # Below an agent that has been here all the time nobody was asked.
        if entry.phase is Phase.ACTIVE:
            break
    return Placement(home, tuple(former), lost)


def rank_agents(registry, key):
    """Return the serving agents by descending weight for `key`."""
    return sorted(
        registry.serving_entries(),
        key=lambda entry: score(entry, key),
        reverse=True,
    )


def exclude_agents(registry, agent_ids):
    """Return a registry that lacks some incarnations."""
    entries = [
        entry
        for entry in registry.entries
        if entry.agent_id() not in agent_ids
    ]
    return Registry(
        registry.service, registry.version, entries, registry.unvouched
    )


class HolderRecord(msgspec.Struct):
    """One incarnation of a router, as the store knows it.

    `births` maps each service to the registry version that the holder read
    after it was created.  Agents that had gone by then never served it.
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


def may_have_hidden_keys(registry, record):
    """Tell whether a holder may have sent keys that nobody can tell of."""
    birth = record.births.get(registry.service, 0)
    return any(
        entry.phase is Phase.LOST
        and entry.gone_at > birth
        and record.holder not in entry.vouched
        for entry in registry.entries
    )


def unaccounted_agents(registry, record):
    """Return the gone agents that may have charged a holder.

    Closed ones left their usage in the registry; lost ones left nothing.
    """
    birth = record.births.get(registry.service, 0)
    return [
        entry
        for entry in registry.entries
        if not entry.is_serving() and entry.charges and entry.gone_at > birth
    ]
