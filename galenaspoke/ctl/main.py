"""galenaspoke-ctl: the operators' command line."""

import gevent
from gevent import monkey

monkey.patch_all()
# The settings have IP addresses only.  The default resolver starts a thread
# even for these, which can take longer than a call on a busy machine.
gevent.config.resolver = 'block'

import sys  # noqa: E402

import click  # noqa: E402
import msgspec  # noqa: E402

from galenaspoke.conf import definitions  # noqa: E402
from galenaspoke.conf import ini  # noqa: E402
from galenaspoke.core import clock as clocks  # noqa: E402
from galenaspoke.core import ledger  # noqa: E402
from galenaspoke.core import registry  # noqa: E402
from galenaspoke.core import schema  # noqa: E402
from galenaspoke.ctl import budget_commands  # noqa: E402
from galenaspoke.ctl import publishing  # noqa: E402
from galenaspoke.ctl import retrying_store  # noqa: E402
from galenaspoke.ctl import state_dumps  # noqa: E402
from galenaspoke.ctl import timelines  # noqa: E402
from galenaspoke.ctl import updates  # noqa: E402
from galenaspoke.store import client as store_client  # noqa: E402
from galenaspoke.utils import metrics as utils_metrics  # noqa: E402

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNAVAILABLE = 3
# The outcome of a write is unknown, or no log line names the request.
EXIT_UNKNOWN = 4


class Context:
    """Settings and store client shared by the commands."""

    def __init__(self, cfg, as_json):
        self.cfg = cfg
        self.as_json = as_json
        metrics = utils_metrics.Metrics(definitions.MetricsSettings(), '')
        self.store = retrying_store.RetryingStore(
            cfg,
            lambda store_cfg: store_client.Client(store_cfg, metrics),
            self._report_retry,
            clocks.Clock(),
        )

    def _report_retry(self, exc):
        click.echo(
            f'the store call failed: {exc}; trying for up to'
            f' {self.cfg.ctl.command_timeout_ms} ms',
            err=True,
        )

    def print_result(self, document, text):
        """Print `document` as JSON if --json was given, else `text`."""
        if self.as_json:
            click.echo(msgspec.json.encode(document).decode())
        else:
            click.echo(text)


class Group(click.Group):
    """Command group that maps errors to messages and exit codes."""

    def invoke(self, ctx):
        try:
            return super().invoke(ctx)
        except schema.DocumentInvalid as exc:
            for problem in exc.problems:
                click.echo(str(problem), err=True)
            sys.exit(EXIT_REFUSED)
        except (publishing.PublishConflict, ledger.LedgerError) as exc:
            click.echo(str(exc), err=True)
            sys.exit(EXIT_REFUSED)
        except (
            store_client.WriteUnresolved,
            store_client.OutcomeUnknown,
        ) as exc:
            click.echo(f'the outcome is unknown: {exc}', err=True)
            sys.exit(EXIT_UNKNOWN)
        except store_client.StoreError as exc:
            click.echo(f'the store call failed: {exc}', err=True)
            sys.exit(EXIT_UNAVAILABLE)


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
    """Publish configurations, manage budgets and inspect the fleet."""
    if ctx.invoked_subcommand in ('settings', 'validate', 'explain'):
        ctx.obj = as_json
        return
    if not settings:
        raise click.UsageError('this command requires --settings')
    try:
        cfg = ini.load(settings, definitions.ControlConfig)
    except ini.SettingsInvalid as exc:
        click.echo(str(exc), err=True)
        sys.exit(EXIT_USAGE)
    ctx.obj = Context(cfg, as_json)


for _command in budget_commands.COMMANDS:
    main.add_command(_command)


def _read_file(path):
    try:
        with open(path, 'rb') as document:
            return document.read()
    except OSError as exc:
        raise click.UsageError(f'{path}: {exc.strerror}') from exc


@main.command()
@click.argument('document', type=click.Path())
def validate(document):
    """Validate DOCUMENT without publishing it."""
    doc = schema.parse(_read_file(document))
    object_count = sum(
        len(getattr(doc, kind)) for kind in doc.__struct_fields__
    )
    click.echo(f'{document}: {object_count} objects, no problems')


@main.command()
@click.argument('request_id')
@click.argument('logs', nargs=-1, required=True, type=click.File())
@click.pass_obj
def explain(as_json, request_id, logs):
    """Print the timeline of REQUEST_ID from edge LOGS (- for stdin)."""
    timeline = timelines.build(request_id, logs)
    if as_json:
        click.echo(msgspec.json.encode(timeline).decode())
    else:
        click.echo(timeline.text)
    if not timeline.steps:
        sys.exit(EXIT_UNKNOWN)


@main.command()
@click.argument('document', type=click.Path())
@click.pass_obj
def diff(obj, document):
    """List the objects that publishing DOCUMENT would change."""
    raw = _read_file(document)
    schema.parse(raw)
    _, head = publishing.read_head(obj.store)
    names = schema.list_changes(bytes(head.document), raw)
    obj.print_result(names, '\n'.join(names) or 'no differences')


