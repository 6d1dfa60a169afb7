"""Finding a request's home, and the agent to propose for running it."""

from galenaspoke.core import registry
from galenaspoke.core import verdicts
from galenaspoke.router import course as courses
from galenaspoke.rpc import transport
from galenaspoke.rpc import messages
from galenaspoke.rpc import methods

ASK_TIMEOUT_MS = 500


class Homes:
    """Finds homes among the agents that a router knows."""

    __slots__ = ('_members', '_choose')

    def __init__(self, members, choose):
        self._members = members
        self._choose = choose

    def find(self, course):
        """Return the home to ask, as an AgentPeer; raises Again."""
        req = course.req
        reg = self._members.registries.get(req.service)
        peers = self._members.agents_of(req.service)
        skipped = set(course.gone)
        reg = registry.exclude_agents(reg or registry.Registry(), skipped)
        plan = registry.placement(reg, req.place)
        silent = plan.lost
        former = list(plan.former)
        home = peers.get(plan.home.agent_id()) if plan.home else None
        while home is not None and home.load.failed:
            # Its target may be down while it keeps its records.
            if self.answers(home):
                break
            silent = silent or home.entry.agent_id()
            skipped.add(home.entry.agent_id())
            reg = registry.exclude_agents(reg, skipped)
            plan = registry.placement(reg, req.place)
            former += plan.former
            home = peers.get(plan.home.agent_id()) if plan.home else None
        if home is None:
            raise courses.Again(
                course.unproved(
                    verdicts.Reason.NO_TARGET, 'no target is to be reached'
                )
            )
        course.skipped = skipped
        if course.home == home.entry.agent_id():
            return home
        if course.home is None and req.fresh and not course.maybe_ran:
            return home
        # What is known of attempts is known to the home that they were
        # claimed at, and to no other.
        course.failure = None
        if course.durable:
            # Whoever has run it left a claim in the store.
            return home
        home, unasked = self._ask_former(req, home, former, peers)
        silent = silent or unasked
        if silent:
            self._without_record(course, silent)
        return home

    def answers(self, peer):
        """Tell whether an agent can be reached; waits a moment at most."""
        if peer.silent_since is not None:
            # Heartbeats ask again and again.
            return False
        try:
            peer.channel.unary(
                methods.STATUS, messages.Heartbeat([]), ASK_TIMEOUT_MS
            )
        except transport.PeerUnreachable:
            return False
        return True

    def _ask_former(self, req, home, former, peers):
        """Return the home, or the former one that keeps the record."""
        unasked = ''
        for entry in former:
            peer = peers.get(entry.agent_id())
            if peer is home:
                continue
            try:
                if peer is None:
                    raise transport.PeerUnreachable('not known yet', False)
                known = peer.channel.unary(
                    methods.ASK,
                    messages.Ask(entry.incarnation, req.key),
                    ASK_TIMEOUT_MS,
                )
            except transport.PeerUnreachable:
                unasked = unasked or entry.agent_id()
                continue
            if known.known:
                return peer, ''
        return home, unasked

    def _without_record(self, course, silent):
        """Go on although a former home's record can't be had, or not."""
        if not course.req.repeatable:
            refusal = verdicts.may_have_run(
                verdicts.Reason.RECORD_LOST,
                f'{silent}, which may have run it, can not be asked',
                1000,
            )
            raise courses.Again(refusal, counts=True)
        course.billable = False

    def propose(self, course, home):
        """Return the name of the agent to run at."""
        peers = self._members.agents_of(course.req.service)
        loads = {
            name: peer.load
            for name, peer in peers.items()
            if name not in course.avoid
        }
        name = self._choose(home.entry.agent_id(), loads)
        if name is None and course.look is None:
            course.avoid.clear()
            raise courses.Again(
                course.unproved(
                    verdicts.Reason.OVERLOAD, 'no target takes requests now'
                )
            )
        return name or home.entry.agent_id()
