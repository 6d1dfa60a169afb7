"""Demonstrate the whole system, checked by the event logs of the stand-ins.

Run by `make demo`.  Exits with status 1 if a check fails.
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
    """The demo of one deployment, with the results of its checks.

    `lines` has one line of output for each check; `has_passed` is False once a
    check has failed.
    """

    def __init__(self, deployment, directory):
        self.deployment = deployment
        self.cluster = clusters.Cluster(directory)
        self.routers = deployment.list_router_names()
        self.model_service = deployment.pools[0].service
        self.application_service = deployment.pools[1].service
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
        """Start all processes and wait until they serve."""
        deployments.start(
            self.cluster,
            self.deployment,
            self.limits,
            router_settings=ROUTER_SETTINGS,
        )

    def add_check(self, text, holds):
        """Add a line of output that says whether a check holds."""
        self.has_passed = self.has_passed and bool(holds)
        self.lines.append(f'  {"ok  " if holds else "FAIL"} {text}')

    def make_model_body(self, prompt, **fields):
        """Return the body of a model request, paid from the demo's budget."""
        return {
            'account': self.account,
            'budget': self.budget,
            'prompt': prompt,
            'max_tokens': TOKENS,
            **fields,
        }

    def send(self, router, service, body, key):
        """Send one request to one router; record and return the result.

        `router` is the index of the router.
        """
        if service == self.model_service:
            self.expected[key] = callers.make_expected_text(body)
        address = self.cluster.addresses[self.routers[router]]
        result = callers.send_request(address, service, body, key)
        self.results.append(result)
        return result

    def run_checks(self):
        """Run all checks in turn."""
        self._check_responses()
        self._check_duplicate()
        self._check_budget()
        self._check_router_crash()
        self._check_accounting()

    def _check_responses(self):
        streamed = self.send(
            0,
            self.model_service,
            self.make_model_body('When do we fly?', stream=True),
            'one',
        )
        unstreamed = self.send(
            1, self.model_service, self.make_model_body('May I rebook?'), 'two'
        )
        self.add_check(
            f'a streamed response is complete; its first piece came after'
            f' {streamed.first_piece_ms:.0f} ms of'
            f' {streamed.duration_ms:.0f} ms',
            streamed.is_complete and streamed.text == self.expected['one'],
        )
        self.add_check(
            'an unstreamed response is complete',
            unstreamed.is_complete and unstreamed.text == self.expected['two'],
        )

    def _check_duplicate(self):
        body = {'account': self.account, 'prompt': 'seat 4 in basket 2'}
        first = self.send(0, self.application_service, body, 'seat-4')
        second = self.send(2, self.application_service, body, 'seat-4')
        effects = checker.collect_effects(self.cluster)[
            f'{self.account}/seat-4'
        ]
        self.add_check(
            'a confirmation sent twice, through two routers, took effect'
            f' {len(effects)} time, and both requests got the same response',
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
                self.model_service,
                self.make_model_body(f'Q{number}'),
                f'q{number}',
            )
            if result.refusal:
                refused = result
                break
            answered += 1
        key = refused.key if refused else ''
        starts = checker.collect_starts(self.cluster)[f'{self.account}/{key}']
        self.add_check(
            f'after {answered} more responses the budget of {FIRST_TOP_UP}'
            f' tokens was exhausted; the next request was refused as'
            f' {refused.refusal["reason"] if refused else "-"},'
            f' {refused.refusal["verdict"] if refused else "-"};'
            f' engines started it {len(starts)} times',
            refused
            and refused.refusal['reason'] == 'budget_exhausted'
            and refused.refusal['verdict'] == 'not_run'
            and not starts,
        )
        code, _ = self.cluster.run_ctl(
            'top-up', self.budget, str(SECOND_TOP_UP), '--id', 'invoice-7'
        )
        _, again = self.cluster.run_ctl(
            'top-up', self.budget, str(SECOND_TOP_UP), '--id', 'invoice-7'
        )
        self.limits[self.budget] += SECOND_TOP_UP
        retried = self.send(
            0, self.model_service, self.make_model_body('Q-again'), 'q-again'
        )
        self.add_check(
            f'a top-up of {SECOND_TOP_UP} tokens, sent twice, was applied'
            ' once, and the next request got its response',
            code == 0
            and 'had been applied before' in again
            and retried.is_complete,
        )

    def _check_router_crash(self):
        body = self.make_model_body('A long one', stream=True, max_tokens=120)
        victim = self.cluster.processes[self.routers[0]]
        gevent.spawn_later(KILL_AFTER_S, victim.kill)
        cut = self.send(0, self.model_service, body, 'long')
        retried = self.send(1, self.model_service, body, 'long')
        starts = checker.collect_starts(self.cluster)[f'{self.account}/long']
        self.add_check(
            f'a router was killed after {len(cut.text.split())} of 120'
            ' tokens; a retry through another router got the complete'
            f' response, and the engines ran it {len(starts)} time',
            not cut.is_complete
            and retried.is_complete
            and retried.text == self.expected['long']
            and len(starts) == 1,
        )

    def _check_accounting(self):
        """Compare the ledger with what engines ran.

        First waits until the killed router's grant is recovered, and stops the
        other routers.
        """

        def is_recovered():
            row = checker.read_budgets(self.cluster)[self.budget]
            holder_prefix = f'{self.routers[0]}.'
            return not any(
                name.startswith(holder_prefix) for name in row['holders']
            )

        self.cluster.wait_until(
            "the killed router's grant to be recovered", is_recovered
        )
        self.cluster.stop_gracefully(self.routers[1:])
        findings = checker.check(
            self.cluster, self.limits, self.results, self.expected
        )
        ledger = checker.read_budgets(self.cluster)[self.budget]
        complete_keys = {
            result.key
            for result in self.results
            if result.is_complete and result.key in self.expected
        }
        delivered = sum(
            len(self.expected[key].split()) for key in complete_keys
        )
        self.add_check(
            f'accounting: {findings.billed} tokens billed for {delivered}'
            f' delivered, {ledger["limit"]} paid in, overspend'
            f' {findings.overspend}, billed twice {findings.billed_twice}, ran'
            f' twice {findings.ran_twice}, false "not run"'
            f' {findings.untrue_not_run}',
            findings.is_clean()
            and findings.billed == delivered
            and not findings.in_doubt,
        )
        self.lines += [f'       {note}' for note in findings.notes]


def main():
    """Run the demo of both deployments; exit with 0 if all checks passed."""
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
                f'{count} processes are serving after'
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
        f'{"All checks passed" if all_passed else "Some checks FAILED"},'
        ' according to the event logs of the stand-ins;'
        f' {time.monotonic() - started:.0f} s in total.'
    )
    sys.exit(0 if all_passed else 1)


if __name__ == '__main__':
    main()
