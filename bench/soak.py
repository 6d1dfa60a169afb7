"""Soak test with random faults: `make soak SEED=3 MINUTES=10`.

Runs the real processes under concurrent callers and faults drawn from the
seed, and prints the findings from the event logs of the stand-ins.  Exits with
status 1 if a property was violated.  The logs are kept in a temporary
directory, whose path is printed on a violation.
"""

from gevent import monkey

monkey.patch_all()

import collections  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402

import click  # noqa: E402
import msgspec  # noqa: E402

from bench import chaos  # noqa: E402
from bench import cluster as clusters  # noqa: E402


def count_outcomes(results):
    """Count the results of callers by kind."""
    counts = collections.Counter()
    for result in results:
        if result.is_complete:
            counts['whole'] += 1
        elif result.refusal:
            refusal = result.refusal
            counts[f'{refusal["verdict"]}/{refusal["reason"]}'] += 1
        else:
            counts['broken'] += 1
    return dict(counts)


@click.command()
@click.option('--seed', default=1)
@click.option('--minutes', default=5.0)
@click.option('--count', default=12, help='Concurrent callers.')
@click.option('--durable/--no-durable', default=False)
@click.option(
    '--faults', default='', help='Inject only these, separated by commas.'
)
def main(seed, minutes, count, faults, durable):
    """Run callers and faults drawn from SEED, and check what happened."""
    directory = tempfile.mkdtemp(prefix=f'galenaspoke-soak-{seed}-')
    chosen = tuple(faults.split(',')) if faults else chaos.FAULTS
    with clusters.Cluster(directory) as cluster:
        run = chaos.ChaosRun(cluster, seed, chosen, 100_000, durable)
        run.start()
        run.run_callers(minutes * 60, count)
        run.settle_and_stop()
        findings = run.check()
    print(
        f'seed {seed}: {len(run.injected_faults)} faults: '
        f'{dict(collections.Counter(run.injected_faults))}'
    )
    print(f'answers: {count_outcomes(run.results)}')
    details = collections.Counter(
        f'{result.refusal["reason"]}: {result.refusal["detail"][:60]}'
        for result in run.results
        if result.refusal
    )
    for text, times in details.most_common(8):
        print(f'  {times} x {text}')
    print(msgspec.json.encode(findings).decode())
    print('clean' if findings.is_clean() else f'BROKEN; logs in {directory}')
    sys.exit(0 if findings.is_clean() else 1)


if __name__ == '__main__':
    main()
