"""Policies against baselines, under calm and under faults.

Run by `make measure`.  Writes one record for each scenario and policy to
build/measure.json, and the table and plots of docs/MEASUREMENTS.md.
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
from bench import cluster as clusters  # noqa: E402
from bench import deployments  # noqa: E402
from bench import judge  # noqa: E402
from bench import processes  # noqa: E402

OUTPUT = pathlib.Path('build/measure.json')
PAGE = pathlib.Path('docs/MEASUREMENTS.md')
BUDGET = 'voucher-desk'
PLENTY = 1_000_000
# In exhaustion scenarios callers ask for about twice this.
SCARCE = 3000
TOKENS = (5, 35)
# An engine's cache holds its share of the prefixes, and not all of them.
PREFIXES = 24
ENGINE = {'token_ms': 4, 'slots': 8, 'cache': 10}
ROUTER = {
    'reclaim_after_ms': 1500,
    'agent_lost_ms': 3000,
    'grant_idle_ms': 1500,
    'grant_horizon_ms': 30_000,
    'first_answer_ms': 1000,
}
# How grants are sized; the first is ours.
GRANT_POLICIES = ('demand', 'fixed', 'equal', 'request')
# How targets are chosen; the first is ours.
PLACEMENTS = ('affinity', 'least-loaded', 'round-robin', 'random')


class Record(msgspec.Struct):
    """One scenario under one policy."""

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
    """What is asked, what goes wrong, and how much money there is."""

    def __init__(self, name, money, callers_count=8, rush=False, fault=None):
        self.name = name
        self.money = money
        self.callers = callers_count
        self.rush = rush
        self.fault = fault


def _outage(run):
    run.cluster.control('store', outage=True)
    gevent.sleep(run.seconds * 0.5)
    run.cluster.control('store', outage=False)


def _cut(run):
    names = [n for n, p, _ in run.deployment.targets() if p.kind == 'model']
    link = run.cluster.addresses[f'link-{names[0]}']
    link.cut()
    run.top_up(500)
    gevent.sleep(run.seconds * 0.4)
    link.mend()


def _crash(run):
    process = run.cluster.processes[run.deployment.router_names()[0]]
    process.kill()
    gevent.sleep(run.seconds * 0.25)
    process.start()


SCENARIOS = (
    Scenario('calm', PLENTY),
    Scenario('exhaustion', SCARCE),
    Scenario('rush', PLENTY, 32, rush=True),
    Scenario('store outage', PLENTY, fault=_outage),
    Scenario('cut with top-up', SCARCE, fault=_cut),
    Scenario('router crash', SCARCE, fault=_crash),
)


class Run:
    """One scenario under one policy, on real processes."""

    def __init__(self, cluster, scenario, seconds, options):
        self.cluster = cluster
        self.scenario = scenario
        self.seconds = seconds
        self.deployment = deployments.small(
            deployments.QLD_EAST, engines=3, applications=1, routers=3
        )
        self.limits = {
            BUDGET: scenario.money,
            'rebooking': PLENTY,
            'gift-chat': PLENTY,
        }
        self.answers = []
        self.want = {}
        self.refused = []
        self._options = options
        self._until = 0

    def play(self):
        """Start, ask, hurt, stop, judge; return the Record's numbers."""
        deployments.start(
            self.cluster,
            self.deployment,
            self.limits,
            links=True,
            engine=ENGINE,
            router={**ROUTER, **self._options},
        )
        # Equal shares are shares among the routers that are known.
        self.cluster.wait('routers to know each other', self._acquainted)
        before = processes.get(self.cluster.store_address, '/counts')
        started = time.monotonic()
        self._until = started + self.seconds
        tasks = [
            gevent.spawn(self._caller, number)
            for number in range(self.scenario.callers)
        ]
        if self.scenario.fault:
            tasks.append(gevent.spawn(self._hurt))
        gevent.joinall(tasks, raise_error=True)
        seconds = time.monotonic() - started
        after = processes.get(self.cluster.store_address, '/counts')
        self._stop()
        return self._record(before, after, seconds)

    def _acquainted(self):
        names = self.deployment.router_names()
        states = [self.cluster.state(name) for name in names]
        return all(len(state['routers']) == len(names) - 1 for state in states)

    def _hurt(self):
        gevent.sleep(self.seconds * 0.25)
        self.scenario.fault(self)

    def top_up(self, amount):
        """Pay while the run goes on."""
        self.cluster.ctl('top-up', BUDGET, str(amount))
        self.limits[BUDGET] += amount

    def _caller(self, number):
        rng = random.Random(number)
        turn = 0
        while time.monotonic() < self._until:
            turn += 1
            self._ask(rng, f'c{number}-{turn}')
            if not self.scenario.rush:
                gevent.sleep(rng.uniform(0.01, 0.06))

    def _ask(self, rng, key):
        body = {
            'account': 'flight-day',
            'budget': BUDGET,
            'prompt': f'{rng.randrange(PREFIXES)} asks: '.ljust(300) + key,
            'max_tokens': rng.randint(*TOKENS),
            'stream': True,
        }
        self.want[key] = callers.expected(body)
        router = rng.choice(self.deployment.router_names())
        answer = callers.ask(
            self.cluster.addresses[router],
            'assistant-pool',
            body,
            key,
            8.0,
        )
        self.answers.append(answer)
        if answer.refused and answer.refused['reason'].startswith('budget'):
            self.refused.append(answer)

    def _stop(self):
        self.cluster.control('store', outage=False)
        names = [name for name, _, _ in self.deployment.targets()]
        judge.rest(self.cluster, self.deployment.router_names(), names)

    def _false(self):
        """Count the refusals for budget while enough was unspent.

        Unspent is what was paid in by then, less all that engines made or
        were making for the budget, and less what requests may cost that had
        been sent by then and ran later.
        """
        wanted = {key: len(text.split()) for key, text in self.want.items()}
        made = []
        for key, times in judge.starts(self.cluster).items():
            name = key.partition('/')[2]
            sent = min(a.sent for a in self.answers if a.key == name)
            for number, started in enumerate(sorted(times)):
                made.append((started if number else sent, wanted[name]))
        payments = self._payments()
        false = 0
        for refused in self.refused:
            paid = sum(tokens for at, tokens in payments if at < refused.sent)
            used = sum(tokens for at, tokens in made if at <= refused.at)
            false += paid - used >= wanted[refused.key]
        return false

    def _payments(self):
        """Return (when, amount) of each rise of the limit."""
        found = []
        limit = 0
        for line in self.cluster.truth('store'):
            if not line['key'].startswith('ledger/'):
                continue
            entry = (line['value'] or {}).get('entries', {}).get(BUDGET)
            if entry and entry['wanted'] > limit:
                found.append((line['at'], entry['wanted'] - limit))
                limit = entry['wanted']
        return found

    def _record(self, before, after, seconds):
        verdict = judge.judge(
            self.cluster, self.limits, self.answers, self.want
        )
        firsts = sorted(a.first_ms for a in self.answers if a.whole)
        return {
            'requests': len(self.answers),
            'answered': sum(answer.whole for answer in self.answers),
            'overspend': verdict.overspend,
            'refused_budget': len(self.refused),
            'false_refusals': self._false(),
            'ran_twice': verdict.ran_twice,
            'billed_twice': verdict.billed_twice,
            'untrue_not_run': verdict.untrue_not_run,
            'store_writes': after['writes'] - before['writes'],
            'store_reads': after['reads'] - before['reads'],
            'seconds': round(seconds, 2),
            'first_ms_p50': _quantile(firsts, 0.5),
            'first_ms_p95': _quantile(firsts, 0.95),
            'in_doubt': verdict.in_doubt,
        }


