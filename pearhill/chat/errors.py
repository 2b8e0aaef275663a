"""What went wrong, in the form that chat clients read: `{"error": {message, type, param, code}}`."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from pearhill.http1.messages import Headers

JSON: Headers = (("Content-Type", "application/json"),)
INVALID, AUTHENTICATION, PERMISSION, RATE, SERVER = (
    "invalid_request_error",
    "authentication_error",
    "permission_error",
    "rate_limit_error",
    "server_error",
)


class ErrorBody(msgspec.Struct, frozen=True):
    """`param` is a path into the request's body, such as `messages[1].content[0].type`."""

    message: str
    type: str
    param: str | None
    code: str | None


class ErrorObject(msgspec.Struct, frozen=True):
    error: ErrorBody


@dataclass
class ApiError(Exception):
    """A request that is turned away, or an answer that failed, with its status."""

    status: int
    message: str
    code: str
    param: str | None = None
    type: str = INVALID
    headers: Headers = ()

    def object(self) -> ErrorObject:
        return ErrorObject(ErrorBody(self.message, self.type, self.param, self.code))

    def body(self) -> bytes:
        return msgspec.json.encode(self.object())


@dataclass(frozen=True, slots=True)
class ReplicaErrorResponse:
    """A server's own words about the request itself, which are the client's answer."""

    status: int
    body: bytes


def retry_headers(micros: int) -> Headers:
    """When to come back, for clients that read seconds and for those that read the finer header."""
    return (("Retry-After", f"{micros / 1e6:.3f}"), ("Retry-After-Ms", str(micros // 1000))) if micros > 0 else ()


def invalid(message: str, param: str | None = None, code: str = "invalid_value", status: int = 400) -> ApiError:
    return ApiError(status, message, code, param)
