"""The objects that operators publish, and the checks before they do.

A configuration is one document that holds all objects.  Objects refer to each
other by name.  `check` looks at the document as a whole and returns every
problem it finds, each with the object, the field and a hint, so that nothing
half consistent is ever published.
"""

import re

import msgspec

NAME = re.compile(r'[a-z0-9][a-z0-9-]{0,62}\Z')
MAX_DOCUMENT_BYTES = 1_000_000
MAX_AMOUNT = 10**12
MODEL = 'model'
APPLICATION = 'application'
KINDS = (MODEL, APPLICATION)


class Budget(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A prepaid token budget; its money is kept in the ledger."""

    name: str
    account: str


class Account(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A client account and the policy that limits it."""

    name: str
    policy: str


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Something callers can ask for: a model pool or an application.

    `call_cost` is what one application call costs, in tokens.
    """

    name: str
    kind: str
    policy: str
    call_cost: int = 0


class Target(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One target of a service and what it has been ordered to run."""

    name: str
    service: str
    model: str = ''
    adapter: str = ''
    role: str = ''
    checks_fencing: bool = False
    drained: bool = False


class Policy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits; a field left out is taken from `base`, then from DEFAULTS.

    `rate_per_s` and `burst` limit an account's requests, `max_tokens` one
    request's tokens, `concurrency` an account's open requests, `queue` what
    one target may have running, `poison_limit` how many targets a request
    may bring down, `retry_percent` the retries per hundred requests.  With
    `durable_claims` a service's non-repeatable requests are claimed in the
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
_POLICY_LIMITS = {
    'rate_per_s': (1, 1_000_000),
    'burst': (1, 1_000_000),
    'concurrency': (1, 1_000_000),
    'max_tokens': (1, 1_000_000),
    'priority': (0, 9),
    'queue': (1, 100_000),
    'poison_limit': (1, 100),
    'retry_percent': (0, 100),
}


_INHERITED = (*_POLICY_LIMITS, 'durable_claims')


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Everything that is published together."""

    budgets: list[Budget] = []
    accounts: list[Account] = []
    services: list[Service] = []
    targets: list[Target] = []
    policies: list[Policy] = []


class Problem(msgspec.Struct, frozen=True):
    """One thing that keeps a document from being published."""

    object: str
    field: str
    hint: str

    def __str__(self):
        return f'{self.object}: {self.field}: {self.hint}'


class DocumentInvalid(Exception):
    """A document was refused; `problems` lists why."""

    def __init__(self, problems):
        self.problems = problems
        super().__init__('; '.join(str(problem) for problem in problems))


def parse(raw):
    """Return the Document in JSON bytes, checked; raises DocumentInvalid."""
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
    problems = check(doc)
    if problems:
        raise DocumentInvalid(problems)
    return doc


def check(doc):
    """Return every Problem of a document; an empty list means none."""
    problems = []
    names = {}
    for kind in Document.__struct_fields__:
        names[kind] = _check_names(kind, getattr(doc, kind), problems)
    _check_references(doc, names, problems)
    for service in doc.services:
        label = f'service {service.name}'
        if service.kind not in KINDS:
            hint = f'{service.kind!r} is not one of {", ".join(KINDS)}'
            problems.append(Problem(label, 'kind', hint))
        _check_range(
            label, 'call_cost', service.call_cost, 0, MAX_AMOUNT, problems
        )
    for policy in doc.policies:
        for field, (low, high) in _POLICY_LIMITS.items():
            value = getattr(policy, field)
            if value is not None:
                _check_range(
                    f'policy {policy.name}', field, value, low, high, problems
                )
    _check_cycles(doc, problems)
    return problems


def _check_names(kind, objects, problems):
    seen = set()
    for obj in objects:
        label = f'{_singular(kind)} {obj.name}'
        if not NAME.match(obj.name):
            hint = 'use 1 to 63 lower-case letters, digits and hyphens'
            problems.append(Problem(label[:80], 'name', hint))
        if obj.name in seen:
            hint = 'this name is used twice; names are unique within a kind'
            problems.append(Problem(label, 'name', hint))
        seen.add(obj.name)
    return seen


def _singular(kind):
    return 'policy' if kind == 'policies' else kind[:-1]


_REFERENCES = (
    ('budgets', 'account', 'accounts'),
    ('accounts', 'policy', 'policies'),
    ('services', 'policy', 'policies'),
    ('targets', 'service', 'services'),
    ('policies', 'base', 'policies'),
)


def _check_references(doc, names, problems):
    for kind, field, other in _REFERENCES:
        for obj in getattr(doc, kind):
            name = getattr(obj, field)
            if name in names[other] or (field == 'base' and not name):
                continue
            hint = f'there is no {_singular(other)} named {name!r}'
            label = f'{_singular(kind)} {obj.name}'
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
    """A document in force, with the look-ups that a process needs.

    `generation` numbers the publications; zero means that nothing has been
    published.
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
        for kind in Document.__struct_fields__:
            objects = {obj.name: obj for obj in getattr(doc, kind)}
            setattr(self, kind, objects)
        for name in self.policies:
            self.policies[name] = self._resolved(self.policies[name])

    def _resolved(self, policy):
        values = {}
        chain = policy
        while chain is not None:
            for field in _INHERITED:
                value = getattr(chain, field)
                if values.get(field) is None:
                    values[field] = value
            chain = self.policies.get(chain.base)
        for field in _INHERITED:
            if values[field] is None:
                values[field] = getattr(DEFAULTS, field)
        return msgspec.structs.replace(policy, **values)

    def get_policy(self, obj):
        """Return the resolved policy of an account or a service."""
        return self.policies.get(obj.policy, DEFAULTS)


class Head(msgspec.Struct, frozen=True):
    """The store's one configuration object."""

    generation: int
    publication: str
    publisher: str
    document: msgspec.Raw


HEAD_KEY = 'config/head'


def list_changes(old_raw, new_raw):
    """Return the names of the objects that differ, as 'kind name'."""
    old = msgspec.json.decode(old_raw, type=Document)
    new = msgspec.json.decode(new_raw, type=Document)
    names = []
    for kind in Document.__struct_fields__:
        before = {obj.name: obj for obj in getattr(old, kind)}
        after = {obj.name: obj for obj in getattr(new, kind)}
        for name in sorted(before.keys() | after.keys()):
            if before.get(name) != after.get(name):
                names.append(f'{_singular(kind)} {name}')
    return names