def _quantile(values, share):
    if not values:
        return 0.0
    return round(values[min(len(values) - 1, int(len(values) * share))], 1)


def measure(scenario, policy, seconds, options):
    """Return the Record of one scenario under one policy."""
    with tempfile.TemporaryDirectory() as directory:
        with clusters.Cluster(directory) as cluster:
            run = Run(cluster, scenario, seconds, options)
            numbers = run.play()
    record = Record(scenario.name, policy, **numbers)
    print(msgspec.json.encode(record).decode(), flush=True)
    return record


def plans():
    """Yield (scenario, policy, settings) of all that is measured."""
    for scenario in SCENARIOS:
        for policy in GRANT_POLICIES:
            yield scenario, policy, {'grant_policy': policy}
    for scenario in SCENARIOS:
        if scenario.name in ('calm', 'rush'):
            for placement in PLACEMENTS[1:]:
                yield scenario, placement, {'placement': placement}


@click.command()
@click.option('--seconds', default=8.0, help='How long each run asks.')
@click.option('--only', default='', help='Only this scenario.')
def main(seconds, only):
    """Measure all scenarios and policies."""
    from bench import report

    records = [
        measure(scenario, policy, seconds, options)
        for scenario, policy, options in plans()
        if not only or scenario.name == only
    ]
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_bytes(msgspec.json.format(msgspec.json.encode(records)))
    report.write(records, PAGE)
    print(f'wrote {OUTPUT} and {PAGE}')


if __name__ == '__main__':
    main()
