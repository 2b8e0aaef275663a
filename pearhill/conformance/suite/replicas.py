"""Cases of replicas that send errors or invalid responses, and of requests repeated with an idempotency key."""

from __future__ import annotations

from typing import Any

from pearhill.conformance.case import (
    CHAT_PATH,
    COMPLETIONS_PATH,
    IDEMPOTENT_MODEL,
    NON_IDEMPOTENT_MODEL,
    Case,
    ExpectedRequests,
    ExpectedResponse,
)
from pearhill.conformance.payloads import ANSWER_EVENTS, SUCCESS_SCRIPTS, chat_request, error_body
from pearhill.conformance.scripts import (
    RESET,
    Script,
    event_stream,
    http_chunk,
    plain_response,
    response_head,
    send_bytes,
)

ERROR_BODY = {
    "error": {
        "message": "too many tokens",
        "type": "invalid_request_error",
        "param": "messages",
        "code": "context_length_exceeded",
        "x_more": 1,
    }
}
NO_RETRY_HEADERS = {"X-Should-Retry": "false"}
FAILED_BODY = error_body("request_failed", error_type="server_error")


def failed_case(name: str, guards_against: str, script: Script, headers: dict[str, str] | None = None) -> Case:
    """Returns a case of a non-idempotent request that may have been executed: it is sent once and fails with 500."""
    return Case(
        f"servers/{name}",
        guards_against,
        chat_request(model=NON_IDEMPOTENT_MODEL),
        ExpectedResponse(500, FAILED_BODY, headers=headers or {}),
        (script,),
        ExpectedRequests(),
    )


