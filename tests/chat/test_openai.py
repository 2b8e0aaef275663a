"""The official OpenAI client against the daemon: its requests, its parsing of answers, and its own retries."""

import asyncio
import json

import httpx2
import openai
import pytest

from pearhill.conformance.payloads import ANSWER_EVENTS
from tests.chat.test_front import ChatCase
from tests.standins import STREAM_CHUNKS, STREAM_END

MESSAGES = [{"role": "user", "content": "Hi"}]
TOOL = {"type": "function", "function": {"name": "book", "parameters": {"type": "object", "properties": {}}}}


def call_events(*pieces: str) -> list[bytes]:
    """Returns the events of a tool call whose arguments are streamed in these pieces."""
    first = {"index": 0, "id": "c1", "type": "function", "function": {"name": "book", "arguments": pieces[0]}}
    parts = [first] + [{"index": 0, "function": {"arguments": piece}} for piece in pieces[1:]]
    chunks = [
        {
            "id": "x",
            "object": "chat.completion.chunk",
            "created": 1,
            "model": "m",
            "choices": [{"index": 0, "delta": {"tool_calls": [part]}, "finish_reason": None}],
        }
        for part in parts
    ]
    return [b"data: %b\n\n" % json.dumps(chunk).encode() for chunk in chunks]


class OfficialClient(ChatCase):
    def start_client(self, **options) -> openai.OpenAI:
        """Start a replica and a dispatcher. Returns a client that retries only if `options` say so."""
        (self.replica,) = self.start()
        client = openai.OpenAI(
            base_url=f"http://{self.program.host}:{self.program.port}/v1",
            api_key="k" * 30,
            **{"max_retries": 0, "timeout": 20, **options},
        )
        self.addCleanup(client.close)
        return client

    def test_chat_completions_are_parsed_complete_and_streamed(self):
        client = self.start_client()
        completion = client.chat.completions.create(model="help", messages=MESSAGES)
        assert (completion.choices[0].message.content, completion.usage.total_tokens) == ("one two", 11)
        assert completion._request_id
        stream = client.chat.completions.create(
            model="help", messages=MESSAGES, stream=True, stream_options={"include_usage": True}
        )
        chunks = list(stream)
        assert "".join(c.choices[0].delta.content or "" for c in chunks if c.choices) == "one two"
        assert chunks[-1].usage.total_tokens == 11
        self.replica.respond = lambda h, b: h.chunks(*ANSWER_EVENTS)  # the client's helper checks `object`
        with client.chat.completions.stream(model="help", messages=MESSAGES) as events:
            events.until_done()
            assert events.get_final_completion().choices[0].message.content == "one two"

    def test_tool_calls_are_parsed_in_chat_and_in_responses(self):
        client = self.start_client()
        self.replica.respond = lambda h, b: h.chunks(*call_events('{"da', 'y":1}'), STREAM_END)
        answer = client.chat.completions.create(model="help", messages=MESSAGES, tools=[TOOL])
        call = answer.choices[0].message.tool_calls[0]
        assert (call.id, call.function.name, call.function.arguments) == ("c1", "book", '{"day":1}')
        answer = client.responses.create(
            model="help", input="Hi", tools=[{"type": "function", **TOOL["function"], "strict": False}]
        )
        assert (answer.output[0].type, answer.output[0].arguments) == ("function_call", '{"day":1}')

    def test_responses_and_text_completions_are_parsed_complete_and_streamed(self):
        client = self.start_client()
        answer = client.responses.create(model="help", input="Hi", instructions="Be kind.")
        assert (answer.output_text, answer.status, answer.usage.total_tokens) == ("one two", "completed", 11)
        with client.responses.stream(model="help", input="Hi") as events:
            kinds = [event.type for event in events]
            assert events.get_final_response().output_text == "one two"
        assert (kinds[0], kinds[-1]) == ("response.created", "response.completed")
        text = client.completions.create(model="help", prompt="Hi")
        assert text.choices[0].text == "one two"
        pieces = client.completions.create(model="help", prompt="Hi", stream=True)
        assert "".join(piece.choices[0].text for piece in pieces) == "one two"

    def test_models_are_listed_and_an_unknown_model_is_not_found(self):
        client = self.start_client()
        assert [model.id for model in client.models.list()] == ["help", "booking"]
        assert client.models.retrieve("help").id == "help"
        with pytest.raises(openai.NotFoundError):
            client.models.retrieve("nobody")

    def test_errors_raise_the_exception_of_their_status(self):
        client = self.start_client()
        with pytest.raises(openai.BadRequestError) as caught:
            client.chat.completions.create(model="help", messages=MESSAGES, temperature=9)
        assert (caught.value.param, caught.value.code) == ("temperature", "invalid_value")
        self.replica.respond = lambda h, b: h.send_response_body(422, b'{"error": {"message": "no", "code": "odd"}}')
        with pytest.raises(openai.UnprocessableEntityError):
            client.chat.completions.create(model="booking", messages=MESSAGES)
        self.replica.respond = lambda h, b: h.send_response_body(500)
        with pytest.raises(openai.InternalServerError) as caught:
            client.chat.completions.create(model="booking", messages=MESSAGES)
        assert caught.value.status_code == 500

    def test_a_truncated_stream_raises_an_error(self):
        client = self.start_client()
        self.replica.respond = lambda h, b: h.chunks(STREAM_CHUNKS[0])
        received = []

        def read_stream() -> None:
            for chunk in client.chat.completions.create(model="booking", messages=MESSAGES, stream=True):
                received.append(chunk.choices[0].delta.content)

        with pytest.raises((openai.APIError, httpx2.RemoteProtocolError)):
            read_stream()
        assert (received, self.replica.post_count) == (["one "], 1)

    def test_the_client_retries_only_requests_that_were_not_executed(self):
        client = self.start_client(max_retries=2)
        self.replica.respond = lambda h, b: h.send_response_body(500)
        with pytest.raises(openai.InternalServerError):
            client.chat.completions.create(model="booking", messages=MESSAGES)
        assert self.replica.post_count == 1  # the answer has the header `X-Should-Retry: false`
        rejections = iter([True])
        self.replica.respond = lambda h, b: (
            h.send_response_body(503, Not_Started="1")
            if next(rejections, False)
            else h.chunks(*STREAM_CHUNKS, STREAM_END)
        )
        answer = client.chat.completions.create(model="booking", messages=MESSAGES)
        assert answer.choices[0].message.content == "one two"

    def test_a_booking_is_executed_once_if_the_client_times_out(self):
        client = self.start_client(timeout=0.5)

        def respond_late(handler, sent):
            self.replica.release_answers.wait(20)
            handler.chunks(*STREAM_CHUNKS, STREAM_END)

        self.replica.respond = respond_late
        with pytest.raises(openai.APITimeoutError):
            client.chat.completions.create(model="booking", messages=MESSAGES)
        self.replica.release_answers.set()
        self.program.wait_line("outcome request=.* state=answered")
        assert self.replica.post_count == 1

    def test_concurrent_streams_of_the_async_client_are_complete(self):
        client = self.start_client()

        async def stream_concurrently() -> list[str]:
            async with openai.AsyncOpenAI(
                base_url=str(client.base_url), api_key="k" * 30, max_retries=0
            ) as async_client:

                async def stream_answer() -> str:
                    stream = await async_client.chat.completions.create(model="help", messages=MESSAGES, stream=True)
                    return "".join([c.choices[0].delta.content or "" async for c in stream if c.choices])

                return await asyncio.gather(*(stream_answer() for _ in range(8)))

        assert asyncio.run(stream_concurrently()) == ["one two"] * 8
