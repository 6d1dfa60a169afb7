"""galenaspoke-ctl: the command line."""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402
import uuid  # noqa: E402

import click  # noqa: E402
import geventhttpclient  # noqa: E402
import msgspec  # noqa: E402

from galenaspoke.conf import definitions  # noqa: E402
from galenaspoke.conf import ini  # noqa: E402
from galenaspoke.core import clock as clocks  # noqa: E402
from galenaspoke.core import ledger  # noqa: E402
from galenaspoke.core import schema  # noqa: E402
from galenaspoke.core import registry  # noqa: E402
from galenaspoke.ctl import money  # noqa: E402
from galenaspoke.ctl import publishing  # noqa: E402
from galenaspoke.ctl import stories  # noqa: E402
from galenaspoke.store import client as store_client  # noqa: E402
from galenaspoke.utils import metrics as utils_metrics  # noqa: E402

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_STORE = 3
EXIT_UNKNOWN = 4
DUMP_TIMEOUT_S = 2.0


class Context:
    """What every command needs."""

    def __init__(self, cfg, as_json):
        self.cfg = cfg
        self.as_json = as_json
        self.store = store_client.Client(
            cfg.store, utils_metrics.Metrics(definitions.MetricsSettings(), '')
        )

    def say(self, document, text):
        """Print a result, as JSON or as text."""
        if self.as_json:
            click.echo(msgspec.json.encode(document).decode())
        else:
            click.echo(text)


class Group(click.Group):
    """Turns this project's errors into messages and exit codes."""

    def invoke(self, ctx):
        try:
            return super().invoke(ctx)
        except schema.DocumentInvalid as exc:
            for problem in exc.problems:
                click.echo(str(problem), err=True)
            sys.exit(EXIT_REFUSED)
        except (publishing.Lost, ledger.LedgerError) as exc:
            click.echo(str(exc), err=True)
            sys.exit(EXIT_REFUSED)
        except store_client.StoreError as exc:
            click.echo(f'nothing was changed: {exc}', err=True)
            sys.exit(EXIT_STORE)
        except store_client.OutcomeUnknown as exc:
            click.echo(f'the outcome is not known: {exc}', err=True)
            sys.exit(EXIT_UNKNOWN)


@click.group(cls=Group)
@click.option(
    '--settings',
    type=click.Path(),
    envvar='GALENASPOKE_CTL_SETTINGS',
    help='The INI file with sections [ctl] and [store].',
)
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
@click.pass_context
def main(ctx, settings, as_json):
    """Publish configurations, look after budgets, see how the fleet is."""
    if ctx.invoked_subcommand in ('settings', 'validate', 'explain'):
        ctx.obj = as_json
        return
    if not settings:
        raise click.UsageError('--settings is needed for this command')
    try:
        cfg = ini.load(settings, definitions.ControlConfig)
    except ini.SettingsInvalid as exc:
        click.echo(str(exc), err=True)
        sys.exit(EXIT_USAGE)
    ctx.obj = Context(cfg, as_json)


def _read(path):
    try:
        with open(path, 'rb') as document:
            return document.read()
    except OSError as exc:
        raise click.UsageError(f'{path}: {exc.strerror}') from exc


@main.command()
@click.argument('document', type=click.Path())
def validate(document):
    """Check DOCUMENT as a whole, without publishing it."""
    doc = schema.parse(_read(document))
    count = sum(len(getattr(doc, kind)) for kind in doc.__struct_fields__)
    click.echo(f'{document}: {count} objects, no problems')


@main.command()
@click.argument('request_id')
@click.argument('logs', nargs=-1, required=True, type=click.File())
@click.pass_obj
def explain(as_json, request_id, logs):
    """Tell the story of REQUEST_ID from collected LOGS (- for input)."""
    story = stories.tell(request_id, logs)
    if as_json:
        click.echo(msgspec.json.encode(story).decode())
    else:
        click.echo(story.text)
    if not story.steps:
        sys.exit(EXIT_UNKNOWN)


