"""The events of streams as callers of the edge fleet read them.

Example::

    event = Event(b'id: 3\\ndata: c1-7 v2 5 6')
    event.number, event.key, event.first, event.last    # 3, 'c1-7', 5, 6
"""

import re

_EVENT = re.compile(
    rb'(?:x-weight-versions: (?P<weights>\d+)\n)?'
    rb'id: (?P<number>\d+)\n'
    rb'data: (?P<key>\S+) (?P<version>\S+) (?P<first>\d+) (?P<last>\d+)'
)


class Event:
    """An event of a stream, as its text says; all 0 or empty if it can't.

    It holds the tokens `first` to `last`, and `number` is its id.  `weights`
    is the version that the weights have from there on, None if it stays.
    """

    __slots__ = ('number', 'key', 'version', 'first', 'last', 'weights')

    def __init__(self, raw):
        self.number = 0
        self.key = ''
        self.version = ''
        self.first = 0
        self.last = 0
        self.weights = None
        match = _EVENT.fullmatch(raw)
        if match and int(match['first']) <= int(match['last']):
            self._take(match)

    def _take(self, match):
        self.number = int(match['number'])
        self.key = match['key'].decode()
        self.version = match['version'].decode()
        self.first = int(match['first'])
        self.last = int(match['last'])
        if match['weights']:
            self.weights = int(match['weights'])

    @property
    def tokens(self):
        """Return the number of tokens that it holds."""
        return self.last - self.first + 1 if self.first else 0


def take_events(attempt):
    """Take the complete events from the start of the body.

    A block of comments is no event.
    """
    *blocks, attempt.body = attempt.body.split(b'\n\n')
    for block in blocks:
        if _is_comment(block):
            attempt.comments += 1
        else:
            attempt.events.append(Event(block))


def _is_comment(block):
    return all(line.startswith(b':') for line in block.split(b'\n'))
