"""The operators' endpoint of the chat API's daemon, which the operator's file enables."""

from tests.admin.test_endpoint import call
from tests.chat.test_front import ChatCase, body


class ChatAdminEndpoint(ChatCase):
    def operate(self, method: str, path: str) -> tuple[int, bytes]:
        """Returns status and body of an operator's call."""
        status, _, text = call(self.program.wait_line(r"admin endpoint: listening on (\S+)")[1], method, path)
        return status, text

    def test_operators_can_read_statistics_override_replicas_and_drain(self):
        first, second = self.start(2, admin=True)
        assert self.operate("GET", "/ops/readiness")[0] == 200
        assert self.operate("POST", "/ops/replicas/down?target=s0")[0] == 200
        for n in range(4):
            assert self.ask(body(n=1, user=f"u{n}"))[0] == 200
        assert (first.post_count, second.post_count) == (0, 4)
        status, text = self.operate("GET", "/ops/stats")
        assert status == 200
        assert b'"advice": {"success": 4, "busy": 0, "failure": 0}' in text
        assert b'"hosts_listed": 2, "hosts_down": 1' in text
        assert self.operate("POST", "/ops/replicas/down?target=s1")[0] == 200
        assert self.ask(body())[0] == 503
        self.program.reload(self.program.config.read_text())  # the endpoint list is applied again, both overrides stay
        assert self.ask(body())[0] == 503
        assert self.operate("POST", "/ops/replicas/up?target=s1")[0] == 200
        assert self.operate("POST", "/ops/drain/start")[0] == 200
        assert self.program.request("GET", "/ready")[0] == 503
        assert self.operate("POST", "/ops/drain/stop")[0] == 200
        assert self.program.request("GET", "/ready")[0] == 200

    def test_the_endpoint_exists_only_if_the_file_names_its_address(self):
        self.start()
        assert not [line for line in self.program.lines if "operators" in line or "admin endpoint" in line]
        self.program.reload(
            self.program.config.read_text().replace("[chat]\n", "[chat]\nadmin_addr = 'nowhere'\n"),
            "the old configuration stays: .*chat.admin_addr",
        )
        self.program.reload(
            self.program.config.read_text().replace("nowhere", "127.0.0.1:0"), "for the next start: chat.admin_addr"
        )
