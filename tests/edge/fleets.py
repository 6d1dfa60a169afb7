"""Routers that spend one budget of one store, in this process."""

import msgspec

from galenaspoke.core import catalog
from galenaspoke.core import ledger
from galenaspoke.edge import budgets
from galenaspoke.edge import reservations
from tests.edge import base
from tests import fakes

BUDGET = 'voucher-desk'
LIMIT = 10_000
KEY = 'ledger/0000'
WAIT_MS = 50


class NoLenders:
    """Nobody lends."""

    def ask(self, *_):
        """Answer nothing."""

    def give_back(self, *_):
        """Take nothing."""


class DirectLending:
    """Asks purses in this process, by address."""

    def __init__(self, managers):
        self.managers = managers

    def ask(self, address, asked):
        """Ask one."""
        found = self.managers.get(address)
        return found.lend(asked) if found else None

    def give_back(self, address, returned):
        """Give tokens back to one."""
        found = self.managers.get(address)
        if found:
            found.accept_return(returned)


def published(limit, generation=1):
    """Return a catalog with one prepaid account."""
    account = catalog.Account(BUDGET, prepaid=limit)
    return catalog.Catalog(
        generation, (), (), (account,), {}, catalog.Limits()
    )


class Fleet:
    """Routers with one store; counts what each really spent."""

    def __init__(self, limit=LIMIT):
        self.store = fakes.FakeStore()
        self.clock = base.make_manual_clock()
        self.catalog = published(limit)
        self.managers = {}
        self.spent = 0

    def start(self, name, lenders=None):
        """Start the process of an instance, or its successor."""
        found = budgets.BudgetManager(
            base.make_edge_settings(name, peer_listen=name, ledger_pages=1),
            self.store,
            self.clock,
            base.Recorder(),
            base.Recorder(),
            lambda: self.catalog,
            lenders or DirectLending(self.managers),
        )
        found.start()
        self.managers[name] = found
        return found

    def serve(self, name, amount, spent):
        """Serve a request; return whether there was money."""
        held = self.managers[name].reserve(BUDGET, amount, WAIT_MS)
        if isinstance(held, reservations.ReservationFailure):
            return False
        self.spent += spent
        held.settle(spent)
        return True

    def page(self):
        """Return the page as the store has it."""
        return msgspec.json.decode(self.store.get(KEY).value, type=ledger.Page)
