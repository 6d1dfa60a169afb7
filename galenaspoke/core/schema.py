"""The schema of the configuration that operators publish, and its validation.

A configuration is one document that contains all objects.  Objects refer to
each other by name.  `find_problems` validates the document as a whole and
returns every problem with the object, the field and a hint, so that an
inconsistent document is never published.

This configuration is used by the router with agents (the packages `router`,
`agent` and `ctl`).  `core.catalog` is the configuration of the edge router.
The two have no types in common.
"""

import re

import msgspec

NAME_PATTERN = re.compile(r'[a-z0-9][a-z0-9-]{0,62}\Z')
MAX_DOCUMENT_BYTES = 1_000_000
MAX_CALL_COST = 10**12
MODEL = 'model'
APPLICATION = 'application'
SERVICE_KINDS = (MODEL, APPLICATION)


class Budget(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A prepaid token budget.  Its balance is kept in the ledger."""

    name: str
    account: str


class Account(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A client account and the name of the policy that limits it."""

    name: str
    policy: str


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service that callers can use: a model pool or an application.

    `call_cost` is the cost of one application call, in tokens.
    """

    name: str
    kind: str
    policy: str
    call_cost: int = 0


class Target(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One target of a service, and what it is configured to run.

    `model`, `adapter` and `role` are what its engine is ordered to run.
    `checks_fencing` means that the engine itself refuses orders from an older
    configuration.  A target that is `drained` accepts no new requests.
    """

    name: str
    service: str
    model: str = ''
    adapter: str = ''
    role: str = ''
    checks_fencing: bool = False
    drained: bool = False


class Policy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits.  A field left out is taken from `base`, then from DEFAULTS.

    `rate_per_s` and `burst` limit an account's requests, `concurrency` its
    open requests, and `max_tokens` the tokens of one request.  `priority` is
    0, the most urgent, to 9.  `queue` limits the requests that run or wait at
    one target, `poison_limit` the targets that requests with the same content
    may crash, and `retry_percent` the retries per hundred requests.  With
    `durable_claims`, a service's non-repeatable requests are claimed in the
    store.
    """

    name: str
    base: str = ''
    rate_per_s: int | None = None
    burst: int | None = None
    concurrency: int | None = None
    max_tokens: int | None = None
    priority: int | None = None
    queue: int | None = None
    poison_limit: int | None = None
    retry_percent: int | None = None
    durable_claims: bool | None = None


DEFAULTS = Policy(
    name='defaults',
    rate_per_s=1000,
    burst=2000,
    concurrency=1000,
    max_tokens=4096,
    priority=5,
    queue=64,
    poison_limit=2,
    retry_percent=20,
    durable_claims=False,
)
_POLICY_RANGES = {
    'rate_per_s': (1, 1_000_000),
    'burst': (1, 1_000_000),
    'concurrency': (1, 1_000_000),
    'max_tokens': (1, 1_000_000),
    'priority': (0, 9),
    'queue': (1, 100_000),
    'poison_limit': (1, 100),
    'retry_percent': (0, 100),
}


_INHERITED = (*_POLICY_RANGES, 'durable_claims')


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A complete configuration, which is published as a whole."""

    budgets: list[Budget] = []
    accounts: list[Account] = []
    services: list[Service] = []
    targets: list[Target] = []
    policies: list[Policy] = []


class Problem(msgspec.Struct, frozen=True):
    """One reason why a document can't be published."""

    object: str
    field: str
    hint: str

    def __str__(self):
        return f'{self.object}: {self.field}: {self.hint}'


class DocumentInvalid(Exception):
    """A document is invalid; `problems` lists the reasons."""

    def __init__(self, problems):
        self.problems = problems
        super().__init__('; '.join(str(problem) for problem in problems))


def parse(raw):
    """Parse a JSON document; raise DocumentInvalid if it is not valid."""
    if len(raw) > MAX_DOCUMENT_BYTES:
        hint = f'{len(raw)} bytes, at most {MAX_DOCUMENT_BYTES} are allowed'
        raise DocumentInvalid([Problem('document', 'size', hint)])
    try:
        doc = msgspec.json.decode(raw, type=Document)
    except msgspec.ValidationError as exc:
        message, _, path = str(exc).partition(' - at `$')
        where = path.rstrip('`').lstrip('.') or 'document'
        raise DocumentInvalid([Problem(where, 'value', message)]) from exc
    except (msgspec.DecodeError, RecursionError) as exc:
        hint = f'not valid JSON: {exc}'
        raise DocumentInvalid([Problem('document', 'text', hint)]) from exc
    problems = find_problems(doc)
    if problems:
        raise DocumentInvalid(problems)
    return doc


def find_problems(doc):
    """Return all Problems of a document, or an empty list if it is valid."""
    problems = []
    names = {}
    for collection in Document.__struct_fields__:
        names[collection] = _check_names(
            collection, getattr(doc, collection), problems
        )
    _check_references(doc, names, problems)
    for service in doc.services:
        label = f'service {service.name}'
        if service.kind not in SERVICE_KINDS:
            hint = f'{service.kind!r} is not one of {", ".join(SERVICE_KINDS)}'
            problems.append(Problem(label, 'kind', hint))
        _check_range(
            label, 'call_cost', service.call_cost, 0, MAX_CALL_COST, problems
        )
    for policy in doc.policies:
        for field, (low, high) in _POLICY_RANGES.items():
            value = getattr(policy, field)
            if value is not None:
                _check_range(
                    f'policy {policy.name}', field, value, low, high, problems
                )
    _check_cycles(doc, problems)
    return problems


def _check_names(collection, objects, problems):
    seen = set()
    for obj in objects:
        label = f'{_singular(collection)} {obj.name}'
        if not NAME_PATTERN.match(obj.name):
            hint = (
                'use 1 to 63 lower-case letters, digits and hyphens, beginning'
                ' with a letter or a digit'
            )
            problems.append(Problem(label[:80], 'name', hint))
        if obj.name in seen:
            hint = 'this name is used twice; names are unique within a kind'
            problems.append(Problem(label, 'name', hint))
        seen.add(obj.name)
    return seen


def _singular(collection):
    return 'policy' if collection == 'policies' else collection[:-1]


_REFERENCES = (
    ('budgets', 'account', 'accounts'),
    ('accounts', 'policy', 'policies'),
    ('services', 'policy', 'policies'),
    ('targets', 'service', 'services'),
    ('policies', 'base', 'policies'),
)


def _check_references(doc, names, problems):
    for collection, field, other in _REFERENCES:
        for obj in getattr(doc, collection):
            name = getattr(obj, field)
            if name in names[other] or (field == 'base' and not name):
                continue
            hint = f'there is no {_singular(other)} named {name!r}'
            label = f'{_singular(collection)} {obj.name}'
            problems.append(Problem(label, field, hint))


def _check_range(label, field, value, low, high, problems):
    if not low <= value <= high:
        hint = f'{value} is not between {low} and {high}'
        problems.append(Problem(label, field, hint))


def _check_cycles(doc, problems):
    bases = {policy.name: policy.base for policy in doc.policies}
    for name in bases:
        seen = [name]
        base = bases[name]
        while base in bases and base not in seen:
            seen.append(base)
            base = bases[base]
        if base == name:
            hint = 'a policy is its own base: ' + ' -> '.join(seen + [name])
            problems.append(Problem(f'policy {name}', 'base', hint))


class Config:
    """The published document that is in effect, with its objects by name.

    `generation` numbers the publications.  Zero means that no document has
    been published.  Policies are resolved: no field is None.
    """

    __slots__ = (
        'generation',
        'raw',
        'budgets',
        'accounts',
        'services',
        'targets',
        'policies',
    )

    def __init__(self, generation=0, raw=b'{}'):
        self.generation = generation
        self.raw = raw
        doc = msgspec.json.decode(raw, type=Document)
        for collection in Document.__struct_fields__:
            objects = {obj.name: obj for obj in getattr(doc, collection)}
            setattr(self, collection, objects)
        for name in self.policies:
            self.policies[name] = self._resolve_policy(self.policies[name])

    def _resolve_policy(self, policy):
        values = {}
        ancestor = policy
        while ancestor is not None:
            for field in _INHERITED:
                value = getattr(ancestor, field)
                if values.get(field) is None:
                    values[field] = value
            ancestor = self.policies.get(ancestor.base)
        for field in _INHERITED:
            if values[field] is None:
                values[field] = getattr(DEFAULTS, field)
        return msgspec.structs.replace(policy, **values)

    def get_policy(self, obj):
        """Return the resolved policy of an account or a service.

        Return DEFAULTS if the policy does not exist.
        """
        return self.policies.get(obj.policy, DEFAULTS)


class Head(msgspec.Struct, frozen=True):
    """The single configuration object in the store, with the document.

    `publication` is a unique id, by which a publisher recognises its own
    publication after a lost response.
    """

    generation: int
    publication: str
    publisher: str
    document: msgspec.Raw


HEAD_KEY = 'config/head'


def list_changes(old_raw, new_raw):
    """Return the objects that differ, each as 'kind name'."""
    old = msgspec.json.decode(old_raw, type=Document)
    new = msgspec.json.decode(new_raw, type=Document)
    names = []
    for collection in Document.__struct_fields__:
        before = {obj.name: obj for obj in getattr(old, collection)}
        after = {obj.name: obj for obj in getattr(new, collection)}
        for name in sorted(before.keys() | after.keys()):
            if before.get(name) != after.get(name):
                names.append(f'{_singular(collection)} {name}')
    return names
