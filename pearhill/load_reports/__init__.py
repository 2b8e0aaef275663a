"""Load estimates with which many dispatchers, each of which sees a small part of the load, spread it evenly.

The package stores what replicas report and what the other dispatchers have in flight, and decides which replicas to
query and whether a query pays. It does no I/O. The clock is passed in, in microseconds.
"""
