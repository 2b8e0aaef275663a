"""The front of the chat API: reads a request by the operator's rules, and answers as OpenAI-style clients expect.

Nothing here needs the platform's headers. What the core asks of a request is found, in this order:
tenant         the API key, where the operator's file has tenants
class          a header, a field of the body's `metadata`, the first rule that fits, the model's own, the default
conversation   a header, a field of `metadata`, else the messages up to the first user's
opening        the leading system and developer messages
lengths        characters over `chars_per_token`; what the request asks for at most, else the model's or `max_out`
deadline       a header in milliseconds, else the rule's, at most the class's
"""

from __future__ import annotations

import hashlib
import re
import secrets
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any
from urllib.parse import unquote

import msgspec
from loguru import logger

from pearhill.chat.answers import Answer, HeartbeatTimer, Spawn
from pearhill.chat.budget_accounting import BudgetAccounting, SettlingClient
from pearhill.chat.budget_answers import rejection_error
from pearhill.chat.endpoints import ENDPOINTS
from pearhill.chat.errors import AUTHENTICATION, JSON, PERMISSION, RATE, ApiError, invalid, retry_headers
from pearhill.chat.keys import ANYONE, Keyring, Tenant, key_number
from pearhill.chat.keys import told as key_told
from pearhill.chat.meter import Meter
from pearhill.chat.prompt import Prompt, ResponseIdentity
from pearhill.chat.records import Record, Store
from pearhill.chat.schema.answers import ModelCard, ModelList, UsageReport
from pearhill.chat.servers import ChatPayload
from pearhill.chat.setup import Model, Reading
from pearhill.core.dispatcher import Dispatcher
from pearhill.core.request import Request, RequestSpec
from pearhill.http1.handler import Pending, Reply
from pearhill.http1.messages import Headers, RequestMessage
from pearhill.routing.settings import Idempotency

MODELS, USAGE = "/v1/models", "/v1/usage"
CALLS = {**dict.fromkeys(ENDPOINTS, "POST"), MODELS: "GET", USAGE: "GET", "/ready": "GET", "/counters": "GET"}
HINT = "x-expected-answer-tokens"  # how long a client thinks that its answer will be
LONGEST_KEY = 256  # characters of an Idempotency-Key
_CLIENT_ID = re.compile(r"[\x20-\x7e]{1,512}")


def _number_of(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(errors="replace"), digest_size=8).digest()) or 1


def owns(path: str) -> bool:
    """Whether a path is the API's: an embedding application leaves those to it."""
    return path in ENDPOINTS or path in (MODELS, USAGE) or path.startswith(f"{MODELS}/")


class _Direct:
    """A client whose request ends with it: what comes is passed straight on."""

    def __init__(self, dispatcher: Dispatcher, answer: Answer) -> None:
        self._dispatcher, self._answer = dispatcher, answer
        self.request: Request | None = None
        self.settling: SettlingClient | None = None

    def left(self) -> None:
        self._answer.left()
        if self.settling:
            self.settling.left()
        if self.request:
            self._dispatcher.disconnect(self.request)


class _Asked:
    """One request on its way through the front."""

    __slots__ = ("id", "message", "reply", "tenant", "model", "prompt", "since", "front", "key", "_limits")

    def __init__(self, front: ChatFront, message: RequestMessage, reply: Reply) -> None:
        self.front, self.message, self.reply = front, message, reply
        self.id = secrets.token_hex(12)
        self.since = front.dispatcher.clock()
        self.tenant: Tenant = ANYONE
        self.key = ""  # the number of the one that it came with
        self._limits: Headers = ()
        self.model: Model | None = None
        self.prompt: Prompt | None = None

    @property
    def headers(self) -> Headers:
        return (("x-request-id", self.id), *self._limits)

    def count_in(self) -> None:
        """Tell its client how its budget stands from here on."""
        if self.front.accounting:
            self._limits = self.front.accounting.rate_limit_headers(self.tenant.name)

    def reject(self, error: ApiError) -> None:
        """Answer what was not taken. The message's end is known, so that its connection goes on."""
        self.front.dispatcher.counters.rejected += 1
        self.over(error.status, error.code)
        self.reply.answer(error.status, (*JSON, *self.headers, *error.headers), error.body())

    def over(self, status: int, code: str) -> None:
        """One line a request: plain successes only for those who look, or whose client gave it a name."""
        client = self.message.headers.get("x-client-request-id", "")
        client = client if _CLIENT_ID.fullmatch(client) else ""
        took = self.front.dispatcher.clock() - self.since
        logger.log(
            "INFO" if client or status != 200 else "DEBUG",
            "request id={id} client_id={client!r} tenant={tenant!r} path={path} model={model!r} status={status} "
            "code={code} took_us={took}",
            id=self.id,
            client=client,
            tenant=self.tenant.name,
            path=self.message.path[:64],
            model=self.model.name if self.model else "",
            status=status,
            code=code or "-",
            took=took,
        )


