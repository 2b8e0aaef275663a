"""Usage events of a replica that make no sense: the answer fails in time, is charged by its events, and is over."""

import http.client
import json
import time

from tests.chat.test_budgets import A, BudgetCase, tenant
from tests.standins import STREAM_CHUNKS

ENDPOINTS = {
    "/v1/chat/completions": {"messages": [{"role": "user", "content": "How long?"}]},
    "/v1/completions": {"prompt": "How long?"},
    "/v1/responses": {"input": "How long?"},
}
MALFORMED = (
    {"prompt_tokens": 2**64 - 1},
    {"completion_tokens": 2**52},
    {"completion_tokens": -1},
    {"prompt_tokens": "9"},
    {"prompt_tokens_details": {"cached_tokens": 2**63}},
    {"completion_tokens_details": "none"},
    {"completion_tokens_details": {"reasoning_tokens": -1}},
    {"prompt_tokens_details": [1]},
)
MAX_ANSWER_S = 6.0  # the longest deadline of the tests' settings


class MalformedUsage(BudgetCase):
    def test_an_answer_with_a_malformed_usage_event_fails_and_is_charged_by_its_events(self) -> None:
        self.begin(tenant("north"), folder=True)
        for usage in MALFORMED:
            event = b'data: {"choices":[],"usage":%b}\n\n' % json.dumps(usage).encode()
            self.replica.respond = lambda handler, body, event=event: handler.chunks(
                *STREAM_CHUNKS, event, b"data: [DONE]\n\n"
            )
            for path, fields in ENDPOINTS.items():
                for stream in (True, False):
                    with self.subTest(usage=usage, path=path, stream=stream):
                        self.check_failure(path, json.dumps({"model": "booking", "stream": stream, **fields}).encode())
        counters = self.program.counters()
        assert counters["malformed_responses"] == len(MALFORMED) * len(ENDPOINTS) * 2
        assert len([line for line in self.program.lines if "malformed response" in line]) == 1
        self.program.stop()

    def check_failure(self, path: str, sent: bytes) -> None:
        charged = self.usage()["tokens"]["today"]
        began = time.monotonic()
        status, complete = self.send(path, sent)
        assert time.monotonic() - began < MAX_ANSWER_S
        assert status >= 500 or not complete
        report = self.usage()
        assert report["requests"]["open"] == 0
        assert 0 < report["tokens"]["today"] - charged < 100

    def send(self, path: str, sent: bytes) -> tuple[int, bool]:
        """Return the status, and whether the answer was complete and names no error."""
        connection = self.program.connect()
        try:
            connection.request("POST", path, sent, {"api-key": A})
            response = connection.getresponse()
            try:
                return response.status, b"error" not in response.read()
            except (OSError, http.client.IncompleteRead):
                return response.status, False
        finally:
            connection.close()
