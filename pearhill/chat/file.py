"""The operator's file of the chat front, one record a table. `deploy/chat.toml` shows its keys with comments.

Keys of `[settings]` have the platform's names and units (times in microseconds); in all other tables the unit is at the
end of the key. Fields have their keys' names, but for `request_class`. `pearhill schema` prints these docstrings as
descriptions.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

from msgspec import Meta, Struct, field

from pearhill.config.values import MAX_LIST_LENGTH, Address, Name, PeerTable, Text

PositiveInt = Annotated[int, Meta(ge=1)]
TokenCount = Annotated[int, Meta(ge=0, le=10**15)]
Microseconds = Annotated[int, Meta(ge=0)]
Fraction = Annotated[float, Meta(ge=0, le=1)]


class RuleTable(Struct, forbid_unknown_fields=True):
    """Requests for these models, or with this header, are of this class. The first rule that matches is used.

    `model` and `value` are shell patterns; `deadline_s`: for the first token, 0: the class's.
    """

    request_class: Text = field(name="class")
    model: str = "*"
    header: str = ""
    value: str = "*"
    deadline_s: Annotated[float, Meta(ge=0, le=600)] = 0.0


class ModelTable(Struct, forbid_unknown_fields=True):
    """One model that clients may name.

    `served_as`: its name at replicas, empty: the same; `kinds`: the machine kinds that serve it, empty: all;
    `max_out_tokens` and `max_prompt_tokens`: 0: no limit of its own; `created`: seconds since 1970.
    """

    name: Text
    aliases: list[Text] = []
    request_class: str = field(name="class", default="")
    kinds: list[Text] = []
    served_as: str = ""
    max_out_tokens: Annotated[int, Meta(ge=0, le=1_000_000)] = 0
    max_prompt_tokens: Annotated[int, Meta(ge=0)] = 0
    owned_by: str = "pearhill"
    created: Annotated[int, Meta(ge=0)] = 0


class TenantTable(Struct, forbid_unknown_fields=True):
    """One tenant. `keys`: records as `pearhill key` prints them; `models`: those that it may use, empty: all."""

    name: Text
    keys: list[Text] = []
    models: list[Text] = []


class ChatTable(Struct, forbid_unknown_fields=True):
    """How the chat API is served, and how requests are read.

    `sockets`: file descriptors that the process may hold; `max_out`: output tokens of a request that names no limit;
    `max_answer_bytes`: of a replica's stream; `heartbeat_s`: without an event for so long, a stream gets a comment, 0:
    never.
    """

    listen: Address = "127.0.0.1:0"
    admin_addr: str = ""
    sockets: Annotated[int, Meta(ge=64, le=1_000_000)] = 1024
    seed: int = 0
    models: list[Text] = []
    default_class: str = ""
    class_header: str = "X-Request-Class"
    class_field: str = "class"
    conversation_header: str = "X-Conversation-Id"
    conversation_field: str = "conversation"
    timeout_header: str = "X-Request-Timeout-Ms"
    max_out: Annotated[int, Meta(ge=1, le=1_000_000)] = 800
    chars_per_token: Annotated[float, Meta(ge=0.1, le=100)] = 4.0
    max_body_bytes: Annotated[int, Meta(ge=1024, le=64 << 20)] = 256 * 1024
    max_answer_bytes: Annotated[int, Meta(ge=1024, le=256 << 20)] = 4 << 20
    heartbeat_s: Annotated[float, Meta(ge=0, le=600)] = 0.0
    server_key_file: str = ""
    budgets_file: str = ""
    rule: list[RuleTable] = []
    model: list[ModelTable] = []
    tenant: list[TenantTable] = []


class IdempotencyTable(Struct, forbid_unknown_fields=True):
    """How much is kept of answers, and for how long, for repeats under the same `Idempotency-Key`."""

    max_bytes: PositiveInt = 8 << 20
    keep_s: PositiveInt = 600


class ServerTable(Struct, forbid_unknown_fields=True):
    """One replica. `zone`: empty: the first of the settings; `capacity`: relative to the other replicas."""

    uid: Text
    address: Address
    kind: Text
    zone: str = ""
    cell: int = 0
    capacity: Annotated[float, Meta(gt=0)] = 1.0
    key_file: str = ""


class EurekaTable(Struct, forbid_unknown_fields=True):
    """The Eureka registry that lists the replicas.

    `servers`: the application whose instances they are; `base`: the path before `/apps`; `register_as`: the application
    as which this dispatcher registers, empty: it does not; `instance`: its id there, empty: made of its address.
    """

    address: Address
    servers: Text
    base: str = "/eureka"
    register_as: str = ""
    instance: str = ""
    lease_s: PositiveInt = 90
    renew_s: PositiveInt = 30
    fetch_s: PositiveInt = 30


class ClassTable(Struct, forbid_unknown_fields=True, rename="kebab"):
    """A class of requests.

    `aim` and `deadline`: for the first token; `effect`: whether a request may be executed again; `worth` and
    `late_worth`: priority weights before and after `aim`; `group` and `window`: where and until when replicas discard a
    repeat under the same idempotency key.
    """

    name: Text
    aim: PositiveInt
    deadline: PositiveInt
    effect: Literal["read_like", "idempotency_key", "non_idempotent", "safe", "keyed", "unsafe"]
    worth: Annotated[float, Meta(ge=0)]
    late_worth: Annotated[float, Meta(ge=0)] = 0.0
    group: Literal["all", "zone", "cell"] = "all"
    window: Microseconds = 0


class AllowedTable(Struct, forbid_unknown_fields=True, rename="kebab"):
    """Limits and permissions. `most_held`: open requests; `second_copies`: whether requests may be hedged."""

    max_attempts: PositiveInt
    may_cancel: bool
    second_copies: bool
    conn_idle: PositiveInt = 15_000_000
    connect_timeout: PositiveInt = 250_000
    max_retry_after: Microseconds = 0
    most_held: PositiveInt = 10_000
    retry_after: bool = False


class RulesTable(Struct, forbid_unknown_fields=True, rename="kebab"):
    """The slow start of replicas.

    `cold`: for how long a restarted replica warms up, from `cold_from` of its capacity; `fall` and `fall_multiple`: the
    window and the multiple of its capacity beyond which it counts as overloaded meanwhile.
    """

    cold: Microseconds
    cold_from: Fraction
    fall: PositiveInt
    fall_multiple: Annotated[float, Meta(gt=0)]


class ExtraTable(Struct, forbid_unknown_fields=True, rename="kebab"):
    """Prefill and decode replicas. Lists have one value for each machine kind, or for each class (`*aim*`).

    `local_read`: whether decode replicas prefill; `release_within`: for how long a prefill replica holds a state;
    `tokens_by_kind`: memory; `resume`: whether a client may come back for the rest of a stream.
    """

    local_read: bool
    release_within: PositiveInt
    role_by_kind: list[Literal["read", "write", "both", "reader", "writer", "mixed"]]
    tokens_by_kind: list[PositiveInt]
    aim_us_per_1000_prompt_tokens: list[float] = []
    token_aim: list[float] = []
    resume: bool = False


class QuotaTable(Struct, forbid_unknown_fields=True, rename="kebab"):
    """A tenant's quota, in requests a second over all dispatchers."""

    name: Text
    quota_rps: Annotated[float, Meta(ge=0)]


