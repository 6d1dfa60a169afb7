"""Reconstruction of a request's timeline from the log lines of edge routers.

These are written by `galenaspoke.edge.journal`.  Lines may come from any
number of routers, in any order, and may have a prefix added by a log
collector.  Lines that are not journal lines are counted and otherwise ignored.

Example::

    timeline = timelines.build('9c41', [open('collected.log')])
    print(timeline.text)
"""

import msgspec

# Related events are taken from this long before the request's first line until
# its last one.
LOOKBACK_MS = 5_000

_OUTCOME_TEXTS = {
    'NotRun': 'it certainly did not run there',
    'Unknown': 'it may have run there',
    'Failure': 'it ran there and failed',
    'Closed': 'it ran there, and the target lives',
}
_REASON_TEXTS = {
    'unknown_route': 'no route matches its host and path',
    'unknown_key': 'no account holds its key',
    'no_configuration': 'the router had no configuration yet',
    'view_stale': 'the configuration might have changed and could not be'
    ' confirmed',
    'budget_exhausted': "the rest of its account's budget does not cover it",
    'budget_elsewhere': "the rest of its account's budget could not be"
    ' obtained in time',
    'budget_in_doubt': "the rest of its account's budget is in doubt until an"
    ' operator settles it',
    'overload': 'all targets that were tried were full',
    'no_target': 'no target of its service is known',
    'deadline': 'its deadline passed',
    'leaving': 'the router was stopping and could not finish it in time',
    'poison': 'targets that ran it went down',
    'target_failed': 'its target failed, and requests of its kind are not'
    ' retried',
    'version_unknown': 'it resumes a stream, and no router knows which'
    ' software version began that',
    'bad_request': 'it is malformed',
}
_EVENT_TEXTS = {
    'store.lost': 'could not read changes from the store ({kind}: {why})',
    'store.regained': 'reads changes from the store again ({kind})',
    'store.path_lost': 'lost the direct path to the store ({why})',
    'store.path_regained': 'regained the direct path to the store',
    'config.installed': 'installed a configuration',
    'start': 'started',
    'stop': 'began to stop',
    'stopped': 'stopped',
    'target.gone': 'removed target {target} ({why})',
    'target.leaving': 'learned that target {target} is leaving',
    'target.ready': 'learned that target {target} is ready',
    'target.limited': 'learned that target {target} takes {limit_per_s}'
    ' requests a second from all routers',
    'versions.unrecorded': 'could not record software versions ({why})',
    'money.taken_over': 'took over the ledger page of {budget}',
}


class Timeline(msgspec.Struct):
    """What the log lines say about a request.

    `steps` are the lines that name it and `around` the related events of the
    same routers and targets, both oldest first.  `unread` counts the lines
    that are not journal lines.  `text` is the timeline in readable form.
    """

    steps: list[dict]
    around: list[dict]
    unread: int
    text: str


def build(request_id, files):
    """Return the Timeline of a request; empty if no line names it."""
    lines, unread = _parse_files(files)
    steps = [line for line in lines if line.get('id') == request_id]
    steps.sort(key=_get_time_ms)
    around = _find_related_events(lines, steps)
    return Timeline(steps, around, unread, _render(request_id, steps, around))


def _parse_files(files):
    lines = []
    unread = 0
    for file in files:
        for raw in file:
            line = _parse_line(raw)
            if line is None:
                unread += 1
            else:
                lines.append(line)
    return lines, unread


def _parse_line(raw):
    """Return a journal line's fields and `writer`, or None for others."""
    prefix, brace, rest = raw.partition('{')
    if not brace:
        return None
    try:
        fields = msgspec.json.decode(brace + rest)
    except msgspec.DecodeError:
        return None
    is_event = isinstance(fields, dict) and isinstance(
        fields.get('event'), str
    )
    if not is_event or not isinstance(fields.get('at_ms'), int):
        return None
    words = prefix.split()
    fields['writer'] = words[-1] if words else 'a router'
    return fields