@main.command()
@click.argument('document', type=click.Path())
@click.option(
    '--expect', type=int, help='The generation that DOCUMENT is based on.'
)
@click.pass_obj
def publish(obj, document, expect):
    """Validate DOCUMENT and publish it to the whole fleet."""
    head = publishing.publish(
        obj.store, _read_file(document), obj.cfg.ctl.operator, expect
    )
    obj.print_result(
        {'generation': head.generation},
        f'published generation {head.generation}',
    )


@main.command()
@click.pass_obj
def show(obj):
    """Print the configuration in force."""
    _, head = publishing.read_head(obj.store)
    text = msgspec.json.format(bytes(head.document)).decode()
    obj.print_result(
        head,
        f'generation {head.generation} by {head.publisher}\n{text}',
    )


@main.command()
@click.argument('target')
@click.option('--undo', is_flag=True, help='Let TARGET accept new work again.')
@click.pass_obj
def drain(obj, target, undo):
    """Let TARGET finish its requests and accept no new ones."""

    def change(doc):
        if all(
            published_target.name != target for published_target in doc.targets
        ):
            raise click.UsageError(f'there is no target {target!r}')
        targets = [
            (
                msgspec.structs.replace(published_target, drained=not undo)
                if published_target.name == target
                else published_target
            )
            for published_target in doc.targets
        ]
        return msgspec.structs.replace(doc, targets=targets)

    head = publishing.edit(obj.store, obj.cfg.ctl.operator, change)
    obj.print_result(
        {'generation': head.generation},
        f'published generation {head.generation}',
    )


@main.group()
def agents():
    """Inspect the registries of agents and forget lost agents."""


@agents.command('list')
@click.pass_obj
def agents_list(obj):
    """List all incarnations in the registries."""
    entries = []
    for item in obj.store.list(registry.REGISTRY_PREFIX).items:
        entries += store_client.decode(item, registry.Registry).entries
    lines = [
        f'{entry.service}: {entry.name}.{entry.incarnation}'
        f' {entry.address} {entry.phase.value}'
        for entry in entries
    ]
    obj.print_result(entries, '\n'.join(lines) or 'no agents')


@agents.command('forget')
@click.argument('service')
@click.argument('agent')
@click.pass_obj
def agents_forget(obj, service, agent):
    """Declare that AGENT (name.incarnation) of SERVICE is certainly dead.

    Until then, no other agent runs a request that AGENT may have run.
    """
    name, _, incarnation = agent.rpartition('.')
    holder_records = [
        store_client.decode(item, registry.HolderRecord)
        for item in obj.store.list(registry.HOLDER_PREFIX).items
    ]

    outcome, _ = updates.update(
        obj.store,
        registry.registry_key(service),
        registry.Registry,
        lambda reg: registry.forget(reg, name, incarnation, holder_records),
    )
    done = outcome is not updates.Outcome.UNCHANGED
    text = (
        'forgotten'
        if done
        else 'not found, still serving, or forgotten before'
    )
    obj.print_result({'forgotten': done}, f'{agent}: {text}')
    if not done:
        sys.exit(EXIT_REFUSED)


@main.command()
@click.argument('address')
@click.pass_obj
def dump(obj, address):
    """Print the state dump of the process at ADDRESS (IP:PORT)."""
    document = state_dumps.fetch(address)
    raw = msgspec.json.encode(document)
    obj.print_result(document, msgspec.json.format(raw).decode())
    if 'error' in document:
        sys.exit(EXIT_UNAVAILABLE)


@main.command()
@click.pass_obj
def status(obj):
    """Show the status of the routers listed in the settings."""
    addresses = [addr for addr in obj.cfg.ctl.routers.split(',') if addr]
    states = {address: state_dumps.fetch(address) for address in addresses}
    lines = []
    for address, state in states.items():
        if 'error' in state:
            lines.append(f'{address}: {state["error"]}')
            continue
        failed = [
            name for name, agent in state['agents'].items() if agent['failed']
        ]
        lines.append(
            f'{state["name"]}: ready {state["ready"]}, generation'
            f' {state["generation"]}, open {state["open"]}, unsettled'
            f' {state["unsettled"]}, failed agents'
            f' {", ".join(failed) or "none"}'
        )
    obj.print_result(states, '\n'.join(lines) or 'no routers in the settings')


@main.command()
def settings():
    """Print the settings of the router, agent and this tool as Markdown."""
    for program, config_class in definitions.CONFIG_CLASSES.items():
        click.echo(f'## {program}\n')
        click.echo('| section | option | default | allowed | meaning |')
        click.echo('|---|---|---|---|---|')
        for row in ini.describe(config_class):
            section, name, default, allowed, text = row
            shown = f'`{default}`' if default else 'empty'
            click.echo(
                f'| {section} | {name} | {shown} | {allowed} | {text} |'
            )
        click.echo('')


if __name__ == '__main__':
    main()
