"""Checks a soak of the edge fleet by what callers and engines saw.

- ORDER: a stream that its caller was told is whole lacks a token, has one
  twice or joins two versions, or events came with a gap.  Ids of events have
  to count them, or to be the number of their last token.
- MIXED: a success without the stamp of a run of its request, with another
  body than the engine's whole one, a response to another request, or bytes
  after a response.  A body without a length ends with its connection, so one
  that a living engine closes early is whole by the platform's rules.
- TWICE: an attempt that may not be repeated ran more than once.
- REFUSED: an attempt that may not be repeated ran and was promised not to.
- ROUTE: an engine of another service than the route's ran a request.
- MEMORY: a router or relay took more memory than it may.
- STARVED: while callers or an engine flooded a router, callers of a service
  that is well got less than half of the answers that they get otherwise.
- ENDED: a router or relay ended though no fault ended it.
- LOST: see lost_checks.
"""

import collections
import json

from bench import edge_callers
from standins import edge_bodies
from standins import edge_divisions
from standins import edge_plans
from standins import platform_documents

MAX_LISTED = 40
# What may follow a response and leaves it alone; late bytes meet the next one.
UNGARBLED = (None, edge_plans.LATE)
# How runs end that an engine closes early that lives, or lives on for a while.
CLOSED = (edge_plans.CLOSED, edge_plans.LEAVING)
RULES = (
    'ORDER',
    'MIXED',
    'TWICE',
    'REFUSED',
    'ROUTE',
    'MEMORY',
    'STARVED',
    'ENDED',
    'LOST',
)


class Run:
    """A run of an attempt at an engine, from its log.

    `ids` is what its events' ids are, `after` the id of the event that it went
    on after, 0 if it began, and `first` the token that it was to begin with.
    `how` is how it ended, 'killed' if the log doesn't say, with the `events`
    and `tokens` that it had sent, -1 if that isn't known, at `ended_ms`.  It
    `is_garbled` if bytes beside its response came on the connection.
    """

    __slots__ = (
        'at',
        'framing',
        'instance',
        'born',
        'version',
        'service',
        'ids',
        'after',
        'first',
        'how',
        'events',
        'tokens',
        'ended_ms',
        'is_garbled',
    )

    def __init__(self, entry):
        self.at = entry['at']
        self.framing = entry['framing']
        self.instance = entry['instance']
        self.born = entry['born']
        self.version = entry['version']
        self.service = entry['service']
        self.ids = entry.get('ids', edge_divisions.EVENTS)
        self.after = entry.get('after', 0)
        self.first = entry.get('first', 1)
        self.how = 'killed'
        self.events = -1
        self.tokens = -1
        self.ended_ms = 0
        self.is_garbled = entry.get('follows_garbage', False)

    def end(self, entry):
        """Record how it ended."""
        self.how = entry['how']
        self.events = entry.get('events', -1)
        self.tokens = entry.get('tokens', -1)
        self.ended_ms = entry['at']
        if entry.get('extra') not in UNGARBLED:
            self.is_garbled = True

    def describe(self):
        """Return what it did, for a timeline."""
        resumed = f'after {self.after}, ' if self.after else ''
        return (
            f'{self.instance} {self.framing} {resumed}token {self.first}'
            f' +{self.tokens} in {self.events}: {self.how}'
        )


