"""Responses of the store that are passed on while they come in.

A greenlet of its own reads the response, so whoever passes it on may be held
up by its receiver without holding up the store's connection.

Example::

    transfer = Transfer(lambda on_receive: read_response(on_receive))
    response = transfer.wait()
    if not transfer.is_whole():
        for piece in transfer.pieces():
            sock.sendall(piece)
"""

import errno

import gevent
from gevent import event

from galenaspoke.http import connections

# A response that is whole this long after its head is not passed on in parts.
WHOLE_WITHIN_S = 0.1
_OK_STATUS = 200


class Transfer:
    """One response that is being read.

    `call` returns the response.  It calls its argument with it once the head
    has been read, and whenever more of the body was added.
    """

    __slots__ = ('_response', '_error', '_is_done', '_changed')

    def __init__(self, call):
        self._response = None
        self._error = None
        self._is_done = False
        self._changed = event.Event()
        gevent.spawn(self._run, call)

    def _run(self, call):
        try:
            self._response = call(self._on_receive)
        except Exception as exc:
            # Raised where the response is passed on.
            self._error = exc
        finally:
            self._is_done = True
            self._changed.set()

    def _on_receive(self, response):
        self._response = response
        self._changed.set()

    def is_whole(self):
        """Return whether all of the response has been read."""
        return self._is_done

    def wait(self):
        """Return the response; raise what `call` raised.

        A response that takes longer is returned before it is whole if it can
        be passed on in parts.
        """
        while not self._is_done and not self._may_pass_on_parts():
            self._wait_for_change()
        with gevent.Timeout(WHOLE_WITHIN_S, False):
            while not self._is_done:
                self._wait_for_change()
        if self._error is not None:
            raise self._error
        return self._response

    def pieces(self):
        """Yield the pieces of the body as they come.

        Raises ConnectionResetError if the response breaks off, upon which a
        pywsgi server closes its connection and leaves out the last chunk.
        """
        passed_on = 0
        while True:
            is_done = self._is_done
            piece = bytes(self._response.body[passed_on:])
            if piece:
                passed_on += len(piece)
                yield piece
            elif isinstance(self._error, connections.ResponseLost):
                raise ConnectionResetError(
                    errno.ECONNRESET, f'response broken off: {self._error}'
                )
            elif self._error is not None:
                raise self._error
            elif is_done:
                return
            else:
                self._wait_for_change()

    def _may_pass_on_parts(self):
        response = self._response
        return (
            response is not None
            and response.status == _OK_STATUS
            and not response.header(b'content-encoding')
        )

    def _wait_for_change(self):
        self._changed.wait()
        self._changed.clear()
