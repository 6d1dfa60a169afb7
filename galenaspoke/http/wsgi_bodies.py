"""Bodies of requests that peers send to WSGI applications of ours.

Example::

    try:
        body = wsgi_bodies.read(environ)
    except wsgi_bodies.TooLong:
        return wsgi_bodies.refuse(start_response)
"""

from galenaspoke.http import buffers
from galenaspoke.http import messages

PIECE_BYTES = 65_536
# What peers write is far smaller.
MAX_BODY_BYTES = messages.MAX_BODY_BYTES


class TooLong(Exception):
    """A body is too long, or the process holds too much already."""


def read(environ, max_bytes=MAX_BODY_BYTES):
    """Return the whole body; raise TooLong if it can't be held.

    What arrives counts in the account of the process.
    """
    length = environ.get('CONTENT_LENGTH') or '0'
    if length.isdecimal() and int(length) > max_bytes:
        raise TooLong(f'a body of {length} bytes')
    body = bytearray()
    # A share is cut while its greenlet waits for more, perhaps for ever.
    share = buffers.process_account.open(
        environ.get('REMOTE_ADDR', ''), body.clear
    )
    try:
        while piece := environ['wsgi.input'].read(PIECE_BYTES):
            if share.is_cut:
                raise TooLong('the process holds too much')
            body += piece
            if len(body) > max_bytes:
                raise TooLong(f'more than {max_bytes} bytes')
            share.resize(len(body))
        if share.is_cut:
            raise TooLong('the process holds too much')
    finally:
        share.close()
    return bytes(body)


def refuse(start_response):
    """Answer a request whose body is too long, and read no more of it."""
    start_response(
        '413 Content Too Large',
        [('Content-Length', '0'), ('Connection', 'close')],
    )
    return [b'']
