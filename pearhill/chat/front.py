"""The front end of the chat API: reads requests by the operator's rules, and answers in OpenAI's format.

It needs none of the platform's headers. A request passes three steps: `identification` finds its tenant and model,
`spec_reader` derives what the core needs for routing, and `request_placement` applies the budget and the idempotency
key and starts the request at the core.
"""

from __future__ import annotations

import secrets
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import unquote

import msgspec

from pearhill.chat.answers import BUSY, Answer, HeartbeatTimer, Spawn
from pearhill.chat.budget_accounting import BudgetAccounting
from pearhill.chat.endpoints import ENDPOINTS
from pearhill.chat.errors import JSON, ApiError, invalid_request, retry_headers
from pearhill.chat.identification import find_model, identify
from pearhill.chat.incoming_request import IncomingRequest
from pearhill.chat.keys import Keyring, Tenant
from pearhill.chat.prompt import Prompt, ResponseIdentity
from pearhill.chat.records import RecordStore
from pearhill.chat.request_placement import ParsedRequest, RequestPlacement
from pearhill.chat.schema.answers import ModelCard, ModelList, UsageReport
from pearhill.chat.setup import Model, RequestRules
from pearhill.chat.spec_reader import read_spec
from pearhill.core.dispatcher import Dispatcher
from pearhill.http1.handler import Pending, Reply
from pearhill.http1.messages import Headers, RequestMessage
from pearhill.routing.settings import Idempotency

MODELS_PATH = "/v1/models"
USAGE_PATH = "/v1/usage"
METHODS = {
    **dict.fromkeys(ENDPOINTS, "POST"),
    MODELS_PATH: "GET",
    USAGE_PATH: "GET",
    "/ready": "GET",
    "/counters": "GET",
}
MAX_IDEMPOTENCY_KEY_CHARS = 256


def is_chat_path(path: str) -> bool:
    """Returns whether a path belongs to the chat API. An embedding application must not serve these paths itself."""
    return path in ENDPOINTS or path in (MODELS_PATH, USAGE_PATH) or path.startswith(f"{MODELS_PATH}/")


class ChatFront:
    """Handles the requests of all connections to the chat API.

    `request_rules` and `keyring` are replaced at a reload.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        request_rules: RequestRules,
        keyring: Keyring,
        store: RecordStore,
        spawn: Spawn,
        is_ready: Callable[[], bool],
        accounting: BudgetAccounting | None = None,
    ) -> None:
        self.request_rules = request_rules
        self.keyring = keyring
        self._dispatcher = dispatcher
        self._spawn = spawn
        self._is_ready = is_ready
        self._accounting = accounting
        self._placement = RequestPlacement(dispatcher, store, spawn, accounting)
        self._classes = {name: number for number, name in enumerate(dispatcher.deployment.class_names)}

    def handle(self, message: RequestMessage, reply: Reply) -> Pending | None:
        """Start a request. Returns the pending answer, or None if the request has been answered already."""
        request = IncomingRequest(self._dispatcher, self._accounting, self.request_rules, message, reply)
        try:
            if message.path in ENDPOINTS and message.method == "POST":
                return self._accept(request)
            self._answer_query(request)
        except ApiError as error:
            request.reject(error)
        return None

    def rejection_response(self, status: int, reason: str) -> tuple[Headers, bytes]:
        """Returns headers and body of the response to input that is rejected before it is a complete request."""
        return _unread_request_headers(), invalid_request(reason, code="bad_http").body()

    def overload_response(self) -> tuple[Headers, bytes]:
        """Returns headers and body of the response to a request that was discarded before it began."""
        retry_after = retry_headers(self._dispatcher.deployment.router.max_retry_after)
        return (*_unread_request_headers(), *retry_after, ("X-Should-Retry", "true")), BUSY.body()

    def _accept(self, request: IncomingRequest) -> Pending | None:
        """Read a request for a model's answer, and start it. Raises ApiError if it is rejected."""
        message = request.message
        identify(request, self.keyring)
        if message.headers.get("content-encoding", "identity").lower() != "identity":
            raise invalid_request(
                "Bodies are taken as they are: leave Content-Encoding out.", code="unsupported_encoding", status=415
            )
        prompt = ENDPOINTS[message.path](message.body)
        model = find_model(self.request_rules, prompt.model, request.tenant)
        request.model = model
        spec = read_spec(request, prompt, model, self._classes, self._dispatcher.deployment)
        idempotency_key = message.headers.get("idempotency-key", "")
        if len(idempotency_key) > MAX_IDEMPOTENCY_KEY_CHARS:
            raise invalid_request(f"Idempotency-Key is longer than {MAX_IDEMPOTENCY_KEY_CHARS} characters.")
        answer = self._new_answer(request, prompt, model, spec.request_class)
        return self._placement.place(ParsedRequest(request, prompt, model, spec, answer), idempotency_key)

    def _new_answer(self, request: IncomingRequest, prompt: Prompt, model: Model, request_class: int) -> Answer:
        idempotency = self._dispatcher.deployment.router.classes[request_class].idempotency
        heartbeat = HeartbeatTimer(self._dispatcher.deadlines, self._spawn, self.request_rules.heartbeat)
        response_format = prompt.new_format(ResponseIdentity(request.id, model.name, int(time.time())))
        return Answer(
            request.reply,
            response_format,
            prompt.stream,
            idempotency == Idempotency.IDEMPOTENT,
            request.headers,
            heartbeat,
            request.log_answer,
        )

    def _answer_query(self, request: IncomingRequest) -> None:
        """Answer a request that needs no model.

        Raises ApiError if path or method do not exist, or if the client is not permitted to read the answer.
        """
        path = request.message.path
        _check_method(path, request.message.method)
        status = 200
        answer: dict[str, Any] | ModelCard | ModelList | UsageReport
        if path == "/ready":
            ready = self._is_ready()
            status = 200 if ready else 503
            answer = {"ready": ready}
        elif path == "/counters":
            answer = self._dispatcher.counters.as_dict()
        else:
            identify(request, self.keyring)
            answer = self._usage(request.tenant) if path == USAGE_PATH else self._models(request.tenant, path)
        request.reply.answer(status, (*JSON, *request.headers), msgspec.json.encode(answer))

    def _usage(self, tenant: Tenant) -> UsageReport:
        if self._accounting is None:
            raise ApiError(404, "No budgets are kept here.", "unknown_url")
        return self._accounting.usage_report(tenant.name)

    def _models(self, tenant: Tenant, path: str) -> ModelCard | ModelList:
        """Returns the model that the path names, else a list of all models that the tenant may use, without aliases."""
        name = unquote(path.removeprefix(MODELS_PATH).removeprefix("/"))
        if name:
            return _model_card(find_model(self.request_rules, name, tenant))
        models = {model.name: model for model in self.request_rules.models.values() if tenant.may_use(model.name)}
        return ModelList([_model_card(model) for model in models.values()])


def _unread_request_headers() -> Headers:
    """Returns the headers of a response to a request that got no id, because it was not read."""
    return (*JSON, ("x-request-id", secrets.token_hex(12)))


def _check_method(path: str, method: str) -> None:
    allowed = "GET" if path.startswith(f"{MODELS_PATH}/") else METHODS.get(path)
    if allowed is None:
        raise ApiError(404, f"There is no {method} {path[:200]}", "unknown_url")
    if allowed != method:
        raise ApiError(405, f"There is no {method} {path[:200]}", "unknown_url", headers=(("Allow", allowed),))


def _model_card(model: Model) -> ModelCard:
    return ModelCard(model.name, model.created, model.owned_by)
