"""The messages between routers and agents.

Every reply that is sent regularly carries the configuration generation, so
that a process that is behind learns of it.  Times are remaining milliseconds,
never points in time: no two clocks are compared.
"""

import msgspec

from galenaspoke.core import records
from galenaspoke.core import registry
from galenaspoke.core import runs as run_table
from galenaspoke.core import verdicts


class Empty(msgspec.Struct):
    """Nothing."""


class Request(msgspec.Struct, frozen=True):
    """What a caller asked for.

    `fresh` is set when this system made the key up itself, so that nobody
    can have sent it before.  `digest` identifies the content, and `place`
    is what the request's home is found by.
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

    With `attempt` 0 the agent is asked as home; else it is asked to start
    (`new`) or to follow that attempt.  `resume` are the pieces that
    have been delivered already, to go on from.  With `look` set nothing
    is started: the home lets the request be followed, or says it has none.

    `to` is the incarnation meant, here and in every message to an agent that
    depends on what the agent remembers.  `skipped` are the agents that come
    before this home but are leaving or can't be reached.
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
    """The next pieces of an answer."""

    pieces: list[str]


class End(msgspec.Struct, frozen=True, tag='end'):
    """The end of a run.

    Only `whole` makes the pieces before it an answer.  `dispatch` tells
    whose reservation the run is charged to: `spent` and `doubt` tokens.
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
    """Asks a former home for a key's record, fencing the key there."""

    to: str
    key: str


class AskReply(msgspec.Struct, frozen=True):
    """A former home's answer: it keeps the record, or never will."""

    known: bool


class OutcomeRequest(msgspec.Struct, frozen=True):
    """Asks what became of a dispatch; one that never came is fenced."""

    to: str
    dispatch: str


class OutcomeReply(msgspec.Struct, frozen=True):
    """What a dispatch cost; final once it is not running."""

    running: bool
    spent: int
    doubt: int


class Seal(msgspec.Struct, frozen=True):
    """Tells an agent to take nothing more from a holder.

    `live` are the holders that can still tell themselves what they sent.
    """

    to: str
    holder: str
    live: list[str]


class SealReply(msgspec.Struct, frozen=True):
    """What a sealed holder used at one agent.

    `records` are of all that any holder sent there which is no longer live.
    """

    usage: dict[str, registry.Usage]
    records: list['Handed']


class Heartbeat(msgspec.Struct, frozen=True):
    """A heartbeat; names the holders that the router stands for.

    An agent looks up those that it hasn't met, so that they can spend there
    when the store is down.  `version` is that of the service's registry.
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

    `holders` are the identities under which it has money, `registries` the
    versions that it knows, `silent` the agents that don't answer it.
    """

    name: str
    holders: list[str]
    generation: int
    leaving: bool
    registries: dict[str, int]
    silent: list[str]


class ConfigSnapshot(msgspec.Struct, frozen=True):
    """A configuration, whole."""

    generation: int
    raw: bytes


class RegistryRequest(msgspec.Struct, frozen=True):
    """Asks a router for its copy of a service's registry."""

    service: str


class RegistrySnapshot(msgspec.Struct, frozen=True):
    """A router's copy of a registry; None if it has none."""

    registry: registry.Registry | None


class Release(msgspec.Struct, frozen=True):
    """Asks a router to give back what it doesn't need of a budget."""

    budget: str


class ReleaseReply(msgspec.Struct, frozen=True):
    """How many tokens were given back to the store."""

    amount: int


class Offer(msgspec.Struct, frozen=True):
    """Asks a router to serve a request from what it holds."""

    request: Request


class Handed(msgspec.Struct, frozen=True):
    """A record handed over by an agent that leaves.

    `state`, `pieces` and `refusal` are those of the run, if it was there.
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
    """Records for their next home.

    `leaver` is the agent whose runs come along, or empty.
    """

    to: str
    leaver: str
    records: list[Handed]


class HandOverReply(msgspec.Struct, frozen=True):
    """How many records were not taken, having another home."""

    rejected: int


class TakeOver(msgspec.Struct, frozen=True):
    """What a stopping router has sent, by agent, for another to vouch."""

    sent: dict[str, list[Handed]]


class TakeOverReply(msgspec.Struct, frozen=True):
    """Whether the other router vouches for it from now on."""

    taken: bool


class Order(msgspec.Struct, frozen=True):
    """What a target is to run; a lower `fence` than the last is refused."""

    fence: int
    model: str
    adapter: str
    role: str