@main.command()
@click.argument('document', type=click.Path())
@click.pass_obj
def diff(obj, document):
    """Show which objects DOCUMENT would change."""
    raw = _read(document)
    schema.parse(raw)
    _, head = publishing.current(obj.store)
    names = schema.list_changes(bytes(head.document), raw)
    obj.say(names, '\n'.join(names) or 'no differences')


@main.command()
@click.argument('document', type=click.Path())
@click.option('--expect', type=int, help='The generation it was made from.')
@click.pass_obj
def publish(obj, document, expect):
    """Check DOCUMENT and put it in force everywhere."""
    head = publishing.publish(
        obj.store, _read(document), obj.cfg.ctl.operator, expect
    )
    obj.say(
        {'generation': head.generation},
        f'published generation {head.generation}',
    )


@main.command()
@click.pass_obj
def show(obj):
    """Print the configuration in force."""
    _, head = publishing.current(obj.store)
    text = msgspec.json.format(bytes(head.document)).decode()
    obj.say(
        head,
        f'generation {head.generation} by {head.publisher}\n{text}',
    )


@main.command()
@click.argument('target')
@click.option('--undo', is_flag=True, help='Let it take work again.')
@click.pass_obj
def drain(obj, target, undo):
    """Let TARGET finish what it has and take nothing new."""

    def change(doc):
        if all(known.name != target for known in doc.targets):
            raise click.UsageError(f'there is no target {target!r}')
        targets = [
            (
                msgspec.structs.replace(known, drained=not undo)
                if known.name == target
                else known
            )
            for known in doc.targets
        ]
        return msgspec.structs.replace(doc, targets=targets)

    head = publishing.edit(obj.store, obj.cfg.ctl.operator, change)
    obj.say(
        {'generation': head.generation},
        f'published generation {head.generation}',
    )


@main.command()
@click.argument('budget', required=False)
@click.pass_obj
def budgets(obj, budget):
    """Show the money of BUDGET, or of all budgets."""
    if budget is None:
        found = money.entries(obj.store)
    else:
        found = {budget: money.entry(obj.store, obj.cfg.store, budget)}
    rows = [money.summary(name, entry) for name, entry in found.items()]
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
    obj.say(rows, '\n'.join(lines) or 'no budgets')


@main.command('top-up')
@click.argument('budget')
@click.argument('amount', type=click.IntRange(min=1))
@click.option('--id', 'payment_id', help='Give it again when repeating.')
@click.pass_obj
def top_up(obj, budget, amount, payment_id):
    """Raise BUDGET's limit by AMOUNT tokens, once for each payment id."""
    _, head = publishing.current(obj.store)
    doc = msgspec.json.decode(head.document, type=schema.Document)
    if all(known.name != budget for known in doc.budgets):
        raise ledger.UnknownBudget(f'budget {budget} is not published')
    if payment_id is None:
        payment_id = f'{clocks.Clock().wall():013d}-{uuid.uuid4().hex[:8]}'
        click.echo(f'payment id {payment_id}', err=True)
    payment = ledger.TopUp(payment_id, amount)
    applied, entry = money.top_up(obj.store, obj.cfg.store, budget, payment)
    what = 'applied' if applied else 'had been applied before'
    obj.say(
        {'applied': applied, 'limit': entry.limit, 'id': payment_id},
        f'{budget}: payment {payment_id} {what}; limit {entry.limit}',
    )


@main.command()
@click.argument('budget')
@click.argument('limit', type=click.IntRange(min=0))
@click.pass_obj
def lower(obj, budget, limit):
    """Lower BUDGET's limit to LIMIT tokens, or to what is committed."""
    entry = money.lower(obj.store, obj.cfg.store, budget, limit)
    text = f'{budget}: limit {entry.limit}'
    if entry.limit > entry.wanted:
        text += f', falling to {entry.wanted} as grants come back'
    obj.say({'limit': entry.limit, 'wanted': entry.wanted}, text)


