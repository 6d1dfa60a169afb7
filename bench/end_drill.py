"""Drill of the ends of responses: `python -m bench.end_drill no-length/calm`.

Opens answers at one of two routers, whose engines end them in a known way, and
counts for each row and route which were complete and what their callers were
told.  Rows are named in `end_rows`; a name may have `*`.  Without a name all
rows are played.  `--product` runs the galenaspoke package of another folder.
"""

from gevent import monkey

monkey.patch_all()

import itertools  # noqa: E402
import json  # noqa: E402
import pathlib  # noqa: E402
import shutil  # noqa: E402
import signal  # noqa: E402
import subprocess  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402

import click  # noqa: E402
import gevent  # noqa: E402

from bench import closed_streams  # noqa: E402
from bench import edge_fleet  # noqa: E402
from bench import end_answers  # noqa: E402
from bench import end_rows  # noqa: E402
from bench import fleet_options  # noqa: E402
from bench import site_profiles  # noqa: E402
from standins import platform_documents  # noqa: E402

ROUTERS = 2
ENGINES = 2
ANSWERS = 72
# Enough for all answers at one engine.
SLOTS = 64
# When an early event happens, once the answers were asked for.
EARLY_S = 0.25
HALF = 0.5
# How long a route waits for the first byte of a body.
BODY_TARGET_MS = 8_000
EXIT_STOPPED = 143
_COLUMNS = (
    'answers',
    'whole_told_whole',
    'whole_told_broken',
    'short_told_whole',
    'short_told_broken',
)


def make_routes():
    """Return the drill's Routes by their names."""
    model = platform_documents.MODEL_SERVICE
    application = platform_documents.APPLICATION_SERVICE
    return {
        'talk': platform_documents.Route(
            '/stream/talk/', 'stream', model, True, 2
        ),
        'once': platform_documents.Route(
            '/stream/once/', 'stream', model, False, 1
        ),
        'body': platform_documents.Route(
            '/plain/body/',
            'idempotent',
            application,
            False,
            2,
            target_ms=BODY_TARGET_MS,
        ),
    }


def make_options(row, seed, routes, product=None):
    """Return the FleetOptions of a row's world."""
    classes = [
        site_profiles.RequestClass(route, 1, end_answers.DEADLINE_MS, 0)
        for route in routes.values()
    ]
    profile = site_profiles.default()
    profile.name = 'ends'
    profile.stride = end_answers.STRIDE
    profile.classes = classes
    profile.tenants = []
    profile.engine_options = end_rows.make_engine_options(
        row, end_answers.STRIDE
    )
    return fleet_options.FleetOptions(
        seed=seed,
        routers=ROUTERS,
        relays=0,
        engines=ENGINES,
        applications=1,
        product=product,
        early=row.event.early,
        garbled=0.0,
        skew_ms=0,
        router_skew_ms=0,
        control_path=False,
        profile=profile,
        linked_share=0.0,
        router_flags=end_rows.list_flags(row),
        closed_streams=closed_streams.JUDGE,
        slots=SLOTS,
        flooding=False,
    )


def play(fleet, row, routes, scale):
    """Open answers, have the row's event happen; return Counts by route."""
    answers = end_answers.make_answers(row.event.name, routes, ANSWERS, scale)
    router = fleet.routers[0]
    before = _count_signs(router, row.event)
    tasks = [gevent.spawn(answer.read, router) for answer in answers]
    after_s = EARLY_S
    if not row.event.is_early:
        after_s = HALF * end_answers.get_longest_s(scale)
    gevent.sleep(after_s)
    row.event.happen(fleet)
    gevent.joinall(tasks, raise_error=True)
    if row.event.sign and _count_signs(router, row.event) <= before:
        raise RuntimeError(f'{router.name} shows no {row.event.sign}')
    return end_answers.count(answers, routes)


def _count_signs(router, event):
    """Return how often the router's log has the sign of an event."""
    text = f'"event":"{event.sign}"'
    return router.process.read_output().count(text)


def run_world(rows, seed, scale, directory, product=None):
    """Play rows of one world in a fleet; yield pairs of a row and Counts."""
    routes = make_routes()
    options = make_options(rows[0], seed, routes, product)
    fleet = edge_fleet.Fleet(options, directory)
    try:
        fleet.start()
        for row in rows:
            yield row, play(fleet, row, routes, scale)
    finally:
        fleet.stop()


def find_unknown_flags(rows, product=None):
    """Return the router flags of the rows that the product hasn't."""
    done = subprocess.run(
        [sys.executable, '-m', 'galenaspoke.edge.main', '--help'],
        cwd=product or pathlib.Path(__file__).parents[1],
        capture_output=True,
        text=True,
        check=True,
    )
    flags = {flag for row in rows for flag in end_rows.list_flags(row)}
    return {flag for flag in flags if flag not in done.stdout}


def _print_row(row, counts):
    for route, found in counts.items():
        document = found.to_document()
        figures = ''.join(f'{document[name]:>9}' for name in _COLUMNS)
        click.echo(f'{row.name:36} {route:6}{figures}')


def _print_head():
    titles = ('answers', 'whole:ok', 'w:BROKEN', 's:WHOLE', 'short:ok')
    figures = ''.join(f'{title:>9}' for title in titles)
    click.echo(f'{"row":36} {"route":6}{figures}')


def _stop_on_sigterm():
    main_task = gevent.getcurrent()
    gevent.signal_handler(
        signal.SIGTERM, gevent.kill, main_task, SystemExit(EXIT_STOPPED)
    )


def _choose_rows(names, product):
    rows = end_rows.find(names or ['*'])
    if not rows:
        raise click.ClickException(f'no row is named {" ".join(names)}')
    unknown = find_unknown_flags(rows, product)
    for flag in sorted(unknown):
        click.echo(f'not played, the router has no {flag}')
    return [
        row
        for row in rows
        if not unknown.intersection(end_rows.list_flags(row))
    ]


@click.command()
@click.argument('names', metavar='[ROW]...', nargs=-1)
@click.option('--seed', default=1)
@click.option('--scale', default=1.0, help='Of how long answers take.')
@click.option('--product', default=None, help='Where galenaspoke is.')
@click.option('--report', default=None, help='A file for the counts as JSON.')
@click.option('--keep/--no-keep', default=False, help='Keep all logs.')
def main(names, seed, scale, product, report, keep):
    """Play the rows of these names, and print what callers were told."""
    _stop_on_sigterm()
    rows = _choose_rows(names, product)
    _print_head()
    document = {}
    for _, group in itertools.groupby(rows, lambda row: row.world):
        directory = tempfile.mkdtemp(prefix=f'galenaspoke-ends-{seed}-')
        world = run_world(list(group), seed, scale, directory, product)
        for row, counts in world:
            _print_row(row, counts)
            document[row.name] = {
                route: found.to_document() for route, found in counts.items()
            }
        if keep:
            click.echo(f'logs in {directory}')
        else:
            shutil.rmtree(directory)
    if report:
        pathlib.Path(report).write_text(json.dumps(document))


if __name__ == '__main__':
    main()
