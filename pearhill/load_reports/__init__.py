"""Load spread evenly by many dispatchers of which each sees a small part of it.

What replicas report, which of them to query and whether that pays, and what the other dispatchers have in flight. Free
of I/O; the clock is passed in, in microseconds.
"""
