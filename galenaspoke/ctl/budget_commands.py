"""The operators' commands for budgets: usage, payments, limits, doubts.

`main` adds them to the command line.  Example::

    galenaspoke-ctl --settings ctl.ini top-up voucher-desk 5000 --id 0001-a
"""

import uuid

import click
import msgspec

from galenaspoke.core import clock as clocks
from galenaspoke.core import ledger
from galenaspoke.core import schema
from galenaspoke.ctl import budget_admin
from galenaspoke.ctl import publishing
from galenaspoke.store import client as store_client


@click.command()
@click.argument('budget', required=False)
@click.pass_obj
def budgets(obj, budget):
    """Show the limit and usage of BUDGET, or of all budgets."""
    if budget is None:
        entries = budget_admin.list_entries(obj.store)
    else:
        entries = {
            budget: budget_admin.get_entry(obj.store, obj.cfg.store, budget)
        }
    rows = [
        budget_admin.summarize(name, entry) for name, entry in entries.items()
    ]
    lines = [
        f'{row["budget"]}: limit {row["limit"]}, settled {row["settled"]},'
        f' granted {row["granted"]}, in doubt {row["in_doubt"]},'
        f' free {row["free"]}'
        + ''.join(
            f'\n  in doubt: {doubt.id} {doubt.amount} ({doubt.why})'
            for doubt in row['doubts']
        )
        for row in rows
    ]
    obj.print_result(rows, '\n'.join(lines) or 'no budgets')


@click.command('top-up')
@click.argument('budget')
@click.argument('amount', type=click.IntRange(min=1))
@click.option(
    '--id', 'payment_id', help='Payment id; give the same one on a retry.'
)
@click.pass_obj
def top_up(obj, budget, amount, payment_id):
    """Raise BUDGET's limit by AMOUNT tokens, once for each payment id."""
    _, head = publishing.read_head(obj.store)
    doc = msgspec.json.decode(head.document, type=schema.Document)
    if all(
        published_budget.name != budget for published_budget in doc.budgets
    ):
        raise ledger.UnknownBudget(f'budget {budget} is not published')
    if payment_id is None:
        payment_id = f'{clocks.Clock().wall():013d}-{uuid.uuid4().hex[:8]}'
        click.echo(f'payment id {payment_id}', err=True)
    payment = ledger.TopUp(payment_id, amount)
    try:
        applied, entry = budget_admin.top_up(
            obj.store, obj.cfg.store, budget, payment
        )
    except store_client.WriteUnresolved:
        click.echo(
            f'repeat it with --id {payment_id}: it will count once', err=True
        )
        raise
    outcome = 'applied' if applied else 'had been applied before'
    obj.print_result(
        {'applied': applied, 'limit': entry.limit, 'id': payment_id},
        f'{budget}: payment {payment_id} {outcome}; limit {entry.limit}',
    )


@click.command()
@click.argument('budget')
@click.argument('limit', type=click.IntRange(min=0))
@click.pass_obj
def lower(obj, budget, limit):
    """Lower BUDGET's limit to LIMIT tokens.

    While more than LIMIT is committed, the committed amount is the limit.
    """
    entry = budget_admin.lower_limit(obj.store, obj.cfg.store, budget, limit)
    text = f'{budget}: limit {entry.limit}'
    if entry.limit > entry.wanted:
        text += f', falling to {entry.wanted} as grants come back'
    obj.print_result({'limit': entry.limit, 'wanted': entry.wanted}, text)


@click.command()
@click.argument('budget')
@click.argument('doubt')
@click.option('--spent', type=click.IntRange(min=0), required=True)
@click.pass_obj
def settle(obj, budget, doubt, spent):
    """Settle DOUBT: declare how many of its tokens were spent."""
    settled, entry = budget_admin.settle_doubt(
        obj.store, obj.cfg.store, budget, doubt, spent
    )
    outcome = 'settled' if settled else 'not found, or settled before'
    obj.print_result(
        {'settled': settled, 'in_doubt': entry.in_doubt_tokens()},
        f'{budget}: {doubt} {outcome}; in doubt {entry.in_doubt_tokens()}',
    )


# All commands of this module, for the command line.
COMMANDS = (budgets, top_up, lower, settle)
