"""What the chat front runs with: the operator's file, its names resolved and its keys read."""

from __future__ import annotations

import pathlib
import tomllib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from fnmatch import fnmatchcase
from typing import Any

from pearhill import settings
from pearhill.budgets import Limit, Plan, Prices, TenantPlan
from pearhill.chat import file as f
from pearhill.chat.budget_accounting import AccountingSettings
from pearhill.chat.keys import BadKey, Keyring, Tenant
from pearhill.config import ConfigError, typed, values
from pearhill.core.replica_ids import replica_id
from pearhill.eureka.setup import EurekaSetup
from pearhill.membership.aggregator_choice import AggregatorSite
from pearhill.net.address import Address
from pearhill.net.fleet import FleetSetup
from pearhill.routing.topology import Endpoint, Phase, Role


@dataclass(frozen=True, slots=True)
class Rule:
    """Requests of these models, or with this header, are of this class."""

    cls: int
    model: str = "*"
    header: str = ""
    value: str = "*"
    deadline: int = 0

    def fits(self, model: str, headers: Mapping[str, str]) -> bool:
        told = headers.get(self.header) if self.header else ""
        return (
            told is not None and fnmatchcase(model, self.model) and (not self.header or fnmatchcase(told, self.value))
        )


@dataclass(frozen=True, slots=True)
class Model:
    """One declared model. `cls` -1: as the rules say; sizes in tokens, 0: no limit of its own."""

    name: str
    served_as: str
    cls: int = -1
    kinds: tuple[int, ...] = ()
    max_out: int = 0
    max_prompt: int = 0
    owned_by: str = "pearhill"
    created: int = 0


@dataclass(frozen=True, slots=True)
class Reading:
    """Where the front finds what the core asks. Header names are in lower case."""

    rules: tuple[Rule, ...]
    default_class: int
    class_header: str
    class_field: str
    conversation_header: str
    conversation_field: str
    timeout_header: str
    max_out: int
    chars_per_token: float
    models: Mapping[str, Model]  # by name and by alias; empty: any name goes on to the servers
    heartbeat: int = 0  # microseconds
    max_answer: int = 4 << 20  # bytes

    def model(self, name: str) -> Model | None:
        return self.models.get(name) if self.models else Model(name, name)


@dataclass(frozen=True, slots=True)
class ChatSetup:
    listen: Address
    sockets: int
    seed: int
    deployment: settings.Deployment
    reading: Reading
    keyring: Keyring
    store_bytes: int
    store_keep: int
    entries: tuple[Endpoint, ...]
    addresses: dict[int, Address]
    server_keys: dict[int, str]
    server_key: str
    max_body: int
    eureka: EurekaSetup | None
    spending: AccountingSettings | None = None
    admin: Address | None = None  # where operators call
    fleet: FleetSetup | None = None


def _choice(path: str, name: str, names: Sequence[str]) -> int:
    if name not in names:
        raise typed.invalid_value(path, name, ", ".join(names) or "none is declared")
    return names.index(name)


def _models(chat: f.ChatTable, deployment: settings.Deployment) -> dict[str, Model]:
    models: dict[str, Model] = {}

    def declare(path: str, name: str, model: Model) -> None:
        if name in models:
            raise typed.invalid_value(path, name, "a name that no other model or alias has")
        models[name] = model

    for k, name in enumerate(chat.models):
        declare(f"chat.models[{k}]", name, Model(name, name))
    for k, table in enumerate(chat.model):
        path = f"chat.model[{k}]"
        model = Model(
            table.name,
            table.served_as or table.name,
            _choice(f"{path}.class", table.cls, deployment.class_names) if table.cls else -1,
            tuple(_choice(f"{path}.kinds[{n}]", kind, deployment.kind_names) for n, kind in enumerate(table.kinds)),
            table.max_out_tokens,
            table.max_prompt_tokens,
            table.owned_by,
            table.created,
        )
        writes = any(deployment.router.kinds[kind].role != Role.PREFILL for kind in model.kinds)
        if model.kinds and not writes:
            raise typed.invalid_value(f"{path}.kinds", table.kinds, "at least one kind that writes answers")
        declare(f"{path}.name", table.name, model)
        for n, alias in enumerate(table.aliases):
            declare(f"{path}.aliases[{n}]", alias, model)
    return models