class SettingsTable(Struct, forbid_unknown_fields=True, rename="kebab"):
    """The settings of the router, under the platform's names and in its units (`pearhill.settings`).

    `models`: the names of the machine kinds; `zone`: this dispatcher's, as an index of `zones`.
    """

    n_instances: PositiveInt
    zone: Annotated[int, Meta(ge=0)]
    zones: Annotated[list[Any], Meta(min_length=1)]
    models: Annotated[list[Any], Meta(min_length=1)]
    tick: PositiveInt
    allowed: AllowedTable
    rules: RulesTable
    extra: ExtraTable
    classes: Annotated[list[ClassTable], Meta(min_length=1)]
    tenants: list[QuotaTable] = []
    over_share_worth: float = 1.0
    report: dict[str, Any] = {}


class LimitsTable(Struct, forbid_unknown_fields=True):
    """Limits of one level, over all instances. 0: no such limit."""

    tokens_per_min: TokenCount = 0
    burst_tokens: TokenCount = 0
    debt_tokens: TokenCount = 0
    day_tokens: TokenCount = 0
    month_tokens: TokenCount = 0
    open_requests: TokenCount = 0


class AccountTable(LimitsTable, forbid_unknown_fields=True, kw_only=True):
    """Limits of several tenants together."""

    name: Text


