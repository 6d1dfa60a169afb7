"""What really happened, from the stand-ins' logs and the ledger.

Nothing here reads a counter of galenaspoke's own: what ran is what engines
and applications logged, what callers got is what they recorded, and money is
what the store holds.
"""

import collections
import json

import msgspec


class Findings(msgspec.Struct):
    """The brief's measures for one run; all but the last few should be 0."""

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
        """Tell whether every property held."""
        return not (
            self.overspend
            or self.ran_twice
            or self.billed_twice
            or self.untrue_not_run
            or self.wrong_answers
        )


def collect_effects(cluster):
    """Return the times at which each key took effect at an application."""
    times = collections.defaultdict(list)
    for line in cluster.read_logs('application'):
        if line['what'] == 'effect':
            times[line['key']].append(line['at'])
    return times


def collect_runs(cluster):
    """Return the finished engine runs of each key."""
    found = collections.defaultdict(list)
    for line in cluster.read_logs('model'):
        if line['what'] == 'stop' and line['key']:
            found[line['key']].append(line)
    return found


def collect_starts(cluster):
    """Return the times at which engines started each key."""
    times = collections.defaultdict(list)
    for line in cluster.read_logs('model'):
        if line['what'] == 'start' and line.get('key'):
            times[line['key']].append(line['at'])
    return times


def read_budgets(cluster):
    """Return the ledger as an operator sees it, by budget."""
    _, text = cluster.run_ctl('--json', 'budgets')
    return {row['budget']: row for row in json.loads(text)}


def is_settled(cluster, routers):
    """Tell whether all money is with routers that live, and certain."""
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
    """Wait until all is healed and certain, then stop the routers."""
    cluster.wait_ready(routers, agents, timeout_s)
    cluster.wait_until(
        'the books to settle', lambda: is_settled(cluster, routers), timeout_s
    )
    cluster.stop_gracefully(routers)


def compute_overspend(cluster, limits):
    """Return the tokens of whole answers beyond each budget's limit.

    Counted from the engines' logs: the longest run of each key that ended
    whole, so that what nobody was charged for doesn't hide in it.
    """
    spent = collections.Counter()
    for lines in collect_runs(cluster).values():
        whole = [line for line in lines if line['whole']]
        if whole:
            spent[whole[0]['budget']] += max(w['made'] for w in whole)
    return sum(
        max(0, used - limits.get(budget, 0)) for budget, used in spent.items()
    )


def find_false_not_run(cluster, results):
    """Return the keys that were told "not run" although they had run.

    Untrue is a refusal given after the key had started, and one that stayed
    the last word on a key that started at any time.
    """
    began = collect_starts(cluster)
    for key, times in collect_effects(cluster).items():
        began[key].extend(times)
    last = {}
    false = set()
    for result in sorted(results, key=lambda result: result.finished_at):
        if not result.key or result.error:
            continue
        last[result.key] = result
        if _is_not_run_refusal(result):
            for key, times in began.items():
                if (
                    key.endswith(f'/{result.key}')
                    and min(times) < result.finished_at
                ):
                    false.add(result.key)
    for key, result in last.items():
        if _is_not_run_refusal(result):
            if any(known.endswith(f'/{key}') for known in began):
                false.add(key)
    return false


def _is_not_run_refusal(result):
    return (
        result.refusal is not None and result.refusal['verdict'] == 'not_run'
    )


def check(cluster, limits, results, expected):
    """Return the Judgement of a run that has come to rest.

    `limits` maps budgets to all that was ever paid in, `expected` maps keys to
    the only right answer of a model request.
    """
    findings = Findings()
    findings.overspend = compute_overspend(cluster, limits)
    ledger = read_budgets(cluster)
    for name, row in ledger.items():
        used = row['settled'] + row['in_doubt'] + row['granted']
        if used > limits.get(name, 0):
            findings.overspend += used - limits.get(name, 0)
            findings.notes.append(f'ledger of {name}: {row}')
    for key, times in collect_effects(cluster).items():
        if len(times) > 1:
            findings.ran_twice += 1
            findings.notes.append(f'{key} took effect {len(times)} times')
    false = find_false_not_run(cluster, results)
    findings.untrue_not_run = len(false)
    findings.notes += [f'{key} was told not_run' for key in sorted(false)]
    for result in results:
        if result.is_complete and result.key in expected:
            if result.text != expected[result.key]:
                findings.wrong_answers += 1
                findings.notes.append(f'{result.key} got another answer')
    _check_billing(cluster, ledger, findings)
    return findings


def _check_billing(cluster, ledger, findings):
    """Compare what was billed with what one whole run of each key costs."""
    cost = collections.Counter()
    made = 0
    for lines in collect_runs(cluster).values():
        made += sum(line['tokens'] for line in lines)
        if any(line['whole'] for line in lines):
            longest = max(line['made'] for line in lines if line['whole'])
            cost[lines[0]['budget']] += longest
    for budget, row in ledger.items():
        findings.billed += row['settled']
        findings.in_doubt += row['in_doubt']
        findings.doubts += [
            f'{budget}: {doubt["amount"]}, {doubt["why"]}'
            for doubt in row['doubts']
        ]
        excess = row['settled'] - cost[budget]
        if excess > 0:
            findings.billed_twice += excess
            findings.notes.append(
                f'{budget}: billed {row["settled"]}, runs {cost[budget]}'
            )
    findings.wasted = made - sum(cost.values())
