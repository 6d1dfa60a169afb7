"""Measure the policies against baselines, without and with faults.

Run by `make measure`.  Writes one record for each scenario and policy to
build/measure.json, and the tables and plots of docs/MEASUREMENTS.md.
"""

from gevent import monkey

monkey.patch_all()

import pathlib  # noqa: E402
import random  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402

import click  # noqa: E402
import gevent  # noqa: E402
import msgspec  # noqa: E402

from bench import callers  # noqa: E402
from bench import checker  # noqa: E402
from bench import cluster as clusters  # noqa: E402
from bench import deployments  # noqa: E402
from bench import processes  # noqa: E402

OUTPUT = pathlib.Path('build/measure.json')
PAGE = pathlib.Path('docs/MEASUREMENTS.md')
BUDGET = 'voucher-desk'
AMPLE_LIMIT = 1_000_000
# Callers ask for about twice this limit when the budget is to be exhausted.
SCARCE_LIMIT = 3000
TOKEN_RANGE = (5, 35)
# The cache of one engine holds its share of the prefixes (24 over 3 engines),
# but not all of them.
PREFIX_COUNT = 24
ENGINE_OPTIONS = {'token_ms': 4, 'slots': 8, 'cache': 10}
ROUTER_SETTINGS = {
    'reclaim_after_ms': 1500,
    'agent_lost_ms': 3000,
    'grant_idle_ms': 1500,
    'grant_horizon_ms': 30_000,
    'first_answer_ms': 1000,
}
# How grants are sized: the default policy, then the baselines.
GRANT_POLICIES = ('demand', 'fixed', 'equal', 'request')
# How targets are chosen: the default placement, then the baselines.
PLACEMENTS = ('affinity', 'least-loaded', 'round-robin', 'random')


class Record(msgspec.Struct):
    """The figures of one scenario under one policy."""

    scenario: str
    policy: str
    requests: int = 0
    answered: int = 0
    overspend: int = 0
    refused_budget: int = 0
    false_refusals: int = 0
    ran_twice: int = 0
    billed_twice: int = 0
    untrue_not_run: int = 0
    store_writes: int = 0
    store_reads: int = 0
    seconds: float = 0.0
    first_ms_p50: float = 0.0
    first_ms_p95: float = 0.0
    in_doubt: int = 0


class Scenario:
    """A load, an optional fault, and the limit of the budget in tokens.

    With `is_rush`, callers do not pause between requests.  `inject_fault` is
    called with the MeasuredRun after a quarter of its time.
    """

    def __init__(
        self, name, limit, caller_count=8, is_rush=False, inject_fault=None
    ):
        self.name = name
        self.limit = limit
        self.caller_count = caller_count
        self.is_rush = is_rush
        self.inject_fault = inject_fault


def _inject_store_outage(run):
    run.cluster.set_faults('store', outage=True)
    gevent.sleep(run.seconds * 0.5)
    run.cluster.set_faults('store', outage=False)


def _inject_partition(run):
    names = [
        n for n, p, _ in run.deployment.iter_targets() if p.kind == 'model'
    ]
    link = run.cluster.addresses[f'link-{names[0]}']
    link.cut()
    run.top_up(500)
    gevent.sleep(run.seconds * 0.4)
    link.restore()


def _inject_router_crash(run):
    process = run.cluster.processes[run.deployment.list_router_names()[0]]
    process.kill()
    gevent.sleep(run.seconds * 0.25)
    process.start()


SCENARIOS = (
    Scenario('calm', AMPLE_LIMIT),
    Scenario('exhaustion', SCARCE_LIMIT),
    Scenario('rush', AMPLE_LIMIT, 32, is_rush=True),
    Scenario('store outage', AMPLE_LIMIT, inject_fault=_inject_store_outage),
    Scenario('cut with top-up', SCARCE_LIMIT, inject_fault=_inject_partition),
    Scenario('router crash', SCARCE_LIMIT, inject_fault=_inject_router_crash),
)


