"""Errors of the conformance suite."""


class ConformanceRunError(Exception):
    """The suite cannot be run: the URL is none, no front listens there or starts, or no case has the given name."""
