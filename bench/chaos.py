"""Concurrent callers and random faults, from one seed, and the verdict.

The seed decides what callers ask and which faults come in which order.  What
the processes make of it depends on timing; the properties must hold anyway.
"""

import random
import time

import gevent

from bench import callers
from bench import deployments
from bench import judge

TOKENS = (5, 40)
TRIES = 6
THINK_S = 0.05
CALLER_TIMEOUT_S = 8.0
REST_TIMEOUT_S = 60
ROUTER = {
    'reclaim_after_ms': 1500,
    'agent_lost_ms': 1500,
    'grant_idle_ms': 1500,
    'first_answer_ms': 1000,
    'idle_ms': 2000,
}
AGENT = {'leave_ms': 300}
# Faults that one run may draw from.
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


class Chaos:
    """One run: a cluster, its callers and its faults."""

    def __init__(
        self, cluster, seed, faults=FAULTS, limit=4000, durable=False
    ):
        self.cluster = cluster
        self.rng = random.Random(seed)
        self.deployment = deployments.small(
            deployments.QLD_EAST, engines=3, applications=2, routers=3
        )
        self.faults = faults
        self.limits = {
            'voucher-desk': limit,
            'rebooking': limit,
            'gift-chat': limit // 8,
        }
        self.policy = {'durable_claims': durable}
        self.answers = []
        self.want = {}
        self.done = []
        self._running = True
        self._top_ups = 0
        self._down = set()
        self._supervisor = None

    def start(self):
        """Start the cluster."""
        deployments.start(
            self.cluster,
            self.deployment,
            self.limits,
            links=True,
            router={**ROUTER, 'store_link': True},
            agent=AGENT,
            engine={'token_ms': 5, 'down_ms': 800},
            policy=self.policy,
        )

    # Callers.

    def call_for(self, seconds, count):
        """Run `count` callers for some seconds, faults meanwhile."""
        tasks = [
            gevent.spawn(self._caller, number, self.rng.getrandbits(32))
            for number in range(count)
        ]
        tasks.append(gevent.spawn(self._hurt, self.rng.getrandbits(32)))
        self._supervisor = gevent.spawn(self._supervise)
        gevent.sleep(seconds)
        self._running = False
        gevent.joinall(tasks, raise_error=True)

    def _supervise(self):
        """Start agents again that ended by themselves, as a platform does."""
        while True:
            for name, _, _ in self.deployment.targets():
                process = self.cluster.processes[name]
                if not process.alive() and name not in self._down:
                    process.start()
            gevent.sleep(0.3)

    def _caller(self, number, seed):
        rng = random.Random(seed)
        turn = 0
        while self._running:
            turn += 1
            self._ask_until_answered(rng, f'c{number}-{turn}')
            gevent.sleep(rng.uniform(0, 2 * THINK_S))

    def _ask_until_answered(self, rng, key):
        service, body = self._make(rng, key)
        for _ in range(TRIES):
            router = rng.choice(self.deployment.router_names())
            address = self.cluster.addresses[router]
            answer = callers.ask(address, service, body, key, CALLER_TIMEOUT_S)
            self.answers.append(answer)
            if answer.whole or (
                answer.refused and not answer.refused['retry_after_ms']
            ):
                return
            gevent.sleep(rng.uniform(0.05, 0.3))

    def _make(self, rng, key):
        if rng.random() < 0.4:
            body = {'account': 'flight-day', 'prompt': f'seat {key}'}
            return 'booking-desk', body
        budget = rng.choice(sorted(self.limits))
        account = 'sales' if budget == 'gift-chat' else 'flight-day'
        body = {
            'account': account,
            'budget': budget,
            'prompt': f'question {rng.randrange(40)} of {key}',
            'max_tokens': rng.randint(*TOKENS),
            'stream': rng.random() < 0.5,
        }
        self.want[key] = callers.expected(body)
        return 'assistant-pool', body

    # Faults.

    def _hurt(self, seed):
        rng = random.Random(seed)
        while self._running:
            fault = rng.choice(self.faults)
            self.done.append(fault)
            getattr(self, f'_{fault}')(rng)
            gevent.sleep(rng.uniform(0.2, 1.0))

    def _router(self, rng):
        return rng.choice(self.deployment.router_names())

    def _agent(self, rng):
        return rng.choice([name for name, _, _ in self.deployment.targets()])

    def _restart(self, name, rng):
        gevent.sleep(rng.uniform(0.1, 1.5))
        process = self.cluster.processes[name]
        process.popen.wait()
        process.start()
        self._down.discard(name)

    def _kill_router(self, rng):
        name = self._router(rng)
        self.cluster.processes[name].kill()
        self._restart(name, rng)

    def _kill_agent(self, rng):
        name = self._agent(rng)
        self._down.add(name)
        self.cluster.processes[name].kill()
        self._restart(name, rng)

    def _stop_router(self, rng):
        name = self._router(rng)
        self._stop(name)
        self._restart(name, rng)

    def _stop_agent(self, rng):
        name = self._agent(rng)
        self._down.add(name)
        self._stop(name)
        self._restart(name, rng)

    def _stop(self, name):
        process = self.cluster.processes[name]
        process.signal(15)
        until = time.monotonic() + 15
        while process.alive() and time.monotonic() < until:
            gevent.sleep(0.05)
        process.kill()

    def _freeze_router(self, rng):
        self._freeze(self._router(rng), rng)

    def _freeze_agent(self, rng):
        self._freeze(self._agent(rng), rng)

    def _freeze(self, name, rng):
        process = self.cluster.processes[name]
        process.freeze()
        gevent.sleep(rng.uniform(0.3, 3.0))
        process.thaw()

    def _cut(self, rng):
        link = self.cluster.addresses[f'link-{self._agent(rng)}']
        link.cut()
        gevent.sleep(rng.uniform(0.3, 3.0))
        link.mend()

    def _cut_store(self, rng):
        link = self.cluster.addresses[f'store-link-{self._router(rng)}']
        link.cut()
        gevent.sleep(rng.uniform(0.5, 4.0))
        link.mend()

    def _store_outage(self, rng):
        self.cluster.control('store', outage=True)
        gevent.sleep(rng.uniform(0.5, 4.0))
        self.cluster.control('store', outage=False)

    def _store_slow(self, rng):
        self.cluster.control('store', slow_ms=rng.randint(50, 400))
        gevent.sleep(rng.uniform(0.5, 2.0))
        self.cluster.control('store', slow_ms=0)

    def _lose_answers(self, rng):
        self.cluster.control('store', lose_answers=rng.randint(1, 3))

    def _application_loses(self, rng):
        name = rng.choice(
            [
                name
                for name, pool, _ in self.deployment.targets()
                if pool.kind == 'application'
            ]
        )
        self.cluster.control(f'target-{name}', lose_answers=1)

    def _poison(self, rng):
        body = {
            'account': 'sales',
            'budget': 'gift-chat',
            'prompt': f'POISON {rng.getrandbits(32)}',
            'max_tokens': 10,
        }
        address = self.cluster.addresses[self._router(rng)]
        callers.ask(address, 'assistant-pool', body, '', CALLER_TIMEOUT_S)

    def _top_up(self, rng):
        self._top_ups += 1
        payment = f'{self._top_ups:06d}'
        amount = rng.randint(50, 500)
        for _ in range(2):
            self.cluster.ctl(
                'top-up', 'gift-chat', str(amount), '--id', payment
            )
        self.limits['gift-chat'] += amount

    def _publish(self, rng):
        queue = rng.randint(40, 80)
        self.cluster.publish(
            self.deployment.document(queue=queue, **self.policy)
        )

    # The end.

    def rest(self):
        """Heal everything and wait until the books are settled."""
        self.cluster.control('store', outage=False, slow_ms=0, lose_answers=0)
        names = [name for name, _, _ in self.deployment.targets()]
        routers = self.deployment.router_names()
        self.cluster.wait_ready(routers, names, REST_TIMEOUT_S)
        self._supervisor.kill()
        judge.rest(self.cluster, routers, names, REST_TIMEOUT_S)

    def judge(self):
        """Return the Judgement."""
        return judge.judge(self.cluster, self.limits, self.answers, self.want)
