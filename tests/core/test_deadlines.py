"""The process's deadlines, by a clock that the test moves."""

import unittest

from pearhill.core.deadlines import Deadlines


class DeadlinesTest(unittest.TestCase):
    def test_callbacks_run_in_order_of_time_and_what_they_add_waits_for_the_next_sweep(self):
        now, ran = [0], []
        deadlines = Deadlines(lambda: now[0])
        deadlines.at(5, lambda: (ran.append("b"), deadlines.at(0, lambda: ran.append("late"))))
        deadlines.at(3, lambda: ran.append("a"))
        deadlines.cancel(deadlines.at(4, lambda: ran.append("never")))
        deadlines.at(9, lambda: ran.append("c"))
        now[0] = 5
        deadlines.sweep()
        self.assertEqual(ran, ["a", "b"])
        deadlines.sweep()
        self.assertEqual((ran, deadlines.earliest), (["a", "b", "late"], 9))
