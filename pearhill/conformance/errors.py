"""Errors of the conformance suite."""


class ConformanceRunError(Exception):
    """The suite cannot be run.

    The URL is invalid, no front end listens there, the daemon does not start, or no case has the given name.
    """
