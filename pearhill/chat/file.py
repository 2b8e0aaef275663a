"""The operator's file of the chat front end: each class describes one table. `deploy/chat.toml` explains its keys.

Keys of `[settings]` have the platform's names and units (times in microseconds). In all other tables the unit is the
end of the key. Fields have the names of their keys, except `request_class`. `pearhill schema` prints these docstrings
as descriptions.
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
    """Assigns a class to requests for these models, or with this header. The first rule that matches is used.

    `model` and `value` are shell patterns. `deadline_s` is the deadline for the first token; 0 means the deadline
    of the class.
    """

    request_class: Text = field(name="class")
    model: str = "*"
    header: str = ""
    value: str = "*"
    deadline_s: Annotated[float, Meta(ge=0, le=600)] = 0.0


class ModelTable(Struct, forbid_unknown_fields=True):
    """One model that clients may request.

    `served_as` is its name at replicas; if empty, it is the same. `kinds` lists the machine kinds that serve it; if
    empty, all do. `max_out_tokens` and `max_prompt_tokens` are limits of this model; 0 means none. `created` is in
    seconds since 1970.
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
    """One tenant. `keys` has records as `pearhill key` prints them. `models` lists those it may use; if empty, all."""

    name: Text
    keys: list[Text] = []
    models: list[Text] = []


class ChatTable(Struct, forbid_unknown_fields=True):
    """How the chat API is served, and how requests are read.

    `sockets` is the number of file descriptors that the process may hold, `memory_mb` the memory that it may use, of
    which requests that are not answered yet may take a quarter; beyond that they get 503. `max_out` is the number of
    output tokens of a request that sets no limit. `max_answer_bytes` limits a replica's stream. A stream without an
    event for `heartbeat_s` gets a comment; 0 disables this.
    """

    listen: Address = "127.0.0.1:0"
    admin_addr: str = ""
    sockets: Annotated[int, Meta(ge=64, le=1_000_000)] = 1024
    memory_mb: Annotated[int, Meta(ge=32, le=1 << 20)] = 1024
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
    """Size and retention time of the answers that are stored for repeats under the same `Idempotency-Key`."""

    max_bytes: PositiveInt = 8 << 20
    keep_s: PositiveInt = 600


class ServerTable(Struct, forbid_unknown_fields=True):
    """One replica. An empty `zone` means the first of the settings. `capacity` is relative to the other replicas."""

    uid: Text
    address: Address
    kind: Text
    zone: str = ""
    cell: int = 0
    capacity: Annotated[float, Meta(gt=0)] = 1.0
    key_file: str = ""


class EurekaTable(Struct, forbid_unknown_fields=True):
    """The Eureka registry that lists the replicas.

    `servers` is the application whose instances are the replicas. `base` is the path before `/apps`. `register_as` is
    the application as which this dispatcher registers; if empty, it does not register. `instance` is the dispatcher's
    id in the registry; if empty, it is made of its address.
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
    """A request class.

    `aim` (the latency objective) and `deadline` are times to the first token. `effect` says whether a request may be
    executed again. `worth` and `late_worth` are the priority weights before and after `aim`. Replicas of the same
    `group` discard a repeat under the same idempotency key within `window`.
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
    """Limits and permissions. `most_held` limits open requests. `second_copies` permits hedged requests."""

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

    A restarted replica warms up for `cold`, beginning with the fraction `cold_from` of its capacity. During that time
    it counts as overloaded if its load within the window `fall` exceeds `fall_multiple` times its capacity.
    """

    cold: Microseconds
    cold_from: Fraction
    fall: PositiveInt
    fall_multiple: Annotated[float, Meta(gt=0)]


class ExtraTable(Struct, forbid_unknown_fields=True, rename="kebab"):
    """Prefill and decode replicas. Lists have one value for each machine kind, or for each class (`*aim*`).

    `local_read` permits local prefill at decode replicas. `release_within` is the time for which a prefill replica
    holds a state. `tokens_by_kind` is a replica's memory in tokens. `resume` permits a client to request the
    rest of a stream after a disconnection.
    """

    local_read: bool
    release_within: PositiveInt
    role_by_kind: list[Literal["read", "write", "both", "reader", "writer", "mixed"]]
    tokens_by_kind: list[PositiveInt]
    aim_us_per_1000_prompt_tokens: list[float] = []
    token_aim: list[float] = []
    resume: bool = False


class QuotaTable(Struct, forbid_unknown_fields=True, rename="kebab"):
    """A tenant's quota, in requests per second over all dispatchers."""

    name: Text
    quota_rps: Annotated[float, Meta(ge=0)]


class SettingsTable(Struct, forbid_unknown_fields=True, rename="kebab"):
    """The settings of the router, under the platform's names and in its units (`pearhill.settings`).

    `models` has the names of the machine kinds. `zone` is this dispatcher's zone, as an index into `zones`.
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
    """Limits of one level, summed over all instances. 0 means no limit."""

    tokens_per_min: TokenCount = 0
    burst_tokens: TokenCount = 0
    debt_tokens: TokenCount = 0
    day_tokens: TokenCount = 0
    month_tokens: TokenCount = 0
    open_requests: TokenCount = 0


class AccountTable(LimitsTable, forbid_unknown_fields=True, kw_only=True):
    """Limits that several tenants share."""

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
    """The budget of one tenant. `account` is the account that it belongs to; if empty, it belongs to none."""

    name: Text
    account: str = ""


class BudgetsTable(Struct, forbid_unknown_fields=True):
    """Token budgets.

    `cached_price` and `answer_price` are the prices of a cached prompt token and of an output token, as multiples of
    the price of a prompt token. `instances` is the number of dispatchers that share the limits. `folder` holds the
    journal of charges; if empty, there is no journal. `uncounted_tokens` is the number of tokens that are served while
    the journal cannot be written.
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
    """A file that has only budgets. The key "chat.budgets_file" names it."""

    budgets: BudgetsTable


class AggregatorTable(PeerTable, forbid_unknown_fields=True, kw_only=True):
    """An aggregator of dispatchers' load. Dispatchers of its `region` prefer it to other aggregators."""

    name: Name
    region: str = ""


class FleetTable(Struct, forbid_unknown_fields=True):
    """Dispatchers that exchange their load by gossip among peers, through aggregators, or both.

    `peer` may list this dispatcher too, so that all dispatchers can use the same list. The first key signs messages;
    messages that are signed with any of the keys are accepted.
    """

    name: Text
    listen: Address
    key_files: Annotated[list[Text], Meta(min_length=1)]
    region: str = ""
    peer: Annotated[list[PeerTable], Meta(max_length=MAX_LIST_LENGTH)] = []
    aggregator: Annotated[list[AggregatorTable], Meta(max_length=MAX_LIST_LENGTH)] = []


class OperatorFile(Struct, forbid_unknown_fields=True):
    """The complete file. At least one of `server` and `eureka` is required; `pearhill.chat.setup` checks this."""

    settings: SettingsTable
    chat: ChatTable
    idempotency: IdempotencyTable = field(default_factory=IdempotencyTable)
    server: list[ServerTable] = []
    eureka: EurekaTable | None = None
    budgets: BudgetsTable | None = None
    fleet: FleetTable | None = None