CASES: tuple[Case, ...] = (
    *(
        Case(
            f"servers/{status}-is-the-clients",
            f"a {status} tried again, or held against the server",
            chat_request(),
            ExpectedResponse(status, ERROR_BODY, headers=NO_RETRY_HEADERS, connection_usable=True),
            (plain_response(status, ERROR_BODY),),
            ExpectedRequests(),
        )
        for status in (400, 404, 413, 422)
    ),
    Case(
        "servers/400-once",
        "the same for what must run once",
        chat_request(model=NON_IDEMPOTENT_MODEL, stream=True),
        ExpectedResponse(400, ERROR_BODY, headers=NO_RETRY_HEADERS),
        (plain_response(400, ERROR_BODY),),
        ExpectedRequests(),
    ),
    Case(
        "servers/400-streamed",
        "a refusal that became a 200, because a stream was asked for",
        chat_request(stream=True),
        ExpectedResponse(400, ERROR_BODY, headers={"Content-Type": "application/json"}),
        (plain_response(400, ERROR_BODY),),
        ExpectedRequests(),
    ),
    *(
        failed_case(
            f"{status}-without-words",
            "an error page from something on the way, which proves nothing",
            plain_response(status, b"<html>"),
            NO_RETRY_HEADERS,
        )
        for status in (400, 404)
    ),
    failed_case(
        "400-followed",
        "an error that is followed by another answer",
        (send_bytes(2 * plain_response(400, ERROR_BODY)[0].data),),
    ),
    failed_case(
        "400-shorter",
        "an error of another length than told",
        (send_bytes(b"HTTP/1.1 400 No\r\nContent-Length: 500\r\n\r\n{}"), RESET),
    ),
    *(
        Case(
            f"servers/{status}-is-the-operators",
            "a wrong server key that passes for the client's fault",
            chat_request(model=model),
            ExpectedResponse(502, error_body("server_credentials", error_type="server_error"), connection_usable=True),
            (plain_response(status, ERROR_BODY),),
            ExpectedRequests(),
        )
        for status, model in ((401, IDEMPOTENT_MODEL), (403, NON_IDEMPOTENT_MODEL))
    ),
    Case(
        "servers/429-rests",
        "a server that asks for rest and is asked again",
        chat_request(model=NON_IDEMPOTENT_MODEL),
        ExpectedResponse(
            503,
            error_body("server_overloaded"),
            headers={"Retry-After": "*", "Retry-After-Ms": "*", "X-Should-Retry": "true"},
        ),
        (plain_response(429, ERROR_BODY, Retry_After_Ms="20"),),
        ExpectedRequests(),
        pause_after_s=0.1,
    ),
    Case(
        "servers/429-seconds",
        "the header in seconds",
        chat_request(model=IDEMPOTENT_MODEL),
        ExpectedResponse(503, error_body("server_overloaded")),
        (plain_response(429, ERROR_BODY, Retry_After="0.02"),),
        ExpectedRequests(),
        pause_after_s=0.1,
    ),
    Case(
        "servers/503-not-started",
        "a booking that surely never ran, told as failed",
        chat_request(model=NON_IDEMPOTENT_MODEL),
        ExpectedResponse(503, error_body("server_overloaded"), headers={"X-Should-Retry": "true"}),
        (plain_response(503, b"", Not_Started="1"),),
        ExpectedRequests(count=None),
    ),
    failed_case("503-plain", "a booking that may have run, told as refused", plain_response(503), NO_RETRY_HEADERS),
    failed_case("504-plain", "the same from a gateway", plain_response(504), NO_RETRY_HEADERS),
    failed_case("500-once", "a booking that is tried again", plain_response(500, ERROR_BODY), NO_RETRY_HEADERS),
    Case(
        "servers/json-for-a-stream",
        "an answer in one piece where a stream was asked for",
        chat_request(model=NON_IDEMPOTENT_MODEL, stream=True),
        ExpectedResponse(500, FAILED_BODY, headers=NO_RETRY_HEADERS),
        (plain_response(200, {"choices": []}),),
        ExpectedRequests(),
    ),
    failed_case(
        "html", "a page of a proxy's with status 200", plain_response(200, b"<html>", Content_Type="text/html")
    ),
    failed_case("no-http", "bytes that are no HTTP", (send_bytes(b"SSH-2.0-x\r\n"),)),
    failed_case("closes", "a server that reads the request and closes", (send_bytes(b""),)),
    failed_case("resets", "a server that reads the request and resets: it may have run", (RESET,), NO_RETRY_HEADERS),
    Case(
        "servers/early-hints",
        "an interim answer before the stream",
        chat_request(stream=True),
        ExpectedResponse(text="one two"),
        ((send_bytes(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"), *event_stream(*ANSWER_EVENTS)),),
        ExpectedRequests(),
    ),
    failed_case(
        "head-without-end",
        "a head that never ends",
        (send_bytes(b"HTTP/1.1 200 OK\r\n"), *(send_bytes(b"X-Pad: " + b"x" * 1000 + b"\r\n"),) * 60),
    ),
    Case(
        "servers/followed-by-another",
        "a second answer behind a good one, which the next request must not get",
        chat_request(stream=True),
        ExpectedResponse(text="one two"),
        (
            (
                response_head(),
                *map(http_chunk, ANSWER_EVENTS),
                send_bytes(b"0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
            ),
        ),
        ExpectedRequests(),
    ),
    Case(
        "servers/after-all-that",
        "a front that has not got over the above",
        chat_request(),
        ExpectedResponse(),
        SUCCESS_SCRIPTS,
        ExpectedRequests(),
    ),
)


def _repeated_cases(
    name: str, guards_against: str, first: Any, second: Any, path: str, expected: ExpectedResponse
) -> tuple[Case, Case]:
    """Returns two cases with the same Idempotency-Key. The second request, at `path`, must not reach the replica."""
    headers = {"Idempotency-Key": f"conform-{name}"}
    return (
        Case(
            f"repeats/{name}-first",
            guards_against,
            first,
            ExpectedResponse(),
            SUCCESS_SCRIPTS,
            ExpectedRequests(),
            headers=headers,
        ),
        Case(
            f"repeats/{name}-again",
            guards_against,
            second,
            expected,
            SUCCESS_SCRIPTS,
            ExpectedRequests(count=0),
            headers=headers,
            path=path,
        ),
    )


CASES += (
    *_repeated_cases(
        "same",
        "a booking that runs once for each repeat",
        chat_request(model=NON_IDEMPOTENT_MODEL),
        chat_request(model=NON_IDEMPOTENT_MODEL),
        CHAT_PATH,
        ExpectedResponse(json={"choices": [{"message": {"content": "one two"}}]}),
    ),
    *_repeated_cases(
        "stream",
        "a stream that cannot be had again",
        chat_request(model=NON_IDEMPOTENT_MODEL, stream=True),
        chat_request(model=NON_IDEMPOTENT_MODEL, stream=True),
        CHAT_PATH,
        ExpectedResponse(text="one two"),
    ),
    *_repeated_cases(
        "other-body",
        "a key that stands for two requests",
        chat_request(model=NON_IDEMPOTENT_MODEL),
        chat_request(model=NON_IDEMPOTENT_MODEL, n=1),
        CHAT_PATH,
        ExpectedResponse(422, error_body("idempotency_key_reused")),
    ),
    *_repeated_cases(
        "other-endpoint",
        "one key at two endpoints",
        chat_request(model=NON_IDEMPOTENT_MODEL),
        {"model": NON_IDEMPOTENT_MODEL, "prompt": "Hi"},
        COMPLETIONS_PATH,
        ExpectedResponse(422, error_body("idempotency_key_reused")),
    ),
)