def _keyring(chat: f.ChatTable, deployment: settings.Deployment, models: Mapping[str, Model]) -> Keyring:
    """Tenants that the settings name have their number there; the others follow, in the file's order."""
    tenants, seen = [], set[str]()
    numbers = {name: k for k, name in enumerate(deployment.tenant_names)}
    for k, table in enumerate(chat.tenant):
        path = f"chat.tenant[{k}]"
        if table.name in seen:
            raise typed.invalid_value(f"{path}.name", table.name, "a name that no other tenant has")
        seen.add(table.name)
        for n, name in enumerate(table.models):
            _choice(f"{path}.models[{n}]", name, list(models))
        tenant = Tenant(
            table.name,
            numbers.setdefault(table.name, len(numbers)),
            frozenset(models[name].name for name in table.models),
        )
        tenants.append((tenant, table.keys))
        for n, record in enumerate(table.keys):
            try:
                Keyring([(tenant, [record])])
            except BadKey:  # Danger: a key that stands there as it is must not be shown, nor taken for its record.
                raise ConfigError(
                    f"{path}.keys[{n}]: found something else; allowed: a record as `pearhill key` " "prints it"
                ) from None
    return Keyring(tenants)


def _reading(chat: f.ChatTable, models: Mapping[str, Model], deployment: settings.Deployment) -> Reading:
    names = deployment.class_names
    rules = tuple(
        Rule(
            _choice(f"chat.rule[{k}].class", rule.cls, names),
            rule.model,
            rule.header.lower(),
            rule.value,
            int(rule.deadline_s * 1e6),
        )
        for k, rule in enumerate(chat.rule)
    )
    default = _choice("chat.default_class", chat.default_class, names) if chat.default_class else 0
    return Reading(
        rules,
        default,
        chat.class_header.lower(),
        chat.class_field,
        chat.conversation_header.lower(),
        chat.conversation_field,
        chat.timeout_header.lower(),
        chat.max_out,
        chat.chars_per_token,
        models,
        int(chat.heartbeat_s * 1e6),
        chat.max_answer_bytes,
    )


def _fleet(table: f.FleetTable) -> FleetSetup:
    peers = values.addresses("fleet.peer", table.peer, table.name)
    aggregators = values.addresses("fleet.aggregator", table.aggregator, "", "aggregator")
    if not table.peer and not aggregators:
        raise typed.invalid_value("fleet.peer", None, "a list of one or more, where fleet.aggregator names none")
    if aggregators and len(table.name) > values.MAX_NAME_LENGTH:
        raise typed.invalid_value(
            "fleet.name", table.name, f"{values.MAX_NAME_LENGTH} characters at most, before aggregators"
        )
    for k, aggregator in enumerate(table.aggregator):
        if aggregator.name == table.name or aggregator.name in peers:
            raise typed.invalid_value(f"fleet.aggregator[{k}].name", aggregator.name, "a name that no dispatcher has")
    return FleetSetup(
        table.name,
        values.address("fleet.listen", table.listen),
        values.gossip_keys("fleet.key_files", table.key_files),
        peers,
        table.region,
        tuple(AggregatorSite(a.name, a.region) for a in table.aggregator),
        aggregators,
    )


def _eureka(table: f.EurekaTable) -> EurekaSetup:
    return EurekaSetup(
        values.address("eureka.address", table.address),
        table.base.rstrip("/"),
        table.servers.upper(),
        table.register_as.upper(),
        table.instance,
        table.lease_s,
        table.renew_s,
        table.fetch_s,
    )


