"""Cases of streams: forwarded byte for byte, split into reads at any byte, truncated, and malformed."""

from __future__ import annotations

from typing import Any

from pearhill.conformance.case import (
    CHAT_PATH,
    COMPLETIONS_PATH,
    NON_IDEMPOTENT_MODEL,
    RESPONSES_PATH,
    Case,
    ExpectedRequests,
    ExpectedResponse,
)
from pearhill.conformance.payloads import (
    ANSWER_EVENTS,
    CHAT_CHUNKS,
    DONE_EVENT,
    SUCCESS_SCRIPTS,
    USAGE_CHUNK,
    chat_chunk,
    chat_request,
    error_body,
    sse_event,
)
from pearhill.conformance.scripts import (
    LAST_CHUNK,
    RESET,
    WAIT_FOR_CLIENT,
    WAIT_FOR_RESUME,
    Script,
    Step,
    event_stream,
    http_chunk,
    response_head,
    send_bytes,
)

STREAM_REQUEST = chat_request(stream=True)
USAGE_REQUEST = chat_request(stream=True, stream_options={"include_usage": True})
NON_IDEMPOTENT_REQUEST = chat_request(model=NON_IDEMPOTENT_MODEL, stream=True)
EVENTS_WITHOUT_USAGE = (*map(sse_event, CHAT_CHUNKS), DONE_EVENT)
STREAM_HEADERS = {"Content-Type": "text/event-stream; charset=utf-8", "Cache-Control": "no-cache"}
FIRST_EVENT = sse_event(CHAT_CHUNKS[0])
STREAM_BROKEN_BODY = error_body("stream_broken", error_type="server_error")
UTF8_EVENTS = (sse_event(chat_chunk(content="é⵿👋é")), sse_event(chat_chunk("stop")), DONE_EVENT)


def script_cut_every(size: int, events: tuple[bytes, ...]) -> Script:
    """Returns a stream in chunks of `size` bytes, whose boundaries fall within events, lines and characters."""
    stream = b"".join(events)
    chunks = (http_chunk(stream[at : at + size]) for at in range(0, len(stream), size))
    return (response_head(), *chunks, LAST_CHUNK)


def with_line_ends(events: tuple[bytes, ...], end: bytes) -> tuple[bytes, ...]:
    """Returns the events with other line endings. The HTML standard permits CR LF, LF and CR (section 9.2.5)."""
    return tuple(event.replace(b"\n", end) for event in events)


def disconnect_case(name: str, guards_against: str, body: dict[str, Any], path: str = CHAT_PATH) -> Case:
    """Returns a case of a client that disconnects after the first event, while the replica is still streaming.

    The request must run exactly once.
    """
    return Case(
        f"streams/{name}",
        guards_against,
        body,
        ExpectedResponse(),
        (
            (
                response_head(),
                http_chunk(FIRST_EVENT),
                WAIT_FOR_RESUME,
                *map(http_chunk, ANSWER_EVENTS[1:]),
                LAST_CHUNK,
            ),
        ),
        ExpectedRequests(),
        client_disconnects=True,
        path=path,
    )


def truncated_cases(name: str, guards_against: str, *steps: Step) -> tuple[Case, Case]:
    """Returns two cases of one fault in a stream: before the first event and after it.

    The request is non-idempotent and must not be sent twice.
    """
    return (
        Case(
            f"broken/{name}-at-once",
            guards_against,
            NON_IDEMPOTENT_REQUEST,
            ExpectedResponse(
                500,
                error_body("request_failed", error_type="server_error"),
                headers={"X-Should-Retry": "false"},
                connection_usable=True,
            ),
            ((response_head(), *steps),),
            ExpectedRequests(),
        ),
        Case(
            f"broken/{name}-later",
            guards_against,
            NON_IDEMPOTENT_REQUEST,
            ExpectedResponse(truncated=True, headers=STREAM_HEADERS, events=(CHAT_CHUNKS[0], STREAM_BROKEN_BODY)),
            ((response_head(), http_chunk(FIRST_EVENT), WAIT_FOR_CLIENT, *steps),),
            ExpectedRequests(),
        ),
    )


