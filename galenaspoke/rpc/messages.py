"""The RPC messages between routers and agents.

Replies to heartbeats carry the configuration generation, so that a process
with an older configuration is noticed.  Times are remaining milliseconds and
never points in time, because clocks of different processes can't be compared.
"""

import msgspec

from galenaspoke.core import records
from galenaspoke.core import registry
from galenaspoke.core import runs as run_table
from galenaspoke.core import verdicts


class Empty(msgspec.Struct):
    """A message without content."""


class Request(msgspec.Struct, frozen=True):
    """A caller's request.

    `fresh` is set if the router generated the key, so that it can't have been
    sent before.  `digest` identifies the content, and `place` is the key by
    which the request's home is found.
    """

    key: str
    fresh: bool
    place: str
    service: str
    account: str
    budget: str
    prompt: str
    digest: str
    max_tokens: int
    repeatable: bool
    stream: bool
    priority: int
    deadline_ms: int


class Submit(msgspec.Struct, frozen=True):
    """Asks an agent to claim or to run a request.

    With `attempt` 0 the agent is asked as the request's home.  Otherwise it
    is asked as the runner, to start that attempt (`new`) or to follow it.
    `resume` are the pieces that were already delivered, after which the
    response continues.  With `look` set nothing is started: the home lets the
    router follow the request, or refuses if it has no record of it.

    `to` is the incarnation that the message is meant for, here and in every
    message whose reply depends on what the agent remembers.  `skipped` are
    the ids of agents that rank before this home but are leaving or can't be
    reached.

    `holder` is the holder that is charged, and `reserve` the tokens reserved
    for the run.  `propose` is the id of the agent that the router proposes as
    the runner, and `failure` what it knows about how the last attempt failed.
    """

    to: str
    request: Request
    dispatch: str
    holder: str
    reserve: int
    propose: str
    attempt: int = 0
    new: bool = True
    billable: bool = True
    suspect: bool = False
    look: bool = False
    skipped: list[str] = []
    failure: records.Failure | None = None
    resume: list[str] = []


class Pieces(msgspec.Struct, frozen=True, tag='pieces'):
    """The next pieces of a response."""

    pieces: list[str]


class End(msgspec.Struct, frozen=True, tag='end'):
    """The end of a run.

    The pieces before it are a complete response only if `whole` is set.
    `spent` and `doubt` tokens are charged to the reservation of `dispatch`.
    """

    whole: bool
    pieces: int
    dispatch: str
    spent: int
    doubt: int
    crash: str = ''
    refusal: verdicts.Refusal | None = None


Event = records.Claimed | Pieces | End | verdicts.Refusal


class Ask(msgspec.Struct, frozen=True):
    """Asks a former home whether it keeps a key's record.

    If it doesn't, the key is fenced there.
    """

    to: str
    key: str


class AskReply(msgspec.Struct, frozen=True):
    """A former home's reply to Ask.

    If `known` is false it will never accept the key, which is fenced there.
    """

    known: bool


class OutcomeRequest(msgspec.Struct, frozen=True):
    """Asks for the outcome of a dispatch, which is fenced if unknown."""

    to: str
    dispatch: str


class OutcomeReply(msgspec.Struct, frozen=True):
    """The cost of a dispatch in tokens, final once it is not running."""

    running: bool
    spent: int
    doubt: int


class Seal(msgspec.Struct, frozen=True):
    """Tells an agent to accept nothing more from a holder.

    `live` are the holders whose routers still know what they sent.
    """

    to: str
    holder: str
    live: list[str]


class SealReply(msgspec.Struct, frozen=True):
    """A sealed holder's usage at one agent, by budget.

    `records` are those of all requests sent there by holders that are not
    live.
    """

    usage: dict[str, registry.Usage]
    records: list['Handed']


class Heartbeat(msgspec.Struct, frozen=True):
    """A router's heartbeat, with the names of its holders.

    An agent looks up holders that are new to it, so that they can spend there
    while the store is down.  `version` is that of the service's registry.
    """

    holders: list[str]
    version: int = 0


class AgentStatus(msgspec.Struct, frozen=True):
    """An agent's reply to a heartbeat."""

    name: str
    incarnation: str
    generation: int
    leaving: bool
    target_up: bool
    load: int


class RouterStatus(msgspec.Struct, frozen=True):
    """A router's reply to a heartbeat.

    `holders` are the identities under which it holds grants, `registries` the
    registry versions that it knows by service, and `silent` the ids of agents
    that have not answered it for its `agent_lost_ms`.
    """

    name: str
    holders: list[str]
    generation: int
    leaving: bool
    registries: dict[str, int]
    silent: list[str]


class ConfigSnapshot(msgspec.Struct, frozen=True):
    """A complete configuration document and its generation."""

    generation: int
    raw: bytes


class RegistryRequest(msgspec.Struct, frozen=True):
    """Asks a router for its copy of a service's registry."""

    service: str


class RegistrySnapshot(msgspec.Struct, frozen=True):
    """A copy of a service's registry, or None if the sender has none."""

    registry: registry.Registry | None


class Release(msgspec.Struct, frozen=True):
    """Asks a router to return its unreserved tokens of a budget."""

    budget: str


class ReleaseReply(msgspec.Struct, frozen=True):
    """The reply to Release.

    `amount` is 0 if no tokens were returned, else a positive number.
    """

    amount: int


class Offer(msgspec.Struct, frozen=True):
    """Asks a router to serve a request from its own grants."""

    request: Request


class Handed(msgspec.Struct, frozen=True):
    """The record of one request, as one process passes it to another.

    `closed` is the final refusal if the request may not be attempted again.
    `state`, `pieces` and `refusal` are those of the run, if it took place at
    the agent that hands the record over.
    """

    key: str
    digest: str
    place: str
    attempt: int
    runner: str
    billable: bool
    closed: verdicts.Refusal | None = None
    state: run_table.RunState | None = None
    pieces: list[str] = []
    refusal: verdicts.Refusal | None = None


class HandOver(msgspec.Struct, frozen=True):
    """Hands records over to their next home.

    `leaver` is the id of the agent that hands over its own runs as well, or
    empty.
    """

    to: str
    leaver: str
    records: list[Handed]


class HandOverReply(msgspec.Struct, frozen=True):
    """The number of records rejected because they have another home."""

    rejected: int


class TakeOver(msgspec.Struct, frozen=True):
    """The records of what a stopping router sent, by agent id.

    The receiving router vouches for them from then on.
    """

    sent: dict[str, list[Handed]]


class TakeOverReply(msgspec.Struct, frozen=True):
    """Whether the other router has taken the records over."""

    taken: bool


class Order(msgspec.Struct, frozen=True):
    """What an agent orders its target to run.

    `fence` is the configuration's generation.  An engine that checks it
    refuses an order with a lower `fence` than the last.
    """

    fence: int
    model: str
    adapter: str
    role: str
