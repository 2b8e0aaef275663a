"""Deadlines with a clock that the test advances."""

from pearhill.core.deadlines import Deadlines


def test_callbacks_run_in_order_of_due_time_and_those_they_add_wait_for_the_next_run() -> None:
    now = 0
    ran: list[str] = []
    deadlines = Deadlines(lambda: now)

    def run_and_add() -> None:
        ran.append("b")
        deadlines.schedule_at(0, lambda: ran.append("late"))

    deadlines.schedule_at(5, run_and_add)
    deadlines.schedule_at(3, lambda: ran.append("a"))
    deadlines.cancel(deadlines.schedule_at(4, lambda: ran.append("never")))
    deadlines.schedule_at(9, lambda: ran.append("c"))
    now = 5
    deadlines.run_due()
    assert ran == ["a", "b"]
    deadlines.run_due()
    assert ran == ["a", "b", "late"]
    assert deadlines.earliest == 9
