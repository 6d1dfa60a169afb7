"""Tells a request's story from the lines that routers wrote.

Lines may come from any number of routers, in any order, each behind whatever
a log collector puts in front.  What isn't a line of ours is counted, not
taken for anything else.

Example::

    told = stories.tell('9c41', [open('collected.log')])
    print(told.text)
"""

import msgspec

# What happened to the same process or target so long before is told too.
BEFORE_MS = 5_000

_RUNS = {
    'NotRun': 'it certainly did not run there',
    'Unknown': 'it may have run there',
    'Failure': 'it ran there and failed',
}
_REASONS = {
    'unknown_route': 'no route matches its host and path',
    'unknown_key': 'no account holds its key',
    'no_configuration': 'this router knew no configuration yet',
    'view_stale': 'the configuration might have changed and could not be'
    ' confirmed',
    'budget_exhausted': 'its account has spent too much to cover it',
    'budget_elsewhere': "what is left of its account's budget was not at"
    ' hand in time',
    'budget_in_doubt': "the rest of its account's budget is in doubt until an"
    ' operator settles it',
    'overload': 'all targets that were asked were full',
    'no_target': 'no target of its service is known',
    'deadline': 'its time was over',
    'leaving': 'the router was stopping and could not end it in time',
    'poison': 'targets that ran it went down',
    'target_failed': 'its target failed, and its kind must not be sent again',
    'bad_request': 'it is malformed',
}
_AROUND = {
    'store.lost': 'could not follow the store ({kind}: {why})',
    'store.regained': 'followed the store again ({kind})',
    'store.path_lost': 'lost the direct path to the store ({why})',
    'store.path_regained': 'had the direct path to the store again',
    'config.installed': 'took a configuration into force',
    'start': 'started',
    'stop': 'began to stop',
    'stopped': 'stopped',
    'target.gone': 'dropped target {target} ({why})',
    'target.leaving': 'heard that target {target} leaves',
    'target.ready': 'heard that target {target} is ready',
    'money.taken_over': 'took over the ledger page of {budget}',
}


class Story(msgspec.Struct):
    """What is known of a request.

    `steps` are the lines that name it, oldest first; `unread` counts the
    lines that were none of ours.
    """

    steps: list[dict]
    around: list[dict]
    unread: int
    text: str


def tell(request_id, files):
    """Return the Story of a request; empty where no line names it."""
    lines, unread = _read(files)
    steps = [line for line in lines if line.get('id') == request_id]
    steps.sort(key=_when)
    around = _around(lines, steps)
    return Story(steps, around, unread, _text(request_id, steps, around))


def _read(files):
    lines = []
    unread = 0
    for file in files:
        for raw in file:
            line = _line(raw)
            if line is None:
                unread += 1
            else:
                lines.append(line)
    return lines, unread


def _line(raw):
    """Return a line's fields and its `writer`, or None."""
    front, brace, rest = raw.partition('{')
    if not brace:
        return None
    try:
        fields = msgspec.json.decode(brace + rest)
    except msgspec.DecodeError:
        return None
    known = isinstance(fields, dict) and isinstance(fields.get('event'), str)
    if not known or not isinstance(fields.get('at_ms'), int):
        return None
    words = front.split()
    fields['writer'] = words[-1] if words else 'a router'
    return fields


def _when(line):
    return line['at_ms']


def _around(lines, steps):
    """Return what happened shortly before to the same router or target."""
    if not steps:
        return []
    writers = {step['writer'] for step in steps}
    targets = {step.get('target') for step in steps}
    targets.update(*(step.get('targets') or [] for step in steps))
    since = _when(steps[0]) - BEFORE_MS
    until = _when(steps[-1])
    found = [
        line
        for line in lines
        if line['event'] in _AROUND
        and since <= _when(line) <= until
        and line['writer'] in writers
        and line.get('target') in (targets | {None})
    ]
    return sorted(found, key=_when)


def _text(request_id, steps, around):
    if not steps:
        return (
            f'No line names request {request_id}. Lines of requests that went'
            ' well are shed first when there are many.'
        )
    told = [f'Request {request_id}:']
    first = _when(steps[0])
    rows = [(_when(step), step['writer'], _step(step)) for step in steps]
    rows += [(_when(line), line['writer'], _event(line)) for line in around]
    rows.sort(key=lambda row: row[0])
    for when, writer, sentence in rows:
        told.append(f'{when - first:+7d} ms  {writer}: {sentence}')
    return '\n'.join(told)


def _event(line):
    known = {key: line.get(key, '?') for key in ('kind', 'why', 'target')}
    known['budget'] = line.get('budget', '?')
    return '(before) ' + _AROUND[line['event']].format(**known)


def _step(line):
    event = line['event']
    if event == 'attempt.failed':
        rests = ', and the target rests' if line.get('rests') else ''
        outcome = _RUNS.get(line.get('outcome'), 'how it ended is not known')
        return (
            f"sent to {line.get('target')}; after {line.get('ms')} ms:"
            f" {line.get('why')}; {outcome}{rests}"
        )
    if event == 'answered':
        return _answered(line)
    if event == 'refused':
        return _refused(line)
    if event == 'caller.gone':
        return (
            f"its caller left after {line.get('ms')} ms;"
            f" {line.get('charged')} tokens charged"
        )
    return event


def _answered(line):
    words = [f"answered {line.get('status')} after {line.get('ms')} ms"]
    if line.get('targets'):
        words.append(f"by {line['targets'][-1]}")
    if line.get('events'):
        words.append(
            f"in {line['events']} events, the first after"
            f" {line.get('first_ms')} ms, the longest pause"
            f" {line.get('gap_ms')} ms"
        )
    words.append(f"{line.get('charged')} tokens charged")
    return ', '.join(words)


def _refused(line):
    reason = line.get('reason')
    why = _REASONS.get(reason, reason or 'the target answered so')
    words = [f"answered {line.get('status')} after {line.get('ms')} ms: {why}"]
    if line.get('detail'):
        words.append(f"({line['detail']})")
    if line.get('retry_after_ms'):
        words.append(f"told to come back in {line['retry_after_ms']} ms")
    return ' '.join(words)
