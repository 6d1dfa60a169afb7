"""Finds out when all routers follow a plan, so that earlier ones have ended.

A router begins streams by the plan that it read last, for as long as it can't
read a later one.  No time-out tells others that it has stopped to do so: it
may be cut off, or stand still with a request that it has chosen a target for.
So the author of a plan asks each router in the store's list of routers whether
it follows the plan.  Once all have said so, it records that the earlier plans
have ended.  Until then what began by one of them is uncertain.

A router that isn't in the list yet reads the record once it is, so it follows
the plan or a later one.  One that is silent for very long has to read it as
well before it begins streams again.  If the author doesn't get on, others take
over.

Example::

    agreement = PlanAgreement(record, members.list_others, routers, send,
                              clock, journal)
    gevent.spawn(agreement.run)
    agreement.handle(data, '10.2.0.29:7340')
"""

import gevent
import msgspec

from galenaspoke.store import base
from galenaspoke.utils import decoding

POLL_INTERVAL_S = 0.1
# Questions without an answer are sent again after this long, then after twice
# as long each time, up to the maximum.
INITIAL_RETRY_MS = 100
MAX_RETRY_MS = 2_000
# Routers that haven't answered for this long are on record as silent, and the
# list of routers is read again: some may have restarted elsewhere.
RELIST_MS = 10_000
# A plan that isn't settled this long after it was read, for each router whose
# turn comes first, is taken over.
TAKEOVER_MS = 2_000


class _PlanMessage(msgspec.Struct, array_like=True):
    """Names a plan of a service, which is in the store in that era."""

    service: str
    era: int
    number: int


class Follow(_PlanMessage, tag='follow'):
    """Asks whether a router follows the plan, or a later one."""


class Following(_PlanMessage, tag='following'):
    """The plan that a router follows; `number` is 0 if there is none."""


class Settled(_PlanMessage, tag='settled'):
    """States that all routers follow the plan."""


Message = Follow | Following | Settled


class _Round:
    """The questions about one plan."""

    __slots__ = (
        'era',
        'number',
        'addresses',
        'pending',
        'unused',
        'retry_ms',
        'send_at',
        'listed_at',
    )

    def __init__(self, era, number, addresses, now):
        self.era = era
        self.number = number
        # The addresses of all other routers by name, and of those that have
        # not said yet that they follow the plan.
        self.addresses = addresses
        self.pending = dict(addresses)
        # The names of those that need not answer.
        self.unused = set()
        self.retry_ms = INITIAL_RETRY_MS
        self.send_at = now
        self.listed_at = now

    def is_about(self, era, number):
        """Return whether it is about the plan with a number in an era."""
        return (self.era, self.number) == (era, number)

    def record_answer(self, address):
        """Record that the router at an address follows the plan."""
        self.pending = {
            name: other
            for name, other in self.pending.items()
            if other != address
        }