class DefaultTable(LimitsTable, forbid_unknown_fields=True, kw_only=True):
    """A tenant's own limits, its weight in burst capacity, and the limits of each of its keys."""

    weight: Annotated[float, Meta(ge=0, le=1_000)] = 1.0
    key_tokens_per_min: TokenCount = 0
    key_burst_tokens: TokenCount = 0
    key_debt_tokens: TokenCount = 0
    key_day_tokens: TokenCount = 0
    key_month_tokens: TokenCount = 0
    key_open_requests: TokenCount = 0


class BudgetTable(DefaultTable, forbid_unknown_fields=True, kw_only=True):
    """The budget of one tenant. `account`: which it belongs to, empty: none."""

    name: Text
    account: str = ""


class BudgetsTable(Struct, forbid_unknown_fields=True):
    """Token budgets.

    `cached_price` and `answer_price`: of a cached prompt token and an output token, in prices of a prompt token;
    `instances`: dispatchers that share the limits; `folder`: of the charges' journal, empty: none; `uncounted_tokens`:
    served while the journal cannot be written.
    """

    capacity_tokens_per_min: TokenCount = 0
    capacity_burst_tokens: TokenCount = 0
    cached_price: Annotated[float, Meta(ge=0, le=1_000)] = 1.0
    answer_price: Annotated[float, Meta(ge=0, le=1_000)] = 1.0
    instances: PositiveInt = 1
    folder: str = ""
    uncounted_tokens: TokenCount = 0
    default: DefaultTable = field(default_factory=DefaultTable)
    account: list[AccountTable] = []
    tenant: list[BudgetTable] = []


class BudgetsFile(Struct, forbid_unknown_fields=True):
    """A file with budgets only, which the key "chat.budgets_file" names."""

    budgets: BudgetsTable


class AggregatorTable(PeerTable, forbid_unknown_fields=True, kw_only=True):
    """An aggregator of dispatchers' load. `region`: whose dispatchers report to it first."""

    name: Name
    region: str = ""


class FleetTable(Struct, forbid_unknown_fields=True):
    """Dispatchers that share their load: by gossip among peers, through aggregators, or both.

    `peer` may name this dispatcher too, so that one list serves all. The first key signs messages; each is accepted.
    """

    name: Text
    listen: Address
    key_files: Annotated[list[Text], Meta(min_length=1)]
    region: str = ""
    peer: Annotated[list[PeerTable], Meta(max_length=MAX_LIST_LENGTH)] = []
    aggregator: Annotated[list[AggregatorTable], Meta(max_length=MAX_LIST_LENGTH)] = []


class OperatorFile(Struct, forbid_unknown_fields=True):
    """The whole file. At least one of `server` and `eureka` is needed; `pearhill.chat.setup` checks that."""

    settings: SettingsTable
    chat: ChatTable
    idempotency: IdempotencyTable = field(default_factory=IdempotencyTable)
    server: list[ServerTable] = []
    eureka: EurekaTable | None = None
    budgets: BudgetsTable | None = None
    fleet: FleetTable | None = None
