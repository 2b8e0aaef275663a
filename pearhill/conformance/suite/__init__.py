"""All cases, with one module for each subject. The cases run in the order of `CASES`."""

from pearhill.conformance.case import Case
from pearhill.conformance.suite import answers, bodies, completions, replicas, responses, streams

CASES: tuple[Case, ...] = (
    *bodies.CASES,
    *answers.CASES,
    *streams.CASES,
    *replicas.CASES,
    *completions.CASES,
    *responses.CASES,
)
assert len({case.name for case in CASES}) == len(CASES), "two cases have the same name"
