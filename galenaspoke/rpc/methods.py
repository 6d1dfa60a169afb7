"""The calls between the system's own processes."""

from galenaspoke.rpc import bridge
from galenaspoke.rpc import messages

# Served by agents.
SUBMIT = bridge.Method(
    '/galenaspoke.Agent/Submit', messages.Submit, messages.Event, True
)
ASK = bridge.Method('/galenaspoke.Agent/Ask', messages.Ask, messages.Known)
OUTCOME = bridge.Method(
    '/galenaspoke.Agent/Outcome', messages.OutcomeOf, messages.Outcome
)
SEAL = bridge.Method('/galenaspoke.Agent/Seal', messages.Seal, messages.Sealed)
STATUS = bridge.Method(
    '/galenaspoke.Agent/Status', messages.Greeting, messages.AgentStatus
)
HAND_OVER = bridge.Method(
    '/galenaspoke.Agent/HandOver',
    messages.HandOver,
    messages.HandOverReply,
)
INSTALL = bridge.Method(
    '/galenaspoke.Agent/Install', messages.GenerationBox, messages.Empty
)
NOTICE = bridge.Method(
    '/galenaspoke.Agent/Notice', messages.RegistryBox, messages.Empty
)

# Served by routers.
ROUTER_STATUS = bridge.Method(
    '/galenaspoke.Router/Status', messages.Empty, messages.RouterStatus
)
CONFIG = bridge.Method(
    '/galenaspoke.Router/Config', messages.Empty, messages.GenerationBox
)
REGISTRY = bridge.Method(
    '/galenaspoke.Router/Registry',
    messages.RegistryOf,
    messages.RegistryBox,
)
OFFER = bridge.Method(
    '/galenaspoke.Router/Offer', messages.Offer, messages.Event, True
)
RELEASE = bridge.Method(
    '/galenaspoke.Router/Release', messages.Release, messages.Released
)
TAKE_OVER = bridge.Method(
    '/galenaspoke.Router/TakeOver', messages.TakeOver, messages.TakeOverReply
)
