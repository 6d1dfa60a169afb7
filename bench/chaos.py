"""Chaos test: concurrent callers and random faults, drawn from one seed.

The seed determines the callers' requests and the sequence of faults.  How the
processes react still depends on timing; the properties that `checker` checks
must hold in any case.
"""

import random
import time

import gevent
from gevent import monkey

from bench import callers
from bench import checker
from bench import deployments

TOKEN_RANGE = (5, 40)
MAX_ATTEMPTS = 6
MEAN_THINK_TIME_S = 0.05
CALLER_TIMEOUT_S = 8.0
SETTLE_TIMEOUT_S = 60
ROUTER_SETTINGS = {
    'reclaim_after_ms': 1500,
    'agent_lost_ms': 1500,
    'grant_idle_ms': 1500,
    'first_answer_ms': 1000,
    'idle_ms': 2000,
}
AGENT_SETTINGS = {'leave_ms': 300}
# Names of the faults; the method `_NAME` of ChaosRun injects each.
FAULTS = (
    'kill_router',
    'kill_agent',
    'freeze_router',
    'freeze_agent',
    'cut',
    'cut_store',
    'store_outage',
    'store_slow',
    'lose_answers',
    'application_loses',
    'poison',
    'top_up',
    'stop_router',
    'stop_agent',
    'publish',
)


