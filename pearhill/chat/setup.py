"""The operator's file for the chat front, read with tomllib. Every error names its key."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from fnmatch import fnmatchcase
from typing import Any

from pearhill import interface as i
from pearhill import settings
from pearhill.config import ConfigError
from pearhill.core.engines import engine_of
from pearhill.eureka.setup import EurekaSetup
from pearhill.net.address import Address, parse_address


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
        return told is not None and fnmatchcase(model, self.model) and (
            not self.header or fnmatchcase(told, self.value))


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
    models: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ChatSetup:
    listen: Address
    sockets: int
    seed: int
    deployment: settings.Deployment
    reading: Reading
    store_bytes: int
    store_keep: int
    entries: tuple[i.Entry, ...]
    addresses: dict[int, Address]
    eureka: EurekaSetup | None


class _Table:
    """One table of the file: takes keys by type, and knows which were never taken."""

    def __init__(self, name: str, values: Any) -> None:
        if not isinstance(values, dict):
            raise ConfigError(f"{name}: must be a table")
        self.name, self.values, self.taken = name, values, set[str]()

    def get(self, key: str, kind: type, default: Any = None) -> Any:
        self.taken.add(key)
        value = self.values.get(key, default)
        if value is None:
            raise ConfigError(f"{self.name}.{key}: is missing")
        if kind is float and isinstance(value, int):
            value = float(value)
        if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
            raise ConfigError(f"{self.name}.{key}: must be of type {kind.__name__}")
        return value

    def positive(self, key: str, default: int) -> int:
        value: int = self.get(key, int, default)
        if value <= 0:
            raise ConfigError(f"{self.name}.{key}: must be above 0")
        return value

    def address(self, key: str) -> Address:
        try:
            return parse_address(self.get(key, str))
        except ValueError as e:
            raise ConfigError(f"{self.name}.{key}: {e}") from None

    def choice(self, key: str, names: tuple[str, ...], default: Any = None) -> int:
        value = self.get(key, str, default)
        if value not in names:
            raise ConfigError(f"{self.name}.{key}: {value!r} is not among {', '.join(names)}")
        return names.index(value)

    def close(self) -> None:
        if unknown := sorted(set(self.values) - self.taken):
            raise ConfigError(f"{self.name}.{unknown[0]}: unknown key")


def _reading(chat: _Table, rows: Any, deployment: settings.Deployment) -> Reading:
    names = deployment.class_names
    rules = []
    for k, row in enumerate(rows):
        rule = _Table(f"chat.rule[{k}]", row)
        rules.append(Rule(rule.choice("class", names), rule.get("model", str, "*"),
                          rule.get("header", str, "").lower(), rule.get("value", str, "*"),
                          int(rule.get("deadline_s", float, 0.0) * 1e6)))
        rule.close()
    return Reading(
        tuple(rules), chat.choice("default_class", names, names[0]),
        chat.get("class_header", str, "X-Request-Class").lower(), chat.get("class_field", str, "class"),
        chat.get("conversation_header", str, "X-Conversation-Id").lower(),
        chat.get("conversation_field", str, "conversation"),
        chat.get("timeout_header", str, "X-Request-Timeout-Ms").lower(), chat.positive("max_out", 800),
        max(0.1, chat.get("chars_per_token", float, 4.0)), tuple(chat.get("models", list, [])))


def _servers(rows: Any, deployment: settings.Deployment) -> tuple[tuple[i.Entry, ...], dict[int, Address]]:
    entries, addresses = [], {}
    for k, row in enumerate(rows):
        server = _Table(f"server[{k}]", row)
        engine = engine_of(server.get("uid", str))
        entries.append(i.Entry(engine, server.choice("zone", deployment.zone_names, deployment.zone_names[0]),
                               server.choice("kind", deployment.kind_names), server.get("cell", int, 0), i.READY,
                               server.get("capacity", float, 1.0), 0))
        addresses[engine] = server.address("address")
        server.close()
    return tuple(entries), addresses


def _eureka(values: Any) -> EurekaSetup:
    table = _Table("eureka", values)
    setup = EurekaSetup(
        table.address("address"), table.get("base", str, "/eureka").rstrip("/"), table.get("servers", str).upper(),
        table.get("register_as", str, "").upper(), table.get("instance", str, ""), table.positive("lease_s", 90),
        table.positive("renew_s", 30), table.positive("fetch_s", 30))
    table.close()
    return setup


def load(path: str) -> ChatSetup:
    try:
        with open(path, "rb") as file:
            told = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as e:
        raise ConfigError(f"{path}: {e}") from None
    return read(told)


def read(told: Mapping[str, Any]) -> ChatSetup:
    top = _Table("file", dict(told))
    try:
        deployment = settings.parse(top.get("settings", dict))
    except settings.SettingsError as e:
        raise ConfigError(f"settings: {e}") from None
    if not deployment.zone_names or not deployment.kind_names:
        raise ConfigError("settings.zones: zones and models must be named")
    chat, store = _Table("chat", top.get("chat", dict)), _Table("idempotency", top.get("idempotency", dict, {}))
    reading = _reading(chat, chat.get("rule", list, []), deployment)
    entries, addresses = _servers(top.get("server", list, []), deployment)
    eureka = _eureka(told["eureka"]) if "eureka" in told else None
    top.taken.add("eureka")
    if not entries and not eureka:
        raise ConfigError("server: no servers, and no eureka to ask for them")
    setup = ChatSetup(
        chat.address("listen") if "listen" in chat.values else ("127.0.0.1", 0), chat.positive("sockets", 1024),
        chat.get("seed", int, 0), deployment, reading, store.positive("max_bytes", 8 << 20),
        store.positive("keep_s", 600) * 1_000_000, entries, addresses, eureka)
    for table in (chat, store, top):
        table.close()
    if setup.sockets < 64:
        raise ConfigError("chat.sockets: at least 64 are needed")
    return setup