class Findings:
    """The violations by rule, and counts of what was reached.

    `ends` counts, by the framing of the last run of an attempt, how that run
    ended and the outcome that its caller was told, those attempts.  `unframed`
    counts those without a length by route, end and outcome.  `gaps` and
    `repetitions` count the places where tokens are missing or come again, by
    the framings of the runs of the attempt that brought them.  `peaks_mb` has
    the most memory that a process took, by its machine's name, and `floods`
    the FloodResults.  `wholes` counts the attempts whose last run sent its
    whole answer, and `broken_wholes`, by kind and framing, those of them that
    were told broken and break no rule; `wholes_beside_work` counts, likewise,
    those for which LOST holds, whatever their callers were told.
    """

    __slots__ = (
        'violations',
        'outcomes',
        'ends',
        'unframed',
        'gaps',
        'repetitions',
        'faults',
        'restarts',
        'datagrams',
        'peaks_mb',
        'floods',
        'wholes',
        'broken_wholes',
        'wholes_beside_work',
    )

    def __init__(self):
        self.violations = {rule: [] for rule in RULES}
        self.outcomes = collections.Counter()
        self.ends = collections.Counter()
        self.unframed = collections.Counter()
        self.gaps = collections.Counter()
        self.repetitions = collections.Counter()
        self.faults = collections.Counter()
        self.restarts = {}
        self.datagrams = {}
        self.peaks_mb = {}
        self.floods = []
        self.wholes = 0
        self.broken_wholes = collections.Counter()
        self.wholes_beside_work = collections.Counter()

    def add(self, rule, text):
        """Add a violation."""
        self.violations[rule].append(text)

    def is_clean(self):
        """Return whether there is no violation."""
        return not any(self.violations.values())

    def count_ends(self, framing, how, outcome=None):
        """Return the number of attempts with such a last run."""
        return sum(
            count
            for (a, b, c), count in self.ends.items()
            if (a, b) == (framing, how) and outcome in (None, c)
        )

    def to_document(self):
        """Return all of it for JSON."""
        return {
            'violations': self.violations,
            'outcomes': dict(self.outcomes),
            'ends': {' '.join(key): n for key, n in self.ends.items()},
            'unframed': {' '.join(key): n for key, n in self.unframed.items()},
            'gaps': dict(self.gaps),
            'repetitions': dict(self.repetitions),
            'faults': dict(self.faults),
            'restarts': dict(self.restarts),
            'datagrams': dict(self.datagrams),
            'peaks_mb': self.peaks_mb,
            'floods': [result.describe() for result in self.floods],
            'wholes': self.wholes,
            'broken_wholes': dict(self.broken_wholes),
            'wholes_beside_work': dict(self.wholes_beside_work),
        }


def read_runs(paths):
    """Return the Runs in engines' logs, in order, by the id of the attempt."""
    runs = collections.defaultdict(list)
    for path in paths:
        open_runs = {}
        for line in path.read_text().splitlines():
            entry = json.loads(line)
            # A flood has no number.
            key = entry['id'], entry.get('number')
            if entry['what'] == 'run':
                open_runs[key] = Run(entry)
                runs[entry['id']].append(open_runs[key])
            elif key in open_runs:
                open_runs[key].end(entry)
    for found in runs.values():
        found.sort(key=lambda run: run.at)
    return runs


def check(requests, runs):
    """Return the Findings of all requests that callers sent."""
    findings = Findings()
    for req in requests:
        check_request(findings, req, runs)
    return findings


def check_memory(findings, peaks_mb, limit_mb):
    """Check what processes took, by machine and process id."""
    for (name, pid), peak_mb in peaks_mb.items():
        if peak_mb > limit_mb:
            findings.add(
                'MEMORY',
                f'{name}, process {pid}: {peak_mb:.0f} MB of {limit_mb}',
            )
        previous_mb = findings.peaks_mb.get(name, 0.0)
        findings.peaks_mb[name] = max(previous_mb, round(peak_mb, 1))


def check_floods(findings, results):
    """Check what others got while a router was flooded."""
    findings.floods += results
    for result in results:
        if result.is_starved():
            findings.add('STARVED', result.describe())


def check_request(findings, req, runs):
    """Check one request with all its attempts."""
    for attempt in req.attempts:
        own_runs = runs.get(attempt.id, [])
        findings.outcomes[f'{req.prefix} {attempt.outcome}'] += 1
        if own_runs:
            last = own_runs[-1]
            key = (last.framing, last.how, attempt.outcome)
            findings.ends[key] += 1
            if last.framing == 'none':
                key = (req.prefix, last.how, attempt.outcome)
                findings.unframed[key] += 1
        _check_runs(findings, req, attempt, own_runs)
        _check_services(findings, req, attempt, own_runs)
        _check_identity(findings, attempt, own_runs)
        if attempt.outcome == 'whole' and req.kind != 'stream':
            _check_body(findings, req, attempt, own_runs)
    if req.kind == 'stream':
        _check_events(findings, req, runs)


def _check_runs(findings, req, attempt, runs):
    if req.may_repeat:
        return
    if len(runs) > 1:
        findings.add('TWICE', f'{attempt.id} ran {len(runs)} times')
    if runs and attempt.outcome == 'refused':
        findings.add('REFUSED', f'{attempt.id} ran, but got {attempt.status}')


