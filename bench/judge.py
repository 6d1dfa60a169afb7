"""What really happened, from the stand-ins' logs and the ledger.

Nothing here reads a counter of galenaspoke's own: what ran is what engines
and applications logged, what callers got is what they recorded, and money is
what the store holds.
"""

import collections
import json

import msgspec


class Judgement(msgspec.Struct):
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

    def clean(self):
        """Tell whether every property held."""
        return not (
            self.overspend
            or self.ran_twice
            or self.billed_twice
            or self.untrue_not_run
            or self.wrong_answers
        )


def effects(cluster):
    """Return the times at which each key took effect at an application."""
    times = collections.defaultdict(list)
    for line in cluster.truths('application'):
        if line['what'] == 'effect':
            times[line['key']].append(line['at'])
    return times


def runs(cluster):
    """Return the finished engine runs of each key."""
    found = collections.defaultdict(list)
    for line in cluster.truths('model'):
        if line['what'] == 'stop' and line['key']:
            found[line['key']].append(line)
    return found


def starts(cluster):
    """Return the times at which engines started each key."""
    times = collections.defaultdict(list)
    for line in cluster.truths('model'):
        if line['what'] == 'start' and line.get('key'):
            times[line['key']].append(line['at'])
    return times


def budgets(cluster):
    """Return the ledger as an operator sees it, by budget."""
    _, text = cluster.ctl('--json', 'budgets')
    return {row['budget']: row for row in json.loads(text)}


def settled(cluster, routers):
    """Tell whether all money is with routers that live, and certain."""
    holders = set()
    for name in routers:
        state = cluster.state(name)
        if not state or state['unsettled'] or state['open']:
            return False
        holders.add(state['money']['holder'])
    return all(
        set(row['holders']) <= holders for row in budgets(cluster).values()
    )


def rest(cluster, routers, agents, timeout_s=60):
    """Wait until all is healed and certain, then stop the routers."""
    cluster.wait_ready(routers, agents, timeout_s)
    cluster.wait(
        'the books to settle', lambda: settled(cluster, routers), timeout_s
    )
    cluster.stop_in_order(routers)


def overspend(cluster, limits):
    """Return the tokens of whole answers beyond each budget's limit.

    Counted from the engines' logs: the longest run of each key that ended
    whole, so that what nobody was charged for doesn't hide in it.
    """
    spent = collections.Counter()
    for lines in runs(cluster).values():
        whole = [line for line in lines if line['whole']]
        if whole:
            spent[whole[0]['budget']] += max(w['made'] for w in whole)
    return sum(
        max(0, used - limits.get(budget, 0)) for budget, used in spent.items()
    )


def untrue(cluster, answers):
    """Return the keys that were told "not run" although they had run.

    Untrue is a refusal given after the key had started, and one that stayed
    the last word on a key that started at any time.
    """
    began = starts(cluster)
    for key, times in effects(cluster).items():
        began[key].extend(times)
    last = {}
    false = set()
    for answer in sorted(answers, key=lambda answer: answer.at):
        if not answer.key or answer.broken:
            continue
        last[answer.key] = answer
        if _said_not_run(answer):
            for key, times in began.items():
                if key.endswith(f'/{answer.key}') and min(times) < answer.at:
                    false.add(answer.key)
    for key, answer in last.items():
        if _said_not_run(answer):
            if any(known.endswith(f'/{key}') for known in began):
                false.add(key)
    return false


def _said_not_run(answer):
    return (
        answer.refused is not None and answer.refused['verdict'] == 'not_run'
    )


def judge(cluster, limits, answers, want):
    """Return the Judgement of a run that has come to rest.

    `limits` maps budgets to all that was ever paid in, `want` maps keys to
    the only right answer of a model request.
    """
    verdict = Judgement()
    verdict.overspend = overspend(cluster, limits)
    ledger = budgets(cluster)
    for name, row in ledger.items():
        used = row['settled'] + row['in_doubt'] + row['granted']
        if used > limits.get(name, 0):
            verdict.overspend += used - limits.get(name, 0)
            verdict.notes.append(f'ledger of {name}: {row}')
    for key, times in effects(cluster).items():
        if len(times) > 1:
            verdict.ran_twice += 1
            verdict.notes.append(f'{key} took effect {len(times)} times')
    false = untrue(cluster, answers)
    verdict.untrue_not_run = len(false)
    verdict.notes += [f'{key} was told not_run' for key in sorted(false)]
    for answer in answers:
        if answer.whole and answer.key in want:
            if answer.text != want[answer.key]:
                verdict.wrong_answers += 1
                verdict.notes.append(f'{answer.key} got another answer')
    _judge_bills(cluster, ledger, verdict)
    return verdict


def _judge_bills(cluster, ledger, verdict):
    """Compare what was billed with what one whole run of each key costs."""
    cost = collections.Counter()
    made = 0
    for lines in runs(cluster).values():
        made += sum(line['tokens'] for line in lines)
        if any(line['whole'] for line in lines):
            longest = max(line['made'] for line in lines if line['whole'])
            cost[lines[0]['budget']] += longest
    for budget, row in ledger.items():
        verdict.billed += row['settled']
        verdict.in_doubt += row['in_doubt']
        verdict.doubts += [
            f'{budget}: {doubt["amount"]}, {doubt["why"]}'
            for doubt in row['doubts']
        ]
        excess = row['settled'] - cost[budget]
        if excess > 0:
            verdict.billed_twice += excess
            verdict.notes.append(
                f'{budget}: billed {row["settled"]}, runs {cost[budget]}'
            )
    verdict.wasted = made - sum(cost.values())
