"""Keeps the ledger safe when the store comes back from an older copy.

The store may lose its latest changes: it comes back from a copy that is at
most `COPY_AGE_MS` old, in a new *era*.  A grant that the copy lacks may still
be spent by its holder, who may be alive, cut off, paused, or dead.

A token is *volatile* until its holder knows that every copy from which the
store may come back includes its grant: it was granted at least `COPY_AGE_MS`
ago and the store has answered in the same era since.  At any time the volatile
tokens of a budget are at most `ledger.volatile_limit`.  So that is also the
most that a copy can lack, whoever holds it, and a page that is taken over from
a copy counts that many tokens as *unseen*:

    page = take_over(copied_page, eras=1)
    join(page, 'front-a-1#7c', {'voucher-desk': 4000})

A holder that is alive joins the page with what it was really granted, which
then counts as granted and not as unseen.  When every process that may have
drawn tokens has stated its grants, nothing is unseen any more (`release`).
"""

from galenaspoke.core import ledger

# The greatest age of a copy from which the store comes back.
COPY_AGE_MS = 8_000


def is_durable(written_at, confirmed_at):
    """Return whether every copy includes what was written at a time.

    `confirmed_at` is when the latest call was sent that the store answered in
    the same era, None if there was none.  Both are in ms of one clock.
    """
    return (
        confirmed_at is not None and confirmed_at >= written_at + COPY_AGE_MS
    )


def get_volatile_room(entry):
    """Return how many tokens may be granted without exceeding the limit."""
    volatile = entry.closed_volatile + sum(
        grant.volatile for grant in entry.grants.values()
    )
    limit = ledger.volatile_limit(min(entry.limit, entry.wanted))
    return max(0, limit - volatile)


def take_over(page, eras):
    """Prepare a page that was read from a copy of the store; return it.

    `eras` is how many times the store has come back from a copy since the
    page was last written.
    """
    page.lost_eras += eras
    page.writers = {holder: 0 for holder in page.writers}
    for entry in page.entries.values():
        entry.joined = []
        entry.unseen += eras * ledger.volatile_limit(entry.wanted)
        ledger.update_limit(entry)
    return page


def join(page, holder, granted_by_budget):
    """Replace a holder's grants by those that it states itself.

    `granted_by_budget` has the tokens of the page's budgets that were granted
    to it in all.  Leaves out budgets that the holder has joined before.
    Returns the budgets of which the holder has more than could be unseen,
    because the copy was older than COPY_AGE_MS; no tokens of these are granted
    any more.
    """
    if not page.lost_eras:
        return []
    for budget, granted in granted_by_budget.items():
        if granted and budget not in page.entries:
            page.entries[budget] = ledger.BudgetEntry(unseen=granted)
    exceeded = []
    for budget, entry in page.entries.items():
        if holder in entry.joined:
            continue
        entry.joined.append(holder)
        extra = _replace_grant(entry, holder, granted_by_budget.get(budget, 0))
        if extra > entry.unseen:
            exceeded.append(budget)
            entry.unseen = entry.limit
        else:
            entry.unseen -= max(0, extra)
        ledger.update_limit(entry)
    return exceeded


def _replace_grant(entry, holder, granted):
    """Set a holder's grant; return by how much it grew."""
    grant = entry.grants.get(holder)
    before = grant.granted if grant else 0
    if not granted:
        entry.grants.pop(holder, None)
    elif grant is None:
        entry.grants[holder] = ledger.Grant(granted, volatile=granted)
    else:
        grant.granted = granted
        grant.spent = min(grant.spent, granted)
        grant.volatile = min(
            granted, grant.volatile + max(0, granted - before)
        )
    return granted - before


def release(page):
    """Record that nothing is unseen; return whether anything was.

    All holders that may have unseen grants must have joined.
    """
    if not page.lost_eras:
        return False
    page.lost_eras = 0
    for entry in page.entries.values():
        entry.joined = []
        entry.unseen = 0
        ledger.update_limit(entry)
    return True
