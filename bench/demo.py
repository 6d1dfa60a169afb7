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
from bench import checker  # noqa: E402
from bench import cluster as clusters  # noqa: E402
from bench import deployments  # noqa: E402

FIRST_TOP_UP = 400
SECOND_TOP_UP = 600
OTHER_TOP_UP = 5000
TOKENS = 60
KILL_AFTER_S = 0.4
ROUTER_SETTINGS = {'reclaim_after_ms': 1500}


class DemoRun:
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
        self.results = []
        self.expected = {}
        self.lines = []
        self.has_passed = True

    def start(self):
        """Start all processes."""
        deployments.start(
            self.cluster, self.deployment, self.limits, router=ROUTER_SETTINGS
        )

    def check(self, text, holds):
        """Say whether something holds."""
        self.has_passed = self.has_passed and bool(holds)
        self.lines.append(f'  {"ok  " if holds else "FAIL"} {text}')

    def make_body(self, prompt, **fields):
        """Return the body of a request."""
        return {
            'account': self.account,
            'budget': self.budget,
            'prompt': prompt,
            'max_tokens': TOKENS,
            **fields,
        }

    def send(self, router, service, body, key):
        """Ask one router once, and keep the answer."""
        if service == self.model:
            self.expected[key] = callers.make_expected_text(body)
        address = self.cluster.addresses[self.routers[router]]
        result = callers.send_request(address, service, body, key)
        self.results.append(result)
        return result

    def run_checks(self):
        """Play every scene."""
        self._check_responses()
        self._check_duplicate()
        self._check_budget()
        self._check_router_crash()
        self._check_accounts()

    def _check_responses(self):
        streamed = self.send(
            0,
            self.model,
            self.make_body('When do we fly?', stream=True),
            'one',
        )
        whole = self.send(
            1, self.model, self.make_body('May I rebook?'), 'two'
        )
        self.check(
            f'a streamed answer is whole, its first piece after'
            f' {streamed.first_ms:.0f} ms of {streamed.duration_ms:.0f} ms',
            streamed.is_complete and streamed.text == self.expected['one'],
        )
        self.check(
            'an answer in one piece is whole',
            whole.is_complete and whole.text == self.expected['two'],
        )

    def _check_duplicate(self):
        body = {'account': self.account, 'prompt': 'seat 4 in basket 2'}
        first = self.send(0, self.application, body, 'seat-4')
        second = self.send(2, self.application, body, 'seat-4')
        effects = checker.collect_effects(self.cluster)[
            f'{self.account}/seat-4'
        ]
        self.check(
            'a confirmation sent twice, through two routers, took effect'
            f' {len(effects)} time, and both got the same answer',
            first.is_complete
            and first.text == second.text
            and len(effects) == 1,
        )

    def _check_budget(self):
        refused = None
        answered = 0
        for number in range(20):
            result = self.send(
                number % 3,
                self.model,
                self.make_body(f'Q{number}'),
                f'q{number}',
            )
            if result.refusal:
                refused = result
                break
            answered += 1
        key = refused.key if refused else ''
        ran = checker.collect_starts(self.cluster)[f'{self.account}/{key}']
        self.check(
            f'after {answered} more answers the budget of {FIRST_TOP_UP}'
            f' tokens was used up, and the next request was refused as'
            f' {refused.refusal["reason"] if refused else "-"},'
            f' {refused.refusal["verdict"] if refused else "-"};'
            f' engines started it {len(ran)} times',
            refused
            and refused.refusal['reason'] == 'budget_exhausted'
            and refused.refusal['verdict'] == 'not_run'
            and not ran,
        )
        code, _ = self.cluster.run_ctl(
            'top-up', self.budget, str(SECOND_TOP_UP), '--id', 'invoice-7'
        )
        _, again = self.cluster.run_ctl(
            'top-up', self.budget, str(SECOND_TOP_UP), '--id', 'invoice-7'
        )
        self.limits[self.budget] += SECOND_TOP_UP
        retried = self.send(
            0, self.model, self.make_body('Q-again'), 'q-again'
        )
        self.check(
            f'a top-up of {SECOND_TOP_UP}, sent twice, counted once, and the'
            ' next request was answered',
            code == 0
            and 'had been applied before' in again
            and retried.is_complete,
        )

    def _check_router_crash(self):
        body = self.make_body('A long one', stream=True, max_tokens=120)
        victim = self.cluster.processes[self.routers[0]]
        gevent.spawn_later(KILL_AFTER_S, victim.kill)
        cut = self.send(0, self.model, body, 'long')
        retried = self.send(1, self.model, body, 'long')
        began = checker.collect_starts(self.cluster)[f'{self.account}/long']
        self.check(
            f'a router was killed after {len(cut.text.split())} of 120'
            ' pieces; the retry through another got the whole answer, and'
            f' the engine ran it {len(began)} time',
            not cut.is_complete
            and retried.is_complete
            and retried.text == self.expected['long']
            and len(began) == 1,
        )

    def _check_accounts(self):
        """Stop all in order, and compare the books with what ran."""

        def recovered():
            row = checker.read_budgets(self.cluster)[self.budget]
            dead = f'{self.routers[0]}.'
            return not any(name.startswith(dead) for name in row['holders'])

        self.cluster.wait_until(
            "the dead router's grant to be recovered", recovered
        )
        self.cluster.stop_gracefully(self.routers[1:])
        findings = checker.check(
            self.cluster, self.limits, self.results, self.expected
        )
        ledger = checker.read_budgets(self.cluster)[self.budget]
        whole = {
            result.key
            for result in self.results
            if result.is_complete and result.key in self.expected
        }
        made = sum(len(self.expected[key].split()) for key in whole)
        self.check(
            f'the books: {findings.billed} tokens billed for {made} tokens'
            f' answered, {ledger["limit"]} paid in, overspend'
            f' {findings.overspend}, billed twice {findings.billed_twice}, ran'
            f' twice {findings.ran_twice}, untrue "not run"'
            f' {findings.untrue_not_run}',
            findings.is_clean()
            and findings.billed == made
            and not findings.in_doubt,
        )
        self.lines += [f'       {note}' for note in findings.notes]


def main():
    """Play both deployments; exit with 0 if all was true."""
    started = time.monotonic()
    with tempfile.TemporaryDirectory() as directory:
        demo_runs = [
            DemoRun(deployment, f'{directory}/{deployment.region}')
            for deployment in (deployments.QLD_EAST, deployments.NORDESTE)
        ]
        try:
            count = 0
            for demo_run in demo_runs:
                demo_run.start()
                count += len(demo_run.cluster.processes)
            print(
                f'{count} processes serve after'
                f' {time.monotonic() - started:.0f} s',
                flush=True,
            )
            gevent.joinall(
                [gevent.spawn(demo_run.run_checks) for demo_run in demo_runs],
                raise_error=True,
            )
        finally:
            for demo_run in demo_runs:
                demo_run.cluster.kill_all()
    for demo_run in demo_runs:
        deployment = demo_run.deployment
        pools = ' and '.join(pool.service for pool in deployment.pools)
        print(f'{deployment.region}: {pools}')
        print('\n'.join(demo_run.lines))
    all_passed = all(demo_run.has_passed for demo_run in demo_runs)
    print(
        f'{"All of this is true" if all_passed else "NOT all of this is true"},'
        " by the stand-ins' own logs;"
        f' {time.monotonic() - started:.0f} s in all.'
    )
    sys.exit(0 if all_passed else 1)


if __name__ == '__main__':
    main()
