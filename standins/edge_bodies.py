"""The bodies of responses of the edge fleet's engines, and their stamps.

A body is made of the request's key, the engine's software version and the
numbers of what it holds: the tokens of an event, or the number of a line.  So
a checker can tell from a body alone which request it belongs to, at which
version it was made and what of it is missing, whatever the ids of events are.

Example::

    # b'id: 3\\ndata: c1-7 v2 5 6\\n\\n'
    make_event('c1-7', 'v2', number=3, first=5, last=6)
"""

END_LINE = b'end\n'


def make_event(key, version, number, first, last, weights=None):
    """Return an event of a stream that holds the tokens `first` to `last`.

    `weights` is the version that the weights have from this event on, None if
    it stays.
    """
    change = b'' if weights is None else b'x-weight-versions: %d\n' % weights
    data = f'{key} {version} {first} {last}'.encode()
    return b'%sid: %d\ndata: %s\n\n' % (change, number, data)


def make_line(key, version, number):
    """Return a line of a body that is no stream."""
    return f'{key} {version} {number}\n'.encode()


def make_body(key, version, count):
    """Return a whole body that is no stream."""
    lines = [make_line(key, version, n) for n in range(1, count + 1)]
    return b''.join([*lines, END_LINE])


def make_stamp(instance, born, request_id):
    """Return what an engine signs a response with."""
    return f'{instance}.{born}.{request_id}'