class MeasuredRun:
    """One run of a scenario under one policy, on real processes."""

    def __init__(self, cluster, scenario, seconds, options):
        self.cluster = cluster
        self.scenario = scenario
        self.seconds = seconds
        self.deployment = deployments.scale_down(
            deployments.QLD_EAST, engines=3, applications=1, routers=3
        )
        self.limits = {
            BUDGET: scenario.limit,
            'rebooking': AMPLE_LIMIT,
            'gift-chat': AMPLE_LIMIT,
        }
        self.results = []
        self.expected = {}
        self.budget_refusals = []
        self._options = options
        self._ends_at = 0

    def execute(self):
        """Start the cluster, run the scenario; return the Record's figures."""
        deployments.start(
            self.cluster,
            self.deployment,
            self.limits,
            links=True,
            engine_options=ENGINE_OPTIONS,
            router_settings={**ROUTER_SETTINGS, **self._options},
        )
        # The policy `equal` divides a budget among the routers known so far.
        self.cluster.wait_until(
            'routers to know each other', self._are_all_routers_known
        )
        before = processes.get_json(self.cluster.store_address, '/counts')
        started = time.monotonic()
        self._ends_at = started + self.seconds
        tasks = [
            gevent.spawn(self._run_caller, number)
            for number in range(self.scenario.caller_count)
        ]
        if self.scenario.inject_fault:
            tasks.append(gevent.spawn(self._inject_fault))
        gevent.joinall(tasks, raise_error=True)
        seconds = time.monotonic() - started
        after = processes.get_json(self.cluster.store_address, '/counts')
        self._settle_and_stop()
        return self._collect_figures(before, after, seconds)

    def _are_all_routers_known(self):
        names = self.deployment.list_router_names()
        states = [self.cluster.get_state(name) for name in names]
        return all(len(state['routers']) == len(names) - 1 for state in states)

    def _inject_fault(self):
        gevent.sleep(self.seconds * 0.25)
        self.scenario.inject_fault(self)

    def top_up(self, amount):
        """Top up the budget during the run."""
        self.cluster.run_ctl('top-up', BUDGET, str(amount))
        self.limits[BUDGET] += amount

    def _run_caller(self, number):
        rng = random.Random(number)
        request_number = 0
        while time.monotonic() < self._ends_at:
            request_number += 1
            self._send(rng, f'c{number}-{request_number}')
            if not self.scenario.is_rush:
                gevent.sleep(rng.uniform(0.01, 0.06))

    def _send(self, rng, key):
        body = {
            'account': 'flight-day',
            'budget': BUDGET,
            'prompt': f'{rng.randrange(PREFIX_COUNT)} asks: '.ljust(300) + key,
            'max_tokens': rng.randint(*TOKEN_RANGE),
            'stream': True,
        }
        self.expected[key] = callers.make_expected_text(body)
        router = rng.choice(self.deployment.list_router_names())
        result = callers.send_request(
            self.cluster.addresses[router],
            'assistant-pool',
            body,
            key,
            8.0,
        )
        self.results.append(result)
        if result.refusal and result.refusal['reason'].startswith('budget'):
            self.budget_refusals.append(result)

    def _settle_and_stop(self):
        self.cluster.set_faults('store', outage=False)
        names = [name for name, _, _ in self.deployment.iter_targets()]
        checker.settle_and_stop(
            self.cluster, self.deployment.list_router_names(), names
        )

    def _count_false_refusals(self):
        """Count the budget refusals given while enough tokens were unspent.

        Unspent is what had been paid in when the refused request was sent,
        less the cost of all runs that engines had started when the refusal
        arrived, repeated runs included, and less the cost of requests that had
        been sent by then and ran later.
        """
        costs = {key: len(text.split()) for key, text in self.expected.items()}
        timed_costs = []
        for full_key, times in checker.collect_starts(self.cluster).items():
            caller_key = full_key.partition('/')[2]
            sent_at = min(
                attempt.sent_at
                for attempt in self.results
                if attempt.key == caller_key
            )
            for number, started in enumerate(sorted(times)):
                timed_costs.append(
                    (started if number else sent_at, costs[caller_key])
                )
        payments = self._list_payments()
        false_refusals = 0
        for result in self.budget_refusals:
            paid = sum(
                tokens for at, tokens in payments if at < result.sent_at
            )
            used = sum(
                tokens
                for at, tokens in timed_costs
                if at <= result.finished_at
            )
            false_refusals += paid - used >= costs[result.key]
        return false_refusals

    def _list_payments(self):
        """Return (time, amount) of each increase of the budget's limit."""
        payments = []
        limit = 0
        for line in self.cluster.read_log('store'):
            if not line['key'].startswith('ledger/'):
                continue
            entry = (line['value'] or {}).get('entries', {}).get(BUDGET)
            if entry and entry['wanted'] > limit:
                payments.append((line['at'], entry['wanted'] - limit))
                limit = entry['wanted']
        return payments

    def _collect_figures(self, before, after, seconds):
        findings = checker.check(
            self.cluster, self.limits, self.results, self.expected
        )
        first_piece_times_ms = sorted(
            response.first_piece_ms
            for response in self.results
            if response.is_complete
        )
        return {
            'requests': len(self.results),
            'answered': sum(result.is_complete for result in self.results),
            'overspend': findings.overspend,
            'refused_budget': len(self.budget_refusals),
            'false_refusals': self._count_false_refusals(),
            'ran_twice': findings.ran_twice,
            'billed_twice': findings.billed_twice,
            'untrue_not_run': findings.untrue_not_run,
            'store_writes': after['writes'] - before['writes'],
            'store_reads': after['reads'] - before['reads'],
            'seconds': round(seconds, 2),
            'first_ms_p50': _quantile(first_piece_times_ms, 0.5),
            'first_ms_p95': _quantile(first_piece_times_ms, 0.95),
            'in_doubt': findings.in_doubt,
        }


def _quantile(values, fraction):
    if not values:
        return 0.0
    return round(values[min(len(values) - 1, int(len(values) * fraction))], 1)


def measure(scenario, policy, seconds, options):
    """Run one scenario under one policy; print and return its Record."""
    with tempfile.TemporaryDirectory() as directory:
        with clusters.Cluster(directory) as cluster:
            run = MeasuredRun(cluster, scenario, seconds, options)
            figures = run.execute()
    record = Record(scenario.name, policy, **figures)
    print(msgspec.json.encode(record).decode(), flush=True)
    return record


def iter_plans():
    """Yield (scenario, policy, router settings) of each run."""
    for scenario in SCENARIOS:
        for policy in GRANT_POLICIES:
            yield scenario, policy, {'grant_policy': policy}
    for scenario in SCENARIOS:
        if scenario.name in ('calm', 'rush'):
            for placement in PLACEMENTS[1:]:
                yield scenario, placement, {'placement': placement}


@click.command()
@click.option(
    '--seconds', default=8.0, help='Duration of the load of each run.'
)
@click.option('--only', default='', help='Run only this scenario.')
def main(seconds, only):
    """Measure all scenarios and policies."""
    from bench import report

    records = [
        measure(scenario, policy, seconds, options)
        for scenario, policy, options in iter_plans()
        if not only or scenario.name == only
    ]
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_bytes(msgspec.json.format(msgspec.json.encode(records)))
    report.write(records, PAGE)
    print(f'wrote {OUTPUT} and {PAGE}')


if __name__ == '__main__':
    main()
