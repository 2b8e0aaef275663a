"""The cases, by what they are about. Each table is plain data."""

from pearhill.conformance.case import Case
from pearhill.conformance.suite import answers, bodies, completions, responses, servers, streams

CASES: tuple[Case, ...] = (
    *bodies.CASES,
    *answers.CASES,
    *streams.CASES,
    *servers.CASES,
    *completions.CASES,
    *responses.CASES,
)
assert len({case.name for case in CASES}) == len(CASES), "two cases have the same name"