def _get_time_ms(line):
    return line['at_ms']


def _find_related_events(lines, steps):
    """Return events of the routers and targets that the steps name."""
    if not steps:
        return []
    writers = {step['writer'] for step in steps}
    targets = {step.get('target') for step in steps}
    targets.update(*(step.get('targets') or [] for step in steps))
    since_ms = _get_time_ms(steps[0]) - LOOKBACK_MS
    until_ms = _get_time_ms(steps[-1])
    related = [
        line
        for line in lines
        if line['event'] in _EVENT_TEXTS
        and since_ms <= _get_time_ms(line) <= until_ms
        and line['writer'] in writers
        and line.get('target') in (targets | {None})
    ]
    return sorted(related, key=_get_time_ms)


def _render(request_id, steps, around):
    if not steps:
        return (
            f'No line names request {request_id}. Under load, the lines of'
            ' successful requests are dropped first.'
        )
    rendered = [f'Request {request_id}:']
    first_ms = _get_time_ms(steps[0])
    rows = [
        (_get_time_ms(step), step['writer'], _describe_step(step))
        for step in steps
    ]
    rows += [
        (_get_time_ms(line), line['writer'], _describe_event(line))
        for line in around
    ]
    rows.sort(key=lambda row: row[0])
    for at_ms, writer, description in rows:
        rendered.append(f'{at_ms - first_ms:+7d} ms  {writer}: {description}')
    return '\n'.join(rendered)


def _describe_event(line):
    names = ('kind', 'why', 'target', 'budget', 'limit_per_s')
    values = {name: line.get(name, '?') for name in names}
    if values['limit_per_s'] is None:
        values['limit_per_s'] = 'any number of'
    return '(related) ' + _EVENT_TEXTS[line['event']].format(**values)


def _describe_step(line):
    event = line['event']
    if event == 'attempt.failed':
        ejection_note = (
            ', and the target is not used for a while'
            if line.get('rests')
            else ''
        )
        outcome = _OUTCOME_TEXTS.get(
            line.get('outcome'), 'the outcome is not known'
        )
        return (
            f"sent to {line.get('target')}; after {line.get('ms')} ms:"
            f" {line.get('why')}; {outcome}{ejection_note}"
        )
    if event == 'stream.resumed':
        return _describe_resumed(line)
    if event == 'answered':
        return _describe_answered(line)
    if event == 'refused':
        return _describe_refused(line)
    if event == 'caller.gone':
        return (
            f"the caller disconnected after {line.get('ms')} ms;"
            f" {line.get('charged')} tokens charged"
        )
    return event


def _describe_resumed(line):
    resumed = line.get('resumed_id') or 'a stream that it does not name'
    version = line.get('version')
    if version is None:
        return f'resumes {resumed}, which began at an unknown version'
    return (
        f'resumes {resumed}, which began at version {version}'
        f" (known as: {line.get('source')})"
    )


def _describe_answered(line):
    words = [f"answered {line.get('status')} after {line.get('ms')} ms"]
    if line.get('targets'):
        words.append(f"by {line['targets'][-1]}")
    if line.get('events'):
        words.append(
            f"in {line['events']} events, the first after"
            f" {line.get('first_ms')} ms, the longest pause"
            f" {line.get('gap_ms')} ms"
        )
    if not line.get('framed', True):
        words.append('ended by the end of its connection')
    words.append(f"{line.get('charged')} tokens charged")
    return ', '.join(words)


def _describe_refused(line):
    reason = line.get('reason')
    why = _REASON_TEXTS.get(reason, reason or "the target's own response")
    words = [f"answered {line.get('status')} after {line.get('ms')} ms: {why}"]
    if line.get('detail'):
        words.append(f"({line['detail']})")
    if line.get('retry_after_ms'):
        words.append(f"told to retry in {line['retry_after_ms']} ms")
    return ' '.join(words)
