"""The listening socket for callers, from the start to a shutdown.

Example::

    server = serve('10.1.0.40', 8227, handle_connection)
    finish_accepting(server)
"""

import gevent
from gevent import server as gevent_server
from gevent import socket

BACKLOG = 1024
# What the kernel may hold for each caller in each direction; Linux doubles it.
# Far more than is under way to a caller, 40 KB at 100 Mbit/s and 3 ms.
SOCKET_BUFFER_BYTES = 131_072


def serve(host, port, handle):
    """Listen and call `handle(sock, address)` for each connection.

    Returns the running server.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Each connection inherits them.
    for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
        listener.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
    listener.bind((host, port))
    listener.listen(BACKLOG)
    server = gevent_server.StreamServer(listener, handle)
    server.start()
    return server


def finish_accepting(server):
    """Stop listening, but accept the connections that were made before.

    The requests on these have been sent, perhaps, and nobody else would ever
    answer them.  When this returns, all of them have been handed to their
    handlers.  `server` is a StreamServer or a WSGIServer.
    """
    server.stop_accepting()
    while True:
        accepted = server.do_read()
        if accepted is None:
            break
        server.do_handle(*accepted)
    server.close()
    gevent.sleep(0)
