"""The two existing deployments, as their operators would publish them."""

import concurrent.futures
import dataclasses


@dataclasses.dataclass(frozen=True)
class Pool:
    """The targets of one service; `kind` is `model` or `application`."""

    service: str
    kind: str
    size: int


@dataclasses.dataclass(frozen=True)
class Deployment:
    """The system of one operator: its region, pools, routers and budgets.

    `domains` are the failure domains of the region.  `accounts` maps each
    client account to its budgets.
    """

    region: str
    domains: tuple
    pools: tuple
    routers: int
    accounts: dict

    def list_router_names(self):
        """Return the names of all routers."""
        return [f'{self.region}-router-{n}' for n in range(self.routers)]

    def iter_targets(self):
        """Yield (name, pool, failure domain) of each target."""
        for pool in self.pools:
            for number in range(pool.size):
                domain = self.domains[number % len(self.domains)]
                yield f'{pool.service}-{number}', pool, domain

    def make_document(self, **policy):
        """Return the configuration document to publish.

        `policy` has fields of the policy `standard`.
        """
        return {
            'policies': [
                {'name': 'standard', **policy},
                {'name': 'large', 'base': 'standard', 'max_tokens': 8192},
            ],
            'accounts': [
                {'name': name, 'policy': 'standard'} for name in self.accounts
            ],
            'budgets': [
                {'name': budget, 'account': account}
                for account, budgets in self.accounts.items()
                for budget in budgets
            ],
            'services': [
                {
                    'name': pool.service,
                    'kind': pool.kind,
                    'policy': 'standard',
                }
                for pool in self.pools
            ],
            'targets': [
                {'name': name, 'service': pool.service}
                for name, pool, _ in self.iter_targets()
            ],
        }


QLD_EAST = Deployment(
    'qld-east',
    ('qld-east-a', 'qld-east-b', 'qld-east-c', 'qld-east-d'),
    (
        Pool('assistant-pool', 'model', 5),
        Pool('booking-desk', 'application', 4),
    ),
    3,
    {'flight-day': ['voucher-desk', 'rebooking'], 'sales': ['gift-chat']},
)
NORDESTE = Deployment(
    'nordeste',
    ('recife-a', 'recife-b', 'fortaleza-a', 'salvador-a'),
    (
        Pool('galena-pool', 'model', 6),
        Pool('registro-app', 'application', 4),
    ),
    3,
    {'clube-recife': ['provenance'], 'clube-salvador': ['rules']},
)


def scale_down(deployment, engines=2, applications=2, routers=2):
    """Return a deployment with smaller pools and fewer routers, for tests."""
    sizes = {'model': engines, 'application': applications}
    pools = tuple(
        dataclasses.replace(pool, size=sizes[pool.kind])
        for pool in deployment.pools
    )
    return dataclasses.replace(deployment, pools=pools, routers=routers)


def start(
    cluster,
    deployment,
    top_ups,
    links=False,
    engine_options=None,
    router_settings=None,
    agent_settings=None,
    store_options=None,
    policy=None,
):
    """Start all processes of a deployment and wait until it serves.

    `top_ups` maps each budget to its first top-up in tokens.  With `links`,
    each agent is behind a link process.

    The other mappings hold what differs from the defaults: options of the
    stand-ins, settings of the routers and agents, and fields of the policy
    `standard`.  `router_settings` may also have `store_link`, see
    `Cluster.start_router`.
    """
    cluster.start_store(**(store_options or {}))
    cluster.start_roster()
    names = []
    for name, pool, _ in deployment.iter_targets():
        options = engine_options or {} if pool.kind == 'model' else {}
        cluster.start_target(name, pool.kind, **options)
    for name, pool, domain in deployment.iter_targets():
        names.append(name)
        cluster.start_agent(
            name,
            pool.service,
            pool.kind,
            domain,
            links,
            **(agent_settings or {}),
        )
    cluster.wait_agents_joined(names)
    cluster.publish(deployment.make_document(**(policy or {})))
    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        jobs = [
            pool.submit(cluster.run_ctl, 'top-up', budget, str(amount))
            for budget, amount in top_ups.items()
        ]
        for job in jobs:
            job.result()
    for number, name in enumerate(deployment.list_router_names()):
        domain = deployment.domains[number % len(deployment.domains)]
        cluster.start_router(name, domain, **(router_settings or {}))
    cluster.update_roster()
    cluster.wait_ready(deployment.list_router_names(), names)
