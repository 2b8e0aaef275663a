"""The platform's daemon stays lean: it loads no library that it does not need."""

import json
import subprocess
import sys
import unittest

from tests.standins import ROOT

NEEDED = {"uvloop", "httptools", "loguru", "sortedcontainers", "pearhill"}
SHOW = ("import pearhill.__main__, pearhill.platform.daemon, sys, json;"
        "print(json.dumps([m for m in sys.modules if getattr(sys.modules[m], '__file__', None)]))")


class Lean(unittest.TestCase):
    def test_the_platforms_daemon_loads_what_it_needs_and_nothing_else(self):
        done = subprocess.run([sys.executable, "-c", SHOW], cwd=ROOT, capture_output=True, text=True, check=True)
        loaded = set(json.loads(done.stdout))
        others = {name.partition(".")[0] for name in loaded} - NEEDED - set(sys.stdlib_module_names)
        self.assertEqual({name for name in others if not name.startswith(("_", "__editable__"))}, set())
        ours = {".".join(name.split(".")[:2]) for name in loaded if name.startswith("pearhill.")}
        self.assertLessEqual(ours, {f"pearhill.{name}" for name in (
            "__main__", "config", "core", "counters", "http1", "interface", "net", "node", "platform", "process",
            "rules", "settings")})
