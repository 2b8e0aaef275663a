"""What a daemon is told at its start: the platform's variables and the file that one of them names."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from pearhill import settings
from pearhill.net.address import Address, parse_address
from pearhill.net.listener import inherited_socket


class ConfigError(Exception):
    """One line that names the key at fault."""


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    discovery_in_file: Any  # as the file puts it, whatever the environment says
    seed: int
    sockets: int
    known: Mapping[str, Any]
    deployment: settings.Deployment
    admin: Address | None = None  # where operators call
    passed: int | None = None  # the descriptor of a socket that listens already, for clients
    notes: str | None = None  # the folder in which processes of one dispatcher leave notes for each other


def _address(key: str, text: Any) -> Address:
    try:
        return parse_address(str(text))
    except ValueError as e:
        raise ConfigError(f"{key}: {e}") from None


def _passed(environ: Mapping[str, str]) -> int | None:
    """Left as it is, open and ours; whoever takes clients from it asks for it again."""
    text = environ.get("RELAY_PASSED_SOCKET")
    if not text:
        return None
    if not text.isascii() or not text.isdecimal() or not 3 <= int(text) < 1 << 20:
        raise ConfigError(f"RELAY_PASSED_SOCKET: found {text!r}; allowed: the number of an open descriptor, 3 or more")
    try:
        return inherited_socket(int(text)).detach()
    except ValueError as e:
        raise ConfigError(f"RELAY_PASSED_SOCKET: {e}") from None


def for_next_start(*told: tuple[str, object, object]) -> str:
    """Of (key, in force, told anew): what a reload leaves for the next start, in words."""
    keys = ", ".join(key for key, old, new in told if old != new)
    return f"; for the next start: {keys}" if keys else ""


def load(environ: Mapping[str, str], before: Config | None = None) -> Config:
    """The configuration at a start, or at a reload that follows `before`."""
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG: is not set; it names the configuration file")
    try:
        with open(path, encoding="utf-8") as file:
            told = json.load(file)
    except (OSError, ValueError) as e:
        raise ConfigError(f"RELAY_CONFIG: {path}: {e}") from None
    if not isinstance(told, dict):
        raise ConfigError(f"RELAY_CONFIG: {path}: holds no JSON object")
    for key in ("settings", "known"):
        if not isinstance(told.get(key, {} if key == "known" else None), dict):
            raise ConfigError(f"{key}: must be an object")
    try:
        deployment = settings.parse(told["settings"])
    except settings.SettingsError as e:
        raise ConfigError(f"settings: {e}") from None
    limits = told.get("limits") or {}
    try:
        seed, sockets = int(str(told.get("seed", "0")), 16), int(limits.get("sockets", 1024))
    except (ValueError, TypeError, AttributeError) as e:
        raise ConfigError(f"seed or limits.sockets: {e}") from None
    if sockets < 64:
        raise ConfigError("limits.sockets: at least 64 are needed")
    admin = environ.get("RELAY_ADMIN_ADDR") or told.get("admin_addr")
    passed = before.passed if before else _passed(environ)
    discovery = told.get("discovery")
    if before and discovery == before.discovery_in_file:
        found = before.discovery
    elif before:  # Danger: the environment is as old as the process; it would undo what the file now says.
        found = _address("discovery", discovery)
    else:
        found = _address("discovery", environ.get("RELAY_DISCOVERY") or discovery)
    return Config(
        name=environ.get("RELAY_NAME") or str(told.get("name", "pearhill")),
        listen=_address("listen", environ.get("RELAY_LISTEN") or told.get("listen")),
        discovery=found,
        discovery_in_file=discovery,
        seed=seed,
        sockets=sockets,
        known=told.get("known") or {},
        deployment=deployment,
        admin=None if admin is None else _address("admin_addr", admin),
        passed=passed,
        notes=environ.get("TMPDIR") or None,
    )
