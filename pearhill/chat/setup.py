"""The setup of the chat front end: the operator's file with its names resolved and its API keys read."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from fnmatch import fnmatchcase
from typing import Any

from pearhill import settings
from pearhill.chat import file as tables
from pearhill.chat.budget_accounting import AccountingSettings
from pearhill.chat.budget_setup import accounting_settings
from pearhill.chat.keys import InvalidKeyError, Keyring, Tenant
from pearhill.chat.setup_names import index_of
from pearhill.config import ConfigError, typed, values
from pearhill.config.platform import DEFAULT_MEMORY_MB
from pearhill.core.replica_ids import replica_id
from pearhill.eureka.setup import EurekaSetup
from pearhill.membership.aggregator_choice import AggregatorSite
from pearhill.net.address import Address
from pearhill.net.fleet import FleetSetup
from pearhill.routing.topology import Endpoint, Phase, Role


@dataclass(frozen=True, slots=True)
class Rule:
    """Assigns a class to requests for these models that have this header, if one is named.

    `model` and `value` are shell patterns. `deadline` is in microseconds; 0 means the deadline of the class.
    """

    request_class: int
    model: str = "*"
    header: str = ""
    value: str = "*"
    deadline: int = 0

    def matches(self, model: str, headers: Mapping[str, str]) -> bool:
        """Returns whether the rule applies to a request for `model` with these headers."""
        if not fnmatchcase(model, self.model):
            return False
        if not self.header:
            return True
        value = headers.get(self.header)
        return value is not None and fnmatchcase(value, self.value)


@dataclass(frozen=True, slots=True)
class Model:
    """One declared model. A `request_class` of -1 means none. Limits are in tokens; 0 means no limit of this model."""

    name: str
    served_as: str
    request_class: int = -1
    kinds: tuple[int, ...] = ()
    max_output_tokens: int = 0
    max_prompt_tokens: int = 0
    owned_by: str = "pearhill"
    created: int = 0


@dataclass(frozen=True, slots=True)
class RequestRules:
    """The operator's rules for reading requests: classes, names of headers and fields, limits and models.

    Header names are in lower case.
    """

    rules: tuple[Rule, ...]
    default_class: int
    class_header: str
    class_field: str
    conversation_header: str
    conversation_field: str
    timeout_header: str
    max_output_tokens: int
    chars_per_token: float
    models: Mapping[str, Model]  # by name and by alias; if empty, any name is forwarded to the replicas
    heartbeat: int = 0  # microseconds
    max_answer_bytes: int = 4 << 20

    def model(self, name: str) -> Model | None:
        """Returns the model of this name or alias, or None if models are declared but not this one."""
        return self.models.get(name) if self.models else Model(name, name)


@dataclass(frozen=True, slots=True)
class ChatSetup:
    """The resolved operator's file.

    `store_max_bytes` and `max_body` are in bytes, `store_retention` in microseconds. `addresses` and `replica_keys` are
    by replica. `default_replica_key` is for replicas without a key of their own. `admin` is the address of the
    operators' endpoint.
    """

    listen: Address
    sockets: int
    seed: int
    deployment: settings.Deployment
    request_rules: RequestRules
    keyring: Keyring
    store_max_bytes: int
    store_retention: int
    endpoints: tuple[Endpoint, ...]
    addresses: dict[int, Address]
    replica_keys: dict[int, str]
    default_replica_key: str
    max_body: int
    eureka: EurekaSetup | None
    accounting: AccountingSettings | None = None
    admin: Address | None = None
    fleet: FleetSetup | None = None
    memory_mb: int = DEFAULT_MEMORY_MB


def _models(chat: tables.ChatTable, deployment: settings.Deployment) -> dict[str, Model]:
    models: dict[str, Model] = {}

    def declare(path: str, name: str, model: Model) -> None:
        """Add a model under a name or alias. Raises ConfigError for `path` if the name is already used."""
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
            index_of(f"{path}.class", table.request_class, deployment.class_names) if table.request_class else -1,
            tuple(index_of(f"{path}.kinds[{n}]", kind, deployment.kind_names) for n, kind in enumerate(table.kinds)),
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


def _keyring(chat: tables.ChatTable, deployment: settings.Deployment, models: Mapping[str, Model]) -> Keyring:
    """Returns the keyring. Tenants of the settings have their number there; others follow in the file's order."""
    tenants: list[tuple[Tenant, list[str]]] = []
    seen: set[str] = set()
    numbers = {name: k for k, name in enumerate(deployment.tenant_names)}
    for k, table in enumerate(chat.tenant):
        path = f"chat.tenant[{k}]"
        if table.name in seen:
            raise typed.invalid_value(f"{path}.name", table.name, "a name that no other tenant has")
        seen.add(table.name)
        for n, name in enumerate(table.models):
            index_of(f"{path}.models[{n}]", name, list(models))
        tenant = Tenant(
            table.name,
            numbers.setdefault(table.name, len(numbers)),
            frozenset(models[name].name for name in table.models),
        )
        tenants.append((tenant, table.keys))
        for n, record in enumerate(table.keys):
            try:
                Keyring([(tenant, [record])])
            except InvalidKeyError:
                # The value may be the key itself, which must not be shown: it is left out of the error's text.
                raise ConfigError(
                    f"{path}.keys[{n}]: found another text (not shown); allowed: a record as `pearhill key` prints it"
                ) from None
    return Keyring(tenants)


