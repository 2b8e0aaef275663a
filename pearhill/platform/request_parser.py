"""Parses the platform's request headers and body into the `RequestSpec` that the core uses."""

from __future__ import annotations

import hashlib
import re
from collections.abc import Mapping, Sequence

from pearhill.core.request import RequestSpec
from pearhill.http1.messages import RequestMessage
from pearhill.platform.body_check import NoJsonObjectError, check_json_object

NETWORK_ALLOWANCE_US = 10_000  # subtracted from the client's timeout, for the network transfer in both directions
MAX_TIMEOUT_US = 600_000_000
MAX_HEX_KEY_DIGITS = 16  # of an affinity key that is a 64-bit number in hexadecimal
KEY_BYTES = 8
BYTES_PER_TOKEN = 4  # estimates the length of a prompt if the client does not state it
REQUIRED_HEADERS = ("Request-Id", "Request-Class", "Request-Timeout-Ms")
_REQUEST_ID = re.compile(r"[\x21-\x7e]{1,128}")


class BadRequestError(Exception):
    """Raised for an invalid request. The text is sent to the client."""


def affinity_key(text: str) -> int:
    """Hash the key of a conversation or prompt prefix to a number, the same at every dispatcher.

    Returns 0 if the key is empty. A short hexadecimal key is used as the number that it states.
    """
    if not text:
        return 0
    if len(text) <= MAX_HEX_KEY_DIGITS and re.fullmatch(r"[0-9a-fA-F]+", text):
        return int(text, 16)
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=KEY_BYTES).digest())


class RequestParser:
    """Parses requests. The names of classes and tenants are those in the settings."""

    def __init__(self, class_names: Sequence[str], tenant_names: Sequence[str]) -> None:
        self._classes = {name: k for k, name in enumerate(class_names)}
        self._tenants = {name: k for k, name in enumerate(tenant_names)}

    def parse(self, message: RequestMessage) -> RequestSpec:
        """Return the specification of a request. Raises BadRequestError for the first fault found."""
        headers = message.headers
        request_id = _parse_request_id(headers)
        request_class = self._classes.get(headers["request-class"])
        if request_class is None:
            raise BadRequestError("Request-Class is unknown")
        timeout = _parse_timeout(headers)
        _check_body(message.body)
        info = _parse_request_info(headers.get("request-info", ""))
        prompt = _parse_number("prompt_len", info.get("prompt_len", str(len(message.body) // BYTES_PER_TOKEN)))
        max_out = _parse_number("max_out", info.get("max_out", "0"))
        client_retry = headers.get("client-retry")
        return RequestSpec(
            request_class,
            max(1, timeout - NETWORK_ALLOWANCE_US),
            prompt,
            max_out,
            session=affinity_key(headers.get("affinity-key", "")),
            prefix=affinity_key(info.get("prefix", "")),
            prefix_tokens=_parse_number("prefix_len", info.get("prefix_len", "0")),
            tenant=self._tenants.get(headers.get("tenant", ""), 0),
            is_retry=client_retry == "1",
            resumed=client_retry == "again",
            id=request_id,
        )


def _parse_request_id(headers: Mapping[str, str]) -> str:
    """Return the request's id. Raises BadRequestError if the id is malformed or a required header is missing."""
    for name in REQUIRED_HEADERS:
        if not headers.get(name.lower()):
            raise BadRequestError(f"{name} is missing")
    request_id = headers["request-id"]
    if not _REQUEST_ID.fullmatch(request_id):
        raise BadRequestError("Request-Id is malformed")
    return request_id


def _parse_timeout(headers: Mapping[str, str]) -> int:
    """Return the client's timeout in microseconds."""
    timeout = _parse_number("Request-Timeout-Ms", headers["request-timeout-ms"]) * 1000
    if not 0 < timeout <= MAX_TIMEOUT_US:
        raise BadRequestError("Request-Timeout-Ms is out of range")
    return timeout


def _check_body(data: bytes) -> None:
    try:
        check_json_object(data)
    except NoJsonObjectError as error:
        raise BadRequestError(str(error)) from None


def _parse_request_info(text: str) -> dict[str, str]:
    """Parse Request-Info: pairs `name=value`, separated by commas. Empty parts are ignored."""
    info: dict[str, str] = {}
    for part in text.split(","):
        stripped = part.strip()
        if not stripped:
            continue
        name, equals, value = stripped.partition("=")
        if not equals:
            raise BadRequestError("Request-Info is malformed")
        info[name.strip()] = value.strip()
    return info


def _parse_number(name: str, text: str) -> int:
    if not re.fullmatch(r"[0-9]{1,10}", text):
        raise BadRequestError(f"{name} must be a whole number")
    return int(text)
