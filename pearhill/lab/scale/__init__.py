"""The scale run: hollow dispatchers by the dozen in a process, beside real ones, before one discovery with replicas.

What the fleet's control costs is measured over a grid of sizes, fitted, and extrapolated to the size that is planned
for; faults come on a time line. The command keeps its own bounds: half of the machine's memory, 300 processes,
loopback.
"""
