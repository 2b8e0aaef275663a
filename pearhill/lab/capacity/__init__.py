"""Generates docs/CAPACITY.md, which lists what a fleet of the planned size requires of each role.

Figures come from three sources, and no figure mixes them: the operators' numbers (`FleetSize`), values calculated from
those numbers and the program's own constants (`Estimates`), and measurements from runs (`Runs`, read from
docs/capacity/*.json). The text of the page is in the template capacity.md.j2. `write_pages(root)` writes the page and
the two tables in docs/design/capacity.md.
"""

from pearhill.lab.capacity.carriers import find_implementations
from pearhill.lab.capacity.design_note import NOTE_PATH, mechanisms_table, protocol_times_table, update_note
from pearhill.lab.capacity.estimates import Estimates
from pearhill.lab.capacity.formatting import NOT_MEASURED
from pearhill.lab.capacity.gossip_traffic import gossip_datagram_bytes
from pearhill.lab.capacity.page import render_page
from pearhill.lab.capacity.publish import PAGE_PATH, write_pages
from pearhill.lab.capacity.report_traffic import COUNTED_US, count_report_traffic
from pearhill.lab.capacity.requirements import requirements
from pearhill.lab.capacity.results import AGGREGATORS, GOSSIP, RESULTS_FOLDER, read_results
from pearhill.lab.capacity.runs import Runs, SourcedFigure
from pearhill.lab.capacity.size import FleetSize
from pearhill.lab.capacity.units import MICROSECONDS_PER_S

__all__ = [
    "AGGREGATORS",
    "COUNTED_US",
    "Estimates",
    "FleetSize",
    "GOSSIP",
    "MICROSECONDS_PER_S",
    "NOTE_PATH",
    "NOT_MEASURED",
    "PAGE_PATH",
    "RESULTS_FOLDER",
    "Runs",
    "SourcedFigure",
    "count_report_traffic",
    "find_implementations",
    "gossip_datagram_bytes",
    "mechanisms_table",
    "protocol_times_table",
    "read_results",
    "render_page",
    "requirements",
    "update_note",
    "write_pages",
]
