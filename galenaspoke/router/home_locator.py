"""Finding the home of a request, and the agent to propose as its runner."""

from galenaspoke.core import registry
from galenaspoke.core import verdicts
from galenaspoke.router import request_state
from galenaspoke.rpc import messages
from galenaspoke.rpc import methods
from galenaspoke.rpc import transport

ASK_TIMEOUT_MS = 500


class HomeLocator:
    """Finds homes among the agents that a router knows.

    `choose_runner` is a placement policy of core.routing: it takes the home's
    id and the Load of each candidate by id, and returns an id or None.
    """

    __slots__ = ('_peers', '_choose_runner')

    def __init__(self, peers, choose_runner):
        self._peers = peers
        self._choose_runner = choose_runner

    def find(self, state):
        """Return the home to submit the request to, an AgentPeer.

        A former home that keeps the request's record is returned in its
        place.  Raises AttemptFailed if no home can be reached, or if the
        record of a former home is needed and can't be had.
        """
        req = state.req
        reg = self._peers.registries.get(req.service)
        peers = self._peers.get_agents(req.service)
        skipped = set(state.excluded_homes)
        reg = registry.exclude_agents(reg or registry.Registry(), skipped)
        plan = registry.placement(reg, req.place)
        unreachable_id = plan.lost
        former = list(plan.former)
        home = peers.get(plan.home.agent_id()) if plan.home else None
        while home is not None and home.load.failed:
            # The agent may have failed because its target is down; it still
            # keeps its records.
            if self.is_reachable(home):
                break
            unreachable_id = unreachable_id or home.entry.agent_id()
            skipped.add(home.entry.agent_id())
            reg = registry.exclude_agents(reg, skipped)
            plan = registry.placement(reg, req.place)
            former += plan.former
            home = peers.get(plan.home.agent_id()) if plan.home else None
        if home is None:
            raise request_state.AttemptFailed(
                state.make_refusal(
                    verdicts.Reason.NO_TARGET, 'no target can be reached'
                )
            )
        state.skipped = skipped
        if state.asked_home == home.entry.agent_id():
            return home
        if state.asked_home is None and req.fresh and not state.may_have_run:
            return home
        # An attempt is known only to the home that claimed it, so its failure
        # is not reported to another home.
        state.failure = None
        if state.uses_durable_claim:
            # If the request has run, there is a claim in the store.
            return home
        home, unasked_id = self._ask_former(req, home, former, peers)
        unreachable_id = unreachable_id or unasked_id
        if unreachable_id:
            self._proceed_without_record(state, unreachable_id)
        return home

    def is_reachable(self, peer):
        """Return whether an agent answers within ASK_TIMEOUT_MS.

        An agent that heartbeats have found silent is not asked.
        """
        if peer.silent_since is not None:
            # Heartbeats go on and notice when it answers again.
            return False
        try:
            peer.channel.unary(
                methods.STATUS, messages.Heartbeat([]), ASK_TIMEOUT_MS
            )
        except transport.PeerUnreachable:
            return False
        return True

    def _ask_former(self, req, home, former, peers):
        """Ask the former homes for the record; return (agent, unasked_id).

        `agent` is the former home that keeps the record, or `home` if none
        does.  `unasked_id` is the id of a former home that could not be
        asked, or empty.
        """
        unasked_id = ''
        for entry in former:
            peer = peers.get(entry.agent_id())
            if peer is home:
                continue
            try:
                if peer is None:
                    raise transport.PeerUnreachable(
                        'the agent is not known yet', False
                    )
                reply = peer.channel.unary(
                    methods.ASK,
                    messages.Ask(entry.incarnation, req.key),
                    ASK_TIMEOUT_MS,
                )
            except transport.PeerUnreachable:
                unasked_id = unasked_id or entry.agent_id()
                continue
            if reply.known:
                return peer, ''
        return home, unasked_id

    def _proceed_without_record(self, state, unreachable_id):
        """Continue without the record of a former home, if that is safe.

        A repeatable request goes on, but is not billable: the earlier run may
        have been billed.  For any other request, raises AttemptFailed.
        """
        if not state.req.repeatable:
            refusal = verdicts.may_have_run(
                verdicts.Reason.RECORD_LOST,
                f'agent {unreachable_id}, which may have run the request,'
                ' can not be asked',
                1000,
            )
            raise request_state.AttemptFailed(refusal, counts_as_try=True)
        state.billable = False

    def propose_runner(self, state, home):
        """Return the id of the agent to propose as the runner.

        Raises AttemptFailed if no agent takes requests, unless the request is
        only looked up.
        """
        peers = self._peers.get_agents(state.req.service)
        loads = {
            agent_id: peer.load
            for agent_id, peer in peers.items()
            if agent_id not in state.avoided_runners
        }
        agent_id = self._choose_runner(home.entry.agent_id(), loads)
        if agent_id is None and state.lookup_refusal is None:
            state.avoided_runners.clear()
            raise request_state.AttemptFailed(
                state.make_refusal(
                    verdicts.Reason.OVERLOAD, 'no target takes requests now'
                )
            )
        return agent_id or home.entry.agent_id()
