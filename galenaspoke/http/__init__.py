"""HTTP/1.1 over plain sockets.

The data path uses it, and so do calls to the store and to other routers.
"""
