"""The platform's daemon imports only the modules and libraries that it needs."""

import json
import pathlib
import subprocess
import sys
import tomllib

from tests.standins import ROOT

NEEDED = {"uvloop", "httptools", "loguru", "sortedcontainers", "pearhill"}
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
SHOW = (
    "import pearhill.__main__, pearhill.platform.daemon, sys, json;"
    "print(json.dumps([m for m in sys.modules if getattr(sys.modules[m], '__file__', None)]))"
)

FILES = (
    "import pearhill.__main__, pearhill.platform.daemon, sys, json;"
    "print(json.dumps([m.__file__ for n, m in sys.modules.items() if n.partition('.')[0] == 'pearhill']))"
)


class TestLean:
    def test_the_platforms_daemon_loads_what_it_needs_and_nothing_else(self) -> None:
        done = subprocess.run([sys.executable, "-c", SHOW], cwd=ROOT, capture_output=True, text=True, check=True)
        loaded = set(json.loads(done.stdout))
        others = {name.partition(".")[0] for name in loaded} - NEEDED - set(sys.stdlib_module_names)
        assert {name for name in others if not name.startswith(("_", "__editable__"))} == set()
        ours = {".".join(name.split(".")[:2]) for name in loaded if name.startswith("pearhill.")}
        assert ours <= {f"pearhill.{name}" for name in PLATFORM_PACKAGES}
        assert loaded & FLEET_MODULES == set()
        assert [name for name in loaded if name.startswith(("pearhill.membership", "pearhill.aggregator"))] == []

    def test_the_deploy_file_names_all_that_the_platforms_daemon_runs_from_and_nothing_else(self) -> None:
        deployed = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
        done = subprocess.run([sys.executable, "-c", FILES], cwd=ROOT, capture_output=True, text=True, check=True)
        loaded = {pathlib.Path(path).relative_to(ROOT) for path in json.loads(done.stdout)}
        named = [pathlib.Path(path) for path in deployed["policy"] + deployed["node"]]
        assert {str(p) for p in loaded if not any(p.is_relative_to(name) for name in named)} == set()
        assert {str(name) for name in named if not any(p.is_relative_to(name) for p in loaded)} == set()
        assert [name for name in deployed["policy"] if not (ROOT / name).is_file()] == []  # files, no folders
        for key, module in (("run", "pearhill"), ("sim", "pearhill.simulator.adapter")):
            # `exec` replaces the shell, so that the platform's signals reach the daemon itself.
            assert deployed[key] == f"exec .venv/bin/python -m {module}"
