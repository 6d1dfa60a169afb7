"""Write the page and the plots of the measured records."""

import pathlib

import matplotlib

matplotlib.use('svg')

from matplotlib import pyplot  # noqa: E402

COLUMNS = (
    ('requests', 'asked'),
    ('answered', 'answered'),
    ('overspend', 'overspend'),
    ('refused_budget', 'refused for budget'),
    ('false_refusals', 'of these false'),
    ('ran_twice', 'ran twice'),
    ('billed_twice', 'billed twice'),
    ('untrue_not_run', 'untrue not_run'),
    ('store_writes', 'store writes'),
    ('store_reads', 'store reads'),
    ('in_doubt', 'in doubt'),
    ('first_ms_p50', 'first ms p50'),
    ('first_ms_p95', 'p95'),
)
INTRODUCTION = """# Measurements

Made by `make measure` on real processes: three routers, three engines, one
store, callers over HTTP, everything on one machine in one run. `demand` is the
policy in use; `fixed` (grants of 1,000), `equal` (each router an equal share,
once) and `request` (a store write for each request) are baselines for sizing
grants; `least-loaded`, `round-robin` and `random` are baselines for placement
with `demand` grants. Counts come from the stand-ins' logs.

A refusal for budget is counted as false when the budget had enough beyond what
engines made for it, runs that were repeated after a cut included, and what
requests may cost that had been sent before the refusal and ran.
Absolute times are those of a shared machine; compare rows of one scenario.

"""


def write(records, page):
    """Write the page, and its plots next to it."""
    rows = [INTRODUCTION]
    scenarios = list(dict.fromkeys(record.scenario for record in records))
    for scenario in scenarios:
        measured = [
            record for record in records if record.scenario == scenario
        ]
        rows.append(f'## {scenario}\n\n')
        rows.append('| policy | ' + ' | '.join(c for _, c in COLUMNS))
        rows.append(' |\n|' + '---|' * (len(COLUMNS) + 1) + '\n')
        for record in measured:
            cells = [str(getattr(record, name)) for name, _ in COLUMNS]
            rows.append(f'| {record.policy} | ' + ' | '.join(cells) + ' |\n')
        rows.append('\n')
    plot = pathlib.Path(page).with_name('measurements.svg')
    _plot(records, scenarios, plot)
    rows.append(f'![False refusals and store writes]({plot.name})\n')
    pathlib.Path(page).write_text(''.join(rows))


def _plot(records, scenarios, path):
    policies = ('demand', 'fixed', 'equal', 'request')
    figure, axes = pyplot.subplots(1, 2, figsize=(11, 4))
    for axis, field in zip(axes, ('false_refusals', 'store_writes')):
        for number, policy in enumerate(policies):
            values = [
                next(
                    (
                        getattr(record, field)
                        for record in records
                        if (record.scenario, record.policy)
                        == (scenario, policy)
                    ),
                    0,
                )
                for scenario in scenarios
            ]
            positions = [n + number * 0.2 for n in range(len(scenarios))]
            axis.bar(positions, values, 0.2, label=policy)
        axis.set_xticks(
            [n + 0.3 for n in range(len(scenarios))],
            scenarios,
            rotation=20,
        )
        axis.set_title(field.replace('_', ' '))
        axis.legend()
    figure.tight_layout()
    figure.savefig(path, metadata={'Date': None})
