"""The scale run: it measures what the control traffic of a large fleet of dispatchers costs.

Dozens of hollow dispatchers share a process, next to real ones; all use one registry of replicas. The costs are
measured over a grid of fleet sizes, fitted, and extrapolated to the planned size. A separate part of a run injects
faults on a time line. The command limits itself to half of the machine's memory, 300 processes and the loopback
interface.
"""
