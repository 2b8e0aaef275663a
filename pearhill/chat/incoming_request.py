"""One request of a chat client within the front end: its tenant, its reply, and its log line."""

from __future__ import annotations

import re
import secrets

from loguru import logger

from pearhill.chat.budget_accounting import BudgetAccounting
from pearhill.chat.errors import JSON, ApiError
from pearhill.chat.keys import ANONYMOUS, Tenant
from pearhill.chat.setup import Model, RequestRules
from pearhill.core.dispatcher import Dispatcher
from pearhill.http1.handler import Reply
from pearhill.http1.messages import Headers, RequestMessage

MAX_LOGGED_PATH_CHARS = 64
_CLIENT_ID = re.compile(r"[\x20-\x7e]{1,512}")


class IncomingRequest:
    """One request with its reply, and what the front end has found out about it so far.

    `request_rules` has the operator's rules at the time of the request's arrival. `key_number` is the number of the
    request's API key. `is_authenticated` says whether the tenant was found by that key.
    """

    __slots__ = (
        "id",
        "message",
        "reply",
        "request_rules",
        "tenant",
        "key_number",
        "is_authenticated",
        "model",
        "_dispatcher",
        "_accounting",
        "_arrived",
        "_limits",
    )

    def __init__(
        self,
        dispatcher: Dispatcher,
        accounting: BudgetAccounting | None,
        request_rules: RequestRules,
        message: RequestMessage,
        reply: Reply,
    ) -> None:
        self.id = secrets.token_hex(12)
        self.message = message
        self.reply = reply
        self.request_rules = request_rules
        self.tenant: Tenant = ANONYMOUS
        self.key_number = ""
        self.is_authenticated = False
        self.model: Model | None = None
        self._dispatcher = dispatcher
        self._accounting = accounting
        self._arrived = dispatcher.clock()
        self._limits: Headers = ()

    @property
    def headers(self) -> Headers:
        """Returns the headers that are part of every answer to this request."""
        return (("x-request-id", self.id), *self._limits)

    def update_rate_limits(self) -> None:
        """Update the rate-limit headers of the answer from the tenant's current budget."""
        if self._accounting:
            self._limits = self._accounting.rate_limit_headers(self.tenant.name)

    def reject(self, error: ApiError) -> None:
        """Answer a request that is rejected. It has been read to its end, so that its connection can stay open."""
        self._dispatcher.counters.rejected += 1
        self.log_answer(error.status, error.code)
        self.reply.answer(error.status, (*JSON, *self.headers, *error.headers), error.body())

    def log_answer(self, status: int, code: str) -> None:
        """Log one line for this request.

        The level is INFO if the request did not succeed or the client has given it an id, else DEBUG.
        """
        client = self.message.headers.get("x-client-request-id", "")
        if not _CLIENT_ID.fullmatch(client):
            client = ""
        logger.log(
            "INFO" if client or status != 200 else "DEBUG",
            "request id={id} client_id={client!r} tenant={tenant!r} path={path} model={model!r} status={status} "
            "code={code} took_us={took}",
            id=self.id,
            client=client,
            tenant=self.tenant.name,
            path=self.message.path[:MAX_LOGGED_PATH_CHARS],
            model=self.model.name if self.model else "",
            status=status,
            code=code or "-",
            took=self._dispatcher.clock() - self._arrived,
        )
