"""Starts a parsed request at the core, or attaches it to the existing run of its idempotency key."""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass, replace

import msgspec

from pearhill.chat.answers import Answer, Spawn
from pearhill.chat.budget_accounting import BudgetAccounting, SettlingClient
from pearhill.chat.budget_answers import rejection_error
from pearhill.chat.dialect import ChatPayload
from pearhill.chat.errors import JSON, ApiError, ErrorType, invalid_request, retry_headers
from pearhill.chat.incoming_request import IncomingRequest
from pearhill.chat.meter import UsageMeter
from pearhill.chat.prompt import Prompt
from pearhill.chat.records import Follower, RecordStore, RunRecord
from pearhill.chat.setup import Model
from pearhill.core.dispatcher import Dispatcher
from pearhill.core.request import Request, RequestSpec
from pearhill.http1.handler import Pending

EXPECTED_TOKENS_HEADER = "x-expected-answer-tokens"  # the length of the answer that the client expects


@dataclass(slots=True)
class ParsedRequest:
    """A request whose body has been parsed, its spec for the core, and its answer."""

    incoming: IncomingRequest
    prompt: Prompt
    model: Model
    spec: RequestSpec
    answer: Answer


class DirectRequest:
    """A request that is cancelled when its client disconnects. Its answer is forwarded but not stored."""

    def __init__(self, dispatcher: Dispatcher, answer: Answer) -> None:
        self._dispatcher = dispatcher
        self._answer = answer
        self.request: Request | None = None
        self.settling: SettlingClient | None = None

    def handle_disconnect(self) -> None:
        """Cancel the request of a client that has disconnected."""
        try:
            self._answer.handle_disconnect()
            if self.settling:
                self.settling.handle_disconnect()
        finally:
            if self.request:
                self._dispatcher.handle_disconnect(self.request)


class UnrepeatableRequest:
    """A request that must not be executed twice, without an idempotency key.

    If its client disconnects before a replica may have begun it, it is never begun: nobody can request its answer.
    Later, it runs to its outcome, which would be unknown if it were cancelled.
    """

    def __init__(self, dispatcher: Dispatcher, record: RunRecord, follower: Follower) -> None:
        self._dispatcher = dispatcher
        self._record = record
        self._follower = follower
        self.request: Request | None = None
        self.settling: SettlingClient | None = None
        record.on_unneeded = self.end_unless_executed

    def handle_disconnect(self) -> None:
        """End the answer to a client that has disconnected, and its request unless it may have been executed."""
        self._follower.handle_disconnect()
        self.end_unless_executed()

    def end_unless_executed(self) -> None:
        """End the request of a client that has disconnected, unless a replica may have begun it. Its attempt may turn
        out not to have been executed later; then no other one may begin."""
        request = self.request
        if request is None or request.answered or self._dispatcher.may_have_executed(request):
            return
        self._record.handle_disconnect()
        if self.settling:
            self.settling.handle_disconnect()
        self._dispatcher.handle_disconnect(request)


