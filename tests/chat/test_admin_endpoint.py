"""The same door at the chat front's daemon, set in the operator's file."""

from tests.admin.test_endpoint import call
from tests.chat.test_front import ChatCase, body


class Door(ChatCase):
    def ops(self, method: str, path: str) -> tuple[int, bytes]:
        status, _, text = call(self.program.wait_line(r"operators are heard on (\S+)")[1], method, path)
        return status, text

    def test_figures_replicas_by_hand_and_the_drain(self):
        first, second = self.start(2, admin=True)
        self.assertEqual(self.ops("GET", "/ops/readiness")[0], 200)
        self.assertEqual(self.ops("POST", "/ops/replicas/down?target=s0")[0], 200)
        for n in range(4):
            self.assertEqual(self.ask(body(n=1, user=f"u{n}"))[0], 200)
        self.assertEqual((first.runs, second.runs), (0, 4))
        status, text = self.ops("GET", "/ops/stats")
        self.assertEqual(status, 200)
        self.assertIn(b'"advice": {"success": 4, "busy": 0, "failure": 0}', text)
        self.assertIn(b'"hosts_listed": 2, "hosts_down": 1', text)
        self.assertEqual(self.ops("POST", "/ops/replicas/down?target=s1")[0], 200)
        self.assertEqual(self.ask(body())[0], 503)
        self.program.reload(self.program.config.read_text())  # the list is told anew, and both stay out
        self.assertEqual(self.ask(body())[0], 503)
        self.assertEqual(self.ops("POST", "/ops/replicas/up?target=s1")[0], 200)
        self.assertEqual(self.ops("POST", "/ops/drain/start")[0], 200)
        self.assertEqual(self.program.ask("GET", "/ready")[0], 503)
        self.assertEqual(self.ops("POST", "/ops/drain/stop")[0], 200)
        self.assertEqual(self.program.ask("GET", "/ready")[0], 200)

    def test_it_is_absent_unless_the_file_names_it(self):
        self.start()
        self.assertFalse([line for line in self.program.lines if "operators" in line])
        self.program.reload(
            self.program.config.read_text().replace("[chat]\n", "[chat]\nadmin_addr = 'nowhere'\n"),
            "the old configuration stays: .*chat.admin_addr",
        )
        self.program.reload(
            self.program.config.read_text().replace("nowhere", "127.0.0.1:0"), "for the next start: chat.admin_addr"
        )
