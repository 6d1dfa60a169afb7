"""HTTP/1.1 on plain sockets, for the data path and the calls it needs."""
