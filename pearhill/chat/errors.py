"""Errors as clients of the chat API receive them: `{"error": {message, type, param, code}}`.

The form and the values of `type` are those of OpenAI's API reference, "Error codes".
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

import msgspec

from pearhill.http1.messages import Headers

JSON: Headers = (("Content-Type", "application/json"),)


class ErrorType(StrEnum):
    """The values of an error object's `type`."""

    INVALID_REQUEST = "invalid_request_error"
    AUTHENTICATION = "authentication_error"
    PERMISSION = "permission_error"
    RATE_LIMIT = "rate_limit_error"
    INSUFFICIENT_QUOTA = "insufficient_quota"
    SERVER = "server_error"


class ErrorBody(msgspec.Struct, frozen=True):
    """The error itself. `param` is a path into the request's body, such as `messages[1].content[0].type`."""

    message: str
    type: str
    param: str | None
    code: str | None


class ErrorObject(msgspec.Struct, frozen=True):
    """The body of a response that reports an error."""

    error: ErrorBody


@dataclass
class ApiError(Exception):
    """An error response: the request is rejected, or its answer failed.

    `status` is the HTTP status. `code` is the field by which clients distinguish errors. `headers` are added to the
    usual headers of the response.
    """

    status: int
    message: str
    code: str
    param: str | None = None
    type: ErrorType = ErrorType.INVALID_REQUEST
    headers: Headers = ()

    def as_object(self) -> ErrorObject:
        """Returns the error object."""
        return ErrorObject(ErrorBody(self.message, self.type.value, self.param, self.code))

    def body(self) -> bytes:
        """Returns the error object as JSON."""
        return msgspec.json.encode(self.as_object())


@dataclass(frozen=True, slots=True)
class ReplicaErrorResponse:
    """A replica's error about the request itself, which is forwarded to the client. `body` is JSON."""

    status: int
    body: bytes


def retry_headers(micros: int) -> Headers:
    """Returns the headers that ask for a retry after `micros` microseconds, or no headers if it is 0.

    `Retry-After` is in seconds with decimals (RFC 9110 has only whole seconds). `Retry-After-Ms` is in milliseconds, as
    OpenAI's clients read it.
    """
    if micros <= 0:
        return ()
    return (("Retry-After", f"{micros / 1e6:.3f}"), ("Retry-After-Ms", str(micros // 1000)))


def invalid_request(message: str, param: str | None = None, code: str = "invalid_value", status: int = 400) -> ApiError:
    """Returns an error that the client's request itself has caused. `param` is the path of the field at fault."""
    return ApiError(status, message, code, param)
