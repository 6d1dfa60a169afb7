"""Operators' actions on the budgets in the ledger."""

from galenaspoke.core import ledger
from galenaspoke.ctl import updates
from galenaspoke.store import client as store_client


def _update_page(store, cfg, budget, change):
    key = ledger.page_key(budget, cfg.ledger_pages)

    def change_and_check(page):
        has_changed = change(page)
        ledger.check_invariants(page)
        return has_changed

    return updates.update(store, key, ledger.Page, change_and_check)


def top_up(store, cfg, budget, payment):
    """Apply a payment once; return (whether applied now, BudgetEntry)."""
    outcome, page = _update_page(
        store, cfg, budget, lambda page: ledger.top_up(page, budget, payment)
    )
    return outcome is not updates.Outcome.UNCHANGED, page.entries[budget]


def lower_limit(store, cfg, budget, limit):
    """Lower a budget's limit; return the BudgetEntry."""

    def change(page):
        ledger.lower_limit(page, budget, limit)
        return True

    _, page = _update_page(store, cfg, budget, change)
    return page.entries[budget]


def settle_doubt(store, cfg, budget, doubt_id, spent):
    """Settle a doubt; return (whether it was found, BudgetEntry).

    Raises OutcomeUnknown if it was settled meanwhile: another operator may
    have given another amount.
    """
    outcome, page = _update_page(
        store,
        cfg,
        budget,
        lambda page: ledger.settle_doubt(page, budget, doubt_id, spent),
    )
    if outcome is updates.Outcome.CHANGED_MEANWHILE:
        raise store_client.OutcomeUnknown(
            f'{doubt_id} was settled by this command or by another one'
        )
    return outcome is updates.Outcome.CHANGED, page.entries[budget]


def get_entry(store, cfg, budget):
    """Return one budget's ledger entry; raises UnknownBudget."""
    item = store.get(ledger.page_key(budget, cfg.ledger_pages))
    page = store_client.decode(item, ledger.Page)
    if budget not in page.entries:
        raise ledger.UnknownBudget(f'budget {budget} has no ledger entry')
    return page.entries[budget]


def list_entries(store):
    """Return {budget: BudgetEntry} for all budgets, sorted by name."""
    by_name = {}
    for item in store.list(ledger.PAGE_PREFIX).items:
        page = store_client.decode(item, ledger.Page)
        by_name.update(page.entries)
    return dict(sorted(by_name.items()))


def summarize(budget, entry):
    """Return an overview of a budget, as printed by the command line."""
    return {
        'budget': budget,
        'limit': entry.limit,
        'wanted': entry.wanted,
        'settled': entry.settled,
        'granted': sum(grant.granted for grant in entry.grants.values()),
        'in_doubt': entry.in_doubt_tokens(),
        'free': entry.free_tokens(),
        'holders': sorted(entry.grants),
        'doubts': entry.doubts,
    }