class PlanAgreement:
    """Asks other routers which plans they follow, and answers them.

    `record` is the VersionRecord and `store` its store.  `list_others()` reads
    the addresses of the other routers by name from the store, `routers` is the
    RouterList, and `send(address, data)` sends a datagram.
    """

    __slots__ = (
        '_record',
        '_store',
        '_list_others',
        '_routers',
        '_send',
        '_clock',
        '_journal',
        '_rounds',
        '_seen',
        '_is_failing',
    )

    def __init__(
        self, record, store, list_others, routers, send, clock, journal
    ):
        self._record = record
        self._store = store
        self._list_others = list_others
        self._routers = routers
        self._send = send
        self._clock = clock
        self._journal = journal
        # The _Round about the plan in force, by service.
        self._rounds = {}
        # By service the number of the latest plan, and when it was first seen.
        self._seen = {}
        self._is_failing = False

    def run(self):
        """Ask at intervals; never returns."""
        while True:
            gevent.sleep(POLL_INTERVAL_S)
            self.poll()

    def poll(self):
        """Go on with the questions about each plan that isn't settled."""
        try:
            for service in self._record.list_services():
                self._advance(service)
            self._is_failing = False
        except (base.StoreError, base.OutcomeUnknown) as exc:
            if not self._is_failing:
                self._journal.note('versions.unsettled', why=str(exc))
            self._is_failing = True

    def _advance(self, service):
        number = self._record.get_plan_number(service)
        if not number or self._record.is_settled(service):
            self._rounds.pop(service, None)
            return
        current = self._rounds.get(service)
        if current is None or not current.is_about(self._store.era, number):
            if not self._is_turn(service, number):
                return
            current = self._begin_round(service, number)
            if current is None:
                return
        if current.pending:
            self._ask(service, current)
        else:
            self._settle(service, current)

    def _is_turn(self, service, number):
        """Return whether this router should ask about a plan."""
        now = self._clock.now()
        seen_number, seen_at = self._seen.get(service, (0, now))
        if seen_number != number:
            seen_at = now
        self._seen[service] = (number, seen_at)
        if self._record.is_author(service):
            return True
        turn = self._routers.get_turn(f'plan|{service}')
        return turn is not None and now >= seen_at + TAKEOVER_MS * (turn + 1)

    def _begin_round(self, service, number):
        """Return a new _Round; None if the plan turns out to be settled."""
        if not self._record.is_author(service):
            self._record.refresh(service)
            if self._record.is_settled(service):
                return None
            if self._record.get_plan_number(service) != number:
                return None
        era = self._store.era
        current = _Round(era, number, self._list_others(), self._clock.now())
        self._rounds[service] = current
        return current

    def _ask(self, service, current):
        now = self._clock.now()
        if now < current.send_at:
            return
        if now - current.listed_at > RELIST_MS:
            self._relist(service, current)
        data = msgspec.msgpack.encode(
            Follow(service, current.era, current.number)
        )
        for address in current.pending.values():
            if address:
                self._send(address, data)
        current.send_at = now + current.retry_ms
        current.retry_ms = min(MAX_RETRY_MS, 2 * current.retry_ms)

    def _relist(self, service, current):
        """Ask routers that restarted elsewhere at their new addresses.

        Those that have been silent for very long need not answer.
        """
        others = self._list_others()
        unused = self._record.mark_silent(service, list(current.pending))
        current.listed_at = self._clock.now()
        current.pending = {
            name: others[name]
            for name in current.pending
            if name in others and name not in unused
        }
        current.unused = unused
        self._journal.note(
            'versions.unsettled',
            service=service,
            number=current.number,
            waits_for=sorted(current.pending),
        )

    def _settle(self, service, current):
        """Record that the earlier plans have ended, and tell it."""
        answered = set(current.addresses) - current.unused
        self._record.settle(service, current.number, answered)
        del self._rounds[service]
        self._journal.note(
            'versions.settled', service=service, number=current.number
        )
        data = msgspec.msgpack.encode(
            Settled(service, current.era, current.number)
        )
        for address in current.addresses.values():
            if address:
                self._send(address, data)

    def handle(self, data, address):
        """Handle a datagram of another router; ignore other kinds."""
        try:
            message = decoding.decode_msgpack(data, Message)
        except decoding.Unreadable:
            return
        if message.era != self._store.era:
            return
        if isinstance(message, Follow):
            self._answer(message, address)
        elif isinstance(message, Following):
            self._handle_answer(message, address)
        else:
            self._record.mark_settled(message.service, message.number)

    def _answer(self, message, address):
        self._record.want(message.service, message.number)
        answer = Following(
            message.service,
            message.era,
            self._record.get_plan_number(message.service),
        )
        self._send(address, msgspec.msgpack.encode(answer))

    def _handle_answer(self, message, address):
        current = self._rounds.get(message.service)
        if current is None or current.era != message.era:
            return
        if message.number >= current.number:
            current.record_answer(address)
