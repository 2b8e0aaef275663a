"""docs/CAPACITY.md: what the size that is coming asks of each role.

Three sources, never mixed in one figure: the operators' numbers (`Size`), what follows from them and from the code's
own constants (`Worked`), and what runs have measured (docs/capacity/*.json). The words stand in capacity.md.j2.
`write(root)` makes the page anew, and the two tables of figures in docs/design/capacity.md with it.
"""

from pearhill.lab.capacity.carriers import mechanisms
from pearhill.lab.capacity.design_note import NOTE, note, times, weighed
from pearhill.lab.capacity.estimates import Worked
from pearhill.lab.capacity.formatting import NOT_MEASURED
from pearhill.lab.capacity.gossip_traffic import talk_bytes
from pearhill.lab.capacity.needs import needs
from pearhill.lab.capacity.page import page
from pearhill.lab.capacity.publish import PAGE, write
from pearhill.lab.capacity.report_traffic import COUNTED, told
from pearhill.lab.capacity.results import AGGREGATORS, RESULTS, TALK, read
from pearhill.lab.capacity.runs import Found, Runs
from pearhill.lab.capacity.size import Size
from pearhill.lab.capacity.units import S
from pearhill.membership.byte_budget import HEADER_BYTES

__all__ = [
    "AGGREGATORS",
    "COUNTED",
    "HEADER_BYTES",
    "NOTE",
    "NOT_MEASURED",
    "PAGE",
    "RESULTS",
    "TALK",
    "Found",
    "Runs",
    "S",
    "Size",
    "Worked",
    "mechanisms",
    "needs",
    "note",
    "page",
    "read",
    "talk_bytes",
    "times",
    "told",
    "weighed",
    "write",
]
