"""Sockets: the only place that reads and writes them."""
