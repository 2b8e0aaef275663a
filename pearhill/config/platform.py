"""The platform's configuration: environment variables, and the JSON file that RELAY_CONFIG names."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from pearhill import settings
from pearhill.net.address import Address, parse_address
from pearhill.net.listener import inherited_socket

DEFAULT_SOCKETS = 1024
MIN_SOCKETS = 64
DEFAULT_MEMORY_MB = 1024
STANDARD_DESCRIPTORS = 3  # 0 to 2: standard input, output and error
MAX_DESCRIPTOR = 1 << 20


class ConfigError(Exception):
    """The configuration is invalid; the text is one line that names the key."""


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of a daemon at its start or at a reload."""

    name: str
    listen: Address
    discovery: Address
    discovery_in_file: Any  # the value in the file, which RELAY_DISCOVERY may override
    seed: int
    sockets: int
    memory_mb: int
    known_endpoints: Mapping[str, Any]
    deployment: settings.Deployment
    admin: Address | None = None  # the address of the admin endpoint
    passed_socket: int | None = None  # the descriptor of a client socket that is already listening
    message_folder: str | None = None  # for messages between processes of one dispatcher


def load(environ: Mapping[str, str], previous: Config | None = None) -> Config:
    """Returns the configuration at a start, or at a reload after `previous`. Raises ConfigError if it is invalid."""
    contents = _read_file(environ.get("RELAY_CONFIG"))
    deployment = _deployment(contents)
    seed, sockets, memory_mb = _limits(contents)
    admin = environ.get("RELAY_ADMIN_ADDR") or contents.get("admin_addr")
    passed_socket = previous.passed_socket if previous else _passed_socket(environ)
    discovery_in_file = contents.get("discovery")
    discovery = _discovery(environ, discovery_in_file, previous)
    return Config(
        name=environ.get("RELAY_NAME") or str(contents.get("name", "pearhill")),
        listen=_address("listen", environ.get("RELAY_LISTEN") or contents.get("listen")),
        discovery=discovery,
        discovery_in_file=discovery_in_file,
        seed=seed,
        sockets=sockets,
        memory_mb=memory_mb,
        known_endpoints=contents.get("known") or {},
        deployment=deployment,
        admin=None if admin is None else _address("admin_addr", admin),
        passed_socket=passed_socket,
        message_folder=environ.get("TMPDIR") or None,
    )


def for_next_start(*changes: tuple[str, object, object]) -> str:
    """Returns a description of the keys that a reload cannot apply, from (key, value in force, new value) tuples."""
    keys = ", ".join(key for key, old, new in changes if old != new)
    return f"; for the next start: {keys}" if keys else ""


def _read_file(path: str | None) -> dict[str, Any]:
    if not path:
        raise ConfigError("RELAY_CONFIG: must be set to the path of the configuration file")
    try:
        with open(path, encoding="utf-8") as file:
            contents = json.load(file)
    except (OSError, ValueError) as e:
        raise ConfigError(f"RELAY_CONFIG: {path}: {e}") from None
    if not isinstance(contents, dict):
        raise ConfigError(f"RELAY_CONFIG: {path}: must contain a JSON object")
    if not isinstance(contents.get("settings"), dict):
        raise ConfigError("settings: must be an object")
    if not isinstance(contents.get("known", {}), dict):
        raise ConfigError("known: must be an object")
    return contents


def _deployment(contents: dict[str, Any]) -> settings.Deployment:
    try:
        return settings.parse(contents["settings"])
    except settings.SettingsError as e:
        raise ConfigError(f"settings: {e}") from None


def _limits(contents: dict[str, Any]) -> tuple[int, int, int]:
    """Returns the seed, the number of descriptors and the memory limit in MB."""
    limits = contents.get("limits") or {}
    try:
        seed = int(str(contents.get("seed", "0")), 16)
        sockets = int(limits.get("sockets", DEFAULT_SOCKETS))
        memory_mb = int(limits.get("memory_mb", DEFAULT_MEMORY_MB))
    except (ValueError, TypeError, AttributeError) as e:
        raise ConfigError(f"seed, limits.sockets or limits.memory_mb: {e}") from None
    if sockets < MIN_SOCKETS:
        raise ConfigError(f"limits.sockets: at least {MIN_SOCKETS} are needed")
    if memory_mb < 1:
        raise ConfigError("limits.memory_mb: at least 1 is needed")
    return seed, sockets, memory_mb


def _discovery(environ: Mapping[str, str], in_file: Any, previous: Config | None) -> Address:
    """Returns the address of discovery.

    At a reload only the file counts: the environment dates from the start of the process, and would override a changed
    file.
    """
    if previous is None:
        return _address("discovery", environ.get("RELAY_DISCOVERY") or in_file)
    if in_file == previous.discovery_in_file:
        return previous.discovery
    return _address("discovery", in_file)


def _address(key: str, text: Any) -> Address:
    try:
        return parse_address(str(text))
    except ValueError as e:
        raise ConfigError(f"{key}: {e}") from None


def _passed_socket(environ: Mapping[str, str]) -> int | None:
    """Returns the descriptor of the inherited socket, or None if there is none.

    The socket is checked here and left open; the listener opens the descriptor again to accept clients.
    """
    text = environ.get("RELAY_PASSED_SOCKET")
    if not text:
        return None
    is_number = text.isascii() and text.isdecimal()
    if not is_number or not STANDARD_DESCRIPTORS <= int(text) < MAX_DESCRIPTOR:
        raise ConfigError(f"RELAY_PASSED_SOCKET: found {text!r}; allowed: the number of an open descriptor, 3 or more")
    try:
        return inherited_socket(int(text)).detach()
    except ValueError as e:
        raise ConfigError(f"RELAY_PASSED_SOCKET: {e}") from None
