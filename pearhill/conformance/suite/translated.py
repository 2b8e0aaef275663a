"""Builds cases of the endpoints whose requests are translated into chat requests for the replica."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from pearhill.conformance.case import Case, ExpectedRequests, ExpectedResponse
from pearhill.conformance.payloads import SUCCESS_SCRIPTS, error_body
from pearhill.conformance.scripts import Script


@dataclass(frozen=True, slots=True)
class TranslatedEndpoint:
    """Builds the cases of one endpoint. `group` is the first part of their names."""

    group: str
    path: str

    def rejected_case(self, name: str, body: Any, param: str, code: str) -> Case:
        """Returns a case of a request that gets status 400 and an error object of this `param` and `code`."""
        return Case(
            f"{self.group}/{name}",
            f"{param}: {code.replace('_', ' ')}",
            body,
            ExpectedResponse(400, error_body(code, param), connection_usable=True),
            path=self.path,
        )

    def answered_case(
        self,
        name: str,
        guards_against: str,
        body: Any,
        expected: ExpectedResponse,
        scripts: tuple[Script, ...] = SUCCESS_SCRIPTS,
        fields: Any = None,
        absent: tuple[str, ...] = (),
    ) -> Case:
        """Returns a case of a request that the replica answers.

        `fields` and `absent` are checked in the chat request that the replica receives.
        """
        return Case(
            f"{self.group}/{name}",
            guards_against,
            body,
            expected,
            scripts,
            ExpectedRequests(fields=fields, absent=absent),
            path=self.path,
        )