BAD_EVENTS: tuple[tuple[str, bytes], ...] = (
    ("no-json", b"data: {broken\n\n"),
    ("number", b"data: 7\n\n"),
    ("no-choices", sse_event({"id": "x"})),
    ("error-event", sse_event({"error": {"message": "no"}})),
    ("error-beside-choices", sse_event({**CHAT_CHUNKS[0], "error": "x"})),
    ("no-delta", sse_event({"choices": [{"index": 0}]})),
    ("bad-utf-8", b"data: \xff\n\n"),
    ("bad-utf-8-inside", b'data: {"choices": [{"index": 0, "delta": {"x": "\xff"}}]}\n\n'),
    ("nan", b'data: {"choices": [{"index": 0, "delta": {"x": NaN}}]}\n\n'),
    ("content-number", sse_event({"choices": [{"index": 0, "delta": {"content": 5}}]})),
    ("choice-index-negative", sse_event(chat_chunk(index=-1, content="a"))),
    ("choice-index-huge", sse_event(chat_chunk(index=10**9, content="a"))),
    ("call-index-negative", sse_event(chat_chunk(tool_calls=[{"index": -1, "function": {}}]))),
    ("call-index-huge", sse_event(chat_chunk(tool_calls=[{"index": 10**12, "function": {}}]))),
    ("call-index-missing", sse_event(chat_chunk(tool_calls=[{"function": {}}]))),
    ("call-arguments-object", sse_event(chat_chunk(tool_calls=[{"index": 0, "function": {"arguments": {}}}]))),
    ("logprobs-odd", sse_event(chat_chunk(content="a", logprobs={"content": [{"token": 1}]}))),
    ("usage-negative", sse_event({**USAGE_CHUNK, "usage": {"prompt_tokens": -1}})),
    ("deep", b"data: " + b"[" * 50_000 + b"\n\n"),
)
CASES: tuple[Case, ...] = (
    Case(
        "streams/unchanged",
        "events that are not what the server sent",
        STREAM_REQUEST,
        ExpectedResponse(
            headers=STREAM_HEADERS, body=b"".join(EVENTS_WITHOUT_USAGE), connection_usable=True, text="one two"
        ),
        SUCCESS_SCRIPTS,
        ExpectedRequests(),
    ),
    Case(
        "streams/usage",
        "the usage event, where it is asked for",
        USAGE_REQUEST,
        ExpectedResponse(body=b"".join(ANSWER_EVENTS)),
        SUCCESS_SCRIPTS,
        ExpectedRequests(),
    ),
    Case(
        "streams/usage-null",
        "usage: null on each chunk, as some servers send it",
        STREAM_REQUEST,
        ExpectedResponse(text="one two"),
        (event_stream(*(sse_event({**chunk, "usage": None}) for chunk in CHAT_CHUNKS), DONE_EVENT),),
        ExpectedRequests(),
    ),
    Case(
        "streams/spaces",
        "events written with spaces, which must stay",
        STREAM_REQUEST,
        ExpectedResponse(body=b'data:  {"choices": [ {"delta" : {} } ]}  \n\ndata: [DONE]\n\n'),
        (event_stream(b'data:  {"choices": [ {"delta" : {} } ]}  \n\n', DONE_EVENT),),
        ExpectedRequests(),
    ),
    Case(
        "streams/no-space",
        "data: without a space behind its colon",
        STREAM_REQUEST,
        ExpectedResponse(text="one two"),
        (event_stream(*(event.replace(b"data: ", b"data:") for event in ANSWER_EVENTS)),),
        ExpectedRequests(),
    ),
    Case(
        "streams/comments",
        "comments of the server's, which are no progress",
        STREAM_REQUEST,
        ExpectedResponse(body=b"".join(EVENTS_WITHOUT_USAGE)),
        (event_stream(b": hello\n\n", *ANSWER_EVENTS[:1], b":\n\n", *ANSWER_EVENTS[1:]),),
        ExpectedRequests(),
    ),
    Case(
        "streams/other-fields",
        "id, event and retry fields beside the data",
        STREAM_REQUEST,
        ExpectedResponse(text="one two"),
        (event_stream(*(b"id: 1\nevent: message\nretry: 5\n" + event for event in ANSWER_EVENTS)),),
        ExpectedRequests(),
    ),
    Case(
        "streams/two-data-lines",
        "an event in two data lines",
        STREAM_REQUEST,
        ExpectedResponse(body=b'data: {"choices":\ndata: [{"delta":{}}]}\n\ndata: [DONE]\n\n'),
        (event_stream(b'data: {"choices":\ndata: [{"delta":{}}]}\n\n', DONE_EVENT),),
        ExpectedRequests(),
    ),
    Case(
        "streams/cr-lf",
        "lines that end in CR LF",
        STREAM_REQUEST,
        ExpectedResponse(text="one two"),
        (event_stream(*with_line_ends(ANSWER_EVENTS, b"\r\n")),),
        ExpectedRequests(),
    ),
    Case(
        "streams/cr",
        "lines that end in CR",
        STREAM_REQUEST,
        ExpectedResponse(text="one two"),
        ((*event_stream(*with_line_ends(ANSWER_EVENTS, b"\r"), b"\n", last=False), LAST_CHUNK),),
        ExpectedRequests(),
    ),
    Case(
        "streams/bom",
        "a byte order mark before the first event",
        STREAM_REQUEST,
        ExpectedResponse(text="one two"),
        (event_stream(b"\xef\xbb\xbf" + ANSWER_EVENTS[0], *ANSWER_EVENTS[1:]),),
        ExpectedRequests(),
    ),
    *(
        Case(
            f"streams/cut-every-{size}",
            "events, lines and characters cut anywhere",
            STREAM_REQUEST,
            ExpectedResponse(text="é⵿👋é"),
            (script_cut_every(size, UTF8_EVENTS),),
            ExpectedRequests(),
        )
        for size in (1, 2, 3, 5, 7)
    ),
    Case(
        "streams/cut-cr-lf",
        "a CR at the end of one read and its LF in the next",
        STREAM_REQUEST,
        ExpectedResponse(text="one two"),
        (script_cut_every(1, with_line_ends(ANSWER_EVENTS, b"\r\n")),),
        ExpectedRequests(),
    ),
    Case(
        "streams/all-in-one",
        "all events in one piece",
        STREAM_REQUEST,
        ExpectedResponse(body=b"".join(EVENTS_WITHOUT_USAGE)),
        ((response_head(), http_chunk(b"".join(ANSWER_EVENTS)), LAST_CHUNK),),
        ExpectedRequests(),
    ),
    Case(
        "streams/no-last-chunk",
        "an answer that is whole with [DONE], whatever its connection does",
        STREAM_REQUEST,
        ExpectedResponse(text="one two"),
        ((response_head(), *map(http_chunk, ANSWER_EVENTS), WAIT_FOR_RESUME),),
        ExpectedRequests(),
    ),
    Case(
        "streams/reset-after-done",
        "a reset behind the end",
        STREAM_REQUEST,
        ExpectedResponse(text="one two"),
        ((response_head(), *map(http_chunk, ANSWER_EVENTS), RESET),),
        ExpectedRequests(),
    ),
    Case(
        "streams/done-doubled",
        "a second [DONE], which nobody may see",
        STREAM_REQUEST,
        ExpectedResponse(body=b"".join(EVENTS_WITHOUT_USAGE)),
        (event_stream(*ANSWER_EVENTS, DONE_EVENT),),
        ExpectedRequests(),
    ),
    Case(
        "streams/after-done",
        "events behind the end",
        STREAM_REQUEST,
        ExpectedResponse(body=b"".join(EVENTS_WITHOUT_USAGE)),
        (event_stream(*ANSWER_EVENTS, sse_event(CHAT_CHUNKS[0])),),
        ExpectedRequests(),
    ),
    Case(
        "streams/large-event",
        "an event of 200 KB, which is still one",
        STREAM_REQUEST,
        ExpectedResponse(text="x" * 200_000),
        (event_stream(sse_event(chat_chunk(content="x" * 200_000)), sse_event(chat_chunk("stop")), DONE_EVENT),),
        ExpectedRequests(),
    ),
    Case(
        "streams/upper-case-type",
        "a content type in capitals",
        STREAM_REQUEST,
        ExpectedResponse(text="one two"),
        (
            (
                response_head(Content_Type="Text/Event-Stream; charset=UTF-8"),
                *map(http_chunk, ANSWER_EVENTS),
                LAST_CHUNK,
            ),
        ),
        ExpectedRequests(),
    ),
    disconnect_case("leaves", "a client that goes in mid-stream: one run, seen through", NON_IDEMPOTENT_REQUEST),
    disconnect_case(
        "leaves-text",
        "the same at the older endpoint",
        {"model": NON_IDEMPOTENT_MODEL, "prompt": "Hi", "stream": True},
        COMPLETIONS_PATH,
    ),
    disconnect_case(
        "leaves-responses",
        "the same at the newer endpoint",
        {"model": NON_IDEMPOTENT_MODEL, "input": "Hi", "stream": True},
        RESPONSES_PATH,
    ),
    *truncated_cases("done-early", "a [DONE] before any answer, or an end without it", LAST_CHUNK),
    *truncated_cases("eof", "a connection that ends in mid-stream", send_bytes(b"")),
    *truncated_cases("reset", "a reset in mid-stream", RESET),
    *truncated_cases("half-event", "an end in the middle of an event", http_chunk(FIRST_EVENT[:20]), LAST_CHUNK),
    *truncated_cases("half-chunk", "an end in the middle of a chunk", send_bytes(b"40\r\ndata: ")),
    *truncated_cases("event-of-10-MB", "an event without an end", *(http_chunk(b"x" * 200_000),) * 50),
    *truncated_cases(
        "chunk-of-10-MB", "a chunk without an end", send_bytes(b"a00000\r\n"), *(send_bytes(b"x" * 100_000),) * 100
    ),
    *truncated_cases("bad-chunk-size", "a chunk whose size is no number", send_bytes(b"zz\r\n")),
    *(
        case
        for name, bad in BAD_EVENTS
        for case in truncated_cases(
            f"event-{name}", f"an event that makes no sense: {name}", http_chunk(bad), LAST_CHUNK
        )
    ),
    Case(
        "broken/done-alone",
        "an end without an answer",
        NON_IDEMPOTENT_REQUEST,
        ExpectedResponse(500, error_body("request_failed")),
        (event_stream(DONE_EVENT),),
        ExpectedRequests(),
    ),
    Case(
        "broken/whole-answer",
        "a whole answer made of half a stream",
        chat_request(model=NON_IDEMPOTENT_MODEL),
        ExpectedResponse(502, STREAM_BROKEN_BODY, headers={"X-Should-Retry": "false"}, connection_usable=True),
        (event_stream(FIRST_EVENT),),
        ExpectedRequests(),
    ),
    Case(
        "broken/silent",
        "a server that falls silent in mid-stream",
        NON_IDEMPOTENT_REQUEST,
        ExpectedResponse(truncated=True, events=(CHAT_CHUNKS[0], STREAM_BROKEN_BODY)),
        ((response_head(), http_chunk(FIRST_EVENT), WAIT_FOR_RESUME),),
        ExpectedRequests(),
    ),
    Case(
        "broken/comments-only",
        "a server that sends comments and nothing else",
        NON_IDEMPOTENT_REQUEST,
        ExpectedResponse(truncated=True, events=(CHAT_CHUNKS[0], STREAM_BROKEN_BODY)),
        ((response_head(), http_chunk(FIRST_EVENT), *(http_chunk(b": still here\n\n"),) * 40, WAIT_FOR_RESUME),),
        ExpectedRequests(),
    ),
)