class ChatFront:
    def __init__(
        self,
        dispatcher: Dispatcher,
        reading: Reading,
        keyring: Keyring,
        store: Store,
        spawn: Spawn,
        is_ready: Callable[[], bool],
        accounting: BudgetAccounting | None = None,
    ) -> None:
        self.dispatcher, self.reading, self.keyring, self.store = dispatcher, reading, keyring, store
        self.spawn, self.is_ready, self.accounting = spawn, is_ready, accounting
        self._classes = {name: k for k, name in enumerate(dispatcher.deployment.class_names)}

    def handle(self, message: RequestMessage, reply: Reply) -> Pending | None:
        asked = _Asked(self, message, reply)
        try:
            if message.path in ENDPOINTS and message.method == "POST":
                return self._take(asked)
            self._look(asked)
        except ApiError as e:
            asked.reject(e)
        return None

    def rejected(self, status: int, why: str) -> tuple[Headers, bytes]:
        return (*JSON, ("x-request-id", secrets.token_hex(12))), invalid(why, code="bad_http").body()

    # What is only looked at.

    def _look(self, asked: _Asked) -> None:
        path, method = asked.message.path, asked.message.method
        wanted = "GET" if path.startswith(f"{MODELS}/") else CALLS.get(path)
        if wanted is None:
            raise ApiError(404, f"There is no {method} {path[:200]}", "unknown_url")
        if wanted != method:
            raise ApiError(405, f"There is no {method} {path[:200]}", "unknown_url", headers=(("Allow", wanted),))
        status = 200
        answer: dict[str, Any] | ModelCard | ModelList | UsageReport
        if path == "/ready":
            ready = self.is_ready()
            status, answer = 200 if ready else 503, {"ready": ready}
        elif path == "/counters":
            answer = self.dispatcher.counters.as_dict()
        else:
            self._identify(asked)
            name = unquote(path.removeprefix(MODELS).removeprefix("/"))
            answer = self._usage(asked) if path == USAGE else self._models(asked.tenant, name)
        asked.reply.answer(status, (*JSON, *asked.headers), msgspec.json.encode(answer))

    def _usage(self, asked: _Asked) -> UsageReport:
        if self.accounting is None:
            raise ApiError(404, "No budgets are kept here.", "unknown_url")
        return self.accounting.usage_report(asked.tenant.name)

    def _models(self, tenant: Tenant, name: str) -> ModelCard | ModelList:
        if name:
            return self._card(self._model(name, tenant))
        models = {model.name: model for model in self.reading.models.values() if tenant.may_use(model.name)}
        return ModelList([self._card(model) for model in models.values()])

    @staticmethod
    def _card(model: Model) -> ModelCard:
        return ModelCard(model.name, model.created, model.owned_by)

    # Who asks, and for what.

    def _identify(self, asked: _Asked) -> None:
        """Whose request it is. ApiError: nobody's."""
        if not self.keyring:
            return asked.count_in()
        key = key_told(asked.message.headers)
        if not key:
            raise ApiError(
                401,
                "You didn't provide an API key: send Authorization: Bearer KEY.",
                "invalid_api_key",
                type=AUTHENTICATION,
                headers=(("WWW-Authenticate", "Bearer"),),
            )
        if tenant := self.keyring.owner(key):
            asked.tenant, asked.key = tenant, key_number(key)
            return asked.count_in()
        raise ApiError(
            401,
            "The API key is not valid here.",
            "invalid_api_key",
            type=AUTHENTICATION,
            headers=(("WWW-Authenticate", "Bearer"),),
        )

    def _model(self, name: str, tenant: Tenant) -> Model:
        model = self.reading.model(name)
        if model is None:
            raise ApiError(404, f"The model {name[:200]!r} does not exist.", "model_not_found", "model")
        if not tenant.may_use(model.name):
            raise ApiError(
                403, f"The model {name[:200]!r} is not allowed for this key.", "model_not_allowed", "model", PERMISSION
            )
        return model

    # What is dispatched.

    def _take(self, asked: _Asked) -> Pending | None:
        """One request, to its place in the core or to the answer that it has already. ApiError: turned away."""
        message = asked.message
        self._identify(asked)
        if message.headers.get("content-encoding", "identity").lower() != "identity":
            raise invalid(
                "Bodies are taken as they are: leave Content-Encoding out.", code="unsupported_encoding", status=415
            )
        prompt = asked.prompt = ENDPOINTS[message.path](message.body)
        model = asked.model = self._model(prompt.model, asked.tenant)
        ask = self._ask(asked, prompt, model)
        key = message.headers.get("idempotency-key", "")
        if len(key) > LONGEST_KEY:
            raise invalid(f"Idempotency-Key is longer than {LONGEST_KEY} characters.")
        answer = self._answer(asked, prompt, model, ask)
        if key:
            return self._once(key, asked, ask, answer)
        if not self._has_room(asked, ask.request_class):
            return None
        if answer.repeatable:
            direct = _Direct(self.dispatcher, answer)
            ask, client, payload = self._reserve(asked, ask, answer, answer)
            direct.settling = client if isinstance(client, SettlingClient) else None
            direct.request = self.dispatcher.accept(ask, client, payload, message.arrived)
            return direct
        return self._run(Record(asked.id, b"", self.spawn), asked, ask, answer)

    def _reserve(
        self,
        asked: _Asked,
        ask: RequestSpec,
        answer: Answer,
        inner: Answer | Record,
    ) -> tuple[RequestSpec, Answer | Record | SettlingClient, ChatPayload]:
        """What its budget says goes with the request, as a fact. The Router refuses what is not to be let in."""
        accounting, model = self.accounting, asked.model
        if accounting is None:
            return ask, inner, self._payload(asked)
        assert model
        told = asked.message.headers.get(HINT, "")
        hint = int(told) if re.fullmatch("[0-9]{1,7}", told) else 0
        standing = accounting.admit(asked.tenant.name, asked.key, ask.prompt_tokens, ask.max_output_tokens, hint)
        ask = replace(ask, admission=standing.status, retry_after=standing.retry_after)
        if standing.reservation is None:
            accounting.record_rejection(asked.tenant.name, asked.key)
            answer.refusal = rejection_error(standing)
            return ask, inner, self._payload(asked)
        asked.count_in()
        answer.headers = tuple(asked.headers)
        meter = Meter()
        client = SettlingClient(
            accounting, standing.reservation, meter, ask.prompt_tokens, asked.id, model.name, asked.message.path, inner
        )
        return ask, client, self._payload(asked, meter)

    def _answer(self, asked: _Asked, prompt: Prompt, model: Model, ask: RequestSpec) -> Answer:
        safe = self.dispatcher.deployment.router.classes[ask.request_class].idempotency == Idempotency.IDEMPOTENT
        heart = HeartbeatTimer(self.dispatcher.deadlines, self.spawn, self.reading.heartbeat)
        made = ResponseIdentity(asked.id, model.name, int(time.time()))
        return Answer(asked.reply, prompt.new_format(made), prompt.stream, safe, asked.headers, heart, asked.over)

    def _payload(self, asked: _Asked, meter: Meter | None = None) -> ChatPayload:
        """What servers get: the client's fields as they came, but for those that are this dispatcher's matter."""
        prompt, model = asked.prompt, asked.model
        assert prompt
        assert model
        options = prompt.fields.get("stream_options")
        options = msgspec.json.decode(options) if isinstance(options, msgspec.Raw) else options
        fields = {
            **prompt.fields,
            "model": model.served_as,
            "stream": True,
            "stream_options": {**(options or {}), "include_usage": True},
        }
        if meter and prompt.max_out is None:  # Danger: an answer without a limit would be a debt without one.
            fields["max_completion_tokens"] = model.max_out or self.reading.max_out
        return ChatPayload(asked.id, msgspec.json.encode(fields), prompt.wants_usage, self.reading.max_answer, meter)

    def _has_room(self, asked: _Asked, cls: int) -> bool:
        """Danger: the core's books are bounded; past that nothing is taken, and the client is told at once."""
        dispatcher = self.dispatcher
        if len(dispatcher.requests) < dispatcher.deployment.max_open_requests:
            return True
        dispatcher.record_rejection(cls)
        error = ApiError(429, "Too many requests are open.", "rate_limit_exceeded", type=RATE)
        asked.over(429, error.code)
        asked.reply.answer(
            429, (*JSON, *asked.headers, *retry_headers(dispatcher.deployment.router.max_retry_after)), error.body()
        )
        return False

    def _run(self, record: Record, asked: _Asked, ask: RequestSpec, answer: Answer) -> Pending:
        """Danger: a booking whose client leaves in mid-stream may have run. It is seen through to one outcome."""
        follower = record.follow(answer)
        ask, client, payload = self._reserve(asked, ask, answer, record)
        self.dispatcher.accept(ask, client, payload, asked.message.arrived)
        return follower

    def _once(self, key: str, asked: _Asked, ask: RequestSpec, answer: Answer) -> Pending | None:
        """The run that this key stands for: the one there is, else a new one."""
        message = asked.message
        # Danger: keys are each client's own; two clients that pick the same must not read each other's answers.
        owner = f"tenant {asked.tenant.name}" if self.keyring else message.headers.get("authorization", "")
        name = hashlib.blake2b(f"{owner}\n{key}".encode(errors="replace"), digest_size=16).digest()
        # Danger: the same body at another endpoint is another request, whose answer has other words.
        digest = hashlib.blake2b(b"%b\n%b" % (message.path.encode(), message.body), digest_size=16).digest()
        if record := self.store.get(name):
            if record.digest != digest:
                raise invalid(
                    "This Idempotency-Key was used with another request.", code="idempotency_key_reused", status=422
                )
            if record.dropped:
                raise invalid(
                    f"The request has ended ({record.state}) and is not run again; its answer is not kept " "any more.",
                    code="answer_not_kept",
                    status=409,
                )
            self.dispatcher.counters.replayed += 1
            return record.follow(answer)
        if not self._has_room(asked, ask.request_class):
            return None
        record = Record(asked.id, digest, self.spawn)
        if not self.store.add(name, record):
            self.dispatcher.record_rejection(ask.request_class)
            answer.reject(self.dispatcher.deployment.router.max_retry_after)
            return None
        return self._run(record, asked, ask, answer)

    def _ask(self, asked: _Asked, prompt: Prompt, model: Model) -> RequestSpec:
        """What the Router is told of a request. ApiError: it asks for more than there is."""
        reading, headers = self.reading, asked.message.headers
        rule = next((rule for rule in reading.rules if rule.fits(model.name, headers)), None)
        named = headers.get(reading.class_header) or prompt.metadata.get(reading.class_field)
        if named and named not in self._classes:
            raise invalid(f"There is no class {named[:64]!r}.", f"metadata.{reading.class_field}")
        cls = (
            self._classes[named]
            if named
            else rule.cls
            if rule
            else model.cls
            if model.cls >= 0
            else reading.default_class
        )
        opening, talk, most = "", "", model.max_out
        for turn in prompt.turns:
            talk += f"{turn.role}\n{turn.text}\n"
            if turn.role not in ("system", "developer"):
                break
            opening += turn.text
        tokens = prompt.tokens(reading.chars_per_token)
        if model.max_prompt and tokens > model.max_prompt:
            raise invalid(
                f"The prompt has about {tokens} tokens; {model.name} takes {model.max_prompt}.",
                "messages",
                "context_length_exceeded",
            )
        if most and prompt.max_out and prompt.max_out > most:
            raise invalid(f"{model.name} writes {most} tokens at most.", "max_tokens")
        conversation = (
            headers.get(reading.conversation_header) or prompt.metadata.get(reading.conversation_field) or talk
        )
        return RequestSpec(
            cls,
            self._time(headers, cls, rule.deadline if rule else 0),
            tokens,
            prompt.count * (prompt.max_out or most or reading.max_out),
            session=_number_of(conversation),
            prefix=_number_of(opening) if opening else 0,
            prefix_tokens=int(len(opening) / reading.chars_per_token),
            tenant=asked.tenant.number,
            allowed_kinds=model.kinds,
        )

    def _time(self, headers: dict[str, str], cls: int, rule: int) -> int:
        most = self.dispatcher.deployment.router.classes[cls].deadline
        told = headers.get(self.reading.timeout_header)
        if told is None:
            return min(most, rule) if rule > 0 else most
        if not re.fullmatch("[0-9]{1,10}", told) or not int(told):
            raise invalid(f"{self.reading.timeout_header} must be a whole number of milliseconds above 0.")
        return min(most, int(told) * 1000)
