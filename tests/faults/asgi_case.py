"""The chat API as ASGI middleware, under an ASGI server: replicas misbehave, clients leave, SIGTERM ends it in time.

Rules: each client gets an answer or a close in time, with its own events only; no booking is begun twice; the
application's own pages are served meanwhile; the process ends after SIGTERM.
"""

import pathlib
import signal
import tempfile
import threading

from tests.chat.test_asgi import ExampleApp
from tests.chat.test_front import operator_file
from tests.faults.case import Case, main
from tests.faults.chat_load import ChatLoad, NamingReplica

REPLICAS = 3
FAULT_SHARE = 0.2
MAX_EXIT_S = 15.0
PAGE_INTERVAL_S = 0.2


def run(case: Case) -> None:
    replicas = [NamingReplica(case, FAULT_SHARE) for _ in range(REPLICAS)]
    for replica in replicas:
        case.cleanup.callback(replica.close)
    path = pathlib.Path(case.cleanup.enter_context(tempfile.TemporaryDirectory())) / "chat.toml"
    text = operator_file([replica.address for replica in replicas])
    path.write_text(text.replace("[chat]\n", "[chat]\nheartbeat_s = 0.02\n"))
    program = ExampleApp(str(path))
    case.cleanup.callback(program.kill)
    load = ChatLoad(case, program)
    ended = threading.Event()
    pages = threading.Thread(target=_read_pages, args=(case, program, ended))
    pages.start()
    load.run()
    ended.set()
    pages.join()
    load.check_runs(replicas)
    case.check(case.counts.get("200", 0) > 0, "no request was served")
    program.process.send_signal(signal.SIGTERM)
    case.check(program.process.wait(MAX_EXIT_S) in (0, -signal.SIGTERM), "the process did not end by SIGTERM")


def _read_pages(case: Case, program: ExampleApp, ended: threading.Event) -> None:
    while not ended.wait(PAGE_INTERVAL_S):
        case.check(program.request("GET", "/hours")[0] == 200, "the application's own page was not served")
        case.count("pages")


if __name__ == "__main__":
    main(run)
