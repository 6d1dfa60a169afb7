"""What operators do with budgets: top up, lower, settle doubts, look."""

from galenaspoke.core import ledger
from galenaspoke.store import client as store_client


def _page(store, cfg, budget, change):
    key = ledger.page_key(budget, cfg.ledger_pages)

    def checked(page):
        result = change(page)
        ledger.check_invariants(page)
        return result

    return store_client.update(store, key, ledger.Page, checked)


def top_up(store, cfg, budget, payment):
    """Apply a payment once; return (whether it was applied now, Entry)."""

    def change(page):
        return ledger.top_up(page, budget, payment) or store_client.UNCHANGED

    result, page = _page(store, cfg, budget, change)
    return result is True, page.entries[budget]


def lower(store, cfg, budget, limit):
    """Lower a limit; return the Entry."""
    _, page = _page(
        store,
        cfg,
        budget,
        lambda page: ledger.lower_limit(page, budget, limit),
    )
    return page.entries[budget]


def settle(store, cfg, budget, doubt_id, spent):
    """Settle a doubt; return (whether it was there, Entry)."""

    def change(page):
        return (
            ledger.settle_doubt(page, budget, doubt_id, spent)
            or store_client.UNCHANGED
        )

    result, page = _page(store, cfg, budget, change)
    return result is True, page.entries[budget]


def entry(store, cfg, budget):
    """Return one budget's ledger entry; raises UnknownBudget."""
    item = store.get(ledger.page_key(budget, cfg.ledger_pages))
    page = store_client.decode(item, ledger.Page)
    if budget not in page.entries:
        raise ledger.UnknownBudget(f'budget {budget} has no ledger entry')
    return page.entries[budget]


def entries(store):
    """Return all budgets' ledger entries by name."""
    found = {}
    for item in store.list(ledger.PAGE_PREFIX).items:
        page = store_client.decode(item, ledger.Page)
        found.update(page.entries)
    return dict(sorted(found.items()))


def summary(name, entry):
    """Return what an operator wants to see of a budget."""
    return {
        'budget': name,
        'limit': entry.limit,
        'wanted': entry.wanted,
        'settled': entry.settled,
        'granted': sum(grant.granted for grant in entry.grants.values()),
        'in_doubt': entry.in_doubt_tokens(),
        'free': entry.free_tokens(),
        'holders': sorted(entry.grants),
        'doubts': entry.doubts,
    }
