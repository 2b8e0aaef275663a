"""Socket I/O. No other package reads or writes sockets."""
