"""Calls between the system's own processes: grpclib on gevent."""
