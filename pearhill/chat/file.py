"""The operator's file of the chat front, table by table. Units are in the keys' names."""

from __future__ import annotations

from typing import Annotated, Any, Literal

from msgspec import Meta, Struct, field

from pearhill.config.values import MAX_LIST_LENGTH, Address, Name, PeerTable, Text

Whole = Annotated[int, Meta(ge=1)]
Tokens = Annotated[int, Meta(ge=0, le=10**15)]
Micros = Annotated[int, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]


class RuleTable(Struct, forbid_unknown_fields=True):
    """Requests of these models, or with this header, are of this class. The first rule that fits counts."""

    cls: Text = field(name="class")
    model: str = "*"
    header: str = ""
    value: str = "*"
    deadline_s: Annotated[float, Meta(ge=0, le=600)] = 0.0


class ModelTable(Struct, forbid_unknown_fields=True):
    """One model that clients may name. `served_as`: what servers know it by; `kinds`: machines that have it."""

    name: Text
    aliases: list[Text] = []
    cls: str = field(name="class", default="")
    kinds: list[Text] = []
    served_as: str = ""
    max_out_tokens: Annotated[int, Meta(ge=0, le=1_000_000)] = 0
    max_prompt_tokens: Annotated[int, Meta(ge=0)] = 0
    owned_by: str = "pearhill"
    created: Annotated[int, Meta(ge=0)] = 0


class TenantTable(Struct, forbid_unknown_fields=True):
    """One tenant: its keys, as `pearhill key` prints their records, and the models that it may use (none: all)."""

    name: Text
    keys: list[Text] = []
    models: list[Text] = []


class ChatTable(Struct, forbid_unknown_fields=True):
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
    max_bytes: Whole = 8 << 20
    keep_s: Whole = 600


class ServerTable(Struct, forbid_unknown_fields=True):
    uid: Text
    address: Address
    kind: Text
    zone: str = ""
    cell: int = 0
    capacity: Annotated[float, Meta(gt=0)] = 1.0
    key_file: str = ""


class EurekaTable(Struct, forbid_unknown_fields=True):
    address: Address
    servers: Text
    base: str = "/eureka"
    register_as: str = ""
    instance: str = ""
    lease_s: Whole = 90
    renew_s: Whole = 30
    fetch_s: Whole = 30


class ClassTable(Struct, forbid_unknown_fields=True, rename="kebab"):
    """A class of request. Times in microseconds."""

    name: Text
    aim: Whole
    deadline: Whole
    effect: Literal["read_like", "idempotency_key", "non_idempotent", "safe", "keyed", "unsafe"]
    worth: Annotated[float, Meta(ge=0)]
    late_worth: Annotated[float, Meta(ge=0)] = 0.0
    group: Literal["all", "zone", "cell"] = "all"
    window: Micros = 0


class AllowedTable(Struct, forbid_unknown_fields=True, rename="kebab"):
    max_attempts: Whole
    may_cancel: bool
    second_copies: bool
    conn_idle: Whole = 15_000_000
    connect_timeout: Whole = 250_000
    max_retry_after: Micros = 0
    most_held: Whole = 10_000
    retry_after: bool = False


class RulesTable(Struct, forbid_unknown_fields=True, rename="kebab"):
    cold: Micros
    cold_from: Share
    fall: Whole
    fall_multiple: Annotated[float, Meta(gt=0)]


class ExtraTable(Struct, forbid_unknown_fields=True, rename="kebab"):
    local_read: bool
    release_within: Whole
    role_by_kind: list[Literal["read", "write", "both", "reader", "writer", "mixed"]]
    tokens_by_kind: list[Whole]
    aim_us_per_1000_prompt_tokens: list[float] = []
    token_aim: list[float] = []
    resume: bool = False


class QuotaTable(Struct, forbid_unknown_fields=True, rename="kebab"):
    name: Text
    quota_rps: Annotated[float, Meta(ge=0)]


class SettingsTable(Struct, forbid_unknown_fields=True, rename="kebab"):
    """The module's settings, under the platform's names and in its units."""

    n_instances: Whole
    zone: Annotated[int, Meta(ge=0)]
    zones: Annotated[list[Any], Meta(min_length=1)]
    models: Annotated[list[Any], Meta(min_length=1)]
    tick: Whole
    allowed: AllowedTable
    rules: RulesTable
    extra: ExtraTable
    classes: Annotated[list[ClassTable], Meta(min_length=1)]
    tenants: list[QuotaTable] = []
    over_share_worth: float = 1.0
    report: dict[str, Any] = {}


class LimitsTable(Struct, forbid_unknown_fields=True):
    """Limits of one level. 0: no such limit."""

    tokens_per_min: Tokens = 0
    burst_tokens: Tokens = 0
    debt_tokens: Tokens = 0
    day_tokens: Tokens = 0
    month_tokens: Tokens = 0
    open_requests: Tokens = 0


class AccountTable(LimitsTable, forbid_unknown_fields=True, kw_only=True):
    name: Text


class DefaultTable(LimitsTable, forbid_unknown_fields=True, kw_only=True):
    """A tenant's own limits, its weight in what is spare, and the limits of each of its keys."""

    weight: Annotated[float, Meta(ge=0, le=1_000)] = 1.0
    key_tokens_per_min: Tokens = 0
    key_burst_tokens: Tokens = 0
    key_debt_tokens: Tokens = 0
    key_day_tokens: Tokens = 0
    key_month_tokens: Tokens = 0
    key_open_requests: Tokens = 0


class BudgetTable(DefaultTable, forbid_unknown_fields=True, kw_only=True):
    name: Text
    account: str = ""


class BudgetsTable(Struct, forbid_unknown_fields=True):
    capacity_tokens_per_min: Tokens = 0
    capacity_burst_tokens: Tokens = 0
    cached_price: Annotated[float, Meta(ge=0, le=1_000)] = 1.0
    answer_price: Annotated[float, Meta(ge=0, le=1_000)] = 1.0
    instances: Whole = 1
    folder: str = ""
    uncounted_tokens: Tokens = 0
    default: DefaultTable = field(default_factory=DefaultTable)
    account: list[AccountTable] = []
    tenant: list[BudgetTable] = []


class BudgetsFile(Struct, forbid_unknown_fields=True):
    """A file of budgets alone."""

    budgets: BudgetsTable


class AggregatorTable(PeerTable, forbid_unknown_fields=True, kw_only=True):
    """A control machine that sums up what dispatchers have. `region`: whose dispatchers turn to it first."""

    name: Name
    region: str = ""


class FleetTable(Struct, forbid_unknown_fields=True):
    """Dispatchers that tell one another what work they have: each other (`peer`), or by way of aggregators, or both.
    `peer` may name this one too: one list serves all. The first key signs, each of them is accepted."""

    name: Text
    listen: Address
    key_files: Annotated[list[Text], Meta(min_length=1)]
    region: str = ""
    peer: Annotated[list[PeerTable], Meta(max_length=MAX_LIST_LENGTH)] = []
    aggregator: Annotated[list[AggregatorTable], Meta(max_length=MAX_LIST_LENGTH)] = []


class OperatorFile(Struct, forbid_unknown_fields=True):
    settings: SettingsTable
    chat: ChatTable
    idempotency: IdempotencyTable = field(default_factory=IdempotencyTable)
    server: list[ServerTable] = []
    eureka: EurekaTable | None = None
    budgets: BudgetsTable | None = None
    fleet: FleetTable | None = None
