"""The platform's daemon imports only the modules and libraries that it needs."""

import json
import pathlib
import subprocess
import sys
import tomllib

from tests.standins import ROOT

ALLOWED_PACKAGES = {"uvloop", "httptools", "loguru", "sortedcontainers", "msgspec", "pearhill"}
OPTIONAL_PACKAGES = {"typing_extensions"}  # msgspec imports it where it is installed, as for development
PLATFORM_PACKAGES = (
    "__main__",
    "admin",
    "config",
    "core",
    "counters",
    "durable",
    "http1",
    "lifecycle",
    "load_reports",
    "net",
    "node",
    "platform",
    "routing",
    "settings",
)
# Dispatchers of the platform may not communicate with each other, neither directly nor through aggregators.
FLEET_MODULES = {
    "pearhill.load_reports.peer_loads",
    "pearhill.net.gossip",
    "pearhill.net.datagrams",
    "pearhill.net.reporting",
    "pearhill.net.aggregation",
    "pearhill.net.fleet",
}
LIST_LOADED_MODULES = (
    "import pearhill.__main__, pearhill.platform.daemon, sys, json;"
    "print(json.dumps([m for m in sys.modules if getattr(sys.modules[m], '__file__', None)]))"
)

LIST_LOADED_FILES = (
    "import pearhill.__main__, pearhill.platform.daemon, sys, json;"
    "print(json.dumps([m.__file__ for n, m in sys.modules.items() if n.partition('.')[0] == 'pearhill']))"
)


class TestImportsOfTheDaemon:
    def test_the_platforms_daemon_imports_only_allowed_modules(self) -> None:
        completed = subprocess.run(
            [sys.executable, "-c", LIST_LOADED_MODULES], cwd=ROOT, capture_output=True, text=True, check=True
        )
        loaded = set(json.loads(completed.stdout))
        others = (
            {name.partition(".")[0] for name in loaded}
            - ALLOWED_PACKAGES
            - OPTIONAL_PACKAGES
            - set(sys.stdlib_module_names)
        )
        assert {name for name in others if not name.startswith(("_", "__editable__"))} == set()
        own_modules = {".".join(name.split(".")[:2]) for name in loaded if name.startswith("pearhill.")}
        assert own_modules <= {f"pearhill.{name}" for name in PLATFORM_PACKAGES}
        assert loaded & FLEET_MODULES == set()
        assert [name for name in loaded if name.startswith(("pearhill.membership", "pearhill.aggregator"))] == []

    def test_the_deploy_file_lists_exactly_the_files_that_the_daemon_loads(self) -> None:
        deployed = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
        completed = subprocess.run(
            [sys.executable, "-c", LIST_LOADED_FILES], cwd=ROOT, capture_output=True, text=True, check=True
        )
        loaded = {pathlib.Path(path).relative_to(ROOT) for path in json.loads(completed.stdout)}
        named = [pathlib.Path(path) for path in deployed["policy"] + deployed["node"]]
        assert {str(p) for p in loaded if not any(p.is_relative_to(name) for name in named)} == set()
        assert {str(name) for name in named if not any(p.is_relative_to(name) for p in loaded)} == set()
        assert [name for name in deployed["policy"] if not (ROOT / name).is_file()] == []  # files, no folders
        for key, module in (("run", "pearhill"), ("sim", "pearhill.simulator.adapter")):
            # `exec` replaces the shell, so that the platform's signals reach the daemon itself.
            assert deployed[key] == f"exec .venv/bin/python -m {module}"
