"""What requests cost their accounts: reserved before, settled after.

A request is charged by what the configurations say that may be in force while
it runs, not only by the one that admitted it: its events count as the largest
that its service may send, and it is charged as well if its account gets a
limit meanwhile.

Example::

    refusal = charges.reserve(context)
    if refusal is None:
        ...
        charges.settle(context)
"""

import gevent

from galenaspoke.edge.money import reservations
from galenaspoke.edge.serving import refusals

# The longest time that a request waits for its budget reservation, in ms and
# as a share of the time that it has left, whichever is shorter.
RESERVE_TIMEOUT_MS = 1_000
RESERVE_TIMEOUT_SHARE = 0.25


class Charges:
    """Reserves and settles the tokens of the requests of one router.

    `event_sizes` are the EventSizes of the services.
    """

    __slots__ = (
        '_config_view',
        '_budget_manager',
        '_event_sizes',
        '_clock',
        '_metrics',
        '_unlimited',
    )

    def __init__(
        self, config_view, budget_manager, event_sizes, clock, metrics
    ):
        self._config_view = config_view
        self._budget_manager = budget_manager
        self._event_sizes = event_sizes
        self._clock = clock
        self._metrics = metrics
        # The contexts of running requests whose accounts had no limit.
        self._unlimited = set()

    def reserve(self, context):
        """Reserve the most that a request may cost; return a Refusal or None.

        Call `settle` once it has ended unless it is refused.
        """
        account = context.account
        amount = context.metadata.max_tokens()
        if account is None or not amount:
            return None
        if account.prepaid is None:
            self._unlimited.add(context)
            return None
        remaining_ms = context.remaining_ms(self._clock.now())
        timeout_ms = min(
            RESERVE_TIMEOUT_MS, RESERVE_TIMEOUT_SHARE * remaining_ms
        )
        result = self._budget_manager.reserve(account.name, amount, timeout_ms)
        if isinstance(result, reservations.ReservationFailure):
            self._metrics.count(f'refused.{result.shortage.value}')
            return refusals.from_reservation_failure(result)
        context.reservation = result
        return None

    def settle(self, context):
        """Charge what a request that has ended has used."""
        self._unlimited.discard(context)
        if context.reservation is None:
            return
        now = self._clock.now()
        self._event_sizes.record(self._config_view.catalog, now)
        context.event_tokens = max(
            context.event_tokens,
            self._event_sizes.find_largest(context.service, now),
        )
        context.charged_tokens = min(
            context.reservation.amount, context.consumed_tokens()
        )
        context.reservation.settle(context.charged_tokens)

    def apply_new_catalog(self):
        """React to a new configuration, which may limit running requests."""
        catalog = self._config_view.catalog
        self._event_sizes.record(catalog, self._clock.now())
        for context in list(self._unlimited):
            account = catalog.accounts.get(context.account.name)
            if account is not None and account.prepaid is not None:
                gevent.spawn(self._reserve_late, context)

    def _reserve_late(self, context):
        """Reserve for a running request whose account has a limit now."""
        result = self._budget_manager.reserve(
            context.account.name,
            context.metadata.max_tokens(),
            RESERVE_TIMEOUT_MS,
        )
        if isinstance(result, reservations.ReservationFailure):
            self._metrics.count('charges.unreserved')
        elif context.reservation is not None:
            # Another configuration came at the same time.
            result.settle(0)
        else:
            has_ended = context not in self._unlimited
            self._unlimited.discard(context)
            context.reservation = result
            if has_ended:
                self.settle(context)
