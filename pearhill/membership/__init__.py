"""Membership and loads of a fleet of dispatchers, exchanged by gossip or through aggregators.

The modules are state machines without I/O; callers pass in the clock and the random generator. Dispatchers of the
platform must not gossip or report to one another, so the platform's program does not import this package.
"""