class ChaosRun:
    """One chaos run: a cluster, its callers and its faults.

    `limit` is the first top-up of two budgets in tokens; the third,
    `gift-chat`, gets an eighth of it.  With `durable`, the policy asks for
    durable claims.  Its callers, faults and supervisor are greenlets: it needs
    a process with `gevent.monkey.patch_all`.
    """

    def __init__(
        self, cluster, seed, faults=FAULTS, limit=4000, durable=False
    ):
        if not monkey.is_module_patched('time'):
            raise RuntimeError('a chaos run needs monkey.patch_all()')
        self.cluster = cluster
        self.rng = random.Random(seed)
        self.deployment = deployments.scale_down(
            deployments.QLD_EAST, engines=3, applications=2, routers=3
        )
        self.faults = faults
        self.limits = {
            'voucher-desk': limit,
            'rebooking': limit,
            'gift-chat': limit // 8,
        }
        self.policy = {'durable_claims': durable}
        self.results = []
        self.expected = {}
        self.injected_faults = []
        self._running = True
        self._top_ups = 0
        # Agents to be restarted by the fault itself, not by the supervisor.
        self._agents_down_by_fault = set()
        self._supervisor = None

    def start(self):
        """Start the cluster and wait until it serves."""
        deployments.start(
            self.cluster,
            self.deployment,
            self.limits,
            links=True,
            router_settings={**ROUTER_SETTINGS, 'store_link': True},
            agent_settings=AGENT_SETTINGS,
            engine_options={'token_ms': 5, 'down_ms': 800},
            policy=self.policy,
        )

    # Callers.

    def run_callers(self, seconds, count):
        """Run `count` callers for some seconds while faults are injected."""
        tasks = [
            gevent.spawn(self._run_caller, number, self.rng.getrandbits(32))
            for number in range(count)
        ]
        tasks.append(
            gevent.spawn(self._inject_faults, self.rng.getrandbits(32))
        )
        self._supervisor = gevent.spawn(self._supervise)
        gevent.sleep(seconds)
        self._running = False
        gevent.joinall(tasks, raise_error=True)

    def _supervise(self):
        """Restart agents that exited by themselves, as a platform does."""
        while True:
            for name, _, _ in self.deployment.iter_targets():
                process = self.cluster.processes[name]
                if (
                    not process.is_alive()
                    and name not in self._agents_down_by_fault
                ):
                    process.start()
            gevent.sleep(0.3)

    def _run_caller(self, number, seed):
        rng = random.Random(seed)
        request_number = 0
        while self._running:
            request_number += 1
            self._send_until_final(rng, f'c{number}-{request_number}')
            gevent.sleep(rng.uniform(0, 2 * MEAN_THINK_TIME_S))

    def _send_until_final(self, rng, key):
        service, body = self._make_request(rng, key)
        for _ in range(MAX_ATTEMPTS):
            router = rng.choice(self.deployment.list_router_names())
            address = self.cluster.addresses[router]
            result = callers.send_request(
                address, service, body, key, CALLER_TIMEOUT_S
            )
            self.results.append(result)
            if result.is_complete or (
                result.refusal and not result.refusal['retry_after_ms']
            ):
                return
            gevent.sleep(rng.uniform(0.05, 0.3))

    def _make_request(self, rng, key):
        if rng.random() < 0.4:
            body = {'account': 'flight-day', 'prompt': f'seat {key}'}
            return 'booking-desk', body
        budget = rng.choice(sorted(self.limits))
        account = 'sales' if budget == 'gift-chat' else 'flight-day'
        body = {
            'account': account,
            'budget': budget,
            'prompt': f'question {rng.randrange(40)} of {key}',
            'max_tokens': rng.randint(*TOKEN_RANGE),
            'stream': rng.random() < 0.5,
        }
        self.expected[key] = callers.make_expected_text(body)
        return 'assistant-pool', body

    # Faults.

    def _inject_faults(self, seed):
        rng = random.Random(seed)
        while self._running:
            fault = rng.choice(self.faults)
            self.injected_faults.append(fault)
            getattr(self, f'_{fault}')(rng)
            gevent.sleep(rng.uniform(0.2, 1.0))

    def _choose_router(self, rng):
        return rng.choice(self.deployment.list_router_names())

    def _choose_agent(self, rng):
        return rng.choice(
            [name for name, _, _ in self.deployment.iter_targets()]
        )

    def _restart(self, name, rng):
        gevent.sleep(rng.uniform(0.1, 1.5))
        process = self.cluster.processes[name]
        process.popen.wait()
        process.start()
        self._agents_down_by_fault.discard(name)

    def _kill_router(self, rng):
        name = self._choose_router(rng)
        self.cluster.processes[name].kill()
        self._restart(name, rng)

    def _kill_agent(self, rng):
        name = self._choose_agent(rng)
        self._agents_down_by_fault.add(name)
        self.cluster.processes[name].kill()
        self._restart(name, rng)

    def _stop_router(self, rng):
        name = self._choose_router(rng)
        self._stop_gracefully(name)
        self._restart(name, rng)

    def _stop_agent(self, rng):
        name = self._choose_agent(rng)
        self._agents_down_by_fault.add(name)
        self._stop_gracefully(name)
        self._restart(name, rng)

    def _stop_gracefully(self, name):
        process = self.cluster.processes[name]
        process.signal(15)
        deadline = time.monotonic() + 15
        while process.is_alive() and time.monotonic() < deadline:
            gevent.sleep(0.05)
        process.kill()

    def _freeze_router(self, rng):
        self._freeze(self._choose_router(rng), rng)

    def _freeze_agent(self, rng):
        self._freeze(self._choose_agent(rng), rng)

    def _freeze(self, name, rng):
        process = self.cluster.processes[name]
        process.freeze()
        gevent.sleep(rng.uniform(0.3, 3.0))
        process.thaw()

    def _cut(self, rng):
        link = self.cluster.addresses[f'link-{self._choose_agent(rng)}']
        link.cut()
        gevent.sleep(rng.uniform(0.3, 3.0))
        link.restore()

    def _cut_store(self, rng):
        link = self.cluster.addresses[f'store-link-{self._choose_router(rng)}']
        link.cut()
        gevent.sleep(rng.uniform(0.5, 4.0))
        link.restore()

    def _store_outage(self, rng):
        self.cluster.set_faults('store', outage=True)
        gevent.sleep(rng.uniform(0.5, 4.0))
        self.cluster.set_faults('store', outage=False)

    def _store_slow(self, rng):
        self.cluster.set_faults('store', slow_ms=rng.randint(50, 400))
        gevent.sleep(rng.uniform(0.5, 2.0))
        self.cluster.set_faults('store', slow_ms=0)

    def _lose_answers(self, rng):
        self.cluster.set_faults('store', lose_answers=rng.randint(1, 3))

    def _application_loses(self, rng):
        name = rng.choice(
            [
                name
                for name, pool, _ in self.deployment.iter_targets()
                if pool.kind == 'application'
            ]
        )
        self.cluster.set_faults(f'target-{name}', lose_answers=1)

    def _poison(self, rng):
        body = {
            'account': 'sales',
            'budget': 'gift-chat',
            'prompt': f'POISON {rng.getrandbits(32)}',
            'max_tokens': 10,
        }
        address = self.cluster.addresses[self._choose_router(rng)]
        callers.send_request(
            address, 'assistant-pool', body, '', CALLER_TIMEOUT_S
        )

    def _top_up(self, rng):
        self._top_ups += 1
        payment_id = f'{self._top_ups:06d}'
        amount = rng.randint(50, 500)
        for _ in range(2):
            self.cluster.run_ctl(
                'top-up', 'gift-chat', str(amount), '--id', payment_id
            )
        self.limits['gift-chat'] += amount

    def _publish(self, rng):
        queue = rng.randint(40, 80)
        self.cluster.publish(
            self.deployment.make_document(queue=queue, **self.policy)
        )

    # Settling and checking.

    def settle_and_stop(self):
        """End store faults, wait until all is settled, stop the routers."""
        self.cluster.set_faults(
            'store', outage=False, slow_ms=0, lose_answers=0
        )
        names = [name for name, _, _ in self.deployment.iter_targets()]
        routers = self.deployment.list_router_names()
        self.cluster.wait_ready(routers, names, SETTLE_TIMEOUT_S)
        self._supervisor.kill()
        checker.settle_and_stop(self.cluster, routers, names, SETTLE_TIMEOUT_S)

    def check(self):
        """Return the Findings."""
        return checker.check(
            self.cluster, self.limits, self.results, self.expected
        )