@main.command()
@click.argument('budget')
@click.argument('doubt')
@click.option('--spent', type=click.IntRange(min=0), required=True)
@click.pass_obj
def settle(obj, budget, doubt, spent):
    """Settle the amount in DOUBT: so many of its tokens were spent."""
    settled, entry = money.settle(
        obj.store, obj.cfg.store, budget, doubt, spent
    )
    what = 'settled' if settled else 'not found, or settled before'
    obj.say(
        {'settled': settled, 'in_doubt': entry.in_doubt_tokens()},
        f'{budget}: {doubt} {what}; in doubt {entry.in_doubt_tokens()}',
    )


@main.group()
def agents():
    """Look at the registries of agents, and forget lost ones."""


@agents.command('list')
@click.pass_obj
def agents_list(obj):
    """List every incarnation that the registries know."""
    entries = []
    for item in obj.store.list(registry.REGISTRY_PREFIX).items:
        entries += store_client.decode(item, registry.Registry).entries
    lines = [
        f'{entry.service}: {entry.name}.{entry.incarnation}'
        f' {entry.address} {entry.phase.value}'
        for entry in entries
    ]
    obj.say(entries, '\n'.join(lines) or 'no agents')


@agents.command('forget')
@click.argument('service')
@click.argument('agent')
@click.pass_obj
def agents_forget(obj, service, agent):
    """Say that AGENT (name.incarnation) of SERVICE is dead for certain.

    Until then no other agent runs a request that it might have run.
    """
    name, _, incarnation = agent.rpartition('.')
    holders = [
        store_client.decode(item, registry.HolderRecord)
        for item in obj.store.list(registry.HOLDER_PREFIX).items
    ]

    def change(reg):
        done = registry.forget(reg, name, incarnation, holders)
        return done or store_client.UNCHANGED

    done, _ = store_client.update(
        obj.store, registry.registry_key(service), registry.Registry, change
    )
    done = done is True
    text = 'forgotten' if done else 'not found, or still serving'
    obj.say({'forgotten': done}, f'{agent}: {text}')
    if not done:
        sys.exit(EXIT_REFUSED)


def _state(address):
    http = geventhttpclient.HTTPClient.from_url(
        f'http://{address}',
        connection_timeout=DUMP_TIMEOUT_S,
        network_timeout=DUMP_TIMEOUT_S,
    )
    try:
        return msgspec.json.decode(bytes(http.get('/state').read()))
    except (OSError, ValueError) as exc:
        return {'error': f'{address}: {exc}'}
    finally:
        http.close()


@main.command()
@click.argument('address')
@click.pass_obj
def dump(obj, address):
    """Print the state of the process at ADDRESS (IP:PORT)."""
    document = _state(address)
    raw = msgspec.json.encode(document)
    obj.say(document, msgspec.json.format(raw).decode())
    if 'error' in document:
        sys.exit(EXIT_STORE)


@main.command()
@click.pass_obj
def status(obj):
    """Show how the routers named in the settings are."""
    addresses = [a for a in obj.cfg.ctl.routers.split(',') if a]
    states = {address: _state(address) for address in addresses}
    lines = []
    for address, found in states.items():
        if 'error' in found:
            lines.append(f'{address}: {found["error"]}')
            continue
        failed = [n for n, a in found['agents'].items() if a['failed']]
        lines.append(
            f'{found["name"]}: ready {found["ready"]}, generation'
            f' {found["generation"]}, open {found["open"]}, unsettled'
            f' {found["unsettled"]}, failed agents'
            f' {", ".join(failed) or "none"}'
        )
    obj.say(states, '\n'.join(lines) or 'no routers in the settings')


@main.command()
def settings():
    """Print every setting of every program, in Markdown."""
    for program, sections in definitions.PROGRAMS.items():
        click.echo(f'## {program}\n')
        click.echo('| section | option | default | allowed | meaning |')
        click.echo('|---|---|---|---|---|')
        for row in ini.describe(sections):
            section, name, default, allowed, text = row
            shown = f'`{default}`' if default else 'empty'
            click.echo(
                f'| {section} | {name} | {shown} | {allowed} | {text} |'
            )
        click.echo('')


if __name__ == '__main__':
    main()