def _limit(path: str, told: f.LimitsTable, instances: int, prefix: str = "") -> Limit:
    """`prefix`: the keys' limits. Each instance has its part of every rate and quota."""
    figures = {name: getattr(told, f"{prefix}{name}") for name in f.LimitsTable.__struct_fields__}
    if figures["tokens_per_min"] and not figures["burst_tokens"]:
        raise typed.invalid_value(f"{path}.{prefix}burst_tokens", 0, "a whole number above 0, where a rate is given")
    parts = {name: -(-value // instances) for name, value in figures.items()}
    return Limit(
        parts["tokens_per_min"],
        parts["burst_tokens"],
        parts["day_tokens"],
        parts["month_tokens"],
        parts["open_requests"],
        parts["debt_tokens"],
    )


def _spending(table: f.BudgetsTable, deployment: settings.Deployment) -> AccountingSettings:
    n, accounts, tenants = table.instances, dict[str, Limit](), dict[str, TenantPlan]()
    if table.capacity_tokens_per_min and not table.capacity_burst_tokens:
        raise typed.invalid_value(
            "budgets.capacity_burst_tokens", 0, "a whole number above 0, where a capacity is given"
        )
    for k, account in enumerate(table.account):
        if account.name in accounts:
            raise typed.invalid_value(f"budgets.account[{k}].name", account.name, "a name that no other account has")
        accounts[account.name] = _limit(f"budgets.account[{k}]", account, n)
    for k, tenant in enumerate(table.tenant):
        path = f"budgets.tenant[{k}]"
        if tenant.name in tenants:
            raise typed.invalid_value(f"{path}.name", tenant.name, "a name that no other budget has")
        if tenant.account:
            _choice(f"{path}.account", tenant.account, list(accounts))
        tenants[tenant.name] = TenantPlan(
            _limit(path, tenant, n), tenant.account, tenant.weight, _limit(path, tenant, n, "key_")
        )
    default = TenantPlan(
        _limit("budgets.default", table.default, n),
        "",
        table.default.weight,
        _limit("budgets.default", table.default, n, "key_"),
    )
    for name, quota in zip(deployment.tenant_names, deployment.router.quotas, strict=True):
        # The platform's own shares: a tenant that has no budget here gets the default one, and its quota as its weight.
        tenants.setdefault(name, TenantPlan(default.limit, "", quota, default.key_limit))
    prices = Prices(round(table.cached_price * 1000), round(table.answer_price * 1000))
    plan = Plan(
        tenants, accounts, default, prices, table.capacity_tokens_per_min // n, table.capacity_burst_tokens // n
    )
    return AccountingSettings(plan, pathlib.Path(table.folder) if table.folder else None, table.uncounted_tokens)


def _budgets(told: f.OperatorFile) -> f.BudgetsTable | None:
    if not told.chat.budgets_file:
        return told.budgets
    if told.budgets:
        raise typed.invalid_value(
            "chat.budgets_file", told.chat.budgets_file, "none, where the file has [budgets] itself"
        )
    return typed.load(told.chat.budgets_file, f.BudgetsFile)[0].budgets


def _build(told: f.OperatorFile, raw: Mapping[str, Any]) -> ChatSetup:
    try:
        deployment = settings.parse(raw["settings"])
    except settings.SettingsError as e:
        raise ConfigError(f"settings: {e}") from None
    chat, zones = told.chat, deployment.zone_names
    entries, addresses, keys = [], dict[int, Address](), dict[int, str]()
    for k, server in enumerate(told.server):
        path, engine = f"server[{k}]", replica_id(server.uid)
        if engine in addresses:
            raise typed.invalid_value(f"{path}.uid", server.uid, "a uid that no other server has")
        entries.append(
            Endpoint(
                engine,
                _choice(f"{path}.zone", server.zone or zones[0], zones),
                _choice(f"{path}.kind", server.kind, deployment.kind_names),
                server.cell,
                Phase.READY,
                server.capacity,
                0,
            )
        )
        addresses[engine] = values.address(f"{path}.address", server.address)
        if key := values.read_secret(f"{path}.key_file", server.key_file):
            keys[engine] = key
    if not entries and not told.eureka:
        raise ConfigError("server: found no servers, and no [eureka] to ask for them; allowed: either, or both")
    models, budgets = _models(chat, deployment), _budgets(told)
    return ChatSetup(
        values.address("chat.listen", chat.listen),
        chat.sockets,
        chat.seed,
        deployment,
        _reading(chat, models, deployment),
        _keyring(chat, deployment, models),
        told.idempotency.max_bytes,
        told.idempotency.keep_s * 1_000_000,
        tuple(entries),
        addresses,
        keys,
        values.read_secret("chat.server_key_file", chat.server_key_file),
        chat.max_body_bytes,
        _eureka(told.eureka) if told.eureka else None,
        _spending(budgets, deployment) if budgets else None,
        values.address("chat.admin_addr", chat.admin_addr) if chat.admin_addr else None,
        _fleet(told.fleet) if told.fleet else None,
    )


def load(path: str) -> ChatSetup:
    """The operator's file. ConfigError names it, the key, what was found and what is allowed."""
    told, raw = typed.load(path, f.OperatorFile)
    try:
        return _build(told, raw)
    except ConfigError as e:
        raise ConfigError(f"{path}: {e}") from None


def read(told: Mapping[str, Any]) -> ChatSetup:
    """The same from what a TOML file would hold."""
    return _build(typed.convert(dict(told), f.OperatorFile), told)


def loads(text: str) -> ChatSetup:
    """The same from a file's text."""
    return read(tomllib.loads(text))
