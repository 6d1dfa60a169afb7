"""Shows the whole system at work, and judges it by the stand-ins' logs.

Run by `make demo`.  Exits with 1 if anything that it says is false.
"""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402

from bench import callers  # noqa: E402
from bench import cluster as clusters  # noqa: E402
from bench import deployments  # noqa: E402
from bench import judge  # noqa: E402

FIRST_TOP_UP = 400
SECOND_TOP_UP = 600
OTHER_TOP_UP = 5000
TOKENS = 60
KILL_AFTER_S = 0.4
ROUTER = {'reclaim_after_ms': 1500}


class Show:
    """One deployment's part of the demo, and whether all of it was true."""

    def __init__(self, deployment, directory):
        self.deployment = deployment
        self.cluster = clusters.Cluster(directory)
        self.routers = deployment.router_names()
        self.model = deployment.pools[0].service
        self.application = deployment.pools[1].service
        self.account, budgets = next(iter(deployment.accounts.items()))
        self.budget = budgets[0]
        self.limits = {
            budget: OTHER_TOP_UP
            for names in deployment.accounts.values()
            for budget in names
        }
        self.limits[self.budget] = FIRST_TOP_UP
        self.answers = []
        self.want = {}
        self.lines = []
        self.true = True

    def start(self):
        """Start all processes."""
        deployments.start(
            self.cluster, self.deployment, self.limits, router=ROUTER
        )

    def check(self, text, holds):
        """Say whether something holds."""
        self.true = self.true and bool(holds)
        self.lines.append(f'  {"ok  " if holds else "FAIL"} {text}')

    def body(self, prompt, **fields):
        """Return the body of a request."""
        return {
            'account': self.account,
            'budget': self.budget,
            'prompt': prompt,
            'max_tokens': TOKENS,
            **fields,
        }

    def ask(self, router, service, body, key):
        """Ask one router once, and keep the answer."""
        if service == self.model:
            self.want[key] = callers.expected(body)
        address = self.cluster.addresses[self.routers[router]]
        answer = callers.ask(address, service, body, key)
        self.answers.append(answer)
        return answer

    def play(self):
        """Play every scene."""
        self._answers()
        self._duplicate()
        self._budget()
        self._crash()
        self._rest()

    def _answers(self):
        streamed = self.ask(
            0, self.model, self.body('When do we fly?', stream=True), 'one'
        )
        whole = self.ask(1, self.model, self.body('May I rebook?'), 'two')
        self.check(
            f'a streamed answer is whole, its first piece after'
            f' {streamed.first_ms:.0f} ms of {streamed.ms:.0f} ms',
            streamed.whole and streamed.text == self.want['one'],
        )
        self.check(
            'an answer in one piece is whole',
            whole.whole and whole.text == self.want['two'],
        )

    def _duplicate(self):
        body = {'account': self.account, 'prompt': 'seat 4 in basket 2'}
        first = self.ask(0, self.application, body, 'seat-4')
        second = self.ask(2, self.application, body, 'seat-4')
        effects = judge.effects(self.cluster)[f'{self.account}/seat-4']
        self.check(
            'a confirmation sent twice, through two routers, took effect'
            f' {len(effects)} time, and both got the same answer',
            first.whole and first.text == second.text and len(effects) == 1,
        )

    def _budget(self):
        refused = None
        answered = 0
        for number in range(20):
            answer = self.ask(
                number % 3, self.model, self.body(f'Q{number}'), f'q{number}'
            )
            if answer.refused:
                refused = answer
                break
            answered += 1
        key = refused.key if refused else ''
        ran = judge.starts(self.cluster)[f'{self.account}/{key}']
        self.check(
            f'after {answered} more answers the budget of {FIRST_TOP_UP}'
            f' tokens was used up, and the next request was refused as'
            f' {refused.refused["reason"] if refused else "-"},'
            f' {refused.refused["verdict"] if refused else "-"};'
            f' engines started it {len(ran)} times',
            refused
            and refused.refused['reason'] == 'budget_exhausted'
            and refused.refused['verdict'] == 'not_run'
            and not ran,
        )
        code, _ = self.cluster.ctl(
            'top-up', self.budget, str(SECOND_TOP_UP), '--id', 'invoice-7'
        )
        _, again = self.cluster.ctl(
            'top-up', self.budget, str(SECOND_TOP_UP), '--id', 'invoice-7'
        )
        self.limits[self.budget] += SECOND_TOP_UP
        retried = self.ask(0, self.model, self.body('Q-again'), 'q-again')
        self.check(
            f'a top-up of {SECOND_TOP_UP}, sent twice, counted once, and the'
            ' next request was answered',
            code == 0 and 'had been applied before' in again and retried.whole,
        )

    def _crash(self):
        body = self.body('A long one', stream=True, max_tokens=120)
        victim = self.cluster.processes[self.routers[0]]
        gevent.spawn_later(KILL_AFTER_S, victim.kill)
        cut = self.ask(0, self.model, body, 'long')
        retried = self.ask(1, self.model, body, 'long')
        began = judge.starts(self.cluster)[f'{self.account}/long']
        self.check(
            f'a router was killed after {len(cut.text.split())} of 120'
            ' pieces; the retry through another got the whole answer, and'
            f' the engine ran it {len(began)} time',
            not cut.whole
            and retried.whole
            and retried.text == self.want['long']
            and len(began) == 1,
        )

    def _rest(self):
        """Stop all in order, and compare the books with what ran."""

        def recovered():
            row = judge.budgets(self.cluster)[self.budget]
            dead = f'{self.routers[0]}.'
            return not any(name.startswith(dead) for name in row['holders'])

        self.cluster.wait("the dead router's grant to be recovered", recovered)
        self.cluster.stop_in_order(self.routers[1:])
        found = judge.judge(self.cluster, self.limits, self.answers, self.want)
        ledger = judge.budgets(self.cluster)[self.budget]
        whole = {
            answer.key
            for answer in self.answers
            if answer.whole and answer.key in self.want
        }
        made = sum(len(self.want[key].split()) for key in whole)
        self.check(
            f'the books: {found.billed} tokens billed for {made} tokens'
            f' answered, {ledger["limit"]} paid in, overspend'
            f' {found.overspend}, billed twice {found.billed_twice}, ran'
            f' twice {found.ran_twice}, untrue "not run"'
            f' {found.untrue_not_run}',
            found.clean() and found.billed == made and not found.in_doubt,
        )
        self.lines += [f'       {note}' for note in found.notes]


def main():
    """Play both deployments; exit with 0 if all was true."""
    started = time.monotonic()
    with tempfile.TemporaryDirectory() as directory:
        shows = [
            Show(deployment, f'{directory}/{deployment.region}')
            for deployment in (deployments.QLD_EAST, deployments.NORDESTE)
        ]
        try:
            count = 0
            for show in shows:
                show.start()
                count += len(show.cluster.processes)
            print(
                f'{count} processes serve after'
                f' {time.monotonic() - started:.0f} s',
                flush=True,
            )
            gevent.joinall(
                [gevent.spawn(show.play) for show in shows], raise_error=True
            )
        finally:
            for show in shows:
                show.cluster.stop_all()
    for show in shows:
        deployment = show.deployment
        pools = ' and '.join(pool.service for pool in deployment.pools)
        print(f'{deployment.region}: {pools}')
        print('\n'.join(show.lines))
    true = all(show.true for show in shows)
    print(
        f'{"All of this is true" if true else "NOT all of this is true"},'
        " by the stand-ins' own logs;"
        f' {time.monotonic() - started:.0f} s in all.'
    )
    sys.exit(0 if true else 1)


if __name__ == '__main__':
    main()
