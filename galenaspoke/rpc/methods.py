"""The calls between the system's own processes."""

from galenaspoke.rpc import transport
from galenaspoke.rpc import messages

# Served by agents.
SUBMIT = transport.Method(
    '/galenaspoke.Agent/Submit', messages.Submit, messages.Event, True
)
ASK = transport.Method(
    '/galenaspoke.Agent/Ask', messages.Ask, messages.AskReply
)
OUTCOME = transport.Method(
    '/galenaspoke.Agent/Outcome',
    messages.OutcomeRequest,
    messages.OutcomeReply,
)
SEAL = transport.Method(
    '/galenaspoke.Agent/Seal', messages.Seal, messages.SealReply
)
STATUS = transport.Method(
    '/galenaspoke.Agent/Status', messages.Heartbeat, messages.AgentStatus
)
HAND_OVER = transport.Method(
    '/galenaspoke.Agent/HandOver',
    messages.HandOver,
    messages.HandOverReply,
)
INSTALL = transport.Method(
    '/galenaspoke.Agent/Install', messages.ConfigSnapshot, messages.Empty
)
NOTICE = transport.Method(
    '/galenaspoke.Agent/Notice', messages.RegistrySnapshot, messages.Empty
)

# Served by routers.
ROUTER_STATUS = transport.Method(
    '/galenaspoke.Router/Status', messages.Empty, messages.RouterStatus
)
CONFIG = transport.Method(
    '/galenaspoke.Router/Config', messages.Empty, messages.ConfigSnapshot
)
REGISTRY = transport.Method(
    '/galenaspoke.Router/Registry',
    messages.RegistryRequest,
    messages.RegistrySnapshot,
)
OFFER = transport.Method(
    '/galenaspoke.Router/Offer', messages.Offer, messages.Event, True
)
RELEASE = transport.Method(
    '/galenaspoke.Router/Release', messages.Release, messages.ReleaseReply
)
TAKE_OVER = transport.Method(
    '/galenaspoke.Router/TakeOver', messages.TakeOver, messages.TakeOverReply
)