def _reading(chat: tables.ChatTable, models: Mapping[str, Model], deployment: settings.Deployment) -> RequestRules:
    names = deployment.class_names
    rules = tuple(
        Rule(
            index_of(f"chat.rule[{k}].class", rule.request_class, names),
            rule.model,
            rule.header.lower(),
            rule.value,
            int(rule.deadline_s * 1e6),
        )
        for k, rule in enumerate(chat.rule)
    )
    default = index_of("chat.default_class", chat.default_class, names) if chat.default_class else 0
    return RequestRules(
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


def _fleet(table: tables.FleetTable) -> FleetSetup:
    peers = values.addresses("fleet.peer", table.peer, table.name)
    aggregators = values.addresses("fleet.aggregator", table.aggregator, "", "aggregator")
    if not table.peer and not aggregators:
        raise typed.invalid_value("fleet.peer", None, "a list of one or more, as there is no fleet.aggregator")
    if aggregators and len(table.name) > values.MAX_NAME_LENGTH:
        raise typed.invalid_value(
            "fleet.name", table.name, f"{values.MAX_NAME_LENGTH} characters at most, as there are aggregators"
        )
    for k, aggregator in enumerate(table.aggregator):
        if aggregator.name == table.name or aggregator.name in peers:
            raise typed.invalid_value(
                f"fleet.aggregator[{k}].name", aggregator.name, "a name that no dispatcher of the fleet has"
            )
    return FleetSetup(
        table.name,
        values.address("fleet.listen", table.listen),
        values.gossip_keys("fleet.key_files", table.key_files),
        peers,
        table.region,
        tuple(AggregatorSite(a.name, a.region) for a in table.aggregator),
        aggregators,
    )


def _eureka(table: tables.EurekaTable) -> EurekaSetup:
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


def _budgets(file: tables.OperatorFile) -> tables.BudgetsTable | None:
    """Returns the budgets of the file itself or of the file that it names, or None."""
    path = file.chat.budgets_file
    if not path:
        return file.budgets
    if file.budgets:
        raise typed.invalid_value("chat.budgets_file", path, "no value, as the file has a [budgets] table")
    return typed.load(path, tables.BudgetsFile)[0].budgets


def _endpoints(
    file: tables.OperatorFile, deployment: settings.Deployment
) -> tuple[list[Endpoint], dict[int, Address], dict[int, str]]:
    """Returns the replicas of the file, and by replica their addresses and the keys of those that have one."""
    zones = deployment.zone_names
    endpoints: list[Endpoint] = []
    addresses: dict[int, Address] = {}
    keys: dict[int, str] = {}
    for k, server in enumerate(file.server):
        path = f"server[{k}]"
        replica = replica_id(server.uid)
        if replica in addresses:
            raise typed.invalid_value(f"{path}.uid", server.uid, "a uid that no other server has")
        zone = index_of(f"{path}.zone", server.zone or zones[0], zones)
        kind = index_of(f"{path}.kind", server.kind, deployment.kind_names)
        endpoints.append(Endpoint(replica, zone, kind, server.cell, Phase.READY, server.capacity, 0))
        addresses[replica] = values.address(f"{path}.address", server.address)
        key = values.read_secret(f"{path}.key_file", server.key_file)
        if key:
            keys[replica] = key
    return endpoints, addresses, keys


def _resolve(file: tables.OperatorFile, raw: Mapping[str, Any]) -> ChatSetup:
    try:
        deployment = settings.parse(raw["settings"])
    except settings.SettingsError as e:
        raise ConfigError(f"settings: {e}") from None
    chat = file.chat
    endpoints, addresses, replica_keys = _endpoints(file, deployment)
    if not endpoints and not file.eureka:
        raise ConfigError("server: found neither a [[server]] nor an [eureka] table; allowed: at least one of them")
    models = _models(chat, deployment)
    budgets = _budgets(file)
    # The arguments are evaluated in this order, which decides which fault of the file is reported first.
    return ChatSetup(
        listen=values.address("chat.listen", chat.listen),
        sockets=chat.sockets,
        memory_mb=chat.memory_mb,
        seed=chat.seed,
        deployment=deployment,
        request_rules=_reading(chat, models, deployment),
        keyring=_keyring(chat, deployment, models),
        store_max_bytes=file.idempotency.max_bytes,
        store_retention=file.idempotency.keep_s * 1_000_000,
        endpoints=tuple(endpoints),
        addresses=addresses,
        replica_keys=replica_keys,
        default_replica_key=values.read_secret("chat.server_key_file", chat.server_key_file),
        max_body=chat.max_body_bytes,
        eureka=_eureka(file.eureka) if file.eureka else None,
        accounting=accounting_settings(budgets, deployment) if budgets else None,
        admin=values.address("chat.admin_addr", chat.admin_addr) if chat.admin_addr else None,
        fleet=_fleet(file.fleet) if file.fleet else None,
    )


def load(path: str) -> ChatSetup:
    """Read the operator's file.

    Raises ConfigError, whose text names the file, the key, the value found and the allowed values.
    """
    file, raw = typed.load(path, tables.OperatorFile)
    try:
        return _resolve(file, raw)
    except ConfigError as e:
        raise ConfigError(f"{path}: {e}") from None


def read(contents: Mapping[str, Any]) -> ChatSetup:
    """Read the setup from the parsed tables of an operator's file."""
    return _resolve(typed.convert(dict(contents), tables.OperatorFile), contents)


def loads(text: str) -> ChatSetup:
    """Read the setup from the text of an operator's file."""
    return read(tomllib.loads(text))
