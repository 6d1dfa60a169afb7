"""Soak test of the edge fleet with faults: `make edge-soak SEED=3 SECONDS=60`.

Runs real routers, relays and engines under concurrent callers and faults drawn
from the seed, and checks what callers and engines saw.  Exits with status 1 if
a rule was violated, and prints where the logs are kept.  `--product` runs the
galenaspoke package of another folder, such as a work tree of an old commit.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import pathlib  # noqa: E402
import random  # noqa: E402
import shutil  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402

import click  # noqa: E402
import gevent  # noqa: E402

from bench import closed_streams  # noqa: E402
from bench import edge_budgets  # noqa: E402
from bench import edge_callers  # noqa: E402
from bench import edge_checks  # noqa: E402
from bench import edge_faults  # noqa: E402
from bench import edge_fleet  # noqa: E402
from bench import edge_sessions  # noqa: E402
from bench import fault_history  # noqa: E402
from bench import fleet_options  # noqa: E402
from bench import flood_windows  # noqa: E402
from bench import lost_checks  # noqa: E402
from bench import memory  # noqa: E402
from bench import site_profiles  # noqa: E402
from standins import edge_divisions  # noqa: E402

MAX_PRINTED = 5
MAX_FLOODS = len(flood_windows.CASES)
# How a run ends whose engine's process ends.
SUDDEN_ENDS = ('killed', 'exit')
# How long runs may take to be logged once all callers have ended.
SETTLE_S = 1.0
EXIT_STOPPED = 143


def run(options, seconds, caller_count, floods, only, directory):
    """Run a soak with some floods at its end; return its Findings.

    `only` names the faults that are drawn, all if it is empty.
    """
    fleet = edge_fleet.Fleet(options, directory)
    requests = []
    callers = [
        edge_sessions.Caller(
            f'c{number}',
            fleet,
            random.Random(f'{options.seed} caller {number}'),
            requests,
        )
        for number in range(caller_count)
    ]
    faults = edge_faults.Faults(
        fleet, options.seed, only, fleet.profile.troubles
    )
    # A soak that is stopped ends its processes, too.
    main_task = gevent.getcurrent()
    gevent.signal_handler(
        signal.SIGTERM, gevent.kill, main_task, SystemExit(EXIT_STOPPED)
    )
    try:
        fleet.start()
        watch = memory.MemoryWatch([*fleet.routers, *fleet.relays])
        watching = gevent.spawn(watch.run)
        tasks = [gevent.spawn(caller.run) for caller in callers]
        faults.start()
        gevent.sleep(seconds)
        faults.stop()
        for caller in callers:
            caller.is_stopping = True
        gevent.joinall(tasks, raise_error=True)
        gevent.sleep(SETTLE_S)
        results = _flood(fleet, options.seed, floods)
        watching.kill()
        watch.read()
    finally:
        fleet.stop()
    findings = _check(fleet, requests, options.closed_streams)
    edge_checks.check_floods(findings, results)
    _check_memory(findings, fleet, watch.peaks_mb)
    return findings


def _check_memory(findings, fleet, peaks_mb):
    for machine in [*fleet.routers, *fleet.relays]:
        own = {
            key: mb for key, mb in peaks_mb.items() if key[0] == machine.name
        }
        edge_checks.check_memory(findings, own, fleet.get_memory_mb(machine))


def _flood(fleet, seed, count):
    """Flood routers that are otherwise left alone; return the results."""
    rng = random.Random(f'{seed} floods')
    cases = rng.sample(flood_windows.CASES, min(count, MAX_FLOODS))
    return [
        flood_windows.play(fleet, rng.choice(fleet.routers), case)
        for case in cases
    ]


def _check(fleet, requests, mode):
    paths = sorted(fleet.directory.glob('*.runs'))
    runs = edge_checks.read_runs(paths)
    findings = edge_checks.check(requests, runs)
    history = fault_history.read(fleet.directory / 'faults.log')
    lost_checks.check(findings, requests, runs, history, mode)
    tenants = edge_budgets.check(findings, requests, runs, fleet.tenants)
    _write_lines(fleet.directory / 'tenants.log', tenants)
    for machine in [*fleet.routers, *fleet.relays]:
        for code in machine.ended_alone:
            findings.add('ENDED', f'{machine.name} ended with {code}')
    for line in (fleet.directory / 'faults.log').read_text().splitlines():
        entry = json.loads(line)
        if entry['what'] == 'fault':
            findings.faults[entry['fault'].partition('_v')[0]] += 1
    findings.restarts = fleet.restarts
    if fleet.control_path:
        findings.datagrams = fleet.control_path.counts
    _write_timelines(fleet.directory / 'requests.log', requests)
    return findings


def _write_timelines(path, requests):
    """Write what callers saw, one attempt a line."""
    lines = [
        f'{attempt.id} {req.prefix} {edge_callers.describe(attempt)}'
        f' {attempt.status} {attempt.outcome}, events'
        f' {attempt.first}+{len(attempt.events)},'
        f' tokens {attempt.count_tokens()} of {req.pieces},'
        f' most {req.max_tokens}'
        f' {attempt.why}'
        for req in requests
        for attempt in req.attempts
    ]
    _write_lines(path, lines)


def _write_lines(path, lines):
    path.write_text('\n'.join(lines) + '\n')


def print_findings(seed, findings):
    """Print the counts and the first violations of each rule."""
    print(f'seed {seed}: faults {dict(sorted(findings.faults.items()))}')
    print(f'restarts: {dict(findings.restarts)}')
    print(f'datagrams between routers: {dict(findings.datagrams)}')
    print('attempts by route and outcome:')
    for name, count in sorted(findings.outcomes.items()):
        print(f'  {count:6} {name}')
    print('last runs by framing, how they ended, what the caller was told:')
    for key, count in sorted(findings.ends.items()):
        print(f'  {count:6} {" ".join(key)}')
    ended = [(how, findings.count_ends('none', how)) for how in SUDDEN_ENDS]
    whole = sum(
        findings.count_ends('none', how, 'whole') for how in SUDDEN_ENDS
    )
    print(f'without a length, engine gone: {dict(ended)}, told whole: {whole}')
    _print_closed(findings)
    _print_broken(findings)
    print(
        f'gaps: {dict(findings.gaps)},'
        f' repetitions: {dict(findings.repetitions)}'
    )
    print(f'most memory in MB: {dict(sorted(findings.peaks_mb.items()))}')
    for result in findings.floods:
        print(f'flood: {result.describe()}')
    for rule, texts in findings.violations.items():
        print(f'{rule}: {len(texts)}')
        for text in texts[:MAX_PRINTED]:
            print(f'  {_shorten(text)}')


def _shorten(text):
    """Return a text without what makes keys long."""
    return text.replace(edge_sessions.PADDING, '')


def _print_closed(findings):
    """Print what became of responses that only their connection ended.

    Engines that live on closed them, early or at their end.
    """
    for prefix in sorted({key[0] for key in findings.unframed}):
        counts = {
            (how, outcome): count
            for (route, how, outcome), count in findings.unframed.items()
            if route == prefix
        }
        print(
            f'without a length, closed by an engine that lives, {prefix}:'
            f' early {_sum(counts, "closed")},'
            f' told whole {counts.get(("closed", "whole"), 0)};'
            f' at the end {_sum(counts, "whole")},'
            f' told broken {counts.get(("whole", "cut"), 0)},'
            f' failed {counts.get(("whole", "failed"), 0)}'
        )


def _print_broken(findings):
    """Print how many whole answers were told broken."""
    count = len(findings.violations[lost_checks.RULE])
    others = findings.broken_wholes
    beside = findings.wholes_beside_work
    print(
        f'whole told broken: beside planned work {count},'
        f' else {sum(others.values())} {dict(sorted(others.items()))},'
        f' of {findings.wholes} whole,'
        f' LOST held for {dict(sorted(beside.items()))}'
    )


def _sum(counts, how):
    return sum(count for key, count in counts.items() if key[0] == how)


def _read_profile(path):
    if not path:
        return site_profiles.default()
    try:
        return site_profiles.read(path)
    except site_profiles.ProfileError as exc:
        raise click.ClickException(str(exc)) from exc


@click.command()
@click.option('--seed', default=1)
@click.option('--seconds', default=60.0, help='How long faults go on.')
@click.option('--site', default=None, help="A site's file; else a small one.")
@click.option('--routers', type=int, help="If not the site's, as below.")
@click.option('--relays', type=int)
@click.option('--engines', type=int, help='Model engines.')
@click.option('--applications', type=int, help='Application engines.')
@click.option('--callers', type=int, help='Concurrent callers.')
@click.option(
    '--ids',
    type=click.Choice(edge_divisions.IDS),
    help="What events' ids count.",
)
@click.option('--early', default=0.08, help='Responses that end early.')
@click.option(
    '--closed-streams',
    type=click.Choice(closed_streams.MODES),
    help='What routers take streams without a length for; by --early else.',
)
@click.option('--garbled', default=0.02, help='Responses that are garbled.')
@click.option('--skew-ms', default=6_000, help="Of engines' clocks, at most.")
@click.option('--router-skew-ms', default=4_000, help="Of routers' clocks.")
@click.option(
    '--nameless',
    default=site_profiles.NAMELESS_SHARE,
    help="Callers that don't name what they resume.",
)
@click.option(
    '--lost-begins',
    default=site_profiles.LOST_BEGIN_SHARE,
    help='Streams whose first event gets lost on its way.',
)
@click.option(
    '--control-path/--no-control-path',
    default=True,
    help='Whether routers reach each other by relays that can be cut.',
)
@click.option('--floods', default=2, help='Cases of floods at the end.')
@click.option('--only', multiple=True, help='A fault, or planned.')
@click.option('--product', default=None, help='Where galenaspoke is.')
@click.option('--report', default=None, help='A file for the counts as JSON.')
@click.option('--keep/--no-keep', default=False, help='Keep all logs.')
def main(
    site,
    ids,
    seconds,
    callers,
    nameless,
    lost_begins,
    floods,
    only,
    report,
    keep,
    **fields,
):
    """Run callers and faults drawn from SEED, and check what happened."""
    profile = _read_profile(site)
    if ids:
        profile.engine_options['ids'] = ids
    profile.nameless_share = nameless
    profile.lost_begin_share = lost_begins
    options = fleet_options.FleetOptions(profile=profile, **fields)
    callers = profile.callers if callers is None else callers
    directory = tempfile.mkdtemp(prefix=f'galenaspoke-edge-{options.seed}-')
    findings = run(options, seconds, callers, floods, only, directory)
    print_findings(options.seed, findings)
    if report:
        document = json.dumps(findings.to_document())
        pathlib.Path(report).write_text(document)
    if keep or not findings.is_clean():
        print(f'logs in {directory}')
    else:
        shutil.rmtree(directory)
    print('clean' if findings.is_clean() else 'BROKEN')
    sys.exit(0 if findings.is_clean() else 1)


if __name__ == '__main__':
    main()