def _check_services(findings, req, attempt, runs):
    expected = req.route.service
    for run in runs:
        if run.service != expected:
            findings.add(
                'ROUTE', f'{attempt.id} for {expected} ran at {run.service}'
            )


def _check_identity(findings, attempt, runs):
    """Check that a response belongs to the attempt."""
    request_id = attempt.headers.get(platform_documents.REQUEST_ID, attempt.id)
    if request_id != attempt.id:
        findings.add('MIXED', f'{attempt.id} got the answer of {request_id}')
    if attempt.has_surplus:
        findings.add('MIXED', f'{attempt.id}: bytes after the response')
    stamp = attempt.headers.get(platform_documents.STAMP)
    stamps = [
        edge_bodies.make_stamp(run.instance, run.born, attempt.id)
        for run in runs
    ]
    if 200 <= attempt.status < 300 and stamp not in stamps:
        findings.add('MIXED', f'{attempt.id} has the stamp {stamp}')


def _check_body(findings, req, attempt, runs):
    if runs and runs[-1].framing == 'none' and runs[-1].how in CLOSED:
        return
    bodies = [
        edge_bodies.make_body(req.key, run.version, req.pieces) for run in runs
    ]
    if attempt.body not in bodies:
        findings.add(
            'MIXED',
            f'{attempt.id} got {len(attempt.body)} bytes of'
            f' {req.pieces} pieces as a whole body',
        )


def _check_events(findings, req, runs):
    """Check the events of a stream over all its attempts."""
    events = [event for attempt in req.attempts for event in attempt.events]
    if any(event.key != req.key for event in events):
        findings.add('MIXED', f'{req.key} has events of another request')
    if _check_tokens(findings, req, runs):
        _check_ids(findings, req, events, runs)
    versions = sorted({event.version for event in events})
    if len(versions) > 1:
        findings.add('ORDER', f'{req.key} joins {versions}')
    last = req.attempts[-1] if req.attempts else None
    if last is None or last.outcome != 'whole':
        return
    last_token = max((event.last for event in events), default=0)
    if last_token != req.pieces or last.body:
        findings.add(
            'ORDER',
            f'{last.id} ended as whole with {last_token} of {req.pieces}'
            f' tokens, {edge_callers.describe(last)}'
            f' {_describe_runs(runs.get(last.id))}',
        )


def _check_tokens(findings, req, runs):
    """Check that each token comes once, and in order; return whether so."""
    due = 1
    breaks = []
    for attempt in req.attempts:
        framing = _name_framings(runs.get(attempt.id, []))
        for event in attempt.events:
            if event.first > due:
                findings.gaps[framing] += 1
            elif event.first < due:
                findings.repetitions[framing] += 1
            if event.first != due:
                breaks.append(
                    f'{attempt.id}: {event.first} where {due} is due'
                )
            due = event.last + 1
    if breaks:
        findings.add(
            'ORDER',
            f'{req.key}: {"; ".join(breaks[:MAX_LISTED])}'
            f' {_describe_all(req, runs)}',
        )
    return not breaks


def _check_ids(findings, req, events, runs):
    """Check that ids are what the engines make them."""
    ids = [
        run.ids for attempt in req.attempts for run in runs.get(attempt.id, [])
    ]
    if edge_divisions.TOKENS in ids:
        expected = [event.last for event in events]
    else:
        expected = list(range(1, len(events) + 1))
    numbers = [event.number for event in events]
    if numbers != expected:
        findings.add(
            'ORDER',
            f'{req.key}: the ids are {numbers[:MAX_LISTED]}'
            f' of {len(numbers)} {_describe_all(req, runs)}',
        )


def _name_framings(runs):
    """Return the framings of an attempt's runs, in order."""
    return '+'.join(run.framing for run in runs) or 'no run'


def _describe_all(req, runs):
    return ' '.join(
        f'{attempt.id} {_describe_runs(runs.get(attempt.id))}'
        for attempt in req.attempts
    )


def _describe_runs(runs):
    if not runs:
        return '(no run)'
    return f'(runs: {"; ".join(run.describe() for run in runs)})'
