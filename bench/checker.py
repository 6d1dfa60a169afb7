"""Check the correctness properties of a run by independent evidence.

No counter of galenaspoke is trusted.  What ran is taken from the event logs of
the engines and applications, what callers got from their own results, and
what was billed from the ledger in the store.
"""

import collections
import json

import msgspec


class Findings(msgspec.Struct):
    """Violations and totals of one run.

    The first five fields measure violations and must be 0.  `overspend`,
    `billed_twice`, `billed`, `in_doubt` and `wasted` are tokens; `wasted` is
    what engines generated beyond one complete run of each key.
    `untrue_not_run` counts the keys with a false `not_run` refusal.  `notes`
    describes violations, `doubts` the amounts in doubt.
    """

    overspend: int = 0
    ran_twice: int = 0
    billed_twice: int = 0
    untrue_not_run: int = 0
    wrong_answers: int = 0
    billed: int = 0
    in_doubt: int = 0
    wasted: int = 0
    notes: list[str] = []
    doubts: list[str] = []

    def is_clean(self):
        """Return True if no property was violated."""
        return not (
            self.overspend
            or self.ran_twice
            or self.billed_twice
            or self.untrue_not_run
            or self.wrong_answers
        )


def collect_effects(cluster):
    """Return the times at which each key took effect at an application.

    Keys are `ACCOUNT/KEY`, times are Unix times in milliseconds, here and in
    the functions below.
    """
    times = collections.defaultdict(list)
    for line in cluster.read_logs('application'):
        if line['what'] == 'effect':
            times[line['key']].append(line['at'])
    return times


def collect_runs(cluster):
    """Return the `stop` events of the engine runs of each key.

    They include runs that crashed or were cancelled; runs without a key are
    left out.
    """
    runs = collections.defaultdict(list)
    for line in cluster.read_logs('model'):
        if line['what'] == 'stop' and line['key']:
            runs[line['key']].append(line)
    return runs


def collect_starts(cluster):
    """Return the times at which engines started each key."""
    times = collections.defaultdict(list)
    for line in cluster.read_logs('model'):
        if line['what'] == 'start' and line.get('key'):
            times[line['key']].append(line['at'])
    return times


def read_budgets(cluster):
    """Return the ledger row of each budget, as galenaspoke-ctl prints it."""
    _, text = cluster.run_ctl('--json', 'budgets')
    return {row['budget']: row for row in json.loads(text)}


def is_settled(cluster, routers):
    """Return True if the routers have settled all that they have spent.

    No router has open or unsettled requests, and nobody else holds a grant.
    """
    holders = set()
    for name in routers:
        state = cluster.get_state(name)
        if not state or state['unsettled'] or state['open']:
            return False
        holders.add(state['money']['holder'])
    return all(
        set(row['holders']) <= holders
        for row in read_budgets(cluster).values()
    )


def settle_and_stop(cluster, routers, agents, timeout_s=60):
    """Wait until the fleet is ready and settled, then stop the routers."""
    cluster.wait_ready(routers, agents, timeout_s)
    cluster.wait_until(
        'the ledger to settle', lambda: is_settled(cluster, routers), timeout_s
    )
    cluster.stop_gracefully(routers)


def compute_overspend(cluster, limits):
    """Return the tokens of complete responses beyond the budgets' limits.

    The longest complete run of each key is counted from the engines' logs, not
    from the ledger, so that runs that nobody was charged for count as well.
    A cancelled run counts as complete here, with the tokens generated until
    then.
    """
    spent = collections.Counter()
    for lines in collect_runs(cluster).values():
        complete = [
            line for line in lines if line['whole'] or line['cancelled']
        ]
        if complete:
            spent[complete[0]['budget']] += max(
                run['made'] for run in complete
            )
    return sum(
        max(0, used - limits.get(budget, 0)) for budget, used in spent.items()
    )


def find_false_not_run(cluster, results):
    """Return the keys that were refused as `not_run` although they had run.

    Such a refusal is false if the key had started before the refusal arrived,
    or if it is the last result of a key that started at any time.
    """
    started = collect_starts(cluster)
    for key, times in collect_effects(cluster).items():
        started[key].extend(times)
    last_results = {}
    false_keys = set()
    for result in sorted(results, key=lambda result: result.finished_at):
        if not result.key or result.error:
            continue
        last_results[result.key] = result
        if _is_not_run_refusal(result):
            for key, times in started.items():
                if (
                    key.endswith(f'/{result.key}')
                    and min(times) < result.finished_at
                ):
                    false_keys.add(result.key)
    for key, result in last_results.items():
        if _is_not_run_refusal(result):
            if any(full_key.endswith(f'/{key}') for full_key in started):
                false_keys.add(key)
    return false_keys


def _is_not_run_refusal(result):
    return (
        result.refusal is not None and result.refusal['verdict'] == 'not_run'
    )


def check(cluster, limits, results, expected):
    """Return the Findings of a run that has settled and stopped.

    `limits` maps each budget to the total that was ever paid in; `expected`
    maps the key of each model request to its only correct response.
    """
    findings = Findings()
    findings.overspend = compute_overspend(cluster, limits)
    ledger = read_budgets(cluster)
    for name, row in ledger.items():
        used = row['settled'] + row['in_doubt'] + row['granted']
        if used > limits.get(name, 0):
            findings.overspend += used - limits.get(name, 0)
            findings.notes.append(
                f'ledger of {name} exceeds what was paid in: {row}'
            )
    for key, times in collect_effects(cluster).items():
        if len(times) > 1:
            findings.ran_twice += 1
            findings.notes.append(f'{key} took effect {len(times)} times')
    false_keys = find_false_not_run(cluster, results)
    findings.untrue_not_run = len(false_keys)
    findings.notes += [
        f'{key} was refused as not_run but ran' for key in sorted(false_keys)
    ]
    for result in results:
        if result.is_complete and result.key in expected:
            if result.text != expected[result.key]:
                findings.wrong_answers += 1
                findings.notes.append(f'{result.key} got a wrong response')
    _check_billing(cluster, ledger, findings)
    return findings


def _check_billing(cluster, ledger, findings):
    """Compare what was billed with the cost of one complete run per key."""
    costs = collections.Counter()
    generated = 0
    for lines in collect_runs(cluster).values():
        generated += sum(line['tokens'] for line in lines)
        if any(line['whole'] for line in lines):
            longest = max(line['made'] for line in lines if line['whole'])
            costs[lines[0]['budget']] += longest
    for budget, row in ledger.items():
        findings.billed += row['settled']
        findings.in_doubt += row['in_doubt']
        findings.doubts += [
            f'{budget}: {doubt["amount"]}, {doubt["why"]}'
            for doubt in row['doubts']
        ]
        excess = row['settled'] - costs[budget]
        if excess > 0:
            findings.billed_twice += excess
            findings.notes.append(
                f'{budget}: billed {row["settled"]} tokens, but complete'
                f' runs cost {costs[budget]}'
            )
    findings.wasted = generated - sum(costs.values())
