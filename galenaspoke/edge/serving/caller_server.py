"""Serves callers: accepted connections, and the requests on each in turn.

Example::

    callers = CallerServer(get_limits, request_handler.handle, clock, metrics)
    listening.serve(host, port, callers.serve)
    callers.close_idle()    # (12, 3): closed, and busy still
"""

from galenaspoke.edge.serving import caller_connections
from galenaspoke.http import messages

# When callers may come back to a process that holds too much for them.
MEMORY_RETRY_AFTER_S = 1


class CallerServer:
    """Keeps the CallerConnections that are open, and serves their requests.

    `get_limits` returns the Limits in force, and `handle(req, caller)` answers
    a request whose head is complete.
    """

    __slots__ = (
        'connections',
        '_get_limits',
        '_handle',
        '_clock',
        '_metrics',
    )

    def __init__(self, get_limits, handle, clock, metrics):
        # The open CallerConnections.
        self.connections = set()
        self._get_limits = get_limits
        self._handle = handle
        self._clock = clock
        self._metrics = metrics

    def serve(self, sock, _):
        """Serve an accepted connection until it ends."""
        caller = caller_connections.CallerConnection(
            sock, self._clock, self._get_limits
        )
        self.connections.add(caller)
        try:
            self._serve_requests(caller)
        except (
            caller_connections.CallerDisconnected,
            caller_connections.OutOfMemory,
        ):
            pass
        finally:
            self.connections.discard(caller)
            caller.close()

    def _serve_requests(self, caller):
        while caller.keep_alive:
            try:
                req = caller.begin_request()
            except messages.BadRequest as exc:
                self._refuse(caller, exc.status, [], str(exc))
                return
            except caller_connections.OutOfMemory as exc:
                if not caller.is_idle():
                    pause = b'%d' % MEMORY_RETRY_AFTER_S
                    headers = [(b'Retry-After', pause)]
                    self._refuse(caller, 503, headers, str(exc))
                return
            if req is None:
                return
            self._handle(req, caller)
        if caller.has_unread_request():
            caller.linger()

    def _refuse(self, caller, status, headers, detail):
        """Answer a request that has not been read whole, and read no more."""
        self._metrics.count(f'answers.{status}')
        caller.keep_alive = False
        caller.send_response(status, headers, detail.encode())
        caller.linger()

    def close_idle(self):
        """Close the idle connections; return how many, and how many are busy.

        See `CallerConnection.close_if_idle`.
        """
        callers = list(self.connections)
        closed = sum(caller.close_if_idle() for caller in callers)
        return closed, len(callers) - closed