class RequestPlacement:
    """Reserves a request's budget and starts it at the core, once for each idempotency key."""

    def __init__(
        self, dispatcher: Dispatcher, store: RecordStore, spawn: Spawn, accounting: BudgetAccounting | None
    ) -> None:
        self._dispatcher = dispatcher
        self._store = store
        self._spawn = spawn
        self._accounting = accounting

    def place(self, request: ParsedRequest, idempotency_key: str) -> Pending | None:
        """Start the request, or attach it to the run of its idempotency key. An empty key means none.

        Returns the pending answer, or None if the request has been answered already. Raises ApiError if the key cannot
        be used for this request.
        """
        if idempotency_key:
            return self._place_with_key(request, idempotency_key)
        if not self._has_capacity(request):
            return None
        if request.answer.repeatable:
            return self._run_directly(request)
        return self._run_without_key(request)

    def _place_with_key(self, request: ParsedRequest, idempotency_key: str) -> Pending | None:
        name = _record_key(request.incoming, idempotency_key)
        digest = _request_digest(request.incoming)
        record = self._store.get(name)
        if record:
            return self._follow(record, digest, request.answer)
        if not self._has_capacity(request):
            return None
        record = RunRecord(request.incoming.id, digest, self._spawn)
        if not self._store.add(name, record):
            self._dispatcher.record_rejection(request.spec.request_class)
            request.answer.reject(self._dispatcher.deployment.router.max_retry_after)
            return None
        return self._run(request, record)

    def _follow(self, record: RunRecord, digest: bytes, answer: Answer) -> Pending:
        if record.digest != digest:
            raise invalid_request(
                "This Idempotency-Key was used with another request.", code="idempotency_key_reused", status=422
            )
        if record.answer_dropped:
            raise invalid_request(
                f"The request has ended ({record.state}) and is not run again; its answer is not kept any more.",
                code="answer_not_kept",
                status=409,
            )
        self._dispatcher.counters.replayed += 1
        return record.add_follower(answer)

    def _has_capacity(self, request: ParsedRequest) -> bool:
        """Returns whether one more request may be open. If not, the client is answered with an error.

        The limit bounds the memory of the core.
        """
        dispatcher = self._dispatcher
        if len(dispatcher.requests) < dispatcher.deployment.max_open_requests:
            return True
        dispatcher.record_rejection(request.spec.request_class)
        error = ApiError(429, "Too many requests are open.", "rate_limit_exceeded", type=ErrorType.RATE_LIMIT)
        incoming = request.incoming
        incoming.log_answer(429, error.code)
        retry_after = retry_headers(dispatcher.deployment.router.max_retry_after)
        incoming.reply.answer(429, (*JSON, *incoming.headers, *retry_after), error.body())
        return False

    def _run_directly(self, request: ParsedRequest) -> Pending:
        direct = DirectRequest(self._dispatcher, request.answer)
        spec, client, payload = self._reserve(request, request.answer)
        direct.settling = client if isinstance(client, SettlingClient) else None
        direct.request = self._dispatcher.accept(spec, client, payload, request.incoming.message.arrived)
        return direct

    def _run_without_key(self, request: ParsedRequest) -> Pending:
        record = RunRecord(request.incoming.id, b"", self._spawn, request.answer)
        unrepeatable = UnrepeatableRequest(self._dispatcher, record, record.add_follower(request.answer))
        spec, client, payload = self._reserve(request, record)
        unrepeatable.settling = client if isinstance(client, SettlingClient) else None
        unrepeatable.request = self._dispatcher.accept(spec, client, payload, request.incoming.message.arrived)
        return unrepeatable

    def _run(self, request: ParsedRequest, record: RunRecord) -> Pending:
        """Run a request to its outcome, even if its client disconnects.

        A request that is cancelled in mid-stream may have been executed, and its outcome would be unknown.
        """
        follower = record.add_follower(request.answer)
        spec, client, payload = self._reserve(request, record)
        self._dispatcher.accept(spec, client, payload, request.incoming.message.arrived)
        return follower

    def _reserve(
        self, request: ParsedRequest, inner: Answer | RunRecord
    ) -> tuple[RequestSpec, Answer | RunRecord | SettlingClient, ChatPayload]:
        """Reserve tokens. Returns the spec with the decision of the budget, the core's client and the payload."""
        accounting = self._accounting
        if accounting is None:
            return request.spec, inner, _payload(request, None)
        incoming = request.incoming
        spec = request.spec
        tenant = incoming.tenant.name
        key = incoming.key_number
        expected_tokens = _expected_tokens(incoming)
        decision = accounting.admit(tenant, key, spec.prompt_tokens, spec.max_output_tokens, expected_tokens)
        spec = replace(spec, admission=decision.status, retry_after=decision.retry_after)
        if decision.reservation is None:
            accounting.record_rejection(tenant, key)
            request.answer.rejection_error = rejection_error(decision)
            return spec, inner, _payload(request, None)
        incoming.update_rate_limits()
        request.answer.headers = tuple(incoming.headers)
        meter = UsageMeter()
        path = incoming.message.path
        client = SettlingClient(
            accounting, decision.reservation, meter, spec.prompt_tokens, incoming.id, request.model.name, path, inner
        )
        return spec, client, _payload(request, meter)


def _expected_tokens(incoming: IncomingRequest) -> int:
    """Returns the number of output tokens that the client expects, or 0 if it is unknown."""
    header = incoming.message.headers.get(EXPECTED_TOKENS_HEADER, "")
    return int(header) if re.fullmatch("[0-9]{1,7}", header) else 0


def _record_key(incoming: IncomingRequest, idempotency_key: str) -> bytes:
    """Returns the store's key of a record, from the client's idempotency key and its identity.

    Without the identity, two clients that use the same key would receive each other's answers.
    """
    if incoming.is_authenticated:
        owner = f"tenant {incoming.tenant.name}"
    else:
        owner = incoming.message.headers.get("authorization", "")
    return hashlib.blake2b(f"{owner}\n{idempotency_key}".encode(errors="replace"), digest_size=16).digest()


def _request_digest(incoming: IncomingRequest) -> bytes:
    """Returns a digest of path and body.

    The path is included because the answer to the same body has another format at another endpoint.
    """
    message = incoming.message
    return hashlib.blake2b(b"%b\n%b" % (message.path.encode(), message.body), digest_size=16).digest()


def _payload(request: ParsedRequest, meter: UsageMeter | None) -> ChatPayload:
    """Returns the payload for replicas: the client's fields, except those that this dispatcher sets."""
    prompt = request.prompt
    model = request.model
    request_rules = request.incoming.request_rules
    options = prompt.fields.get("stream_options")
    if isinstance(options, msgspec.Raw):
        options = msgspec.json.decode(options)
    fields = {
        **prompt.fields,
        "model": model.served_as,
        "stream": True,
        "stream_options": {**(options or {}), "include_usage": True},
    }
    if meter and prompt.max_output_tokens is None:
        # Without a limit, the answer could overdraw its tenant's budget by any amount.
        fields["max_completion_tokens"] = model.max_output_tokens or request_rules.max_output_tokens
    body = msgspec.json.encode(fields)
    return ChatPayload(request.incoming.id, body, prompt.wants_usage, request_rules.max_answer_bytes, meter)
